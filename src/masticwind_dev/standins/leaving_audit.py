"""Checks from the engines' side that what their answers ask for is kept.

An engine that leaves says so in its answers, and an engine that refuses a
request may ask for a pause. An entry is bound by what it was told itself; a
process that has been restarted or suspended since then is not. `entry` is the
name of one process, so that a restart needs no record.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Time in which an entry may still act on what it knew before a refusal.
PAUSE_NOTICE_S: Final = 0.5
REQUESTS_IN_PAUSE: Final = 2


class LeavingAudit:
    """Finds requests that reach an engine which has said that it leaves.

    A request counts if its caller sent it later than `leave_s` after the entry
    had passed on an answer that said so.
    """

    def __init__(
        self, leave_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._leave_s: Final = leave_s
        self._clock: Final = clock
        # By engine and entry.
        self._informed_at: Final[dict[tuple[str, str], float]] = {}
        self.violations: Final[list[str]] = []

    def record_answer(self, engine: str, entry: str) -> None:
        """Record that an entry has passed on an answer that says so."""
        self._informed_at.setdefault((engine, entry), self._clock())

    def excuse(self, entry: str) -> None:
        """Record that an entry was suspended."""
        for key in tuple(self._informed_at):
            if key[1] == entry:
                self._informed_at.pop(key)

    def record_return(self, engine: str) -> None:
        """Record that a new process has the name of the engine."""
        for key in tuple(self._informed_at):
            if key[0] == engine:
                self._informed_at.pop(key)

    def record_request(self, engine: str, entry: str, sent_at: float) -> None:
        """Record that a request reaches an engine.

        `sent_at` is the time at which its caller began to send it.
        """
        informed_at = self._informed_at.get((engine, entry))
        if informed_at is None or sent_at <= informed_at + self._leave_s:
            return
        self.violations.append(
            f'{engine} got a request from {entry} that was sent'
            f' {sent_at - informed_at:.3f} s after it had said that it leaves'
        )


@dataclass(slots=True)
class _Pause:
    begins_at: float
    ends_at: float
    requests: int = 0


class PauseAudit:
    """Counts the requests that reach an engine while it has asked for none."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        # By engine and entry.
        self._pauses: Final[dict[tuple[str, str], list[_Pause]]] = {}
        self.violations: Final[list[str]] = []

    def record_refusal(self, engine: str, entry: str, pause_s: float) -> None:
        """Record that an engine has asked an entry for a pause."""
        now = self._clock()
        self._pauses.setdefault((engine, entry), []).append(
            _Pause(now + PAUSE_NOTICE_S, now + pause_s)
        )

    def excuse(self, entry: str) -> None:
        """Record that an entry was suspended, or a link of it disturbed."""
        for key in tuple(self._pauses):
            if key[1] == entry:
                self._pauses.pop(key)

    def record_request(self, engine: str, entry: str) -> None:
        """Record that a request reaches an engine."""
        now = self._clock()
        for pause in self._pauses.get((engine, entry), ()):
            if not pause.begins_at < now < pause.ends_at:
                continue
            pause.requests += 1
            if pause.requests > REQUESTS_IN_PAUSE:
                self.violations.append(
                    f'{engine} got request {pause.requests} from {entry},'
                    f' {pause.ends_at - now:.3f} s before the end of its pause'
                )
