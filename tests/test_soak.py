"""The short seeded soak of CI, and every seed that ever failed."""

import pytest

from masticwind_dev.soak.callers import Findings
from masticwind_dev.soak.main import soak
from masticwind_dev.soak.world import Ran

pytestmark = pytest.mark.anyio

SECONDS = 6.0


@pytest.mark.parametrize('seed', [1])
async def test_promises_hold_under_random_faults(seed: int) -> None:
    """Guards against a promise that only breaks when faults overlap."""
    findings = await soak(seed, SECONDS)
    assert not findings.broken
    assert findings.served


def test_soak_finds_an_order_that_ran_twice() -> None:
    """Guards against a soak that cannot fail."""
    findings = Findings(orders={'a'}, not_run={'b'})
    ran = Ran()
    ran.counts.update({'a': 2, 'b': 1, 'c': 2})
    findings.check_runs(ran)
    assert len(findings.broken) == 2
