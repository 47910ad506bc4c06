"""Entries, and engines that name a limit on the requests that they take."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Final

import anyio

from masticwind.httpclient import HttpAnswer
from masticwind_dev.standins.limit_audit import LimitAudit
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
)
from tests.direct_fleet import DirectFleet, running_store
from tests.entry_harness import sample_config_document

# Shorter than the users' time, so that a test takes a few seconds.
CONTACT_S: Final = 1.0
EVENTS: Final = 3


@dataclass
class LimitedFleet(DirectFleet):
    """The running components.

    Engines name the limits in `limits`. Each team is named after the entry to
    which its callers connect, so that an engine can tell entries apart.
    `received` has the engine of each request.
    """

    limits: dict[str, str] = field(default_factory=dict)
    forged_ids: set[str] = field(default_factory=set)
    received: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    audit: LimitAudit = field(
        default_factory=lambda: LimitAudit(contact_s=CONTACT_S)
    )

    def limit(self, engine: str, limit_per_s: float) -> None:
        """Let an engine name a limit."""
        self.limits[engine] = str(limit_per_s)
        self.audit.record_limit(engine, limit_per_s)

    def end_limit(self, engine: str) -> None:
        """Let an engine name no limit any more."""
        self.limits.pop(engine, None)
        self.audit.record_end(engine)

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Stream events, with the limit in the head."""
        engine = req.headers['x-expect-instance']
        entry = req.headers.get('x-tenant', '')
        self.received.append(engine)
        self.audit.record_request(engine, entry)
        limit = self.limits.get(engine)
        if engine in self.forged_ids:
            req = replace(req, headers={**req.headers, 'x-attempt-id': 'x'})
        await conn.write(
            encode_head(
                req,
                200,
                (
                    'Content-Type: text/event-stream',
                    'Transfer-Encoding: chunked',
                    *(() if limit is None else (f'Server-Limit: {limit}',)),
                ),
            )
        )
        if limit is not None:
            self.audit.record_answer(engine, entry)
        for number in range(1, EVENTS + 1):
            await conn.write(encode_event_chunk(number))
        await conn.write(LAST_CHUNK)

    async def send_from(self, number: int) -> HttpAnswer:
        """Send a prompt to an entry, with the key of its team."""
        answer = await self.try_prompt(
            self.entries[number],
            'part',
            f'own-{next(self.numbers)}',
            key=f'key-{number}',
        )
        assert isinstance(answer, HttpAnswer)
        self.statuses.append(answer.status)
        return answer

    async def load(self, seconds: float, interval_s: float) -> None:
        """Send prompts to each entry for some seconds."""
        async with anyio.create_task_group() as tasks:
            for number, _ in enumerate(self.entries):
                tasks.start_soon(self._load_entry, number, interval_s)
            await anyio.sleep(seconds)
            tasks.cancel_scope.cancel()

    async def _load_entry(self, number: int, interval_s: float) -> None:
        await anyio.sleep(interval_s * number / len(self.entries))
        while True:
            await self.send_from(number)
            await anyio.sleep(interval_s)


@asynccontextmanager
async def running_limited_fleet(
    entries: int = 3, engines: int = 3
) -> AsyncIterator[LimitedFleet]:
    """Run a store, entries and engines that serve."""
    document = sample_config_document()
    document['tenants'] += [
        {'name': f'entry-{number}', 'api_keys': [f'key-{number}']}
        for number in range(entries)
    ]
    async with running_store(document) as (store, address, tasks):
        fleet = LimitedFleet(store, address, tasks)
        for _ in range(engines):
            await fleet.start_engine()
        for _ in range(entries):
            await fleet.start_entry()
        await fleet.wait_until_served()
        yield fleet
