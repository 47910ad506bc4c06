"""Input of callers that is kept until the request in progress has ended."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from masticwind.settings import Address
from masticwind.web import WebServer, json_response, read_body, send_response
from masticwind.web_chunks import ChunkSlices
from masticwind.web_input import (
    MAX_UNPARSED_BYTES,
    InputBuffer,
    InputFlow,
    RequestInput,
    TurnQueue,
)
from masticwind.web_protocol import LimitedProtocol
from tests.stopping_entry import connect, receive_or_end

pytestmark = pytest.mark.anyio

BODY_LIMIT = 4_194_304
CLOSING = b'GET /last HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'


def head(path: str = '/', length: int = 0) -> bytes:
    """Return the head of a request."""
    return (
        f'POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n'
    ).encode()


def chunked(path: str, chunks: list[bytes]) -> bytes:
    """Return a request whose body is sent in chunks."""
    lines = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in chunks)
    start = f'POST {path} HTTP/1.1\r\nhost: x\r\n'.encode()
    return b'%btransfer-encoding: chunked\r\n\r\n%b0\r\n\r\n' % (start, lines)


@dataclass
class ServedRequests:
    """A server and the requests that its application got."""

    server: WebServer
    bodies: list[tuple[str, bytes]] = field(default_factory=list)
    release: anyio.Event = field(default_factory=anyio.Event)
    disconnected: anyio.Event = field(default_factory=anyio.Event)

    @property
    def conn(self) -> LimitedProtocol:
        """The only connection."""
        return self.server._connections()[0]

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """Keep the body; answer `/held` only after `release`."""
        body = await read_body(receive, BODY_LIMIT, 10)
        assert isinstance(body, bytes)
        self.bodies.append((scope['path'], body))
        if scope['path'] in {'/held', '/late'}:
            await self.release.wait()
        if scope['path'] in {'/left', '/late'}:
            event = await receive()
            assert event['type'] == 'http.disconnect'
            self.disconnected.set()
            return
        await send_response(send, json_response(200, scope['path']))


class ManualLoop:
    """Keeps the callbacks of an event loop."""

    def __init__(self) -> None:
        self.due: list[Any] = []

    def call_soon(self, callback: Any, *args: Any) -> None:
        """Keep a callback."""
        self.due.append((callback, args))


@asynccontextmanager
async def serving() -> AsyncIterator[ServedRequests]:
    """Run a server."""
    served: list[ServedRequests] = []

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await served[0].app(scope, receive, send)

    async with anyio.create_task_group() as tasks:
        served.append(ServedRequests(WebServer(app, Address())))
        tasks.start_soon(served[0].server.run)
        yield served[0]
        tasks.cancel_scope.cancel()


async def send_for_a_while(conn: anyio.abc.SocketStream) -> None:
    """Send requests until the server does not read any more."""
    with anyio.move_on_after(1):
        while True:
            await conn.send(head() * 1000)


def served_statuses(count: int) -> list[bytes]:
    """Return the statuses of requests that were all served."""
    return [b'200' for _ in range(count)]


async def read_statuses(conn: anyio.abc.SocketStream) -> list[bytes]:
    """Return the statuses of all answers until the connection is closed."""
    content = b''
    with anyio.fail_after(10):
        while chunk := await receive_or_end(conn):
            content += chunk
    return [part.split(b' ')[0] for part in content.split(b'HTTP/1.1 ')[1:]]


@pytest.mark.parametrize('step', [1, 2, 3, 5, 1000])
async def test_terminator_is_found_wherever_reads_end(step: int) -> None:
    """Guards against a request that is parsed together with the next one,
    because its end came in two reads.
    """
    first = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
    content = first + first
    buffer = InputBuffer()
    slices: list[bytes] = []
    for begin in range(0, len(content), step):
        buffer.append(content[begin : begin + step])
        while buffer:
            slices.append(buffer.take_to_terminator())
    assert b''.join(slices) == content
    ends = [len(b''.join(slices[: count + 1])) for count in range(len(slices))]
    assert len(first) in ends
    assert not len(buffer)


@pytest.mark.parametrize('step', [1, 2, 3, 7, 5000])
@pytest.mark.parametrize(
    'body',
    [
        chunked('/', []),
        chunked('/', [b'x' for _ in range(200)]),
        chunked('/', [b'\r\n\r\n', b'0\r\n\r\n' * 9, b'x' * 3000]),
        b'003;a="b"\r\nabc\r\n0;c\r\nX-Trailer: a\r\n\r\n',
        b'%b3\r\nabc\r\n0\r\n\r\n' % (b'0' * 50),
        b'x\r\nnot a chunk\r\n\r\n',
    ],
)
async def test_slices_of_chunks_end_with_their_body(
    body: bytes, step: int
) -> None:
    """Guards against a slice that holds the end of a body and the begin of the
    next request, wherever reads end and whatever the chunks contain.
    """
    if body.startswith(b'POST'):
        body = body.partition(b'\r\n\r\n')[2]
    slices = ChunkSlices()
    buffer = InputBuffer()
    content = body + CLOSING
    taken = 0
    for begin in range(0, len(content), step):
        buffer.append(content[begin : begin + step])
        while buffer and taken < len(body):
            taken += len(buffer.take_chunks(slices)[0])
        if taken >= len(body):
            break
    assert taken == len(body)


async def test_content_of_chunks_is_not_searched_for_ends() -> None:
    """Guards against a body of line ends that takes a thousand times the
    processor time of any other one, as each of them ends a slice.
    """
    body = b'\r\n\r\n' * 100_000
    buffer = InputBuffer()
    buffer.append(chunked('/', [body]).partition(b'\r\n\r\n')[2])
    slices = ChunkSlices()
    count = 0
    while buffer:
        buffer.take_chunks(slices)
        count += 1
    assert count <= 3


async def test_only_the_request_in_progress_is_parsed() -> None:
    """Guards against a process that keeps every request of a read as parsed
    objects, which take a hundred times the memory.
    """
    async with serving() as served:
        async with await connect(served.server.port) as conn:
            await conn.send(head('/held') + head() * 500 + CLOSING)
            with anyio.fail_after(5):
                while not served.bodies:
                    await anyio.sleep(0.005)
            assert served.conn.scope['path'] == '/held'
            assert not served.conn.pipeline
            served.release.set()
            assert await read_statuses(conn) == served_statuses(502)
    assert [path for path, _ in served.bodies][-2:] == ['/', '/last']


@pytest.mark.parametrize('path', ['/left', '/late'])
async def test_reading_pauses_while_enough_is_not_parsed(path: str) -> None:
    """Guards against requests without end that are kept behind one that is in
    progress, and against reading that an application resumes.
    """
    most_bytes = MAX_UNPARSED_BYTES + 262_144
    async with serving() as served:
        async with await connect(served.server.port) as conn:
            await conn.send(head(path) + head())
            await send_for_a_while(conn)
            served.release.set()
            await send_for_a_while(conn)
            assert served.bodies == [(path, b'')]
            assert served.conn.count_kept_bytes() <= most_bytes
            assert served.server.callers.kept_bytes <= most_bytes


async def test_caller_that_leaves_behind_a_pipelined_request_is_noticed() -> (
    None
):
    """Guards against an application that goes on for a caller that has left,
    because reading is paused behind the request in progress.
    """
    async with serving() as served:
        async with await connect(served.server.port) as conn:
            await conn.send(head('/left') + head())
            await anyio.sleep(0.1)
        with anyio.fail_after(2):
            await served.disconnected.wait()


@pytest.mark.parametrize('is_chunked', [True, False])
async def test_large_body_behind_a_slow_request_arrives_whole(
    is_chunked: bool,
) -> None:
    """Guards against a body that is lost, joined to another request or
    refused, because it arrived while an earlier request was in progress.
    """
    body = b'\r\n\r\nGET / HTTP/1.1\r\n\r\n' * 150_000
    assert 3_000_000 < len(body) <= BODY_LIMIT
    second = head('/body', len(body)) + body
    if is_chunked:
        parts = [body[at : at + 9973] for at in range(0, len(body), 9973)]
        second = chunked('/body', parts)
    async with serving() as served:
        async with await connect(served.server.port) as conn:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(conn.send, head('/held') + second + CLOSING)
                await anyio.sleep(0.3)
                assert len(served.bodies) == 1
                served.release.set()
                assert await read_statuses(conn) == served_statuses(3)
    assert served.bodies == [('/held', b''), ('/body', body), ('/last', b'')]


async def test_body_of_one_byte_chunks_is_served_beside_other_callers() -> None:
    """Guards against a refusal of small chunks, and against an event loop that
    parses all of a read at once.
    """
    body = b'x' * 60_000
    request = chunked('/body', [b'x' for _ in body])
    async with serving() as served:
        async with await connect(served.server.port) as conn:
            await conn.send(request + CLOSING)
            assert await read_statuses(conn) == served_statuses(2)
    assert served.bodies == [('/body', body), ('/last', b'')]


async def test_stop_answers_the_requests_that_have_arrived() -> None:
    """Guards against pipelined requests that a stop discards, though they
    arrived before an answer announced the close.
    """
    async with serving() as served:
        async with await connect(served.server.port) as conn:
            await conn.send(head('/held') + head('/second') + head('/third'))
            with anyio.fail_after(5):
                while not served.bodies:
                    await anyio.sleep(0.005)
            served.server.stop()
            await anyio.sleep(0.3)
            served.release.set()
            assert await read_statuses(conn) == served_statuses(3)


class ChunkedOwner:
    """A connection on which a chunked body is read."""

    may_parse = True
    missing_body_bytes = None

    def parse_slice(self, content: bytes) -> None:
        """Ignore a slice."""

    def end_parsing(self) -> None:
        """Ignore the end of a turn."""


class FakeTransport(asyncio.Transport):
    """Knows only whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.is_paused = False

    def pause_reading(self) -> None:
        """Pause."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Resume."""
        self.is_paused = False


async def test_reading_pauses_while_a_turn_is_awaited() -> None:
    """Guards against a body of tiny chunks that is read without end while
    other connections have their turns.
    """
    loop: Any = ManualLoop()
    transport = FakeTransport()
    chunk_input = RequestInput(
        ChunkedOwner(), InputFlow(transport), TurnQueue(), loop
    )
    for _ in range(20):
        chunk_input.add(b'1\r\nx\r\n' * 1000)
    assert transport.is_paused
    while loop.due:
        callback, args = loop.due.pop()
        callback(*args)
    assert not chunk_input
    assert not transport.is_paused


async def test_turns_are_shared_among_connections() -> None:
    """Guards against one connection that parses all of its input before
    another one has its turn.
    """
    turns = TurnQueue()
    order: list[str] = []
    loop: Any = ManualLoop()

    def take_turn(name: str) -> None:
        order.append(name)
        if order.count(name) < 2:
            turns.add(loop, lambda: take_turn(name))

    turns.add(loop, lambda: take_turn('a'))
    turns.add(loop, lambda: take_turn('b'))
    while loop.due:
        assert len(loop.due) == 1
        callback, args = loop.due.pop()
        callback(*args)
    assert order == ['a', 'b', 'a', 'b']
