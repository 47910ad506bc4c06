"""Limits on what a server may send to the HTTP client.

The HTTP parser limits one incomplete head, but a server can send complete
informational responses without end before the final one, and a body without
end after it. It parses whatever has been read without a pause for other tasks.
"""

import re
import socket
import ssl
from collections.abc import AsyncIterable, AsyncIterator, Iterable
from contextlib import suppress
from typing import Any, Final

import anyio
import httpcore
from anyio.lowlevel import checkpoint

from masticwind.request_delivery import is_delivered
from masticwind.send_gate import SendGate

# Includes the informational responses before it.
MAX_HEAD_BYTES: Final = 32_768
MAX_INFORMATIONAL_RESPONSES: Final = 16
# What is parsed at once. A large read of the smallest chunks or events would
# delay other requests, so that reads only grow while chunks fill them.
MIN_READ_BYTES: Final = 8192
MAX_READ_BYTES: Final = 65_536
# The event loop reads at most this much at once. Whatever it has read is taken
# over, so that bytes behind a response are noticed.
BUFFER_BYTES: Final = 262_144
# The receive buffer of a connection, of which the kernel fills up to twice as
# much. The event loop reads all of it before it can be paused.
RECEIVE_BUFFER_BYTES: Final = 32_768
# Interval at which a request that is still on its way is checked.
DELIVERY_POLL_INTERVAL_S: Final = 0.01

_STATUS_BYTES: Final = len(b'HTTP/1.1 1')
_INFORMATIONAL: Final = re.compile(b'HTTP/[0-9][.][0-9] 1')
_HEAD_END: Final = re.compile(b'\n\r?\n')


class InformationalCounter:
    """Counts the informational responses before a response.

    The parser would parse thousands of them at once.
    """

    def __init__(self) -> None:
        self._pending = b''
        self._counting = True
        self._count = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether there are more than `MAX_INFORMATIONAL_RESPONSES`."""
        return self._count > MAX_INFORMATIONAL_RESPONSES

    def feed(self, content: bytes) -> None:
        """Count the responses that end in `content`."""
        if not self._counting:
            return
        self._pending += content
        while len(self._pending) >= _STATUS_BYTES and not self.is_exceeded:
            if not _INFORMATIONAL.match(self._pending):
                self._counting = False
                self._pending = b''
                return
            end = _HEAD_END.search(self._pending)
            if end is None:
                return
            self._count += 1
            self._pending = self._pending[end.end() :]


class HeadLimitedStream(httpcore.AsyncNetworkStream):
    """A connection on which a response head has a limited size.

    The limit applies from the last write until `head_complete` is set. `gate`
    is asked before each write.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, gate: SendGate
    ) -> None:
        self._stream: Final = stream
        self._gate: Final = gate
        self._read_bytes = MIN_READ_BYTES
        self._unread = b''
        self._head_bytes = 0
        self._informational = InformationalCounter()
        self._read_timeout_s: float | None = None
        self._has_ended = False
        self._is_closed = False
        self.head_complete = False

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that have not been read."""
        return bool(self._unread)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read; raise `RemoteProtocolError` if the head is too large."""
        if self.has_unread:
            await checkpoint()
        else:
            self._read_timeout_s = timeout
            self._unread = await self._stream.read(
                max(max_bytes, BUFFER_BYTES), timeout
            )
            self._has_ended = not self.has_unread
        size_bytes = min(max_bytes, self._read_bytes)
        content = self._unread[:size_bytes]
        self._unread = self._unread[size_bytes:]
        if not self.head_complete:
            self._check_head(content)
        return content

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a part of a request, whose response has a new head."""
        self._gate.check()
        self._read_bytes = MIN_READ_BYTES
        self._head_bytes = 0
        self._informational = InformationalCounter()
        self.head_complete = False
        await self._stream.write(buffer, timeout)

    def record_chunk(self, size_bytes: int) -> None:
        """Adapt the size of reads to a chunk of the body."""
        if 2 * size_bytes < self._read_bytes:
            self._read_bytes = MIN_READ_BYTES
        else:
            self._read_bytes = min(MAX_READ_BYTES, 2 * self._read_bytes)

    async def check_end(self) -> None:
        """Check that the end of the connection is that of the response.

        A server that fails within a request ends the connection, too, and
        resets it as the rest of the request arrives. So this waits until the
        request has been received. Raises `ReadError` or `ReadTimeout`.
        """
        if not self._has_ended:
            return
        try:
            with anyio.fail_after(self._read_timeout_s):
                while not self._is_request_delivered():
                    await anyio.sleep(DELIVERY_POLL_INTERVAL_S)
        except TimeoutError as exc:
            raise httpcore.ReadTimeout(
                'the connection ended before the request was received'
            ) from exc
        except OSError as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection."""
        self._is_closed = True
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Encrypt the connection."""
        return HeadLimitedStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout),
            self._gate,
        )

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self._stream.get_extra_info(info)

    def _is_request_delivered(self) -> bool:
        if self._is_closed:
            raise ConnectionAbortedError('closed before the end of a response')
        return is_delivered(self.get_extra_info('socket'))

    def _check_head(self, content: bytes) -> None:
        self._head_bytes += len(content)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise httpcore.RemoteProtocolError(
                f'the response head is over {MAX_HEAD_BYTES} bytes'
            )
        self._informational.feed(content)
        if self._informational.is_exceeded:
            raise httpcore.RemoteProtocolError(
                f'over {MAX_INFORMATIONAL_RESPONSES} informational responses'
            )


class NetworkBackend(httpcore.AnyIOBackend):
    """Opens connections.

    If the server resets a connection before its socket options are set,
    httpcore finds no socket and raises an `AttributeError`.
    """

    def __init__(self, gate: SendGate) -> None:
        super().__init__()
        self._gate: Final = gate
        self.stream: HeadLimitedStream | None = None

    async def connect_tcp(
        self,
        *args: Any,
        **options: Any,
    ) -> httpcore.AsyncNetworkStream:
        """Connect; an immediate reset is raised as a `ConnectError`."""
        try:
            stream = await super().connect_tcp(*args, **options)
        except AttributeError as exc:
            raise httpcore.ConnectError(
                'connection reset while connecting'
            ) from exc
        # Where the system refuses, its own limit holds.
        with suppress(OSError):
            stream.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self.stream = HeadLimitedStream(stream, self._gate)
        return self.stream


class LimitedConnection(httpcore.AsyncHTTPConnection):
    """A connection with limited heads, and the gate of its requests."""

    def __init__(
        self,
        origin: httpcore.Origin,
        socket_options: Iterable[httpcore.SOCKET_OPTION],
    ) -> None:
        self.gate: Final = SendGate()
        self._backend: Final = NetworkBackend(self.gate)
        super().__init__(
            origin=origin,
            socket_options=socket_options,
            network_backend=self._backend,
        )

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that the parser has not read."""
        stream = self._backend.stream
        return stream is not None and stream.has_unread


def end_head_limit(response: httpcore.Response) -> None:
    """End the limit of a response whose head has been received."""
    stream = response.extensions['network_stream']
    if isinstance(stream, HeadLimitedStream):
        stream.head_complete = True


async def iterate_body(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Return the chunks of a body, and adapt the size of reads to them.

    Raises `ReadError` or `ReadTimeout` if the connection has ended before the
    request was received.
    """
    stream = response.extensions['network_stream']
    async for chunk in response.aiter_stream():
        if isinstance(stream, HeadLimitedStream):
            stream.record_chunk(len(chunk))
        yield chunk
    if isinstance(stream, HeadLimitedStream):
        await stream.check_end()


async def join_chunks(
    chunks: AsyncIterable[bytes], max_bytes: int
) -> bytes | None:
    """Return all chunks as one; None as soon as they exceed `max_bytes`."""
    content = bytearray()
    async for chunk in chunks:
        content += chunk
        if len(content) > max_bytes:
            return None
    return bytes(content)
