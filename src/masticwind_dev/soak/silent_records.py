"""What callers and endpoints record around silences, and its checks.

The checks use only what was seen at callers and endpoints. A whole request to
a sound entry whose endpoints are sound ends before its deadline with a whole
answer or with a refusal, whatever silences there are. Times are in seconds on
the monotonic clock.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind_dev.soak.callers import NOT_RUN_STATUSES
from masticwind_dev.soak.spans import Span, SpanLog
from masticwind_dev.soak.stop_callers import ANSWER_GRACE_S, Exchange
from masticwind_dev.soak.stop_engines import Work
from masticwind_dev.soak.stop_records import (
    CROSSING_S,
    OK,
    VALID_STATUSES,
    Ending,
    Execution,
    SentRequest,
)

# From the request to the first event of a stream.
FIRST_EVENT_S: Final = 0.2
# Between the two parts of a body.
BODY_PAUSE_S: Final = 0.05
# A failure so shortly before the deadline counts as one at the deadline.
DEADLINE_SLACK_S: Final = 0.3
# How long an endpoint may still work on a request that has ended.
WORK_AFTER_END_S: Final = 0.5
# Time after a fault in which its effects are excused.
CONTACT_S: Final = 1.0


def step_durations_s(work: Work) -> Iterator[float]:
    """Return how long an endpoint works before each part of an answer."""
    duration_s = work.duration_ms / MS_PER_S
    if work.kind != 'chat':
        yield from (duration_s, BODY_PAUSE_S)
        return
    yield FIRST_EVENT_S
    for _ in range(work.event_count - 1):
        yield duration_s / work.event_count


def finish_time(work: Work, begun_at: float, silences: Sequence[Span]) -> float:
    """Return when an endpoint ends its work if it is left to it."""
    now = begun_at
    for duration_s in step_durations_s(work):
        now += duration_s
        for silence in silences:
            if silence.begun_at <= now < silence.ended_at:
                now = silence.ended_at
    return now


class SilenceViolation(StrEnum):
    """Kinds of violations.

    `LOST`: an endpoint received the request, and its connection ended without
    a complete answer. `UNANSWERED`: the same for a request that no endpoint
    received, or no answer at all. `FAILED`: it got 502 or 504 well before the
    deadline, or without having been at an endpoint. `LATE`: it failed at the
    deadline, though its first endpoint would have ended before.
    """

    LOST = 'lost'
    UNANSWERED = 'unanswered'
    FAILED = 'failed'
    LATE = 'late'
    WRONG_ANSWER = 'wrong_answer'
    WRONG_PIECES = 'wrong_pieces'
    RAN_TWICE = 'ran_twice'
    RAN_BUT_REFUSED = 'ran_but_refused'
    TOO_MANY_ENDPOINTS = 'too_many_endpoints'
    WORK_AFTER_END = 'work_after_end'


@dataclass(frozen=True, slots=True)
class SilenceFinding:
    """One violation, and what is known of it."""

    kind: SilenceViolation
    text: str


@dataclass(slots=True)
class SilentRecords:
    """All requests and executions of one run, and what happened beside them.

    `silences` are those of endpoints, `pauses` those of entries. `faults` are
    all others, by the name of an entry or a service. `stalls` are the times
    for which this process did not serve as callers and endpoints.
    """

    max_attempts: dict[str, int]
    started_at: float = 0
    exchanges: list[Exchange] = field(default_factory=list)
    executions: dict[str, list[Execution]] = field(default_factory=dict)
    silences: SpanLog = field(default_factory=SpanLog)
    pauses: SpanLog = field(default_factory=SpanLog)
    faults: SpanLog = field(default_factory=SpanLog)
    stalls: SpanLog = field(default_factory=SpanLog)
    versions: list[float] = field(default_factory=list)

    def begin_execution(
        self, request_id: str, endpoint: str, now: float
    ) -> Execution:
        """Record that an endpoint has received a request."""
        execution = Execution(endpoint, now)
        self.executions.setdefault(request_id, []).append(execution)
        return execution

    def executions_of(self, req: SentRequest) -> list[Execution]:
        """Return the executions of a request."""
        return self.executions.get(req.request_id, [])

    def find_violations(self) -> list[SilenceFinding]:
        """Check all requests."""
        findings: list[SilenceFinding] = []
        for exchange in self.exchanges:
            text = self.describe(exchange)
            findings.extend(
                SilenceFinding(kind, text)
                for kind in check_exchange(exchange, self)
            )
        return findings

    def count_endings(self) -> Counter[str]:
        """Return the number of requests by kind and by their end."""
        counts: Counter[str] = Counter()
        for exchange in self.exchanges:
            req = exchange.req
            ending: str = req.ending
            if req.ending is Ending.ANSWERED:
                ending = str(req.status)
            counts[f'{req.kind} {ending}'] += 1
        return counts

    def is_excused(self, req: SentRequest) -> bool:
        """Whether a fault other than a silence may have ended a request."""
        return self.faults.overlaps(
            (req.instance.entry, service_of(req.kind)),
            req.begun_at - CONTACT_S,
            req.ended_at,
        )

    def describe(self, exchange: Exchange) -> str:
        """Return what is known of a request, in seconds of the run."""
        req = exchange.req
        origin = self.started_at
        runs = [
            f'[{run.endpoint} {run.begun_at - origin:.3f}'
            f' to {run.ended_at - origin:.3f}]'
            for run in self.executions_of(req)
        ]
        spans = [
            f'{name} {_format_span(span, origin)}'
            for name, log in (
                ('silent', self.silences),
                ('paused', self.pauses),
                ('fault', self.faults),
            )
            for span in log.spans
            if span.subject in self._subjects_of(req)
            and span.begun_at <= req.ended_at
            and span.ended_at >= req.begun_at
        ]
        return ' '.join(
            (
                f'{req.request_id} {exchange.work.path} at {req.instance.name}',
                f'begun {req.begun_at - origin:.3f}',
                f'sent {req.sent_at - origin:.3f}',
                f'{req.ending} {req.status} {req.ended_at - origin:.3f}',
                f'bytes {len(exchange.body)}',
                *runs,
                *spans,
            )
        )

    def _subjects_of(self, req: SentRequest) -> set[str]:
        endpoints = {run.endpoint for run in self.executions_of(req)}
        return endpoints | {req.instance.entry, service_of(req.kind)}


def service_of(kind: str) -> str:
    """Return the service that runs a kind of request."""
    return 'engines' if kind == 'chat' else 'calls'


def check_exchange(
    exchange: Exchange, records: SilentRecords
) -> Iterable[SilenceViolation]:
    """Return the violations of one request."""
    req = exchange.req
    executions = records.executions_of(req)
    expected = exchange.work.expected_body(req.request_id)
    is_success = exchange.head is not None and exchange.head.status_code == OK
    if is_success and not expected.startswith(exchange.body):
        yield SilenceViolation.WRONG_PIECES
    if req.kind == 'order' and len(executions) > 1:
        yield SilenceViolation.RAN_TWICE
    if (
        len({run.endpoint for run in executions})
        > (records.max_attempts[req.kind])
    ):
        yield SilenceViolation.TOO_MANY_ENDPOINTS
    if req.ending is Ending.ANSWERED:
        yield from _check_answer(req, executions)
    elif req.ending is Ending.MALFORMED:
        yield SilenceViolation.WRONG_ANSWER
    if records.is_excused(req):
        return
    yield from _check_work_after_end(req, records)
    if _has_failed(req):
        yield from _check_failure(exchange, records)


def _check_answer(
    req: SentRequest, executions: Sequence[Execution]
) -> Iterable[SilenceViolation]:
    if executions and req.status in NOT_RUN_STATUSES:
        yield SilenceViolation.RAN_BUT_REFUSED
    is_wrong_body = req.status == OK and not req.is_body_right
    if is_wrong_body or req.status not in VALID_STATUSES:
        yield SilenceViolation.WRONG_ANSWER


def _has_failed(req: SentRequest) -> bool:
    if req.ending is Ending.ANSWERED:
        return req.status != OK and req.status not in NOT_RUN_STATUSES
    return req.ending in {Ending.CLOSED, Ending.RESET, Ending.TIMED_OUT}


def _check_failure(
    exchange: Exchange, records: SilentRecords
) -> Iterable[SilenceViolation]:
    req = exchange.req
    executions = records.executions_of(req)
    if req.ending is Ending.TIMED_OUT:
        if not _is_delayed_by_pause(req, records.pauses):
            yield SilenceViolation.UNANSWERED
        return
    if req.ended_at < req.deadline_at - DEADLINE_SLACK_S:
        if req.ending is Ending.ANSWERED:
            yield SilenceViolation.FAILED
        elif executions:
            yield SilenceViolation.LOST
        elif _was_read(req):
            yield SilenceViolation.UNANSWERED
        return
    if not executions:
        yield SilenceViolation.FAILED
        return
    first = executions[0]
    finished_at = finish_time(
        exchange.work, first.begun_at, records.silences.of(first.endpoint)
    )
    paused_s = records.pauses.total_s(
        req.instance.entry, req.begun_at, req.deadline_at
    )
    if finished_at + paused_s < req.deadline_at - DEADLINE_SLACK_S:
        yield SilenceViolation.LATE


def _was_read(req: SentRequest) -> bool:
    """Whether an entry must have read a request before its connection ended.

    A close that crosses a request may come before the request is read.
    """
    return math.isfinite(req.sent_at) and (
        req.ended_at > req.sent_at + CROSSING_S
    )


def _is_delayed_by_pause(req: SentRequest, pauses: SpanLog) -> bool:
    """Whether the entry was paused when it was to read or to answer."""
    entry = (req.instance.entry,)
    return pauses.overlaps(
        entry, req.begun_at, req.begun_at + CROSSING_S
    ) or pauses.overlaps(
        entry,
        req.deadline_at - CROSSING_S,
        req.deadline_at + ANSWER_GRACE_S,
    )


def _check_work_after_end(
    req: SentRequest, records: SilentRecords
) -> Iterable[SilenceViolation]:
    """Find work that goes on, not counting the time of pauses and stalls."""
    for run in records.executions_of(req):
        excused_s = records.pauses.total_s(
            req.instance.entry, req.ended_at, run.ended_at
        ) + records.stalls.total_s('', req.ended_at, run.ended_at)
        if run.ended_at > req.ended_at + WORK_AFTER_END_S + excused_s:
            yield SilenceViolation.WORK_AFTER_END
            return


def _format_span(span: Span, origin: float) -> str:
    return (
        f'{span.subject} {span.begun_at - origin:.3f}'
        f' to {span.ended_at - origin:.3f}'
    )
