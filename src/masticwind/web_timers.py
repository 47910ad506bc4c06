"""Time limits of one connection of a caller: heads, idle times, answers."""

import asyncio
import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from masticwind.web_protocol import ConnectionLimits

UNREAD_RECHECK_S: Final = 0.05
# The connection of a caller that reads nothing for this long is aborted.
WRITE_STALL_TIMEOUT_S: Final = 30.0
# `WriteTimer.stalled_at` of a caller that has read nothing of its answer.
NOTHING_READ: Final = 0.0


class ConnectionTimer:
    """Ends the head that is being read, or else the idle time.

    `close` is called then. Limits that have changed meanwhile leave a caller
    the longer time and the larger head.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        current_limits: Callable[[], 'ConnectionLimits'],
        close: Callable[[], None],
    ) -> None:
        self._loop: Final = loop
        self._current_limits: Final = current_limits
        self._close: Final = close
        # The limits when the head began.
        self._limits = current_limits()
        self._timer: asyncio.TimerHandle | None = None
        self._since = 0.0
        self._idle_timeout_s = 0.0

    def allows(self, header_bytes: int) -> bool:
        """Whether the larger limit since the head began allows a size."""
        if header_bytes <= 0:
            return True
        return header_bytes <= max(
            self._limits.max_header_bytes,
            self._current_limits().max_header_bytes,
        )

    def start_head(self) -> None:
        """Limit the time of a head that begins now."""
        self._limits = self._current_limits()
        self._since = self._loop.time()
        self._start(self._limits.header_timeout_s, self._end_head)

    def start_idle(self) -> None:
        """Limit the time until the next head begins."""
        self._since = self._loop.time()
        self._idle_timeout_s = self._current_limits().idle_timeout_s
        self._start(self._idle_timeout_s, self._end_idle)

    def close_later(self) -> None:
        """Close the connection soon, unless a head begins before."""
        self._start(UNREAD_RECHECK_S, self._close)

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self, timeout_s: float, callback: Callable[[], None]) -> None:
        self.stop()
        self._timer = self._loop.call_later(timeout_s, callback)

    def _end_head(self) -> None:
        timeout_s = max(
            self._limits.header_timeout_s,
            self._current_limits().header_timeout_s,
        )
        self._close_after(timeout_s, self._end_head)

    def _end_idle(self) -> None:
        timeout_s = max(
            self._idle_timeout_s, self._current_limits().idle_timeout_s
        )
        self._close_after(timeout_s, self._end_idle)

    def _close_after(
        self, timeout_s: float, callback: Callable[[], None]
    ) -> None:
        left_s = self._since + timeout_s - self._loop.time()
        if left_s > 0:
            self._start(left_s, callback)
        else:
            self._close()


class WriteTimer:
    """Ends a connection whose caller does not read its answer.

    `stalled_at` is the time of the monotonic clock since which the caller has
    read nothing while an answer waits for it, `NOTHING_READ` if it has read
    nothing before either, and infinite while no answer waits.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, abort: Callable[[], None]
    ) -> None:
        self.stalled_at = math.inf
        self._loop: Final = loop
        self._abort: Final = abort
        self._has_been_read = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Note that the answer waits for its caller."""
        self.stop()
        self.stalled_at = (
            time.monotonic() if self._has_been_read else NOTHING_READ
        )
        self._timer = self._loop.call_later(WRITE_STALL_TIMEOUT_S, self._abort)

    def end(self) -> None:
        """Note that the caller has read."""
        self.stop()
        self.stalled_at = math.inf
        self._has_been_read = True

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
