"""Requests whose connection from entry to agent fails or is silent."""

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

# Documented bound for detecting a silent stream.
MAX_SILENCE_DETECTION_S = 3.0


class ProxiedFleet(Fleet):
    """A local fleet whose entry reaches each agent through a proxy."""

    def _publish_agents(self) -> None:
        self.proxies: dict[str, TcpProxy] = {}
        for name, agent in self.agents.items():
            proxy = TcpProxy('127.0.0.1', agent.port)
            self.proxies[name] = proxy
            self._tasks.start_soon(proxy.run)
        super()._publish_agents()
        _, listed = self.instances._versions.pop()
        self.instances.publish(
            tuple(
                replace(instance, port=self.proxies[instance.node[6:]].port)
                for instance in listed
            )
        )


@dataclass
class ProxiedEngine:
    """A proxied fleet with one engine, and a client of its entry."""

    fleet: ProxiedFleet
    client: HttpClient

    @property
    def proxy(self) -> TcpProxy:
        return self.fleet.proxies['e1']

    @property
    def engine(self) -> EngineStandin:
        return self.fleet.engines['e1']


@asynccontextmanager
async def running_proxied_engine(**model: Any) -> AsyncIterator[ProxiedEngine]:
    """Run a fleet with one engine whose agent is behind a proxy."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel(**model))},
    )
    async with anyio.create_task_group() as tasks:
        fleet = ProxiedFleet(plan, tasks)
        await fleet.start()
        port = fleet.entries['entry-1'].port
        client = HttpClient(f'http://127.0.0.1:{port}')
        yield ProxiedEngine(fleet, client)
        await client.close()
        tasks.cancel_scope.cancel()


async def call_after(
    delay_s: float,
    action: Callable[[], None],
) -> None:
    """Call the action after a delay."""
    await anyio.sleep(delay_s)
    action()


@pytest.mark.parametrize('tokens', [200, 20_000])
async def test_offer_on_a_silent_connection_is_served(tokens: int) -> None:
    """Guards against a "revoked" answer while the only endpoint works.

    The connection to its agent is silent when the request is offered.
    """
    async with running_proxied_engine(decode_ms=5) as setup:
        setup.proxy.inject(Faults(silent_old=True))
        body = chat_body('word ' * tokens, max_tokens=4)
        answer = await ask(setup.client, body)
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200
        assert len(setup.engine.executed) == 1


@pytest.mark.parametrize('kind', ['reset', 'silent', 'up', 'down'])
async def test_stream_resumes_without_lost_or_repeated_tokens(
    kind: str,
) -> None:
    """Guards against tokens lost or repeated after a reconnect."""
    async with running_proxied_engine(decode_ms=20) as setup:
        actions: dict[str, Callable[[], None]] = {
            'reset': setup.proxy.reset_all,
            'silent': lambda: setup.proxy.inject(Faults(silent_old=True)),
            'up': lambda: setup.proxy.inject(Faults(silent_up=True)),
            'down': lambda: setup.proxy.inject(Faults(silent_down=True)),
        }
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_after, 0.5, actions[kind])
            tasks.start_soon(
                call_after,
                2.8,
                lambda: setup.proxy.inject(Faults()),
            )
            answer = await ask(setup.client, chat_body('lime', 60))
        elapsed_s = anyio.current_time() - started
    assert answer_text(answer) == expected_chat('lime', 60)
    # Detection of the silence, reconnect with backoff, rest of the stream.
    assert elapsed_s < 1.2 + MAX_SILENCE_DETECTION_S + 2


async def test_prompt_is_resent_after_reset() -> None:
    """Guards against an incomplete prompt after a connection reset."""
    text = 'x' * 7_000_000
    model = {'prefill_tokens_per_s': 5_000_000, 'memory_tokens': 3_000_000}
    async with running_proxied_engine(**model) as setup:
        setup.proxy.inject(Faults(delay_ms=20))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_after, 0.4, setup.proxy.reset_all)
            tasks.start_soon(call_after, 1.1, setup.proxy.reset_all)
            tasks.start_soon(
                call_after,
                2.0,
                lambda: setup.proxy.inject(Faults()),
            )
            answer = await ask(setup.client, chat_body(text))
    assert answer_text(answer) == expected_chat(text)


async def test_disconnect_of_caller_frees_the_engine() -> None:
    """Guards against work that continues after the caller disconnected."""
    async with running_proxied_engine(decode_ms=50) as setup:
        setup.proxy.inject(Faults(delay_ms=150))
        with anyio.move_on_after(0.2):
            await ask(setup.client, chat_body('lime', 200))
        # Long enough for an offer in flight to arrive and to be cancelled, and
        # much shorter than the 10 s of the whole answer.
        await anyio.sleep(2)
        assert not setup.engine.memory_used()


async def test_agent_restart_is_reported_as_unknown_outcome() -> None:
    """Guards against "not run" for a request that had started."""
    async with running_proxied_engine(decode_ms=20) as setup:
        agent = setup.fleet.agents['e1']
        answers: list[HttpAnswer | Failure] = []

        async def run() -> None:
            answers.append(await ask(setup.client, chat_body('lime', 100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await anyio.sleep(0.5)
            # A restarted agent has no record of its requests.
            agent._executor._requests.clear()
            setup.proxy.reset_all()
    answer = answers[0]
    assert isinstance(answer, HttpAnswer)
    error = msgspec.json.decode(answer.body)['error']
    # The new agent does not know what the engine ran for the previous one.
    assert error['kind'] == ErrorKind.OUTCOME_UNKNOWN
    assert error['run'] == 'may_have_run'


@settings(max_examples=3, deadline=None, derandomize=True)
@given(st.integers(min_value=0, max_value=2**32))
def test_random_faults_give_complete_answers_or_errors(
    seed: int,
) -> None:
    """Guards against lost, repeated or truncated output under faults."""
    anyio.run(
        _check_under_random_faults, seed, backend_options={'use_uvloop': True}
    )


async def _check_under_random_faults(seed: int) -> None:
    rng = random.Random(seed)
    async with running_proxied_engine(decode_ms=10) as setup:
        answers: dict[str, HttpAnswer | Failure] = {}

        async def run(text: str) -> None:
            answers[text] = await ask(
                setup.client,
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
                    setup.proxy.reset_all()
                elif choice == 1:
                    setup.proxy.inject(Faults(silent_old=True))
                    setup.proxy.inject(Faults())
                else:
                    setup.proxy.inject(Faults(jitter_ms=rng.randrange(100)))
            setup.proxy.inject(Faults())
        for text, answer in answers.items():
            assert isinstance(answer, HttpAnswer)
            if answer.status == 200:
                assert answer_text(answer) == expected_chat(text, 150)
                continue
            error = msgspec.json.decode(answer.body)['error']
            # A request that was executed must not be reported as "not run".
            digest = prompt_digest(f'user: {text}\n'.encode())
            has_run = digest in setup.engine.executed_prompts
            assert error['run'] != 'not_run' or not has_run, error
        with anyio.fail_after(6):
            while setup.engine.memory_used():
                await anyio.sleep(0.05)
