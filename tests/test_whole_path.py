"""Requests from caller to engine, in one process and in several."""

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.processes import process_group
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import (
    ZONES,
    answer_text,
    ask,
    chat_body,
    expected_chat,
    sample_config,
)

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('length', [10, 100_000, 1_000_000])
async def test_answer_is_complete(length: int) -> None:
    """Guards against truncated or swapped answers for prompts of any size."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel())},
    )
    text = 'x' * length
    async with running_fleet(plan) as fleet:
        client = HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')
        answer = await ask(client, chat_body(text))
        await client.close()
    assert answer_text(answer) == expected_chat(text)


async def test_unknown_api_token_is_rejected() -> None:
    """Guards against serving a caller whose token belongs to no team."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel())},
    )
    async with running_fleet(plan) as fleet:
        client = HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')
        answer = await ask(client, chat_body('x'), token='nobody')
        await client.close()
    assert isinstance(answer, HttpAnswer)
    assert answer.status == 401


async def _retry_until_served(url: str, text: str) -> HttpAnswer:
    client = HttpClient(url)
    with anyio.fail_after(10):
        answer = await ask(client, chat_body(text))
        while not isinstance(answer, HttpAnswer) or answer.status != 200:
            await anyio.sleep(0.05)
            answer = await ask(client, chat_body(text))
    await client.close()
    return answer


async def test_separate_processes_serve_requests() -> None:
    """Guards against components that only work together in one process."""
    async with process_group() as group:
        fleet = ProcessFleet(FleetShape(zones=ZONES), group)
        store = await fleet.start()
        applied = await store.apply(sample_config(), 0, 'test')
        assert not isinstance(applied, Failure), applied
        for entry in fleet.entries.values():
            answer = await _retry_until_served(entry.url, 'how long to cure')
            assert answer_text(answer) == expected_chat('how long to cure')
