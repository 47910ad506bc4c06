"""Limits the rate of log lines that callers can cause at will.

The writer drops lines above its own limit, whichever they are. Without this
limit, lines about strange requests would displace all others.
"""

import time
from collections.abc import Callable
from typing import Final

# Lines of each kind. Operators need some examples; the count of the others is
# in the next line, and the metrics have them all.
MAX_LINES_PER_S: Final = 10.0
MAX_BURST_LINES: Final = 100.0


class LineLimiter:
    """Counts the lines of each kind, of which there is a closed list."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._kinds: Final[dict[str, _Kind]] = {}

    def left_out(self, kind: str) -> int | None:
        """Return how many lines have been left out before this one.

        None tells to leave out this one, too.
        """
        now = self._clock()
        state = self._kinds.get(kind)
        if state is None:
            state = _Kind(now)
            self._kinds[kind] = state
        return state.count_line(now)


class _Kind:
    def __init__(self, now: float) -> None:
        self._allowed_lines = MAX_BURST_LINES
        self._refilled_at = now
        self._left_out = 0

    def count_line(self, now: float) -> int | None:
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._allowed_lines = min(MAX_BURST_LINES, self._allowed_lines + refill)
        self._refilled_at = now
        if self._allowed_lines < 1:
            self._left_out += 1
            return None
        self._allowed_lines -= 1
        left_out = self._left_out
        self._left_out = 0
        return left_out
