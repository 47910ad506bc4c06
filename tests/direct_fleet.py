"""Entries and engines of direct serving, with their store, in one process."""

import itertools
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Final

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
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
)
from tests.entry_harness import (
    API_KEY,
    ENGINE_SERVICE,
    REQUEST_TIMEOUT_S,
    caller_headers,
    free_tcp_port,
    free_udp_port,
    registration_json,
    sample_settings,
)

OPERATOR_TOKEN: Final = 'operator-token'


@dataclass
class RunningDirectEntry:
    """An entry that can be killed, and a caller of it."""

    entry: DirectEntry
    client: HttpClient
    scope: anyio.CancelScope
    operations_address: str


@dataclass
class DirectFleet:
    """The running components.

    A subclass answers the requests that reach an engine.
    """

    store: MetadataStandin
    store_address: str
    tasks: TaskGroup
    part_tokens: int = 40
    entries: list[RunningDirectEntry] = field(default_factory=list)
    engines: dict[str, RawEndpoint] = field(default_factory=dict)
    numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request as an engine."""
        raise NotImplementedError

    async def start_entry(self) -> RunningDirectEntry:
        """Start another entry."""
        cfg = sample_settings(
            f'entry-{next(self.numbers)}',
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

    async def start_engine(self) -> str:
        """Start another engine, register it and return its identity."""
        identity = f'e-{next(self.numbers)}'
        engine = RawEndpoint(self.answer)
        self.engines[identity] = engine
        await self.tasks.start(engine.run)
        self.register_engine(identity)
        return identity

    def register_engine(self, identity: str, **fields: Any) -> None:
        """Write the registration of an engine."""
        port = self.engines[identity].port
        self.store.write(
            f'servers/{identity}',
            registration_json(port, ENGINE_SERVICE, **fields),
        )

    async def send_prompt(
        self, entry: RunningDirectEntry, *parts: str
    ) -> HttpAnswer:
        """Send a prompt with these parts; its answer must be complete."""
        answer = await self.try_prompt(entry, *parts)
        assert not isinstance(answer, Failure), answer
        return answer

    async def try_prompt(
        self, entry: RunningDirectEntry, *parts: str, key: str = API_KEY
    ) -> HttpAnswer | Failure:
        """Send a prompt with these parts; its answer may break off."""
        prompt = ','.join(f'{part}:{self.part_tokens}' for part in parts)
        request_id = f'r{next(self.numbers)}'
        return await entry.client.request(
            'POST',
            '/chat/a',
            timeout_s=REQUEST_TIMEOUT_S,
            headers=(
                *caller_headers(key, request_id, 3000),
                (b'X-Model', b'm'),
                (
                    b'X-Token-Counts',
                    f'{self.part_tokens * len(parts)},100'.encode(),
                ),
                (b'X-Prompt-Prefix', prompt.encode()),
            ),
        )

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
        warm_up = f'warm-{next(self.numbers)}'
        return (await self.send_prompt(running, warm_up)).status == 200

    async def _run_entry(self, running: RunningDirectEntry) -> None:
        with running.scope:
            await running.entry.run()
        await running.client.close()


@asynccontextmanager
async def running_store(
    document: dict[str, Any],
) -> AsyncIterator[tuple[MetadataStandin, str, TaskGroup]]:
    """Run a store with a configuration; yield its address and a task group."""
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    store.write('op/config', json.dumps(document).encode())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        yield store, f'127.0.0.1:{server.port}', tasks
        tasks.cancel_scope.cancel()
