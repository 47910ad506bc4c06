"""Requests in progress, and what a planned stop does with them.

A stop has one end for all requests. New ones get no more time than is left
until then. What is still in progress at the end gets an answer that tells
whether it can have run.

    stop.begin(cut_after_s=10)
    ...
    stop.cut_requests()
"""

import abc
import math
from dataclasses import dataclass, field
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S, Budget, boot_time
from masticwind.byte_budget import Buffer
from masticwind.engines.base import Done
from masticwind.errors import ErrorKind, Failure


class AnswerWriter(abc.ABC):
    """Writes an answer that may begin before the outcome is known."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the status has been written."""

    @abc.abstractmethod
    async def finish(self, outcome: Done | Failure) -> Failure | None:
        """Complete the answer; return a failure that is still to be sent."""


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request in progress.

    `cut_at_s`, on the clock of `boot_time`, is when a stop ends it, and
    infinite before a stop. `uncertain_attempts` counts the attempts that may
    run or have run, several of which can be in progress. `answering` is set
    once the outcome is known, so that only the answer is left to be written.
    `response_started` is set once the status has been sent. `team` and `tier`
    are those of the caller, once it is known. What is kept of its body counts
    in `buffer`, until the request ends.
    """

    cut_at_s: float = math.inf
    request_id: str = ''
    team: str = ''
    tier: str = ''
    response_started: bool = False
    uncertain_attempts: int = 0
    answering: bool = False
    writer: AnswerWriter | None = None
    buffer: Buffer | None = None
    started_s: float = field(default_factory=boot_time)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    @property
    def may_have_run(self) -> bool:
        """Whether the request may run or have run."""
        return self.uncertain_attempts > 0

    def limit_budget(self, budget: Budget) -> Budget:
        """Return a budget that ends no later than this process."""
        return Budget(min(budget.deadline, self.cut_at_s))

    def may_outlast_process(self, budget: Budget) -> bool:
        """Whether a request with this budget may outlast this process."""
        return budget.deadline > self.cut_at_s

    def cut_failure(self) -> Failure:
        """Return the failure of a request that a stop has ended."""
        if self.may_have_run:
            return Failure(
                kind=ErrorKind.OUTCOME_UNKNOWN,
                reason='the entry was stopped before the request ended',
            )
        return stopping_failure()


class Stop:
    """Tracks the requests in progress and ends them when the entry stops."""

    def __init__(self) -> None:
        self._requests: Final[set[ActiveRequest]] = set()
        self._began_s = math.inf
        self._cut_at_s = math.inf

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def working_requests(self) -> int:
        """Number of requests whose outcome is not yet known."""
        return sum(not req.answering for req in self._requests)

    def start_request(self) -> ActiveRequest:
        """Track a new request, until `end_request`."""
        req = ActiveRequest(self._cut_at_s)
        self._requests.add(req)
        return req

    def end_request(self, req: ActiveRequest) -> None:
        """Stop tracking a request."""
        self._requests.discard(req)

    def begin(self, cut_after_s: float) -> None:
        """Limit the time of all requests to `cut_after_s` from now."""
        self._began_s = boot_time()
        self._cut_at_s = self._began_s + cut_after_s
        for req in self._requests:
            req.cut_at_s = self._cut_at_s

    def cut_requests(self) -> None:
        """End the requests whose outcome is not yet known."""
        for req in self._requests:
            if not req.answering:
                req.scope.cancel()

    def log_cut(self, req: ActiveRequest) -> None:
        """Log a request that the stop has ended, and its answer."""
        now_s = boot_time()
        logger.bind(
            request_id=req.request_id,
            age_ms=round((now_s - req.started_s) * MS_PER_S),
            stopping_for_ms=self._stopping_for_ms(now_s),
            sent=req.may_have_run,
            answer_begun=req.writer is not None and req.writer.started,
            kind=req.cut_failure().kind.value,
        ).warning('request_cut')

    def _stopping_for_ms(self, now_s: float) -> int | None:
        if math.isinf(self._began_s):
            return None
        return round((now_s - self._began_s) * MS_PER_S)


def stopping_failure() -> Failure:
    """Return the failure of a request that a stopping entry does not run."""
    return Failure(kind=ErrorKind.DRAINING, reason='shutting down')
