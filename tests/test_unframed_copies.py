"""Answers without a length that are written twice."""

from typing import Final

import pytest

from masticwind.httpclient import BrokenStreamError
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)
from tests.test_extra_bytes import running_endpoint
from tests.test_stale_answers import send_attempt

pytestmark = pytest.mark.anyio

BODY: Final = b'done'
# A shorter part of a copy cannot be told from the end of a body.
MIN_CUT: Final = len('HTTP/1.1 200')


async def test_copy_is_not_passed_on_as_a_part_of_the_body() -> None:
    """Guards against the copy of an answer, cut off anywhere, that is read as
    the end of its body as its length is not declared.
    """

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        content = encode_head(req, 200, ()) + BODY
        cut = int(req.headers['x-attempt-id'])
        await conn.write(content)
        await conn.write(content[:cut])
        await conn.close()

    async with running_endpoint(answer) as (_, endpoint):
        client = PlatformEndpointClient()
        whole = len('HTTP/1.1 200 Answer\r\nX-Attempt-Id: 10\r\n') + 40
        for cut in range(MIN_CUT, whole):
            with pytest.raises(BrokenStreamError):
                await send_attempt(client, endpoint, str(cut))
        await client.close_idle(endpoint)


@pytest.mark.parametrize(
    'body',
    [
        b'done',
        b'HTTP/1.1 200 OK is the usual status line.\n',
        b'GET / HTTP/1.1\r\nHost: a\r\n\r\nHTTP/1.1 500 Error',
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n\r\n',
    ],
)
async def test_body_without_a_copy_is_whole(body: bytes) -> None:
    """Guards against a sound answer that is rejected for its text."""

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(encode_head(req, 200, ()) + body)
        await conn.close()

    async with running_endpoint(answer) as (_, endpoint):
        client = PlatformEndpointClient()
        reply = await send_attempt(client, endpoint, 'r1')
        assert reply.success
        await client.close_idle(endpoint)
