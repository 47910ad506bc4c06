"""Counts the outcomes of requests by tier in one-second slots."""

import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

WINDOW_S: Final = 60

Outcome = tuple[str, str]


class TierOutcomeCounter:
    """Outcomes by tier in the last minute."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._slots: Final = deque[tuple[int, Counter[Outcome]]]()

    def count(self, tier: str, outcome: str) -> None:
        """Count one request that has ended now."""
        second = int(self._clock())
        if not self._slots or self._slots[-1][0] != second:
            self._slots.append((second, Counter()))
            self._drop_old(second)
        self._slots[-1][1][(tier, outcome)] += 1

    def totals(self) -> dict[str, dict[str, int]]:
        """Return the number of requests by tier and outcome."""
        self._drop_old(int(self._clock()))
        found: dict[str, dict[str, int]] = {}
        for _, counts in self._slots:
            for (tier, outcome), number in counts.items():
                by_outcome = found.setdefault(tier, {})
                by_outcome[outcome] = by_outcome.get(outcome, 0) + number
        return found

    def _drop_old(self, now: int) -> None:
        while self._slots and self._slots[0][0] <= now - WINDOW_S:
            self._slots.popleft()
