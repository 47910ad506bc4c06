"""Limits on what a server may send to the HTTP client.

The HTTP parser limits one incomplete head, but a server can send complete
informational responses without end before the final one, and a body without
end after it.
"""

import ssl
from collections.abc import AsyncIterable, Iterable
from typing import Any, Final

import httpcore

from masticwind.send_gate import SendGate

# The parser rejects an incomplete head of more than 100 KiB by itself.
MAX_HEAD_BYTES: Final = 262_144
# The event loop reads at most this much at once. If less were taken, bytes
# behind a response could stay in its buffer, where they are not noticed.
READ_BYTES: Final = 262_144


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
        self._head_bytes = 0
        self.head_complete = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read; raise `RemoteProtocolError` if the head is too large."""
        content = await self._stream.read(max(max_bytes, READ_BYTES), timeout)
        if not self.head_complete:
            self._head_bytes += len(content)
            if self._head_bytes > MAX_HEAD_BYTES:
                raise httpcore.RemoteProtocolError(
                    f'the response head is over {MAX_HEAD_BYTES} bytes'
                )
        return content

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a part of a request, whose response has a new head."""
        self._gate.check()
        self._head_bytes = 0
        self.head_complete = False
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
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


class NetworkBackend(httpcore.AnyIOBackend):
    """Opens connections.

    If the server resets a connection before its socket options are set,
    httpcore finds no socket and raises an `AttributeError`.
    """

    def __init__(self, gate: SendGate) -> None:
        super().__init__()
        self._gate: Final = gate

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
        return HeadLimitedStream(stream, self._gate)


class LimitedConnection(httpcore.AsyncHTTPConnection):
    """A connection with limited heads, and the gate of its requests."""

    def __init__(
        self,
        origin: httpcore.Origin,
        socket_options: Iterable[httpcore.SOCKET_OPTION],
    ) -> None:
        self.gate: Final = SendGate()
        super().__init__(
            origin=origin,
            socket_options=socket_options,
            network_backend=NetworkBackend(self.gate),
        )


def end_head_limit(response: httpcore.Response) -> None:
    """End the limit of a response whose head has been received."""
    stream = response.extensions['network_stream']
    if isinstance(stream, HeadLimitedStream):
        stream.head_complete = True


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
