"""Suspension of the instance while it processes a request.

The monotonic clock stops during a suspension, but the callers' timeouts run.
"""

import time
from typing import Final

import pytest

from masticwind.budget import Budget
from tests.entry_harness import answer_completely, running_entry
from tests.manual_clock import ManualClock

SUSPENDED_S: Final = 10.0


def test_budget_counts_the_time_of_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an endpoint that gets more time than the caller has left,
    because the budget does not count a suspension.
    """
    clock = ManualClock()
    monkeypatch.setattr('masticwind.budget.boot_time', clock)
    budget = Budget.from_ms(3000)
    assert budget.remaining_ms() == 3000
    clock.now += SUSPENDED_S
    assert budget.is_expired()
    assert budget.remaining_ms() == 0


@pytest.mark.anyio
async def test_expired_request_is_not_sent_after_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a non-idempotent request that runs after its caller has
    timed out and sent it again, because the instance was suspended before the
    request was sent to an endpoint.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        received_before = len(harness.received)

        def after_suspension() -> float:
            return time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENDED_S

        monkeypatch.setattr(
            'masticwind.serving.admission.requests.boot_time', after_suspension
        )
        answer = await harness.request(
            '/order/a', method='POST', timeout_ms=3000
        )
        assert answer.status == 503
        assert len(harness.received) == received_before
