"""The retry budget, and the decision whether a failed attempt may move.

A request moves only if its attempt cannot have run, or if it generated
nothing and was revoked or lost with its agent: model requests have no other
effects.
"""

import time
from collections.abc import Callable
from typing import Final

from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.settings import EntrySettings

# Lets a nearly idle entry retry, where a share of few requests is no retry.
MIN_RETRIES_PER_S: Final = 1.0
MAX_SAVED_RETRIES: Final = 50.0

# Refusals that another endpoint may answer differently.
_RETRYABLE: Final = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.NO_CAPACITY,
        ErrorKind.ZONE_OUT,
        ErrorKind.DRAINING,
        ErrorKind.REVOKED,
    )
)
_LOST: Final = frozenset(
    (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.FAILED_AFTER_START)
)


class RetryBudget:
    """A token bucket that first attempts fill with a share of a token.

    Over any period, retries are at most `retry_share` of the first attempts
    plus `FLOOR_PER_S` a second plus the bucket's `MAX_TOKENS`.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._share: Final = cfg.retry_share
        self._clock: Final = clock
        self._tokens = MAX_SAVED_RETRIES
        self._at = clock()

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._add(self._share)

    def acquire_retry(self) -> bool:
        """Take the right to one retry; false if the budget is used up."""
        now = self._clock()
        self._add(max(0.0, now - self._at) * MIN_RETRIES_PER_S)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_SAVED_RETRIES, self._tokens + tokens)


def may_try_another_agent(failure: Failure, received: int) -> bool:
    """Tell whether a request may be sent to another agent."""
    if received:
        return False
    return failure.kind in _RETRYABLE or failure.kind in _LOST


class AttemptFailures:
    """The failures of one request's attempts and the answer they add up to."""

    def __init__(self) -> None:
        self._may_have_run: Failure | None = None
        self._last: Failure | None = None
        self._hint_ms = 0

    def add(self, failure: Failure) -> None:
        """Add the failure of one attempt."""
        if not not_run(failure.kind):
            self._may_have_run = failure
        self._last = failure
        hint_ms = failure.retry_after_ms
        if hint_ms:
            self._hint_ms = min(self._hint_ms or hint_ms, hint_ms)

    def combined(self, default: Failure) -> Failure:
        """Return the truthful answer with the smallest hint.

        An attempt that may have run outweighs later refusals.
        """
        chosen = self._may_have_run or self._last
        if chosen is None:
            return default
        return Failure(
            kind=chosen.kind,
            reason=chosen.reason,
            retry_after_ms=self._hint_ms,
        )
