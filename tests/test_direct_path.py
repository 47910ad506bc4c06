"""The whole path of an entry that serves endpoints directly."""

import anyio
import pytest

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient
from masticwind.serving.settings import FleetBounds
from masticwind_dev.standins.raw_endpoint import RawConnection, Received
from tests.entry_harness import (
    CALLS,
    ENGINES,
    KEY,
    answer_events,
    answer_whole,
    caller_headers,
    prompt_headers,
    route,
    running_entry,
    sample_document,
)

pytestmark = pytest.mark.anyio


async def test_request_arrives_unchanged() -> None:
    """Guards against a changed method, path, query or body, a key that is
    passed on, a missing team or identity, and a longer time than is left.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        answer = await harness.request(
            '/order/b%20c?x=%C3%A4&y=1',
            method='POST',
            body=b'\x00bytes',
            request_id='order-1',
            timeout_ms=2500,
            headers=((b'X-Own', b'kept'), (b'X-Tenant', b'forged')),
        )
        assert answer.status == 200
        assert answer.body == b'done'
        assert answer.headers['x-server-seal'] == '3e1b.07'
        req = harness.received[-1]
        assert req.method == 'POST'
        assert req.target == '/order/b%20c?x=%C3%A4&y=1'
        assert req.body == b'\x00bytes'
        assert req.headers['x-own'] == 'kept'
        assert req.headers['x-attempt-id'] == 'order-1'
        assert req.headers['x-tenant'] == 'team-a'
        assert req.headers['x-expect-instance'] == 'i-1'
        assert 'authorization' not in req.headers
        assert 0 < int(req.headers['x-deadline-ms']) <= 2500


async def test_deadline_is_bounded_by_the_route() -> None:
    """Guards against an endpoint that works longer than the route allows."""
    document = sample_document()
    document['routes'].append(route('quick', timeout_ms=800))
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/quick/a')
        assert int(harness.received[-1].headers['x-deadline-ms']) <= 800


async def test_limits_of_the_configuration_hold_for_callers() -> None:
    """Guards against headers that are refused by a limit of our own."""
    document = sample_document()
    document['limits'] = {'max_header_bytes': 60_000}
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        long = (b'X-Long', b'x' * 50_000)
        answer = await harness.request('/read/a', headers=(long,))
        assert answer.status == 200
        document['limits'] = {'max_header_bytes': 5000}
        document['version'] += 1
        harness.write_config(document)
        with anyio.fail_after(5):
            while answer.status == 200:
                answer = await harness.request('/read/a', headers=(long,))
        assert answer.status == 400


@pytest.mark.parametrize('value', [b'nan', b'inf', b'soon'])
async def test_time_that_is_no_number_is_refused(value: bytes) -> None:
    """Guards against a request without an end because its time is no time."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        count = len(harness.received)
        answer = await harness.client.request(
            'GET',
            '/read/a',
            timeout_s=2,
            headers=(
                *caller_headers(KEY, 'r1', 100)[:2],
                (b'Authorization', f'Bearer {KEY}'.encode()),
                (b'X-Deadline-Ms', value),
            ),
        )
        assert not isinstance(answer, Failure)
        assert answer.status == 400
        assert len(harness.received) == count


async def test_longest_prefix_wins_and_others_are_not_found() -> None:
    """Guards against a route that takes the requests of a longer one."""
    document = sample_document()
    document['routes'].append(route('read/deep', service='other'))
    document['services'].append({'name': 'other', 'max_conns': 10})
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.start_endpoint('i-2', answer_whole, 'other')
        await harness.wait_until_served('/read/deep/x')
        assert not harness.endpoints['i-1'].received
        assert (await harness.request('/readdeep/x')).status == 404


async def test_keys_decide_except_on_public_routes() -> None:
    """Guards against unknown keys that are served, and public routes that
    ask for a key.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        assert (await harness.request('/read/a', key='wrong')).status == 401
        assert (await harness.request('/open/a', key='wrong')).status == 200
        assert 'x-tenant' not in harness.received[-1].headers


async def test_without_a_configuration_nothing_is_said_to_be_missing() -> None:
    """Guards against 404 and 401 from an entry that knows no configuration."""
    async with running_entry({'broken': True}) as harness:
        answer = await harness.request('/read/a')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_readiness_follows_the_first_copies() -> None:
    """Guards against callers that are sent to an entry without a copy."""
    async with running_entry() as harness:
        ready = HttpClient(f'http://127.0.0.1:{harness.entry.ready_port}')
        with anyio.fail_after(5):
            while True:
                answer = await ready.request('GET', '/any', timeout_s=1)
                assert not isinstance(answer, Failure)
                if answer.status == 200:
                    break
                await anyio.sleep(0.01)


async def test_stream_is_relayed_event_by_event() -> None:
    """Guards against events that wait for the end of the stream."""
    second = anyio.Event()

    async def script(req: Received, conn: RawConnection) -> None:
        await answer_slowly(req, conn, second)

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script, ENGINES)
        await harness.start_endpoint('c-1', answer_whole)
        await harness.wait_until_served('/read/a')
        async with harness.client.stream(
            'POST',
            '/chat/x',
            timeout_s=5,
            headers=(*caller_headers(KEY, 's1', 5000), *prompt_headers()),
        ) as answer:
            assert not isinstance(answer, Failure)
            chunks = aiter(answer.chunks)
            assert b'id: 1\n' in await anext(chunks)
            second.set()
            rest = b''.join([chunk async for chunk in chunks])
            assert b'id: 2\n' in rest


async def answer_slowly(
    req: Received,
    conn: RawConnection,
    second: anyio.Event,
) -> None:
    """Answer with two events; the second one only when told."""
    from masticwind_dev.standins import raw_endpoint as raw

    await conn.write(raw.stream_head(req))
    await conn.write(raw.event_chunk(1))
    await second.wait()
    await conn.write(raw.event_chunk(2))
    await conn.write(raw.LAST_CHUNK)


async def test_caller_that_leaves_stops_the_endpoint() -> None:
    """Guards against work that goes on after its caller has left."""
    hung_up = anyio.Event()

    async def script(_req: Received, conn: RawConnection) -> None:
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await conn.stream.receive(1)
        hung_up.set()
        conn.closed = True

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('e-1', answer_events, ENGINES)
        await harness.wait_until_known()
        with anyio.move_on_after(0.5):
            await harness.request('/order/a', method='POST')
        with anyio.fail_after(1):
            await hung_up.wait()


async def test_newer_version_wins_and_older_is_ignored() -> None:
    """Guards against a configuration that reverts."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        newer = sample_document(version=9)
        newer['routes'].append(route('late'))
        harness.write_config(newer)
        await harness.wait_until_served('/late/a')
        harness.write_config(sample_document(version=5))
        await anyio.sleep(0.3)
        assert (await harness.request('/late/a')).status == 200


async def test_evacuated_zone_and_leaving_endpoint_get_nothing_new() -> None:
    """Guards against new work for a zone that was taken out and for an
    endpoint that leaves.
    """
    bounds = FleetBounds(leave_ms=1000)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_whole, CALLS, zone='zone-a')
        await harness.start_endpoint('i-2', answer_whole, CALLS, zone='zone-b')
        await harness.wait_until_served('/read/a')
        harness.store.write('op/evacuate/zone-a', b'{}')
        await anyio.sleep(0.2)
        count = len(harness.endpoints['i-1'].received)
        for _ in range(5):
            assert (await harness.request('/read/a')).status == 200
        assert len(harness.endpoints['i-1'].received) == count
        harness.store.write('op/evacuate/zone-a', None)
        harness.register('i-2', CALLS, zone='zone-b', state='draining')
        await anyio.sleep(bounds.leave_ms / MS_PER_S)
        gone = len(harness.endpoints['i-2'].received)
        for _ in range(5):
            assert (await harness.request('/read/a')).status == 200
        assert len(harness.endpoints['i-2'].received) == gone
