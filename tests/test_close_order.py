"""Which connection is closed if too much is kept for all, without a network.

Connections are real, their transports are not.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, Final

import anyio
import pytest
import uvicorn
from anyio.lowlevel import checkpoint
from uvicorn.server import ServerState

from masticwind.web import Receive, Scope, Send
from masticwind.web_callers import AggregateLimits, CallerConnections
from masticwind.web_protocol import ConnectionLimits, LimitedProtocol

pytestmark = pytest.mark.anyio

READ_BYTES: Final = 65_536
# The load of `review/9`: the body of the longest prompt, and callers that send
# 600 requests behind one in progress, of which 900 exceed the limit.
BODY_BYTES: Final = 140_000
AHEAD_REQUESTS: Final = 600
AHEAD_CALLERS: Final = 900
ORDINARY_CALLERS: Final = 5
MAX_KEPT_BYTES: Final = 47_185_920
# With heads of 30 KB, they keep a little less than is allowed.
STOPPED_CALLERS: Final = 1570
STOPPED_HEAD: Final = b'GET /a HTTP/1.1\r\nx-pad: %b' % (b'a' * 30_000)
LIMITS: Final = AggregateLimits(1950, MAX_KEPT_BYTES)


class StubTransport(asyncio.Transport):
    """A transport that sends `unread_bytes` less than what is written."""

    def __init__(self) -> None:
        super().__init__()
        # The state of its queues is asked for.
        self._socks: Final = socket.socketpair()
        self.protocol: LimitedProtocol | None = None
        self.aborted = False
        self.reads_nothing = False
        self.unread_bytes = 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket."""
        return self._socks[0] if name == 'socket' else default

    def is_closing(self) -> bool:
        """Whether it has been closed."""
        return self.aborted

    def abort(self) -> None:
        """Close it; the protocol is told in a later iteration, as by uvloop."""
        if not self.aborted:
            self.aborted = True
            assert self.protocol is not None
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    def close(self) -> None:
        """Close it."""
        self.abort()

    def write_eof(self) -> None:
        """Send nothing more."""

    def pause_reading(self) -> None:
        """Read nothing more."""

    def resume_reading(self) -> None:
        """Read again."""

    def is_reading(self) -> bool:
        """Whether it reads."""
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes, or keep them if the caller reads nothing."""
        if self.reads_nothing:
            self.unread_bytes += len(data)

    def get_write_buffer_size(self) -> int:
        """Return what has not been sent."""
        return self.unread_bytes

    def release(self) -> None:
        """Close the sockets."""
        for sock in self._socks:
            sock.close()


class StubServer:
    """The connections of a server whose application answers some paths.

    A request for `/held` is never answered, one for `/long` with 60 KB.
    """

    def __init__(self, limits: AggregateLimits) -> None:
        self.callers: Final = CallerConnections(limits)
        self.received: Final[list[int]] = []
        self._state: Final = ServerState()
        self._config: Final = uvicorn.Config(
            self._serve,
            loop='none',
            interface='asgi3',
            lifespan='off',
            log_config=None,
        )
        self._config.load()

    @asynccontextmanager
    async def connect(
        self, *, reads_nothing: bool = False
    ) -> AsyncIterator[StubTransport]:
        """Open a connection."""
        transport = StubTransport()
        transport.reads_nothing = reads_nothing
        transport.protocol = LimitedProtocol(
            config=self._config,
            server_state=self._state,
            app_state={},
            limits=ConnectionLimits,
            callers=self.callers,
        )
        transport.protocol.connection_made(transport)
        try:
            yield transport
        finally:
            transport.abort()
            await checkpoint()
            transport.release()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        size = 0
        event = await receive()
        while event['type'] == 'http.request':
            size += len(event['body'])
            if not event['more_body'] and scope['path'] != '/held':
                break
            event = await receive()
        if scope['path'] == '/held':
            return
        self.received.append(size)
        body = b'x' * 60_000 if scope['path'] == '/long' else b'done'
        length = str(len(body)).encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', length)],
            }
        )
        await send({'type': 'http.response.body', 'body': body})


def _head(path: str, length: int = 0) -> bytes:
    return (
        f'POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n'
    ).encode()


async def _send(conn: StubTransport, content: bytes) -> None:
    """Deliver bytes as reads of the size that the system returns."""
    assert conn.protocol is not None
    for begin in range(0, len(content), READ_BYTES):
        if conn.aborted:
            return
        conn.protocol.data_received(content[begin : begin + READ_BYTES])
        await checkpoint()


AHEAD: Final = (
    _head('/held')
    + (
        b'GET /nowhere/1234 HTTP/1.1\r\nhost: fleet.example\r\n'
        b'x-attempt-id: ahead-1-2-3-4-5-6-7-8\r\n\r\n'
    )
    * AHEAD_REQUESTS
)


async def test_ordinary_request_is_not_closed_for_those_who_send_ahead() -> (
    None
):
    """Guards against callers of one request, or of two on a connection, that
    are closed while others keep many requests behind one in progress.
    """
    server = StubServer(LIMITS)
    async with AsyncExitStack() as stack:
        pairs = [
            await stack.enter_async_context(server.connect())
            for _ in range(ORDINARY_CALLERS)
        ]
        for conn in pairs:
            await _send(conn, _head('/held') + _head('/short'))
        others = [
            await stack.enter_async_context(server.connect())
            for _ in range(AHEAD_CALLERS)
        ]
        uploads: list[StubTransport] = []
        for number, conn in enumerate(others):
            await _send(conn, AHEAD)
            if number % (AHEAD_CALLERS // ORDINARY_CALLERS) == 0:
                upload = await stack.enter_async_context(server.connect())
                uploads.append(upload)
                await _send(upload, _head('/upload', BODY_BYTES))
        for conn in uploads:
            await _send(conn, b'x' * BODY_BYTES)
        await anyio.sleep(0.01)
        assert server.callers.kept_bytes <= MAX_KEPT_BYTES
        assert any(conn.aborted for conn in others)
        assert not any(conn.aborted for conn in (*pairs, *uploads))
        assert len(server.received) == ORDINARY_CALLERS
        assert set(server.received) == {BODY_BYTES}


async def test_ordinary_request_is_not_closed_for_those_who_read_nothing() -> (
    None
):
    """Guards against callers of one request that are closed while others leave
    their answers unread.
    """
    server = StubServer(LIMITS)
    async with AsyncExitStack() as stack:
        others = [
            await stack.enter_async_context(server.connect(reads_nothing=True))
            for _ in range(AHEAD_CALLERS)
        ]
        for conn in others:
            await _send(conn, _head('/long'))
        upload = await stack.enter_async_context(server.connect())
        await _send(upload, _head('/upload', BODY_BYTES) + b'x' * BODY_BYTES)
        await anyio.sleep(0.01)
        assert server.callers.kept_bytes <= MAX_KEPT_BYTES
        assert any(conn.aborted for conn in others)
        assert not upload.aborted
        assert server.received[-1] == BODY_BYTES


async def test_closed_connections_keep_nothing_until_they_are_lost() -> None:
    """Guards against many reads in one iteration of the event loop, of which
    each closes a connection whose bytes are kept until a later iteration.
    """
    server = StubServer(LIMITS)
    async with AsyncExitStack() as stack:
        conns = [
            await stack.enter_async_context(server.connect())
            for _ in range(AHEAD_CALLERS)
        ]
        for conn in conns:
            await _send(conn, _head('/held'))
        kept_bytes = 0
        for conn in conns:
            assert conn.protocol is not None
            conn.protocol.data_received(AHEAD)
            conn.protocol.data_received(AHEAD)
        for conn in conns:
            assert conn.protocol is not None
            kept_bytes += conn.protocol.count_kept_bytes()
        assert any(conn.aborted for conn in conns)
        assert kept_bytes <= MAX_KEPT_BYTES


async def test_ordinary_request_is_not_closed_for_requests_that_stop() -> None:
    """Guards against a body on its way that is closed, as it keeps most in the
    moment of a read, while others have stopped within their heads.
    """
    server = StubServer(LIMITS)
    async with AsyncExitStack() as stack:
        others = [
            await stack.enter_async_context(server.connect())
            for _ in range(STOPPED_CALLERS)
        ]
        for conn in others:
            await _send(conn, STOPPED_HEAD)
        upload = await stack.enter_async_context(server.connect())
        await _send(upload, _head('/upload', BODY_BYTES) + b'x' * BODY_BYTES)
        await anyio.sleep(0.01)
        assert server.callers.kept_bytes <= MAX_KEPT_BYTES
        assert any(conn.aborted for conn in others)
        assert not all(conn.aborted for conn in others)
        assert not upload.aborted
        assert server.received == [BODY_BYTES]
