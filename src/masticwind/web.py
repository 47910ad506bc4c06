"""Utilities for ASGI applications without a framework, and their server.

The programs have few routes, so they use ASGI directly. Request bodies have a
size limit and a time limit.
"""

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, TypeVar
from urllib.parse import parse_qsl

import anyio
import msgspec
import uvicorn
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.byte_budget import UNLIMITED_MB, Buffer, ByteBudget
from masticwind.decoding import parse_json
from masticwind.errors import ERROR_RESPONSES, ErrorKind, Failure
from masticwind.settings_file import Address
from masticwind.sockets import listen_tcp
from masticwind.web_callers import (
    AggregateLimits,
    CallerConnections,
    derive_limits,
)
from masticwind.web_framing import VERSION_WITHOUT_CHUNKS
from masticwind.web_protocol import (
    CONNECTION_KEY,
    EXTENSION,
    QUERY_KEY,
    ConnectionLimits,
    LimitedProtocol,
)
from masticwind.web_transport import NARROW_BUFFER_BYTES

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

_Content = TypeVar('_Content')

JSON_TYPE: Final = b'application/json'
CLOSE_HEADER: Final = (b'connection', b'close')
# Decoding a larger body on the event loop would delay other requests.
INLINE_DECODE_BYTES: Final = 262_144
# Bodies that stop arriving are given up within some seconds.
NO_MEMORY_RETRY_AFTER_MS: Final = 1000
NO_LINGER: Final = struct.pack('ii', 1, 0)
CLOSE_POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes
    content_type: bytes = JSON_TYPE
    headers: tuple[tuple[bytes, bytes], ...] = ()


def json_response(
    status: int,
    content: object,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> Response:
    """Return `content` as a JSON response."""
    return Response(status, msgspec.json.encode(content), headers=headers)


def failure_response(failure: Failure) -> Response:
    """Return the HTTP response for a failure."""
    answer = ERROR_RESPONSES[failure.kind]
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if failure.retry_after_ms:
        # The header is in whole seconds; the body has the exact value.
        seconds = -(-failure.retry_after_ms // MS_PER_S)
        headers = ((b'retry-after', str(seconds).encode()),)
    return json_response(
        answer.status,
        {
            'error': {
                'kind': failure.kind,
                'message': failure.reason,
                'run': answer.run,
                'repeat_safe': answer.repeat_safe,
                'retry_after_ms': failure.retry_after_ms,
            }
        },
        headers=headers,
    )


async def send_response(send: Send, response: Response) -> None:
    """Send a complete response."""
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': [
                (b'content-type', response.content_type),
                (b'content-length', str(len(response.body)).encode()),
                *response.headers,
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': response.body})


def request_header(scope: Scope, name: bytes) -> str:
    """Return a request header, or an empty string.

    `name` is in lower case.
    """
    for key, value in scope['headers']:
        if key == name:
            return str(value.decode('latin-1'))
    return ''


def request_target(scope: Scope) -> bytes:
    """Return the path and query of a request as the caller sent them.

    Example: `/a?` has an empty query, and is another target than `/a`.
    """
    path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    extensions = scope.get('extensions', {}).get(EXTENSION, {})
    if query or extensions.get(QUERY_KEY, False):
        return b'%b?%b' % (path, query)
    return path


def query_parameters(scope: Scope) -> Mapping[str, str]:
    """Return the query parameters; of a repeated one, the last value."""
    return dict(parse_qsl(scope['query_string'].decode('latin-1')))


def no_memory_failure() -> Failure:
    """Return the failure of a request whose body cannot be kept."""
    return Failure(
        kind=ErrorKind.OVERLOADED,
        reason='the process has no memory for the body',
        retry_after_ms=NO_MEMORY_RETRY_AFTER_MS,
    )


async def read_body(
    receive: Receive,
    limit_bytes: int,
    timeout_s: float,
    buffer: Buffer | None = None,
) -> bytes | Failure:
    """Read a request body, as `read_large_body` does."""
    body = await read_large_body(receive, limit_bytes, timeout_s, buffer)
    return body if isinstance(body, Failure) else bytes(body)


async def read_large_body(
    receive: Receive,
    limit_bytes: int,
    timeout_s: float,
    buffer: Buffer | None = None,
) -> bytearray | Failure:
    """Read a request body into one array, which counts in `buffer`.

    Without a buffer, it does not count. Returns a `Failure` of kind
    `too_large`, `body_timeout`, `overloaded` or `cancelled`; also `overloaded`
    if the body stops arriving and its memory is needed for others.
    """
    scope = anyio.CancelScope(deadline=anyio.current_time() + timeout_s)
    buffer = buffer or Buffer(ByteBudget(UNLIMITED_MB))
    body = _ArrivingBody(limit_bytes, buffer, scope)
    with scope, buffer.reclaimable(body.discard):
        return await body.read(receive)
    if body.is_discarded:
        return no_memory_failure()
    return Failure(
        kind=ErrorKind.BODY_TIMEOUT,
        reason=f'the body did not arrive within {timeout_s:g} s',
    )


class _ArrivingBody:
    """A body that arrives, unless its memory is needed for others."""

    def __init__(
        self, limit_bytes: int, buffer: Buffer, scope: anyio.CancelScope
    ) -> None:
        self.is_discarded = False
        self._limit_bytes: Final = limit_bytes
        self._buffer: Final = buffer
        self._scope: Final = scope
        self._content: Final = bytearray()

    def discard(self) -> None:
        """Drop what has arrived, and end the reading."""
        self.is_discarded = True
        self._content.clear()
        self._scope.cancel()

    async def read(self, receive: Receive) -> bytearray | Failure:
        """Read to the end of the body."""
        while True:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return Failure(
                    kind=ErrorKind.CANCELLED,
                    reason='caller disconnected',
                )
            chunk = event.get('body', b'')
            if len(self._content) + len(chunk) > self._limit_bytes:
                return Failure(
                    kind=ErrorKind.TOO_LARGE,
                    reason=f'the body is over {self._limit_bytes} bytes',
                )
            # It may have been discarded while this event was on its way.
            if self.is_discarded or not self._buffer.try_grow(len(chunk)):
                return no_memory_failure()
            self._content.extend(chunk)
            if not event.get('more_body'):
                return self._content


async def decode_json(body: bytes, kind: type[_Content]) -> _Content | Failure:
    """Decode and validate a JSON body, a large one in a worker thread."""
    if len(body) <= INLINE_DECODE_BYTES:
        return parse_json(body, kind, ErrorKind.BAD_REQUEST)
    return await anyio.to_thread.run_sync(
        parse_json, body, kind, ErrorKind.BAD_REQUEST
    )


class UnchunkedSend:
    """Sends a response to a caller that does not know chunks.

    Without a length, it ends with its connection, and is reset if incomplete.
    """

    def __init__(self, conn: LimitedProtocol, send: Send) -> None:
        self._conn: Final = conn
        self._send: Final = send
        self._cycle: Final[Any] = conn.cycle
        self._is_open = False

    async def __call__(self, message: dict[str, Any]) -> None:
        """Send a part of the response."""
        if message['type'] == 'http.response.start':
            names = {name.lower() for name, _ in message['headers']}
            self._is_open = b'content-length' not in names
            if self._is_open:
                self._cycle.chunked_encoding = False
                self._cycle.keep_alive = False
        elif self._is_open:
            # uvicorn compares each part with what is left of the length.
            self._cycle.expected_content_length = len(message['body'])
            self._is_open = message.get('more_body', False)
        await self._send(message)

    def end(self) -> None:
        """Reset the connection of an incomplete response."""
        if not self._is_open:
            return
        sock = self._conn.transport.get_extra_info('socket')
        if sock is not None:
            # Without a time to linger, closing the socket resets it.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._conn.transport.abort()


class _Server(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class WebServer:
    """Serves an ASGI application on one address until `stop` is called."""

    def __init__(
        self,
        app: App,
        address: Address,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        caller_limits: AggregateLimits | None = None,
    ) -> None:
        self.callers: Final = CallerConnections(
            caller_limits or derive_limits()
        )
        self.close_after_response = False
        self._app: Final = app
        self._stopped: Final = anyio.Event()
        self._socket: Final = listen_tcp(address)
        # Where the system refuses, its own limit holds.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BUFFER_BYTES
            )
        self.port: Final = int(self._socket.getsockname()[1])
        protocol: Any = partial(
            LimitedProtocol, limits=limits, callers=self.callers
        )
        self._server: Final = _Server(
            uvicorn.Config(
                self._serve,
                loop='none',
                interface='asgi3',
                http=protocol,
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                server_header=False,
                backlog=self.callers.limits.backlog,
            )
        )

    async def run(self) -> None:
        """Serve until `stop`, and complete the requests in progress.

        Requests that are in progress when this is cancelled end without an
        answer.
        """
        try:
            await self._server.serve(sockets=[self._socket])
        finally:
            # uvicorn would answer cancelled requests with status 500.
            for conn in self._connections():
                if conn.has_request:
                    logger.warning('connection_aborted')
                conn.transport.abort()
        self._stopped.set()

    def stop(self) -> None:
        """Accept no new connections; `run` returns after the last request."""
        self._server.should_exit = True

    def close_idle_connections(self) -> None:
        """Close keep-alive connections that have no request in progress."""
        for conn in self._connections():
            if conn.is_idle:
                conn.close_unused()

    async def stop_and_wait(self, timeout_s: float) -> None:
        """Stop, and wait until the last response is written.

        A caller that does not read its response delays this by at most
        `timeout_s` seconds.
        """
        self.stop()
        with anyio.move_on_after(timeout_s):
            while not self._stopped.is_set():
                if not self._is_listening:
                    self._close_unused_connections()
                await anyio.sleep(CLOSE_POLL_INTERVAL_S)

    @property
    def _is_listening(self) -> bool:
        if not self._server.started:
            return True
        return any(server.is_serving() for server in self._server.servers)

    def _close_unused_connections(self) -> None:
        """Close connections without a request, once no more are accepted.

        uvicorn closes those that it knows when it stops listening. One that
        is accepted in this moment would stay open until its idle timeout.
        """
        for conn in self._connections():
            if not conn.has_request:
                conn.close_finally()

    def _connections(self) -> list[LimitedProtocol]:
        return [
            conn
            for conn in self._server.server_state.connections
            if isinstance(conn, LimitedProtocol)
        ]

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        conn = scope['extensions'][EXTENSION][CONNECTION_KEY]
        if scope['http_version'] == VERSION_WITHOUT_CHUNKS:
            send = UnchunkedSend(conn, send)
        try:
            await self._app(
                scope,
                partial(self._receive, conn, receive),
                partial(self._send_message, conn, send),
            )
        finally:
            if isinstance(send, UnchunkedSend):
                send.end()

    async def _send_message(
        self, conn: LimitedProtocol, send: Send, message: dict[str, Any]
    ) -> None:
        is_start = message['type'] == 'http.response.start'
        if is_start and self._closes_after_response(conn):
            message['headers'] = [*message['headers'], CLOSE_HEADER]
        await send(message)
        # The end of an answer is recorded by the connection.
        if message.get('more_body'):
            self.callers.record_kept(conn)

    def _closes_after_response(self, conn: LimitedProtocol) -> bool:
        is_ending = self.close_after_response or conn.is_shutting_down
        return is_ending and not conn.has_next_request

    async def _receive(
        self, conn: LimitedProtocol, receive: Receive
    ) -> dict[str, Any]:
        message = await receive()
        if message.get('body'):
            self.callers.record_kept(conn)
        return message
