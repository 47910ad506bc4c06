"""Entries and engines of which some prompts crash the engine.

Engines write the head of an answer and, if the prompt lists a poison part, end
before the first event. A new engine replaces one that has ended.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

import anyio

from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    encode_event_chunk,
    encode_stream_head,
)
from tests.direct_fleet import DirectFleet, running_store
from tests.entry_harness import sample_config_document

EVENT_GAP_S: Final = 0.01
RESTART_S: Final = 0.3
KV_CACHE_TOKENS: Final = 8000


@dataclass
class PoisonFleet(DirectFleet):
    """The running components.

    `poison_parts` crash each engine that begins to answer a prompt with one
    of them. `received` has the parts of all prompts that reached an engine.
    """

    poison_parts: set[str] = field(default_factory=set)
    received: list[tuple[str, ...]] = field(default_factory=list)
    crash_count: int = 0

    async def crash_engine(self, identity: str) -> None:
        """End an engine; another one replaces it after some time."""
        self.crash_count += 1
        self.tasks.start_soon(self._replace_engine, identity)
        await self.engines.pop(identity).crash()

    def count_received(self, part: str) -> int:
        """Return how many prompts with a part reached an engine."""
        return sum(part in parts for parts in self.received)

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Stream events, or end the engine under a poison part."""
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

    async def _replace_engine(self, identity: str) -> None:
        await anyio.sleep(RESTART_S)
        self.store.write(f'servers/{identity}', None)
        await self.start_engine()


@asynccontextmanager
async def running_fleet(
    entries: int = 2, engines: int = 12, part_tokens: int = 40
) -> AsyncIterator[PoisonFleet]:
    """Run a store, entries and engines that serve.

    An engine has memory for `KV_CACHE_TOKENS`.
    """
    document = sample_config_document()
    document['services'][1]['engine']['kv_capacity'] = KV_CACHE_TOKENS
    async with running_store(document) as (store, address, tasks):
        fleet = PoisonFleet(store, address, tasks, part_tokens)
        for _ in range(engines):
            await fleet.start_engine()
        for _ in range(entries):
            await fleet.start_entry()
        await fleet.wait_until_served()
        yield fleet
