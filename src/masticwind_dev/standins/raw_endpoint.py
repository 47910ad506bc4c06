"""Stand-in for an endpoint whose HTTP/1.1 answers a test writes as bytes.

A `Script`, a function that gets the request and the connection, answers each
request. So a test can send truncated, duplicate, late or missing answers, or
the answer to another request.
"""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Final

import anyio
import h11
from anyio import abc as anyio_abc

MAX_READ_BYTES: Final = 65_536
# Closing a socket resets its connection if there is no time to linger.
NO_LINGER: Final = struct.pack('ii', 1, 0)
# What the kernel takes of a body that is not read.
RECEIVE_BUFFER_BYTES: Final = 8192


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection_number: int


@dataclass(slots=True)
class RawConnection:
    """The connection on which a script sends its answer."""

    stream: anyio_abc.SocketStream
    closed: bool = False

    async def write(self, content: bytes) -> None:
        """Write bytes unchanged."""
        await self.stream.send(content)

    async def send_answer(
        self,
        req: ReceivedRequest,
        status: int = 200,
        body: bytes = b'done',
        headers: tuple[str, ...] = (),
    ) -> None:
        """Write a complete answer with its length, request id and seal."""
        await self.write(
            encode_head(req, status, (f'Content-Length: {len(body)}', *headers))
        )
        await self.write(body)

    async def close(self) -> None:
        """Close the connection."""
        self.closed = True
        await self.stream.aclose()

    async def reset(self) -> None:
        """Reset the connection."""
        sock = self.stream.extra(anyio_abc.SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        await self.close()

    async def read_to_end(self) -> int:
        """Return how many bytes are received until the sender closes."""
        received_bytes = 0
        while content := await _receive_or_eof(self.stream):
            received_bytes += len(content)
        return received_bytes


Script = Callable[[ReceivedRequest, RawConnection], Awaitable[None]]


def _reads_body(_head: ReceivedRequest) -> bool:
    return False


def encode_head(
    req: ReceivedRequest, status: int, headers: tuple[str, ...]
) -> bytes:
    """Return the head of an answer, with the request's id and a seal.

    The seal header proves that an answer comes from an endpoint.
    """
    lines = [
        f'HTTP/1.1 {status} Answer',
        f'X-Attempt-Id: {req.headers.get("x-attempt-id", "")}',
        'X-Server-Seal: 3e1b.07',
        *headers,
    ]
    return '\r\n'.join((*lines, '', '')).encode()


def encode_stream_head(
    req: ReceivedRequest, headers: tuple[str, ...] = ()
) -> bytes:
    """Return the head of a streamed answer."""
    return encode_head(
        req,
        200,
        (
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *headers,
        ),
    )


def encode_event(number: int, text: str = 'x') -> bytes:
    """Return one event of a streamed answer."""
    return f'id: {number}\ndata: {text}\n\n'.encode()


def encode_event_chunk(number: int, text: str = 'x') -> bytes:
    """Return one event as a chunk of a streamed answer."""
    content = encode_event(number, text)
    return b'%x\r\n%b\r\n' % (len(content), content)


LAST_CHUNK: Final = b'0\r\n\r\n'


@dataclass(slots=True)
class RawEndpoint:
    """Listens on a free port of the loopback interface.

    The script is called before the body is read if `answers_early` is true for
    the head of the request.
    """

    script: Script
    answers_early: Callable[[ReceivedRequest], bool] = _reads_body
    received: list[ReceivedRequest] = field(default_factory=list)
    # Requests whose caller closed the connection before the end of the answer.
    abandoned_requests: int = 0
    connection_count: int = 0
    port: int = 0
    _process_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    _listener: anyio_abc.Listener[anyio_abc.SocketStream] | None = None

    async def run(
        self,
        *,
        task_status: anyio_abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled or crashed."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        if self.answers_early is not _reads_body:
            listener.extra(anyio_abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self.port = listener.extra(anyio_abc.SocketAttribute.local_port)
        task_status.started()
        self._listener = listener
        with self._process_scope:
            try:
                await listener.serve(self._serve_connection)
            except* anyio.ClosedResourceError:
                # `crash` closes the listener before it cancels this task.
                self._listener = None

    async def crash(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._listener is not None:
            await self._listener.aclose()
        self._process_scope.cancel()

    async def _serve_connection(self, stream: anyio_abc.SocketStream) -> None:
        self.connection_count += 1
        connection_number = self.connection_count
        conn = RawConnection(stream)
        parser = h11.Connection(h11.SERVER)
        async with stream:
            while not conn.closed:
                try:
                    req = await self._read_request(
                        parser, stream, connection_number
                    )
                except h11.RemoteProtocolError:
                    # The sender closed the connection within a request.
                    return
                if req is None:
                    return
                self.received.append(req)
                try:
                    await self.script(req, conn)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    self.abandoned_requests += 1
                    return
                parser = h11.Connection(h11.SERVER)

    async def _read_request(
        self,
        parser: h11.Connection,
        stream: anyio_abc.SocketStream,
        connection_number: int,
    ) -> ReceivedRequest | None:
        request = await _read_event(parser, stream)
        if not isinstance(request, h11.Request):
            return None
        req = _to_request(request, connection_number)
        if self.answers_early(req):
            return req
        body = b''
        event = await _read_event(parser, stream)
        while isinstance(event, h11.Data):
            body += bytes(event.data)
            event = await _read_event(parser, stream)
        if not isinstance(event, h11.EndOfMessage):
            return None
        return replace(req, body=body)


async def _read_event(
    parser: h11.Connection, stream: anyio_abc.SocketStream
) -> object:
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(await _receive_or_eof(stream))
        event = parser.next_event()
    return event


async def _receive_or_eof(stream: anyio_abc.SocketStream) -> bytes:
    try:
        return await stream.receive(MAX_READ_BYTES)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b''


def _to_request(
    request: h11.Request, connection_number: int
) -> ReceivedRequest:
    headers = {name.decode(): text.decode() for name, text in request.headers}
    return ReceivedRequest(
        request.method.decode(),
        request.target.decode(),
        headers,
        b'',
        connection_number,
    )
