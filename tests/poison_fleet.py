"""Entries and engines of which some prompts crash the engine.

Engines write the head of an answer and, if the prompt lists a poison part, end
before the first event. A new engine replaces one that has ended.
"""

import itertools
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.platform.main import platform_adapter
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import LiveSettings, StoreSettings
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.standins.metadata import MetadataStandin
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    encode_event_chunk,
    encode_stream_head,
)
from tests.entry_harness import (
    API_KEY,
    ENGINE_SERVICE,
    REQUEST_TIMEOUT_S,
    caller_headers,
    free_tcp_port,
    free_udp_port,
    registration_json,
    sample_config_document,
    sample_settings,
)

OPERATOR_TOKEN: Final = 'release-token'
EVENT_GAP_S: Final = 0.01
RESTART_S: Final = 0.3
KV_CACHE_TOKENS: Final = 8000


@dataclass
class RunningDirectEntry:
    """An entry that can be killed, and a caller of it."""

    entry: DirectEntry
    client: HttpClient
    scope: anyio.CancelScope
    operations_address: str


@dataclass
class PoisonFleet:
    """The running components.

    `poison_parts` crash each engine that begins to answer a prompt with one
    of them. `received` has the parts of all prompts that reached an engine.
    """

    store: MetadataStandin
    store_address: str
    tasks: TaskGroup
    part_tokens: int
    poison_parts: set[str] = field(default_factory=set)
    entries: list[RunningDirectEntry] = field(default_factory=list)
    received: list[tuple[str, ...]] = field(default_factory=list)
    crash_count: int = 0
    engines: dict[str, RawEndpoint] = field(default_factory=dict)
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    async def start_entry(self) -> RunningDirectEntry:
        """Start another entry."""
        cfg = sample_settings(
            f'entry-{next(self._numbers)}',
            store=StoreSettings(address=self.store_address),
            peer_port=await free_udp_port(),
            metrics_port=await free_tcp_port(),
            operator_token=OPERATOR_TOKEN,
        )
        entry = DirectEntry(LiveSettings(cfg), platform_adapter(cfg))
        client = HttpClient(f'http://127.0.0.1:{entry.port}')
        running = RunningDirectEntry(
            entry,
            client,
            anyio.CancelScope(),
            f'127.0.0.1:{cfg.metrics_port}',
        )
        self.entries.append(running)
        self.tasks.start_soon(self._run_entry, running)
        return running

    async def start_engine(self) -> None:
        """Start another engine and register it."""
        identity = f'e-{next(self._numbers)}'
        engine = RawEndpoint(self._answer)
        self.engines[identity] = engine
        await self.tasks.start(engine.run)
        self.store.write(
            f'servers/{identity}',
            registration_json(engine.port, ENGINE_SERVICE),
        )

    async def crash_engine(self, identity: str) -> None:
        """End an engine; another one replaces it after some time."""
        self.crash_count += 1
        self.tasks.start_soon(self._replace_engine, identity)
        await self.engines.pop(identity).crash()

    async def send_prompt(
        self, entry: RunningDirectEntry, *parts: str
    ) -> HttpAnswer:
        """Send a prompt with these parts; its answer must be complete."""
        answer = await self.try_prompt(entry, *parts)
        assert not isinstance(answer, Failure), answer
        return answer

    async def try_prompt(
        self, entry: RunningDirectEntry, *parts: str
    ) -> HttpAnswer | Failure:
        """Send a prompt with these parts; its answer may break off."""
        prompt = ','.join(f'{part}:{self.part_tokens}' for part in parts)
        request_id = f'r{next(self._numbers)}'
        return await entry.client.request(
            'POST',
            '/chat/a',
            timeout_s=REQUEST_TIMEOUT_S,
            headers=(
                *caller_headers(API_KEY, request_id, 3000),
                (b'X-Model', b'm'),
                (
                    b'X-Token-Counts',
                    f'{self.part_tokens * len(parts)},100'.encode(),
                ),
                (b'X-Prompt-Prefix', prompt.encode()),
            ),
        )

    def count_received(self, part: str) -> int:
        """Return how many prompts with a part reached an engine."""
        return sum(part in parts for parts in self.received)

    async def wait_until_served(self) -> None:
        """Wait until each entry serves and knows all engines and entries."""
        for running in self.entries:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                while not await self._is_ready(running):
                    await anyio.sleep(0.02)

    async def _is_ready(self, running: RunningDirectEntry) -> bool:
        if running.entry.endpoint_count < len(self.engines):
            return False
        if len(running.entry._peers.others()) < len(self.entries) - 1:
            return False
        warm_up = f'warm-{next(self._numbers)}'
        return (await self.send_prompt(running, warm_up)).status == 200

    async def _run_entry(self, running: RunningDirectEntry) -> None:
        with running.scope:
            await running.entry.run()
        await running.client.close()

    async def _replace_engine(self, identity: str) -> None:
        await anyio.sleep(RESTART_S)
        self.store.write(f'servers/{identity}', None)
        await self.start_engine()

    async def _answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        if req.target == '/-/order':
            await conn.send_answer(req, body=b'{}')
            return
        prompt = req.headers.get('x-prompt-prefix', '')
        parts = tuple(
            entry.partition(':')[0] for entry in prompt.split(',') if entry
        )
        self.received.append(parts)
        await anyio.sleep(EVENT_GAP_S)
        await conn.write(encode_stream_head(req))
        if self.poison_parts.intersection(parts):
            await self.crash_engine(req.headers['x-expect-instance'])
            return
        first = int(req.headers.get('last-event-id', '0')) + 1
        for number in range(first, 5):
            await conn.write(encode_event_chunk(number))
            await anyio.sleep(EVENT_GAP_S)
        await conn.write(LAST_CHUNK)


@asynccontextmanager
async def running_fleet(
    entries: int = 2, engines: int = 12, part_tokens: int = 40
) -> AsyncIterator[PoisonFleet]:
    """Run a store, entries and engines that serve.

    An engine has memory for `KV_CACHE_TOKENS`.
    """
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    document = sample_config_document()
    document['services'][1]['engine']['kv_capacity'] = KV_CACHE_TOKENS
    store.write('op/config', json.dumps(document).encode())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        fleet = PoisonFleet(
            store, f'127.0.0.1:{server.port}', tasks, part_tokens
        )
        for _ in range(engines):
            await fleet.start_engine()
        for _ in range(entries):
            await fleet.start_entry()
        await fleet.wait_until_served()
        yield fleet
        tasks.cancel_scope.cancel()
