"""One attempt: sends a request to its endpoint and passes the answer on."""

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import BrokenStreamError
from masticwind.serving.events import Event, EventSplitter
from masticwind.serving.interfaces import (
    Attempt,
    AttemptLimits,
    CallerAnswer,
    EndpointClient,
    PrefillHelper,
    Reply,
    Verdict,
)
from masticwind.serving.model import Kind
from masticwind.serving.placement import Placement
from masticwind.serving.reservations import Unreserved, reserved
from masticwind.serving.work import Admitted, Progress

# A connection in the same region is there within a few milliseconds.
CONNECT_S: Final = 0.4
# The answer must be back a little before the time is over.
ANSWER_MARGIN_MS: Final = 10
# A first event that is this much later than predicted is not waited for.
LATE_FACTOR: Final = 3.0
LATE_FLOOR_S: Final = 0.8
# A long read is not given up, and begun again elsewhere, before this many
# times its aim has gone by: the second one could not be in time either. The
# caller stays for four times the aim.
LATE_AIM_FACTOR: Final = 2.0
# Pauses between events: this many of the route's longest pause, at least.
PAUSE_FACTOR: Final = 4.0
PAUSE_FLOOR_S: Final = 1.2
# Endpoints know ranks from 0, the most urgent, to 9.
MOST_URGENT: Final = 0
LEAST_URGENT: Final = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """An attempt that is being made.

    `another` says that another endpoint may run the request if this one
    does not serve it. `on_event` is called for each batch of events that
    the caller gets.
    """

    work: Admitted
    placement: Placement
    progress: Progress
    answer: CallerAnswer
    limits: AttemptLimits
    another: bool
    on_event: Callable[[], None]


def limits_of(
    work: Admitted,
    placement: Placement,
    *,
    another: bool,
) -> AttemptLimits:
    """Return the time limits of an attempt.

    An endpoint's silence ends an attempt early only where another endpoint
    may still be asked.
    """
    left_s = work.left_s()
    connect_s = min(CONNECT_S, left_s)
    if not another:
        return AttemptLimits(
            connect_timeout_s=connect_s,
            head_timeout_s=left_s,
            idle_timeout_s=left_s,
            total_timeout_s=left_s,
        )
    route = work.route
    late_s = max(
        LATE_FLOOR_S,
        placement.first_ms * LATE_FACTOR / MS_PER_S,
        route.first_answer_ms * LATE_AIM_FACTOR / MS_PER_S,
    )
    pause_s = max(PAUSE_FLOOR_S, route.pause_ms * PAUSE_FACTOR / MS_PER_S)
    return AttemptLimits(
        connect_timeout_s=connect_s,
        head_timeout_s=min(left_s, late_s),
        idle_timeout_s=min(left_s, pause_s),
        total_timeout_s=left_s,
    )


async def attempt(link: EndpointClient, trial: Trial) -> Failure | None:
    """Make an attempt; None says that the caller has its whole answer."""
    work = trial.work
    log = logger.bind(
        request_id=work.req.request_id,
        endpoint=trial.placement.lead.identity,
        attempt=trial.progress.sendings,
    )
    sent_at = time.monotonic()
    try:
        with anyio.fail_after(work.left_s()):
            outcome = await _send(link, trial)
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
    log = log.bind(
        took_ms=round((time.monotonic() - sent_at) * MS_PER_S),
        events=trial.progress.events,
    )
    if outcome is None:
        log.bind(
            first_ms=trial.progress.first_ms,
            pause_ms=round(trial.progress.longest_pause_s * MS_PER_S),
        ).info('attempt_done')
        return None
    log.bind(kind=outcome.kind.value, reason=outcome.reason).info(
        'attempt_failed'
    )
    return outcome


async def _send(link: EndpointClient, trial: Trial) -> Failure | None:
    request_id = trial.work.req.request_id
    async with reserved(link, trial.placement, request_id) as helpers:
        if isinstance(helpers, Unreserved):
            trial.progress.at_fault = helpers.endpoint
            return helpers.failure
        sending = _encode(trial, helpers)
        _log_sending(trial, sending)
        with anyio.move_on_after(trial.limits.head_timeout_s) as waiting:
            async with link.send(sending, trial.limits) as reply:
                waiting.deadline = math.inf
                if isinstance(reply, Failure):
                    return reply
                return await _receive(trial, reply)
    return Failure(
        kind=ErrorKind.TIMED_OUT,
        reason=f'no answer for {trial.limits.head_timeout_s:.2f} s',
        silent=True,
    )


def _encode(trial: Trial, helpers: tuple[PrefillHelper, ...]) -> Attempt:
    work = trial.work
    left_ms = int(work.left_s() * MS_PER_S) - ANSWER_MARGIN_MS
    return Attempt(
        req=work.req,
        endpoint=trial.placement.lead,
        team=work.team.name,
        time_limit_ms=max(1, left_ms),
        urgency=min(LEAST_URGENT, max(MOST_URGENT, work.urgency)),
        at_most_once=not work.route.repeatable,
        resume_after=trial.progress.last_event,
        helpers=helpers,
    )


def _log_sending(trial: Trial, sending: Attempt) -> None:
    work = trial.work
    logger.bind(
        request_id=work.req.request_id,
        endpoint=sending.endpoint.identity,
        attempt=trial.progress.sendings,
        route=work.route.name,
        config_version=work.config_version,
        config_age_s=round(work.config_age_s, 3),
        prompt=work.prompt,
        helpers=[helper.endpoint.identity for helper in sending.helpers],
        predicted_ms=round(trial.placement.first_ms),
        whole_ms=round(trial.placement.whole_ms),
        left_ms=sending.time_limit_ms,
        resume_after=sending.resume_after,
    ).info('attempt_sent')


async def _receive(trial: Trial, reply: Reply) -> Failure | None:
    at_fault = reply.at_fault or trial.placement.lead
    if reply.verdict is Verdict.WRONG_ENDPOINT:
        trial.progress.at_fault = at_fault
        return Failure(
            kind=ErrorKind.REVOKED,
            reason=f'{at_fault.address} is not {at_fault.identity} any more',
        )
    if reply.verdict is Verdict.NOT_RUN:
        trial.progress.at_fault = at_fault
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=f'{at_fault.identity} refused, status {reply.status}',
        )
    if reply.verdict is Verdict.UNVERIFIED:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'not an answer to this request ({reply.status})',
        )
    if trial.work.route.kind is Kind.STREAM and reply.success:
        return await _relay_events(trial, reply)
    return await _relay_whole(trial, reply)


async def _relay_whole(trial: Trial, reply: Reply) -> Failure | None:
    body = b''.join([chunk async for chunk in reply.chunks])
    if trial.answer.started:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'resuming was answered with status {reply.status}',
        )
    failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    if failed and trial.another:
        return Failure(
            kind=ErrorKind.INTERNAL,
            reason=f'the endpoint failed with status {reply.status}',
        )
    await trial.answer.start(reply.status, reply.headers, len(body))
    await trial.answer.write(body)
    await trial.answer.finish()
    return None


async def _relay_events(trial: Trial, reply: Reply) -> Failure | None:
    splitter = EventSplitter()
    answer = trial.answer
    wait_s = trial.limits.head_timeout_s
    # Counts from the last whole event: an endpoint that sends a byte now and
    # then makes no progress.
    due_at = anyio.current_time() + wait_s
    chunks = aiter(reply.chunks)
    while True:
        chunk: bytes | None = None
        with anyio.CancelScope(deadline=due_at):
            chunk = await anext(chunks, b'')
        if chunk is None:
            return Failure(
                kind=ErrorKind.TIMED_OUT,
                reason=f'no event for {wait_s:.2f} s',
                silent=True,
            )
        if not chunk:
            break
        events = _new_events(trial.progress, splitter.feed(chunk))
        if not events:
            continue
        if not answer.started:
            await answer.start(reply.status, reply.headers, None)
        trial.progress.note_events(len(events))
        trial.on_event()
        wait_s = trial.limits.idle_timeout_s
        await answer.write(b''.join(event.content for event in events))
        due_at = anyio.current_time() + wait_s
    if splitter.partial or not answer.started:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason='the stream ended within an event',
        )
    await answer.finish()
    return None


def _new_events(progress: Progress, events: list[Event]) -> list[Event]:
    """Leave out events that the caller has from an earlier attempt."""
    fresh: list[Event] = []
    for event in events:
        last = progress.last_event
        if event.number is None:
            fresh.append(event)
            continue
        if last is not None and event.number <= last:
            continue
        progress.last_event = event.number
        fresh.append(event)
    return fresh
