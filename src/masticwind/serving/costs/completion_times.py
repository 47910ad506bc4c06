"""How long attempts take, compared with their predictions.

A stopping process sends a request only if it is likely to end in time. The
predictions follow the profile of the engines; an engine may be slower than its
profile, and an output may be longer than the caller expects.
"""

import math
import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S

# Number of completed attempts of a service that are remembered.
HISTORY: Final = 64
MIN_HISTORY: Final = 8
# Least multiples of the prediction that are assumed. One stream in a hundred
# takes longer than the cautious one, without any fault of its engine.
USUAL_FACTOR: Final = 1.5
CAUTIOUS_FACTOR: Final = 3.0
# The usual factor is exceeded by one attempt in ten.
USUAL_QUANTILE: Final = 0.9
# The cautious bound is this multiple of the slowest attempt.
SAFETY_FACTOR: Final = 1.25
# Part of each attempt that does not grow with its prediction, so that short
# attempts say little about long ones.
FIXED_TIME_S: Final = 0.25


@dataclass(slots=True, eq=False)
class TimedAttempt:
    """An attempt in progress, with its prediction in milliseconds."""

    service: str
    predicted_ms: float
    started_at: float = field(default_factory=time.monotonic)
    completed: bool = False

    def factor(self) -> float:
        """Return the time since the start as a multiple of the prediction,
        without `FIXED_TIME_S`.
        """
        elapsed_s = time.monotonic() - self.started_at
        variable_ms = max(0.0, elapsed_s - FIXED_TIME_S) * MS_PER_S
        return variable_ms / max(1.0, self.predicted_ms)


class CompletionTimes:
    """The recent attempts of each service and those in progress."""

    def __init__(self) -> None:
        self._factors: Final[dict[str, deque[float]]] = {}
        self._in_progress: Final[set[TimedAttempt]] = set()

    @contextmanager
    def measure(
        self, service: str, predicted_ms: float
    ) -> Iterator[TimedAttempt]:
        """Measure an attempt while it is in progress."""
        attempt = TimedAttempt(service, predicted_ms)
        self._in_progress.add(attempt)
        try:
            yield attempt
        finally:
            self._in_progress.discard(attempt)
            # A slow attempt that was ended early would have taken longer.
            if attempt.completed or attempt.factor() > USUAL_FACTOR:
                self.record(attempt)

    def record(self, attempt: TimedAttempt) -> None:
        """Remember what an attempt has taken."""
        factors = self._factors.setdefault(
            attempt.service, deque(maxlen=HISTORY)
        )
        factors.append(attempt.factor())

    def usual_s(self, service: str, predicted_ms: float) -> float:
        """Return the time within which nine of ten attempts end."""
        factors = sorted(self._factors.get(service, ()))
        factor = USUAL_FACTOR
        if len(factors) >= MIN_HISTORY:
            factor = max(factor, factors[int(len(factors) * USUAL_QUANTILE)])
        return predicted_ms * factor / MS_PER_S + FIXED_TIME_S

    def cautious_s(self, service: str, predicted_ms: float) -> float:
        """Return the time within which every recent attempt would have ended.

        An attempt in progress counts with the time that it has taken so far.
        The time is infinite without enough history.
        """
        factors = self._factors.get(service, ())
        if len(factors) < MIN_HISTORY:
            return math.inf
        factor = max(CAUTIOUS_FACTOR, max(factors))
        for attempt in self._in_progress:
            if attempt.service == service:
                factor = max(factor, attempt.factor())
        bound_ms = predicted_ms * factor * SAFETY_FACTOR
        return bound_ms / MS_PER_S + FIXED_TIME_S
