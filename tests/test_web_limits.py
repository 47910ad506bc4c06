"""What a caller's connection may hold, in bytes and in time."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest

from masticwind import web_protocol
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
async def serving(
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


async def _until_closed(stream: anyio.abc.SocketStream) -> bytes:
    got = b''
    try:
        while True:
            got += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return got


async def test_header_flood_is_cut() -> None:
    """Guards against memory filled by one caller's endless header."""
    async with serving() as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        sent = 0
        with anyio.fail_after(5), pytest.raises(anyio.BrokenResourceError):
            await stream.send(b'GET / HTTP/1.1\r\nx: ')
            while True:
                await stream.send(bytes([65]) * 10_000)
                await anyio.sleep(0.005)
                sent += 10_000
        assert sent < 1_000_000
        other = await anyio.connect_tcp('127.0.0.1', server.port)
        await other.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        assert b'200 OK' in await other.receive()


async def test_many_headers_are_refused() -> None:
    """Guards against a request head of many small headers."""
    async with serving() as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        lines = b''.join(b'x-%d: 1\r\n' % number for number in range(1000))
        await stream.send(b'GET / HTTP/1.1\r\n%b\r\n' % lines)
        with anyio.fail_after(5):
            assert b' 400 ' in await _until_closed(stream)


async def test_slow_head_is_cut() -> None:
    """Guards against connections held open by heads that never end."""
    limits = web_protocol.ConnectionLimits(header_timeout_s=0.3)
    async with serving(lambda: limits) as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        await stream.send(b'GET / HTT')
        with anyio.fail_after(2):
            assert not await _until_closed(stream)


async def test_idle_connection_keeps_its_stated_time() -> None:
    """Guards against a kept connection that is closed early or never."""
    limits = web_protocol.ConnectionLimits(
        header_timeout_s=0.1, idle_timeout_s=1.0
    )
    async with serving(lambda: limits) as server:
        fresh = await anyio.connect_tcp('127.0.0.1', server.port)
        kept = await anyio.connect_tcp('127.0.0.1', server.port)
        for _ in range(2):
            await kept.send(REQUEST)
            assert b'200 OK' in await kept.receive()
            await anyio.sleep(0.8 * limits.idle_timeout_s)
        with anyio.fail_after(1):
            assert not await _until_closed(kept)
            assert not await _until_closed(fresh)


async def test_new_limits_hold_for_open_connections() -> None:
    """Guards against limits that only hold from the next start on."""
    limits = web_protocol.ConnectionLimits()
    async with serving(lambda: limits) as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        await stream.send(REQUEST)
        assert b'200 OK' in await stream.receive()
        limits = web_protocol.ConnectionLimits(max_header_bytes=100)
        long_header = b'x-long: %b\r\n\r\n' % (b'x' * 200)
        await stream.send(REQUEST[:-2] + long_header)
        with anyio.fail_after(2):
            assert b' 400 ' in await _until_closed(stream)


async def test_slow_reader_is_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers held for a caller that never reads."""
    monkeypatch.setattr(web_protocol, 'WRITE_STALL_TIMEOUT_S', 0.3)
    async with serving() as server:
        stream = await anyio.connect_tcp('127.0.0.1', server.port)
        await stream.send(b'GET /endless HTTP/1.1\r\nhost: x\r\n\r\n')
        await anyio.sleep(1)
        with anyio.fail_after(5):
            got = await _until_closed(stream)
        assert len(got) < 100_000_000
