"""Heartbeats of one connection, and what they tell about its silence.

Each heartbeat echoes the last one that was received. An end can therefore
tell that its own direction is lost while the other still works.
"""

import time
from collections import deque
from typing import Final

from masticwind.protocol.messages import Heartbeat, Load

# An unchanged report of an idle endpoint is sent with every third heartbeat
# only. At the default interval it is then at most 1.5 s old, within the 2 s
# for which the planner calls a view fresh. A busy endpoint always reports,
# because entries tell by the age of a report which requests it contains.
LOAD_REPEAT_BEATS: Final = 3


class Beats:
    """The heartbeats of one connection in both directions."""

    def __init__(self) -> None:
        self.last_sent = -1
        self.last_echo = -1
        self._last_received = -1
        self._unanswered: Final = deque[tuple[int, float]]()
        self._echoes = False
        self._load: Load | None = None
        self._load_sent_at = -LOAD_REPEAT_BEATS

    def next(self, generation: int, load: Load | None) -> Heartbeat:
        """Return the heartbeat to send now.

        It carries `load` if that has changed, shows work or is due again.
        """
        self.last_sent += 1
        self._unanswered.append((self.last_sent, time.monotonic()))
        return Heartbeat(
            self.last_sent,
            generation,
            self._due_load(load),
            self._last_received,
        )

    def received(self, message: Heartbeat) -> None:
        """Note a heartbeat of the peer and what it echoes."""
        self._last_received = message.sequence
        if message.echo < 0:
            return
        self._echoes = True
        self.last_echo = max(self.last_echo, message.echo)
        while self._unanswered and self._unanswered[0][0] <= self.last_echo:
            self._unanswered.popleft()

    def unanswered_s(self, now: float) -> float:
        """Return the age in seconds of the oldest heartbeat without echo.

        Zero for a peer that has echoed nothing yet: an older release does
        not echo, and a peer that never writes shows as silent anyway.
        """
        if not self._echoes or not self._unanswered:
            return 0
        return now - self._unanswered[0][1]

    def _due_load(self, load: Load | None) -> Load | None:
        beats = self.last_sent - self._load_sent_at
        unchanged = load == self._load and _idle(load)
        if unchanged and beats < LOAD_REPEAT_BEATS:
            return None
        self._load = load
        self._load_sent_at = self.last_sent
        return load


def _idle(load: Load | None) -> bool:
    return load is None or not (load.running or load.queued)
