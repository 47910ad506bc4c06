"""Writes log lines without ever waiting for their reader.

Lines beyond a rate, and lines that the reader's pipe has no room for, are
left out and counted; the count is logged as soon as there is room again.
"""

import os
import time
from collections.abc import Callable
from typing import Final

# A busy entry logs about six lines for each request; this is over ten times
# what its share of the users' load makes.
LINES_PER_S: Final = 500.0
BURST_LINES: Final = 2000.0
# The rest of a line that was written in part, and what follows it.
MAX_PENDING_BYTES: Final = 262_144


class LineWriter:
    """Writes whole lines to a file descriptor that is set to non-blocking."""

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor: Final = descriptor
        self._clock: Final = clock
        self._allowed = BURST_LINES
        self._at = clock()
        self._pending = b''
        self._left_out = 0

    def write(self, line: bytes) -> None:
        """Write a line with its end, or leave it out."""
        if not self._take() or len(self._pending) > MAX_PENDING_BYTES:
            self._left_out += 1
            self._flush()
            return
        if self._left_out:
            note = b'{"event":"log_lines_left_out","lines":%d}\n'
            self._pending += note % self._left_out
            self._left_out = 0
        self._pending += line
        self._flush()

    def _take(self) -> bool:
        now = self._clock()
        refill = (now - self._at) * LINES_PER_S
        self._allowed = min(BURST_LINES, self._allowed + refill)
        self._at = now
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is no place to say so.
            self._pending = b''
            return
        self._pending = self._pending[written:]
