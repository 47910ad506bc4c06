"""Bytes behind an answer, and heads with parts of several answers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import pytest

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpClient
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.serving.interfaces import Verdict
from masticwind.serving.model import Endpoint
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    Script,
    encode_head,
)
from tests.test_stale_answers import send_attempt

pytestmark = pytest.mark.anyio

# The parser takes 65,536 bytes at once, the event loop up to 262,144.
BODY_BYTES: Final = (4, 100_000, 300_000)


@asynccontextmanager
async def running_endpoint(
    script: Script,
) -> AsyncIterator[tuple[RawEndpoint, Endpoint]]:
    """Run one endpoint."""
    raw = RawEndpoint(script)
    async with anyio.create_task_group() as tasks:
        await tasks.start(raw.run)
        yield (
            raw,
            Endpoint(
                identity='i-1',
                service='calls',
                host='127.0.0.1',
                port=raw.port,
                zone='zone-a',
                slots=8,
            ),
        )
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('size', BODY_BYTES)
async def test_connection_with_bytes_behind_an_answer_is_not_reused(
    size: int,
) -> None:
    """Guards against a request on a connection on which bytes have been
    received that would be taken for its answer.
    """

    async def answer_twice(req: ReceivedRequest, conn: RawConnection) -> None:
        head = encode_head(req, 200, (f'Content-Length: {size}',))
        await conn.write(2 * (head + size * b'x'))

    async with running_endpoint(answer_twice) as (raw, endpoint):
        client = PlatformEndpointClient()
        for number in range(4):
            reply = await send_attempt(client, endpoint, f'r{number}')
            assert reply.verdict is Verdict.RAN
        assert raw.connection_count == 4
        await client.close_idle(endpoint)


async def test_repeated_attempt_gets_no_copy_of_an_earlier_answer() -> None:
    """Guards against a copy of the answer to an earlier attempt, which has the
    same id, that is taken for the answer to a later one.
    """
    answered: list[int] = []

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.connection_number in answered:
            await conn.send_answer(req, body=b'copy')
        answered.append(req.connection_number)
        await conn.send_answer(req, status=200 if answered[1:] else 500)

    async with running_endpoint(answer) as (_, endpoint):
        client = PlatformEndpointClient()
        first = await send_attempt(client, endpoint, 'r1')
        later = await send_attempt(client, endpoint, 'r1', repeated=True)
        assert (first.status, later.status) == (500, 200)
        assert answered == [1, 2]
        await client.close_idle(endpoint)


@pytest.mark.parametrize(
    'extra',
    [
        'X-Attempt-Id: r0',
        'X-Server-Seal: 9a0c.11',
        'Transfer-Encoding: chunked',
        'Date: HTTP/1.1 500 Error',
        'Date: SatHTTP/1.0 500',
    ],
)
async def test_answer_with_parts_of_another_head_is_not_verified(
    extra: str,
) -> None:
    """Guards against a head that is taken for one answer though it contains
    parts of two, also on a new connection.
    """

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(encode_head(req, 200, (extra, 'Content-Length: 5')))
        await conn.write(LAST_CHUNK)

    async with running_endpoint(answer) as (raw, endpoint):
        client = PlatformEndpointClient()
        for number in range(2):
            reply = await send_attempt(client, endpoint, f'r{number + 1}')
            assert reply.verdict is Verdict.UNVERIFIED
            assert reply.notice is None
        assert raw.connection_count == 2
        await client.close_idle(endpoint)


async def test_answer_without_id_is_not_read_from_a_joined_head() -> None:
    """Guards against a copy of an earlier answer that is cut off by the next
    one, where answers have no id.
    """
    content = b'HTTP/1.1 200 OK\r\nDate: Sat\r\nContent-Length: 4\r\n\r\ndone'
    failure = b'HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail'
    cuts = range(1, content.index(b'\r\n\r\n'))

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        cut = int(req.target[1:])
        await conn.write(content[:cut] + failure if cut else content)

    async with running_endpoint(answer) as (raw, _):
        for cut in cuts:
            client = HttpClient(f'http://127.0.0.1:{raw.port}')
            await client.request('GET', '/0', timeout_s=1)
            result = await client.request('GET', f'/{cut}', timeout_s=1)
            await client.close()
            assert isinstance(result, Failure)
            assert result.kind is ErrorKind.OUTCOME_UNKNOWN
