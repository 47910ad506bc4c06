"""The life of requests at one endpoint: from offer to end."""

import time
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.ledger import Ledger
from masticwind.agent.requests import AgentRequest, RequestKey
from masticwind.agent.scheduler import Scheduler
from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import (
    Done,
    Engine,
    EngineEvent,
    EngineReport,
    EngineRequest,
    Tokens,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    Accepted,
    Body,
    Cancel,
    End,
    Load,
    LoadState,
    Offer,
    Refused,
    Resume,
    Revoke,
    Revoked,
)
from masticwind.settings import AgentSettings

REPORT_INTERVAL_S: Final = 0.25
SWEEP_INTERVAL_S: Final = 0.5
MS_PER_S: Final = 1000
MAX_REVOKED: Final = 100_000


@dataclass(frozen=True, slots=True)
class ExecutorParts:
    """What an executor works with."""

    cfg: AgentSettings
    config: CurrentConfig
    engine: Engine


class Executor:
    """Owns the requests of one engine."""

    def __init__(self, parts: ExecutorParts, tasks: TaskGroup) -> None:
        self._cfg: Final = parts.cfg
        self._config: Final = parts.config
        self._engine: Final = parts.engine
        self._tasks: Final = tasks
        self._ledger: Final = Ledger()
        self._scheduler: Final = Scheduler(parts.cfg, self._ledger)
        self._requests: Final[dict[RequestKey, AgentRequest]] = {}
        self._revoked: Final[dict[str, float]] = {}
        self._report: EngineReport | None = None
        self._running = 0
        self._wake = anyio.Event()
        self.draining = False

    @property
    def idle(self) -> bool:
        """Whether no request is under way or waits to be resumed."""
        return all(
            req.state == 'ended' and req.detached_at is None
            for req in self._requests.values()
        )

    async def run(self) -> None:
        """Start queued requests, read reports and sweep, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_report)
            tasks.start_soon(self._sweep)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                self._start_queued()

    def offer(self, channel: Channel, offer: Offer) -> None:
        """Decide on an offer and answer it."""
        key = (offer.request_id, offer.attempt)
        known = self._requests.get(key)
        if known is not None:
            if known.state != 'receiving':
                channel.send(Accepted(*key, body_received=len(known.body)))
            known.attach(channel, 0)
            return
        refusal = self._refusal(offer)
        if refusal is not None:
            channel.send(
                Refused(
                    *key,
                    refusal.kind,
                    refusal.reason,
                    refusal.retry_after_ms,
                )
            )
            return
        req = AgentRequest(offer, Budget.from_ms(offer.timeout_ms), channel)
        self._requests[key] = req
        channel.send(Accepted(*key))
        if offer.body_bytes == len(offer.body):
            req.body.extend(offer.body)
            self._enqueue(req)

    def body(self, message: Body) -> None:
        """Take a chunk of a body."""
        req = self._requests.get((message.request_id, message.attempt))
        if req is None or req.state != 'receiving':
            return
        received = len(req.body)
        offset = received if message.offset < 0 else message.offset
        if offset > received:
            # A chunk before this one was lost with a connection; the entry
            # sends from the acknowledged offset when it resumes.
            return
        req.body.extend(message.chunk[received - offset :])
        if len(req.body) > req.offer.body_bytes:
            self._end(req, ErrorKind.BAD_REQUEST, 'body longer than offered')
        elif len(req.body) == req.offer.body_bytes:
            self._enqueue(req)

    def resume(self, channel: Channel, message: Resume) -> None:
        """Continue a request on a new connection."""
        key = (message.request_id, message.attempt)
        req = self._requests.get(key)
        if req is None:
            channel.send(
                End(
                    *key,
                    0,
                    ErrorKind.NOT_FOUND,
                    'the agent does not know it',
                )
            )
            return
        req.attach(channel, message.offset)

    async def revoke(self, channel: Channel, message: Revoke) -> None:
        """Withdraw a request and say whether it can have run."""
        self._revoked[message.request_id] = time.monotonic()
        if len(self._revoked) > MAX_REVOKED:
            self._revoked.pop(next(iter(self._revoked)))
        key = (message.request_id, message.attempt)
        req = self._requests.get(key)
        started = req is not None and req.started
        if req is not None:
            await self._stop(req, ErrorKind.REVOKED)
        channel.send(Revoked(*key, started))

    async def cancel(self, message: Cancel) -> None:
        """Stop a request whose caller has left."""
        req = self._requests.get((message.request_id, message.attempt))
        if req is not None:
            await self._stop(req, ErrorKind.CANCELLED)

    def detach(self, channel: Channel) -> None:
        """Note that a connection is gone; its requests wait for a resume."""
        for req in self._requests.values():
            if req.channel is channel:
                req.detached_at = time.monotonic()

    def load(self) -> Load:
        """Return the load report for heartbeats."""
        report = self._report
        models = () if report is None else report.models
        return Load(
            state=self._state(),
            models=models,
            slots=max(0, self._capacity() - self._running),
            running=self._running,
            queued=len(self._scheduler),
            paid_work_tokens=self._scheduler.work_tokens(paid=True),
            free_work_tokens=self._scheduler.work_tokens(paid=False),
            memory_free_tokens=self._ledger.free_tokens,
            memory_total_tokens=self._ledger.total_tokens,
        )

    def _state(self) -> LoadState:
        if self.draining:
            return 'draining'
        if self._report is None:
            return 'down'
        if not self._in_service():
            return 'out'
        return 'cold' if self._report.cold else 'serving'

    def _in_service(self) -> bool:
        return self._config.zone_in_service(
            self._cfg.zone
        ) and self._config.endpoint_in_service(self._cfg.endpoint)

    def _capacity(self) -> int:
        if self._report is not None and self._report.cold:
            return self._cfg.cold_capacity
        return self._cfg.max_running

    def _refusal(self, offer: Offer) -> Failure | None:
        if offer.request_id in self._revoked:
            return Failure(kind=ErrorKind.REVOKED, reason='revoked before')
        if self.draining:
            return Failure(kind=ErrorKind.DRAINING, reason='shutting down')
        if not self._in_service():
            return Failure(kind=ErrorKind.ZONE_OUT, reason='out of service')
        if self._report is None:
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='engine is down')
        if offer.model not in self._report.models:
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='model not here')
        if offer.prompt_tokens + offer.max_tokens > self._ledger.total_tokens:
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='exceeds memory')
        if len(self._scheduler) >= self._cfg.max_queued:
            return Failure(kind=ErrorKind.OVERLOADED, reason='queue is full')
        return None

    def _enqueue(self, req: AgentRequest) -> None:
        self._scheduler.add(req)
        self._wake.set()

    def _start_queued(self) -> None:
        while True:
            req = self._scheduler.take(self._running, self._capacity())
            if req is None:
                return
            self._running += 1
            req.state = 'running'
            self._tasks.start_soon(self._run_request, req)

    async def _run_request(self, req: AgentRequest) -> None:
        try:
            with anyio.move_on_after(req.budget.remaining_s()):
                await self._generate(req)
            if req.end is None:
                await self._engine.cancel(_engine_id(req))
                self._end(req, ErrorKind.TIMED_OUT, 'time budget is used up')
        finally:
            self._running -= 1
            self._ledger.free(req.key)
            self._wake.set()

    async def _generate(self, req: AgentRequest) -> None:
        req.started = True
        async with self._engine.generate(_engine_request(req)) as events:
            async for event in events:
                self._take_event(req, event)
                if req.end is not None:
                    return

    def _take_event(self, req: AgentRequest, event: EngineEvent) -> None:
        if isinstance(event, Tokens):
            fresh = event.tokens[len(req.output) - event.offset :]
            if fresh:
                req.emit(fresh)
        elif isinstance(event, Done):
            req.finish(
                End(
                    *req.key,
                    len(req.output),
                    cached_tokens=event.cached_tokens,
                )
            )
        else:
            self._end(req, event.kind, event.reason)

    async def _stop(self, req: AgentRequest, kind: ErrorKind) -> None:
        if req.state == 'ended':
            return
        self._scheduler.remove(req)
        self._end(req, kind, 'withdrawn')
        if req.started:
            await self._engine.cancel(_engine_id(req))

    def _end(self, req: AgentRequest, kind: ErrorKind, reason: str) -> None:
        if req.end is None:
            req.finish(End(*req.key, len(req.output), kind, reason))

    async def _poll_report(self) -> None:
        while True:
            report = await self._engine.report()
            if isinstance(report, Failure):
                self._report = None
            else:
                self._report = report
                self._ledger.total_tokens = report.memory_total_tokens
                self._wake.set()
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _sweep(self) -> None:
        grace_s = self._cfg.orphan_grace_ms / MS_PER_S
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            horizon = time.monotonic() - grace_s
            for req in list(self._requests.values()):
                await self._sweep_request(req, horizon)

    async def _sweep_request(self, req: AgentRequest, horizon: float) -> None:
        if req.state == 'ended':
            if req.ended_at < horizon:
                self._requests.pop(req.key)
            return
        if req.detached_at is not None and req.detached_at < horizon:
            await self._stop(req, ErrorKind.CANCELLED)
        elif req.state != 'running' and req.budget.expired():
            self._expire(req)

    def _expire(self, req: AgentRequest) -> None:
        self._scheduler.remove(req)
        self._end(req, ErrorKind.OVERLOADED, 'not started in time')


def _engine_id(req: AgentRequest) -> str:
    return f'{req.offer.request_id}.{req.offer.attempt}'


def _engine_request(req: AgentRequest) -> EngineRequest:
    offer = req.offer
    return EngineRequest(
        request_id=_engine_id(req),
        model=offer.model,
        prompt=bytes(req.body),
        prompt_tokens=offer.prompt_tokens,
        max_tokens=offer.max_tokens,
        priority=0 if offer.paid else 1,
    )
