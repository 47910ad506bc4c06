"""Answers of endpoints that are lost, spoiled, foreign or not an answer.

Each test states what the caller may be told, and how often an endpoint may
run the request.
"""

from collections.abc import Callable

import anyio
import pytest

from masticwind.errors import Failure
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    Received,
    Script,
    event_chunk,
    head,
    stream_head,
)
from tests.endpoint_scripts import (
    answer_another,
    hang_up,
    no_protocol,
    truncate,
    wrong_endpoint,
)
from tests.entry_harness import (
    CALLS,
    ENGINES,
    KEY,
    EntryHarness,
    answer_events,
    answer_whole,
    caller_headers,
    free_udp_port,
    prompt_headers,
    registration,
    route,
    running_entry,
    sample_document,
)

pytestmark = pytest.mark.anyio


async def refuse(req: Received, conn: RawConnection) -> None:
    """Say that the request was not run."""
    await conn.write(head(req, 503, ('X-Not-Executed: 1', 'Content-Length: 0')))


async def without_seal(req: Received, conn: RawConnection) -> None:
    """Answer like something that is not the endpoint."""
    await conn.write(
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {req.headers["x-attempt-id"]}\r\n'
        'Content-Length: 4\r\n\r\nfake'.encode()
    )


async def encode_body(req: Received, conn: RawConnection) -> None:
    """Answer with an encoding that nobody asked for."""
    await conn.answer(req, headers=('Content-Encoding: gzip',))


async def busy_without_proof(req: Received, conn: RawConnection) -> None:
    """Answer 503 without saying that the request was not run."""
    await conn.answer(req, 503, b'busy')


async def fail(req: Received, conn: RawConnection) -> None:
    """Fail the request after it ran."""
    await conn.answer(req, 500, b'failed')


def once_then(first: Script, then: Script) -> Script:
    """Return a script that plays `first` once and `then` afterwards."""
    played: list[bool] = []

    async def script(req: Received, conn: RawConnection) -> None:
        if req.headers['x-attempt-id'].startswith('warm'):
            await answer_whole(req, conn)
            return
        chosen = then if played else first
        played.append(True)
        await chosen(req, conn)

    return script


async def _warm(harness: EntryHarness) -> None:
    with anyio.fail_after(5):
        while True:
            answer = await harness.request('/open/a', request_id='warm')
            if answer.status == 200:
                return
            await anyio.sleep(0.02)


SPOILED = (
    hang_up,
    truncate,
    answer_another,
    without_seal,
    encode_body,
    no_protocol,
    busy_without_proof,
)


def _ran(harness: EntryHarness) -> int:
    return sum(
        not req.headers['x-attempt-id'].startswith('warm')
        for req in harness.received
    )


@pytest.mark.parametrize('spoiled', SPOILED)
async def test_spoiled_answer_of_an_order_is_neither_passed_on_nor_repeated(
    spoiled: Script,
) -> None:
    """Guards against an order that runs twice, a "not run" that is false,
    and a spoiled answer that looks like a success.
    """
    async with running_entry() as harness:
        script = once_then(spoiled, answer_whole)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status in {502, 504}
        assert _ran(harness) == 1


@pytest.mark.parametrize('spoiled', SPOILED)
async def test_spoiled_answer_of_a_read_is_asked_for_once_more(
    spoiled: Script,
) -> None:
    """Guards against a read that fails though another endpoint serves it."""
    async with running_entry() as harness:
        script = once_then(spoiled, answer_whole)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm(harness)
        answer = await harness.request('/read/a')
        assert answer.status == 200
        assert answer.body == b'done'
        assert _ran(harness) == 2


@pytest.mark.parametrize('refusal', [refuse, wrong_endpoint])
async def test_order_that_was_not_run_goes_to_another_endpoint(
    refusal: Script,
) -> None:
    """Guards against an order that is lost although it provably never ran."""
    async with running_entry() as harness:
        script = once_then(refusal, answer_whole)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 200


async def test_order_that_nobody_takes_is_truly_not_run() -> None:
    """Guards against a 502 where "not run" is known to be true."""
    async with running_entry() as harness:
        script = once_then(refuse, refuse)
        await harness.start_endpoint('i-1', script)
        await _warm(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_refusal_after_a_lost_answer_is_not_said_to_be_not_run() -> None:
    """Guards against a 503 for a read that an endpoint may have run."""
    async with running_entry() as harness:
        script = once_then(hang_up, refuse)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm(harness)
        assert (await harness.request('/read/a')).status == 502


async def test_endpoints_own_failure_is_passed_on_with_its_seal() -> None:
    """Guards against a failure that loses the endpoint's status or seal."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', once_then(fail, fail))
        await _warm(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 500
        assert answer.body == b'failed'
        assert answer.headers['x-server-seal'] == '3e1b.07'


async def test_failure_of_the_only_endpoint_is_passed_on() -> None:
    """Guards against a read that is answered 502 in place of its endpoint's
    own failure because nobody else could be asked.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', once_then(fail, fail))
        await _warm(harness)
        answer = await harness.request('/read/a')
        assert answer.status == 500
        assert answer.headers['x-server-seal'] == '3e1b.07'


async def test_refusal_for_a_helper_leaves_the_leading_endpoint() -> None:
    """Guards against a good engine that is taken out because an engine that
    helps it has gone; the refusal names the one at fault.
    """
    sent: list[Received] = []

    async def blame_helper(req: Received, conn: RawConnection) -> None:
        sent.append(req)
        helpers = req.headers.get('x-helpers', '')
        if helpers and len(sent) == 1:
            await conn.write(
                head(
                    req,
                    421,
                    (f'At-Server: {helpers}', 'Content-Length: 0'),
                )
            )
            return
        await answer_events(req, conn)

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', blame_helper, ENGINES)
        await harness.start_endpoint('e-2', blame_helper, ENGINES)
        await harness.start_endpoint('i-1', answer_whole, CALLS)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a',
            method='POST',
            headers=prompt_headers(tokens=20_000),
        )
        assert answer.status == 200
        first, second = sent
        assert first.headers['x-helpers']
        leads = (first.headers, second.headers)
        assert leads[0]['x-expect-instance'] == leads[1]['x-expect-instance']
        assert 'x-helpers' not in second.headers


async def test_extra_answer_on_a_connection_reaches_no_caller() -> None:
    """Guards against the second answer of a doubled one being taken for the
    answer to the next request on that connection.
    """

    async def doubled(req: Received, conn: RawConnection) -> None:
        await conn.answer(req, body=b'mine!')
        await conn.answer(req, body=b'extra')

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', doubled)
        await harness.wait_until_served('/read/a')
        for number in range(6):
            answer = await harness.request('/read/a', request_id=f'r{number}')
            assert answer.status in {200, 502}
            if answer.status == 200:
                assert answer.body == b'mine!'
                assert answer.headers['x-attempt-id'] == f'r{number}'


async def test_answer_without_a_length_that_ends_well_is_whole() -> None:
    """Guards against an answer that ends with its connection being lost."""

    async def unframed(req: Received, conn: RawConnection) -> None:
        await conn.write(head(req, 200, ('Connection: close',)))
        await conn.write(b'to the end')
        await conn.close()

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', unframed)
        answer = await harness.wait_until_served('/read/a')
        assert answer.body == b'to the end'


def _break_after(events: int, partial: bool) -> Callable[[], Script]:
    def make() -> Script:
        played: list[bool] = []

        async def script(req: Received, conn: RawConnection) -> None:
            if played:
                await answer_events(req, conn)
                return
            played.append(True)
            await conn.write(stream_head(req))
            for number in range(1, events + 1):
                await conn.write(event_chunk(number))
            if partial:
                await conn.write(b'c\r\nid: 9\ndata: \r\n')
            await conn.close()

        return script

    return make


@pytest.mark.parametrize('events', [0, 1, 3])
@pytest.mark.parametrize('partial', [False, True])
async def test_broken_stream_goes_on_at_another_endpoint(
    events: int,
    partial: bool,
) -> None:
    """Guards against a stream with a missing, doubled or halved event."""
    async with running_entry() as harness:
        script = _break_after(events, partial)()
        await harness.start_endpoint('e-1', script, ENGINES)
        await harness.start_endpoint('e-2', script, ENGINES)
        await harness.start_endpoint('i-1', answer_whole, CALLS)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a', method='POST', headers=prompt_headers()
        )
        assert answer.status == 200
        expected = [f'id: {number}\ndata: x' for number in range(1, 5)]
        assert answer.body.decode().strip().split('\n\n') == expected


async def test_stream_that_cannot_go_on_does_not_look_complete() -> None:
    """Guards against a truncated stream that ends as a complete one."""

    async def always_break(req: Received, conn: RawConnection) -> None:
        await conn.write(stream_head(req) + event_chunk(1))
        await conn.close()

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', always_break, ENGINES)
        await harness.start_endpoint('i-1', answer_whole, CALLS)
        await harness.wait_until_served('/read/a')
        answer = await harness.client.request(
            'POST',
            '/chat/a',
            timeout_s=5,
            headers=(*caller_headers(KEY, 's1', 3000), *prompt_headers()),
        )
        assert isinstance(answer, Failure)


async def test_caller_resumes_a_stream_behind_its_last_event() -> None:
    """Guards against events that a resuming caller gets twice."""
    async with running_entry() as harness:
        await harness.start_endpoint('e-1', answer_events, ENGINES)
        await harness.start_endpoint('i-1', answer_whole, CALLS)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a',
            method='POST',
            headers=(*prompt_headers(), (b'Last-Event-Id', b'2')),
        )
        assert b'id: 2\n' not in answer.body
        assert answer.body.startswith(b'id: 3\n')


async def test_foreign_stream_answer_is_not_joined() -> None:
    """Guards against events of another request in a resumed stream."""

    async def foreign(_req: Received, conn: RawConnection) -> None:
        await conn.write(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            + event_chunk(1, 'foreign')
            + LAST_CHUNK
        )

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', foreign, ENGINES)
        await harness.start_endpoint('i-1', answer_whole, CALLS)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a', method='POST', headers=prompt_headers()
        )
        assert answer.status == 502
        assert b'foreign' not in answer.body


async def test_silent_endpoint_is_given_up_where_another_may_be_asked() -> None:
    """Guards against a read that waits for its whole time on an endpoint
    that has fallen silent.
    """

    async def silent(_req: Received, _conn: RawConnection) -> None:
        await anyio.sleep(10)

    async with running_entry() as harness:
        script = once_then(silent, answer_whole)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm(harness)
        with anyio.fail_after(2):
            answer = await harness.request('/read/a')
        assert answer.status == 200


async def test_silence_ends_no_answer_where_nobody_else_may_be_asked() -> None:
    """Guards against an order that is answered 504 while it is at work and
    has time left.
    """

    async def slow(req: Received, conn: RawConnection) -> None:
        await anyio.sleep(1.4)
        await conn.answer(req)

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', once_then(slow, slow))
        await _warm(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 200


async def test_request_is_answered_when_its_time_is_over() -> None:
    """Guards against a caller that is held past its time."""

    async def silent(_req: Received, _conn: RawConnection) -> None:
        await anyio.sleep(10)

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', once_then(silent, silent))
        await _warm(harness)
        with anyio.fail_after(1):
            answer = await harness.request(
                '/order/a', method='POST', timeout_ms=400
            )
        assert answer.status == 504


async def test_late_long_read_is_not_begun_again_elsewhere() -> None:
    """Guards against long prompts that are given up shortly after their aim
    and read a second time, which can only be later and costs the engines of
    others as much again.
    """

    async def slowly(req: Received, conn: RawConnection) -> None:
        await anyio.sleep(1.6)
        await answer_events(req, conn)

    document = sample_document()
    document['routes'].append(
        route(
            'long',
            kind='streaming',
            service=ENGINES,
            resumable=True,
            gap_target_ms=1000,
            goal_ms=1000,
            timeout_ms=8000,
        )
    )
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', slowly, ENGINES)
        await harness.start_endpoint('i-2', slowly, ENGINES)
        answer = await harness.request(
            '/long/a',
            timeout_ms=8000,
            headers=prompt_headers(),
        )
        assert answer.status == 200
        assert answer.body.count(b'id:') == 4
        assert len(harness.received) == 1


@pytest.mark.parametrize('events', [0, 1])
async def test_stream_that_makes_no_progress_goes_on_elsewhere(
    events: int,
) -> None:
    """Guards against a stalled endpoint that keeps a stream for as long as
    it sends a byte now and then.
    """
    asked: list[str] = []

    async def drip_first(req: Received, conn: RawConnection) -> None:
        asked.append(req.target)
        if len(asked) > 1:
            await answer_events(req, conn)
            return
        await conn.write(stream_head(req))
        if events:
            await conn.write(event_chunk(1))
        for _ in range(60):
            await conn.write(b'1\r\n:\r\n')
            await anyio.sleep(0.1)

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', drip_first, ENGINES)
        await harness.start_endpoint('i-2', drip_first, ENGINES)
        answer = await harness.request(
            '/chat/a',
            headers=prompt_headers(),
            timeout_ms=2900,
        )
        assert answer.body.count(b'id:') == 4
        assert len(asked) == 2


async def test_helper_that_is_down_does_not_exclude_leading_endpoints() -> None:
    """Guards against a prompt beyond one engine's memory that fails because
    the same dead helper is asked for memory again and again, while one sound
    leading engine after the other is left out in its place.
    """

    async def engine(req: Received, conn: RawConnection) -> None:
        if req.target == '/-/order':
            await conn.answer(req, body=b'{}')
            return
        await answer_events(req, conn)

    document = sample_document()
    document['services'][1]['engine']['kv_capacity'] = 20_000
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', engine, ENGINES)
        await harness.wait_until_known()
        # Nobody listens at this port.
        harness.store.write(
            'servers/i-2',
            registration(await free_udp_port(), ENGINES),
        )
        for name in ('i-3', 'i-4'):
            await harness.start_endpoint(name, engine, ENGINES)
        with anyio.fail_after(3):
            while harness.entry.endpoint_count < 4:
                await anyio.sleep(0.01)
        answer = await harness.request(
            '/chat/a', headers=prompt_headers(30_000)
        )
        assert answer.status == 200
        assert answer.body.count(b'id:') == 4
        asked = [req for req in harness.received if req.target != '/-/order']
        assert len(asked) == 1
        assert asked[0].headers['x-expect-instance'] == 'i-1'
