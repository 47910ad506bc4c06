"""What surrounds the entries of a soak: store, endpoints, proxies.

The entries are real processes. The store and the endpoints are stand-ins of
this process, so that it sees everything that reaches them; a fault-injecting
proxy stands before the store and before each endpoint.
"""

import json
import random
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import anyio
import yaml
from anyio.abc import TaskGroup

from masticwind.budget import MS_PER_S
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.faults.proxy import TcpProxy
from masticwind_dev.standins.metadata import MetadataStandin
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    Received,
    event_chunk,
    head,
    stream_head,
)

ROOT: Final = Path(__file__).parents[3]
HOST: Final = 'soak.example'
KEY: Final = 'soak-key'
EVENTS: Final = 6
SHUTDOWN_MS: Final = 3000
# How long a removed key may still be accepted.
KEY_AGE_MS: Final = 5000


@dataclass(slots=True)
class Ran:
    """Which requests the endpoints ran, and how often."""

    counts: Counter[str] = field(default_factory=Counter)


class Keys:
    """The keys of the callers: one that stays, and one for each version."""

    def __init__(self) -> None:
        self._passing: Final = ['key-0']
        self._removed_at: Final[dict[str, float]] = {}

    @property
    def valid(self) -> list[str]:
        """The keys in the newest version."""
        return [KEY, self._passing[-1]]

    def replace(self, version: int) -> None:
        """Replace the passing key; call it when the version is written."""
        self._removed_at[self._passing[-1]] = time.monotonic()
        self._passing.append(f'key-{version}')

    def passing(self, age: int) -> str:
        """Return the passing key of `age` versions ago, or the first one."""
        return self._passing[max(0, len(self._passing) - 1 - age)]

    def expired(self, key: str, sent_at: float) -> bool:
        """Tell whether a key must not be accepted in a request of then."""
        removed_at = self._removed_at.get(key)
        if removed_at is None:
            return False
        return sent_at - removed_at > KEY_AGE_MS / MS_PER_S


@dataclass(slots=True)
class Mood:
    """How one endpoint answers: shares of spoiled and refused answers."""

    spoil: float = 0
    refuse: float = 0


class Endpoint:
    """A stand-in endpoint behind a proxy."""

    def __init__(self, name: str, service: str, ran: Ran, seed: int) -> None:
        self.name: Final = name
        self.service: Final = service
        self.mood = Mood()
        self._ran: Final = ran
        self._random: Final = random.Random(f'{seed}-{name}')
        self._raw: Final = RawEndpoint(self._answer)
        self.proxy: TcpProxy | None = None
        self._seed: Final = seed

    async def start(self, tasks: TaskGroup) -> None:
        """Listen, and put the proxy before it."""
        await tasks.start(self._raw.run)
        self.proxy = TcpProxy('127.0.0.1', self._raw.port, self._seed)
        tasks.start_soon(self.proxy.run)

    def registration(self, *, leaving: bool = False) -> bytes:
        """Return what the endpoint registers in the store."""
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

    async def _answer(self, req: Received, conn: RawConnection) -> None:
        if self._random.random() < self.mood.refuse:
            await conn.write(
                head(req, 503, ('X-Not-Executed: 1', 'Content-Length: 0'))
            )
            return
        request_id = req.headers['x-attempt-id']
        self._ran.counts[request_id] += 1
        spoiled = self._random.random() < self.mood.spoil
        if 'x-token-counts' in req.headers:
            await self._stream(req, conn, spoiled=spoiled)
            return
        await anyio.sleep(self._random.uniform(0, 0.03))
        body = f'body of {request_id}'.encode()
        if spoiled:
            await conn.write(head(req, 200, ('Content-Length: 900',)))
            await conn.close()
            return
        await conn.answer(req, body=body)

    async def _stream(
        self,
        req: Received,
        conn: RawConnection,
        *,
        spoiled: bool,
    ) -> None:
        request_id = req.headers['x-attempt-id']
        first = int(req.headers.get('last-event-id', '0')) + 1
        await conn.write(stream_head(req))
        for number in range(first, EVENTS + 1):
            if spoiled and number > first:
                await conn.close()
                return
            await conn.write(event_chunk(number, request_id))
            await anyio.sleep(0.01)
        await conn.write(LAST_CHUNK)


class Entry:
    """An entry as a process, which is started again whenever it ends.

    It reaches the store over a proxy of its own.
    """

    def __init__(self, name: str, folder: Path, store_proxy: TcpProxy) -> None:
        self.name: Final = name
        self.url = ''
        self.starts = 0
        self.store_proxy: Final = store_proxy
        self._folder: Final = folder
        self._peer_port: Final = _free_udp_port()
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
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    async def _start(self) -> None:
        self.starts += 1
        settings = self._folder / f'{self.name}.yaml'
        port = await _free_port()
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
            'store': {'address': f'127.0.0.1:{self.store_proxy.port}'},
            'bounds': {
                'shutdown_ms': SHUTDOWN_MS,
                'key_age_ms': KEY_AGE_MS,
            },
        }


async def _free_port() -> int:
    async with await anyio.create_tcp_listener(
        local_host='127.0.0.1'
    ) as listener:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        assert isinstance(port, int)
        return port


def _free_udp_port() -> int:
    with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as udp:
        udp.bind(('127.0.0.1', 0))
        port: int = udp.getsockname()[1]
        return port


class World:
    """The store, the endpoints and the entries of one soak."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.seed: Final = seed
        self.ran: Final = Ran()
        self.store: Final = MetadataStandin()
        self._server: Final = WebServer(self.store.app, Address())
        self.keys: Final = Keys()
        self.endpoints: Final = [
            *(
                Endpoint(f'call-{number}', 'calls', self.ran, seed)
                for number in range(3)
            ),
            *(
                Endpoint(f'engine-{number}', 'engines', self.ran, seed)
                for number in range(3)
            ),
        ]
        self.entries: Final = [
            Entry(
                f'entry-{number}',
                folder,
                TcpProxy('127.0.0.1', self._server.port, seed + number),
            )
            for number in range(2)
        ]
        self.version = 1

    async def start(self, tasks: TaskGroup) -> None:
        """Start everything; entries serve a little later."""
        tasks.start_soon(self._server.run)
        for endpoint in self.endpoints:
            await endpoint.start(tasks)
            self.register(endpoint)
        self.configure()
        for entry in self.entries:
            tasks.start_soon(entry.store_proxy.run)
            tasks.start_soon(entry.run)

    def register(self, endpoint: Endpoint, *, leaving: bool = False) -> None:
        """Write an endpoint's registration."""
        value = endpoint.registration(leaving=leaving)
        self.store.write(f'servers/{endpoint.name}', value)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.keys.replace(self.version)
        self.store.write('op/config', json.dumps(self._document()).encode())

    def _document(self) -> dict[str, Any]:
        routes = [
            _route('order', 'non_idempotent', 'calls', 1),
            _route('read', 'idempotent', 'calls', 2),
            _route('chat', 'streaming', 'engines', 2),
        ]
        return {
            'version': self.version,
            'routes': routes,
            'services': [
                {'name': 'calls', 'max_conns': 100},
                {'name': 'engines', 'max_conns': 100, 'engine': dict(_FIGURES)},
            ],
            'tenants': [{'name': 'team-a', 'api_keys': self.keys.valid}],
        }


_FIGURES: Final = (
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


def _route(name: str, kind: str, service: str, most: int) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'max_attempts': most,
        'resumable': kind == 'streaming',
        'timeout_ms': 4000,
        'goal_ms': 300,
        'gap_target_ms': 200,
    }
