"""What an entry logs of a decision, for those who explain it later."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any

import pytest
from loguru import logger

from tests.direct_rig import answer_whole, direct_rig

pytestmark = pytest.mark.anyio


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the log lines of a test with their fields."""
    found: list[dict[str, Any]] = []

    def keep(message: Any) -> None:
        record = message.record
        found.append({'event': record['message'], **record['extra']})

    number = logger.add(keep, level='DEBUG')
    yield found
    logger.remove(number)


def _of(lines: list[dict[str, Any]], event: str) -> dict[str, Any]:
    return next(line for line in lines if line['event'] == event)


async def test_decisions_tell_the_age_of_the_configuration(
    lines: list[dict[str, Any]],
) -> None:
    """Guards against a route decision of which nobody can tell from which
    version it came, and how old that could be.
    """
    async with direct_rig() as rig:
        await rig.start_endpoint('i-1', answer_whole)
        await rig.wait_until_served('/read/a')
        lines.clear()
        served = await rig.request('/read/a')
        refused = await rig.request('/nowhere/a')
    assert served.status == HTTPStatus.OK
    assert refused.status == HTTPStatus.NOT_FOUND
    for event in ('attempt_sent', 'request_failed'):
        line = _of(lines, event)
        assert line['config_version'] == 3
        assert 0 <= line['config_age_s'] < 2
