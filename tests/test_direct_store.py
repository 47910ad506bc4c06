"""Troubles of the metadata store, as callers see them."""

import json

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.httpclient import HttpClient
from masticwind.platform.store import PlatformStore
from masticwind.serving.settings import FleetBounds, StoreSettings
from masticwind.serving.store import Changes, Item, Listing
from masticwind.settings import Address
from masticwind.web import (
    Receive,
    Scope,
    Send,
    WebServer,
    json_response,
    send_response,
)
from tests.entry_harness import (
    CALLS,
    EntryHarness,
    answer_whole,
    encoded,
    registration,
    route,
    running_entry,
    sample_document,
)

pytestmark = pytest.mark.anyio


async def test_serving_goes_on_while_the_store_is_down() -> None:
    """Guards against an outage that stops requests without a key."""
    bounds = FleetBounds(key_age_ms=600)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        harness.store.switches.outage = True
        await anyio.sleep(2)
        assert (await harness.request('/open/a')).status == 200


async def test_keys_stop_working_when_the_copy_is_too_old() -> None:
    """Guards against a key that was taken away and goes on working at an
    entry that cannot reach the store; the answer is 503, not 401.
    """
    bounds = FleetBounds(key_age_ms=2000)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        harness.store.switches.silent = True
        harness.write_config(sample_document(version=9, tenants=[]))
        await anyio.sleep(2.1)
        count = len(harness.received)
        answer = await harness.request('/read/a')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert (await harness.request('/read/a', key='unknown')).status == 503
        assert len(harness.received) == count


async def test_entry_that_cannot_accept_keys_is_not_ready() -> None:
    """Guards against callers that the balancer keeps sending to an entry
    that has lost the store while other entries have not.
    """
    bounds = FleetBounds(key_age_ms=2000)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        assert await _ready(harness) == 200
        harness.store.switches.outage = True
        await anyio.sleep(2.1)
        assert await _ready(harness) == 503
        harness.store.switches.outage = False
        with anyio.fail_after(3):
            while await _ready(harness) != 200:
                await anyio.sleep(0.05)


async def _ready(harness: EntryHarness) -> int:
    client = HttpClient(f'http://127.0.0.1:{harness.entry.ready_port}')
    answer = await client.request('GET', '/ready', timeout_s=1)
    await client.close()
    assert not isinstance(answer, Failure)
    return answer.status


async def test_unknown_routes_are_not_missing_in_an_old_copy() -> None:
    """Guards against 404 for a route that was added during an outage."""
    bounds = FleetBounds(key_age_ms=500)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/open/a')
        harness.store.switches.outage = True
        await anyio.sleep(2)
        assert (await harness.request('/added/a')).status == 503


async def test_compaction_loses_no_change() -> None:
    """Guards against a change that lies in the part of the history that the
    store has dropped.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        harness.store.switches.deaf = True
        await anyio.sleep(0.1)
        newer = sample_document(version=9)
        newer['routes'].append(route('late'))
        harness.write_config(newer)
        harness.register('i-1', CALLS, state='draining')
        harness.store.compact()
        harness.store.switches.deaf = False
        await harness.start_endpoint('i-2', answer_whole)
        await harness.wait_until_served('/late/a')
        count = len(harness.endpoints['i-1'].received)
        for _ in range(5):
            await harness.request('/late/a')
        assert len(harness.endpoints['i-1'].received) == count


async def test_lapsed_registration_is_used_until_it_is_missing_for_long() -> (
    None
):
    """Guards against a fleet without endpoints after an outage in which all
    registrations lapsed, and against an endpoint that stays for good.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.start_endpoint('i-2', answer_whole)
        await harness.wait_until_served('/open/a')
        harness.store.switches.outage = True
        await anyio.sleep(1.2)
        harness.store.write('servers/i-1', None)
        harness.store.write('servers/i-2', None)
        harness.store.switches.outage = False
        for _ in range(8):
            assert (await harness.request('/open/a')).status == 200
            await anyio.sleep(0.05)
        harness.register('i-1', CALLS)
        await anyio.sleep(3)
        count = len(harness.endpoints['i-2'].received)
        for _ in range(6):
            assert (await harness.request('/open/a')).status == 200
        assert len(harness.endpoints['i-2'].received) == count


@pytest.mark.parametrize(
    'value',
    [
        b'\xff\xfe not json',
        b'[]',
        b'{}',
        json.dumps({'service': CALLS, 'addr': 5, 'zone': 'z'}).encode(),
        json.dumps(
            {
                'service': CALLS,
                'addr': '127.0.0.1:1',
                'zone': 'z',
                'state': 'unheard-of',
            }
        ).encode(),
        json.dumps(
            {
                'service': CALLS,
                'addr': 'nowhere',
                'zone': 'z',
                'state': 'ready',
            }
        ).encode(),
        registration(70_000),
        registration(0),
        registration(9, addr='nowhere.example:9'),
        registration(9, addr=':9'),
    ],
)
async def test_registration_of_another_writer_names_no_endpoint(
    value: bytes,
) -> None:
    """Guards against an unreadable registration that hides the others."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        harness.store.write('servers/odd', value)
        await harness.wait_until_served('/read/a')
        for _ in range(4):
            assert (await harness.request('/read/a')).status == 200


@pytest.mark.parametrize('value', [b'\xff', b'[]', b'{"version": 99}'])
async def test_unusable_configuration_leaves_the_one_in_force(
    value: bytes,
) -> None:
    """Guards against a configuration that cannot be read taking effect."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        harness.store.write('op/config', value)
        await anyio.sleep(0.2)
        assert (await harness.request('/read/a')).status == 200


async def test_calls_to_the_store_stay_few() -> None:
    """Guards against a storm of calls during and after an outage."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        harness.store.switches.outage = True
        await anyio.sleep(1)
        harness.store.calls.clear()
        await anyio.sleep(2)
        harness.store.switches.outage = False
        await anyio.sleep(1)
        # Three prefixes, and the entry's own registration.
        assert sum(harness.store.calls.values()) <= 4 * 3 * 4


async def test_entry_registers_again_after_its_lease_has_ended() -> None:
    """Guards against an entry that the others no longer count."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_whole)
        await harness.wait_until_served('/read/a')
        key = 'masticwind/entries/entry-1'
        assert harness.store.read(key) is not None
        harness.store.end_leases()
        assert harness.store.read(key) is None
        with anyio.fail_after(4):
            while harness.store.read(key) is None:
                await anyio.sleep(0.05)


async def test_unreadable_value_leaves_out_only_its_key() -> None:
    """Guards against a listing or a watch that one bad value breaks."""
    rows = [
        {'key': 'op/bad', 'rev': 5, 'value': '?'},
        {'key': 'op/good', 'rev': 6, 'value': encoded(b'here')},
        {'key': 'op/gone', 'rev': 7, 'deleted': True},
    ]

    async def answer(scope: Scope, _receive: Receive, send: Send) -> None:
        listed = 'items' if scope['path'] == '/-/kv-range' else 'events'
        body = {listed: rows, 'as_of': 7, 'has_more': False}
        await send_response(send, json_response(200, body))

    server = WebServer(answer, Address())
    store = PlatformStore(StoreSettings(address=f'127.0.0.1:{server.port}'))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        wanted = (Item('op/good', b'here', 6), Item('op/gone', None, 7))
        assert await store.list_prefix('op/') == Listing(wanted, 7)
        assert await store.watch_prefix('op/', 4, 0) == Changes(wanted, 7)
        tasks.cancel_scope.cancel()
