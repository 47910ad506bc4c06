"""The reports of crashes that an entry keeps in the metadata store."""

from typing import Final

import anyio
import pytest

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.crash_archive import MAX_LEASE_S, CrashArchive
from masticwind.serving.crash_evidence import CrashEvidence, Suspect
from masticwind.serving.crash_link import CrashLink
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.peers import EntryPeers
from masticwind.serving.quarantine import Quarantine
from masticwind.serving.store import (
    Changes,
    Compacted,
    Item,
    Lease,
    Listing,
    MetadataStore,
)
from masticwind.serving.store_eras import NO_ERA, StoreRevision
from tests.entry_harness import sample_settings
from tests.manual_clock import ManualClock
from tests.odd_values import nested_array

pytestmark = pytest.mark.anyio

POISON: Final = 'poison'
DOWN: Final = Failure(kind=ErrorKind.PLATFORM_DOWN, reason='down')


class RecordingStore(MetadataStore):
    """Keeps values and the lengths of their leases; it can be down."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.values: dict[str, bytes] = {}
        self.leases_s: dict[str, float] = {}
        self._granted_s: list[float] = []

    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Return all values."""
        items = (Item(key, value, 1) for key, value in self.values.items())
        revision = StoreRevision(NO_ERA, 1)
        return DOWN if self.down else Listing(tuple(items), revision)

    async def watch_prefix(
        self,
        prefix: str,
        after: StoreRevision,
        wait_s: float,
        answer_timeout_s: float = 1,
    ) -> Changes | Compacted | Failure:
        """Fail: the archive does not watch."""
        return DOWN

    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        """Grant a lease."""
        self._granted_s.append(ttl_s)
        return DOWN if self.down else Lease(len(self._granted_s), NO_ERA)

    async def renew_lease(self, lease: Lease) -> Failure | None:
        """Fail: the archive renews no lease."""
        return DOWN

    async def put(self, key: str, value: bytes, lease: Lease) -> Failure | None:
        """Write a value under a lease."""
        if self.down:
            return DOWN
        self.values[key] = value
        self.leases_s[key] = self._granted_s[lease.number - 1]
        return None


class ArchivingEntry:
    """The quarantine of an entry that keeps its reports in a store."""

    def __init__(self, store: MetadataStore) -> None:
        cfg = sample_settings()
        peers = EntryPeers(cfg)
        self.evidence = CrashEvidence()
        self.link = CrashLink(PeerSocket(cfg), peers, self.evidence)
        archive = CrashArchive(store, 'crashes/', self.link)
        self.quarantine = Quarantine(self.link, peers, archive)

    def crash(self, number: int) -> None:
        """Crash an engine under a new prompt with the part."""
        self.link.report_crash(
            f'e-{number}/1',
            Suspect(
                request_id=f'r{number}',
                answer_begun=True,
                prompt=f'prompt:{number}',
                parts=(POISON,),
                prior_scores=(0, self.evidence.score(POISON)),
            ),
        )

    def crash_call(self, number: int) -> None:
        """Crash an engine under a call."""
        self._crash_call(number, 'call:1')

    def crash_other_call(self, number: int) -> None:
        """Crash an engine under a call that has crashed no other one."""
        self._crash_call(number, f'call:other-{number}')

    def _crash_call(self, number: int, call: str) -> None:
        self.link.report_crash(
            f'e-{number}/1',
            Suspect(
                request_id=f'r{number}',
                answer_begun=False,
                prompt=call,
                parts=(),
                prior_scores=(self.evidence.prior_score(call),),
            ),
        )


async def test_reports_stay_in_the_store_as_long_as_the_hold() -> None:
    """Guards against a hold of which a restart finds only the last crash."""
    store = RecordingStore()
    entry = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.quarantine.run)
        for number in range(4):
            entry.crash(number)
            await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    hold = entry.evidence.holds()[POISON]
    assert len(store.leases_s) == 4
    assert min(store.leases_s.values()) >= hold.duration_s


async def test_reports_are_written_after_an_outage_of_the_store() -> None:
    """Guards against a hold that is forgotten as the store was down."""
    store = RecordingStore()
    entry = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.quarantine.run)
        await anyio.sleep(0.1)
        store.down = True
        for number in range(2):
            entry.crash(number)
        await anyio.sleep(0.3)
        assert not store.values
        store.down = False
        with anyio.fail_after(3):
            while len(store.values) < 2:
                await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    restarted = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(restarted.quarantine.run)
        await anyio.sleep(0.1)
        assert POISON in restarted.evidence.holds()
        tasks.cancel_scope.cancel()


async def test_released_part_is_not_held_again_after_a_restart() -> None:
    """Guards against a store that brings back what was released."""
    store = RecordingStore()
    entry = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.quarantine.run)
        for number in range(2):
            entry.crash(number)
        await anyio.sleep(0.3)
        assert entry.quarantine.release(POISON)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    restarted = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(restarted.quarantine.run)
        await anyio.sleep(0.1)
        assert not restarted.evidence.holds()
        tasks.cancel_scope.cancel()


async def test_first_crash_of_a_call_is_known_after_a_restart() -> None:
    """Guards against a call that ends more engines whenever all entries are
    killed after its first crashes.
    """
    store = RecordingStore()
    entry = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.quarantine.run)
        entry.crash_call(0)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    restarted = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(restarted.quarantine.run)
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    assert restarted.evidence.prior_score('call:1') == 1


async def test_crashes_without_a_hold_are_written_at_a_limited_rate() -> None:
    """Guards against a store that is overloaded by many crashes at once."""
    store = RecordingStore()
    entry = ArchivingEntry(store)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.quarantine.run)
        for number in range(40):
            entry.crash_other_call(number)
        await anyio.sleep(1.5)
        tasks.cancel_scope.cancel()
    assert 1 <= len(store.values) <= 2


@pytest.mark.parametrize(
    'value',
    [
        b'\xff{',
        b'',
        nested_array(),
        b'["c", 0, [], [], true, %b]' % nested_array(),
    ],
    ids=['wrong encoding', 'empty', 'nested', 'nested in a field'],
)
async def test_unreadable_report_does_not_stop_the_others(value: bytes) -> None:
    """Guards against a value of another writer that hides all reports."""
    store = RecordingStore()
    entry = ArchivingEntry(store)
    store.values['crashes/other'] = value
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.quarantine.run)
        for number in range(2):
            entry.crash(number)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert len(store.values) == 3


async def test_reports_of_a_call_outlast_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a held call that ends engines again after a restart of
    all entries, because the lease of the reports has ended before the hold.
    """
    monkeypatch.setattr(
        'masticwind.serving.crash_archive.LEASE_CHECK_INTERVAL_S', 0.05
    )
    store = RecordingStore()
    entry = ArchivingEntry(store)
    clock = ManualClock()
    entry.evidence.clock = clock  # type: ignore[misc]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(entry.quarantine.run)
        for number in range(3):
            entry.crash_call(number)
        await anyio.sleep(0.5)
        granted = len(store._granted_s)
        assert store.leases_s
        clock.now += MAX_LEASE_S / 2 + 1
        await anyio.sleep(0.5)
        tasks.cancel_scope.cancel()
    assert len(store._granted_s) == 2 * granted
