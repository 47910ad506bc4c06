"""Faults of the metadata store, as callers see them."""

import json

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.httpclient import HttpClient
from masticwind.platform.store import PlatformStore
from masticwind.serving.settings import FleetBounds, StoreSettings
from masticwind.serving.store import Changes, Item, Listing
from masticwind.serving.store_eras import NO_ERA, StoreRevision
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
    CALL_SERVICE,
    EntryHarness,
    answer_completely,
    encode_base64,
    registration_json,
    route_document,
    running_entry,
    sample_config_document,
)

pytestmark = pytest.mark.anyio


async def test_public_routes_are_served_during_a_store_outage() -> None:
    """Guards against a store outage that stops requests without an API key."""
    bounds = FleetBounds(key_age_ms=600)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        harness.store.switches.outage = True
        await anyio.sleep(2)
        assert (await harness.request('/open/a')).status == 200


async def test_keys_are_not_accepted_from_an_outdated_copy() -> None:
    """Guards against a removed API key that still works at an entry that cannot
    reach the store. The answer is 503, not 401.
    """
    bounds = FleetBounds(key_age_ms=2000)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        harness.store.switches.silent = True
        harness.write_config(sample_config_document(version=9, tenants=[]))
        await anyio.sleep(2.1)
        received_before = len(harness.received)
        answer = await harness.request('/read/a')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert (await harness.request('/read/a', key='unknown')).status == 503
        assert len(harness.received) == received_before


async def test_entry_that_cannot_accept_keys_is_not_ready() -> None:
    """Guards against a load balancer that keeps sending callers to an entry
    that has lost the store while other entries have not.
    """
    bounds = FleetBounds(key_age_ms=2000)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        assert await _readiness_status(harness) == 200
        harness.store.switches.outage = True
        await anyio.sleep(2.1)
        assert await _readiness_status(harness) == 503
        harness.store.switches.outage = False
        with anyio.fail_after(3):
            while await _readiness_status(harness) != 200:
                await anyio.sleep(0.05)


async def _readiness_status(harness: EntryHarness) -> int:
    client = HttpClient(f'http://127.0.0.1:{harness.entry.ready_port}')
    answer = await client.request('GET', '/ready', timeout_s=1)
    await client.close()
    assert not isinstance(answer, Failure)
    return answer.status


async def test_outdated_copy_does_not_rule_out_unknown_routes() -> None:
    """Guards against 404 for a route that was added during a store outage."""
    bounds = FleetBounds(key_age_ms=500)
    async with running_entry(bounds=bounds) as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/open/a')
        harness.store.switches.outage = True
        await anyio.sleep(2)
        assert (await harness.request('/added/a')).status == 503


async def test_compaction_of_the_history_loses_no_change() -> None:
    """Guards against a missed change when the store has compacted the part of
    the history that contains it.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        harness.store.switches.deaf = True
        await anyio.sleep(0.1)
        newer_config = sample_config_document(version=9)
        newer_config['routes'].append(route_document('late'))
        harness.write_config(newer_config)
        harness.register('i-1', CALL_SERVICE, state='draining')
        harness.store.compact()
        harness.store.switches.deaf = False
        await harness.start_endpoint('i-2', answer_completely)
        await harness.wait_until_served('/late/a')
        received_before = len(harness.endpoints['i-1'].received)
        for _ in range(5):
            await harness.request('/late/a')
        assert len(harness.endpoints['i-1'].received) == received_before


async def test_expired_registrations_are_kept_for_a_limited_time() -> None:
    """Guards against an entry without endpoints after an outage in which all
    registrations expired, and against an endpoint that is never removed.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.start_endpoint('i-2', answer_completely)
        await harness.wait_until_served('/open/a')
        harness.store.switches.outage = True
        await anyio.sleep(1.2)
        harness.store.write('servers/i-1', None)
        harness.store.write('servers/i-2', None)
        harness.store.switches.outage = False
        for _ in range(8):
            assert (await harness.request('/open/a')).status == 200
            await anyio.sleep(0.05)
        harness.register('i-1', CALL_SERVICE)
        await anyio.sleep(3)
        received_before = len(harness.endpoints['i-2'].received)
        for _ in range(6):
            assert (await harness.request('/open/a')).status == 200
        assert len(harness.endpoints['i-2'].received) == received_before


@pytest.mark.parametrize(
    'value',
    [
        b'\xff\xfe not json',
        b'[]',
        b'{}',
        json.dumps({'service': CALL_SERVICE, 'addr': 5, 'zone': 'z'}).encode(),
        json.dumps(
            {
                'service': CALL_SERVICE,
                'addr': '127.0.0.1:1',
                'zone': 'z',
                'state': 'unheard-of',
            }
        ).encode(),
        json.dumps(
            {
                'service': CALL_SERVICE,
                'addr': 'nowhere',
                'zone': 'z',
                'state': 'ready',
            }
        ).encode(),
        registration_json(70_000),
        registration_json(0),
        registration_json(9, addr='nowhere.example:9'),
        registration_json(9, addr=':9'),
    ],
)
async def test_invalid_registration_is_ignored(
    value: bytes,
) -> None:
    """Guards against an invalid registration that hides the valid ones."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        harness.store.write('servers/odd', value)
        await harness.wait_until_served('/read/a')
        for _ in range(4):
            assert (await harness.request('/read/a')).status == 200


@pytest.mark.parametrize('value', [b'\xff', b'[]', b'{"version": 99}'])
async def test_invalid_configuration_leaves_the_current_one_in_use(
    value: bytes,
) -> None:
    """Guards against an invalid configuration that replaces the current one."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        harness.store.write('op/config', value)
        await anyio.sleep(0.2)
        assert (await harness.request('/read/a')).status == 200


async def test_store_outage_does_not_multiply_calls_to_the_store() -> None:
    """Guards against a burst of calls during and after a store outage."""
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        harness.store.switches.outage = True
        await anyio.sleep(1)
        harness.store.calls.clear()
        await anyio.sleep(2)
        harness.store.switches.outage = False
        await anyio.sleep(1)
        # The entry watches three prefixes and renews its own registration.
        assert sum(harness.store.calls.values()) <= 4 * 3 * 4


async def test_entry_registers_again_after_its_lease_has_ended() -> None:
    """Guards against an entry that is missing from the list of entries after
    its lease has ended.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a')
        key = 'masticwind/entries/entry-1'
        assert harness.store.read(key) is not None
        harness.store.end_leases()
        assert harness.store.read(key) is None
        with anyio.fail_after(4):
            while harness.store.read(key) is None:
                await anyio.sleep(0.05)


async def test_undecodable_value_costs_only_its_key() -> None:
    """Guards against one bad value that makes a listing or a watch fail, or
    that leaves the value that it has replaced in use.
    """
    rows = [
        {'key': 'op/bad', 'rev': 5, 'value': '?'},
        {'key': 'op/good', 'rev': 6, 'value': encode_base64(b'here')},
        {'key': 'op/gone', 'rev': 7, 'deleted': True},
    ]

    async def answer_rows(scope: Scope, _receive: Receive, send: Send) -> None:
        items_field = 'items' if scope['path'] == '/-/kv-range' else 'events'
        body = {items_field: rows, 'as_of': 7, 'has_more': False}
        await send_response(send, json_response(200, body))

    server = WebServer(answer_rows, Address())
    store = PlatformStore(StoreSettings(address=f'127.0.0.1:{server.port}'))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        expected = (
            Item('op/bad', b'', 5),
            Item('op/good', b'here', 6),
            Item('op/gone', None, 7),
        )
        as_of = StoreRevision(NO_ERA, 7)
        after = StoreRevision(NO_ERA, 4)
        assert await store.list_prefix('op/') == Listing(expected, as_of)
        changes = await store.watch_prefix('op/', after, 0)
        assert changes == Changes(expected, as_of)
        tasks.cancel_scope.cancel()
