"""Graceful shutdown of an agent, over real connections."""

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import (
    answer_text,
    ask,
    chat_body,
    expected_chat,
    sample_config,
)

pytestmark = pytest.mark.anyio

TOKENS = 40


async def test_drain_finishes_accepted_work() -> None:
    """Guards against a shutdown that interrupts accepted requests."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel(decode_ms=20))},
    )
    answers: dict[str, HttpAnswer | Failure] = {}
    async with running_fleet(plan) as fleet:
        client = HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')
        agent, engine = fleet.agents['e1'], fleet.engines['e1']

        async def request(name: str) -> None:
            answers[name] = await ask(client, chat_body(name, TOKENS))

        async with anyio.create_task_group() as tasks:
            for name in ('first', 'second', 'third', 'fourth'):
                tasks.start_soon(request, name)
            # The cold capacity is 2; the other requests are queued.
            with anyio.fail_after(10):
                while len(engine.executed) < 2:
                    await anyio.sleep(0.01)
            await agent.drain()
            # All accepted requests have run when the drain returns.
            assert len(engine.executed) == 4
        refused = await ask(client, chat_body('late', TOKENS))
        await client.close()
    for name in ('first', 'second', 'third', 'fourth'):
        assert answer_text(answers[name]) == expected_chat(name, TOKENS)
    assert isinstance(refused, HttpAnswer)
    assert refused.status == 503
    assert len(engine.executed) == 4
