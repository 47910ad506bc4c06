"""Answers to callers that use HTTP/1.0, which has no chunks."""

from typing import Final

import anyio
import pytest

from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)
from tests.entry_harness import API_KEY, caller_headers, running_entry

pytestmark = pytest.mark.anyio

# Longer than what is kept until it is whole.
BODY: Final = b'a' * 100_000
TIMEOUT_S: Final = 3
START_LINE: Final = b'POST /order/a HTTP/1.0'


async def test_http10_caller_gets_long_answer_without_chunks() -> None:
    """Guards against chunk sizes that a caller reads as a part of the body."""

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(encode_head(req, 200, ()) + BODY)
        await conn.close()

    lines = [
        b'%b: %b' % header
        for header in caller_headers(API_KEY, 'r2', TIMEOUT_S * 1000)
    ]
    received = bytearray()
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer)
        reply = await harness.request('/order/a', method='POST')
        assert reply.body == BODY
        caller = await anyio.connect_tcp('127.0.0.1', harness.entry.port)
        async with caller:
            await caller.send(b'\r\n'.join((START_LINE, *lines, b'', b'')))
            with anyio.fail_after(TIMEOUT_S):
                async for part in caller:
                    received.extend(part)
    head, _, body = bytes(received).partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert body == BODY
