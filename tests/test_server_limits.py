"""Engines that name a limit on the requests that they take."""

import pytest

from masticwind_dev.standins.limit_audit import allowed_requests
from tests.limited_fleet import running_limited_fleet

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('limit_per_s', [0.5, 1, 2])
async def test_limited_engine_gets_no_more_than_its_limit_from_all_entries(
    limit_per_s: float,
) -> None:
    """Guards against a named limit that the sum over the entries exceeds."""
    async with running_limited_fleet(entries=3, engines=3) as fleet:
        limited = next(iter(fleet.engines))
        fleet.limit(limited, limit_per_s)
        await fleet.load(6, interval_s=0.1)
        busiest = fleet.audit.busiest_window(limited)
        assert 0 < busiest <= allowed_requests(limit_per_s)
        assert set(fleet.statuses) == {200}
