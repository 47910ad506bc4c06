"""When an agent starts the next queued prompt."""

import pytest

from masticwind.agent import executor as executor_module
from masticwind_dev.standins.engine import EngineModel
from tests.executor_harness import agent_rig

pytestmark = pytest.mark.anyio


async def test_computed_prompt_makes_room_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an engine that idles until the queue is polled."""
    monkeypatch.setattr(executor_module, 'QUEUE_POLL_INTERVAL_S', 3600)
    model = EngineModel(prefill_tokens_per_s=100_000, report_lag_ms=100)
    async with agent_rig(model) as rig:
        # Reports wake the queue as well; one more arrives during the prefill.
        monkeypatch.setattr(executor_module, 'REPORT_INTERVAL_S', 3600)
        rig.offer('long', 40_000, max_tokens=200)
        rig.offer('next', 40_000)
        assert await rig.ended('next') == ['done']
        assert not rig.channel.outcome('long')
