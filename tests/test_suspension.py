"""A machine that is suspended while it holds a request.

The monotonic clock stands still meanwhile; callers do not.
"""

import time
from typing import Final

import pytest

from masticwind.budget import Budget
from tests.direct_rig import answer_whole, direct_rig
from tests.manual_clock import ManualClock

SUSPENDED_S: Final = 10.0


def test_budget_counts_the_time_of_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an endpoint that is handed more time than is left."""
    clock = ManualClock()
    monkeypatch.setattr('masticwind.budget.boot_time', clock)
    budget = Budget.from_ms(3000)
    assert budget.remaining_ms() == 3000
    clock.now += SUSPENDED_S
    assert budget.is_expired()
    assert budget.remaining_ms() == 0


@pytest.mark.anyio
async def test_order_of_a_caller_whose_patience_is_over_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that runs after its caller has given up and
    ordered once more, because its machine was suspended in between.
    """
    async with direct_rig() as rig:
        await rig.endpoint('i-1', answer_whole)
        await rig.until_served('/read/a')
        count = len(rig.received)

        def later() -> float:
            return time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENDED_S

        monkeypatch.setattr('masticwind.serving.admission.boot_time', later)
        answer = await rig.ask('/order/a', method='POST', timeout_ms=3000)
        assert answer.status == 503
        assert len(rig.received) == count
