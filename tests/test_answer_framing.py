"""Answers without a length or chunks, and answers without an end."""

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import pytest
from anyio import abc as anyio_abc

from masticwind.engines.base import EngineRequest
from masticwind.engines.http import HttpEngine
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    encode_head,
)
from tests.entry_harness import (
    ENGINE_SERVICE,
    EntryHarness,
    answer_completely,
    answer_with_events,
    caller_headers,
    prompt_headers,
    route_document,
    running_entry,
    sample_config_document,
)

pytestmark = pytest.mark.anyio

EVENTS: Final = b''.join(b'id: %d\ndata: x\n\n' % one for one in range(1, 5))
STREAM_TYPE: Final = 'Content-Type: text/event-stream'
# The answers of tests are small; the rest of this fits into socket buffers.
MAX_RECEIVED_BYTES: Final = 24 * 1024 * 1024
PIECE: Final = b'x' * 65_536

Ending = Callable[[RawConnection], Awaitable[None]]


async def close(conn: RawConnection) -> None:
    """End the connection in order."""
    await conn.close()


async def reset(conn: RawConnection) -> None:
    """Reset the connection."""
    await conn.reset()


def unframed_stream(
    content: bytes, ending: Ending
) -> Callable[..., Awaitable[None]]:
    """Return a script that streams without a length and without chunks."""

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(encode_head(req, 200, (STREAM_TYPE,)))
        await conn.write(content)
        await anyio.sleep(0.05)
        await ending(conn)

    return script


async def _send_prompt(harness: EntryHarness, path: str) -> bytes | None:
    """Return the body of the answer, None if it was broken off."""
    await harness.wait_until_endpoints_known()
    answer = await harness.client.request(
        'POST',
        path,
        timeout_s=5,
        headers=(*caller_headers('key-of-a', 'r1', 3000), *prompt_headers()),
    )
    return None if isinstance(answer, Failure) else answer.body


@pytest.mark.parametrize(
    ('content', 'ending', 'expected'),
    [
        (EVENTS, close, EVENTS),
        (EVENTS[:-1], close, None),
        (EVENTS[:-9], close, None),
        (EVENTS, reset, None),
    ],
)
async def test_unframed_stream_is_complete_only_after_a_whole_event(
    content: bytes, ending: Ending, expected: bytes | None
) -> None:
    """Guards against a broken stream that looks complete, or the reverse."""
    document = sample_config_document()
    document['routes'].append(
        route_document(
            'once', kind='streaming', service=ENGINE_SERVICE, gap_target_ms=200
        )
    )
    async with running_entry(document) as harness:
        await harness.start_endpoint(
            'e-1', unframed_stream(content, ending), ENGINE_SERVICE
        )
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        assert await _send_prompt(harness, '/once/a') == expected


@pytest.mark.parametrize('ending', [close, reset])
async def test_unframed_stream_that_breaks_off_is_resumed(
    ending: Ending,
) -> None:
    """Guards against a resumed stream with a missing or broken event."""
    calls: list[bool] = []
    first = unframed_stream(EVENTS[:-9], ending)

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        calls.append(True)
        await (answer_with_events if calls[1:] else first)(req, conn)

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', script, ENGINE_SERVICE)
        await harness.start_endpoint('e-2', script, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        assert await _send_prompt(harness, '/chat/a') == EVENTS


async def test_unframed_answer_that_is_reset_is_not_complete() -> None:
    """Guards against half an answer without a length passed on as whole."""

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.headers['x-attempt-id'] == 'warm':
            await answer_completely(req, conn)
            return
        await conn.write(encode_head(req, 200, ()))
        await conn.write(b'half')
        await anyio.sleep(0.05)
        await reset(conn)

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        with anyio.fail_after(5):
            while True:
                warm = await harness.request('/read/a', request_id='warm')
                if warm.status == 200:
                    break
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 502


class EndlessScript:
    """Answers with a start, and then the same bytes until it is stopped."""

    def __init__(self, start: bytes, repeated: bytes, *, headed: bool) -> None:
        self._start: Final = start
        self._repeated: Final = repeated * (len(PIECE) // len(repeated))
        self._headed: Final = headed
        self.written_bytes = 0

    async def __call__(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Write without end, except to `/read/`."""
        if req.target.startswith('/read/'):
            await answer_completely(req, conn)
            return
        if self._headed:
            await conn.write(encode_head(req, 200, ())[:-2])
        await conn.write(self._start)
        while True:
            await conn.write(self._repeated)
            self.written_bytes += len(self._repeated)
            await anyio.lowlevel.checkpoint()


CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'
STREAMED: Final = b'Content-Type: text/event-stream\r\n\r\n'


@pytest.mark.parametrize('path', ['/order/a', '/chat/a'])
@pytest.mark.parametrize(
    ('start', 'repeated', 'headed'),
    [
        (b'', b'x', False),
        (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x', False),
        (b'HTTP/1.1 200 OK\r\n', b'X-Name: y\r\n', False),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n', False),
        (CHUNKED, b'1', True),
        (b'%b1;' % CHUNKED, b'x', True),
        (b'%b0\r\n' % CHUNKED, b'X-Name: y\r\n', True),
    ],
    ids=[
        'no-head',
        'header',
        'headers',
        'informational',
        'chunk-size',
        'chunk-extension',
        'trailers',
    ],
)
async def test_answer_without_end_is_cut_off(
    path: str, start: bytes, repeated: bytes, headed: bool
) -> None:
    """Guards against an endpoint that fills the memory of an entry."""
    script = EndlessScript(start, repeated, headed=headed)
    service = ENGINE_SERVICE if path == '/chat/a' else 'calls'
    async with running_entry() as harness:
        await harness.start_endpoint('x-1', script, service)
        if service == ENGINE_SERVICE:
            await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        answer = await harness.client.request(
            'POST',
            path,
            timeout_s=5,
            headers=(
                *caller_headers('key-of-a', 'r1', 2500),
                *(prompt_headers() if service == ENGINE_SERVICE else ()),
            ),
        )
        assert not isinstance(answer, Failure)
        assert answer.status == 502
        assert script.written_bytes <= MAX_RECEIVED_BYTES


ENDLESS_BODIES: Final = (
    (b'\r\n', b'x'),
    (CHUNKED, b'3e8\r\n%b\r\n' % (b'x' * 1000)),
    (b'%bid: 1\ndata: ' % STREAMED, b'x'),
)


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS_BODIES)
async def test_event_without_end_is_cut_off(
    start: bytes, repeated: bytes
) -> None:
    """Guards against an event that fills the memory of an entry."""
    script = EndlessScript(start, repeated, headed=True)
    async with running_entry() as harness:
        await harness.start_endpoint('x-1', script, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a', method='POST', timeout_ms=2500, headers=prompt_headers()
        )
        assert answer.status == 502
        assert script.written_bytes <= MAX_RECEIVED_BYTES


@pytest.mark.parametrize(('start', 'repeated'), ENDLESS_BODIES)
async def test_body_without_end_never_looks_complete(
    start: bytes, repeated: bytes
) -> None:
    """Guards against an endless body that is kept, or passed on as whole, and
    against an endpoint that goes on after the caller has left.
    """
    script = EndlessScript(start, repeated, headed=True)
    async with running_entry() as harness:
        endpoint = await harness.start_endpoint('x-1', script)
        await harness.wait_until_served('/read/a')
        answer = await harness.client.request(
            'POST',
            '/order/a',
            timeout_s=5,
            headers=caller_headers('key-of-a', 'r1', 2500),
        )
        # The caller closes when it has read more than it takes.
        assert isinstance(answer, Failure)
        with anyio.fail_after(2):
            while not endpoint.abandoned_requests:
                await anyio.sleep(0.01)
        assert script.written_bytes <= MAX_RECEIVED_BYTES


async def test_body_without_end_waits_for_a_caller_that_does_not_read() -> None:
    """Guards against a body that the entry keeps for a slow caller."""
    script = EndlessScript(b'\r\n', b'x', headed=True)
    async with running_entry() as harness:
        endpoint = await harness.start_endpoint('x-1', script)
        await harness.wait_until_served('/read/a')
        async with harness.client.stream(
            'POST',
            '/order/a',
            timeout_s=5,
            headers=caller_headers('key-of-a', 'r1', 2500),
        ) as answer:
            assert not isinstance(answer, Failure)
            await anyio.sleep(0.5)
            written_bytes = script.written_bytes
            await anyio.sleep(0.5)
            assert script.written_bytes == written_bytes
            assert not endpoint.abandoned_requests
            answer.reusable = False
        assert written_bytes <= MAX_RECEIVED_BYTES


async def _run_endless_endpoint(
    tasks: anyio_abc.TaskGroup, start: bytes
) -> tuple[str, EndlessScript]:
    script = EndlessScript(start, b'x', headed=True)
    endpoint = RawEndpoint(script)
    await tasks.start(endpoint.run)
    return f'http://127.0.0.1:{endpoint.port}', script


async def test_document_without_end_is_cut_off() -> None:
    """Guards against a store or engine report that fills the memory."""
    async with anyio.create_task_group() as tasks:
        url, script = await _run_endless_endpoint(tasks, b'\r\n')
        client = HttpClient(url)
        answer = await client.request('GET', '/report', timeout_s=2)
        assert isinstance(answer, Failure)
        assert 'bytes' in answer.reason
        assert script.written_bytes <= 2 * MAX_RECEIVED_BYTES
        await client.close()
        tasks.cancel_scope.cancel()


async def test_engine_line_without_end_is_cut_off() -> None:
    """Guards against an engine that fills the memory of an agent."""
    req = EngineRequest(
        request_id='r', model='m', prompt=b'x', prompt_tokens=1, max_tokens=1
    )
    async with anyio.create_task_group() as tasks:
        url, script = await _run_endless_endpoint(tasks, b'\r\n')
        engine = HttpEngine(url)
        with anyio.fail_after(5):
            async with engine.generate(req) as events:
                outcome = await anext(events)
        assert isinstance(outcome, Failure)
        assert script.written_bytes <= MAX_RECEIVED_BYTES
        tasks.cancel_scope.cancel()
