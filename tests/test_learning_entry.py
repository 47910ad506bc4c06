"""An entry that learns what its requests cost."""

import pytest
from prometheus_client import generate_latest

from masticwind.serving.costs.learned import LearnedCostModel
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import (
    ENGINE_SERVICE,
    EntryHarness,
    answer_with_events,
    prompt_headers,
    running_entry,
)

pytestmark = pytest.mark.anyio

# The route and its team.
KEYS = 'masticwind_learned_cost_keys 2.0'
NO_KEYS = 'masticwind_learned_cost_keys 0.0'
WHOLE_ERRORS = (
    'masticwind_prediction_error_ratio_count{'
    'prediction="corrected",size="short",time="whole"} 1.0'
)


async def _refuse_prompt(req: ReceivedRequest, conn: RawConnection) -> None:
    """Answer with an error of the engine."""
    await conn.send_answer(req, status=500)


def _metrics(harness: EntryHarness) -> list[str]:
    registry = harness.entry._telemetry._registry
    return generate_latest(registry).decode().splitlines()


async def _send_prompt(harness: EntryHarness) -> int:
    answer = await harness.request(
        '/chat/a', method='POST', headers=prompt_headers()
    )
    return answer.status


async def test_entry_learns_from_a_served_prompt() -> None:
    """Guards against an entry whose requests never reach its cost model."""
    async with running_entry(learned_costs=True) as harness:
        await harness.start_endpoint('e-1', answer_with_events, ENGINE_SERVICE)
        assert await _send_prompt(harness) == 200
        text = _metrics(harness)
        assert KEYS in text
        assert WHOLE_ERRORS in text
        model = harness.entry._costs
        assert isinstance(model, LearnedCostModel)
        # Four events of 46 tokens, where 200 were expected.
        means = [mean.log_sum for mean in model._output_lengths._means.values()]
        assert means == pytest.approx([-0.083, -0.083], abs=0.001)


async def test_entry_learns_nothing_from_a_failed_prompt() -> None:
    """Guards against engines that fail early and seem to be fast."""
    async with running_entry(learned_costs=True) as harness:
        await harness.start_endpoint('e-1', _refuse_prompt, ENGINE_SERVICE)
        assert await _send_prompt(harness) >= 500
        assert NO_KEYS in _metrics(harness)


async def test_entry_without_the_setting_learns_nothing() -> None:
    """Guards against an entry that learns although it is not to."""
    async with running_entry() as harness:
        await harness.start_endpoint('e-1', answer_with_events, ENGINE_SERVICE)
        assert await _send_prompt(harness) == 200
        assert NO_KEYS in _metrics(harness)
