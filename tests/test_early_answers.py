"""Answers that end before the endpoint has read the request."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import product, repeat

import anyio
import pytest

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    encode_event,
)
from tests.early_answers import (
    BUFFERED_BYTES,
    LONG_BYTES,
    EarlyAnswer,
    EarlyEndpoint,
    Ending,
    early_answers,
    encode_early_head,
    finish_then_reset,
    has_body,
    reset,
)
from tests.entry_harness import (
    API_KEY,
    ENGINE_SERVICE,
    EntryHarness,
    caller_headers,
    prompt_headers,
    running_entry,
)
from tests.raw_exchange import exchange

pytestmark = pytest.mark.anyio

EVENT = encode_event(1)
PIECES = 10
PIECE_BYTES = BUFFERED_BYTES // PIECES
PATHS = ('/read/a', '/order/a', '/chat/a')


@asynccontextmanager
async def early_endpoints() -> AsyncIterator[
    tuple[EntryHarness, dict[str, EarlyEndpoint]]
]:
    """Run an entry with one endpoint of each service."""
    async with running_entry() as harness:
        call, engine = EarlyEndpoint(), EarlyEndpoint()
        await harness.add_endpoint('i-1', call)
        await harness.add_endpoint('e-1', engine, ENGINE_SERVICE)
        await harness.wait_until_served('/read/a', request_id='warm')
        yield (
            harness,
            {'/read/a': call, '/order/a': call, '/chat/a': engine},
        )


async def upload(
    harness: EntryHarness, path: str, size_bytes: int, request_id: str = 'r1'
) -> HttpAnswer | Failure:
    """Send a request with a body; a failure is an incomplete answer."""
    await harness.wait_until_endpoints_known()
    return await harness.client.request(
        'POST',
        path,
        timeout_s=5,
        body=b'x' * size_bytes,
        headers=(
            *caller_headers(API_KEY, request_id, 3000),
            *prompt_headers(),
        ),
    )


def is_refused_unsent(
    outcome: HttpAnswer | Failure, endpoint: EarlyEndpoint
) -> bool:
    """Tell whether a request was refused, and its endpoint received nothing."""
    refused = isinstance(outcome, HttpAnswer) and outcome.status == 503
    return refused and not any(map(has_body, endpoint.received))


def assert_not_complete(
    outcome: HttpAnswer | Failure, endpoint: EarlyEndpoint, path: str
) -> None:
    """Check that the caller knows that its request may have run."""
    if isinstance(outcome, HttpAnswer):
        assert outcome.status in {502, 504}
    sent = [req for req in endpoint.received if has_body(req)]
    assert sent
    if path == '/order/a':
        assert len(sent) == 1


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('end', [reset, finish_then_reset])
@pytest.mark.parametrize('size_bytes', [BUFFERED_BYTES, LONG_BYTES])
async def test_part_of_an_early_answer_is_not_complete(
    path: str, end: Ending, size_bytes: int
) -> None:
    """Guards against a part that is taken for the whole of an answer, on a new
    or a reused connection, and against an order that is sent twice.
    """
    async with early_endpoints() as (harness, endpoints):
        endpoint = endpoints[path]
        for answer, reused in product(early_answers(end), (False, True)):
            endpoint.answer = answer
            outcome: HttpAnswer | Failure | None = None
            # On a busy machine, a connection may not be made in time.
            while outcome is None or is_refused_unsent(outcome, endpoint):
                endpoint.received.clear()
                if reused:
                    await upload(harness, path, 0)
                outcome = await upload(harness, path, size_bytes)
            assert_not_complete(outcome, endpoint, path)
            connections = {req.connection_number for req in endpoint.received}
            is_single = len(connections) == 1
            assert is_single or not reused or path == '/order/a'


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('end', [reset, finish_then_reset])
async def test_part_of_an_answer_to_a_chunked_upload_is_not_complete(
    path: str, end: Ending
) -> None:
    """Guards against a part that a caller which sends chunks takes as whole."""
    async with early_endpoints() as (harness, endpoints):
        endpoints[path].answer = EarlyAnswer('', 'in the body', 0.01, end)
        await harness.wait_until_endpoints_known()
        headers = (*caller_headers(API_KEY, 'r1', 3000), *prompt_headers())
        lines = (
            f'POST {path} HTTP/1.1'.encode(),
            *(b'%b: %b' % header for header in headers),
            b'Transfer-Encoding: chunked',
            b'Connection: close',
        )
        chunk = b'%x\r\n%b\r\n' % (PIECE_BYTES, b'x' * PIECE_BYTES)
        head = b'\r\n'.join((*lines, b'', b''))
        pieces = (head, *repeat(chunk, PIECES), LAST_CHUNK)
        received = await exchange(harness.entry.port, pieces)
        assert any(map(has_body, endpoints[path].received))
    assert received.startswith((b'HTTP/1.1 200 ', b'HTTP/1.1 502 '))
    if received.startswith(b'HTTP/1.1 200 '):
        assert path == '/chat/a'
        assert b'transfer-encoding: chunked' in received.lower()
        assert not received.endswith(LAST_CHUNK)


@pytest.mark.parametrize('end', [reset, finish_then_reset])
async def test_part_of_an_early_resumption_is_not_complete(end: Ending) -> None:
    """Guards against a resumed stream that ends with a part."""

    async def break_off(req: ReceivedRequest, conn: RawConnection) -> None:
        part = EarlyAnswer('', 'in the body', 0, reset)
        resumed = EarlyAnswer('', 'in the body', 0.01, end)
        await (resumed if 'last-event-id' in req.headers else part)(req, conn)

    async with early_endpoints() as (harness, endpoints):
        endpoints['/chat/a'].answer = break_off
        second = EarlyEndpoint()
        second.answer = break_off
        await harness.add_endpoint('e-2', second, ENGINE_SERVICE)
        outcome = await upload(harness, '/chat/a', BUFFERED_BYTES)
        assert isinstance(outcome, Failure)
        resumed = ['last-event-id' in req.headers for req in harness.received]
        assert any(resumed)


@pytest.mark.parametrize('end', [reset, finish_then_reset])
async def test_read_with_a_part_of_an_answer_is_served_elsewhere(
    end: Ending,
) -> None:
    """Guards against a wait for an upload that a reset has ended."""
    async with early_endpoints() as (harness, endpoints):
        second = EarlyEndpoint()
        await harness.add_endpoint('i-2', second)
        failed: list[bool] = []

        async def fail_once(req: ReceivedRequest, conn: RawConnection) -> None:
            if failed:
                await conn.send_answer(req)
                return
            failed.append(True)
            await EarlyAnswer('', 'in the body', 0.01, end)(req, conn)

        endpoints['/read/a'].answer = fail_once
        second.answer = fail_once
        outcome = await upload(harness, '/read/a', BUFFERED_BYTES)
        assert isinstance(outcome, HttpAnswer)
        assert (outcome.status, outcome.body) == (200, b'done')
        assert len([req for req in harness.received if has_body(req)]) == 2


async def _finish_and_read(req: ReceivedRequest, conn: RawConnection) -> None:
    await conn.write(encode_early_head(req, ''))
    await conn.write(EVENT)
    await conn.stream.send_eof()
    await anyio.sleep(0.1)
    await conn.read_to_end()
    await conn.close()


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('size_bytes', [BUFFERED_BYTES, LONG_BYTES])
async def test_early_answer_is_complete_once_the_upload_is_read(
    path: str, size_bytes: int
) -> None:
    """Guards against the loss of an answer that ends with its connection, whose
    endpoint reads on.
    """
    async with early_endpoints() as (harness, endpoints):
        endpoints[path].answer = _finish_and_read
        outcome = await upload(harness, path, size_bytes)
    assert isinstance(outcome, HttpAnswer)
    assert (outcome.status, outcome.body) == (200, EVENT)


async def _finish_unread(req: ReceivedRequest, conn: RawConnection) -> None:
    await conn.write(encode_early_head(req, ''))
    await conn.write(EVENT)
    await conn.stream.send_eof()
    await anyio.sleep_forever()


@pytest.mark.parametrize('is_closed', [False, True])
async def test_early_answer_is_not_complete_before_the_upload_is_read(
    is_closed: bool,
) -> None:
    """Guards against a part that is taken for the whole of an answer while the
    rest of the upload could still be refused, and against a check that goes on
    after its connection has been closed.
    """
    async with early_endpoints() as (harness, endpoints):
        endpoints['/read/a'].answer = _finish_unread
        client = HttpClient(f'http://127.0.0.1:{endpoints["/read/a"].port}')
        async with anyio.create_task_group() as tasks:
            if is_closed:
                tasks.start_soon(_close_later, client)
            outcome = await client.request(
                'POST', '/', timeout_s=0.6, body=b'x' * BUFFERED_BYTES
            )
        relayed = await upload(harness, '/order/a', BUFFERED_BYTES)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    assert ('closed' in outcome.reason) is is_closed
    assert isinstance(relayed, HttpAnswer)
    assert relayed.status in {502, 504}


async def _close_later(client: HttpClient) -> None:
    await anyio.sleep(0.2)
    await client.close()
