"""Writes log lines without blocking on their reader.

Lines above a rate limit, and lines for which the pipe has no space, are dropped
and counted. The count is logged before the next line that is written.
"""

import os
import time
from collections.abc import Callable
from typing import Final

# A busy entry logs about six lines per request; this is more than ten times the
# rate at which its share of the users' load is logged.
MAX_LINES_PER_S: Final = 500.0
MAX_BURST_LINES: Final = 2000.0
# Limit on the bytes that wait for space in the pipe.
MAX_PENDING_BYTES: Final = 262_144


class LineWriter:
    """Writes complete lines to a file descriptor, in non-blocking mode."""

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor: Final = descriptor
        self._clock: Final = clock
        self._allowed_lines = MAX_BURST_LINES
        self._refilled_at = clock()
        self._pending = b''
        self._dropped_lines = 0

    def write(self, line: bytes) -> None:
        """Write a line, which ends with a newline, or drop it."""
        if (
            not self._consume_allowance()
            or len(self._pending) > MAX_PENDING_BYTES
        ):
            self._dropped_lines += 1
            self._flush()
            return
        if self._dropped_lines:
            notice = b'{"event":"log_lines_left_out","lines":%d}\n'
            self._pending += notice % self._dropped_lines
            self._dropped_lines = 0
        self._pending += line
        self._flush()

    def _consume_allowance(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._allowed_lines = min(MAX_BURST_LINES, self._allowed_lines + refill)
        self._refilled_at = now
        if self._allowed_lines < 1:
            return False
        self._allowed_lines -= 1
        return True

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so this error cannot be logged.
            self._pending = b''
            return
        self._pending = self._pending[written:]
