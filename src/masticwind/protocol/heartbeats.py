"""Heartbeats of one connection and the silence that they detect.

Each heartbeat carries the sequence number of the last one received from the
peer. A process can therefore detect that only its sending direction is lost.
"""

import time
from collections import deque
from typing import Final

from masticwind.protocol.messages import Heartbeat, Load

# An idle endpoint's unchanged load report is sent only with every third
# heartbeat. At the default interval it is then at most 1.5 s old, less than
# the 2 s after which the planner treats it as stale. A busy endpoint sends it
# with every heartbeat, because entries use the time of a report to decide
# which requests it includes.
LOAD_REPEAT_HEARTBEATS: Final = 3


class HeartbeatTracker:
    """Builds the heartbeats of one connection and tracks their echoes."""

    def __init__(self) -> None:
        self.last_sent_sequence = -1
        self.last_echoed_sequence = -1
        self._last_received_sequence = -1
        self._unechoed: Final = deque[tuple[int, float]]()
        self._peer_echoes = False
        self._last_load: Load | None = None
        self._load_sent_sequence = -LOAD_REPEAT_HEARTBEATS

    def next_heartbeat(self, generation: int, load: Load | None) -> Heartbeat:
        """Return the heartbeat to send now.

        It carries `load` if that has changed, contains requests or is due for
        repetition.
        """
        self.last_sent_sequence += 1
        self._unechoed.append((self.last_sent_sequence, time.monotonic()))
        return Heartbeat(
            self.last_sent_sequence,
            generation,
            self._load_if_due(load),
            self._last_received_sequence,
        )

    def record_received(self, message: Heartbeat) -> None:
        """Record a heartbeat of the peer and the sequence that it echoes."""
        self._last_received_sequence = message.sequence
        if message.echo < 0:
            return
        self._peer_echoes = True
        self.last_echoed_sequence = max(self.last_echoed_sequence, message.echo)
        while (
            self._unechoed and self._unechoed[0][0] <= self.last_echoed_sequence
        ):
            self._unechoed.popleft()

    def oldest_unechoed_s(self, now: float) -> float:
        """Return the age in seconds of the oldest heartbeat without echo.

        Zero if the peer has never echoed: an older release sends no echoes,
        and a peer that sends nothing is detected by the missing frames.
        """
        if not self._peer_echoes or not self._unechoed:
            return 0
        return now - self._unechoed[0][1]

    def exclude_pause(self, paused_s: float) -> None:
        """Exclude a pause of this process from the age of heartbeats."""
        now = time.monotonic()
        for index, (sequence, sent_at) in enumerate(self._unechoed):
            self._unechoed[index] = sequence, min(now, sent_at + paused_s)

    def _load_if_due(self, load: Load | None) -> Load | None:
        heartbeats_since_load = (
            self.last_sent_sequence - self._load_sent_sequence
        )
        unchanged = load == self._last_load and _is_idle(load)
        if unchanged and heartbeats_since_load < LOAD_REPEAT_HEARTBEATS:
            return None
        self._last_load = load
        self._load_sent_sequence = self.last_sent_sequence
        return load


def _is_idle(load: Load | None) -> bool:
    return load is None or not (load.running or load.queued)
