"""Answers that are no continuation, to the resumption of a broken stream."""

from types import MappingProxyType
from typing import Final

import pytest

from masticwind.httpclient import BrokenStreamError, HttpStream
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)
from tests.entry_harness import (
    API_KEY,
    ENGINE_SERVICE,
    EntryHarness,
    answer_completely,
    caller_headers,
    prompt_headers,
    running_entry,
)

pytestmark = pytest.mark.anyio

STREAM: Final = 'Content-Type: text/event-stream'
CHUNKED: Final = 'Transfer-Encoding: chunked'
BEGUN: Final = b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'


def _whole(status: int, kind: str, body: str, *headers: str) -> bytes:
    req = ReceivedRequest('POST', '/', {'x-attempt-id': 'r1'}, b'', 1)
    head = encode_head(
        req, status, (kind, f'Content-Length: {len(body)}', *headers)
    )
    return head + body.encode()


def _chunked(*chunks: bytes) -> bytes:
    req = ReceivedRequest('POST', '/', {'x-attempt-id': 'r1'}, b'', 1)
    return encode_stream_head(req) + b''.join(chunks)


def _chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


TEXT: Final = 'Content-Type: text/plain'
JSON: Final = 'Content-Type: application/json'
ERROR_TEXT: Final = 'error: the engine is broken\n\n'
RESUMPTIONS: Final = MappingProxyType(
    {
        'own-error': _whole(500, TEXT, ERROR_TEXT),
        'refusal': _whole(503, TEXT, ERROR_TEXT, 'X-Not-Executed: 1'),
        'unproved-refusal': _whole(503, TEXT, ERROR_TEXT),
        'not-found': _whole(404, TEXT, ERROR_TEXT),
        'redirect': _whole(302, TEXT, ERROR_TEXT),
        'other-engine': _whole(421, TEXT, ERROR_TEXT),
        'plain-text': _whole(200, TEXT, ERROR_TEXT),
        'plain-empty': _whole(200, TEXT, ''),
        'no-content': _whole(204, TEXT, ''),
        'json': _whole(200, JSON, '{"error": "broken"}\n\n'),
        'error-event': _chunked(_chunk(b'data: broken\n\n'), LAST_CHUNK),
        'head-in-body': _chunked(
            _chunk(b'HTTP/1.1 500 Answer\r\nX: y\n\n'), LAST_CHUNK
        ),
        'unframed-empty': encode_head(
            ReceivedRequest('POST', '/', {'x-attempt-id': 'r1'}, b'', 1),
            200,
            (STREAM,),
        ),
        'no-http': b'broken\r\n\r\n',
    }
)


async def _receive(harness: EntryHarness) -> tuple[bytes, bool]:
    """Return what a caller gets of a stream, and whether it is complete."""
    await harness.wait_until_endpoints_known()
    async with harness.client.stream(
        'POST',
        '/chat/a',
        timeout_s=5,
        headers=(*caller_headers(API_KEY, 'r1', 3000), *prompt_headers()),
    ) as stream:
        assert isinstance(stream, HttpStream)
        assert stream.status == 200
        stream.reusable = False
        chunks: list[bytes] = []
        try:
            async for chunk in stream.chunks:
                chunks.append(chunk)  # noqa: PERF401
        except BrokenStreamError:
            return b''.join(chunks), False
    return b''.join(chunks), True


@pytest.mark.parametrize('name', RESUMPTIONS)
async def test_error_of_the_next_engine_is_not_written_into_a_begun_stream(
    name: str,
) -> None:
    """Guards against an error in a stream, or one that looks complete."""
    calls: list[bool] = []

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        calls.append(True)
        if len(calls) > 1:
            await conn.write(RESUMPTIONS[name])
            await conn.close()
            return
        await conn.write(encode_stream_head(req))
        await conn.write(encode_event_chunk(1) + encode_event_chunk(2))
        await conn.close()

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', script, ENGINE_SERVICE)
        await harness.start_endpoint('e-2', script, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        assert await _receive(harness) == (BEGUN, False)
        assert len(calls) == 2


async def test_stream_that_broke_after_its_last_event_is_completed() -> None:
    """Guards against a complete stream that is broken off."""
    calls: list[bool] = []

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        calls.append(True)
        await conn.write(encode_stream_head(req))
        if len(calls) > 1:
            await conn.write(_chunk(b': keep-alive\n\n') + LAST_CHUNK)
            return
        await conn.write(encode_event_chunk(1) + encode_event_chunk(2))
        await conn.close()

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', script, ENGINE_SERVICE)
        await harness.start_endpoint('e-2', script, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        content, complete = await _receive(harness)
        assert content.startswith(BEGUN)
        assert complete
