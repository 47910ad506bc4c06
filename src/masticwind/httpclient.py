"""HTTP client for the platform's services and the endpoints.

It separates two kinds of failure: nothing was sent, and something was sent
but no whole answer came. Only the first allows a "not run".
"""

import ssl
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import Final

import anyio
import httpcore

from masticwind.errors import ErrorKind, Failure

Headers = Sequence[tuple[bytes, bytes]]

KEEP_ALIVE_S: Final = 30
READ_REST_S: Final = 0.02

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


@dataclass(frozen=True, slots=True)
class HttpStream:
    """An HTTP answer whose body is still arriving."""

    status: int
    chunks: AsyncIterator[bytes]


class HttpClient:
    """Connections to one base URL, reused in last-in first-out order.

    httpcore's own pool looks at every connection for every request; with 64
    connections that took 6 ms of processor time a request.
    """

    def __init__(self, base_url: str, max_connections: int = 256) -> None:
        url = httpcore.URL(base_url.rstrip('/'))
        self._origin: Final = url.origin
        self._prefix: Final = url.target.rstrip(b'/')
        self._limit: Final = anyio.Semaphore(max_connections)
        self._idle: Final[list[httpcore.AsyncHTTPConnection]] = []
        self._busy: Final[set[httpcore.AsyncHTTPConnection]] = set()

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
                    self._url(path),
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
        path: str,
        *,
        timeout_s: float,
        body: bytes = b'',
        headers: Headers = (),
    ) -> AsyncIterator[HttpStream | Failure]:
        """Make one request and iterate over the body as it arrives.

        An iteration that breaks off raises `BrokenStreamError`.
        """
        opened = False
        try:
            async with (
                self._connection() as conn,
                conn.stream(
                    method,
                    self._url(path),
                    headers=_with_length(headers, body),
                    content=body,
                    extensions={'timeout': _timeouts(timeout_s)},
                ) as response,
            ):
                opened = True
                chunks = _chunks(response)
                yield HttpStream(response.status, chunks)
                await _read_rest(chunks)
        except _NOT_SENT as exc:
            if opened:
                raise
            yield _failure(ErrorKind.NO_CAPACITY, exc)
        except _BROKEN as exc:
            if opened:
                raise
            yield _failure(ErrorKind.FAILED_AFTER_START, exc)

    async def close(self) -> None:
        """Close all connections; a request in progress breaks off."""
        while self._idle:
            await self._idle.pop().aclose()
        for conn in tuple(self._busy):
            await conn.aclose()

    @asynccontextmanager
    async def _connection(
        self,
    ) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
        async with self._limit:
            conn = await self._take_idle()
            self._busy.add(conn)
            try:
                yield conn
            finally:
                self._busy.discard(conn)
                await self._give_back(conn)

    async def _give_back(self, conn: httpcore.AsyncHTTPConnection) -> None:
        if conn.is_idle():
            self._idle.append(conn)
            return
        with anyio.CancelScope(shield=True):
            await conn.aclose()

    async def _take_idle(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            conn = self._idle.pop()
            if not conn.has_expired():
                return conn
            await conn.aclose()
        return httpcore.AsyncHTTPConnection(
            origin=self._origin,
            keepalive_expiry=KEEP_ALIVE_S,
        )

    def _url(self, path: str) -> httpcore.URL:
        return httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._origin.port,
            target=self._prefix + path.encode('ascii'),
        )


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
    return Failure(kind=kind, reason=f'{type(exc).__name__}: {exc}')


def _with_length(headers: Headers, body: bytes) -> list[tuple[bytes, bytes]]:
    return [*headers, (b'content-length', str(len(body)).encode())]


def _timeouts(timeout_s: float) -> dict[str, float]:
    return {
        'connect': timeout_s,
        'read': timeout_s,
        'write': timeout_s,
        'pool': timeout_s,
    }


def _header_map(headers: Headers) -> dict[str, str]:
    return {
        key.decode('latin-1').lower(): value.decode('latin-1')
        for key, value in headers
    }
