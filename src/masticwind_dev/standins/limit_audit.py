"""Checks from the engines' side that the limits which they name are kept.

From `CONTACT_S` after an engine first named a limit, it may get in any
`WINDOW_S` at most `FACTOR` times what the limit allows and `SLACK_REQUESTS`
more. A request counts if the entry that sent it had received an answer with
the limit at least `NOTICE_S` earlier.
"""

import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

WINDOW_S: Final = 4.0
FACTOR: Final = 1.5
SLACK_REQUESTS: Final = 5
NOTICE_S: Final = 0.5
CONTACT_S: Final = 3.0


def allowed_requests(limit_per_s: float) -> int:
    """Return how many requests an engine may get in any `WINDOW_S`."""
    return math.floor(FACTOR * limit_per_s * WINDOW_S + SLACK_REQUESTS)


@dataclass(slots=True)
class _Engine:
    limit_per_s: float
    named_at: float
    informed_at: dict[str, float] = field(default_factory=dict)
    counted: deque[float] = field(default_factory=deque)
    busiest: int = 0


class LimitAudit:
    """Counts what arrives at engines while they name a limit."""

    def __init__(
        self,
        contact_s: float = CONTACT_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._contact_s: Final = contact_s
        self._clock: Final = clock
        self._engines: Final[dict[str, _Engine]] = {}
        self.violations: Final[list[str]] = []

    def record_limit(self, engine: str, limit_per_s: float) -> None:
        """Record that an engine names a limit from now on."""
        known = self._engines.get(engine)
        if known is None or known.limit_per_s != limit_per_s:
            self._engines[engine] = _Engine(limit_per_s, self._clock())

    def record_end(self, engine: str) -> None:
        """Record that an engine names no limit from now on."""
        self._engines.pop(engine, None)

    def record_answer(self, engine: str, entry: str) -> None:
        """Record that an entry receives an answer which names the limit."""
        known = self._engines.get(engine)
        if known is not None:
            known.informed_at.setdefault(entry, self._clock())

    def excuse(self, entry: str) -> None:
        """Record that an entry has lost what it was told, or was suspended."""
        for known in self._engines.values():
            known.informed_at.pop(entry, None)

    def excuse_all(self, engine: str) -> None:
        """Record that the link to an engine was disturbed."""
        known = self._engines.get(engine)
        if known is not None:
            known.informed_at.clear()
            known.counted.clear()

    def record_request(self, engine: str, entry: str) -> None:
        """Record that a request of an entry arrives at an engine."""
        known = self._engines.get(engine)
        if known is None:
            return
        now = self._clock()
        if now - known.informed_at.get(entry, math.inf) < NOTICE_S:
            return
        known.counted.append(now)
        while known.counted[0] <= now - WINDOW_S:
            known.counted.popleft()
        if now - known.named_at < self._contact_s:
            return
        known.busiest = max(known.busiest, len(known.counted))
        allowed = allowed_requests(known.limit_per_s)
        if len(known.counted) > allowed:
            self.violations.append(
                f'{engine} named {known.limit_per_s} a second and got'
                f' {len(known.counted)} requests in {WINDOW_S} s,'
                f' {allowed} allowed'
            )

    def busiest_window(self, engine: str) -> int:
        """Return the most requests that counted in one window."""
        return self._engines[engine].busiest
