"""State machine: one request over connections that are lost and replaced.

The attempt and the executor are the real ones. The connections between them
are queues; a rule delivers one message at a time, in order within a connection
and in any order among connections.
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
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.messages import Heartbeat, Load, Message, Offer, Output
from masticwind.settings import AgentSettings, PeerSettings
from masticwind.store.base import Instance
from tests.scenarios import sample_config

PROMPT = b'x' * 600_000
TOKENS = 12
MODEL_MEMORY = 10_000_000
_connection_numbers = itertools.count(1)


class ConnectionEnd:
    """One end of a connection; sent messages wait in `queue`."""

    def __init__(self, role: Any) -> None:
        self.peer = PeerIdentity(
            role=role, name='far', zone='zone-a', incarnation='only'
        ).hello(0)
        self.number = next(_connection_numbers)
        self.queue: deque[Message] = deque()
        self.closed = False
        self.drops_messages = False

    def send(self, message: Message) -> bool:
        if not self.closed and not self.drops_messages:
            self.queue.append(message)
        return not self.closed

    async def send_bulk(self, message: Message) -> bool:
        return self.send(message)


class Connection:
    """A connection between the entry and the agent."""

    def __init__(self) -> None:
        self.entry = ConnectionEnd('agent')
        self.agent = ConnectionEnd('entry')

    def cut(self) -> None:
        """Close both ends and lose all undelivered messages."""
        for end in (self.entry, self.agent):
            end.closed = True
            end.queue.clear()


class ScriptedEngine:
    """An engine that generates a token when the state machine adds one."""

    def __init__(self) -> None:
        self.generated: list[str] = []
        self.prompts: list[bytes] = []
        self.token_added = asyncio.Event()

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
            self.token_added.clear()
            if sent < len(self.generated):
                yield Tokens(sent, tuple(self.generated[sent:]))
                sent = len(self.generated)
            else:
                await self.token_added.wait()
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


class NullPredictor:
    """A predictor that ignores all observations."""

    def record_first_token(self, link: Any, send: Any) -> None:
        """Ignore a first token."""

    def record_end(self, link: Any, send: Any) -> None:
        """Ignore an end."""


class ResumeMachine(RuleBasedStateMachine):
    """Guards against missing or repeated tokens when connections change."""

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
        self.connections: list[Connection] = []
        self.executor_task = self.loop.create_task(self._run_executor())
        self._run_until_idle()

    def teardown(self) -> None:
        """Connect and deliver everything: the whole answer must arrive."""
        try:
            self._complete()
        finally:
            self.executor_task.cancel()
            self._run_until_idle()
            self.loop.close()

    def _complete(self) -> None:
        # Without this check, a failed executor would look like a failed engine.
        assert not self.executor_task.done(), self.executor_task
        if not self.link.connected:
            self.connect()
        for _ in range(TOKENS):
            self.generate()
        while any(
            conn.entry.queue or conn.agent.queue for conn in self.connections
        ):
            for conn in self.connections:
                self._deliver(conn, to_agent=True)
                self._deliver(conn, to_agent=False)
        assert self.outcome == Done(TOKENS), self.outcome
        assert self.received == self.engine.generated
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
        self.request = self.loop.create_task(self._run_request())
        self._run_until_idle()
        self._deliver(self.connections[0], to_agent=True)
        self._deliver(self.connections[0], to_agent=False)

    @rule()
    def connect(self) -> None:
        """Open a new connection; older ones may still deliver."""
        conn = Connection()
        self.connections.append(conn)
        self.link.connection_opened(conn.entry)  # type: ignore[arg-type]
        self._run_until_idle()

    @precondition(lambda machine: machine.connections)
    @rule(notice=st.booleans())
    def cut(self, *, notice: bool) -> None:
        """Cut the newest connection; the agent may detect it at once."""
        conn = self.connections[-1]
        conn.cut()
        self.link.connection_lost(conn.entry)  # type: ignore[arg-type]
        if notice:
            self.executor.detach_channel(conn.agent)  # type: ignore[arg-type]
        self._run_until_idle()

    @precondition(lambda machine: machine.connections)
    @rule()
    def silence_output(self) -> None:
        """Drop the agent's output; messages of the entry still arrive."""
        conn = self.connections[-1]
        conn.agent.drops_messages = True
        conn.agent.queue.clear()
        conn.entry.closed = True
        self.link.connection_lost(conn.entry)  # type: ignore[arg-type]
        self._run_until_idle()

    @precondition(lambda machine: len(machine.engine.generated) < TOKENS)
    @rule()
    def generate(self) -> None:
        """Let the engine generate one more token."""
        if len(self.engine.generated) < TOKENS:
            self.engine.generated.append(f't{len(self.engine.generated)}')
            self.engine.token_added.set()
            self._run_until_idle()

    @precondition(lambda machine: machine.connections)
    @rule(choice=st.integers(0, 99), to_agent=st.booleans())
    def deliver(self, choice: int, *, to_agent: bool) -> None:
        """Deliver the oldest message of any connection."""
        self._deliver(
            self.connections[choice % len(self.connections)], to_agent=to_agent
        )

    @invariant()
    def tokens_are_a_prefix(self) -> None:
        """The caller has received the first tokens, once and in order."""
        assert self.received == self.engine.generated[: len(self.received)]

    def _deliver(self, conn: Connection, *, to_agent: bool) -> None:
        source = conn.entry if to_agent else conn.agent
        if not source.queue:
            return
        message: Any = source.queue.popleft()
        if to_agent:
            self._deliver_to_agent(conn, message)
        else:
            self.loop.run_until_complete(
                self.link.handle_message(
                    conn.entry,  # type: ignore[arg-type]
                    message,
                ),
            )
        self._run_until_idle()

    def _deliver_to_agent(self, conn: Connection, message: Any) -> None:
        channel: Any = conn.agent
        name = type(message).__name__
        if name == 'Offer':
            self.executor.handle_offer(channel, message)
        elif name == 'Body':
            self.executor.append_body(message)
        elif name == 'Resume':
            self.executor.resume(channel, message)
        else:
            raise AssertionError(f'unexpected {name}')

    async def _run_executor(self) -> None:
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

    async def _run_request(self) -> None:
        unused: Any = NullPredictor()
        attempt = Attempt(
            number=0,
            link=self.link,
            inbox=self.link.register_attempt(('r', 0)),
            predictor=unused,
            send_record=unused,
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
                    prefix_hashes=(),
                    timeout_ms=60_000,
                ),
            ),
        )
        self.outcome = await run_attempt(attempt, 1, self._emit)

    async def _emit(self, tokens: Tokens) -> None:
        self.received.extend(tokens.tokens)

    def _run_until_idle(self) -> None:
        """Run the event loop until every task waits."""
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
    """Guards against output on an old connection that nobody reads."""
    older: Any = ConnectionEnd('entry')
    newer: Any = ConnectionEnd('entry')
    offer = Offer('r', 0, 'team', True, 'standard', 1, 9, 1000, 1, 0)
    req = AgentRequest(offer, Budget.from_ms(1000), older)
    req.state = 'running'
    req.attach(newer, 0)
    req.attach(older, 0)
    req.send_output(['t0'])
    assert not older.queue
    assert list(newer.queue) == [Output('r', 0, 0, ('t0',))]
