"""Answers to callers that use HTTP/1.0, which has no chunks."""

from typing import Final

import anyio
import pytest
from anyio.abc import ByteStream

from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    Script,
    encode_head,
)
from tests.entry_harness import API_KEY, caller_headers, running_entry

pytestmark = pytest.mark.anyio

# Longer than what is kept until it is whole.
BODY: Final = b'a' * 100_000
TIMEOUT_S: Final = 3
START_LINE: Final = b'POST /order/a HTTP/1.0'


async def _call(script: Script) -> tuple[bytes, bool]:
    """Return what an HTTP/1.0 caller receives until its connection ends, and
    whether it is reset.
    """
    lines = [
        b'%b: %b' % header
        for header in caller_headers(API_KEY, 'r2', TIMEOUT_S * 1000)
    ]
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        await harness.wait_until_endpoints_known()
        caller = await anyio.connect_tcp('127.0.0.1', harness.entry.port)
        async with caller:
            await caller.send(b'\r\n'.join((START_LINE, *lines, b'', b'')))
            return await _read_to_end(caller)


async def _read_to_end(caller: ByteStream) -> tuple[bytes, bool]:
    received = bytearray()
    try:
        with anyio.fail_after(TIMEOUT_S):
            async for part in caller:
                received.extend(part)
    except anyio.BrokenResourceError:
        return bytes(received), True
    return bytes(received), False


async def test_http10_caller_gets_long_answer_without_chunks() -> None:
    """Guards against chunk sizes that a caller reads as a part of the body."""

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(encode_head(req, 200, ()) + BODY)
        await conn.close()

    received, is_reset = await _call(answer)
    assert not is_reset
    head, _, body = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert body == BODY


async def test_http10_caller_notices_that_an_answer_broke_off() -> None:
    """Guards against an answer that ends with its connection though it broke
    off.
    """

    async def break_off(req: ReceivedRequest, conn: RawConnection) -> None:
        head = encode_head(req, 200, ('Transfer-Encoding: chunked',))
        await conn.write(head + b'%x\r\n%b\r\n' % (len(BODY), BODY))
        await conn.close()

    _, is_reset = await _call(break_off)
    assert is_reset
