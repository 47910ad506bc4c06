"""What callers and endpoints record around faulty answers, and its checks.

The checks use only what was seen at callers and endpoints, and what the system
tells of each process. Times are in seconds on the monotonic clock.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind_dev.soak.silent_records import DEADLINE_SLACK_S
from masticwind_dev.soak.spans import SpanLog
from masticwind_dev.soak.stop_callers import Exchange
from masticwind_dev.soak.stop_records import (
    OK,
    Ending,
    Execution,
    SentRequest,
    StopRecords,
    Violation,
    check_exit,
    check_request,
    is_cut_by_grace,
)

ROUTE_TIMEOUT_MS: Final = 5000
ROUTE_TIMEOUT_S: Final = ROUTE_TIMEOUT_MS / MS_PER_S
# An answer may come so long after its route's timeout, and an endpoint may see
# the close of its connection so long after it.
ANSWER_SLACK_S: Final = 0.5
# What a process leaves of a second for an answer of its readiness endpoint.
READY_S: Final = 1.0
# Longest time for which the plans of stops suspend a process.
SUSPENSION_S: Final = 0.8
MEMORY_MB: Final = 232
SEAL_HEADER: Final = b'x-server-seal'
ID_HEADER: Final = b'x-attempt-id'
REDIRECTION: Final = 300
FAILURES: Final = frozenset((502, 504))


class FaultyViolation(StrEnum):
    """Kinds of violations, besides those of planned stops.

    `MIXED`: an answer is not one whole run of its request at an endpoint.
    `FAILED`: a request whose runs were sound got 502 or 504, well before its
    deadline and the end of a grace period. `UNANSWERED`: it
    has no answer at its route's timeout. `NOT_CLOSED`: an entry went on reading
    bytes without end after that.
    """

    MIXED = 'mixed'
    FAILED = 'failed'
    UNANSWERED = 'no_answer_in_time'
    NOT_CLOSED = 'not_closed'
    MEMORY = 'memory'
    STALLED = 'stalled'


@dataclass(slots=True)
class Run(Execution):
    """A run at an endpoint, and the answer that it wrote.

    A run is sound if its answer is a success that was written whole, without
    other bytes before or within it.
    """

    seal: str = ''
    status: int = 0
    body: bytes = b''
    is_whole: bool = False
    is_sound: bool = False
    fault: str = ''


@dataclass(frozen=True, slots=True)
class EndlessSpan:
    """Bytes without end that an endpoint wrote, until their connection closed.

    `subject` is the id of the request, or `order`.
    """

    endpoint: str
    form: str
    subject: str
    begun_at: float
    ended_at: float

    @property
    def duration_s(self) -> float:
        """How long the endpoint has written."""
        return self.ended_at - self.begun_at


@dataclass(frozen=True, slots=True)
class ReadinessProbe:
    """A question to the readiness endpoint of a process.

    `excused_s` is the time for which that process waited for a processor, or
    this one did not serve.
    """

    instance: str
    asked_at: float
    duration_s: float
    excused_s: float
    status: int


@dataclass(frozen=True, slots=True)
class FaultyFinding:
    """One violation, and what is known of it."""

    kind: FaultyViolation | Violation
    text: str


@dataclass(slots=True)
class FaultyRecords(StopRecords):
    """All requests, runs, processes and probes of one run of the soak."""

    started_at: float = 0
    exchanges: list[Exchange] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    endless: list[EndlessSpan] = field(default_factory=list)
    probes: list[ReadinessProbe] = field(default_factory=list)
    # Peak memory by process, and the processes ended for it.
    peak_memory_mb: dict[str, float] = field(default_factory=dict)
    out_of_memory: dict[str, float] = field(default_factory=dict)
    extra_bytes: list[str] = field(default_factory=list)
    stalls: SpanLog = field(default_factory=SpanLog)
    faults: Counter[str] = field(default_factory=Counter)

    def runs_of(self, req: SentRequest) -> list[Run]:
        """Return the runs of a request."""
        return self.runs.get(req.request_id, [])

    def find_faults(self) -> list[FaultyFinding]:
        """Check all requests, processes, probes and endless answers."""
        findings = [
            FaultyFinding(finding.kind, finding.text)
            for instance in self.instances
            if instance.name not in self.out_of_memory
            for finding in check_exit(instance)
        ]
        for exchange in self.exchanges:
            text = self.describe(exchange)
            findings.extend(
                FaultyFinding(kind, text)
                for kind in check_faulty_exchange(exchange, self)
            )
        findings.extend(
            FaultyFinding(FaultyViolation.MIXED, f'bytes after {request_id}')
            for request_id in self.extra_bytes
        )
        findings.extend(
            FaultyFinding(
                FaultyViolation.MEMORY, f'{name}: {peak_mb:.0f} MB at most'
            )
            for name, peak_mb in self.peak_memory_mb.items()
            if peak_mb > MEMORY_MB
        )
        findings.extend(self._check_probes())
        findings.extend(self._check_endless())
        return findings

    def describe(self, exchange: Exchange) -> str:
        """Return what is known of a request, in seconds of the run."""
        req = exchange.req
        origin = self.started_at
        runs = [
            f'[{run.endpoint} {run.seal} {run.status} {run.fault or "sound"}'
            f' {run.begun_at - origin:.3f} to {run.ended_at - origin:.3f}]'
            for run in self.runs_of(req)
        ]
        return ' '.join(
            (
                f'{req.request_id} {exchange.work.path}',
                f'({req.instance.plan}, stopped'
                f' {req.instance.stopped_at - origin:.3f})',
                f'begun {req.begun_at - origin:.3f}',
                f'sent {req.sent_at - origin:.3f}',
                f'{req.ending} {req.status} {req.ended_at - origin:.3f}',
                f'seal {_header(exchange, SEAL_HEADER)!r}',
                f'body {bytes(exchange.body[:80])!r}',
                *runs,
            )
        )

    def _check_probes(self) -> Iterable[FaultyFinding]:
        for probe in self.probes:
            if probe.duration_s - probe.excused_s <= READY_S:
                continue
            yield FaultyFinding(
                FaultyViolation.STALLED,
                f'{probe.instance}: no answer of its readiness endpoint within'
                f' {probe.duration_s:.2f} s ({probe.excused_s:.2f} s excused)'
                f' at {probe.asked_at - self.started_at:.3f}',
            )

    def _check_endless(self) -> Iterable[FaultyFinding]:
        longest_s = ROUTE_TIMEOUT_S + ANSWER_SLACK_S + SUSPENSION_S
        for span in self.endless:
            excused_s = self.stalls.total_s('', span.begun_at, span.ended_at)
            if span.duration_s - excused_s <= longest_s:
                continue
            yield FaultyFinding(
                FaultyViolation.NOT_CLOSED,
                f'{span.endpoint} wrote {span.form} for'
                f' {span.duration_s:.2f} s, {span.subject}, from'
                f' {span.begun_at - self.started_at:.3f}',
            )


def check_faulty_exchange(
    exchange: Exchange, records: FaultyRecords
) -> Iterable[FaultyViolation | Violation]:
    """Return the violations of one request."""
    req = exchange.req
    runs = records.runs_of(req)
    if exchange.head is not None and not _is_one_run(exchange, runs):
        yield FaultyViolation.MIXED
    if req.instance.name in records.out_of_memory:
        return
    for violation in check_request(req, list(runs)):
        if not _is_expected(violation, exchange, runs):
            yield violation
    if _is_failed_without_fault(req, runs):
        yield FaultyViolation.FAILED
    if _is_late(req, records.stalls):
        yield FaultyViolation.UNANSWERED


def _is_expected(
    violation: Violation, exchange: Exchange, runs: Sequence[Run]
) -> bool:
    """Tell whether faults of endpoints explain what planned stops do not.

    What a sealed answer must be is checked apart. An answer that has begun may
    be broken off if its endpoint has written other bytes.
    """
    if violation is Violation.WRONG_ANSWER:
        return bool(_header(exchange, SEAL_HEADER))
    if violation is Violation.LOST and exchange.head is not None:
        return any(run.fault for run in runs)
    return False


def _is_one_run(exchange: Exchange, runs: Sequence[Run]) -> bool:
    """Tell whether an answer is one whole run, or one of the entry's own.

    The events of a resumed stream come from several runs of the request. An
    answer that is broken off need not be whole.
    """
    head = exchange.head
    assert head is not None
    seal = _header(exchange, SEAL_HEADER)
    if not seal:
        return head.status_code >= REDIRECTION
    request_id = exchange.req.request_id
    if _header(exchange, ID_HEADER) not in {'', request_id}:
        return False
    sources = [
        run
        for run in runs
        if run.seal == seal and run.status == head.status_code
    ]
    if not sources:
        return False
    if exchange.req.ending is not Ending.ANSWERED:
        return True
    if exchange.work.kind == 'chat' and head.status_code == OK:
        return bytes(exchange.body) == exchange.work.expected_body(request_id)
    return any(run.is_whole and run.body == exchange.body for run in sources)


def _is_failed_without_fault(req: SentRequest, runs: Sequence[Run]) -> bool:
    if req.ending is not Ending.ANSWERED or req.status not in FAILURES:
        return False
    if not runs or not all(run.is_sound for run in runs):
        return False
    if req.ended_at >= req.deadline_at - DEADLINE_SLACK_S:
        return False
    return not is_cut_by_grace(req, runs)


def _is_late(req: SentRequest, stalls: SpanLog) -> bool:
    """Tell whether a request that was read has no answer in time."""
    if not math.isfinite(req.sent_at) or req.ending is Ending.OPEN:
        return False
    excused_s = stalls.total_s('', req.sent_at, req.ended_at)
    excused_s += req.instance.processor_wait_s
    if 'suspended' in req.instance.plan:
        excused_s += SUSPENSION_S
    duration_s = req.ended_at - req.sent_at
    return duration_s > ROUTE_TIMEOUT_S + ANSWER_SLACK_S + excused_s


def _header(exchange: Exchange, name: bytes) -> str:
    if exchange.head is None:
        return ''
    for key, value in exchange.head.headers:
        if key == name:
            return value.decode('latin-1')
    return ''
