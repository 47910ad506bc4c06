"""What callers and endpoints record around planned stops, and its checks.

The checks use only what was seen from outside the entries: when callers sent
requests, how their connections ended, which requests endpoints received, and
how the processes ended. Times are in seconds on the monotonic clock.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from masticwind_dev.soak.callers import NOT_RUN_STATUSES

# Requests are still expected to arrive for this long after SIGTERM.
ARRIVALS_S: Final = 3.0
# A request that is still running at an endpoint in this last share of the
# grace period may be cut, if it was sent before the end of arrivals.
LAST_SHARE: Final = 1 / 6
# A connection that is closed within this time after the last byte of a request
# may have been closed before the entry has read it.
CROSSING_S: Final = 0.2
# What an entry leaves of its grace period for its exit. The exit may be late if
# the process had no processor for longer than that.
EXIT_TIME_S: Final = 0.2
# Allowance for clocks and timers at the deadline of a request.
DEADLINE_SLACK_S: Final = 0.1
SERVER_ERROR: Final = 500
OK: Final = 200
# What a valid request of a known team may get.
VALID_STATUSES: Final = frozenset((OK, 408, 421, 429, 502, 503, 504))


class Ending(StrEnum):
    """How a caller saw its request end; `LEFT`: it has left before the end."""

    OPEN = 'open'
    ANSWERED = 'answered'
    CLOSED = 'closed'
    RESET = 'reset'
    TIMED_OUT = 'timed_out'
    MALFORMED = 'malformed'
    LEFT = 'left'


class Violation(StrEnum):
    """Kinds of violations.

    `LOST`: an endpoint received the request, and its connection ended without
    a complete answer. `UNANSWERED`: the entry read the request, did not pass
    it on, and closed the connection. `RAN_BUT_REFUSED`: the answer says that
    the request has not run, but it has. `SENT_TO_LEAVING` and `SENT_IN_PAUSE`:
    an endpoint got a request that it had asked not to get.
    """

    LOST = 'lost'
    UNANSWERED = 'unanswered'
    BARE_ERROR = 'bare_error'
    RAN_BUT_REFUSED = 'ran_but_refused'
    RAN_TWICE = 'ran_twice'
    WRONG_ANSWER = 'wrong_answer'
    EXIT_CODE = 'exit_code'
    LATE_EXIT = 'late_exit'
    ENDED_BY_ITSELF = 'ended_by_itself'
    SENT_TO_LEAVING = 'sent_to_leaving'
    SENT_IN_PAUSE = 'sent_in_pause'


@dataclass(slots=True)
class Execution:
    """A request at an endpoint, from its arrival to the end of its answer."""

    endpoint: str
    begun_at: float
    ended_at: float = math.inf
    broken_off: bool = False


@dataclass(slots=True)
class Instance:
    """One process of an entry, from its start to its end.

    `processor_wait_s` is the time for which it was ready to run after SIGTERM,
    but got no processor.
    """

    entry: str
    number: int
    grace_s: float
    port: int = 0
    ready_port: int = 0
    pid: int = 0
    plan: str = ''
    stopped_at: float = math.inf
    was_listening: bool = True
    exit_code: int | None = None
    lifetime_s: float = math.inf
    killed: bool = False
    ended_by_itself: bool = False
    processor_wait_s: float = 0

    @property
    def name(self) -> str:
        """Name of the entry and number of the process."""
        return f'{self.entry}.{self.number}'

    @property
    def last_share_at(self) -> float:
        """Start of the last share of the grace period."""
        return self.stopped_at + self.grace_s * (1 - LAST_SHARE)


@dataclass(slots=True)
class SentRequest:
    """A request as its caller saw it.

    `sent_at` is the time of its last byte, infinite if it was not sent whole.
    """

    request_id: str
    kind: str
    instance: Instance
    begun_at: float
    deadline_at: float
    sent_at: float = math.inf
    ended_at: float = math.inf
    ending: Ending = Ending.OPEN
    status: int = 0
    is_body_right: bool = True
    is_bare_error: bool = False
    # Answers come in order, so none can follow one that announced the close
    # of the connection or was broken off.
    follows_close: bool = False


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation, and what is known of it."""

    kind: Violation
    text: str


@dataclass(slots=True)
class StopRecords:
    """All requests, executions and processes of one run.

    `longest_stall_s` is the longest time for which this process did not serve
    as callers and endpoints, for example because it had no processor.
    """

    requests: list[SentRequest] = field(default_factory=list)
    executions: dict[str, list[Execution]] = field(default_factory=dict)
    instances: list[Instance] = field(default_factory=list)
    audit_findings: list[Finding] = field(default_factory=list)
    longest_stall_s: float = 0

    def begin_execution(
        self, request_id: str, endpoint: str, now: float
    ) -> Execution:
        """Record that an endpoint has received a request."""
        execution = Execution(endpoint, now)
        self.executions.setdefault(request_id, []).append(execution)
        return execution

    def find_violations(self) -> list[Finding]:
        """Check all requests and processes."""
        findings = list(self.audit_findings)
        for instance in self.instances:
            findings.extend(check_exit(instance))
        for req in self.requests:
            executions = self.executions.get(req.request_id, [])
            findings.extend(
                Finding(kind, describe(req, executions))
                for kind in check_request(req, executions)
            )
        return findings

    def count_endings(self) -> Counter[str]:
        """Return the number of requests by kind and by their end."""
        counts: Counter[str] = Counter()
        for req in self.requests:
            ending: str = req.ending
            if req.ending is Ending.ANSWERED:
                ending = str(req.status)
            counts[f'{req.kind} {ending}'] += 1
        return counts


def check_request(
    req: SentRequest, executions: list[Execution]
) -> list[Violation]:
    """Return the violations of one request."""
    violations: list[Violation] = []
    if req.kind == 'order' and len(executions) > 1:
        violations.append(Violation.RAN_TWICE)
    if req.ending is Ending.ANSWERED:
        violations.extend(_check_answer(req, bool(executions)))
    elif req.ending is Ending.MALFORMED:
        violations.append(Violation.WRONG_ANSWER)
    elif req.ending in {Ending.CLOSED, Ending.RESET}:
        violations.extend(_check_broken(req, executions))
    return violations


def describe(req: SentRequest, executions: Iterable[Execution]) -> str:
    """Return what is known of a request; times are relative to SIGTERM."""
    instance = req.instance
    origin = instance.stopped_at
    runs = [
        f'[{execution.endpoint} {execution.begun_at - origin:+.3f}'
        f' to {execution.ended_at - origin:+.3f}]'
        for execution in executions
    ]
    return ' '.join(
        (
            f'{req.request_id} {req.kind}',
            f'({instance.plan}, grace {instance.grace_s:g} s):',
            f'begun {req.begun_at - origin:+.3f},',
            f'sent {req.sent_at - origin:+.3f},',
            f'{req.ending} {req.status} {req.ended_at - origin:+.3f}',
            *runs,
        )
    )


def _check_answer(req: SentRequest, ran: bool) -> Iterable[Violation]:
    if req.is_bare_error:
        yield Violation.BARE_ERROR
        return
    if ran and req.status in NOT_RUN_STATUSES:
        yield Violation.RAN_BUT_REFUSED
    is_wrong_body = req.status == OK and not req.is_body_right
    if is_wrong_body or req.status not in VALID_STATUSES:
        yield Violation.WRONG_ANSWER


def _check_broken(
    req: SentRequest, executions: list[Execution]
) -> Iterable[Violation]:
    if req.ended_at >= req.deadline_at - DEADLINE_SLACK_S:
        return
    if executions:
        if not _may_be_cut(req, executions):
            yield Violation.LOST
        return
    # A reset means that the kernel still held bytes which the process had not
    # read, so only a regular close counts.
    was_read = (
        req.ending is Ending.CLOSED and req.ended_at > req.sent_at + CROSSING_S
    )
    if was_read and not req.follows_close:
        yield Violation.UNANSWERED


def _may_be_cut(req: SentRequest, executions: list[Execution]) -> bool:
    """Whether the endpoint, or the end of a grace period, ends a request."""
    # The caller may see the end earlier than the endpoint's task goes on.
    broken_off_at = [
        execution.ended_at - CROSSING_S
        for execution in executions
        if execution.broken_off
    ]
    if broken_off_at and req.ended_at > min(broken_off_at):
        return True
    return is_cut_by_grace(req, executions)


def is_cut_by_grace(req: SentRequest, executions: Sequence[Execution]) -> bool:
    """Whether a request was still at work in the last share of the grace."""
    instance = req.instance
    ended_at = max(execution.ended_at for execution in executions)
    return (
        req.sent_at <= instance.stopped_at + ARRIVALS_S
        and req.ended_at >= instance.last_share_at
        and ended_at >= instance.last_share_at
        and math.isfinite(instance.stopped_at)
    )


def check_exit(instance: Instance) -> Iterable[Finding]:
    """Find a process that has not ended as a planned stop asks."""
    name = f'{instance.name} ({instance.plan})'
    if instance.ended_by_itself:
        yield Finding(Violation.ENDED_BY_ITSELF, f'{name} ended before SIGTERM')
        return
    if instance.killed:
        if instance.processor_wait_s > EXIT_TIME_S:
            return
        yield Finding(
            Violation.LATE_EXIT,
            f'{name} still ran {instance.grace_s:g} s after SIGTERM; it waited'
            f' {instance.processor_wait_s:.3f} s for a processor',
        )
        return
    # The signal ends a process that has not yet installed its handlers.
    if instance.exit_code and instance.was_listening:
        yield Finding(
            Violation.EXIT_CODE,
            f'{name} ended with code {instance.exit_code}'
            f' {instance.lifetime_s:.3f} s after SIGTERM',
        )
