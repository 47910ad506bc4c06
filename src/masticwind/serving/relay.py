"""Carries one request from its admission to its true answer.

A request is sent once more only if that cannot make it run twice: it was
not sent, its endpoint says that it did not run, or it may be repeated. A
stream that may be resumed goes on after its last whole event.
"""

import math
import random
import time
from dataclasses import dataclass, field
from typing import Final

import anyio
from loguru import logger

from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.httpclient import BrokenStreamError
from masticwind.serving.bounds import ColdRate, RepeatBudget
from masticwind.serving.directory import Directory, Operations
from masticwind.serving.events import EventSplitter
from masticwind.serving.health import Health
from masticwind.serving.link import (
    Attempt,
    AttemptLimits,
    CallerAnswer,
    EndpointLink,
    Helper,
    Reply,
    Verdict,
)
from masticwind.serving.load import LoadBoard
from masticwind.serving.model import (
    CallerRequest,
    Endpoint,
    FleetConfig,
    Kind,
    Route,
    Service,
    TeamKeys,
)
from masticwind.serving.placement import Deferral, Placement, Placer, Query
from masticwind.serving.reservations import reserved
from masticwind.serving.settings import LiveSettings

MS_PER_S: Final = 1000
# Failures after which an endpoint is left alone for a while.
_BROKEN: Final = frozenset(
    (
        ErrorKind.NO_CAPACITY,
        ErrorKind.FAILED_AFTER_START,
        ErrorKind.OUTCOME_UNKNOWN,
    )
)
# A connection in the same region is there within a few milliseconds.
CONNECT_S: Final = 0.4
# A whole answer may take this many times its predicted time.
WHOLE_MARGIN: Final = 1.5
# Sendings of one request, refused ones included.
MAX_SENDINGS: Final = 6
# The answer must be back a little before the time is over.
ANSWER_MARGIN_MS: Final = 10
# A first event that is this much later than predicted is not waited for.
LATE_FACTOR: Final = 3.0
LATE_FLOOR_S: Final = 0.8
# A long read is not given up, and begun again elsewhere, before this many
# times its aim has gone by.
LATE_AIM_FACTOR: Final = 1.2
# Pauses between events: this many of the route's longest pause, at least.
PAUSE_FACTOR: Final = 4.0
PAUSE_FLOOR_S: Final = 1.2


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayParts:
    """What the relay works with."""

    settings: LiveSettings
    directory: Directory
    operations: Operations
    health: Health
    board: LoadBoard
    calls: Placer
    prompts: Placer
    link: EndpointLink
    repeats: RepeatBudget
    cold: ColdRate


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request with the configuration under which it was admitted.

    `process_ends_at` is infinite unless this process is shutting down.
    """

    req: CallerRequest
    route: Route
    service: Service
    team: TeamKeys
    deadline: float
    process_ends_at: float = math.inf

    def left_s(self) -> float:
        """Return the seconds that are left for it."""
        return max(0.0, self.deadline - time.monotonic())

    @property
    def urgency(self) -> int:
        """Rank of the request; a team's rank goes before the route's."""
        if self.team.priority is not None:
            return self.team.priority
        return self.route.priority


@dataclass(slots=True)
class _Progress:
    """What has happened to a request so far."""

    sendings: int = 0
    ran_at: set[str] = field(default_factory=set)
    excluded: set[str] = field(default_factory=set)
    failure: Failure | None = None
    may_have_run: bool = False
    last_event: int | None = None
    events: int = 0
    first_ms: int = 0
    event_at: float = 0
    longest_pause_s: float = 0
    started: float = field(default_factory=time.monotonic)

    def note_event(self) -> None:
        """Note that events arrive now."""
        now = time.monotonic()
        if self.event_at:
            pause_s = now - self.event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        else:
            self.first_ms = round((now - self.started) * MS_PER_S)
        self.event_at = now


def admit(
    req: CallerRequest,
    route: Route,
    team: TeamKeys | None,
    config: FleetConfig,
) -> Admitted | Failure:
    """Choose the service and fix the time that a request has."""
    service = config.services.get(_backend(route))
    if service is None:
        return Failure(
            kind=ErrorKind.NO_CAPACITY,
            reason=f'route {route.name} names no known service',
        )
    deadline = req.budget.deadline
    if route.timeout_ms:
        longest = time.monotonic() + route.timeout_ms / MS_PER_S
        deadline = min(deadline, longest)
    return Admitted(
        req=req,
        route=route,
        service=service,
        team=team or TeamKeys(name=''),
        deadline=deadline,
    )


def _backend(route: Route) -> str:
    weights = [backend.weight for backend in route.backends]
    if len(weights) == 1 or not sum(weights):
        return route.backends[0].service
    return random.choices(route.backends, weights)[0].service


class Relay:
    """Sends admitted requests and passes their answers on."""

    def __init__(self, parts: RelayParts) -> None:
        self._parts: Final = parts

    async def serve(
        self,
        work: Admitted,
        answer: CallerAnswer,
    ) -> Failure | None:
        """Serve a request; a `Failure` is still to be answered.

        If the answer has begun, a `Failure` means that it must break off.
        """
        parts = self._parts
        parts.repeats.request(work.service.name)
        progress = _Progress(last_event=work.req.resume_after)
        while True:
            placement = await self._place_in_time(work, progress)
            if isinstance(placement, Failure):
                return _final(progress, placement)
            numbers = parts.board.add(placement.jobs)
            try:
                ended = await self._attempt(
                    work, placement, progress, answer, numbers
                )
            finally:
                parts.board.remove(numbers)
            if ended:
                return None
            failure = self._give_up(work, progress)
            if failure is not None:
                return failure

    async def _place_in_time(
        self,
        work: Admitted,
        progress: _Progress,
    ) -> Placement | Failure:
        deferred_at = 0.0
        while True:
            placement = self._place(work, progress)
            now = time.monotonic()
            if not isinstance(placement, Deferral):
                if _ends_too_late(work, placement):
                    return Failure(
                        kind=ErrorKind.DRAINING,
                        reason='shutting down',
                        retry_after_ms=1,
                    )
                if deferred_at:
                    logger.bind(
                        request_id=work.req.request_id,
                        waited_ms=round((now - deferred_at) * MS_PER_S),
                    ).info('placement_resumed')
                return placement
            if not deferred_at:
                deferred_at = now
                logger.bind(
                    request_id=work.req.request_id,
                    reason=placement.reason,
                ).info('placement_deferred')
            await anyio.sleep(placement.wait_ms / MS_PER_S)

    def _place(
        self,
        work: Admitted,
        progress: _Progress,
    ) -> Placement | Deferral | Failure:
        parts = self._parts
        left_s = work.left_s()
        if left_s * MS_PER_S <= ANSWER_MARGIN_MS:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='no time is left',
            )
        candidates = self._candidates(work, progress)
        shares: dict[str, float] = {}
        for endpoint in candidates:
            share = parts.health.failure_share(endpoint.identity)
            if share:
                shares[endpoint.identity] = share
        query = Query(
            request=work.req.request_id,
            service=work.service,
            candidates=candidates,
            jobs=parts.board.jobs(),
            now=parts.board.clock(),
            zone=parts.settings.cfg.zone,
            tokens=work.req.tokens,
            left_ms=left_s * MS_PER_S,
            first_answer_ms=self._aim_ms(work, progress),
            pause_ms=work.route.pause_ms,
            failure_shares=shares,
        )
        if work.service.speed is None or work.req.tokens is None:
            placement = parts.calls.place(query)
        else:
            placement = parts.prompts.place(query)
        if isinstance(placement, Failure):
            logger.bind(
                request_id=work.req.request_id,
                kind=placement.kind.value,
                reason=placement.reason,
                candidates=len(candidates),
                left_ms=round(query.left_ms),
            ).info('placement_refused')
        return placement

    def _aim_ms(self, work: Admitted, progress: _Progress) -> float:
        aim_ms = work.route.first_answer_ms
        if not aim_ms:
            return 0.0
        spent_ms = (time.monotonic() - progress.started) * MS_PER_S
        return max(1.0, aim_ms - spent_ms)

    def _candidates(
        self,
        work: Admitted,
        progress: _Progress,
    ) -> list[Endpoint]:
        parts = self._parts
        service = work.service
        usable: list[Endpoint] = []
        healthy: list[Endpoint] = []
        for endpoint in parts.directory.endpoints(service.name):
            if endpoint.zone in parts.operations.zones_out:
                continue
            if not self._at_home(work, endpoint):
                continue
            if endpoint.identity in progress.excluded:
                continue
            if not parts.cold.free(endpoint.identity, service.cold_per_s):
                continue
            usable.append(endpoint)
            if not parts.health.out(endpoint.identity):
                healthy.append(endpoint)
        return healthy or usable

    def _at_home(self, work: Admitted, endpoint: Endpoint) -> bool:
        region = self._parts.settings.cfg.zones.get(endpoint.zone, '')
        for homes in (work.route.home_regions, work.team.home_regions):
            if homes and region not in homes:
                return False
        return True

    async def _attempt(
        self,
        work: Admitted,
        placement: Placement,
        progress: _Progress,
        answer: CallerAnswer,
        numbers: tuple[int, ...],
    ) -> bool:
        """Send once; tell whether the request has its whole answer."""
        parts = self._parts
        lead = placement.lead
        limits = _limits_of(work, placement, progress)
        progress.sendings += 1
        parts.cold.sent(lead.identity)
        sent_at = time.monotonic()
        log = logger.bind(
            request_id=work.req.request_id,
            endpoint=lead.identity,
            attempt=progress.sendings,
        )
        outcome: Failure | None = None
        try:
            with anyio.fail_after(work.left_s()):
                outcome = await self._send(
                    work, placement, progress, answer, numbers, limits
                )
        except TimeoutError:
            outcome = Failure(
                kind=ErrorKind.TIMED_OUT,
                reason='the endpoint did not end in time',
            )
        except BrokenStreamError as exc:
            outcome = Failure(
                kind=ErrorKind.FAILED_AFTER_START,
                reason=f'the answer broke off: {exc}',
            )
        took_ms = round((time.monotonic() - sent_at) * MS_PER_S)
        if outcome is None:
            parts.health.succeeded(lead.identity)
            log.bind(
                took_ms=took_ms,
                events=progress.events,
                first_ms=progress.first_ms,
                pause_ms=round(progress.longest_pause_s * MS_PER_S),
            ).info('attempt_done')
            return True
        log.bind(
            took_ms=took_ms,
            events=progress.events,
            kind=outcome.kind.value,
            reason=outcome.reason,
        ).info('attempt_failed')
        await self._note(work, lead, outcome, progress)
        return False

    async def _send(
        self,
        work: Admitted,
        placement: Placement,
        progress: _Progress,
        answer: CallerAnswer,
        numbers: tuple[int, ...],
        limits: AttemptLimits,
    ) -> Failure | None:
        parts = self._parts
        async with reserved(
            parts.link, placement, work.req.request_id
        ) as helpers:
            if isinstance(helpers, Failure):
                return helpers
            attempt = _attempt_of(work, placement, helpers, progress)
            logger.bind(
                request_id=work.req.request_id,
                endpoint=placement.lead.identity,
                attempt=progress.sendings,
                route=work.route.name,
                prompt=work.req.tokens.prompt if work.req.tokens else 0,
                helpers=[one.endpoint.identity for one in helpers],
                predicted_ms=round(placement.first_ms),
                whole_ms=round(placement.whole_ms),
                left_ms=attempt.work_ms,
                resume_after=attempt.resume_after,
            ).info('attempt_sent')
            with anyio.move_on_after(limits.first_s) as waiting:
                async with parts.link.send(attempt, limits) as reply:
                    waiting.deadline = math.inf
                    if isinstance(reply, Failure):
                        return reply
                    return await self._receive(
                        work, reply, progress, answer, numbers, limits
                    )
        return Failure(
            kind=ErrorKind.TIMED_OUT,
            reason=f'no answer for {limits.first_s:.2f} s',
        )

    async def _receive(
        self,
        work: Admitted,
        reply: Reply,
        progress: _Progress,
        answer: CallerAnswer,
        numbers: tuple[int, ...],
        limits: AttemptLimits,
    ) -> Failure | None:
        if reply.verdict is Verdict.WRONG_ENDPOINT:
            return Failure(kind=ErrorKind.REVOKED, reason='another endpoint')
        if reply.verdict is Verdict.NOT_RUN:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason=f'refused with status {reply.status}',
            )
        if reply.verdict is Verdict.FOREIGN:
            return Failure(
                kind=ErrorKind.FAILED_AFTER_START,
                reason=f'not an answer to this request ({reply.status})',
            )
        if work.route.kind is Kind.STREAM and reply.success:
            return await self._stream(
                work, reply, progress, answer, numbers, limits
            )
        return await self._whole(work, reply, progress, answer)

    async def _whole(
        self,
        work: Admitted,
        reply: Reply,
        progress: _Progress,
        answer: CallerAnswer,
    ) -> Failure | None:
        body = b''.join([chunk async for chunk in reply.chunks])
        if answer.started:
            return Failure(
                kind=ErrorKind.FAILED_AFTER_START,
                reason=f'resuming was answered with status {reply.status}',
            )
        failed = reply.status >= 500
        if failed and _another_endpoint(work, progress):
            return Failure(
                kind=ErrorKind.INTERNAL,
                reason=f'the endpoint failed with status {reply.status}',
            )
        await answer.start(reply.status, reply.headers, len(body))
        await answer.write(body)
        await answer.finish()
        return None

    async def _stream(
        self,
        work: Admitted,
        reply: Reply,
        progress: _Progress,
        answer: CallerAnswer,
        numbers: tuple[int, ...],
        limits: AttemptLimits,
    ) -> Failure | None:
        splitter = EventSplitter()
        wait_s = limits.first_s
        chunks = aiter(reply.chunks)
        while True:
            chunk = b''
            with anyio.move_on_after(wait_s) as waiting:
                chunk = await anext(chunks, b'')
            if waiting.cancelled_caught:
                return Failure(
                    kind=ErrorKind.TIMED_OUT,
                    reason=f'no event for {wait_s:.2f} s',
                )
            if not chunk:
                break
            whole: list[bytes] = []
            for event in splitter.feed(chunk):
                number = event.number
                last = progress.last_event
                if number is not None and last is not None and number <= last:
                    continue
                if number is not None:
                    progress.last_event = number
                whole.append(event.content)
            if not whole:
                continue
            if not answer.started:
                await answer.start(reply.status, reply.headers, None)
            progress.note_event()
            self._parts.board.first_token(numbers)
            progress.events += len(whole)
            wait_s = limits.pause_s
            await answer.write(b''.join(whole))
        if splitter.partial or not answer.started:
            return Failure(
                kind=ErrorKind.FAILED_AFTER_START,
                reason='the stream ended within an event',
            )
        await answer.finish()
        return None

    async def _note(
        self,
        work: Admitted,
        lead: Endpoint,
        outcome: Failure,
        progress: _Progress,
    ) -> None:
        """Take over what a failed attempt says of the request and endpoint."""
        parts = self._parts
        progress.excluded.add(lead.identity)
        if outcome.kind is ErrorKind.REVOKED:
            parts.directory.remove(lead.identity, 'its address has another')
            await parts.link.forget(lead)
        elif outcome.kind is not ErrorKind.OVERLOADED:
            parts.health.failed(
                lead.identity,
                outcome.reason,
                broken=outcome.kind in _BROKEN,
            )
        progress.failure = outcome
        if not not_run(outcome.kind):
            progress.may_have_run = True
            progress.ran_at.add(lead.identity)

    def _give_up(self, work: Admitted, progress: _Progress) -> Failure | None:
        """Return the failure to answer with, or None to send once more."""
        failure = progress.failure
        assert failure is not None
        if progress.sendings >= MAX_SENDINGS:
            return _final(progress, failure)
        if progress.may_have_run and not work.route.repeatable:
            return _final(progress, failure)
        if len(progress.ran_at) >= work.route.max_endpoints:
            return _final(progress, failure)
        if work.left_s() * MS_PER_S <= ANSWER_MARGIN_MS:
            return _final(progress, failure)
        if not self._parts.repeats.take(work.service.name):
            logger.bind(
                request_id=work.req.request_id,
                service=work.service.name,
            ).info('repeat_budget_spent')
            return _final(progress, failure)
        return None


def _ends_too_late(work: Admitted, placement: Placement | Failure) -> bool:
    if isinstance(placement, Failure):
        return False
    whole_s = placement.whole_ms * WHOLE_MARGIN / MS_PER_S
    return time.monotonic() + whole_s > work.process_ends_at


def _final(progress: _Progress, failure: Failure) -> Failure:
    """Return the true answer after the last attempt."""
    if progress.may_have_run and not_run(failure.kind):
        failure = progress.failure or failure
        if not_run(failure.kind):
            return Failure(
                kind=ErrorKind.FAILED_AFTER_START,
                reason='an earlier attempt may have run',
            )
    return failure


def _attempt_of(
    work: Admitted,
    placement: Placement,
    helpers: tuple[Helper, ...],
    progress: _Progress,
) -> Attempt:
    left_ms = int(work.left_s() * MS_PER_S) - ANSWER_MARGIN_MS
    return Attempt(
        req=work.req,
        endpoint=placement.lead,
        team=work.team.name,
        work_ms=max(1, left_ms),
        urgency=min(9, max(0, work.urgency)),
        at_most_once=not work.route.repeatable,
        resume_after=progress.last_event,
        helpers=helpers,
    )


def _limits_of(
    work: Admitted,
    placement: Placement,
    progress: _Progress,
) -> AttemptLimits:
    """Return the time limits of an attempt.

    An endpoint's silence ends an attempt early only where another endpoint
    may still be asked.
    """
    left_s = work.left_s()
    connect_s = min(CONNECT_S, left_s)
    if not _another_endpoint(work, progress):
        return AttemptLimits(
            connect_s=connect_s,
            first_s=left_s,
            pause_s=left_s,
            whole_s=left_s,
        )
    route = work.route
    late_s = max(
        LATE_FLOOR_S,
        placement.first_ms * LATE_FACTOR / MS_PER_S,
        route.first_answer_ms * LATE_AIM_FACTOR / MS_PER_S,
    )
    pause_s = max(PAUSE_FLOOR_S, route.pause_ms * PAUSE_FACTOR / MS_PER_S)
    return AttemptLimits(
        connect_s=connect_s,
        first_s=min(left_s, late_s),
        pause_s=min(left_s, pause_s),
        whole_s=left_s,
    )


def _another_endpoint(work: Admitted, progress: _Progress) -> bool:
    return (
        work.route.repeatable
        and len(progress.ran_at) + 1 < work.route.max_endpoints
        and progress.sendings < MAX_SENDINGS
    )
