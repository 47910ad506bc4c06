"""Framing of requests, and size and time limits of callers' connections.

uvicorn's HTTP parser does not limit the size of a request head, and uvicorn
limits neither the time until the head is complete nor the time for which a
caller does not read its response.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from masticwind.web_framing import (
    BodySize,
    check_head,
    find_declared_length,
)
from masticwind.web_parser import RequestParser
from masticwind.web_transport import CallerTransport

# Where the scope of a request has its `LimitedProtocol`.
EXTENSION: Final = 'masticwind'
CONNECTION_KEY: Final = 'connection'
# Whether the target has a query; it may be empty, which ASGI cannot say.
QUERY_KEY: Final = 'has_query'
MAX_HEADERS: Final = 128
# Includes the separators between headers.
MAX_REQUEST_LINE_BYTES: Final = 8192
# The connection of a caller that reads nothing for this long is aborted.
WRITE_STALL_TIMEOUT_S: Final = 30.0
UNREAD_RECHECK_S: Final = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Limits on request heads and on idle connections.

    `max_header_bytes` limits the total size of header names and values.
    `header_timeout_s` limits the time from the first byte of a head to its end.
    A connection without a request is closed after `idle_timeout_s`.
    """

    max_header_bytes: int = 32_768
    header_timeout_s: float = 10
    idle_timeout_s: float = 60


class LimitedProtocol(HttpToolsProtocol):
    """One HTTP connection of a caller.

    `limits` is called for each request head, so that a new configuration
    applies to the next request of an open connection.
    """

    def __init__(
        self,
        *args: Any,
        limits: Callable[[], ConnectionLimits],
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.parser = RequestParser(self)  # type: ignore[assignment]
        self._body_size = BodySize(declared=0)
        self._current_limits: Final = limits
        self._limits = limits()
        self._head_bytes = 0
        self._in_head = True
        self._has_head_begun = False
        self._awaits_body = False
        self._refusal: str | None = None
        # Ends the head that is being read, or else the idle time.
        self._timer: asyncio.TimerHandle | None = None
        self._head_since = 0.0
        self._idle_since = 0.0
        self._idle_timeout_s = 0.0
        self._write_timer: asyncio.TimerHandle | None = None
        self._conn: CallerTransport
        # The request before the current one.
        self._earlier_cycle: Any = None

    @property
    def has_next_request(self) -> bool:
        """Whether bytes of another request than the current one are here."""
        if self.pipeline or self._head_bytes or self._refusal is not None:
            return True
        return not self._awaits_body and self._conn.has_unread_bytes

    @property
    def has_request(self) -> bool:
        """Whether a request is in progress whose head has been read."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def is_idle(self) -> bool:
        """Whether the last response is complete and no new request began."""
        if self.cycle is None or self.has_request:
            return False
        return not self._head_bytes

    def connection_made(  # type: ignore[override]
        self,
        transport: asyncio.Transport,
    ) -> None:
        """Start the idle timeout of the new connection."""
        self._conn = CallerTransport(transport, self.loop)
        super().connection_made(self._conn)
        self._reset_head()
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        self._stop_timer()
        self._stop_write_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data; close the connection if a request head is too large."""
        if self._conn.is_closing():
            self._conn.discard(len(data))
            return
        if self._refusal is not None:
            return
        self._has_head_begun = False
        super().data_received(data)
        if not self._in_head:
            self._body_size.end_read(len(data))
            max_bytes = self._max_header_bytes()
            if (
                self._awaits_body
                and self._body_size.overhead > max_bytes
                and not self._is_refused
            ):
                self.send_400_response('Chunk framing is too large.')
            return
        # Of data in which the head begins, only its first byte is certain.
        self._head_bytes += 1 if self._has_head_begun else len(data)
        max_bytes = self._max_header_bytes() + MAX_REQUEST_LINE_BYTES
        if self._head_bytes > max_bytes and not self._is_refused:
            self.send_400_response('Request head is too large.')

    def on_message_begin(self) -> None:
        """Start the limits of the next request head."""
        super().on_message_begin()
        self.scope['extensions'] = {EXTENSION: {CONNECTION_KEY: self}}
        self._reset_head()
        self._has_head_begun = True
        self._head_since = self.loop.time()
        self._start_timer(self._limits.header_timeout_s, self._end_head)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reject too many or too large headers, also within one chunk.

        Trailers are dropped, as HTTP/1.1 allows: they must not replace what
        the head says, and the head may have been read before they arrive.
        """
        if not self._in_head:
            return
        super().on_header(name, value)
        size = sum(len(key) + len(text) for key, text in self.headers)
        if len(self.headers) > MAX_HEADERS or size > self._max_header_bytes():
            # The parser turns this into a response with status 400.
            raise ValueError('request head is too large')

    def on_headers_complete(self) -> None:
        """End the limits of the request head, and check the head.

        The parser turns a `ValueError` into a response with status 400.
        """
        check_head(self.parser.get_http_version(), self.url, self.headers)
        self.scope['extensions'][EXTENSION][QUERY_KEY] = b'?' in self.url
        self._in_head = False
        self._head_bytes = 0
        self._body_size = BodySize(find_declared_length(self.headers))
        self._stop_timer()
        earlier_cycle = self.cycle
        # This fails for a target without a path.
        super().on_headers_complete()
        self._earlier_cycle = earlier_cycle
        self._awaits_body = True

    def send_400_response(self, msg: str) -> None:
        """Refuse a request once those before it have been answered."""
        if self._awaits_body and self.pipeline:
            # Its head has been read, but those before it are not answered.
            self.pipeline.popleft()
            self.cycle = self._earlier_cycle
            self._awaits_body = False
        elif self._awaits_body and self.cycle.response_started:
            # Its caller would take a refusal for the next answer.
            self.transport.close()
            return
        if self.has_request and not self._awaits_body:
            self._refusal = msg
            self._stop_timer()
        else:
            super().send_400_response(msg)

    def on_response_complete(self) -> None:
        """Start the idle timeout, or send a refusal that has waited."""
        super().on_response_complete()
        # The timer of this class also knows heads and new limits.
        self._unset_keepalive_if_required()
        if self.has_request or self._conn.is_closing():
            return
        if self._refusal is not None:
            self.send_400_response(self._refusal)
        elif self.is_idle:
            self._start_idle_timer()

    def close_unused(self) -> None:
        """Close a connection that has no request in progress.

        Bytes that have arrived are read first, since they may be a request.
        What its caller sends later is left unread, unless the reset that
        follows could discard the last answer.
        """
        if self._conn.is_closing():
            return
        if self._awaits_body:
            self._conn.close()
        elif self._conn.has_unread_bytes:
            self._start_timer(UNREAD_RECHECK_S, self.close_unused)
        elif self._conn.is_delivered:
            self._conn.close_unread()
        else:
            self._conn.close()

    def close_finally(self) -> None:
        """Close a connection that has no request, as the server ends.

        Only undelivered answers and unread bytes are waited for.
        """
        self.close_unused()
        if self._awaits_body or self._conn.has_unread_bytes:
            return
        if self._conn.is_delivered:
            self._conn.close_unread()

    def shutdown(self) -> None:
        """Close the connection after the request in progress."""
        if self.has_request:
            super().shutdown()
        else:
            self.close_unused()

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body."""
        self._body_size.add_content(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note the end of the body, also of one that has been refused.

        The application does not get the end of a body that is shorter or
        longer than declared, so that it cannot forward the request.
        """
        # The parser turns a `ValueError` into a response with status 400.
        self._body_size.check_end()
        self._awaits_body = False
        if self.is_idle:
            self._start_idle_timer()
        super().on_message_complete()

    def pause_writing(self) -> None:
        """Start the write timeout: the caller does not read its response."""
        super().pause_writing()
        self._stop_write_timer()
        self._write_timer = self.loop.call_later(
            WRITE_STALL_TIMEOUT_S,
            self.transport.abort,
        )

    def resume_writing(self) -> None:
        """Stop the write timeout: the caller reads again."""
        self._stop_write_timer()
        super().resume_writing()

    @property
    def _is_refused(self) -> bool:
        return self._refusal is not None or self._conn.is_closing()

    def _reset_head(self) -> None:
        self._head_bytes = 0
        self._in_head = True
        self._limits = self._current_limits()

    def _start_idle_timer(self) -> None:
        self._idle_since = self.loop.time()
        self._idle_timeout_s = self._current_limits().idle_timeout_s
        self._start_timer(self._idle_timeout_s, self._end_idle)

    def _end_idle(self) -> None:
        """Close the connection, unless a new limit leaves it more time."""
        timeout_s = max(
            self._idle_timeout_s, self._current_limits().idle_timeout_s
        )
        left_s = self._idle_since + timeout_s - self.loop.time()
        if left_s > 0:
            self._start_timer(left_s, self._end_idle)
        else:
            self.close_unused()

    def _start_timer(
        self, timeout_s: float, callback: Callable[[], None]
    ) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(timeout_s, callback)

    def _end_head(self) -> None:
        """Close the connection, unless an earlier request is in progress or a
        new limit leaves the head more time.
        """
        timeout_s = max(
            self._limits.header_timeout_s,
            self._current_limits().header_timeout_s,
        )
        if self.has_request:
            self._start_timer(timeout_s, self._end_head)
            return
        left_s = self._head_since + timeout_s - self.loop.time()
        if left_s > 0:
            self._start_timer(left_s, self._end_head)
        else:
            self.close_unused()

    def _max_header_bytes(self) -> int:
        """Return the larger of the limits since the head began."""
        return max(
            self._limits.max_header_bytes,
            self._current_limits().max_header_bytes,
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
