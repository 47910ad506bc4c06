"""Counts the outcomes of requests by tier over a sliding window."""

import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

WINDOW_S: Final = 60

TierOutcome = tuple[str, str]


class TierOutcomeCounter:
    """Counts by tier and outcome for each second of the last minute."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._counts_by_second: Final = deque[
            tuple[int, Counter[TierOutcome]]
        ]()

    def count(self, tier: str, outcome: str) -> None:
        """Count one request that has just ended."""
        second = int(self._clock())
        if (
            not self._counts_by_second
            or self._counts_by_second[-1][0] != second
        ):
            self._counts_by_second.append((second, Counter()))
            self._drop_expired(second)
        self._counts_by_second[-1][1][(tier, outcome)] += 1

    def last_minute(self) -> dict[str, dict[str, int]]:
        """Return the requests of the last minute by tier and outcome."""
        self._drop_expired(int(self._clock()))
        totals: dict[str, dict[str, int]] = {}
        for _, counts in self._counts_by_second:
            for (tier, outcome), number in counts.items():
                by_outcome = totals.setdefault(tier, {})
                by_outcome[outcome] = by_outcome.get(outcome, 0) + number
        return totals

    def _drop_expired(self, now: int) -> None:
        while (
            self._counts_by_second
            and self._counts_by_second[0][0] <= now - WINDOW_S
        ):
            self._counts_by_second.popleft()
