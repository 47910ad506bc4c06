"""Answers that are too long to be kept, and are passed on as they arrive."""

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import pytest

from masticwind.http_limits import join_chunks
from masticwind.httpclient import BrokenStreamError, HttpStream
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    Script,
    encode_head,
)
from tests.entry_harness import (
    EntryHarness,
    answer_completely,
    caller_headers,
    running_entry,
)
from tests.test_answer_framing import close, reset

pytestmark = pytest.mark.anyio

BODY: Final = bytes(range(256)) * 4096
CHUNKED: Final = 'Transfer-Encoding: chunked'
LENGTH: Final = f'Content-Length: {len(BODY)}'
LAST_CHUNK: Final = b'0\r\n\r\n'


async def keep_open(_conn: RawConnection) -> None:
    """Leave the connection open."""


def _long_answer(
    header: str,
    ending: Callable[[RawConnection], Awaitable[None]],
    missing_bytes: int = 0,
) -> Script:
    """Return a script that sends the body but for its last bytes."""

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.headers['x-attempt-id'] == 'warm':
            await answer_completely(req, conn)
            return
        content = BODY[: len(BODY) - missing_bytes]
        await conn.write(encode_head(req, 200, (header,) if header else ()))
        if header == CHUNKED:
            content = b'%x\r\n%b\r\n' % (len(content), content)
            content += b'' if missing_bytes else LAST_CHUNK
        await conn.write(content)
        await anyio.sleep(0.05)
        await ending(conn)

    return script


async def _read_long(harness: EntryHarness) -> tuple[HttpStream, bytes | None]:
    """Return the answer and its body, None if it was broken off."""
    async with harness.client.stream(
        'GET',
        '/read/a',
        timeout_s=3,
        headers=caller_headers('key-of-a', 'r1', 3000),
    ) as answer:
        assert isinstance(answer, HttpStream)
        try:
            return answer, await join_chunks(answer.chunks, len(BODY))
        except BrokenStreamError:
            return answer, None


@pytest.mark.parametrize(
    ('header', 'ending'),
    [(CHUNKED, keep_open), (LENGTH, keep_open), ('', close)],
)
async def test_long_answer_is_passed_on_whole(
    header: str, ending: Callable[[RawConnection], Awaitable[None]]
) -> None:
    """Guards against an answer that is ended or changed for its length."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', _long_answer(header, ending))
        await harness.wait_until_served('/read/a', request_id='warm')
        answer, body = await _read_long(harness)
    assert answer.status == 200
    assert body == BODY
    assert answer.headers['x-server-seal'] == '3e1b.07'
    assert ('content-length' in answer.headers) == (header == LENGTH)


@pytest.mark.parametrize('header', [CHUNKED, LENGTH, ''])
async def test_long_answer_that_breaks_off_does_not_look_complete(
    header: str,
) -> None:
    """Guards against half an answer that is framed as whole, or that another
    engine's answer is appended to.
    """
    script = _long_answer(header, reset, missing_bytes=9)
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await harness.wait_until_served('/read/a', request_id='warm')
        answer, body = await _read_long(harness)
        received = harness.received
    sent = [req for req in received if req.headers['x-attempt-id'] == 'r1']
    assert answer.status == 200
    assert body is None
    assert len(sent) == 1
