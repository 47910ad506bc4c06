"""Confirmations and copies of the configuration between two entries."""

import json
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import anyio
import pytest

from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.platform.main import platform_adapter
from masticwind.serving.confirmations import MAX_REQUEST_INTERVAL_S
from masticwind.serving.copies import MAX_COMPRESSED_BYTES
from masticwind.serving.server import CONFIG_WATCH_S, DirectEntry
from masticwind.serving.settings import (
    FleetBounds,
    LiveSettings,
    StoreSettings,
)
from masticwind.settings import Address
from masticwind.web import (
    Receive,
    Scope,
    Send,
    WebServer,
    json_response,
    send_response,
)
from masticwind_dev.standins.metadata import MetadataStandin
from masticwind_dev.standins.raw_endpoint import RawEndpoint
from tests.entry_harness import (
    API_KEY,
    answer_completely,
    caller_headers,
    free_udp_port,
    registration_json,
    route_document,
    sample_config_document,
    sample_settings,
)

pytestmark = pytest.mark.anyio


class FaultyStore:
    """Serves a store, but answers 503 while `unavailable` is set.

    Watches that start while `watches_hang` is set are never answered.
    """

    def __init__(self, store: MetadataStandin) -> None:
        self.unavailable = False
        self.watches_hang = False
        self._store: Final = store
        self._server: Final = WebServer(self._serve, Address())
        self.address: Final = f'127.0.0.1:{self._server.port}'

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self.unavailable:
            await send_response(send, json_response(503, {}))
            return
        if self.watches_hang and scope['path'] == '/-/kv-watch':
            await anyio.sleep_forever()
        await self._store.app(scope, receive, send)


@dataclass(frozen=True)
class EntryPair:
    """Two entries of one store; `faulty_store` is in front of the second."""

    store: MetadataStandin
    faulty_store: FaultyStore
    entry: DirectEntry

    def write_config(self, **fields: Any) -> None:
        """Write a configuration to the store as an operator does."""
        document = json.dumps(sample_config_document(**fields))
        self.store.write('op/config', document.encode())

    async def request_status(self, path: str = '/read/a') -> int:
        """Send a request to the second entry and return the status."""
        client = HttpClient(f'http://127.0.0.1:{self.entry.port}')
        answer = await client.request(
            'GET',
            path,
            timeout_s=5,
            headers=caller_headers(API_KEY, 'r1', 3000),
        )
        await client.close()
        assert isinstance(answer, HttpAnswer)
        return answer.status

    async def wait_for_status(self, status: int, path: str = '/read/a') -> None:
        """Repeat a request to the second entry until it has the status."""
        while await self.request_status(path) != status:
            await anyio.sleep(0.02)


@asynccontextmanager
async def running_entry_pair(key_age_ms: int) -> AsyncIterator[EntryPair]:
    """Run two entries and an endpoint that serves `/read/`."""
    store = MetadataStandin()
    stores = [FaultyStore(store), FaultyStore(store)]
    entries: list[DirectEntry] = []
    endpoint = RawEndpoint(answer_completely)
    async with anyio.create_task_group() as tasks:
        await tasks.start(endpoint.run)
        store.write('servers/i-1', registration_json(endpoint.port))
        for number, faulty_store in enumerate(stores):
            cfg = sample_settings(
                f'entry-{number}',
                store=StoreSettings(address=faulty_store.address),
                peer_port=await free_udp_port(),
                bounds=FleetBounds(key_age_ms=key_age_ms),
            )
            adapter = platform_adapter(cfg)
            entries.append(DirectEntry(LiveSettings(cfg), adapter))
            tasks.start_soon(faulty_store.run)
            tasks.start_soon(entries[-1].run)
        pair = EntryPair(store, stores[1], entries[1])
        pair.write_config()
        with anyio.fail_after(5):
            await pair.wait_for_status(HTTPStatus.OK)
        # Time for each entry to discover the other one.
        await anyio.sleep(1.2)
        yield pair
        tasks.cancel_scope.cancel()


async def test_entry_without_store_serves_while_peers_confirm() -> None:
    """Guards against an entry that refuses API keys as long as the store
    rejects its calls, though other entries know that nothing has changed.
    """
    async with running_entry_pair(key_age_ms=2000) as pair:
        pair.faulty_store.unavailable = True
        limit = anyio.current_time() + CONFIG_WATCH_S + 3
        while anyio.current_time() < limit:
            assert await pair.request_status() == HTTPStatus.OK
            await anyio.sleep(0.05)


async def test_peers_do_not_confirm_an_old_copy() -> None:
    """Guards against a removed API key that an entry keeps accepting, because
    it could not read the change and other entries confirm its old copy.
    """
    async with running_entry_pair(key_age_ms=2000) as pair:
        pair.faulty_store.unavailable = True
        # Until its timeout, the open watch may still return the change.
        await anyio.sleep(CONFIG_WATCH_S + 0.1)
        assert await pair.request_status() == HTTPStatus.OK
        # The change is too large for a datagram, so no peer can send it.
        note = secrets.token_hex(MAX_COMPRESSED_BYTES)
        pair.write_config(version=9, tenants=[], note=note)
        with anyio.fail_after(2):
            await pair.wait_for_status(HTTPStatus.SERVICE_UNAVAILABLE)


async def test_entry_without_store_gets_changes_from_peers() -> None:
    """Guards against an entry that refuses requests as long as the store
    rejects its calls, though other entries have the change, and against a
    removed API key that keeps working there.
    """
    async with running_entry_pair(key_age_ms=2000) as pair:
        pair.faulty_store.unavailable = True
        # Until its timeout, the open watch may still return the change.
        await anyio.sleep(CONFIG_WATCH_S + 0.1)
        # Fits into a datagram only because copies are compressed.
        routes = [route_document(f'other-{number}') for number in range(500)]
        pair.write_config(version=9, routes=[*routes, route_document('new')])
        with anyio.fail_after(2):
            await pair.wait_for_status(HTTPStatus.OK, '/new/a')
        for _ in range(20):
            assert await pair.request_status('/new/a') == HTTPStatus.OK
            await anyio.sleep(0.1)
        pair.write_config(
            version=10, routes=[route_document('new')], tenants=[]
        )
        with anyio.fail_after(2):
            await pair.wait_for_status(HTTPStatus.UNAUTHORIZED, '/new/a')


async def test_hanging_watch_is_cancelled_when_peers_report_a_change() -> None:
    """Guards against a change that is applied only when a watch that is never
    answered times out.
    """
    async with running_entry_pair(key_age_ms=60_000) as pair:
        pair.faulty_store.watches_hang = True
        await anyio.sleep(CONFIG_WATCH_S + 0.1)
        pair.faulty_store.watches_hang = False
        pair.write_config(version=9, routes=[route_document('new')])
        with anyio.fail_after(3 * MAX_REQUEST_INTERVAL_S):
            await pair.wait_for_status(HTTPStatus.OK, '/new/a')


async def test_confirmations_save_calls_to_the_store() -> None:
    """Guards against store calls that grow with the number of entries, and
    with the changes under other prefixes.
    """
    async with running_entry_pair(key_age_ms=5000) as pair:
        calls_before = pair.store.calls.copy()
        for number in range(60):
            pair.store.write('elsewhere', str(number).encode())
            await anyio.sleep(0.1)
        calls = pair.store.calls - calls_before
        # Each of the two entries polls the store at most once a second and
        # has one watch. Changes under other prefixes cause no polls.
        assert calls['watch op/'] <= 2 * (6 + 1)
        # A watch of registrations without changes ends after a second and
        # starts again a second later; that of entries rarely ends.
        assert calls['watch'] - calls['watch op/'] <= 2 * (4 + 1)
