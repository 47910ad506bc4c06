"""Groups of engines over a running fleet."""

import anyio
import pytest

from masticwind.config.model import Model
from masticwind.httpclient import HttpClient
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

MEMORY_TOKENS = 60_000
LETTERS = 600_000


async def test_prompt_over_twice_the_memory_is_served_whole() -> None:
    """Guards against wrong answers and kept memory of group requests."""
    plan = FleetPlan(
        config=sample_config(models={'standard': Model(bytes_per_token=4)}),
        engines={
            f'e{number}': ('zone-a', EngineModel(memory_tokens=MEMORY_TOKENS))
            for number in range(4)
        },
    )
    text = 'kalkkä ' * (LETTERS // 7)
    async with running_fleet(plan) as fleet:
        client = HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')
        for _ in range(2):
            answer = await ask(client, chat_body(text))
            assert answer_text(answer) == expected_chat(text)
        with anyio.fail_after(10):
            while any(one.memory_used() for one in fleet.engines.values()):
                await anyio.sleep(0.05)
        await client.close()
