"""Requests through an entry that serves endpoints directly."""

import anyio
import pytest

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient
from masticwind.serving.settings import FleetBounds
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    ENGINE_SERVICE,
    answer_completely,
    answer_with_events,
    caller_headers,
    prompt_headers,
    route_document,
    running_entry,
    sample_config_document,
)

pytestmark = pytest.mark.anyio


async def test_request_is_forwarded_unchanged() -> None:
    """Guards against a changed method, path, query or body, an API key that is
    forwarded, a missing team or identity, and a time limit longer than the
    remaining time.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
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


async def test_deadline_is_limited_by_the_route() -> None:
    """Guards against an endpoint that works longer than the route allows."""
    document = sample_config_document()
    document['routes'].append(route_document('quick', timeout_ms=800))
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/quick/a')
        assert int(harness.received[-1].headers['x-deadline-ms']) <= 800


async def test_configured_header_limit_applies_to_callers() -> None:
    """Guards against a built-in limit that refuses headers which the
    configuration allows.
    """
    document = sample_config_document()
    document['limits'] = {'max_header_bytes': 60_000}
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        long_header = (b'X-Long', b'x' * 50_000)
        answer = await harness.request('/read/a', headers=(long_header,))
        assert answer.status == 200
        document['limits'] = {'max_header_bytes': 5000}
        document['version'] += 1
        harness.write_config(document)
        with anyio.fail_after(5):
            while answer.status == 200:
                answer = await harness.request(
                    '/read/a', headers=(long_header,)
                )
        assert answer.status == 400


@pytest.mark.parametrize('value', [b'nan', b'inf', b'soon'])
async def test_invalid_deadline_is_rejected(value: bytes) -> None:
    """Guards against a request that never times out because its deadline is not
    a finite number.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        received_before = len(harness.received)
        answer = await harness.client.request(
            'GET',
            '/read/a',
            timeout_s=2,
            headers=(
                *caller_headers(API_KEY, 'r1', 100)[:2],
                (b'Authorization', f'Bearer {API_KEY}'.encode()),
                (b'X-Deadline-Ms', value),
            ),
        )
        assert not isinstance(answer, Failure)
        assert answer.status == 400
        assert len(harness.received) == received_before


async def test_longest_matching_prefix_selects_the_route() -> None:
    """Guards against a route that takes the requests of a route with a longer
    prefix, or of paths that only begin like its prefix.
    """
    document = sample_config_document()
    document['routes'].append(route_document('read/deep', service='other'))
    document['services'].append({'name': 'other', 'max_conns': 10})
    async with running_entry(document) as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.start_endpoint('i-2', answer_completely, 'other')
        await harness.wait_until_served('/read/deep/x')
        assert not harness.endpoints['i-1'].received
        assert (await harness.request('/readdeep/x')).status == 404


async def test_api_keys_are_required_except_on_public_routes() -> None:
    """Guards against unknown API keys that are accepted, and public routes that
    require a key.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        assert (await harness.request('/read/a', key='wrong')).status == 401
        assert (await harness.request('/open/a', key='wrong')).status == 200
        assert 'x-tenant' not in harness.received[-1].headers


async def test_entry_without_a_configuration_is_unavailable() -> None:
    """Guards against 404 and 401 from an entry that has no configuration."""
    async with running_entry({'broken': True}) as harness:
        answer = await harness.request('/read/a')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0


async def test_entry_becomes_ready_once_it_has_read_the_store() -> None:
    """Guards against an entry that never becomes ready after it has read the
    store.
    """
    async with running_entry() as harness:
        readiness_client = HttpClient(
            f'http://127.0.0.1:{harness.entry.ready_port}'
        )
        with anyio.fail_after(5):
            while True:
                answer = await readiness_client.request(
                    'GET', '/any', timeout_s=1
                )
                assert not isinstance(answer, Failure)
                if answer.status == 200:
                    break
                await anyio.sleep(0.01)


async def test_stream_is_relayed_event_by_event() -> None:
    """Guards against events that are held back until the stream ends."""
    second_allowed = anyio.Event()

    async def script(req: ReceivedRequest, conn: RawConnection) -> None:
        await answer_two_events(req, conn, second_allowed)

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script, ENGINE_SERVICE)
        await harness.start_endpoint('c-1', answer_completely)
        await harness.wait_until_served('/read/a')
        async with harness.client.stream(
            'POST',
            '/chat/x',
            timeout_s=5,
            headers=(*caller_headers(API_KEY, 's1', 5000), *prompt_headers()),
        ) as answer:
            assert not isinstance(answer, Failure)
            chunks = aiter(answer.chunks)
            assert b'id: 1\n' in await anext(chunks)
            second_allowed.set()
            rest = b''.join([chunk async for chunk in chunks])
            assert b'id: 2\n' in rest


async def answer_two_events(
    req: ReceivedRequest,
    conn: RawConnection,
    second_allowed: anyio.Event,
) -> None:
    """Answer with two events, the second one after `second_allowed` is set."""
    from masticwind_dev.standins import raw_endpoint as raw

    await conn.write(raw.encode_stream_head(req))
    await conn.write(raw.encode_event_chunk(1))
    await second_allowed.wait()
    await conn.write(raw.encode_event_chunk(2))
    await conn.write(raw.LAST_CHUNK)


async def test_disconnect_of_the_caller_cancels_the_request() -> None:
    """Guards against an endpoint that goes on working after its caller has
    disconnected.
    """
    disconnected = anyio.Event()

    async def script(_req: ReceivedRequest, conn: RawConnection) -> None:
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await conn.stream.receive(1)
        disconnected.set()
        conn.closed = True

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('e-1', answer_with_events, ENGINE_SERVICE)
        await harness.wait_until_endpoints_known()
        with anyio.move_on_after(0.5):
            await harness.request('/order/a', method='POST')
        with anyio.fail_after(1):
            await disconnected.wait()


async def test_older_configuration_version_is_ignored() -> None:
    """Guards against a configuration that reverts to an older version."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        newer_config = sample_config_document(version=9)
        newer_config['routes'].append(route_document('late'))
        harness.write_config(newer_config)
        await harness.wait_until_served('/late/a')
        harness.write_config(sample_config_document(version=5))
        await anyio.sleep(0.3)
        assert (await harness.request('/late/a')).status == 200


async def test_evacuated_zone_and_draining_endpoint_get_no_new_requests() -> (
    None
):
    """Guards against new requests for a zone that was taken out of service and
    for an endpoint that drains.
    """
    bounds = FleetBounds(leave_ms=1000)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint(
            'i-1', answer_completely, CALL_SERVICE, zone='zone-a'
        )
        await harness.start_endpoint(
            'i-2', answer_completely, CALL_SERVICE, zone='zone-b'
        )
        await harness.wait_until_served('/read/a')
        harness.store.write('op/evacuate/zone-a', b'{}')
        await anyio.sleep(0.2)
        received_in_zone = len(harness.endpoints['i-1'].received)
        for _ in range(5):
            assert (await harness.request('/read/a')).status == 200
        assert len(harness.endpoints['i-1'].received) == received_in_zone
        harness.store.write('op/evacuate/zone-a', None)
        harness.register('i-2', CALL_SERVICE, zone='zone-b', state='draining')
        await anyio.sleep(bounds.leave_ms / MS_PER_S)
        received_when_draining = len(harness.endpoints['i-2'].received)
        for _ in range(5):
            assert (await harness.request('/read/a')).status == 200
        assert len(harness.endpoints['i-2'].received) == received_when_draining
