"""Answers of endpoints that are lost, faulty or not verifiable.

Each test checks what the caller is told and how often endpoints receive the
request.
"""

from collections.abc import Callable

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.serving.admission.bounds import RetryBudget
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    Script,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)
from tests.endpoint_scripts import (
    answer_other_request,
    answer_wrong_endpoint,
    close_without_answer,
    send_invalid_http,
    truncate_body,
)
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    ENGINE_SERVICE,
    EntryHarness,
    answer_completely,
    answer_with_events,
    caller_headers,
    free_udp_port,
    prompt_headers,
    registration_json,
    route_document,
    running_entry,
    sample_config_document,
)

pytestmark = pytest.mark.anyio


async def answer_not_run(req: ReceivedRequest, conn: RawConnection) -> None:
    """Answer 503 with the statement that the request was not run."""
    await conn.write(
        encode_head(req, 503, ('X-Not-Executed: 1', 'Content-Length: 0'))
    )


async def answer_without_seal(
    req: ReceivedRequest, conn: RawConnection
) -> None:
    """Answer without the seal that proves an endpoint as the sender."""
    await conn.write(
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {req.headers["x-attempt-id"]}\r\n'
        'Content-Length: 4\r\n\r\nfake'.encode()
    )


async def answer_with_content_encoding(
    req: ReceivedRequest, conn: RawConnection
) -> None:
    """Answer with a content encoding that was not requested."""
    await conn.send_answer(req, headers=('Content-Encoding: gzip',))


async def answer_busy_without_not_run(
    req: ReceivedRequest, conn: RawConnection
) -> None:
    """Answer 503 without the statement that the request was not run."""
    await conn.send_answer(req, 503, b'busy')


async def answer_failure(req: ReceivedRequest, conn: RawConnection) -> None:
    """Answer with a failure of a request that ran."""
    await conn.send_answer(req, 500, b'failed')


def first_then(first: Script, rest: Script) -> Script:
    """Return a script that runs `first` once and `rest` afterwards.

    Requests of `_warm_up` get a normal answer.
    """
    calls: list[bool] = []

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.headers['x-attempt-id'].startswith('warm'):
            await answer_completely(req, conn)
            return
        chosen = rest if calls else first
        calls.append(True)
        await chosen(req, conn)

    return script


async def _warm_up(harness: EntryHarness) -> None:
    with anyio.fail_after(5):
        while True:
            answer = await harness.request('/open/a', request_id='warm')
            if answer.status == 200:
                return
            await anyio.sleep(0.02)


FAULTY_ANSWERS = (
    close_without_answer,
    truncate_body,
    answer_other_request,
    answer_without_seal,
    answer_with_content_encoding,
    send_invalid_http,
    answer_busy_without_not_run,
)


def _count_attempts(harness: EntryHarness) -> int:
    return sum(
        not req.headers['x-attempt-id'].startswith('warm')
        for req in harness.received
    )


@pytest.mark.parametrize('faulty_answer', FAULTY_ANSWERS)
async def test_faulty_answer_to_an_order_is_not_forwarded_and_not_retried(
    faulty_answer: Script,
) -> None:
    """Guards against an order that runs twice, a false "not run", and a faulty
    answer that is forwarded as a success.
    """
    # The limit of the route alone would allow another attempt.
    document = sample_config_document()
    document['routes'][1]['max_attempts'] = 2
    async with running_entry(document) as harness:
        script = first_then(faulty_answer, answer_completely)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm_up(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status in {502, 504}
        assert _count_attempts(harness) == 1


@pytest.mark.parametrize('faulty_answer', FAULTY_ANSWERS)
async def test_read_with_a_faulty_answer_is_retried_once(
    faulty_answer: Script,
) -> None:
    """Guards against a read that fails though another endpoint can serve it."""
    async with running_entry() as harness:
        script = first_then(faulty_answer, answer_completely)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm_up(harness)
        answer = await harness.request('/read/a')
        assert answer.status == 200
        assert answer.body == b'done'
        assert _count_attempts(harness) == 2


@pytest.mark.parametrize('refusal', [answer_not_run, answer_wrong_endpoint])
async def test_order_that_was_not_run_is_retried_at_another_endpoint(
    refusal: Script,
) -> None:
    """Guards against an order that fails although it provably did not run."""
    async with running_entry() as harness:
        script = first_then(refusal, answer_completely)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm_up(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 200


async def test_order_that_all_endpoints_refuse_is_reported_as_not_run() -> None:
    """Guards against a 502 for an order that is known not to have run."""
    async with running_entry() as harness:
        script = first_then(answer_not_run, answer_not_run)
        await harness.start_endpoint('i-1', script)
        await _warm_up(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_refusal_after_a_lost_answer_is_not_reported_as_not_run() -> None:
    """Guards against a 503 for a read that an endpoint may have run."""
    async with running_entry() as harness:
        script = first_then(close_without_answer, answer_not_run)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm_up(harness)
        assert (await harness.request('/read/a')).status == 502


async def test_failure_of_an_endpoint_is_forwarded_with_its_seal() -> None:
    """Guards against a failure that loses the endpoint's status or seal."""
    async with running_entry() as harness:
        await harness.start_endpoint(
            'i-1', first_then(answer_failure, answer_failure)
        )
        await _warm_up(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 500
        assert answer.body == b'failed'
        assert answer.headers['x-server-seal'] == '3e1b.07'


async def test_failure_of_the_only_endpoint_is_forwarded() -> None:
    """Guards against a 502 in place of the failure that the endpoint sent, when
    there is no other endpoint for a retry.
    """
    async with running_entry() as harness:
        await harness.start_endpoint(
            'i-1', first_then(answer_failure, answer_failure)
        )
        await _warm_up(harness)
        answer = await harness.request('/read/a')
        assert answer.status == 500
        assert answer.headers['x-server-seal'] == '3e1b.07'


async def test_failure_is_forwarded_if_the_last_retry_is_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a failure of the entry in place of the one that the
    endpoint sent, when another request takes the last retry of the budget.
    """
    monkeypatch.setattr(RetryBudget, 'has_retry', lambda *_: True)
    monkeypatch.setattr(RetryBudget, 'try_acquire', lambda *_: False)
    async with running_entry() as harness:
        script = first_then(answer_failure, answer_failure)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm_up(harness)
        answer = await harness.request('/read/a')
        assert (answer.status, answer.body) == (500, b'failed')
        assert answer.headers['x-server-seal'] == '3e1b.07'
        assert _count_attempts(harness) == 1


async def test_refusal_caused_by_a_helper_keeps_the_leading_endpoint() -> None:
    """Guards against a healthy engine that is excluded because an engine that
    helps it has gone. The refusal names the endpoint at fault.
    """
    received: list[ReceivedRequest] = []

    async def blame_helper(req: ReceivedRequest, conn: RawConnection) -> None:
        received.append(req)
        helpers = req.headers.get('x-helpers', '')
        if helpers and len(received) == 1:
            await conn.write(
                encode_head(
                    req,
                    421,
                    (f'At-Server: {helpers}', 'Content-Length: 0'),
                )
            )
            return
        await answer_with_events(req, conn)

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', blame_helper, ENGINE_SERVICE)
        await harness.start_endpoint('e-2', blame_helper, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a',
            method='POST',
            headers=prompt_headers(tokens=20_000),
        )
        assert answer.status == 200
        first, second = received
        assert first.headers['x-helpers']
        sent_headers = (first.headers, second.headers)
        assert (
            sent_headers[0]['x-expect-instance']
            == sent_headers[1]['x-expect-instance']
        )
        assert 'x-helpers' not in second.headers


async def test_extra_answer_on_a_connection_reaches_no_caller() -> None:
    """Guards against a duplicate answer that is taken for the answer to the
    next request on the connection.
    """

    async def answer_twice(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.send_answer(req, body=b'mine!')
        await conn.send_answer(req, body=b'extra')

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_twice)
        await harness.wait_until_served('/read/a')
        for number in range(6):
            answer = await harness.request('/read/a', request_id=f'r{number}')
            assert answer.status in {200, 502}
            if answer.status == 200:
                assert answer.body == b'mine!'
                assert answer.headers['x-attempt-id'] == f'r{number}'


async def test_answer_delimited_by_connection_close_is_complete() -> None:
    """Guards against the loss of an answer without a length, which ends when
    the connection closes.
    """

    async def answer_until_close(
        req: ReceivedRequest, conn: RawConnection
    ) -> None:
        await conn.write(encode_head(req, 200, ('Connection: close',)))
        await conn.write(b'to the end')
        await conn.close()

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_until_close)
        answer = await harness.wait_until_served('/read/a')
        assert answer.body == b'to the end'


def _stream_cut_after(events: int, cut_in_event: bool) -> Callable[[], Script]:
    def create_script() -> Script:
        calls: list[bool] = []

        async def script(req: ReceivedRequest, conn: RawConnection) -> None:
            if calls:
                await answer_with_events(req, conn)
                return
            calls.append(True)
            await conn.write(encode_stream_head(req))
            for number in range(1, events + 1):
                await conn.write(encode_event_chunk(number))
            if cut_in_event:
                await conn.write(b'c\r\nid: 9\ndata: \r\n')
            await conn.close()

        return script

    return create_script


@pytest.mark.parametrize('events', [0, 1, 3])
@pytest.mark.parametrize('cut_in_event', [False, True])
async def test_broken_stream_is_resumed_at_another_endpoint(
    events: int,
    cut_in_event: bool,
) -> None:
    """Guards against a resumed stream with a missing, duplicate or truncated
    event.
    """
    async with running_entry() as harness:
        script = _stream_cut_after(events, cut_in_event)()
        await harness.start_endpoint('e-1', script, ENGINE_SERVICE)
        await harness.start_endpoint('e-2', script, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a', method='POST', headers=prompt_headers()
        )
        assert answer.status == 200
        expected = [f'id: {number}\ndata: x' for number in range(1, 5)]
        assert answer.body.decode().strip().split('\n\n') == expected


async def test_stream_that_cannot_be_resumed_does_not_look_complete() -> None:
    """Guards against a truncated stream that ends like a complete one."""

    async def cut_stream(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(encode_stream_head(req) + encode_event_chunk(1))
        await conn.close()

    async with running_entry() as harness:
        await harness.start_endpoint('e-1', cut_stream, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        answer = await harness.client.request(
            'POST',
            '/chat/a',
            timeout_s=5,
            headers=(*caller_headers(API_KEY, 's1', 3000), *prompt_headers()),
        )
        assert isinstance(answer, Failure)


async def test_caller_resumes_a_stream_after_its_last_event() -> None:
    """Guards against events that a resuming caller gets twice."""
    async with running_entry() as harness:
        await harness.start_endpoint('e-1', answer_with_events, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a',
            method='POST',
            headers=(*prompt_headers(), (b'Last-Event-Id', b'2')),
        )
        assert b'id: 2\n' not in answer.body
        assert answer.body.startswith(b'id: 3\n')


async def test_stream_of_another_request_is_not_forwarded() -> None:
    """Guards against events of another request in a stream."""

    async def stream_other_request(
        _req: ReceivedRequest, conn: RawConnection
    ) -> None:
        await conn.write(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            + encode_event_chunk(1, 'foreign')
            + LAST_CHUNK
        )

    async with running_entry() as harness:
        await harness.start_endpoint(
            'e-1', stream_other_request, ENGINE_SERVICE
        )
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a', method='POST', headers=prompt_headers()
        )
        assert answer.status == 502
        assert b'foreign' not in answer.body


async def test_read_is_retried_when_an_endpoint_does_not_answer() -> None:
    """Guards against a read that waits for its whole time limit on an endpoint
    that does not answer.
    """

    async def never_answer(_req: ReceivedRequest, _conn: RawConnection) -> None:
        await anyio.sleep(10)

    async with running_entry() as harness:
        script = first_then(never_answer, answer_completely)
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('i-2', script)
        await _warm_up(harness)
        with anyio.fail_after(2):
            answer = await harness.request('/read/a')
        assert answer.status == 200


async def test_order_waits_for_a_slow_endpoint() -> None:
    """Guards against a 504 for an order that an endpoint still runs and that
    has time left.
    """

    async def answer_late(req: ReceivedRequest, conn: RawConnection) -> None:
        await anyio.sleep(1.4)
        await conn.send_answer(req)

    async with running_entry() as harness:
        await harness.start_endpoint(
            'i-1', first_then(answer_late, answer_late)
        )
        await _warm_up(harness)
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 200


async def test_request_is_answered_at_its_deadline() -> None:
    """Guards against a caller that waits beyond its deadline."""

    async def never_answer(_req: ReceivedRequest, _conn: RawConnection) -> None:
        await anyio.sleep(10)

    async with running_entry() as harness:
        await harness.start_endpoint(
            'i-1', first_then(never_answer, never_answer)
        )
        await _warm_up(harness)
        with anyio.fail_after(1):
            answer = await harness.request(
                '/order/a', method='POST', timeout_ms=400
            )
        assert answer.status == 504


async def test_late_prefill_is_not_restarted_at_another_endpoint() -> None:
    """Guards against a long prompt that is abandoned shortly after its target
    time and prefilled again elsewhere. That only delays it further and costs
    other engines the same work again.
    """

    async def answer_late(req: ReceivedRequest, conn: RawConnection) -> None:
        await anyio.sleep(1.6)
        await answer_with_events(req, conn)

    document = sample_config_document()
    document['routes'].append(
        route_document(
            'long',
            kind='streaming',
            service=ENGINE_SERVICE,
            resumable=True,
            gap_target_ms=1000,
            goal_ms=1000,
            timeout_ms=8000,
        )
    )
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_late, ENGINE_SERVICE)
        await harness.start_endpoint('i-2', answer_late, ENGINE_SERVICE)
        answer = await harness.request(
            '/long/a',
            timeout_ms=8000,
            headers=prompt_headers(),
        )
        assert answer.status == 200
        assert answer.body.count(b'id:') == 4
        assert len(harness.received) == 1


@pytest.mark.parametrize('events', [0, 1])
async def test_stalled_stream_is_resumed_at_another_endpoint(
    events: int,
) -> None:
    """Guards against a stalled endpoint that keeps a stream because it sends a
    byte now and then.
    """
    targets: list[str] = []

    async def stall_first(req: ReceivedRequest, conn: RawConnection) -> None:
        targets.append(req.target)
        if len(targets) > 1:
            await answer_with_events(req, conn)
            return
        await conn.write(encode_stream_head(req))
        if events:
            await conn.write(encode_event_chunk(1))
        for _ in range(60):
            await conn.write(b'1\r\n:\r\n')
            await anyio.sleep(0.1)

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', stall_first, ENGINE_SERVICE)
        await harness.start_endpoint('i-2', stall_first, ENGINE_SERVICE)
        answer = await harness.request(
            '/chat/a',
            headers=prompt_headers(),
            timeout_ms=2900,
        )
        assert answer.body.count(b'id:') == 4
        assert len(targets) == 2


async def test_helper_that_is_down_does_not_exclude_leading_endpoints() -> None:
    """Guards against the failure of a prompt that exceeds the memory of one
    engine: the same unreachable helper is asked for memory again and again,
    and each time a healthy leading endpoint is excluded in its place.
    """

    async def answer_as_engine(
        req: ReceivedRequest, conn: RawConnection
    ) -> None:
        if req.target == '/-/order':
            await conn.send_answer(req, body=b'{}')
            return
        await answer_with_events(req, conn)

    document = sample_config_document()
    document['services'][1]['engine']['kv_capacity'] = 20_000
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_as_engine, ENGINE_SERVICE)
        await harness.wait_until_endpoints_known()
        # No process listens on this port.
        harness.store.write(
            'servers/i-2',
            registration_json(await free_udp_port(), ENGINE_SERVICE),
        )
        for name in ('i-3', 'i-4'):
            await harness.start_endpoint(name, answer_as_engine, ENGINE_SERVICE)
        with anyio.fail_after(3):
            while harness.entry.endpoint_count < 4:
                await anyio.sleep(0.01)
        answer = await harness.request(
            '/chat/a', headers=prompt_headers(30_000)
        )
        assert answer.status == 200
        assert answer.body.count(b'id:') == 4
        attempts = [req for req in harness.received if req.target != '/-/order']
        assert len(attempts) == 1
        assert attempts[0].headers['x-expect-instance'] == 'i-1'


async def test_broken_stream_with_reserved_memory_is_resumed() -> None:
    """Guards against a prompt of several engines that fails with its first
    engine, although another one could go on.
    """
    calls: list[bool] = []

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.target == '/-/order':
            await conn.send_answer(req, body=b'{}')
            return
        calls.append(True)
        if calls[1:]:
            await answer_with_events(req, conn)
            return
        await conn.write(encode_stream_head(req))
        await conn.write(encode_event_chunk(1))
        await conn.close()

    document = sample_config_document()
    document['services'][1]['engine']['kv_capacity'] = 8000
    async with running_entry(document) as harness:
        for number in range(4):
            await harness.start_endpoint(f'e-{number}', script, ENGINE_SERVICE)
        await harness.start_endpoint('i-1', answer_completely, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/chat/a', method='POST', headers=prompt_headers(tokens=9000)
        )
        assert answer.status == 200
        assert all(b'id: %d\n' % one in answer.body for one in range(1, 5))
        assert any('x-helpers' in req.headers for req in harness.received)
