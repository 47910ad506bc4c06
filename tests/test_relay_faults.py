"""Requests over inner connections that are lost, silent or replaced."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.faults.proxy import Faults, TcpProxy
from masticwind_dev.local.fleet import Fleet, FleetPlan
from masticwind_dev.standins.answers import prompt_digest
from masticwind_dev.standins.engine import EngineModel, EngineStandin
from tests.scenarios import (
    answer_text,
    ask,
    chat_body,
    expected_chat,
    sample_config,
)

pytestmark = pytest.mark.anyio

# The stated bound on noticing a stream that stays silent.
SILENT_STREAM_S = 3.0


class ProxiedFleet(Fleet):
    """A local fleet whose entry reaches each agent through a proxy."""

    def _publish(self) -> None:
        self.proxies: dict[str, TcpProxy] = {}
        for name, agent in self.agents.items():
            proxy = TcpProxy('127.0.0.1', agent.port)
            self.proxies[name] = proxy
            self._tasks.start_soon(proxy.run)
        super()._publish()
        _, listed = self.instances._versions.pop()
        self.instances.publish(
            tuple(
                replace(one, port=self.proxies[one.node[6:]].port)
                for one in listed
            )
        )


@dataclass
class Bench:
    """A proxied fleet with one engine and a client of its entry."""

    fleet: ProxiedFleet
    client: HttpClient

    @property
    def proxy(self) -> TcpProxy:
        return self.fleet.proxies['e1']

    @property
    def engine(self) -> EngineStandin:
        return self.fleet.engines['e1']


@asynccontextmanager
async def bench(**model: Any) -> AsyncIterator[Bench]:
    """Run a fleet with one engine behind a proxied agent."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel(**model))},
    )
    async with anyio.create_task_group() as tasks:
        fleet = ProxiedFleet(plan, tasks)
        await fleet.start()
        port = fleet.entries['entry-1'].port
        client = HttpClient(f'http://127.0.0.1:{port}')
        yield Bench(fleet, client)
        await client.close()
        tasks.cancel_scope.cancel()


async def disturb_after(
    delay_s: float,
    act: Callable[[], None],
) -> None:
    """Act after a delay in seconds."""
    await anyio.sleep(delay_s)
    act()


@pytest.mark.parametrize('tokens', [200, 20_000])
async def test_offer_on_a_silent_connection_is_served(tokens: int) -> None:
    """Guards against "revoked" as the answer of the only endpoint."""
    async with bench(decode_ms=5) as one:
        one.proxy.inject(Faults(silent_old=True))
        body = chat_body('word ' * tokens, max_tokens=4)
        answer = await ask(one.client, body)
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200
        assert len(one.engine.executed) == 1


@pytest.mark.parametrize('kind', ['reset', 'silent', 'up', 'down'])
async def test_stream_resumes_without_gap_or_repeat(kind: str) -> None:
    """Guards against tokens lost or repeated with a replaced connection."""
    async with bench(decode_ms=20) as one:
        acts: dict[str, Callable[[], None]] = {
            'reset': one.proxy.reset_all,
            'silent': lambda: one.proxy.inject(Faults(silent_old=True)),
            'up': lambda: one.proxy.inject(Faults(silent_up=True)),
            'down': lambda: one.proxy.inject(Faults(silent_down=True)),
        }
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturb_after, 0.5, acts[kind])
            tasks.start_soon(
                disturb_after,
                2.8,
                lambda: one.proxy.inject(Faults()),
            )
            answer = await ask(one.client, chat_body('lime', 60))
        spent = anyio.current_time() - started
    assert answer_text(answer) == expected_chat('lime', 60)
    # One silence, a reconnect under backoff and the rest of the stream.
    assert spent < 1.2 + SILENT_STREAM_S + 2


async def test_body_in_flight_is_sent_again() -> None:
    """Guards against a prompt with a gap after a lost connection."""
    text = 'x' * 7_000_000
    model = {'prefill_tokens_per_s': 5_000_000, 'memory_tokens': 3_000_000}
    async with bench(**model) as one:
        one.proxy.inject(Faults(delay_ms=20))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturb_after, 0.4, one.proxy.reset_all)
            tasks.start_soon(disturb_after, 1.1, one.proxy.reset_all)
            tasks.start_soon(
                disturb_after,
                2.0,
                lambda: one.proxy.inject(Faults()),
            )
            answer = await ask(one.client, chat_body(text))
    assert answer_text(answer) == expected_chat(text)


async def test_caller_who_leaves_frees_the_engine() -> None:
    """Guards against work that runs on after its caller has left."""
    async with bench(decode_ms=50) as one:
        one.proxy.inject(Faults(delay_ms=150))
        with anyio.move_on_after(0.2):
            await ask(one.client, chat_body('lime', 200))
        # Long enough for an offer on its way to arrive and to be cancelled,
        # and much shorter than the 10 s that the answer takes.
        await anyio.sleep(2)
        assert not one.engine.memory_used()


async def test_restarted_agent_is_reported_truthfully() -> None:
    """Guards against "not run" for a request that had started."""
    async with bench(decode_ms=20) as one:
        agent = one.fleet.agents['e1']
        answers: list[HttpAnswer | Failure] = []

        async def run() -> None:
            answers.append(await ask(one.client, chat_body('lime', 100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await anyio.sleep(0.5)
            # The state of a restarted agent: it knows nothing.
            agent._executor._requests.clear()
            one.proxy.reset_all()
    answer = answers[0]
    assert isinstance(answer, HttpAnswer)
    error = msgspec.json.decode(answer.body)['error']
    # The new agent cannot tell what the engine did for the old one.
    assert error['kind'] == ErrorKind.OUTCOME_UNKNOWN
    assert error['run'] == 'may_have_run'


@settings(max_examples=3, deadline=None, derandomize=True)
@given(st.integers(min_value=0, max_value=2**32))
def test_any_faults_leave_a_whole_answer_or_an_error(seed: int) -> None:
    """Guards against gaps, repeats and truncation under random faults."""
    anyio.run(_random_faults, seed, backend_options={'use_uvloop': True})


async def _random_faults(seed: int) -> None:
    rng = random.Random(seed)
    async with bench(decode_ms=10) as one:
        answers: dict[str, HttpAnswer | Failure] = {}

        async def run(text: str) -> None:
            answers[text] = await ask(
                one.client,
                chat_body(text, 150),
                X_Request_Timeout_Ms='15000',
            )

        async with anyio.create_task_group() as tasks:
            for number in range(5):
                text = f'{number}' * rng.choice((10, 1_000_000))
                tasks.start_soon(run, text)
            for _ in range(4):
                await anyio.sleep(rng.uniform(0, 0.6))
                choice = rng.randrange(3)
                if choice == 0:
                    one.proxy.reset_all()
                elif choice == 1:
                    one.proxy.inject(Faults(silent_old=True))
                    one.proxy.inject(Faults())
                else:
                    one.proxy.inject(Faults(jitter_ms=rng.randrange(100)))
            one.proxy.inject(Faults())
        for text, answer in answers.items():
            assert isinstance(answer, HttpAnswer)
            if answer.status == 200:
                assert answer_text(answer) == expected_chat(text, 150)
                continue
            error = msgspec.json.decode(answer.body)['error']
            # A model request that was executed may not be called "not run".
            digest = prompt_digest(f'user: {text}\n'.encode())
            ran = digest in one.engine.executed_prompts
            assert error['run'] != 'not_run' or not ran, error
        with anyio.fail_after(6):
            while one.engine.memory_used():
                await anyio.sleep(0.05)
