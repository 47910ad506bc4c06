"""Environment of a soak: entries, store, endpoints and proxies.

The entries are real processes. The store and the endpoints are stand-ins in
this process, so that every request to them is recorded. Each entry reaches
the store, and all entries reach each endpoint, through a fault-injecting
proxy.
"""

import json
import random
import signal
import subprocess
import sys
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import anyio
import yaml
from anyio.abc import TaskGroup

from masticwind.budget import MS_PER_S
from masticwind.platform.documents import ENTRIES_PREFIX
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.faults.proxy import TcpProxy
from masticwind_dev.ports import free_tcp_port, free_udp_port
from masticwind_dev.soak.deployed_parts import DEPLOYED_PARTS
from masticwind_dev.standins.limit_audit import LimitAudit
from masticwind_dev.standins.metadata import MetadataStandin, StoreCopy
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)

ROOT: Final = Path(__file__).parents[3]
HOST: Final = 'soak.example'
PERMANENT_KEY: Final = 'soak-key'
STREAM_EVENTS: Final = 6
ENTRIES: Final = 2
SHUTDOWN_MS: Final = 3000
# Maximum time for which a removed API key may still be accepted.
KEY_AGE_MS: Final = 5000
COPY_INTERVAL_S: Final = 0.2
# The oldest copy, an outage and the time until all is written again last less
# than `KEY_AGE_MS` together: all entries may have started again meanwhile, and
# then none of them knows which key was removed.
MAX_COPIES: Final = 12


def caller_name(number: int) -> str:
    """Return the name of a caller, with which its request ids begin."""
    return f'c{number}'


def entry_of(request_id: str) -> str:
    """Return the entry to which the caller of a request connects."""
    number = int(request_id.partition('-')[0].removeprefix('c'))
    return f'entry-{number % ENTRIES}'


@dataclass(slots=True)
class ExecutionCounts:
    """Number of executions per request id, over all endpoints."""

    by_request_id: Counter[str] = field(default_factory=Counter)


class ApiKeys:
    """API keys of the callers.

    One key is permanent; the other one is rotated with every version of the
    configuration.
    """

    def __init__(self) -> None:
        self._rotated_keys: Final = ['key-0']
        self._removed_at: Final[dict[str, float]] = {}

    @property
    def valid_keys(self) -> list[str]:
        """The keys in the newest version of the configuration."""
        return [PERMANENT_KEY, self._rotated_keys[-1]]

    def rotate(self, version: int) -> None:
        """Replace the rotated key; called when a new version is written."""
        self._removed_at[self._rotated_keys[-1]] = time.monotonic()
        self._rotated_keys.append(f'key-{version}')

    def rotated_key(self, age: int) -> str:
        """Return the rotated key of `age` versions ago, or the first key."""
        return self._rotated_keys[max(0, len(self._rotated_keys) - 1 - age)]

    def is_expired(self, key: str, sent_at: float) -> bool:
        """Whether a request sent at `sent_at` with the key must be rejected."""
        removed_at = self._removed_at.get(key)
        if removed_at is None:
            return False
        return sent_at - removed_at > KEY_AGE_MS / MS_PER_S


@dataclass(slots=True)
class EndpointFaults:
    """Shares of answers that an endpoint truncates or refuses."""

    truncation_share: float = 0
    refusal_share: float = 0


@dataclass(frozen=True, slots=True)
class EndpointRecords:
    """What all endpoints record of the requests that they receive."""

    executions: ExecutionCounts
    limits: LimitAudit


class StandinEndpoint:
    """An endpoint stand-in that is reached through a proxy."""

    def __init__(
        self,
        name: str,
        service: str,
        records: EndpointRecords,
        seed: int,
    ) -> None:
        self.name: Final = name
        self.service: Final = service
        self.faults = EndpointFaults()
        # Requests per second that it takes from all entries, None for any.
        self.limit_per_s: float | None = None
        self._records: Final = records
        self._random: Final = random.Random(f'{seed}-{name}')
        self._server: Final = RawEndpoint(self._answer)
        self.proxy: TcpProxy | None = None
        self._seed: Final = seed

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening and start the proxy."""
        await tasks.start(self._server.run)
        self.proxy = TcpProxy('127.0.0.1', self._server.port, self._seed)
        tasks.start_soon(self.proxy.run)

    def registration(self, *, leaving: bool = False) -> bytes:
        """Return the encoded registration for the store."""
        assert self.proxy is not None
        return json.dumps(
            {
                'service': self.service,
                'addr': f'127.0.0.1:{self.proxy.port}',
                'zone': 'zone-a',
                'slots': 8,
                'state': 'draining' if leaving else 'ready',
                'born': 1,
            }
        ).encode()

    def limit(self, limit_per_s: float | None) -> None:
        """Name a limit from now on, or none any more."""
        self.limit_per_s = limit_per_s
        if limit_per_s is None:
            self._records.limits.record_end(self.name)
        else:
            self._records.limits.record_limit(self.name, limit_per_s)

    async def _answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        request_id = req.headers['x-attempt-id']
        entry = entry_of(request_id)
        self._records.limits.record_request(self.name, entry)
        await self._answer_request(req, conn)
        self._records.limits.record_answer(self.name, entry)

    def _limit_headers(self) -> tuple[str, ...]:
        if self.limit_per_s is None:
            return ()
        return (f'Server-Limit: {self.limit_per_s}',)

    async def _answer_request(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        request_id = req.headers['x-attempt-id']
        if self._random.random() < self.faults.refusal_share:
            await conn.write(
                encode_head(
                    req,
                    503,
                    (
                        'X-Not-Executed: 1',
                        'Content-Length: 0',
                        *self._limit_headers(),
                    ),
                )
            )
            return
        self._records.executions.by_request_id[request_id] += 1
        truncated = self._random.random() < self.faults.truncation_share
        if 'x-token-counts' in req.headers:
            await self._stream(req, conn, truncated=truncated)
            return
        await anyio.sleep(self._random.uniform(0, 0.03))
        body = f'body of {request_id}'.encode()
        if truncated:
            await conn.write(
                encode_head(
                    req, 200, ('Content-Length: 900', *self._limit_headers())
                )
            )
            await conn.close()
            return
        await conn.send_answer(req, body=body, headers=self._limit_headers())

    async def _stream(
        self,
        req: ReceivedRequest,
        conn: RawConnection,
        *,
        truncated: bool,
    ) -> None:
        request_id = req.headers['x-attempt-id']
        first_event = int(req.headers.get('last-event-id', '0')) + 1
        await conn.write(encode_stream_head(req, self._limit_headers()))
        for number in range(first_event, STREAM_EVENTS + 1):
            if truncated and number > first_event:
                await conn.close()
                return
            await conn.write(encode_event_chunk(number, request_id))
            await anyio.sleep(0.01)
        await conn.write(LAST_CHUNK)


class EntryProcess:
    """An entry process that is restarted whenever it exits.

    It reaches the store through a proxy that no other entry uses.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        store_proxy: TcpProxy,
        limits: LimitAudit,
    ) -> None:
        self.name: Final = name
        self._limits: Final = limits
        self.url = ''
        self.start_count = 0
        self.store_proxy: Final = store_proxy
        self._folder: Final = folder
        self._peer_port: Final = free_udp_port()
        self._process: subprocess.Popen[bytes] | None = None

    async def run(self) -> None:
        """Keep the process running until cancelled."""
        try:
            while True:
                await self._start()
                while self._process and self._process.poll() is None:
                    await anyio.sleep(0.05)
                self.url = ''
        finally:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            if self._process is not None:
                self._process.wait(10)

    def signal(self, signum: int) -> None:
        """Send a signal to the process if it is running."""
        self._limits.excuse(self.name)
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    async def _start(self) -> None:
        self.start_count += 1
        self._limits.excuse(self.name)
        settings = self._folder / f'{self.name}.yaml'
        port = free_tcp_port()
        settings.write_text(yaml.safe_dump(self._settings(port)))
        self._process = self._spawn(settings)
        self.url = f'http://127.0.0.1:{port}'

    def _spawn(self, settings: Path) -> subprocess.Popen[bytes]:
        with (self._folder / f'{self.name}.log').open('ab') as log:
            return subprocess.Popen(
                [sys.executable, str(ROOT / 'src/masticwind_platform.py')],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': '/usr/bin:/bin',
                    'MASTICWIND_BOOT': str(settings),
                },
            )

    def _settings(self, port: int) -> dict[str, Any]:
        return {
            'node': self.name,
            'zone': 'zone-a',
            'listen': f'127.0.0.1:{port}',
            'ready': '127.0.0.1:0',
            'peer_port': self._peer_port,
            **DEPLOYED_PARTS,
            'store': {'address': f'127.0.0.1:{self.store_proxy.port}'},
            'bounds': {
                'shutdown_ms': SHUTDOWN_MS,
                'key_age_ms': KEY_AGE_MS,
            },
        }


class SoakEnvironment:
    """The store, the endpoints and the entries of one soak."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.seed: Final = seed
        self.executions: Final = ExecutionCounts()
        self.limits: Final = LimitAudit()
        records = EndpointRecords(self.executions, self.limits)
        self.store: Final = MetadataStandin()
        self._server: Final = WebServer(self.store.app, Address())
        self.keys: Final = ApiKeys()
        self.endpoints: Final = [
            *(
                StandinEndpoint(f'call-{number}', 'calls', records, seed)
                for number in range(3)
            ),
            *(
                StandinEndpoint(f'engine-{number}', 'engines', records, seed)
                for number in range(3)
            ),
        ]
        self.entries: Final = [
            EntryProcess(
                f'entry-{number}',
                folder,
                TcpProxy('127.0.0.1', self._server.port, seed + number),
                self.limits,
            )
            for number in range(ENTRIES)
        ]
        self.config_version = 1
        self.store_copies: Final = deque[StoreCopy](maxlen=MAX_COPIES)
        # The newest value of each key, whatever the store has.
        self._written: Final[dict[str, bytes]] = {}

    async def start(self, tasks: TaskGroup) -> None:
        """Start all parts; the entries become ready some time later."""
        tasks.start_soon(self._server.run)
        tasks.start_soon(self.copy_store)
        for endpoint in self.endpoints:
            await endpoint.start(tasks)
            self.register(endpoint)
        self.write_next_config()
        for entry in self.entries:
            tasks.start_soon(entry.store_proxy.run)
            tasks.start_soon(entry.run)

    async def copy_store(self) -> None:
        """Copy the store at intervals until cancelled."""
        while True:
            self.store_copies.append(self.store.copy())
            await anyio.sleep(COPY_INTERVAL_S)

    def write_again(self) -> None:
        """Write what a restored store has lost, as its writers do."""
        for key, value in self._written.items():
            if self.store.read(key) != value:
                self.store.write(key, value)

    def unregistered_entries(self) -> list[str]:
        """Return the entries that the store does not know."""
        return [
            entry.name
            for entry in self.entries
            if self.store.read(f'{ENTRIES_PREFIX}{entry.name}') is None
        ]

    def register(
        self, endpoint: StandinEndpoint, *, leaving: bool = False
    ) -> None:
        """Write the registration of an endpoint to the store."""
        value = endpoint.registration(leaving=leaving)
        self._write(f'servers/{endpoint.name}', value)

    def write_next_config(self) -> None:
        """Write the next version of the configuration."""
        self.config_version += 1
        self.keys.rotate(self.config_version)
        self._write('op/config', json.dumps(self._config_document()).encode())

    def _write(self, key: str, value: bytes) -> None:
        self._written[key] = value
        self.store.write(key, value)

    def _config_document(self) -> dict[str, Any]:
        routes = [
            route_document('order', 'non_idempotent', 'calls', 1),
            route_document('read', 'idempotent', 'calls', 2),
            route_document('chat', 'streaming', 'engines', 2),
        ]
        return {
            'version': self.config_version,
            'routes': routes,
            'services': [
                {'name': 'calls', 'max_conns': 100},
                {
                    'name': 'engines',
                    'max_conns': 100,
                    'engine': dict(ENGINE_PARAMETERS),
                },
            ],
            'tenants': [{'name': 'team-a', 'api_keys': self.keys.valid_keys}],
        }


ENGINE_PARAMETERS: Final = (
    ('slots', 8),
    ('kv_capacity', 450_000),
    ('step_ms', 0.925),
    ('per_seq_ms', 0.01),
    ('context_per_k', 0.0025),
    ('read_per_s', 256_000.0),
    ('pairs_per_m', 0.09),
    ('chunk', 2048),
    ('stride', 46),
)


def route_document(
    name: str, kind: str, service: str, max_attempts: int
) -> dict[str, Any]:
    """Return a route of the configuration document."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'max_attempts': max_attempts,
        'resumable': kind == 'streaming',
        'timeout_ms': 4000,
        'goal_ms': 300,
        'gap_target_ms': 200,
    }
