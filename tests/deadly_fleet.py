"""Entries and engines of which some calls end the engine that runs them.

A new engine replaces one that has ended.
"""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Final

import anyio

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.direct_fleet import DirectFleet, RunningDirectEntry, running_store
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    REQUEST_TIMEOUT_S,
    caller_headers,
    registration_json,
    sample_config_document,
)

RESTART_S: Final = 0.3
START_TIMEOUT_S: Final = 5.0


@dataclass
class DeadlyFleet(DirectFleet):
    """The running components.

    A request with a target in `deadly` ends its engine. `received` counts the
    requests that reached an engine, by target. Engines register for `service`.
    """

    service: str = CALL_SERVICE
    deadly: set[str] = field(default_factory=set)
    received: Counter[str] = field(default_factory=Counter)

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request, or end the engine."""
        self.received[req.target] += 1
        if req.target in self.deadly:
            await self.crash_engine(req.headers['x-expect-instance'])
            return
        await conn.send_answer(req)

    async def crash_engine(self, identity: str) -> None:
        """End an engine; another one replaces it after some time."""
        self.tasks.start_soon(self._replace_engine, identity)
        await self.engines.pop(identity).crash()

    def register_engine(self, identity: str, **fields: Any) -> None:
        """Write the registration of an engine for calls."""
        port = self.engines[identity].port
        value = registration_json(port, self.service, **fields)
        self.store.write(f'servers/{identity}', value)

    async def call(
        self,
        entry: RunningDirectEntry,
        target: str,
        *,
        method: str = 'GET',
        body: bytes = b'',
    ) -> HttpAnswer:
        """Send a call; its answer must be complete."""
        answer = await entry.client.request(
            method,
            target,
            timeout_s=REQUEST_TIMEOUT_S,
            body=body,
            headers=caller_headers(API_KEY, f'r{next(self.numbers)}', 3000),
        )
        assert not isinstance(answer, Failure), answer
        return answer

    async def wait_for_engines(self, count: int) -> None:
        """Wait until each entry knows so many engines."""
        with anyio.fail_after(START_TIMEOUT_S):
            for running in self.entries:
                while running.entry.endpoint_count < count:
                    await anyio.sleep(0.02)

    async def _replace_engine(self, identity: str) -> None:
        await anyio.sleep(RESTART_S)
        self.store.write(f'servers/{identity}', None)
        await self.start_engine()


@asynccontextmanager
async def running_deadly_fleet(
    entries: int = 2, engines: int = 3
) -> AsyncIterator[DeadlyFleet]:
    """Run a store, entries that know each other, and engines."""
    document = sample_config_document()
    async with running_store(document) as (store, address, tasks):
        fleet = DeadlyFleet(store, address, tasks)
        for _ in range(engines):
            await fleet.start_engine()
        for _ in range(entries):
            await fleet.start_entry()
        await fleet.wait_for_engines(engines)
        with anyio.fail_after(START_TIMEOUT_S):
            for running in fleet.entries:
                while len(running.entry._peers.others()) < entries - 1:
                    await anyio.sleep(0.02)
                while (await fleet.call(running, '/read/up')).status != 200:
                    await anyio.sleep(0.02)
        yield fleet
