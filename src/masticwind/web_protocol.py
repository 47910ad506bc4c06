"""Limits on what a caller's connection may hold, in bytes and in time.

The parser that uvicorn uses has no limit on the size of a request's head,
and uvicorn has no limit on the time until the head is complete or for which
a caller does not read its answer.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

MAX_HEADERS: Final = 128
# Room for the request line and separators beside the headers.
REQUEST_LINE_BYTES: Final = 8192
# A caller that reads nothing for this long is treated as gone.
WRITE_STALL_TIMEOUT_S: Final = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """What a caller may send before its request begins, and how slowly.

    `max_header_bytes` counts names and values. `header_timeout_s` runs from the
    first byte of a head to its end. A connection without a request is closed
    after `idle_timeout_s`.
    """

    max_header_bytes: int = 32_768
    header_timeout_s: float = 10
    idle_timeout_s: float = 60


class LimitedProtocol(HttpToolsProtocol):
    """One HTTP connection of a caller.

    `limits` is asked at each head, so that a new configuration holds for
    the next request of an open connection.
    """

    def __init__(
        self,
        *args: Any,
        limits: Callable[[], ConnectionLimits],
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._limits_now: Final = limits
        self._limits = limits()
        self._head_bytes = 0
        self._in_head = True
        self._head_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Whether the last request has its answer and no new one begins."""
        if self.cycle is None or not self.cycle.response_complete:
            return False
        return not self._head_bytes

    def connection_made(  # type: ignore[override]
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Start the time limit of a connection without a request."""
        super().connection_made(transport)
        self._start_head()
        self._close_after(self._limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        self._stop_head_timer()
        self._stop_write_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse; close the connection if a head is too large."""
        super().data_received(data)
        if not self._in_head:
            return
        self._head_bytes += len(data)
        if (
            self._head_bytes
            > self._limits.max_header_bytes + REQUEST_LINE_BYTES
        ):
            if not self.transport.is_closing():
                self.send_400_response('Request head is too large.')
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Start the limits of the next head."""
        super().on_message_begin()
        self._start_head()
        self._close_after(self._limits.header_timeout_s)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Refuse too many or too large headers of one chunk."""
        super().on_header(name, value)
        size = sum(len(key) + len(text) for key, text in self.headers)
        if (
            len(self.headers) > MAX_HEADERS
            or size > self._limits.max_header_bytes
        ):
            # The parser turns this into a 400 answer.
            raise ValueError('request head is too large')

    def on_headers_complete(self) -> None:
        """End the limits of the head."""
        self._in_head = False
        self._stop_head_timer()
        super().on_headers_complete()

    def pause_writing(self) -> None:
        """Start the time limit of a caller that does not read."""
        super().pause_writing()
        self._stop_write_timer()
        self._write_timer = self.loop.call_later(
            WRITE_STALL_TIMEOUT_S,
            self.transport.abort,
        )

    def resume_writing(self) -> None:
        """The caller reads again."""
        self._stop_write_timer()
        super().resume_writing()

    def _start_head(self) -> None:
        self._head_bytes = 0
        self._in_head = True
        self._limits = self._limits_now()
        # uvicorn closes a kept connection after this time without a request.
        self.timeout_keep_alive = math.ceil(self._limits.idle_timeout_s)

    def _close_after(self, seconds: float) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(seconds, self.transport.close)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
