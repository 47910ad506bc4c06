"""HTTP client for the platform's services and the endpoints.

It tells apart requests of which nothing was sent and requests that were sent
without receiving a complete response. Only the former certainly did not run.
"""

import enum
import re
import socket
import ssl
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Final

import anyio
import httpcore

from masticwind.connection_reuse import ConnectionReuse
from masticwind.errors import ErrorKind, Failure
from masticwind.http_calls import CallLimits, CallProgress, is_refused
from masticwind.http_limits import (
    LimitedConnection,
    end_head_limit,
    iterate_body,
    join_chunks,
)
from masticwind.joined_answers import (
    UnaskedBytesError,
    has_extra_bytes,
    has_joined_head,
    unasked_bytes,
)
from masticwind.send_gate import (
    DEFAULT_OPTIONS,
    HeldBackError,
    ObstacleWatch,
    SendCheck,
    SendOptions,
)

Headers = Sequence[tuple[bytes, bytes]]

KEEP_ALIVE_S: Final = 30
BODY_END_TIMEOUT_S: Final = 0.02
# A connection with more unread bytes is not reused.
MAX_BODY_END_BYTES: Final = 65_536
# Share of the server's keep-alive timeout in which a connection is reused. A
# request that is sent later could arrive after the server has closed it.
USABLE_KEEP_ALIVE_SHARE: Final = 0.7
# A connection fails if sent data is not acknowledged within this time. By
# default, the kernel retransmits for many minutes.
TCP_USER_TIMEOUT_MS: Final = 2500
# The kernel sends keep-alive probes on a connection without traffic at this
# interval. The connection fails after `TCP_USER_TIMEOUT_MS` without a reply,
# for example because the server lost power before it responded.
KEEP_ALIVE_PROBE_INTERVAL_S: Final = 1
SOCKET_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_INTERVAL_S),
)

# The HTTP parser accepts three digits from 200.
MAX_STATUS: Final = 599

# The time of a `Keep-Alive` header, up to thirty years.
_SECONDS: Final = re.compile('[0-9]{1,9}')
_NOT_SENT_ERRORS: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_CONNECTION_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    ssl.SSLError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP response.

    Header names are in lower case in `headers` and as received in
    `raw_headers`, which also has each value of a repeated header.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    raw_headers: Headers = ()


@dataclass(slots=True)
class HttpStream:
    """An HTTP response whose body is being received.

    Header names are in lower case in `headers` and as received in
    `raw_headers`. No other request was sent on the connection before this one
    if it is `fresh`. The head of a `joined` response contains parts of another
    one. The connection is not reused if the reader sets `reusable` to false.
    """

    status: int
    chunks: AsyncIterator[bytes]
    headers: dict[str, str]
    raw_headers: Headers
    fresh: bool
    joined: bool = False
    reusable: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestTimeouts:
    """Timeouts of the steps of a request.

    `read_s` limits the time between two reads, and also the time to the first
    byte.
    """

    connect_s: float
    read_s: float


class ConnectResult(enum.Enum):
    """The reply to an attempt to connect; `SILENT` is none at all."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    SILENT = 'silent'


@dataclass(slots=True)
class _IdleConnection:
    conn: LimitedConnection
    expires_at: float


class HttpClient:
    """Connections to one base URL, reused in last-in first-out order.

    This replaces httpcore's connection pool, which checks every connection for
    each request: with 64 connections, that took 6 ms of CPU time per request.
    """

    def __init__(
        self,
        base_url: str,
        max_connections: int = 256,
        keep_alive_s: float = KEEP_ALIVE_S,
    ) -> None:
        url = httpcore.URL(base_url.rstrip('/'))
        self._origin: Final = url.origin
        self._prefix: Final = url.target.rstrip(b'/')
        self._keep_alive_s: Final = keep_alive_s
        self._reuse: Final = ConnectionReuse(base_url)
        self._connection_slots: Final = anyio.Semaphore(max_connections)
        self._idle: Final[list[_IdleConnection]] = []
        self._busy: Final[set[LimitedConnection]] = set()
        # Those connections in use that carried an earlier request.
        self._reused: Final[set[LimitedConnection]] = set()
        # Those connections in use that are closed after their request.
        self._closing: Final[set[LimitedConnection]] = set()
        # Idle time limits of connections in use, from the servers' headers.
        self._idle_limits_s: Final[dict[LimitedConnection, float]] = {}

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float | CallLimits,
        body: bytes = b'',
        headers: Headers = (),
        single_use: bool = False,
    ) -> HttpAnswer | Failure:
        """Make one request and read the complete response.

        `timeout_s` limits the whole call, from the wait for a connection to
        the end of the body; `CallLimits` also limit the size of the body. With
        `single_use`, a new connection is opened and closed again, so that no
        response to another request can arrive on it.

        Returns a `Failure` of kind `no_capacity` if nothing was sent and of
        kind `outcome_unknown` if the request may have had an effect, also if
        the body is too large. The failure is `silent` if the time ended before
        the complete head of a response arrived.
        """
        limits = (
            timeout_s
            if isinstance(timeout_s, CallLimits)
            else CallLimits(timeout_s)
        )
        progress = CallProgress(limits)
        try:
            async with (
                progress.limit_time(),
                self._connection(SendOptions(fresh=single_use)) as conn,
                conn.stream(
                    method,
                    self._url(path.encode('ascii')),
                    headers=_with_content_length(headers, body),
                    content=body,
                    extensions={
                        'timeout': _timeouts(limits.timeout_s),
                        'trace': progress.record,
                    },
                ) as response,
            ):
                if single_use:
                    self._idle_limits_s[conn] = 0
                return await _read_answer(response, limits.max_body_bytes)
        except TimeoutError:
            return progress.timeout_failure()
        except _NOT_SENT_ERRORS as exc:
            return _failure(ErrorKind.NO_CAPACITY, exc)
        except _CONNECTION_ERRORS as exc:
            return _failure(ErrorKind.OUTCOME_UNKNOWN, exc)

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        target: str | bytes,
        *,
        timeout_s: float | RequestTimeouts,
        body: bytes = b'',
        headers: Headers = (),
        options: SendOptions = DEFAULT_OPTIONS,
    ) -> AsyncIterator[HttpStream | Failure]:
        """Make one request and iterate over the body as it arrives.

        If the connection fails, the iteration raises `BrokenStreamError`.
        If the check of the `options` finds an obstacle, nothing is sent, and a
        `Failure` of kind `overloaded` is returned.
        """
        response_started = False
        url = self._url(
            target if isinstance(target, bytes) else target.encode('ascii')
        )
        try:
            async with (
                self._connection(options) as conn,
                unasked_bytes(reused=conn in self._reused),
                conn.stream(
                    method,
                    url,
                    headers=_with_content_length(headers, body),
                    content=body,
                    extensions={'timeout': _timeouts(timeout_s)},
                ) as response,
            ):
                response_started = True
                stream = _http_stream(response, fresh=conn not in self._reused)
                self._idle_limits_s[conn] = 0
                yield stream
                if stream.reusable:
                    await _read_body_end(stream.chunks)
                    self._idle_limits_s[conn] = _idle_limit_s(
                        stream.headers, self._keep_alive_s
                    )
        except HeldBackError as exc:
            yield Failure(kind=ErrorKind.OVERLOADED, reason=str(exc))
        except _NOT_SENT_ERRORS as exc:
            if response_started:
                raise
            yield _failure(ErrorKind.NO_CAPACITY, exc)
        except _CONNECTION_ERRORS as exc:
            if response_started:
                raise
            yield _failure(ErrorKind.FAILED_AFTER_START, exc)

    async def try_connect(self, timeout_s: float) -> ConnectResult:
        """Return the reply to a new connection within `timeout_s`.

        Nothing is sent over the connection.
        """
        host = self._origin.host.decode('ascii')
        try:
            with anyio.fail_after(timeout_s):
                conn = await anyio.connect_tcp(host, self._origin.port)
        except TimeoutError:
            return ConnectResult.SILENT
        except OSError:
            return ConnectResult.REFUSED
        await conn.aclose()
        return ConnectResult.ACCEPTED

    async def pause_reuse(self) -> None:
        """Close the idle connections and use new ones for a while."""
        self._reuse.pause()
        await self.close_idle()

    async def close_idle(self) -> bool:
        """Close all connections, those in use after their requests.

        Returns whether all have been closed.
        """
        self._closing.update(self._busy)
        while self._idle:
            await self._idle.pop().conn.aclose()
        return not self._busy

    async def close(self) -> None:
        """Close all connections; requests in progress fail."""
        await self.close_idle()
        for conn in tuple(self._busy):
            await conn.aclose()

    @asynccontextmanager
    async def _connection(
        self,
        options: SendOptions = DEFAULT_OPTIONS,
    ) -> AsyncIterator[LimitedConnection]:
        async with self._connection_slot(options.check):
            conn = None if options.fresh else await self._pop_idle_connection()
            if conn is None:
                conn = LimitedConnection(self._origin, SOCKET_OPTIONS)
            else:
                self._reused.add(conn)
            self._busy.add(conn)
            conn.gate.send_check = options.check
            try:
                yield conn
            finally:
                self._busy.discard(conn)
                self._reused.discard(conn)
                await self._release_connection(conn)

    @asynccontextmanager
    async def _connection_slot(
        self, send_check: SendCheck | None
    ) -> AsyncIterator[None]:
        """Wait for one of the connections, as long as there is no obstacle."""
        try:
            self._connection_slots.acquire_nowait()
        except anyio.WouldBlock:
            watch = ObstacleWatch(send_check)
            with watch:
                await self._connection_slots.acquire()
            watch.raise_obstacle()
        try:
            yield
        finally:
            self._connection_slots.release()

    async def _release_connection(self, conn: LimitedConnection) -> None:
        idle_limit_s = self._idle_limits_s.pop(conn, self._keep_alive_s)
        reusable = conn.is_idle() and idle_limit_s > 0
        if conn in self._closing or self._reuse.is_paused():
            reusable = False
        self._closing.discard(conn)
        if reusable and not has_extra_bytes(conn):
            self._idle.append(
                _IdleConnection(conn, time.monotonic() + idle_limit_s)
            )
            return
        with anyio.CancelScope(shield=True):
            await conn.aclose()

    async def _pop_idle_connection(self) -> LimitedConnection | None:
        while self._idle:
            idle = self._idle.pop()
            expired = idle.expires_at < time.monotonic()
            if not expired and not idle.conn.has_expired():
                return idle.conn
            await idle.conn.aclose()
        return None

    def _url(self, path: bytes) -> httpcore.URL:
        return httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._origin.port,
            target=self._prefix + path,
        )


async def _read_answer(
    response: httpcore.Response, max_body_bytes: int
) -> HttpAnswer | Failure:
    end_head_limit(response)
    if has_joined_head(response):
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason='the head contains parts of another response',
        )
    if response.status > MAX_STATUS:
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=f'{response.status} is not the status of a response',
        )
    body = await join_chunks(iterate_body(response), max_body_bytes)
    if body is None:
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=f'the body is over {max_body_bytes} bytes',
        )
    return HttpAnswer(
        response.status,
        _header_map(response.headers),
        body,
        tuple(response.headers),
    )


class BrokenStreamError(Exception):
    """The connection failed before the end of a streamed response.

    `silent` means that nothing was received before the timeout.
    """

    def __init__(self, reason: str, *, silent: bool = False) -> None:
        super().__init__(reason)
        self.silent: Final = silent


async def _chunks(response: httpcore.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in iterate_body(response):
            yield chunk
    except _CONNECTION_ERRORS as exc:
        raise BrokenStreamError(
            ': '.join(filter(None, (type(exc).__name__, str(exc)))),
            silent=isinstance(exc, httpcore.TimeoutException),
        ) from exc


async def _read_body_end(chunks: AsyncIterator[bytes]) -> None:
    """Read the end of a response body, so that the connection is reusable.

    The end of the body can arrive shortly after the last line of a stream, at
    which its reader stops. What is not read to its end is not reused.
    """
    with suppress(BrokenStreamError), anyio.move_on_after(BODY_END_TIMEOUT_S):
        received_bytes = 0
        while received_bytes <= MAX_BODY_END_BYTES:
            chunk = await anext(chunks, b'')
            if not chunk:
                return
            received_bytes += len(chunk)


def _failure(kind: ErrorKind, exc: Exception) -> Failure:
    return Failure(
        kind=kind,
        reason=f'{type(exc).__name__}: {exc}',
        silent=isinstance(exc, httpcore.TimeoutException),
        unasked=isinstance(exc, UnaskedBytesError),
        refused=isinstance(exc, httpcore.ConnectError) and is_refused(exc),
    )


def _with_content_length(
    headers: Headers, body: bytes
) -> list[tuple[bytes, bytes]]:
    return [*headers, (b'content-length', str(len(body)).encode())]


def _timeouts(timeout: float | RequestTimeouts) -> dict[str, float]:
    if not isinstance(timeout, RequestTimeouts):
        timeout = RequestTimeouts(connect_s=timeout, read_s=timeout)
    return {
        'connect': timeout.connect_s,
        'read': timeout.read_s,
        'write': timeout.read_s,
        'pool': timeout.connect_s,
    }


def _http_stream(response: httpcore.Response, *, fresh: bool) -> HttpStream:
    end_head_limit(response)
    return HttpStream(
        response.status,
        _chunks(response),
        _header_map(response.headers),
        tuple(response.headers),
        fresh,
        joined=has_joined_head(response),
    )


def _idle_limit_s(headers: dict[str, str], default_s: float) -> float:
    """Return the idle time after which a connection is not reused."""
    for part in headers.get('keep-alive', '').split(','):
        name, _, seconds = part.strip().partition('=')
        if name == 'timeout' and _SECONDS.fullmatch(seconds):
            return min(default_s, int(seconds) * USABLE_KEEP_ALIVE_SHARE)
    return default_s


def _header_map(headers: Headers) -> dict[str, str]:
    return {
        key.decode('latin-1').lower(): value.decode('latin-1')
        for key, value in headers
    }
