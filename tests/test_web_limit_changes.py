"""Limits that end, or change, while a caller's connection is in use."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest

from masticwind.settings import Address
from masticwind.web import WebServer, json_response, read_body, send_response
from masticwind.web_protocol import ConnectionLimits
from tests.stopping_entry import connect, read_answer, receive_or_end

pytestmark = pytest.mark.anyio

BODY_LIMIT = 100_000
LONG_FIELD = 'x-long: {}\r\n'.format('x' * 500)


def head(path: str = '/', fields: str = '', length: int = 0) -> bytes:
    """Return the head of a request."""
    return (
        f'POST {path} HTTP/1.1\r\nhost: x\r\n{fields}'
        f'content-length: {length}\r\n\r\n'
    ).encode()


async def _app(scope: Any, receive: Any, send: Any) -> None:
    await read_body(receive, BODY_LIMIT, 10)
    if scope['path'] == '/slow':
        await anyio.sleep(0.8)
    await send_response(send, json_response(200, {}))


class ChangingServer:
    """A server whose limits can be replaced."""

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.server = WebServer(_app, Address(), lambda: self.limits)
        self.port = self.server.port


@asynccontextmanager
async def changing_server(
    limits: ConnectionLimits,
) -> AsyncIterator[ChangingServer]:
    """Run a server that begins with `limits`."""
    async with anyio.create_task_group() as tasks:
        changing = ChangingServer(limits)
        tasks.start_soon(changing.server.run)
        yield changing
        tasks.cancel_scope.cancel()


async def test_late_head_behind_a_request_does_not_cut_its_answer() -> None:
    """Guards against a request without an answer because the head of the next
    one on its connection is late.
    """
    limits = ConnectionLimits(header_timeout_s=0.2)
    async with changing_server(limits) as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/slow') + head()[:20])
            assert (await read_answer(conn)).status == 200
            with anyio.fail_after(5):
                assert not await receive_or_end(conn)


async def test_too_large_head_behind_a_request_does_not_answer_it() -> None:
    """Guards against status 400 as the answer to a proper request, because
    the next one on its connection is refused.
    """
    limits = ConnectionLimits(max_header_bytes=200)
    async with changing_server(limits) as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/slow') + head(fields=LONG_FIELD))
            content = b''
            with anyio.fail_after(3):
                while chunk := await receive_or_end(conn):
                    content += chunk
            statuses = [
                part.split(b' ')[0] for part in content.split(b'HTTP/1.1 ')[1:]
            ]
            assert statuses == [b'200', b'400']


async def test_head_behind_a_large_body_is_not_too_large() -> None:
    """Guards against a refusal of a request because the body before it counts
    as a part of its head.
    """
    async with changing_server(ConnectionLimits()) as server:
        async with await connect(server.port) as conn:
            body = b'x' * (BODY_LIMIT - 1)
            first = head('/slow', length=len(body)) + body
            await conn.send(first + head()[:20])
            assert (await read_answer(conn)).status == 200
            await conn.send(head()[20:])
            assert (await read_answer(conn)).status == 200


@pytest.mark.parametrize(
    ('first_s', 'next_s'), [(2.0, 1.0), (1.0, 2.0), (1.0, 1.0)]
)
async def test_idle_connection_may_use_the_longer_limit(
    first_s: float, next_s: float
) -> None:
    """Guards against a connection that is closed although its caller has kept
    to a limit that has been in force since it went idle.
    """
    limits = ConnectionLimits(idle_timeout_s=first_s)
    async with changing_server(limits) as server:
        async with await connect(server.port) as conn:
            await conn.send(head())
            assert (await read_answer(conn)).status == 200
            server.limits = ConnectionLimits(idle_timeout_s=next_s)
            await anyio.sleep(0.8 * max(first_s, next_s))
            await conn.send(head())
            assert (await read_answer(conn)).status == 200


async def test_idle_limit_of_the_moment_at_which_a_request_ends_applies() -> (
    None
):
    """Guards against an idle time that is cut to the limit from before the
    last request.
    """
    limits = ConnectionLimits(idle_timeout_s=0.3)
    async with changing_server(limits) as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/slow'))
            await anyio.sleep(0.1)
            server.limits = ConnectionLimits(idle_timeout_s=2.5)
            assert (await read_answer(conn)).status == 200
            server.limits = ConnectionLimits(idle_timeout_s=0.3)
            await anyio.sleep(2)
            await conn.send(head())
            assert (await read_answer(conn)).status == 200


async def test_begun_head_has_its_own_limit() -> None:
    """Guards against a head that the idle limit ends before its own limit."""
    limits = ConnectionLimits(idle_timeout_s=0.2, header_timeout_s=3)
    async with changing_server(limits) as server:
        async with await connect(server.port) as conn:
            await conn.send(head('/slow') + head()[:20])
            assert (await read_answer(conn)).status == 200
            await anyio.sleep(1.5)
            await conn.send(head()[20:])
            assert (await read_answer(conn)).status == 200


async def test_empty_lines_do_not_keep_a_connection() -> None:
    """Guards against idle connections that empty lines keep open for ever."""
    limits = ConnectionLimits(idle_timeout_s=0.3)
    async with changing_server(limits) as server:
        async with await connect(server.port) as conn:
            await conn.send(head())
            assert (await read_answer(conn)).status == 200
            await conn.send(b'\r\n')
            with anyio.fail_after(5):
                assert not await receive_or_end(conn)


@pytest.mark.parametrize('is_longer', [True, False])
async def test_half_read_head_may_use_the_longer_limit(
    is_longer: bool,
) -> None:
    """Guards against a head that is cut by a limit that has been replaced or
    came after its begin.
    """
    limits = [
        ConnectionLimits(header_timeout_s=0.3, max_header_bytes=2000),
        ConnectionLimits(header_timeout_s=3, max_header_bytes=2000),
    ]
    if not is_longer:
        limits.reverse()
    async with changing_server(limits[0]) as server:
        async with await connect(server.port) as conn:
            await conn.send(head()[:20])
            await anyio.sleep(0.1)
            server.limits = limits[1]
            await anyio.sleep(1)
            await conn.send(head()[20:])
            assert (await read_answer(conn)).status == 200


async def test_smaller_head_limit_does_not_end_a_half_read_head() -> None:
    """Guards against a refusal of a head by a limit that came after its first
    byte.
    """
    async with changing_server(ConnectionLimits()) as server:
        async with await connect(server.port) as conn:
            whole = head(fields=LONG_FIELD)
            await conn.send(whole[:20])
            await anyio.sleep(0.1)
            server.limits = ConnectionLimits(max_header_bytes=100)
            await conn.send(whole[20:])
            assert (await read_answer(conn)).status == 200


async def test_larger_head_limit_applies_to_a_half_read_head() -> None:
    """Guards against a refusal of a head that the limits in force allow."""
    limits = ConnectionLimits(max_header_bytes=100)
    async with changing_server(limits) as server:
        async with await connect(server.port) as conn:
            whole = head(fields=LONG_FIELD)
            await conn.send(whole[:20])
            await anyio.sleep(0.1)
            server.limits = ConnectionLimits()
            await conn.send(whole[20:])
            assert (await read_answer(conn)).status == 200


async def test_half_read_body_outlasts_all_limits_of_heads() -> None:
    """Guards against a request whose body is being read and that a change of
    the limits of heads and idle connections ends.
    """
    async with changing_server(ConnectionLimits()) as server:
        async with await connect(server.port) as conn:
            await conn.send(head(length=4))
            await conn.send(b'xx')
            await anyio.sleep(0.1)
            server.limits = ConnectionLimits(
                max_header_bytes=10, header_timeout_s=0.1, idle_timeout_s=0.1
            )
            await anyio.sleep(0.5)
            await conn.send(b'xx')
            assert (await read_answer(conn)).status == 200
