"""An executor beside an engine stand-in, without an entry."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.executor import Executor, ExecutorDependencies
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Generation
from masticwind.engines.base import EngineEvent, EngineRequest
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
from masticwind_dev.standins.engine import EngineModel, EngineStandin
from tests.scenarios import sample_config

WAIT_S = 20.0
POLL_S = 0.005


class Recorder(Channel):
    """A connection that keeps what was sent on it."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.sent_at: list[float] = []

    def send(self, message: Message) -> bool:
        """Keep a message and its time."""
        self.sent.append(message)
        self.sent_at.append(anyio.current_time())
        return True

    def of(self, request_id: str, kind: type[Message]) -> list[Any]:
        """Return the messages of one kind about one request."""
        return [
            one
            for one in self.sent
            if isinstance(one, kind)
            and getattr(one, 'request_id', '') == request_id
        ]

    def text(self, request_id: str) -> str:
        """Return the output of a request; fail on a gap or a repeat."""
        tokens: list[str] = []
        for output in self.of(request_id, Output):
            assert output.offset == len(tokens)
            tokens.extend(output.tokens)
        return ''.join(tokens)

    def end(self, request_id: str) -> End | None:
        """Return the end of a request; fail if there is a second one."""
        ends = self.of(request_id, End)
        assert len(ends) <= 1
        return ends[0] if ends else None

    def outcome(self, request_id: str) -> str:
        """Return `done`, an error kind, or nothing while it runs."""
        refused = self.of(request_id, Refused)
        if refused:
            return str(refused[0].kind)
        end = self.end(request_id)
        if end is None:
            return ''
        return end.kind or 'done'

    def accepted(self, request_id: str) -> bool:
        """Tell whether a request was accepted."""
        return bool(self.of(request_id, Accepted))


def agent_settings(**changes: Any) -> AgentSettings:
    """Return settings of an agent beside an engine."""
    values: dict[str, Any] = {
        'node': 'agent-1',
        'zone': 'zone-a',
        'endpoint': 'e1',
        'endpoint_url': 'http://127.0.0.1:1',
        'peers': PeerSettings(secrets=('s',)),
        'orphan_grace_ms': 300,
    }
    return AgentSettings(**(values | changes))


def offer_of(request_id: str, tokens: int = 100, **changes: Any) -> Offer:
    """Return an offer with its body, at four bytes to a token."""
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


class BreakableEngine(HttpEngine):
    """The engine's adapter, with the faults of a process or a network."""

    def __init__(self, base_url: str) -> None:
        super().__init__(base_url)
        self.silent_cancel = False
        self.breaks = 0

    async def cancel(self, request_id: str) -> Failure | None:
        """Cancel, unless the agent's process is meant to be dead."""
        if self.silent_cancel:
            return None
        return await super().cancel(request_id)

    @asynccontextmanager
    async def generate(
        self,
        req: EngineRequest,
    ) -> AsyncIterator[AsyncIterator[EngineEvent]]:
        """Generate, and lose the connection where `breaks` asks for it."""
        async with super().generate(req) as events:
            yield self._until_broken(events)

    async def _until_broken(
        self,
        events: AsyncIterator[EngineEvent],
    ) -> AsyncIterator[EngineEvent]:
        async for event in events:
            if self.breaks:
                self.breaks -= 1
                yield Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason='broken')
                return
            yield event


@dataclass(slots=True)
class Rig:
    """The parts under test."""

    engine: EngineStandin
    url: str
    cfg: AgentSettings
    config: CurrentConfig
    tasks: TaskGroup
    client: BreakableEngine
    executor: Executor
    channel: Recorder = field(default_factory=Recorder)

    def offer(self, request_id: str, tokens: int = 100, **more: Any) -> None:
        """Offer a request."""
        self.executor.handle_offer(
            self.channel, offer_of(request_id, tokens, **more)
        )

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(POLL_S)

    async def ended(self, *request_ids: str) -> list[str]:
        """Wait for the ends of requests and return their outcomes."""
        await self.until(
            lambda: all(self.channel.outcome(one) for one in request_ids),
        )
        return [self.channel.outcome(name) for name in request_ids]

    async def at_rest(self) -> None:
        """Wait until the books and the engine hold nothing."""
        await self.until(
            lambda: (
                self.executor.idle
                and not self.executor.ledger.reserved_tokens
                and not self.engine.memory_used()
            )
        )

    def warm(self) -> None:
        """Skip the ramp, for tests of other things."""
        for _ in range(self.cfg.max_running + 16):
            self.executor.ramp.record_completion()


@asynccontextmanager
async def agent_rig(
    model: EngineModel | None = None,
    *,
    warm: bool = True,
    **changes: Any,
) -> AsyncIterator[Rig]:
    """Run an executor beside a stand-in while the context is open."""
    config = CurrentConfig()
    config.adopt(Generation(number=1, config=sample_config()))
    async with anyio.create_task_group() as tasks:
        engine = EngineStandin(model or EngineModel(report_lag_ms=100))
        server = WebServer(engine.app, Address())
        tasks.start_soon(server.run)
        tasks.start_soon(engine.run)
        url = f'http://127.0.0.1:{server.port}'
        cfg = agent_settings(endpoint_url=url, **changes)
        client = BreakableEngine(url)
        executor = Executor(ExecutorDependencies(cfg, config, client), tasks)
        rig = Rig(engine, url, cfg, config, tasks, client, executor)
        tasks.start_soon(executor.run)
        await rig.until(lambda: executor.availability.engine_report is not None)
        if warm:
            rig.warm()
        yield rig
        tasks.cancel_scope.cancel()
