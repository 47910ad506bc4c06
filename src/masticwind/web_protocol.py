"""Limits on what a caller's connection may hold, in bytes and in time.

The parser that uvicorn uses has no limit on the size of a request's head,
and uvicorn has no limit on the time until the head is complete or for which
a caller does not read its answer.
"""

import asyncio
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

MAX_HEAD_BYTES: Final = 32_768
MAX_HEADERS: Final = 128
HEAD_TIMEOUT_S: Final = 10.0
# A caller that reads nothing for this long is treated as gone.
WRITE_STALL_S: Final = 30.0


class LimitedProtocol(HttpToolsProtocol):
    """One HTTP connection of a caller."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
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
        """Start the time limit of the first head."""
        super().connection_made(transport)
        self._start_head()

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
        if self._head_bytes > MAX_HEAD_BYTES:
            if not self.transport.is_closing():
                self.send_400_response('Request head is too large.')
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Start the limits of the next head."""
        super().on_message_begin()
        self._start_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Refuse too many or too large headers of one chunk."""
        super().on_header(name, value)
        size = sum(len(key) + len(text) for key, text in self.headers)
        if len(self.headers) > MAX_HEADERS or size > MAX_HEAD_BYTES:
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
            WRITE_STALL_S,
            self.transport.abort,
        )

    def resume_writing(self) -> None:
        """The caller reads again."""
        self._stop_write_timer()
        super().resume_writing()

    def _start_head(self) -> None:
        self._head_bytes = 0
        self._in_head = True
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_S,
            self.transport.close,
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
