"""Keeps the reports of crashes behind a hold in the metadata store.

The entries repair each other's evidence, but all of them may end at the same
time. So each entry writes the reports that it has made itself to the store,
from the first crash on, under a lease that lasts as long as they must be
remembered; a lease that ends sooner is replaced. An entry reads all of them
once, when it starts. There are a few writes for each hold, at most one report a
second for crashes without a hold, and none for a request. A store that was
restored from an older copy may have lost reports, so they are written again in
each of its eras.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec
import xxhash
from loguru import logger

from masticwind.decoding import parse_json
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.crash_evidence import INITIAL_HOLD_S
from masticwind.serving.crash_link import CrashLink
from masticwind.serving.evidence_link import CrashReport, split_report
from masticwind.serving.store import Item, MetadataStore

# Changes within this time are written together.
BATCH_INTERVAL_S: Final = 0.1
RETRY_DELAY_S: Final = 0.5
# Spreads the writes of all entries after a restore of the store.
MAX_REWRITE_DELAY_S: Final = 1.0
# The store grants leases of ten minutes at most.
MAX_LEASE_S: Final = 600.0
# Interval of the writes of reports that no hold needs. Each takes two of the
# writes that the store allows to all entries together.
UNHELD_WRITE_INTERVAL_S: Final = 1.0
# Interval of the check whether a lease has to be replaced.
LEASE_CHECK_INTERVAL_S: Final = 60.0
# The largest value of the store. JSON takes less than four times the bytes of
# MessagePack.
MAX_VALUE_BYTES: Final = 1_000_000
JSON_RATIO: Final = 4


@dataclass(frozen=True, slots=True)
class _WrittenReport:
    """A report in an era of the store, and its lease.

    `replaced_at` is when a longer need requires another lease. It was written
    for a hold if it is `held`.
    """

    report: CrashReport
    lease_s: float
    era: int
    replaced_at: float
    held: bool


class CrashArchive:
    """Writes this entry's reports, and reads those of earlier processes."""

    def __init__(
        self,
        store: MetadataStore,
        prefix: str,
        link: CrashLink,
    ) -> None:
        self._store: Final = store
        self._prefix: Final = prefix
        self._link: Final = link
        self._evidence: Final = link.evidence
        self._changed = anyio.Event()
        self._written: Final[dict[str, _WrittenReport]] = {}
        self._unheld_written_at = -math.inf
        link.on_report = self.notify

    def notify(self) -> None:
        """Write what has changed soon."""
        self._changed.set()

    async def run(self) -> None:
        """Read all reports, then write changes until cancelled."""
        await self.load()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._notify_of_eras)
            await self._write_changes()

    async def load(self) -> None:
        """Read the reports of all entries."""
        while True:
            listing = await self._store.list_prefix(self._prefix)
            if not isinstance(listing, Failure):
                break
            await anyio.sleep(RETRY_DELAY_S)
        for item in listing.items:
            self._load_report(item)

    async def write_held(self) -> Failure | None:
        """Write the reports behind holds, and what has changed since."""
        for crash_id, lease_s in self._leases_s().items():
            failure = await self._write(crash_id, lease_s)
            if failure is not None:
                return failure
        return None

    async def _notify_of_eras(self) -> None:
        eras = self._store.eras
        while True:
            await eras.wait_for_change(eras.newest)
            await anyio.sleep(random.uniform(0, MAX_REWRITE_DELAY_S))
            self.notify()

    async def _write_changes(self) -> None:
        while True:
            with anyio.move_on_after(LEASE_CHECK_INTERVAL_S):
                await self._changed.wait()
            self._changed = anyio.Event()
            await anyio.sleep(BATCH_INTERVAL_S)
            failure = await self.write_held()
            if failure is None:
                failure = await self._write_next_unheld()
            if failure is not None:
                self.notify()
                await anyio.sleep(RETRY_DELAY_S)

    async def _write_next_unheld(self) -> Failure | None:
        """Write one report that no hold needs; the next one follows later."""
        unheld = [
            crash_id
            for crash_id in self._evidence.crashes()
            if crash_id in self._link.reported
            and not self._is_in_store(crash_id)
        ]
        if not unheld:
            return None
        self.notify()
        elapsed_s = anyio.current_time() - self._unheld_written_at
        if elapsed_s < UNHELD_WRITE_INTERVAL_S:
            return None
        self._unheld_written_at = anyio.current_time()
        return await self._write(unheld[-1], MAX_LEASE_S, held=False)

    def _load_report(self, item: Item) -> None:
        report = parse_json(
            item.value or b'', CrashReport, ErrorKind.BAD_REQUEST
        )
        if isinstance(report, Failure):
            logger.bind(key=item.key, reason=report.reason).warning(
                'crash_report_unreadable'
            )
            return
        # The time since it was written is unknown, so the hold may last longer.
        self._link.apply(report)

    def _leases_s(self) -> dict[str, float]:
        """Return how long to keep each of this entry's reports of holds.

        Reports that were written for a hold which has ended are among them,
        and those of which all keys have been cleared: they are written once
        more with the keys that have been cleared.
        """
        accusing = self._evidence.crashes()
        leases_s = {
            crash_id: INITIAL_HOLD_S
            for crash_id, written in self._written.items()
            if self._evidence.is_known(crash_id)
            and (written.held or crash_id not in accusing)
        }
        for key, hold in self._evidence.holds().items():
            for crash_id in self._evidence.crash_ids(key):
                if crash_id in self._link.reported:
                    lease_s = leases_s.get(crash_id, 0)
                    leases_s[crash_id] = max(lease_s, hold.remembered_s)
        return leases_s

    async def _write(
        self, crash_id: str, needed_s: float, *, held: bool = True
    ) -> Failure | None:
        report = self._link.report_of(crash_id)
        lease_s = min(needed_s, MAX_LEASE_S)
        if self._is_written(crash_id, report, lease_s):
            return None
        now = self._evidence.clock()
        lease = await self._store.grant_lease(lease_s)
        if isinstance(lease, Failure):
            return lease
        failure = await self._store.put(
            self._key(crash_id), _encode(report), lease
        )
        if failure is None:
            replaced_at = math.inf
            if needed_s > MAX_LEASE_S:
                replaced_at = now + MAX_LEASE_S / 2
            self._written[crash_id] = _WrittenReport(
                report, lease_s, lease.era, replaced_at, held
            )
        return failure

    def _is_in_store(self, crash_id: str) -> bool:
        """Tell whether the store has any report of a crash in this era."""
        written = self._written.get(crash_id)
        return written is not None and written.era == self._store.eras.newest

    def _is_written(
        self, crash_id: str, report: CrashReport, lease_s: float
    ) -> bool:
        """Tell whether the store has a report for as long as needed."""
        if not self._is_in_store(crash_id):
            return False
        written = self._written[crash_id]
        return (
            written.lease_s >= lease_s
            and written.replaced_at > self._evidence.clock()
            and written.report.has_same_content(report)
        )

    def _key(self, crash_id: str) -> str:
        digest = xxhash.xxh3_64_hexdigest(
            f'{crash_id} {self._link.node}'.encode()
        )
        return f'{self._prefix}{digest}'


def _encode(report: CrashReport) -> bytes:
    """Return a report as a value.

    If it exceeds the largest one, parts of prompts are left out.
    """
    content = msgspec.json.encode(report)
    if len(content) <= MAX_VALUE_BYTES:
        return content
    reports = split_report(report, MAX_VALUE_BYTES // JSON_RATIO)
    return msgspec.json.encode(next(one for one in reports if one.suspects))
