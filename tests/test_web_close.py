"""Closes of callers' connections: written answers are not discarded."""

import os
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from masticwind import web_transport
from masticwind.settings import Address
from masticwind.web import WebServer, json_response, read_body, send_response
from masticwind.web_protocol import ConnectionLimits
from tests.stopping_entry import (
    CallerAnswer,
    connect,
    read_answer,
    receive_or_end,
)

pytestmark = pytest.mark.anyio

SMALL_BUFFER = 4096
LARGE_ANSWER = 600_000
BODY_LIMIT = 1000
BODY_TIMEOUT_S = 0.2
TOO_LARGE_BODY = 400_000
CLOSE_FIELD = (b'connection', b'close')

# Called before the answers on the path "/hooked".
before_answers: list[Callable[[], None]] = []


def head(path: str = '/', fields: str = '', length: int = 0) -> bytes:
    """Return the head of a request."""
    return (
        f'POST {path} HTTP/1.1\r\nhost: x\r\n{fields}'
        f'content-length: {length}\r\n\r\n'
    ).encode()


async def _app(scope: Any, receive: Any, send: Any) -> None:
    path = scope['path']
    if path in {'/refused', '/kept'}:
        await read_body(receive, BODY_LIMIT, BODY_TIMEOUT_S)
        fields = (CLOSE_FIELD,) if path == '/refused' else ()
        await send_response(send, json_response(413, {}, headers=fields))
        return
    if path == '/hooked':
        before_answers.pop()()
    if path == '/late':
        await anyio.sleep(0.3)
    content = 'x' * LARGE_ANSWER if path == '/large' else ''
    await send_response(send, json_response(200, content))


@asynccontextmanager
async def running_server(
    limits: Callable[[], ConnectionLimits] = ConnectionLimits,
) -> AsyncIterator[WebServer]:
    """Run a server."""
    async with anyio.create_task_group() as tasks:
        server = WebServer(_app, Address(), limits)
        tasks.start_soon(server.run)
        yield server
        tasks.cancel_scope.cancel()


def pause_process(seconds: float) -> None:
    """Let nothing run in this process."""
    time.sleep(seconds)


async def read_slowly(conn: SocketStream) -> CallerAnswer:
    """Read an answer in small parts with pauses between them."""
    answer = CallerAnswer()
    while not answer.is_complete:
        chunk = await receive_or_end(conn, SMALL_BUFFER)
        if not chunk:
            break
        answer.content += chunk
        await anyio.sleep(0.001)
    return answer


@pytest.mark.parametrize('is_announced', [True, False])
async def test_whole_answer_arrives_though_the_next_request_crosses_the_close(
    is_announced: bool,
) -> None:
    """Guards against a reset that discards the end of an answer, because a
    connection is closed while bytes of the caller are unread.
    """
    async with running_server() as server:
        async with await connect(server.port, SMALL_BUFFER) as conn:
            fields = 'connection: close\r\n' if is_announced else ''
            await conn.send(head('/large', fields))
            start = await conn.receive(1000)
            await conn.send(head('/next')[:20])
            server.close_idle_connections()
            await anyio.sleep(0.1)
            server.close_idle_connections()
            answer = await read_slowly(conn)
    answer.content = start + answer.content
    assert answer.is_complete, len(answer.content)


@pytest.mark.parametrize('is_stopping', [False, True])
@pytest.mark.parametrize('path', ['/refused', '/kept'])
async def test_refusal_arrives_though_the_rest_of_the_body_is_on_its_way(
    path: str, is_stopping: bool
) -> None:
    """Guards against a reset instead of a refusal, because the caller is still
    sending the body that was refused.
    """
    async with running_server() as server:
        async with await connect(server.port) as conn:
            await conn.send(head(path, length=TOO_LARGE_BODY))
            await conn.send(b'x' * (BODY_LIMIT + 1))
            await anyio.sleep(0.1)
            if is_stopping:
                server.close_idle_connections()
            sent_bytes = BODY_LIMIT + 1
            while sent_bytes < TOO_LARGE_BODY:
                size = min(50_000, TOO_LARGE_BODY - sent_bytes)
                await conn.send(b'x' * size)
                sent_bytes += size
                await anyio.sleep(0.01)
            answer = await read_answer(conn)
    assert answer.status == 413
    assert answer.is_complete


async def test_late_body_gets_its_refusal() -> None:
    """Guards against a reset instead of a refusal for a body that is late."""
    async with running_server() as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/refused', length=BODY_LIMIT))
            await anyio.sleep(2 * BODY_TIMEOUT_S)
            await conn.send(b'x' * (BODY_LIMIT - 1))
            await anyio.sleep(0.1)
            await conn.send(b'x')
            answer = await read_answer(conn)
    assert answer.status == 413
    assert answer.is_complete


async def test_too_large_head_gets_its_refusal() -> None:
    """Guards against a reset instead of status 400 for an endless head."""
    async with running_server() as server:
        async with await connect(server.port) as conn:
            await conn.send(b'GET / HTTP/1.1\r\nx: ')
            for _ in range(10):
                await conn.send(b'x' * 10_000)
                await anyio.sleep(0.01)
            answer = await read_answer(conn)
    assert answer.status == 400
    assert answer.is_complete


@pytest.mark.parametrize(
    ('first', 'rest', 'status'),
    [
        (head(), b'', 200),
        (
            head('/kept', length=BODY_LIMIT + 2) + b'x' * (BODY_LIMIT + 1),
            b'x',
            413,
        ),
    ],
)
async def test_request_that_is_unread_at_an_idle_close_is_answered(
    first: bytes, rest: bytes, status: int
) -> None:
    """Guards against a reset of a request that has arrived but has not been
    read when idle connections are closed.
    """
    async with running_server() as server:
        async with await connect(server.port) as conn:
            raw_socket = conn.extra(anyio.abc.SocketAttribute.raw_socket)
            await conn.send(first)
            assert (await read_answer(conn)).status == status
            await conn.send(rest)
            await anyio.sleep(0.1)
            os.write(raw_socket.fileno(), head())
            server.close_idle_connections()
            assert (await read_answer(conn)).status == 200


async def test_request_sent_while_the_process_was_paused_is_answered() -> None:
    """Guards against idle timeouts that end while a process is paused, and
    close connections on which a request has arrived in time.
    """
    limits = ConnectionLimits(idle_timeout_s=1)
    async with running_server(lambda: limits) as server:
        async with await connect(server.port) as conn:
            raw_socket = conn.extra(anyio.abc.SocketAttribute.raw_socket)
            await conn.send(head())
            assert (await read_answer(conn)).status == 200
            pause_process(0.6)
            os.write(raw_socket.fileno(), head())
            pause_process(0.6)
            assert (await read_answer(conn)).status == 200


async def test_request_that_is_unread_at_the_end_of_a_server_is_answered() -> (
    None
):
    """Guards against a reset of a request that has arrived but has not been
    read when the server ends.
    """
    async with running_server() as server:
        async with await connect(server.port) as conn:
            raw_socket = conn.extra(anyio.abc.SocketAttribute.raw_socket)
            await conn.send(head())
            assert (await read_answer(conn)).status == 200
            for protocol in server._connections():
                os.write(raw_socket.fileno(), head())
                protocol.shutdown()
            assert (await read_answer(conn)).status == 200


@pytest.mark.parametrize('next_bytes', [head(), head()[:20]])
async def test_close_is_not_announced_before_a_request_that_has_arrived(
    next_bytes: bytes,
) -> None:
    """Guards against a request that has arrived before the answer to the one
    before it, and is discarded because that answer announces a close.
    """
    async with running_server() as server:
        server.close_after_response = True
        async with await connect(server.port) as conn:
            raw_socket = conn.extra(anyio.abc.SocketAttribute.raw_socket)

            def send_next() -> None:
                os.write(raw_socket.fileno(), next_bytes)

            before_answers.append(send_next)
            await conn.send(head('/hooked'))
            answer = await read_answer(conn)
            assert b'connection: close' not in answer.content
            await conn.send(head()[len(next_bytes) :])
            answer = await read_answer(conn)
            assert answer.status == 200
            assert b'connection: close' in answer.content


async def test_answer_to_a_caller_that_is_gone_raises_no_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against errors of a request whose socket is closed."""
    async with running_server() as server:
        server.close_after_response = True
        async with await connect(server.port) as conn:
            await conn.send(head('/late'))
            await anyio.sleep(0.1)
        await anyio.sleep(0.5)
        assert not server._connections()
    assert 'ERROR' not in {record.levelname for record in caplog.records}


async def test_caller_that_sends_without_end_is_cut() -> None:
    """Guards against a closed connection that reads for ever."""
    async with running_server() as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/', 'connection: close\r\n'))
            sent_bytes = 0
            with anyio.fail_after(5), pytest.raises(anyio.BrokenResourceError):
                while True:
                    await conn.send(bytes(10_000))
                    sent_bytes += 10_000
                    await anyio.sleep(0.001)
            assert sent_bytes < 4 * web_transport.MAX_DISCARDED_BYTES


async def test_caller_that_does_not_close_is_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closed connections that stay because their callers do
    not close them.
    """
    monkeypatch.setattr(web_transport, 'LINGER_TIMEOUT_S', 0.3)
    async with running_server() as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/', 'connection: close\r\n'))
            assert (await read_answer(conn)).status == 200
            assert not await receive_or_end(conn)
            assert len(server._connections()) == 1
            with anyio.fail_after(2):
                while server._connections():
                    await anyio.sleep(0.01)


async def test_caller_that_never_reads_its_last_answer_is_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closed connections that stay because their callers do
    not read.
    """
    monkeypatch.setattr(web_transport, 'DELIVERY_TIMEOUT_S', 0.3)
    async with running_server() as server:
        async with await connect(server.port, SMALL_BUFFER) as conn:
            await conn.send(head('/large', 'connection: close\r\n'))
            await conn.receive(1000)
            assert len(server._connections()) == 1
            with anyio.fail_after(2):
                while server._connections():
                    await anyio.sleep(0.01)


async def test_stop_waits_for_the_delivery_of_the_last_answer() -> None:
    """Guards against an answer that a stop discards, because bytes of the
    caller are unread.
    """
    async with running_server() as server:
        async with await connect(server.port, SMALL_BUFFER) as conn:
            await conn.send(head('/large', 'connection: close\r\n'))
            start = await conn.receive(1000)
            await conn.send(head('/next'))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.stop_and_wait, 10)
                await anyio.sleep(0.5)
                answer = await read_slowly(conn)
                await conn.aclose()
    answer.content = start + answer.content
    assert answer.is_complete, len(answer.content)


async def test_stop_ends_soon_beside_a_caller_that_does_not_close() -> None:
    """Guards against a process that a connection whose answer has arrived
    keeps from its end.
    """
    async with running_server() as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/', 'connection: close\r\n'))
            assert (await read_answer(conn)).status == 200
            with anyio.fail_after(1):
                await server.stop_and_wait(5)


async def test_stop_ends_in_time_beside_a_body_that_does_not_end() -> None:
    """Guards against a process that a lingering connection keeps from its
    end.
    """
    async with running_server() as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/refused', length=BODY_LIMIT))
            assert (await read_answer(conn)).status == 413
            with anyio.fail_after(1):
                await server.stop_and_wait(0.5)
