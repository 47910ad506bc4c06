"""Runs an entry for direct serving, its store and endpoints in one process."""

import base64
import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import anyio
from anyio.abc import TaskGroup

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.platform.main import platform_adapter
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.interfaces import EndpointClient
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.suspicions import Suspicions
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import (
    DirectSettings,
    FleetBounds,
    LiveSettings,
    OverloadPolicyName,
    StoreSettings,
)
from masticwind.serving.store import Item
from masticwind.serving.store_connection import StoreConnection
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev import ports
from masticwind_dev.standins.metadata import MetadataStandin
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    Script,
    encode_event_chunk,
    encode_stream_head,
)

HOST = 'fleet.example'
API_KEY = 'key-of-a'
CALL_SERVICE = 'calls'
ENGINE_SERVICE = 'engines'
REQUEST_TIMEOUT_S = 5.0


def route_document(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration document."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': 'idempotent',
        'service': CALL_SERVICE,
        'timeout_ms': 3000,
        'goal_ms': 150,
        'priority': 1,
        'max_attempts': 2,
        'public': False,
        **fields,
    }


def registration_json(
    port: int, service: str = CALL_SERVICE, **fields: Any
) -> bytes:
    """Return a registration as an endpoint writes it to the store."""
    document = {
        'service': service,
        'addr': f'127.0.0.1:{port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'born': 1,
        'seq': 1,
        **fields,
    }
    return json.dumps(document).encode()


def sample_settings(node: str = 'entry-1', **fields: Any) -> DirectSettings:
    """Return an entry's settings; by default, their store does not exist."""
    return DirectSettings(
        **{
            'node': node,
            'zone': 'zone-a',
            'zones': {'zone-a': 'region-a', 'zone-b': 'region-b'},
            'listen': '127.0.0.1:0',
            'ready': '127.0.0.1:0',
            'store': StoreSettings(address='127.0.0.1:1'),
            **fields,
        }
    )


def steady_connection() -> StoreConnection:
    """Return the connection to a store that has been up for a long time."""
    connection = StoreConnection('servers/')
    connection.record_confirmation(as_of=0, gap_s=0)
    connection.record_connected(age_s=0)
    return connection


def isolated_suspicions() -> Suspicions:
    """Return the suspicions of an entry that has no peers."""
    cfg = sample_settings()
    return Suspicions(PeerSocket(cfg), EntryPeers(cfg), cfg.zone)


def peers_of_each_entry(count: int) -> list[EntryPeers]:
    """Return the peers of each of `count` entries that know each other."""
    items = tuple(
        Item(f'entries/entry-{number}', b'127.0.0.1:7', number + 1)
        for number in range(count)
    )
    peers_of_each: list[EntryPeers] = []
    for number in range(count):
        peers = EntryPeers(sample_settings(f'entry-{number}'))
        peers.replace_all(items)
        peers_of_each.append(peers)
    return peers_of_each


async def free_udp_port() -> int:
    """Return a UDP port that is not in use."""
    return ports.free_udp_port()


async def free_tcp_port() -> int:
    """Return a TCP port that is not in use."""
    return ports.free_tcp_port()


ENGINE_SETTINGS: Mapping[str, float] = MappingProxyType(
    {
        'slots': 8,
        'kv_capacity': 450_000,
        'step_ms': 0.925,
        'per_seq_ms': 0.00966,
        'context_per_k': 0.00254,
        'read_per_s': 256_000.0,
        'pairs_per_m': 0.0917,
        'chunk': 2048,
        'stride': 46,
        'hop_ms': 0.1,
    }
)


def sample_config_document(version: int = 3, **changes: Any) -> dict[str, Any]:
    """Return a configuration document as an operator writes it."""
    return {
        'version': version,
        'routes': [
            route_document('read'),
            route_document('order', kind='non_idempotent', max_attempts=1),
            route_document(
                'chat',
                kind='streaming',
                service=ENGINE_SERVICE,
                resumable=True,
                gap_target_ms=200,
                goal_ms=300,
            ),
            route_document('open', public=True),
        ],
        'services': [
            {'name': CALL_SERVICE, 'max_conns': 100},
            {
                'name': ENGINE_SERVICE,
                'max_conns': 100,
                'engine': dict(ENGINE_SETTINGS),
            },
        ],
        'tenants': [
            {'name': 'team-a', 'api_keys': [API_KEY], 'priority': 1},
        ],
        **changes,
    }


async def answer_completely(req: ReceivedRequest, conn: RawConnection) -> None:
    """Answer with the body `done`."""
    await conn.send_answer(req)


async def answer_with_events(req: ReceivedRequest, conn: RawConnection) -> None:
    """Answer with the events 1 to 4 that follow `Last-Event-Id`."""
    first = int(req.headers.get('last-event-id', '0')) + 1
    await conn.write(encode_stream_head(req))
    for number in range(first, 5):
        await conn.write(encode_event_chunk(number))
    await conn.write(LAST_CHUNK)


@dataclass
class EntryHarness:
    """The running components, and the common steps of tests."""

    store: MetadataStandin
    entry: DirectEntry
    tasks: TaskGroup
    client: HttpClient
    endpoints: dict[str, RawEndpoint] = field(default_factory=dict)
    known_endpoint_count: int = 0

    def write_config(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store as an operator does."""
        self.store.write('op/config', json.dumps(document).encode())

    async def start_endpoint(
        self,
        identity: str,
        script: Script,
        service: str = CALL_SERVICE,
        **fields: Any,
    ) -> RawEndpoint:
        """Start an endpoint and register it."""
        endpoint = RawEndpoint(script)
        return await self.add_endpoint(identity, endpoint, service, **fields)

    async def add_endpoint(
        self,
        identity: str,
        endpoint: RawEndpoint,
        service: str = CALL_SERVICE,
        **fields: Any,
    ) -> RawEndpoint:
        """Run an endpoint and register it."""
        await self.tasks.start(endpoint.run)
        self.endpoints[identity] = endpoint
        self.register(identity, service, **fields)
        return endpoint

    def register(self, identity: str, service: str, **fields: Any) -> None:
        """Write the registration of an endpoint to the store."""
        port = self.endpoints[identity].port
        self.store.write(
            f'servers/{identity}',
            registration_json(port, service, **fields),
        )

    async def request(
        self,
        path: str,
        *,
        method: str = 'GET',
        body: bytes = b'',
        key: str = API_KEY,
        request_id: str = 'r1',
        timeout_ms: int = 3000,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpAnswer:
        """Send a caller's request and return the complete answer."""
        await self.wait_until_endpoints_known()
        answer = await self.client.request(
            method,
            path,
            timeout_s=REQUEST_TIMEOUT_S,
            body=body,
            headers=(
                *caller_headers(key, request_id, timeout_ms),
                *headers,
            ),
        )
        assert not isinstance(answer, Failure), answer
        return answer

    async def wait_until_endpoints_known(self) -> None:
        """Wait until the entry knows the endpoints that the test has started.

        Registrations are read in batches, so an entry may serve before it
        knows the latest ones. The wait is limited, since an entry never
        counts a registration that it cannot decode.
        """
        if self.known_endpoint_count == len(self.endpoints):
            return
        with anyio.move_on_after(2):
            while self.entry.endpoint_count < len(self.endpoints):
                await anyio.sleep(0.01)
        self.known_endpoint_count = len(self.endpoints)

    async def wait_until_served(
        self, path: str, status: int = 200, request_id: str = 'r1'
    ) -> HttpAnswer:
        """Repeat a request until the answer has the status."""
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            while True:
                answer = await self.request(path, request_id=request_id)
                if answer.status == status:
                    return answer
                await anyio.sleep(0.02)

    @property
    def received(self) -> list[ReceivedRequest]:
        """Return all requests that endpoints received."""
        return [
            req
            for endpoint in self.endpoints.values()
            for req in endpoint.received
        ]


def caller_headers(
    key: str,
    request_id: str,
    timeout_ms: int,
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a caller's request."""
    return (
        (b'Host', HOST.encode()),
        (b'X-Attempt-Id', request_id.encode()),
        (b'X-Deadline-Ms', str(timeout_ms).encode()),
        (b'Authorization', f'Bearer {key}'.encode()),
    )


def prompt_headers(
    tokens: int = 1000,
    output: int = 200,
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a request with a prompt."""
    return (
        (b'X-Model', b'm'),
        (b'X-Token-Counts', f'{tokens},{output}'.encode()),
        (b'X-Prompt-Prefix', f'5c1e07a2:{tokens}'.encode()),
    )


@asynccontextmanager
async def running_entry(
    document: dict[str, Any] | None = None,
    bounds: FleetBounds | None = None,
    endpoint_client: EndpointClient | None = None,
    overload: OverloadPolicyName = 'refuse_late',
    *,
    learned_costs: bool = False,
) -> AsyncIterator[EntryHarness]:
    """Run a store and an entry; the test starts the endpoints."""
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    cfg = sample_settings(
        store=StoreSettings(address=f'127.0.0.1:{server.port}'),
        bounds=bounds or FleetBounds(),
        overload=overload,
        learned_costs=learned_costs,
    )
    adapter = platform_adapter(cfg)
    if endpoint_client is not None:
        adapter = replace(adapter, endpoint_client=endpoint_client)
    entry = DirectEntry(LiveSettings(cfg), adapter)
    client = HttpClient(f'http://127.0.0.1:{entry.port}')
    async with anyio.create_task_group() as tasks:
        harness = EntryHarness(store, entry, tasks, client)
        if document is None:
            document = sample_config_document()
        harness.write_config(document)
        tasks.start_soon(server.run)
        tasks.start_soon(entry.run)
        yield harness
        await client.close()
        tasks.cancel_scope.cancel()


def decode_value(value: bytes | None) -> Any:
    """Decode a JSON value of the store."""
    assert value is not None
    return json.loads(value)


def encode_base64(value: bytes) -> str:
    """Encode a value as the store's API does, in base64."""
    return base64.b64encode(value).decode()
