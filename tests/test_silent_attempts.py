"""Silent endpoints: refusals, failures and callers beside them."""

import json
import os
import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Final

import anyio
import pytest
from anyio import abc as anyio_abc

from masticwind.errors import Failure
from masticwind.http_calls import MAX_BODY_BYTES
from masticwind.http_limits import join_chunks
from masticwind.httpclient import HttpStream
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.serving.interfaces import Attempt, AttemptLimits, Reply
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    Script,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)
from tests.endpoint_scripts import refuse, stay_silent
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    ENGINE_SERVICE,
    EntryHarness,
    answer_with_events,
    caller_headers,
    prompt_headers,
    running_entry,
    sample_config_document,
)
from tests.log_records import collected_log_records, count_events
from tests.silent_fleet import SilentFleetOptions, running_silent_fleet

pytestmark = pytest.mark.anyio

# Longer than the time after which an endpoint without an answer is silent.
SILENCE_S: Final = 1.2
TIMEOUT_MS: Final = 4000
# The longest time for which memory may be reserved and not used.
UNUSED_MEMORY_S: Final = 9.0
# Time after which no engine may be at work for a caller who has left.
GONE_S: Final = 0.5
LONG_TIMEOUT_MS: Final = 11_000


def _write_at_once(req: ReceivedRequest, conn: RawConnection) -> None:
    """Write a complete answer without a switch to another task."""
    sock = conn.stream.extra(anyio_abc.SocketAttribute.raw_socket)
    head = encode_head(req, 200, ('Content-Length: 4',))
    answer = b''.join((head, b'done'))
    assert os.write(sock.fileno(), answer) == len(answer)


async def _answer_late(req: ReceivedRequest, conn: RawConnection) -> None:
    await anyio.sleep(SILENCE_S)
    await conn.send_answer(req)


class InTurn:
    """Answers each request by the next script; the last one is repeated."""

    def __init__(self, *scripts: Script) -> None:
        self._scripts: Final = scripts
        self.count = 0

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer one request."""
        script = self._scripts[min(self.count, len(self._scripts) - 1)]
        self.count += 1
        await script(req, conn)


def _fleet(
    script: Script, service: str = CALL_SERVICE, max_attempts: int = 3
) -> AbstractAsyncContextManager[EntryHarness]:
    return running_silent_fleet(
        script,
        SilentFleetOptions(
            timeout_ms=TIMEOUT_MS, service=service, max_attempts=max_attempts
        ),
    )


async def _refuse_late(req: ReceivedRequest, conn: RawConnection) -> None:
    await anyio.sleep(SILENCE_S)
    await refuse(req, conn)


@pytest.mark.parametrize('path', ['/order/a', '/read/a'])
async def test_late_refusal_leads_to_another_endpoint(path: str) -> None:
    """Guards against a call that fails though its endpoint has stated, after
    a silence, that it did not run, and another endpoint would take it.
    """
    endpoints = InTurn(_refuse_late, _answer_now)
    async with _fleet(endpoints.answer, max_attempts=2) as harness:
        answer = await harness.request(path, timeout_ms=TIMEOUT_MS)
        assert (answer.status, answer.body) == (200, b'done')


@pytest.mark.parametrize('path', ['/order/a', '/read/a'])
async def test_late_refusal_by_all_endpoints_is_answered_as_not_run(
    path: str,
) -> None:
    """Guards against 502 for a call that no endpoint has run."""
    endpoints = InTurn(_refuse_late, refuse)
    async with _fleet(endpoints.answer) as harness:
        answer = await harness.request(path, timeout_ms=TIMEOUT_MS)
        assert answer.status == 503


async def _answer_now(req: ReceivedRequest, conn: RawConnection) -> None:
    await conn.send_answer(req)


async def test_slow_orders_do_not_exclude_their_zone() -> None:
    """Guards against endpoints, and their zone, that count as unreachable
    since calls that may run once take longer than others.
    """
    with collected_log_records() as records:
        async with _fleet(_answer_late) as harness:
            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(_order, harness, f'r{number}')
        assert not count_events(records)['zone_unreachable']


async def _order(harness: EntryHarness, request_id: str) -> None:
    answer = await harness.request(
        '/order/a', request_id=request_id, timeout_ms=TIMEOUT_MS
    )
    assert answer.status == 200


async def test_failure_status_is_passed_on_beside_a_dead_endpoint() -> None:
    """Guards against 504 at the deadline for a call that an endpoint has
    answered with a failure, beside one that is gone.
    """

    async def fail(req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.send_answer(req, 500, b'failed')

    endpoints = InTurn(stay_silent, fail)
    async with _fleet(endpoints.answer) as harness:
        answer = await harness.request('/read/a', timeout_ms=TIMEOUT_MS)
        assert (answer.status, answer.body) == (500, b'failed')


@pytest.mark.parametrize(
    'change', ['registration', 'route', 'service', 'key', 'limits']
)
async def test_silent_call_is_answered_though_the_configuration_changes(
    change: str,
) -> None:
    """Guards against a call that ends at a silent endpoint since a change has
    removed what it was admitted with.
    """
    silent = anyio.Event()

    async def answer_late(req: ReceivedRequest, conn: RawConnection) -> None:
        silent.set()
        await _answer_late(req, conn)

    endpoints = InTurn(answer_late, refuse)
    async with _fleet(endpoints.answer) as harness:

        async def remove() -> None:
            await silent.wait()
            document = sample_config_document(version=4)
            if change == 'registration':
                for identity in harness.endpoints:
                    harness.store.write(f'servers/{identity}', None)
                return
            if change == 'route':
                document['routes'] = document['routes'][2:]
            elif change == 'service':
                document['routes'] = document['routes'][2:3]
                document['services'] = document['services'][1:]
            elif change == 'key':
                document['tenants'] = []
            else:
                document['services'][0]['max_conns'] = 0
            harness.write_config(document)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(remove)
            answer = await harness.request('/read/a', timeout_ms=TIMEOUT_MS)
        assert (answer.status, answer.body) == (200, b'done')


@pytest.mark.parametrize(
    'anyio_backend', ['asyncio', ('asyncio', {'use_uvloop': True})]
)
async def test_pause_of_the_entry_is_no_silence_of_its_endpoints() -> None:
    """Guards against endpoints that count as silent, and requests that are
    sent twice, since the entry itself did not run for a while.
    """

    async def answer_in_time(req: ReceivedRequest, conn: RawConnection) -> None:
        await anyio.sleep(0.1)
        _write_at_once(req, conn)
        # The entry runs in this process.
        time.sleep(SILENCE_S)  # noqa: ASYNC251

    endpoints = InTurn(answer_in_time)
    with collected_log_records() as records:
        async with _fleet(endpoints.answer) as harness:
            answer = await harness.request('/read/a', timeout_ms=TIMEOUT_MS)
            assert answer.status == 200
            await anyio.sleep(0.2)
            assert endpoints.count == 1
        events = count_events(records)
        assert events['attempt_sent'] == 1
        assert not events['endpoint_silent']


class RaisingClient(PlatformEndpointClient):
    """Raises instead of sending a second attempt."""

    def __init__(self) -> None:
        super().__init__()
        self._attempt_count = 0

    @asynccontextmanager
    async def send(
        self, attempt: Attempt, limits: AttemptLimits
    ) -> AsyncIterator[Reply | Failure]:
        """Send the first attempt."""
        self._attempt_count += 1
        if self._attempt_count > 1:
            raise ValueError('raised by the client')
        async with super().send(attempt, limits) as reply:
            yield reply


async def test_exception_in_a_successor_does_not_end_a_silent_attempt() -> None:
    """Guards against a call that fails at a sound endpoint for a bug in the
    attempt that would have replaced it.
    """
    async with running_entry(endpoint_client=RaisingClient()) as harness:
        for identity in ('e-1', 'e-2'):
            await harness.start_endpoint(identity, _answer_late)
        answer = await harness.request('/read/a')
        assert (answer.status, answer.body) == (200, b'done')


@pytest.mark.parametrize('events_before', [0, 2])
async def test_caller_that_leaves_ends_all_attempts(events_before: int) -> None:
    """Guards against engines at work for a caller who has left beside a
    successor.
    """
    closed_at: list[float] = []

    async def stream_and_watch(
        req: ReceivedRequest, conn: RawConnection
    ) -> None:
        if not endpoints_seen:
            await conn.write(encode_stream_head(req))
            for number in range(1, events_before + 1):
                await conn.write(encode_event_chunk(number))
        endpoints_seen.append(req)
        try:
            await conn.stream.receive(1)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            closed_at.append(anyio.current_time())
        await conn.close()

    endpoints_seen: list[ReceivedRequest] = []
    async with _fleet(stream_and_watch, ENGINE_SERVICE) as harness:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read_stream, harness)
            while len(endpoints_seen) < 2:
                await anyio.sleep(0.02)
            await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()
        left_at = anyio.current_time()
        with anyio.move_on_after(2):
            while len(closed_at) < 2:
                await anyio.sleep(0.01)
        assert len(closed_at) == 2
        assert max(closed_at) - left_at < GONE_S


async def _read_stream(harness: EntryHarness) -> None:
    async with harness.client.stream(
        'POST',
        '/chat/a',
        timeout_s=TIMEOUT_MS / 1000,
        headers=(
            *caller_headers(API_KEY, 'r1', TIMEOUT_MS),
            *prompt_headers(),
        ),
    ) as stream:
        assert isinstance(stream, HttpStream)
        await join_chunks(stream.chunks, MAX_BODY_BYTES)


async def test_call_that_is_given_up_is_answered_beside_a_successor() -> None:
    """Guards against a call without an answer, or with a promise that it has
    not run, if the process ends while two endpoints work on it.
    """
    endpoints = InTurn(stay_silent)
    async with (
        _fleet(endpoints.answer) as harness,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(_give_up_at_two, harness, endpoints)
        started = anyio.current_time()
        answer = await harness.request('/read/a', timeout_ms=TIMEOUT_MS)
        assert answer.status == 504
        assert anyio.current_time() - started < TIMEOUT_MS / 2000


async def _give_up_at_two(harness: EntryHarness, endpoints: InTurn) -> None:
    while endpoints.count < 2:
        await anyio.sleep(0.02)
    await harness.entry._app.give_up_requests()


@pytest.mark.parametrize(
    'anyio_backend', ['asyncio', ('asyncio', {'use_uvloop': True})]
)
async def test_simultaneous_answers_count_as_one_served_request() -> None:
    """Guards against a served request that is counted and logged as failed
    since two endpoints have answered at the same time.
    """
    waiting: list[tuple[ReceivedRequest, RawConnection]] = []

    async def answer_together(
        req: ReceivedRequest, conn: RawConnection
    ) -> None:
        waiting.append((req, conn))
        if len(waiting) < 2:
            await anyio.sleep(TIMEOUT_MS / 1000)
            return
        await anyio.sleep(0.1)
        for one_req, one_conn in waiting:
            _write_at_once(one_req, one_conn)

    with collected_log_records() as records:
        async with _fleet(answer_together) as harness:
            answer = await harness.request('/read/a', timeout_ms=TIMEOUT_MS)
            assert (answer.status, answer.body) == (200, b'done')
            await anyio.sleep(0.2)
            telemetry = harness.entry._telemetry
            assert telemetry.requests.labels('served')._value.get() == 1
        events = count_events(records)
        assert events['attempt_done'] == 1
        assert events['attempt_superseded'] == 1
        assert not events['attempt_failed']
        assert not events['request_failed']


async def test_memory_is_not_kept_for_a_lead_that_stays_silent() -> None:
    """Guards against memory that stays reserved, though no engine uses it,
    until the deadline of a request whose lead does not answer any more.
    """
    reserved_at: dict[str, float] = {}
    held_s: list[float] = []
    attempts: list[ReceivedRequest] = []

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.target == '/-/order':
            order = json.loads(req.body)
            now = anyio.current_time()
            began_at = reserved_at.setdefault(order['id'], now)
            if order['op'] == 'release':
                held_s.append(now - began_at)
            await conn.send_answer(req, body=b'{}')
            return
        attempts.append(req)
        if len(attempts) > 1:
            await refuse(req, conn)
            return
        await anyio.sleep_forever()

    document = sample_config_document()
    document['services'][1]['engine']['kv_capacity'] = 8000
    for route in document['routes']:
        route['timeout_ms'] = LONG_TIMEOUT_MS
    async with running_entry(document) as harness:
        for number in range(4):
            await harness.start_endpoint(f'e-{number}', script, ENGINE_SERVICE)
        await harness.wait_until_endpoints_known()
        async with harness.client.stream(
            'POST',
            '/chat/a',
            timeout_s=LONG_TIMEOUT_MS / 1000 + 1,
            headers=(
                *caller_headers(API_KEY, 'r1', LONG_TIMEOUT_MS),
                *prompt_headers(tokens=9000),
            ),
        ) as stream:
            assert isinstance(stream, HttpStream)
            assert stream.status >= 500
        with anyio.fail_after(1):
            while len(held_s) < len(reserved_at):
                await anyio.sleep(0.01)
    assert held_s
    assert max(held_s) < UNUSED_MEMORY_S


async def test_endpoint_that_does_not_answer_orders_is_avoided() -> None:
    """Guards against an endpoint that gets all calls which may run once, though
    it answers none of them before the deadline.
    """
    endpoints = InTurn(stay_silent, _answer_now)
    async with _fleet(endpoints.answer) as harness:
        answer = await harness.request('/order/a', timeout_ms=1000)
        assert answer.status == 504
        received = harness.received
        answer = await harness.request('/order/a', request_id='r2')
        assert answer.status == 200
        assert len(harness.received) == len(received) + 1
        assert all(one.received for one in harness.endpoints.values())


async def test_silence_until_a_short_deadline_counts_against_the_zone() -> None:
    """Guards against a zone that counts as reached, since the deadlines of
    calls come before their endpoints count as silent.
    """
    with collected_log_records() as records:
        async with _fleet(stay_silent) as harness:
            async with anyio.create_task_group() as tasks:
                for number in range(2):
                    tasks.start_soon(_order_in_vain, harness, f'r{number}')
        assert count_events(records)['zone_unreachable']


async def _order_in_vain(harness: EntryHarness, request_id: str) -> None:
    answer = await harness.request(
        '/order/a', request_id=request_id, timeout_ms=500
    )
    assert answer.status == 504


async def test_engine_that_writes_single_bytes_is_replaced() -> None:
    """Guards against an engine that keeps a stream by bytes of no event."""

    async def write_single_bytes(
        req: ReceivedRequest, conn: RawConnection
    ) -> None:
        await conn.write(encode_stream_head(req))
        while True:
            await conn.write(b'1\r\n:\r\n')
            await anyio.sleep(0.002)

    endpoints = InTurn(write_single_bytes, answer_with_events)
    async with _fleet(endpoints.answer, ENGINE_SERVICE) as harness:
        started = anyio.current_time()
        answer = await harness.request(
            '/chat/a',
            method='POST',
            timeout_ms=TIMEOUT_MS,
            headers=prompt_headers(),
        )
        assert answer.status == 200
        assert anyio.current_time() - started < TIMEOUT_MS / 2000
