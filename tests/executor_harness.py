"""Test harness: an executor with an engine stand-in and no entry."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.executor import Executor, ExecutorDependencies
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Generation
from masticwind.engines.base import (
    EngineEvent,
    EngineReport,
    EngineRequest,
)
from masticwind.engines.http import HttpEngine
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    Accepted,
    End,
    Message,
    Offer,
    Output,
    Refused,
)
from masticwind.settings import Address, AgentSettings, PeerSettings
from masticwind.web import WebServer
from masticwind_dev.faults.proxy import TcpProxy
from masticwind_dev.standins.engine import EngineModel, EngineStandin
from tests.scenarios import sample_config

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.005


class RecordingChannel(Channel):
    """A channel that records the messages sent on it."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.sent_at: list[float] = []

    def send(self, message: Message) -> bool:
        """Record a message and the time at which it was sent."""
        self.sent.append(message)
        self.sent_at.append(anyio.current_time())
        return True

    def messages_of(self, request_id: str, kind: type[Message]) -> list[Any]:
        """Return the messages of one type about one request."""
        return [
            message
            for message in self.sent
            if isinstance(message, kind)
            and getattr(message, 'request_id', '') == request_id
        ]

    def output_text(self, request_id: str) -> str:
        """Return the output of a request; fail on lost or repeated tokens."""
        tokens: list[str] = []
        for output in self.messages_of(request_id, Output):
            assert output.offset == len(tokens)
            tokens.extend(output.tokens)
        return ''.join(tokens)

    def end_of(self, request_id: str) -> End | None:
        """Return the `End` of a request; fail if there is more than one."""
        ends = self.messages_of(request_id, End)
        assert len(ends) <= 1
        return ends[0] if ends else None

    def outcome_of(self, request_id: str) -> str:
        """Return `done`, an error kind, or an empty string while it runs."""
        refused = self.messages_of(request_id, Refused)
        if refused:
            return str(refused[0].kind)
        end = self.end_of(request_id)
        if end is None:
            return ''
        return end.kind or 'done'

    def was_accepted(self, request_id: str) -> bool:
        """Return whether a request was accepted."""
        return bool(self.messages_of(request_id, Accepted))


def agent_settings(**changes: Any) -> AgentSettings:
    """Return the settings of an agent for an engine."""
    values: dict[str, Any] = {
        'node': 'agent-1',
        'zone': 'zone-a',
        'endpoint': 'e1',
        'endpoint_url': 'http://127.0.0.1:1',
        'peers': PeerSettings(secrets=('s',)),
        'orphan_grace_ms': 300,
    }
    return AgentSettings(**(values | changes))


def make_offer(request_id: str, tokens: int = 100, **changes: Any) -> Offer:
    """Return an offer whose body has four bytes per token."""
    body = f'{request_id} '.ljust(4 * tokens, 'x').encode()
    values: dict[str, Any] = {
        'request_id': request_id,
        'attempt': 0,
        'team': 'team',
        'paid': True,
        'model': 'standard',
        'prompt_tokens': tokens,
        'max_tokens': 8,
        'timeout_ms': 30_000,
        'generation': 1,
        'body_bytes': len(body),
        'body': body,
    }
    return Offer(**(values | changes))


class FaultyEngine(HttpEngine):
    """An engine client that simulates process and connection faults.

    `pending_breaks` is the number of streams that are still to be broken.
    With `has_ended`, the engine refuses connections.
    """

    def __init__(self, base_url: str) -> None:
        super().__init__(base_url)
        self.ignores_cancel = False
        self.has_ended = False
        self.pending_breaks = 0

    async def cancel(self, request_id: str) -> Failure | None:
        """Cancel, unless the agent process is simulated as killed."""
        if self.ignores_cancel:
            return None
        return await super().cancel(request_id)

    async def read_report(self) -> EngineReport | Failure:
        """Read the report, unless the engine is simulated as ended."""
        if self.has_ended:
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='refused')
        return await super().read_report()

    @asynccontextmanager
    async def generate(
        self,
        req: EngineRequest,
    ) -> AsyncIterator[AsyncIterator[EngineEvent]]:
        """Generate, and break the stream while `pending_breaks` is not 0."""
        async with super().generate(req) as events:
            yield self._inject_breaks(events)

    async def _inject_breaks(
        self,
        events: AsyncIterator[EngineEvent],
    ) -> AsyncIterator[EngineEvent]:
        async for event in events:
            if self.pending_breaks:
                self.pending_breaks -= 1
                yield Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason='broken')
                return
            yield event


@dataclass(slots=True)
class ExecutorHarness:
    """The executor under test and the objects around it."""

    engine: EngineStandin
    url: str
    cfg: AgentSettings
    config: CurrentConfig
    tasks: TaskGroup
    client: FaultyEngine
    executor: Executor
    proxy: TcpProxy
    channel: RecordingChannel = field(default_factory=RecordingChannel)

    def offer(self, request_id: str, tokens: int = 100, **more: Any) -> None:
        """Send an offer to the executor."""
        self.executor.handle_offer(
            self.channel, make_offer(request_id, tokens, **more)
        )

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Poll until a condition holds."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not condition():
                await anyio.sleep(POLL_INTERVAL_S)

    async def wait_for_outcomes(self, *request_ids: str) -> list[str]:
        """Wait until requests have ended and return their outcomes."""
        await self.wait_until(
            lambda: all(self.channel.outcome_of(name) for name in request_ids),
        )
        return [self.channel.outcome_of(name) for name in request_ids]

    async def wait_until_idle(self) -> None:
        """Wait until the ledger and the engine hold no memory."""
        await self.wait_until(
            lambda: (
                self.executor.idle
                and not self.executor.ledger.reserved_tokens
                and not self.engine.used_memory_tokens()
            )
        )

    def skip_ramp(self) -> None:
        """Complete the ramp, for tests of other behaviour."""
        for _ in range(self.cfg.max_running + 16):
            self.executor.ramp.record_completion()


@asynccontextmanager
async def running_executor(
    model: EngineModel | None = None,
    *,
    skip_ramp: bool = True,
    **changes: Any,
) -> AsyncIterator[ExecutorHarness]:
    """Run an executor with an engine stand-in while the context is open.

    The executor reaches the engine through the proxy of the harness.
    """
    config = CurrentConfig()
    config.adopt(Generation(number=1, config=sample_config()))
    async with anyio.create_task_group() as tasks:
        engine = EngineStandin(model or EngineModel(report_lag_ms=100))
        server = WebServer(engine.app, Address())
        tasks.start_soon(server.run)
        tasks.start_soon(engine.run)
        url = f'http://127.0.0.1:{server.port}'
        proxy = TcpProxy('127.0.0.1', server.port)
        tasks.start_soon(proxy.run)
        cfg = agent_settings(endpoint_url=url, **changes)
        client = FaultyEngine(f'http://127.0.0.1:{proxy.port}')
        executor = Executor(ExecutorDependencies(cfg, config, client), tasks)
        harness = ExecutorHarness(
            engine, url, cfg, config, tasks, client, executor, proxy
        )
        tasks.start_soon(executor.run)
        await harness.wait_until(
            lambda: executor.availability.engine_report is not None
        )
        if skip_ramp:
            harness.skip_ramp()
        yield harness
        tasks.cancel_scope.cancel()
