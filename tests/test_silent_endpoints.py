"""Answers of endpoints that fall silent for a while and go on."""

from contextlib import AbstractAsyncContextManager
from typing import Final

import anyio
import pytest

from masticwind.httpclient import BrokenStreamError, HttpStream
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    Script,
    encode_event_chunk,
    encode_stream_head,
)
from tests.endpoint_scripts import refuse, stay_silent
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    ENGINE_SERVICE,
    EntryHarness,
    caller_headers,
    prompt_headers,
)
from tests.silent_fleet import SilentFleetOptions, running_silent_fleet

pytestmark = pytest.mark.anyio

EVENTS: Final = 6
# Longer than the timeouts after which another endpoint is tried.
SILENCE_S: Final = 1.7
TIMEOUT_MS: Final = 8000
MAX_ATTEMPTS: Final = 3


def _whole_stream(first: int = 1) -> bytes:
    return b''.join(
        f'id: {number}\ndata: x\n\n'.encode()
        for number in range(first, EVENTS + 1)
    )


class SilentEndpoints:
    """The first request falls silent at its endpoint; others meet a script.

    `events_before` events precede the silence; with None, the head of the
    answer comes after it.
    """

    def __init__(self, others: Script, events_before: int | None) -> None:
        self._others: Final = others
        self._events_before: Final = events_before
        self.silent = anyio.Event()
        self.count = 0

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer as the endpoint that falls silent, or by the script."""
        self.count += 1
        if self.count > 1:
            await self._others(req, conn)
            return
        if 'x-token-counts' not in req.headers:
            self.silent.set()
            await anyio.sleep(SILENCE_S)
            await conn.send_answer(req)
            return
        written = self._events_before or 0
        if self._events_before is not None:
            await conn.write(encode_stream_head(req))
        for number in range(1, written + 1):
            await conn.write(encode_event_chunk(number))
        self.silent.set()
        await anyio.sleep(SILENCE_S)
        if self._events_before is None:
            await conn.write(encode_stream_head(req))
        for number in range(written + 1, EVENTS + 1):
            await conn.write(encode_event_chunk(number))
        await conn.write(LAST_CHUNK)


def _fleet(
    endpoints: SilentEndpoints, service: str, count: int = 2
) -> AbstractAsyncContextManager[EntryHarness]:
    return running_silent_fleet(
        endpoints.answer,
        SilentFleetOptions(
            timeout_ms=TIMEOUT_MS,
            service=service,
            count=count,
            max_attempts=MAX_ATTEMPTS,
        ),
    )


async def _stream(harness: EntryHarness) -> tuple[int, bytes, bool]:
    """Return the status and body of a stream, and whether it is complete."""
    chunks: list[bytes] = []
    complete = True
    async with harness.client.stream(
        'POST',
        '/chat/a',
        timeout_s=TIMEOUT_MS / 1000 + 1,
        headers=(
            *caller_headers(API_KEY, 'r1', TIMEOUT_MS),
            *prompt_headers(),
        ),
    ) as stream:
        assert isinstance(stream, HttpStream), stream
        stream.reusable = False
        status = stream.status
        try:
            async for chunk in stream.chunks:
                chunks.append(chunk)  # noqa: PERF401
        except BrokenStreamError:
            complete = False
    return status, b''.join(chunks), complete


@pytest.mark.parametrize('events_before', [None, 0, 2])
async def test_stream_is_whole_though_no_other_engine_takes_it(
    events_before: int | None,
) -> None:
    """Guards against an answer that ends since its engine was silent for a
    while and the next one has refused.
    """
    endpoints = SilentEndpoints(refuse, events_before)
    async with _fleet(endpoints, ENGINE_SERVICE) as harness:
        assert await _stream(harness) == (200, _whole_stream(), True)


@pytest.mark.parametrize('events_before', [None, 0, 2])
async def test_stream_is_whole_though_no_other_engine_can_be_chosen(
    events_before: int | None,
) -> None:
    """Guards against an answer that ends since its engine was silent for a
    while and no placement is found any more.
    """
    endpoints = SilentEndpoints(refuse, events_before)
    async with _fleet(endpoints, ENGINE_SERVICE) as harness:

        async def evacuate() -> None:
            await endpoints.silent.wait()
            harness.store.write('op/evacuate/zone-a', b'{}')

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(evacuate)
            assert await _stream(harness) == (200, _whole_stream(), True)


@pytest.mark.parametrize('events_before', [None, 0, 2])
async def test_stream_is_whole_though_the_next_engine_is_silent_too(
    events_before: int | None,
) -> None:
    """Guards against an engine that is given up for one that is no better."""
    endpoints = SilentEndpoints(stay_silent, events_before)
    async with _fleet(endpoints, ENGINE_SERVICE) as harness:
        assert await _stream(harness) == (200, _whole_stream(), True)


async def test_call_is_answered_though_no_other_endpoint_takes_it() -> None:
    """Guards against a failure for a call that its endpoint goes on with."""
    endpoints = SilentEndpoints(refuse, None)
    async with _fleet(endpoints, CALL_SERVICE) as harness:
        answer = await harness.request('/read/a', timeout_ms=TIMEOUT_MS)
        assert (answer.status, answer.body) == (200, b'done')


async def _finish_stream(req: ReceivedRequest, conn: RawConnection) -> None:
    first = int(req.headers.get('last-event-id', '0')) + 1
    await conn.write(encode_stream_head(req))
    for number in range(first, EVENTS + 1):
        await conn.write(encode_event_chunk(number))
    await conn.write(LAST_CHUNK)


@pytest.mark.parametrize('events_before', [None, 0, 2])
async def test_silent_engine_is_replaced_by_one_that_answers(
    events_before: int | None,
) -> None:
    """Guards against a wait for an engine that may be gone for good, and
    against one that is left at work after another has answered.
    """
    endpoints = SilentEndpoints(_finish_stream, events_before)
    async with _fleet(endpoints, ENGINE_SERVICE) as harness:
        started = anyio.current_time()
        assert await _stream(harness) == (200, _whole_stream(), True)
        assert anyio.current_time() - started < SILENCE_S
        with anyio.fail_after(SILENCE_S):
            while not _abandoned(harness):
                await anyio.sleep(0.02)
    assert endpoints.count == 2


async def test_engine_that_goes_on_ends_its_successor() -> None:
    """Guards against pieces of two runs in one stream, and against an engine
    that is left at work for nothing.
    """
    begun = anyio.Event()

    async def begin_late(req: ReceivedRequest, conn: RawConnection) -> None:
        begun.set()
        await conn.write(encode_stream_head(req))
        with anyio.CancelScope(shield=True):
            await anyio.sleep(SILENCE_S)
        for number in range(100):
            await anyio.sleep(0.02)
            await conn.write(encode_event_chunk(number + 3, 'other'))

    endpoints = SilentEndpoints(begin_late, 2)
    async with _fleet(endpoints, ENGINE_SERVICE) as harness:
        assert await _stream(harness) == (200, _whole_stream(), True)
        assert begun.is_set()
        with anyio.fail_after(2 * SILENCE_S):
            while not _abandoned(harness):
                await anyio.sleep(0.02)


async def test_silence_takes_no_more_engines_than_the_route_allows() -> None:
    """Guards against a search for engines that never ends."""
    endpoints = SilentEndpoints(stay_silent, 2)
    async with _fleet(endpoints, ENGINE_SERVICE, count=6) as harness:
        assert await _stream(harness) == (200, _whole_stream(), True)
    assert endpoints.count <= MAX_ATTEMPTS


async def test_order_waits_for_its_silent_endpoint() -> None:
    """Guards against a call that may run once and is sent twice."""
    endpoints = SilentEndpoints(refuse, None)
    async with _fleet(endpoints, CALL_SERVICE) as harness:
        answer = await harness.request('/order/a', timeout_ms=TIMEOUT_MS)
        assert (answer.status, answer.body) == (200, b'done')
    assert endpoints.count == 1


def _abandoned(harness: EntryHarness) -> int:
    return sum(one.abandoned_requests for one in harness.endpoints.values())
