"""HTTP client for the platform's services and the endpoints.

It separates two kinds of failure: nothing was sent, and something was sent
but no whole answer came. Only the first allows a "not run".
"""

import socket
import ssl
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Any, Final

import anyio
import httpcore

from masticwind.errors import ErrorKind, Failure

Headers = Sequence[tuple[bytes, bytes]]

KEEP_ALIVE_S: Final = 30
READ_REST_S: Final = 0.02
# Part of the idle time that the other side states in which a connection is
# still reused; a request near its end would cross the close.
KEEP_ALIVE_SHARE: Final = 0.7
# Bytes that are not acknowledged for this long break a connection. Without
# it the kernel goes on for many minutes.
UNACKNOWLEDGED_MS: Final = 2500
# The kernel probes a connection on which nothing arrives for this long, and
# again until a probe has been lost for `UNACKNOWLEDGED_MS`: the other side may
# have lost power while this one waits for an answer.
PROBE_S: Final = 1
SOCKET_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
)

_NOT_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_BROKEN: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    ssl.SSLError,
    OSError,
)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class HttpStream:
    """An HTTP answer whose body is still arriving.

    Header names are in lower case in `headers` and as received in
    `raw_headers`. A connection is not reused if `reusable` is cleared.
    """

    status: int
    chunks: AsyncIterator[bytes]
    headers: dict[str, str]
    raw_headers: Headers
    reusable: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestTimeouts:
    """How long the steps of a request may take, in seconds.

    `read_s` is the longest silence, also before the first byte.
    """

    connect_s: float
    read_s: float


@dataclass(slots=True)
class _Idle:
    conn: httpcore.AsyncHTTPConnection
    expires_at: float


class HttpClient:
    """Connections to one base URL, reused in last-in first-out order.

    httpcore's own pool looks at every connection for every request; with 64
    connections that took 6 ms of processor time a request.
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
        self._limit: Final = anyio.Semaphore(max_connections)
        self._idle: Final[list[_Idle]] = []
        self._busy: Final[set[httpcore.AsyncHTTPConnection]] = set()
        # How long connections that are being given back may stay idle.
        self._expiry: Final[dict[httpcore.AsyncHTTPConnection, float]] = {}

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes = b'',
        headers: Headers = (),
    ) -> HttpAnswer | Failure:
        """Make one request and read the whole answer.

        Returns a `Failure` of kind `no_capacity` if nothing was sent and of
        kind `outcome_unknown` if the request may have had an effect.
        """
        try:
            async with self._connection() as conn:
                response = await conn.request(
                    method,
                    self._url(path.encode('ascii')),
                    headers=_with_length(headers, body),
                    content=body,
                    extensions={'timeout': _timeouts(timeout_s)},
                )
        except _NOT_SENT as exc:
            return _failure(ErrorKind.NO_CAPACITY, exc)
        except _BROKEN as exc:
            return _failure(ErrorKind.OUTCOME_UNKNOWN, exc)
        return HttpAnswer(
            response.status,
            _header_map(response.headers),
            response.content,
        )

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        target: str | bytes,
        *,
        timeout_s: float | RequestTimeouts,
        body: bytes = b'',
        headers: Headers = (),
        fresh: bool = False,
    ) -> AsyncIterator[HttpStream | Failure]:
        """Make one request and iterate over the body as it arrives.

        An iteration that breaks off raises `BrokenStreamError`. With
        `fresh`, no open connection is reused.
        """
        opened = False
        url = self._url(
            target if isinstance(target, bytes) else target.encode('ascii')
        )
        try:
            async with (
                self._connection(fresh=fresh) as conn,
                conn.stream(
                    method,
                    url,
                    headers=_with_length(headers, body),
                    content=body,
                    extensions={'timeout': _timeouts(timeout_s)},
                ) as response,
            ):
                opened = True
                stream = _opened(response)
                yield stream
                if stream.reusable:
                    await _read_rest(stream.chunks)
                    self._expiry[conn] = _expiry(
                        stream.headers, self._keep_alive_s
                    )
        except _NOT_SENT as exc:
            if opened:
                raise
            yield _failure(ErrorKind.NO_CAPACITY, exc)
        except _BROKEN as exc:
            if opened:
                raise
            yield _failure(ErrorKind.FAILED_AFTER_START, exc)

    async def connect_times_out(self, timeout_s: float) -> bool:
        """Tell whether a new connection has no answer within `timeout_s`.

        A refusal is an answer. Nothing is sent over the connection.
        """
        host = self._origin.host.decode('ascii')
        try:
            with anyio.fail_after(timeout_s):
                conn = await anyio.connect_tcp(host, self._origin.port)
        except TimeoutError:
            return True
        except OSError:
            return False
        await conn.aclose()
        return False

    async def close(self) -> None:
        """Close all connections; a request in progress breaks off."""
        while self._idle:
            await self._idle.pop().conn.aclose()
        for conn in tuple(self._busy):
            await conn.aclose()

    @asynccontextmanager
    async def _connection(
        self,
        *,
        fresh: bool = False,
    ) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
        async with self._limit:
            conn = None if fresh else await self._take_idle()
            if conn is None:
                conn = self._new_connection()
            self._busy.add(conn)
            try:
                yield conn
            finally:
                self._busy.discard(conn)
                await self._give_back(conn)

    async def _give_back(self, conn: httpcore.AsyncHTTPConnection) -> None:
        keep_s = self._expiry.pop(conn, self._keep_alive_s)
        if conn.is_idle() and keep_s > 0:
            self._idle.append(_Idle(conn, time.monotonic() + keep_s))
            return
        with anyio.CancelScope(shield=True):
            await conn.aclose()

    async def _take_idle(self) -> httpcore.AsyncHTTPConnection | None:
        while self._idle:
            idle = self._idle.pop()
            expired = idle.expires_at < time.monotonic()
            if not expired and not idle.conn.has_expired():
                return idle.conn
            await idle.conn.aclose()
        return None

    def _new_connection(self) -> httpcore.AsyncHTTPConnection:
        return httpcore.AsyncHTTPConnection(
            origin=self._origin,
            socket_options=SOCKET_OPTIONS,
            network_backend=_Backend(),
        )

    def _url(self, path: bytes) -> httpcore.URL:
        return httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._origin.port,
            target=self._prefix + path,
        )


class _Backend(httpcore.AnyIOBackend):
    """Opens connections.

    Where the other side resets a connection before its options are set,
    httpcore finds no socket and fails with an `AttributeError`.
    """

    async def connect_tcp(
        self,
        *args: Any,
        **options: Any,
    ) -> httpcore.AsyncNetworkStream:
        """Connect; a connection that is gone at once was not made."""
        try:
            return await super().connect_tcp(*args, **options)
        except AttributeError as exc:
            raise httpcore.ConnectError('reset at once') from exc


class BrokenStreamError(Exception):
    """A streamed answer broke off before its end."""


async def _chunks(response: httpcore.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except _BROKEN as exc:
        raise BrokenStreamError(type(exc).__name__) from exc


async def _read_rest(chunks: AsyncIterator[bytes]) -> None:
    """Read what follows a stream's last line.

    A connection is reused only after the end of its body, which can arrive
    right after the line that told the reader to stop.
    """
    with suppress(BrokenStreamError), anyio.move_on_after(READ_REST_S):
        rest = await anext(chunks, b'')
        while rest:
            rest = await anext(chunks, b'')


def _failure(kind: ErrorKind, exc: Exception) -> Failure:
    return Failure(
        kind=kind,
        reason=f'{type(exc).__name__}: {exc}',
        silent=isinstance(exc, httpcore.TimeoutException),
    )


def _with_length(headers: Headers, body: bytes) -> list[tuple[bytes, bytes]]:
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


def _opened(response: httpcore.Response) -> HttpStream:
    return HttpStream(
        response.status,
        _chunks(response),
        _header_map(response.headers),
        tuple(response.headers),
    )


def _expiry(headers: dict[str, str], default_s: float) -> float:
    """Return how long a connection may stay idle before it is reused."""
    for part in headers.get('keep-alive', '').split(','):
        name, _, seconds = part.strip().partition('=')
        if name == 'timeout' and seconds.isdigit():
            return min(default_s, int(seconds) * KEEP_ALIVE_SHARE)
    return default_s


def _header_map(headers: Headers) -> dict[str, str]:
    return {
        key.decode('latin-1').lower(): value.decode('latin-1')
        for key, value in headers
    }
