"""The short seeded soak of CI, and every seed that ever failed."""

import time

import pytest

from masticwind.budget import MS_PER_S
from masticwind_dev.soak.callers import Findings
from masticwind_dev.soak.main import soak
from masticwind_dev.soak.world import KEY_AGE_MS, Keys, Ran

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
    findings = Findings(orders={'a'}, not_run={'b'}, calm={'d'})
    ran = Ran()
    ran.counts.update({'a': 2, 'b': 1, 'c': 2, 'd': 2})
    findings.check_runs(ran)
    assert len(findings.broken) == 3


def test_soak_knows_which_keys_have_expired() -> None:
    """Guards against a soak in which no removed key ever expires."""
    keys = Keys()
    first = keys.passing(0)
    keys.replace(1)
    assert first not in keys.valid
    now = time.monotonic()
    assert not keys.expired(first, now)
    assert keys.expired(first, now + KEY_AGE_MS / MS_PER_S + 1)
    assert not keys.expired(keys.passing(0), now + KEY_AGE_MS)
