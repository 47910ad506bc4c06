"""State machine: one request over a lossy link that is replaced at will.

The relay and the executor are the real ones; the connections between them
are queues that a rule delivers from, one message at a time, in order within
a connection and in any order among connections.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from masticwind.agent.executor import Executor, ExecutorDependencies
from masticwind.agent.requests import AgentRequest
from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Generation
from masticwind.engines.base import CacheEvents, Done, EngineReport, Tokens
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_pool import AgentLink
from masticwind.entry.attempts import Attempt, ModelRequest, run_attempt
from masticwind.entry.predict import Job
from masticwind.errors import Failure
from masticwind.node import Node
from masticwind.protocol.messages import Heartbeat, Load, Message, Offer, Output
from masticwind.settings import AgentSettings, PeerSettings
from masticwind.store.base import Instance
from tests.scenarios import sample_config

PROMPT = b'x' * 600_000
TOKENS = 12
MODEL_MEMORY = 10_000_000
_numbers = itertools.count(1)


class Half:
    """One end of a connection; what it sends waits in `queue`."""

    def __init__(self, role: Any) -> None:
        self.peer = Node(
            role=role, name='far', zone='zone-a', incarnation='only'
        ).hello(0)
        self.number = next(_numbers)
        self.queue: deque[Message] = deque()
        self.closed = False
        self.swallows = False

    def send(self, message: Message) -> bool:
        if not self.closed and not self.swallows:
            self.queue.append(message)
        return not self.closed

    async def send_bulk(self, message: Message) -> bool:
        return self.send(message)


class Wire:
    """A connection between the entry and the agent."""

    def __init__(self) -> None:
        self.entry = Half('agent')
        self.agent = Half('entry')

    def cut(self) -> None:
        """Lose what is under way in both directions."""
        for half in (self.entry, self.agent):
            half.closed = True
            half.queue.clear()


class ScriptedEngine:
    """Generates a token whenever the machine says so."""

    def __init__(self) -> None:
        self.made: list[str] = []
        self.prompts: list[bytes] = []
        self.wake = asyncio.Event()

    async def read_report(self) -> EngineReport:
        return EngineReport(
            boot_id='b',
            models=('standard',),
            cold=False,
            running=0,
            waiting=0,
            memory_total_tokens=MODEL_MEMORY,
            memory_used_tokens=0,
        )

    @asynccontextmanager
    async def generate(self, req: Any) -> AsyncIterator[Any]:
        self.prompts.append(req.prompt)
        yield self._events()

    async def _events(self) -> AsyncIterator[Any]:
        sent = 0
        while sent < TOKENS:
            self.wake.clear()
            if sent < len(self.made):
                yield Tokens(sent, tuple(self.made[sent:]))
                sent = len(self.made)
            else:
                await self.wake.wait()
        yield Done(TOKENS)

    async def cancel(self, request_id: str) -> None:
        raise AssertionError(f'{request_id} was cancelled')

    async def drop_cache(self, handle: str) -> None:
        raise AssertionError(f'{handle} was dropped')

    async def read_cache_events(self, after: int) -> CacheEvents:
        return CacheEvents(after, after, (), ())

    async def list_held_caches(self) -> dict[str, int]:
        return {}

    async def list_running(self) -> Sequence[Any]:
        return ()


class Predictions:
    """Takes what an attempt observes and keeps nothing."""

    def first_token(self, link: Any, send: Any) -> None:
        """Note a first token."""

    def ended(self, link: Any, send: Any) -> None:
        """Note an end."""


class ResumeMachine(RuleBasedStateMachine):
    """Guards against gaps, repeats and losses when connections change."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.engine: Any = ScriptedEngine()
        self.link = AgentLink(
            Instance(
                node='agent-1',
                role='agent',
                host='127.0.0.1',
                port=1,
                zone='zone-a',
            ),
            AffinityIndex(1),
        )
        self.received: list[str] = []
        self.outcome: Done | Failure | None = None
        self.wires: list[Wire] = []
        self.main = self.loop.create_task(self._main())
        self._settle()

    def teardown(self) -> None:
        """Connect for good: the whole answer must then arrive."""
        try:
            self._finish()
        finally:
            self.main.cancel()
            self._settle()
            self.loop.close()

    def _finish(self) -> None:
        # A failed executor looks like an engine that is down.
        assert not self.main.done(), self.main
        if not self.link.connected:
            self.connect()
        for _ in range(TOKENS):
            self.generate()
        while any(one.entry.queue or one.agent.queue for one in self.wires):
            for wire in self.wires:
                self._deliver(wire, to_agent=True)
                self._deliver(wire, to_agent=False)
        assert self.outcome == Done(TOKENS), self.outcome
        assert self.received == self.engine.made
        assert self.engine.prompts == [PROMPT]

    @initialize()
    def start(self) -> None:
        """Open the first connection and let the offer be accepted."""
        self.connect()
        self.loop.run_until_complete(
            self.link.handle_message(
                self.link.channel,  # type: ignore[arg-type]
                Heartbeat(
                    0,
                    1,
                    Load(
                        state='serving',
                        models=('standard',),
                        slots=9,
                        memory_free_tokens=MODEL_MEMORY,
                        memory_total_tokens=MODEL_MEMORY,
                    ),
                ),
            )
        )
        self.request = self.loop.create_task(self._request())
        self._settle()
        self._deliver(self.wires[0], to_agent=True)
        self._deliver(self.wires[0], to_agent=False)

    @rule()
    def connect(self) -> None:
        """Open a new connection; older ones may still deliver."""
        wire = Wire()
        self.wires.append(wire)
        self.link.connection_opened(wire.entry)  # type: ignore[arg-type]
        self._settle()

    @precondition(lambda machine: machine.wires)
    @rule(notice=st.booleans())
    def cut(self, *, notice: bool) -> None:
        """Cut the newest connection; the agent may notice at once."""
        wire = self.wires[-1]
        wire.cut()
        self.link.connection_lost(wire.entry)  # type: ignore[arg-type]
        if notice:
            self.executor.detach_channel(wire.agent)  # type: ignore[arg-type]
        self._settle()

    @precondition(lambda machine: machine.wires)
    @rule()
    def silence_output(self) -> None:
        """Silence one direction; what the entry has sent still arrives."""
        wire = self.wires[-1]
        wire.agent.swallows = True
        wire.agent.queue.clear()
        wire.entry.closed = True
        self.link.connection_lost(wire.entry)  # type: ignore[arg-type]
        self._settle()

    @precondition(lambda machine: len(machine.engine.made) < TOKENS)
    @rule()
    def generate(self) -> None:
        """Let the engine make one more token."""
        if len(self.engine.made) < TOKENS:
            self.engine.made.append(f't{len(self.engine.made)}')
            self.engine.wake.set()
            self._settle()

    @precondition(lambda machine: machine.wires)
    @rule(choice=st.integers(0, 99), to_agent=st.booleans())
    def deliver(self, choice: int, *, to_agent: bool) -> None:
        """Deliver the oldest message of any connection."""
        self._deliver(self.wires[choice % len(self.wires)], to_agent=to_agent)

    @invariant()
    def tokens_are_a_prefix(self) -> None:
        """The caller has seen the first tokens, once and in order."""
        assert self.received == self.engine.made[: len(self.received)]

    def _deliver(self, wire: Wire, *, to_agent: bool) -> None:
        source = wire.entry if to_agent else wire.agent
        if not source.queue:
            return
        message: Any = source.queue.popleft()
        if to_agent:
            self._to_agent(wire, message)
        else:
            self.loop.run_until_complete(
                self.link.handle_message(wire.entry, message),  # type: ignore[arg-type]
            )
        self._settle()

    def _to_agent(self, wire: Wire, message: Any) -> None:
        channel: Any = wire.agent
        name = type(message).__name__
        if name == 'Offer':
            self.executor.handle_offer(channel, message)
        elif name == 'Body':
            self.executor.append_body(message)
        elif name == 'Resume':
            self.executor.resume(channel, message)
        else:
            raise AssertionError(f'unexpected {name}')

    async def _main(self) -> None:
        config = CurrentConfig()
        config.adopt(Generation(number=1, config=sample_config()))
        self.config = config
        cfg = AgentSettings(
            node='agent-1',
            zone='zone-a',
            endpoint='e1',
            endpoint_url='http://127.0.0.1',
            peers=PeerSettings(secrets=('s',)),
        )
        async with anyio.create_task_group() as tasks:
            deps = ExecutorDependencies(cfg, config, self.engine)
            self.executor = Executor(deps, tasks)
            tasks.start_soon(self.executor.run)

    async def _request(self) -> None:
        unused: Any = Predictions()
        attempt = Attempt(
            number=0,
            link=self.link,
            inbox=self.link.register_attempt(('r', 0)),
            predictor=unused,
            send=unused,
            req=ModelRequest(
                request_id='r',
                team='conservators',
                weight=1,
                prompt=PROMPT,
                budget=Budget.from_ms(60_000),
                job=Job(
                    model='standard',
                    prompt_tokens=1000,
                    max_tokens=TOKENS,
                    paid=True,
                    prefix=(),
                    timeout_ms=60_000,
                ),
            ),
        )
        self.outcome = await run_attempt(attempt, 1, self._emit)

    async def _emit(self, tokens: Tokens) -> None:
        self.received.extend(tokens.tokens)

    def _settle(self) -> None:
        """Let every task run until it waits."""
        for _ in range(30):
            self.loop.run_until_complete(asyncio.sleep(0))


TestResume = ResumeMachine.TestCase
TestResume.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


def test_late_resume_on_an_older_connection_is_dropped() -> None:
    """Guards against output that goes back to a connection without reader."""
    older: Any = Half('entry')
    newer: Any = Half('entry')
    offer = Offer('r', 0, 'team', True, 'standard', 1, 9, 1000, 1, 0)
    req = AgentRequest(offer, Budget.from_ms(1000), older)
    req.state = 'running'
    req.attach(newer, 0)
    req.attach(older, 0)
    req.send_output(['t0'])
    assert not older.queue
    assert list(newer.queue) == [Output('r', 0, 0, ('t0',))]
