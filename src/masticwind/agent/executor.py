"""Executes model requests at one endpoint, from offer to completion."""

import time
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.admission import Admission
from masticwind.agent.availability import Availability
from masticwind.agent.cache_view import CachePublisher
from masticwind.agent.drain import log_cut
from masticwind.agent.instrumentation import Instrumentation, SampledState
from masticwind.agent.ledger import MemoryLedger
from masticwind.agent.load import LoadReporter
from masticwind.agent.ramp import Ramp
from masticwind.agent.rates import Rates
from masticwind.agent.reconcile import (
    Reconciler,
    ReconcilerDependencies,
    adopted_request,
)
from masticwind.agent.requests import AgentRequest, RequestKey
from masticwind.agent.runner import Runner, end_with_error
from masticwind.agent.running import RunningRequests
from masticwind.agent.scheduler import Scheduler, SchedulerDependencies
from masticwind.agent.shares import ShareLeases
from masticwind.agent.steps import StepFeeder
from masticwind.budget import MS_PER_S, Budget
from masticwind.config.current import CurrentConfig
from masticwind.engines.base import Engine, EngineReport
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    Accepted,
    Body,
    Cancel,
    End,
    Load,
    Offer,
    Refused,
    Release,
    Reserve,
    Reserved,
    Resume,
    Revoke,
    Revoked,
)
from masticwind.settings import AgentSettings
from masticwind.telemetry import NO_TELEMETRY, Telemetry

REPORT_INTERVAL_S: Final = 0.25
SWEEP_INTERVAL_S: Final = 0.25
# Longest time between two checks of the queue if no change is signalled.
QUEUE_POLL_INTERVAL_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class ExecutorDependencies:
    """Dependencies of an `Executor`."""

    cfg: AgentSettings
    config: CurrentConfig
    engine: Engine
    telemetry: Telemetry = NO_TELEMETRY


class Executor:
    """Queues, runs and tracks the requests of one engine."""

    def __init__(self, deps: ExecutorDependencies, tasks: TaskGroup) -> None:
        cfg = deps.cfg
        self._deps: Final = deps
        self._tasks: Final = tasks
        self._rates: Final = Rates()
        self.ledger: Final = MemoryLedger()
        self.ramp: Final = Ramp(cfg, self._rates)
        self.availability: Final = Availability(cfg, deps.config, self.ramp)
        self.running: Final = RunningRequests(cfg)
        self.scheduler: Final = Scheduler(
            SchedulerDependencies(cfg, self.ledger, self._rates, self.running),
        )
        self.shares: Final = ShareLeases(self.ledger, deps.engine, tasks)
        self.reconciler: Final = Reconciler(
            ReconcilerDependencies(
                cfg,
                deps.engine,
                self.ledger,
                self.running,
                self.shares,
            ),
        )
        self._runner: Final = Runner(
            cfg,
            deps.engine,
            self._rates,
            self.ramp,
            self.running,
            StepFeeder(
                cfg,
                deps.engine,
                self._rates,
                self.running,
                self.scheduler,
            ),
            self.shares,
        )
        self._instrumentation: Final = Instrumentation(
            deps.telemetry,
            SampledState(
                self.ledger,
                self.ramp,
                self.reconciler,
                self.running,
                self.scheduler,
            ),
        )
        self.cache_publisher: Final = CachePublisher(deps.engine)
        self._requests: Final[dict[RequestKey, AgentRequest]] = {}

    @property
    def draining(self) -> bool:
        """Whether new work is refused."""
        return self.availability.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self.availability.draining = draining

    @property
    def idle(self) -> bool:
        """Whether nothing is queued, running, leased or undelivered.

        The end of a request whose connection was lost stays undelivered
        until a `Resume` arrives or the grace period is over.
        """
        ended = all(
            req.state == 'ended' and req.detached_at is None
            for req in self._requests.values()
        )
        return ended and not self.running and not self.shares

    async def run(self) -> None:
        """Start queued requests, poll the engine and sweep until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_engine)
            tasks.start_soon(self._sweep_loop)
            tasks.start_soon(self.cache_publisher.run)
            while True:
                # A finished prefill is signalled here and may free a slot.
                await self.running.wait_for_change(QUEUE_POLL_INTERVAL_S)
                self._start_queued()

    def handle_offer(self, channel: Channel, offer: Offer) -> None:
        """Accept or refuse an offer; a duplicate reattaches its request."""
        key = (offer.request_id, offer.attempt)
        known = self._requests.get(key)
        if known is not None:
            if known.state != 'receiving':
                channel.send(Accepted(*key, body_received=len(known.body)))
            known.attach(channel, 0)
            return
        req = AgentRequest(offer, Budget.from_ms(offer.timeout_ms), channel)
        req.estimated_cached_tokens = self.cache_publisher.view.cached_tokens(
            offer
        )
        predicted = self._admit(req)
        if isinstance(predicted, Failure):
            channel.send(
                Refused(
                    *key,
                    predicted.kind,
                    predicted.reason,
                    predicted.retry_after_ms,
                )
            )
            return
        self._requests[key] = req
        channel.send(Accepted(*key, predicted))
        if offer.body_bytes == len(offer.body):
            req.body.extend(offer.body)
            self._enqueue(req)

    def append_body(self, message: Body) -> None:
        """Append a chunk to a request's body and queue a complete request."""
        req = self._requests.get((message.request_id, message.attempt))
        if req is None or req.state != 'receiving':
            return
        received_bytes = len(req.body)
        offset = received_bytes if message.offset < 0 else message.offset
        if offset > received_bytes:
            # An earlier chunk was lost with its connection; on resuming the
            # entry sends again from the acknowledged offset.
            return
        req.body.extend(message.chunk[received_bytes - offset :])
        if len(req.body) > req.offer.body_bytes:
            end_with_error(
                req, ErrorKind.BAD_REQUEST, 'the body is longer than offered'
            )
        elif len(req.body) == req.offer.body_bytes:
            self._enqueue(req)

    def resume(self, channel: Channel, message: Resume) -> None:
        """Continue a request, or an adopted stream, on a new connection."""
        key = (message.request_id, message.attempt)
        req = self._requests.get(key)
        if req is not None:
            req.attach(channel, message.offset)
            return
        if self._adopt_stream(channel, message):
            return
        channel.send(
            End(*key, 0, ErrorKind.NOT_FOUND, 'unknown request'),
        )

    def revoke(self, channel: Channel, message: Revoke) -> None:
        """Stop a request and report whether it may have started."""
        key = (message.request_id, message.attempt)
        self.availability.revoke(key)
        req = self._requests.get(key)
        was_orphan = (
            req is None and self.reconciler.take_stream(key) is not None
        )
        started = was_orphan or (req is not None and req.started)
        if req is not None:
            self._stop_request(req, ErrorKind.REVOKED)
        self.shares.end_request_leases(key)
        channel.send(Revoked(*key, started))

    def cancel(self, message: Cancel) -> None:
        """Stop a request whose caller has disconnected."""
        key = (message.request_id, message.attempt)
        req = self._requests.get(key)
        if req is not None:
            self._stop_request(req, ErrorKind.CANCELLED)
        self.shares.end_request_leases(key)

    def reserve(self, channel: Channel, message: Reserve) -> None:
        """Grant or renew a memory lease for one share of a prompt."""
        key = (message.request_id, message.attempt, message.share)
        refusal = None
        if not self.shares.is_renewal(message):
            refusal = self.availability.check_new_work(key[:2])
        refusal = refusal or self.shares.reserve(message)
        if refusal is None:
            channel.send(Reserved(*key))
            return
        channel.send(Reserved(*key, refusal.kind, refusal.reason))

    def release(self, message: Release) -> None:
        """End the lease of a share."""
        self.shares.end_lease(
            (message.request_id, message.attempt, message.share)
        )

    def detach_channel(self, channel: Channel) -> None:
        """Mark the requests of a lost connection as waiting for a resume."""
        for req in self._requests.values():
            if req.channel is channel:
                req.detached_at = time.monotonic()

    def cut(self) -> None:
        """End all requests and leases because the agent stops."""
        for req in self._requests.values():
            if req.end is not None:
                continue
            kind = ErrorKind.DRAINING
            if req.started:
                kind = ErrorKind.FAILED_AFTER_START
            log_cut(
                req.offer.request_id,
                time.monotonic() - req.arrived_at,
                kind,
                answer_begun=bool(req.generated_tokens),
            )
            end_with_error(req, kind, 'the agent was stopped')
            self._stop_request(req, kind)
        self.shares.end_all_leases()

    def load_report(self) -> Load:
        """Return the load report for heartbeats."""
        return LoadReporter(
            self.availability,
            self.ledger,
            self._rates,
            self.running,
            self.scheduler,
        ).report()

    def _admit(self, req: AgentRequest) -> int | Failure:
        offer = req.offer
        refusal = self.availability.check_new_work(
            (offer.request_id, offer.attempt)
        )
        if refusal is not None:
            return refusal
        if not self.availability.has_model(offer.model):
            return Failure(
                kind=ErrorKind.NO_CAPACITY, reason='the model is not loaded'
            )
        if offer.share_of:
            return self.shares.bind_request(req) or 0
        if req.memory_tokens > self.ledger.total_tokens:
            return Failure(
                kind=ErrorKind.NO_CAPACITY,
                reason='the request exceeds the engine memory',
            )
        return Admission(
            self._deps.cfg,
            self.scheduler,
            self.running,
            self._rates,
            self.ledger,
        ).admit(
            offer, req.estimated_cached_tokens, self.availability.capacity()
        )

    def _enqueue(self, req: AgentRequest) -> None:
        if req.state != 'ended':
            req.queued_at = time.monotonic()
            self.scheduler.add(req)
            self.running.notify_change()

    def _start_queued(self) -> None:
        self._end_late_requests()
        while True:
            req = self.scheduler.start_next(self.availability.capacity())
            if req is None:
                break
            self._instrumentation.record_queue_span(req)
            self._start(req)
        for victim in self.scheduler.select_preemptions(
            self.availability.capacity()
        ):
            victim.preempted = True
            self._instrumentation.count_preemption()
            if victim.cancel_scope is not None:
                victim.cancel_scope.cancel()

    def _start(self, req: AgentRequest) -> None:
        req.state = 'running'
        # A request queued before the engine emptied follows the last one at
        # once, so the engine was not idle in between.
        if not self.running and req.queued_at > self.running.emptied_at:
            self.ramp.record_start_after_idle()
        self.running.add(req)
        self._tasks.start_soon(self._run_request, req)

    async def _run_request(self, req: AgentRequest) -> None:
        try:
            if not req.preempted and req.end is None:
                with self._instrumentation.engine_span(req):
                    await self._runner.run(req)
        finally:
            self.running.remove(req)
            self.ledger.release(req.key)
            self.scheduler.refund_unused_output(req)
            self.running.notify_change()
        if req.end is None and not req.generated_tokens:
            req.prepare_requeue()
            self._enqueue(req)
            return
        req.left_engine.set()
        end_with_error(req, ErrorKind.FAILED_AFTER_START, 'stopped')

    def _end_late_requests(self) -> None:
        """End queued requests that can no longer meet their deadline."""
        for req in self.scheduler.queued():
            if not self.scheduler.cannot_meet_deadline(req):
                continue
            self._dequeue(req)
            kind = ErrorKind.TIMED_OUT if req.started else ErrorKind.OVERLOADED
            end_with_error(req, kind, 'the deadline cannot be met')

    def _dequeue(self, req: AgentRequest) -> None:
        if self.scheduler.remove(req):
            self._instrumentation.record_queue_span(req)

    def _stop_request(self, req: AgentRequest, kind: ErrorKind) -> None:
        self._dequeue(req)
        end_with_error(req, kind, 'withdrawn')
        if req.cancel_scope is not None:
            req.cancel_scope.cancel()

    def _adopt_stream(self, channel: Channel, message: Resume) -> bool:
        """Adopt a stream that was started before this agent restarted."""
        key = (message.request_id, message.attempt)
        found = self.reconciler.take_stream(key)
        if found is None:
            return False
        req = adopted_request(found, message, channel)
        self._requests[key] = req
        self.ledger.record_held(key, req.memory_tokens)
        self._start(req)
        return True

    async def _poll_engine(self) -> None:
        engine = self._deps.engine
        while True:
            report = await engine.read_report()
            # The first reconciliation finds what a previous agent process
            # started; no work is accepted before it.
            if isinstance(report, Failure) or isinstance(
                await self.reconciler.reconcile(),
                Failure,
            ):
                self.availability.engine_report = None
            else:
                self._apply_report(report)
            await anyio.sleep(REPORT_INTERVAL_S)

    def _apply_report(self, report: EngineReport) -> None:
        self.availability.engine_report = report
        self.ledger.total_tokens = report.memory_total_tokens
        if self.ramp.apply_report(report):
            self.shares.end_all_leases()
            self.cache_publisher.view.reset()
        self.running.notify_change()

    async def _sweep_loop(self) -> None:
        grace_s = self._deps.cfg.orphan_grace_ms / MS_PER_S
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.shares.end_expired_leases()
            cutoff = time.monotonic() - grace_s
            for req in list(self._requests.values()):
                self._sweep_request(req, cutoff)

    def _sweep_request(self, req: AgentRequest, cutoff: float) -> None:
        if req.state == 'ended':
            if req.ended_at < cutoff:
                self._requests.pop(req.key)
            return
        if req.detached_at is not None and req.detached_at < cutoff:
            self._stop_request(req, ErrorKind.CANCELLED)
        elif req.state == 'receiving' and req.budget.is_expired():
            end_with_error(
                req, ErrorKind.OVERLOADED, 'the body was not received in time'
            )
