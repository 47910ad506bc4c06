"""Requests whose agents or engines fall silent for a while and go on."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

import anyio
import pytest

from masticwind.config.model import CallRule, Model, PlainService
from masticwind.engines.http import STREAM_READ_TIMEOUT_S
from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.faults.proxy import Faults
from masticwind_dev.local.fleet import FleetPlan
from masticwind_dev.standins.engine import EngineModel
from masticwind_dev.standins.service import ServiceStandin
from tests.executor_harness import running_executor
from tests.scenarios import (
    PAID_TOKEN,
    answer_text,
    chat_body,
    expected_chat_answer,
    sample_config,
    send_chat,
)
from tests.test_relay_faults import ProxiedFleet

pytestmark = pytest.mark.anyio

# The longest silence of a sound process.
SILENCE_S: Final = 2.0
ORDERS: Final = PlainService(
    calls=(
        CallRule(method='POST', path='/orders', repeatable=False),
        CallRule(method='GET', path='/cases/*'),
    ),
)


class SilentFleet:
    """A fleet whose agents fall silent and go on, and a client of its entry."""

    def __init__(self, fleet: ProxiedFleet) -> None:
        port = fleet.entries['entry-1'].port
        self.fleet: Final = fleet
        self.client: Final = HttpClient(f'http://127.0.0.1:{port}')

    @property
    def service(self) -> ServiceStandin:
        """The plain service `o1`."""
        return self.fleet.services['o1']

    async def fall_silent(self, silence_s: float = SILENCE_S) -> None:
        """Keep back what all agents send and receive, then go on."""
        for proxy in self.fleet.proxies.values():
            proxy.inject(Faults(hold=True))
        await anyio.sleep(silence_s)
        for proxy in self.fleet.proxies.values():
            proxy.inject(Faults())

    async def call(self, method: str, path: str) -> HttpAnswer | Failure:
        """Call the plain service."""
        return await self.client.request(
            method,
            f'/v1/services/orders{path}',
            timeout_s=30,
            headers=[(b'authorization', f'Bearer {PAID_TOKEN}'.encode())],
        )


@asynccontextmanager
async def silent_fleet(
    *endpoints: str, models: dict[str, Model] | None = None, **model: Any
) -> AsyncIterator[SilentFleet]:
    """Run a fleet with endpoints: engines, or plain services from `o` on."""
    engines = [name for name in endpoints if name.startswith('e')]
    services = [name for name in endpoints if name.startswith('o')]
    plan = FleetPlan(
        config=sample_config(
            services={'orders': ORDERS},
            **({'models': models} if models else {}),
        ),
        engines={name: ('zone-a', EngineModel(**model)) for name in engines},
        services=dict.fromkeys(services, 'zone-a'),
        service_by_endpoint=dict.fromkeys(services, 'orders'),
    )
    async with anyio.create_task_group() as tasks:
        fleet = ProxiedFleet(plan, tasks)
        await fleet.start()
        silent = SilentFleet(fleet)
        yield silent
        await silent.client.close()
        tasks.cancel_scope.cancel()


async def _run_in_silence(
    fleet: SilentFleet, text: str, max_tokens: int, start_s: float
) -> HttpAnswer | Failure:
    """Send a request `start_s` after the agents have fallen silent."""
    async with anyio.create_task_group() as tasks:
        if start_s < 0:
            tasks.start_soon(_fall_silent_later, fleet, -start_s)
        else:
            tasks.start_soon(fleet.fall_silent)
            await anyio.sleep(start_s)
        return await send_chat(fleet.client, chat_body(text, max_tokens))
    raise AssertionError


async def _fall_silent_later(fleet: SilentFleet, delay_s: float) -> None:
    await anyio.sleep(delay_s)
    await fleet.fall_silent()


@pytest.mark.parametrize('start_s', [-0.2, 0.05, 0.5, 1.0, 1.7])
@pytest.mark.parametrize('count', [1, 2])
async def test_request_is_served_though_its_agents_are_silent_for_a_while(
    start_s: float, count: int
) -> None:
    """Guards against a failure or refusal because of agents that go on."""
    names = [f'e{number}' for number in range(count)]
    async with silent_fleet(*names, decode_ms=20) as fleet:
        answer = await _run_in_silence(fleet, 'lime', 30, start_s)
    assert answer_text(answer) == expected_chat_answer('lime', 30)


@pytest.mark.parametrize('count', [1, 2])
async def test_prefill_goes_on_though_its_agent_is_silent_for_a_while(
    count: int,
) -> None:
    """Guards against a failure of a request without output."""
    names = [f'e{number}' for number in range(count)]
    text = 'x' * 40_000
    async with silent_fleet(*names, prefill_tokens_per_s=4000) as fleet:
        answer = await _run_in_silence(fleet, text, 4, -0.5)
    assert answer_text(answer) == expected_chat_answer(text, 4)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('start_s', [-0.2, 0.05, 1.0, 1.7])
async def test_call_is_answered_though_its_agent_is_silent_for_a_while(
    method: str, start_s: float
) -> None:
    """Guards against a failure of a call whose agent goes on."""
    path = '/cases/7' if method == 'GET' else '/orders'
    async with silent_fleet('o1') as fleet:
        service = fleet.service
        service.switches.delay_ms = 600
        async with anyio.create_task_group() as tasks:
            if start_s < 0:
                tasks.start_soon(_fall_silent_later, fleet, -start_s)
            else:
                tasks.start_soon(fleet.fall_silent)
                await anyio.sleep(start_s)
            answer = await fleet.call(method, path)
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200, answer.body
        assert len(service.executions) == 1


async def test_requests_are_served_after_a_pause_of_the_entry() -> None:
    """Guards against requests that end or are refused since the entry's own
    pause looks like the silence of its agents.
    """
    async with silent_fleet('e1', 'o1', decode_ms=20) as fleet:
        fleet.service.switches.delay_ms = 400
        answers: dict[str, HttpAnswer | Failure] = {}

        async def run(name: str) -> None:
            if name == 'call':
                answers[name] = await fleet.call('GET', '/cases/7')
            else:
                answers[name] = await send_chat(
                    fleet.client, chat_body('lime', 30)
                )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run, 'call')
            tasks.start_soon(run, 'chat')
            await anyio.sleep(0.2)
            time.sleep(SILENCE_S)  # noqa: ASYNC251
            tasks.start_soon(run, 'later chat')
            await anyio.sleep(0.02)
            tasks.start_soon(run, 'next chat')
    statuses = {
        name: answer.status if isinstance(answer, HttpAnswer) else answer
        for name, answer in answers.items()
    }
    assert statuses == dict.fromkeys(statuses, 200)


@pytest.mark.parametrize('start_s', [-1.0, 0.1])
async def test_group_is_served_though_its_agents_are_silent_for_a_while(
    start_s: float,
) -> None:
    """Guards against leases and reservations that are lost in a silence."""
    text = 'kalkkä ' * (300_000 // 7)
    async with silent_fleet(
        'e1',
        'e2',
        models={'standard': Model(bytes_per_token=4)},
        memory_tokens=60_000,
        prefill_tokens_per_s=10_000,
    ) as fleet:
        answer = await _run_in_silence(fleet, text, 8, start_s)
    assert answer_text(answer) == expected_chat_answer(text)


@pytest.mark.parametrize('tokens', [4000, 20_000])
@pytest.mark.parametrize('silent_from_s', [0.1, 0.95, 1.95])
async def test_request_goes_on_though_its_engine_is_silent_for_a_while(
    silent_from_s: float, tokens: int
) -> None:
    """Guards against a failure because the last line before the silence of
    an engine without output was some time ago.
    """
    # The longer prompt is computed in steps.
    model = EngineModel(prefill_tokens_per_s=tokens / 4)
    async with running_executor(model) as harness:
        harness.offer('r', tokens)
        await anyio.sleep(silent_from_s)
        harness.proxy.inject(Faults(hold=True))
        await anyio.sleep(SILENCE_S)
        harness.proxy.inject(Faults())
        assert await harness.wait_for_outcomes('r') == ['done']


async def test_request_leaves_a_dark_engine_as_soon_as_its_silence_shows() -> (
    None
):
    """Guards against waiting for an engine that does not go on."""
    async with silent_fleet('e1', 'e2') as fleet:
        model = fleet.fleet.engines['e1'].model
        model.mute = True
        for number in range(4):
            started = anyio.current_time()
            text = f'lime {number}'
            answer = await send_chat(fleet.client, chat_body(text))
            assert answer_text(answer) == expected_chat_answer(text)
            elapsed_s = anyio.current_time() - started
            assert elapsed_s < STREAM_READ_TIMEOUT_S + 1
