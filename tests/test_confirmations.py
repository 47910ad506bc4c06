"""Entries that confirm each other's copies of the configuration."""

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
from tests.direct_rig import (
    KEY,
    answer_whole,
    caller_headers,
    free_udp_port,
    registration,
    route,
    sample_document,
    sample_settings,
)

pytestmark = pytest.mark.anyio


class GatedStore:
    """Serves a store, but turns its callers away while `shut`.

    Watches that begin while `deaf` are never answered.
    """

    def __init__(self, store: MetadataStandin) -> None:
        self.shut = False
        self.deaf = False
        self._store: Final = store
        self._server: Final = WebServer(self._serve, Address())
        self.address: Final = f'127.0.0.1:{self._server.port}'

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self.shut:
            await send_response(send, json_response(503, {}))
            return
        if self.deaf and scope['path'] == '/-/kv-watch':
            await anyio.sleep_forever()
        await self._store.app(scope, receive, send)


@dataclass(frozen=True)
class Pair:
    """Two entries, the second one behind a gate."""

    store: MetadataStandin
    gate: GatedStore
    entry: DirectEntry

    def configure(self, **fields: Any) -> None:
        """Write a configuration as the operator does."""
        document = json.dumps(sample_document(**fields))
        self.store.write('op/config', document.encode())

    async def status(self, path: str = '/read/a') -> int:
        """Ask the second entry and return the status of its answer."""
        client = HttpClient(f'http://127.0.0.1:{self.entry.port}')
        answer = await client.request(
            'GET',
            path,
            timeout_s=5,
            headers=caller_headers(KEY, 'r1', 3000),
        )
        await client.close()
        assert isinstance(answer, HttpAnswer)
        return answer.status

    async def until(self, status: int, path: str = '/read/a') -> None:
        """Wait for an answer of the second entry."""
        while await self.status(path) != status:
            await anyio.sleep(0.02)


@asynccontextmanager
async def running_pair(key_age_ms: int) -> AsyncIterator[Pair]:
    """Run two entries and an endpoint that serves `/read/`."""
    store = MetadataStandin()
    gates = [GatedStore(store), GatedStore(store)]
    entries: list[DirectEntry] = []
    endpoint = RawEndpoint(answer_whole)
    async with anyio.create_task_group() as tasks:
        await tasks.start(endpoint.run)
        store.write('servers/i-1', registration(endpoint.port))
        for number, gate in enumerate(gates):
            cfg = sample_settings(
                f'entry-{number}',
                store=StoreSettings(address=gate.address),
                peer_port=await free_udp_port(),
                bounds=FleetBounds(key_age_ms=key_age_ms),
            )
            adapter = platform_adapter(cfg)
            entries.append(DirectEntry(LiveSettings(cfg), adapter))
            tasks.start_soon(gate.run)
            tasks.start_soon(entries[-1].run)
        pair = Pair(store, gates[1], entries[1])
        pair.configure()
        with anyio.fail_after(5):
            await pair.until(HTTPStatus.OK)
        # Each entry must have learned of the other one.
        await anyio.sleep(1.2)
        yield pair
        tasks.cancel_scope.cancel()


async def test_peers_keep_a_shut_off_entry_serving() -> None:
    """Guards against keys that are refused for as long as the store turns
    one entry away, though other entries know that none has changed.
    """
    async with running_pair(key_age_ms=2000) as pair:
        pair.gate.shut = True
        limit = anyio.current_time() + CONFIG_WATCH_S + 3
        while anyio.current_time() < limit:
            assert await pair.status() == HTTPStatus.OK
            await anyio.sleep(0.05)


async def test_peers_do_not_confirm_an_old_copy() -> None:
    """Guards against a removed key at an entry that has not heard of it."""
    async with running_pair(key_age_ms=2000) as pair:
        pair.gate.shut = True
        # The watch that is open may still bring the change.
        await anyio.sleep(CONFIG_WATCH_S + 0.1)
        assert await pair.status() == HTTPStatus.OK
        # The change is too large for a datagram, so no peer can pass it on.
        note = secrets.token_hex(MAX_COMPRESSED_BYTES)
        pair.configure(version=9, tenants=[], note=note)
        with anyio.fail_after(2):
            await pair.until(HTTPStatus.SERVICE_UNAVAILABLE)


async def test_peers_pass_on_a_change_to_a_shut_off_entry() -> None:
    """Guards against refusals for as long as the store turns one entry away,
    though other entries know what has changed, and against a removed key
    that goes on working there.
    """
    async with running_pair(key_age_ms=2000) as pair:
        pair.gate.shut = True
        # The watch that is open may still bring the change.
        await anyio.sleep(CONFIG_WATCH_S + 0.1)
        # Larger than a datagram, if it were not compressed.
        routes = [route(f'other-{number}') for number in range(500)]
        pair.configure(version=9, routes=[*routes, route('new')])
        with anyio.fail_after(2):
            await pair.until(HTTPStatus.OK, '/new/a')
        for _ in range(20):
            assert await pair.status('/new/a') == HTTPStatus.OK
            await anyio.sleep(0.1)
        pair.configure(version=10, routes=[route('new')], tenants=[])
        with anyio.fail_after(2):
            await pair.until(HTTPStatus.UNAUTHORIZED, '/new/a')


async def test_deaf_watch_is_given_up_when_peers_know_more() -> None:
    """Guards against a change that is learned only when a watch ends."""
    async with running_pair(key_age_ms=60_000) as pair:
        pair.gate.deaf = True
        await anyio.sleep(CONFIG_WATCH_S + 0.1)
        pair.gate.deaf = False
        pair.configure(version=9, routes=[route('new')])
        with anyio.fail_after(3 * MAX_REQUEST_INTERVAL_S):
            await pair.until(HTTPStatus.OK, '/new/a')


async def test_confirmations_save_calls_to_the_store() -> None:
    """Guards against calls that grow with the number of entries."""
    async with running_pair(key_age_ms=5000) as pair:
        before = pair.store.calls.copy()
        for number in range(60):
            pair.store.write('elsewhere', str(number).encode())
            await anyio.sleep(0.1)
        calls = pair.store.calls - before
        # Two entries ask the store after a second or more, and each has a
        # watch. What changes elsewhere in the store is no reason to ask.
        assert calls['watch op/'] <= 2 * (6 + 1)
        # A watch of registrations that hears nothing waits for a second and
        # begins again a second later; that of entries returns seldom.
        assert calls['watch'] - calls['watch op/'] <= 2 * (4 + 1)
