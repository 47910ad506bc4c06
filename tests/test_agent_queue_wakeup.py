"""Wake-up of an agent's queue after a prefill."""

import pytest

from masticwind.agent import executor as executor_module
from masticwind_dev.standins.engine import EngineModel
from tests.executor_harness import running_executor

pytestmark = pytest.mark.anyio


async def test_finished_prefill_starts_next_queued_prompt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an engine that idles until the next queue poll."""
    monkeypatch.setattr(executor_module, 'QUEUE_POLL_INTERVAL_S', 3600)
    model = EngineModel(prefill_tokens_per_s=100_000, report_lag_ms=100)
    async with running_executor(model) as harness:
        # Engine reports wake the queue too; one more arrives during prefill.
        monkeypatch.setattr(executor_module, 'REPORT_INTERVAL_S', 3600)
        harness.offer('long', 40_000, max_tokens=200)
        harness.offer('next', 40_000)
        assert await harness.wait_for_outcomes('next') == ['done']
        assert not harness.channel.outcome_of('long')
