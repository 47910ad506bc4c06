"""The retry budget, and which failed attempts another agent may repeat.

An attempt is repeated only if it cannot have run, or if it generated no
output and was revoked or lost with its agent. Output is the only effect of a
model request, so that is safe.
"""

import time
from collections.abc import Callable
from typing import Final

from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.settings import EntrySettings

# Lets an entry with few requests retry, where a fraction of them is below one.
MIN_RETRIES_PER_S: Final = 1.0
MAX_SAVED_RETRIES: Final = 50.0

# Refusals of one agent that another may accept.
_RETRYABLE: Final = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.NO_CAPACITY,
        ErrorKind.ZONE_OUT,
        ErrorKind.DRAINING,
        ErrorKind.REVOKED,
    )
)
_LOST_WITH_AGENT: Final = frozenset(
    (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.FAILED_AFTER_START)
)


class RetryBudget:
    """A token bucket of retries that each first attempt refills in part.

    Over any period, retries are at most `retry_share` times the first
    attempts, plus `MIN_RETRIES_PER_S` per second, plus `MAX_SAVED_RETRIES`.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._retries_per_request: Final = cfg.retry_share
        self._clock: Final = clock
        self._retries = MAX_SAVED_RETRIES
        self._refilled_at = clock()

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry that each first attempt earns."""
        self._add(self._retries_per_request)

    def acquire_retry(self) -> bool:
        """Take one retry from the budget; false if it is used up."""
        now = self._clock()
        self._add(max(0.0, now - self._refilled_at) * MIN_RETRIES_PER_S)
        self._refilled_at = now
        if self._retries < 1:
            return False
        self._retries -= 1
        return True

    def _add(self, retries: float) -> None:
        self._retries = min(MAX_SAVED_RETRIES, self._retries + retries)


def may_try_another_agent(failure: Failure, received_tokens: int) -> bool:
    """Whether a request that failed at one agent may go to another."""
    if received_tokens:
        return False
    return failure.kind in _RETRYABLE or failure.kind in _LOST_WITH_AGENT


class AttemptFailures:
    """Combines the failures of a request's attempts into one failure."""

    def __init__(self) -> None:
        self._may_have_run: Failure | None = None
        self._last: Failure | None = None
        self._retry_after_ms = 0

    def add(self, failure: Failure) -> None:
        """Add the failure of one attempt."""
        if not guarantees_not_run(failure.kind):
            self._may_have_run = failure
        self._last = failure
        retry_after_ms = failure.retry_after_ms
        if retry_after_ms:
            self._retry_after_ms = min(
                self._retry_after_ms or retry_after_ms, retry_after_ms
            )

    def combined(self, default: Failure) -> Failure:
        """Return one failure with the smallest `retry_after_ms` of all.

        An attempt that may have run takes precedence over later refusals.
        """
        chosen = self._may_have_run or self._last
        if chosen is None:
            return default
        return Failure(
            kind=chosen.kind,
            reason=chosen.reason,
            retry_after_ms=self._retry_after_ms,
        )
