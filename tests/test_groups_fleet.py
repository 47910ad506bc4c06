"""Groups of engines in a running fleet."""

import anyio
import pytest

from masticwind.config.model import Model
from masticwind.httpclient import HttpClient
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import (
    answer_text,
    chat_body,
    expected_chat_answer,
    sample_config,
    send_chat,
)

pytestmark = pytest.mark.anyio

MEMORY_TOKENS = 60_000
PROMPT_CHARACTERS = 600_000


async def test_prompt_above_twice_the_engine_memory_is_served() -> None:
    """Guards against wrong answers to requests that a group of engines serves,
    and against memory that is not released after them.
    """
    plan = FleetPlan(
        config=sample_config(models={'standard': Model(bytes_per_token=4)}),
        engines={
            f'e{number}': ('zone-a', EngineModel(memory_tokens=MEMORY_TOKENS))
            for number in range(4)
        },
    )
    text = 'kalkkä ' * (PROMPT_CHARACTERS // 7)
    async with running_fleet(plan) as fleet:
        client = HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')
        for _ in range(2):
            answer = await send_chat(client, chat_body(text))
            assert answer_text(answer) == expected_chat_answer(text)
        with anyio.fail_after(10):
            while any(
                engine.used_memory_tokens() for engine in fleet.engines.values()
            ):
                await anyio.sleep(0.05)
        await client.close()
