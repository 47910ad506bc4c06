"""Framing of requests, and size and time limits of callers' connections.

uvicorn's HTTP parser does not limit the size of a request head, and uvicorn
limits neither the time until the head is complete nor the time for which a
caller does not read its response.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from masticwind.web_callers import CallerConnections, KeptBytes
from masticwind.web_framing import (
    BodySize,
    check_head,
    find_declared_length,
)
from masticwind.web_input import InputFlow, RequestInput
from masticwind.web_parser import RequestParser
from masticwind.web_timers import ConnectionTimer, WriteTimer
from masticwind.web_transport import (
    KEPT_BY_NARROW_BYTES,
    KEPT_BY_WIDE_BYTES,
    CallerTransport,
)

# Where the scope of a request has its `LimitedProtocol`.
EXTENSION: Final = 'masticwind'
CONNECTION_KEY: Final = 'connection'
# Whether the target has a query; it may be empty, which ASGI cannot say.
QUERY_KEY: Final = 'has_query'
MAX_HEADERS: Final = 128
MAX_REQUEST_LINE_BYTES: Final = 8192
# Colon, space and line end of each header, and the empty line.
# What a relay keeps of an answer that its caller does not read: in the receive
# buffer of its endpoint's connection, of the last read, and in the HTTP parser,
# each up to the same size.
RELAYED_READ_BYTES: Final = 65_536
KEPT_BY_RELAY_BYTES: Final = 3 * RELAYED_READ_BYTES
MAX_SEPARATOR_BYTES: Final = 4 * MAX_HEADERS + 2


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
    applies to the next request of an open connection. Nothing is parsed behind
    the request in progress.
    """

    def __init__(
        self,
        *args: Any,
        limits: Callable[[], ConnectionLimits],
        callers: CallerConnections,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.parser = RequestParser(self)  # type: ignore[assignment]
        self._callers: Final = callers
        self._input: RequestInput
        # The server ends, and serves only requests that have arrived.
        self.is_shutting_down = False
        self._body_size = BodySize(declared=0)
        self._timer: Final = ConnectionTimer(
            self.loop, limits, self.close_unused
        )
        self._head_bytes = 0
        self._in_head = True
        self._awaits_body = False
        self._write_timer: WriteTimer
        self._received_at = 0.0
        self._conn: CallerTransport

    @property
    def has_next_request(self) -> bool:
        """Whether bytes of another request than the current one are here."""
        if self._head_bytes:
            return True
        return not self._awaits_body and self._has_unparsed_bytes

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
        self._write_timer = WriteTimer(self.loop, self._conn.abort)
        super().connection_made(self._conn)
        flow = InputFlow(self._conn)
        self.flow = flow
        self._input = RequestInput(self, flow, self._callers.turns, self.loop)
        self._timer.start_idle()
        self._callers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers, and forget what is kept."""
        self._timer.stop()
        self._write_timer.stop()
        self._input.clear()
        self._callers.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data, or keep it until the request in progress has ended."""
        if self._conn.is_closing():
            self._conn.discard(len(data))
            return
        self._received_at = time.monotonic()
        self._input.add(data)

    def end_parsing(self) -> None:
        """Count what is kept, which is nothing behind the last request."""
        if self._conn.is_closing():
            self._input.clear()
        self._callers.record_kept(self)

    def on_message_begin(self) -> None:
        """Start the limits of the next request head."""
        if self.has_request:
            # The parser turns this into a response with status 400.
            raise ValueError('the request in progress has not ended')
        super().on_message_begin()
        self.scope['extensions'] = {EXTENSION: {CONNECTION_KEY: self}}
        self._head_bytes = 0
        self._in_head = True
        self._timer.start_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reject too many or too large headers, also within one chunk.

        Trailers are dropped, as HTTP/1.1 allows: they must not replace what
        the head says, and the head may have been read before they arrive.
        """
        if not self._in_head:
            return
        super().on_header(name, value)
        size = sum(len(key) + len(text) for key, text in self.headers)
        if len(self.headers) > MAX_HEADERS or not self._timer.allows(size):
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
        self._timer.stop()
        # This fails for a target without a path.
        super().on_headers_complete()
        self._awaits_body = True
        self._callers.record_request(self)
        body_bytes = self._body_size.missing_bytes
        is_long = body_bytes is None or body_bytes > KEPT_BY_NARROW_BYTES
        if is_long and self._callers.try_widen_buffer(self):
            self._conn.widen_receive_buffer()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request, unless a response to it has begun."""
        is_answered = self._awaits_body and self.cycle.response_started
        if is_answered or (self.has_request and not self._awaits_body):
            # Its caller would take a refusal for the next answer.
            self.transport.close()
        else:
            super().send_400_response(msg)

    def on_response_complete(self) -> None:
        """Start the idle timeout, and let the next request be parsed."""
        super().on_response_complete()
        # The timer of this class also knows heads and new limits.
        self._unset_keepalive_if_required()
        self._callers.record_answer(self)
        if not self._conn.is_closing():
            self._timer.start_idle()
            self._input.await_turn()
        self.end_parsing()

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
        elif self._has_unparsed_bytes:
            self._timer.close_later()
        elif self._conn.is_delivered:
            self._conn.close_unread()
        else:
            self._conn.close()

    def close_finally(self) -> None:
        """Close a connection that has no request, as the server ends.

        Only undelivered answers and unread bytes are waited for.
        """
        self.close_unused()
        if self._awaits_body or self._has_unparsed_bytes:
            return
        if self._conn.is_delivered:
            self._conn.close_unread()

    def shutdown(self) -> None:
        """Close the connection after the request in progress."""
        self.is_shutting_down = True
        if not self.has_request:
            self.close_unused()
        elif not self.has_next_request:
            super().shutdown()

    def close_for_limit(self) -> None:
        """Close the connection at once, as callers together reach a limit.

        Its input is released now: until the event loop reports the end of the
        connection, further reads may have taken the same memory again.
        """
        if self.is_replaceable:
            self._conn.close_unread()
        else:
            self._conn.abort()
        self._input.clear()

    def find_kept(self) -> KeptBytes:
        """Return what is kept for the caller.

        Bytes of the kernel count in the memory of some platforms. They are few
        unless reading is held.
        """
        unparsed = self._input.kept_bytes
        if self._input.is_held and not self._conn.is_closing():
            unparsed += (
                KEPT_BY_WIDE_BYTES
                if self._callers.has_wide_buffer(self)
                else KEPT_BY_NARROW_BYTES
            )
        unread = self._conn.get_write_buffer_size()
        if self.has_request and self.flow.write_paused:
            unread += KEPT_BY_RELAY_BYTES
        is_ahead = self.has_request and not self._awaits_body
        arriving = self._head_bytes
        if self.cycle is not None:
            arriving += len(self.cycle.body)
        return KeptBytes(
            ahead=unparsed if is_ahead else 0,
            unread=unread,
            arriving=arriving if is_ahead else arriving + unparsed,
            stalled_at=self._write_timer.stalled_at,
            received_at=self._received_at,
        )

    def count_kept_bytes(self) -> int:
        """Return the bytes that are kept for the caller."""
        return self.find_kept().total

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
        self._callers.record_body(self)
        if self.is_idle:
            self._timer.start_idle()
        super().on_message_complete()

    def pause_writing(self) -> None:
        """Start the write timeout: the caller does not read its response."""
        super().pause_writing()
        self._write_timer.start()
        self._callers.record_kept(self)

    def resume_writing(self) -> None:
        """Stop the write timeout: the caller reads again."""
        self._write_timer.end()
        super().resume_writing()

    @property
    def is_replaceable(self) -> bool:
        """Whether the connection can be closed without a loss.

        Its caller has received all answers, and no whole request has arrived.
        """
        if self.has_request or self._awaits_body or self._has_unparsed_bytes:
            return False
        return self._conn.is_delivered

    @property
    def may_parse(self) -> bool:
        """Whether the next bytes belong to the current request, or begin one
        while none is in progress.
        """
        if self._conn.is_closing():
            return False
        return self._awaits_body or not self.has_request

    @property
    def missing_body_bytes(self) -> int | None:
        """What is missing of the body; None if it is sent in chunks."""
        return self._body_size.missing_bytes if self._awaits_body else 0

    def parse_slice(self, content: bytes) -> None:
        """Parse bytes; refuse the request if its head is too large."""
        HttpToolsProtocol.data_received(self, content)
        refusal = ''
        if self._in_head:
            self._head_bytes += len(content)
            beside_bytes = MAX_REQUEST_LINE_BYTES + MAX_SEPARATOR_BYTES
            if not self._timer.allows(self._head_bytes - beside_bytes):
                refusal = 'Request head is too large.'
        else:
            self._body_size.end_read(len(content))
            overhead = self._body_size.overhead
            if self._awaits_body and not self._timer.allows(overhead):
                refusal = 'Chunk framing is too large.'
        if refusal and not self._conn.is_closing():
            self.send_400_response(refusal)

    @property
    def _has_unparsed_bytes(self) -> bool:
        return bool(self._input) or self._conn.has_unread_bytes
