"""Size and time limits of callers' connections."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest

from masticwind import web_protocol, web_timers
from masticwind.settings import Address
from masticwind.web import WebServer, json_response, send_response

pytestmark = pytest.mark.anyio

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'


async def _app(scope: Any, receive: Any, send: Any) -> None:
    if scope['path'] == '/endless':
        start = {'type': 'http.response.start', 'status': 200, 'headers': []}
        await send(start)
        chunk = {'type': 'http.response.body', 'more_body': True}
        for _ in range(2000):
            await send({**chunk, 'body': bytes(100_000)})
    else:
        await send_response(send, json_response(200, {}))


@asynccontextmanager
async def running_server(
    limits: Callable[
        [], web_protocol.ConnectionLimits
    ] = web_protocol.ConnectionLimits,
) -> AsyncIterator[WebServer]:
    """Run a server with a small application."""
    async with anyio.create_task_group() as tasks:
        server = WebServer(_app, Address(), limits)
        tasks.start_soon(server.run)
        yield server
        tasks.cancel_scope.cancel()


async def _read_until_closed(stream: anyio.abc.SocketStream) -> bytes:
    received = b''
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


async def test_endless_header_is_rejected() -> None:
    """Guards against memory exhaustion by an endless header."""
    async with running_server() as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        sent_bytes = 0
        with anyio.fail_after(5), pytest.raises(anyio.BrokenResourceError):
            await stream.send(b'GET / HTTP/1.1\r\nx: ')
            while True:
                await stream.send(bytes([65]) * 10_000)
                await anyio.sleep(0.005)
                sent_bytes += 10_000
        assert sent_bytes < 1_000_000
        other = await anyio.connect_tcp('127.0.0.1', server.port)
        await other.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        assert b'200 OK' in await other.receive()


async def test_too_many_headers_are_rejected() -> None:
    """Guards against memory exhaustion by many small headers."""
    async with running_server() as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        lines = b''.join(b'x-%d: 1\r\n' % number for number in range(1000))
        await stream.send(b'GET / HTTP/1.1\r\n%b\r\n' % lines)
        with anyio.fail_after(5):
            assert b' 400 ' in await _read_until_closed(stream)


async def test_incomplete_head_times_out() -> None:
    """Guards against connections that incomplete heads keep open."""
    limits = web_protocol.ConnectionLimits(header_timeout_s=0.3)
    async with running_server(lambda: limits) as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        await stream.send(b'GET / HTT')
        with anyio.fail_after(2):
            assert not await _read_until_closed(stream)


async def test_idle_connection_is_closed_after_its_timeout() -> None:
    """Guards against keep-alive connections that are closed early or never."""
    limits = web_protocol.ConnectionLimits(
        header_timeout_s=0.1, idle_timeout_s=1.0
    )
    async with running_server(lambda: limits) as server:
        unused = await anyio.connect_tcp('127.0.0.1', server.port)
        reused = await anyio.connect_tcp('127.0.0.1', server.port)
        for _ in range(2):
            await reused.send(REQUEST)
            assert b'200 OK' in await reused.receive()
            await anyio.sleep(0.8 * limits.idle_timeout_s)
        with anyio.fail_after(1):
            assert not await _read_until_closed(reused)
            assert not await _read_until_closed(unused)


async def test_new_limits_apply_to_open_connections() -> None:
    """Guards against new limits that need a restart."""
    limits = web_protocol.ConnectionLimits()
    async with running_server(lambda: limits) as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        await stream.send(REQUEST)
        assert b'200 OK' in await stream.receive()
        limits = web_protocol.ConnectionLimits(max_header_bytes=100)
        long_header = b'x-long: %b\r\n\r\n' % (b'x' * 200)
        await stream.send(REQUEST[:-2] + long_header)
        with anyio.fail_after(2):
            assert b' 400 ' in await _read_until_closed(stream)


async def test_caller_that_does_not_read_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against responses buffered for a caller that never reads."""
    monkeypatch.setattr(web_timers, 'WRITE_STALL_TIMEOUT_S', 0.3)
    async with running_server() as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        await stream.send(b'GET /endless HTTP/1.1\r\nhost: x\r\n\r\n')
        await anyio.sleep(1)
        with anyio.fail_after(5):
            received = await _read_until_closed(stream)
        assert len(received) < 100_000_000
