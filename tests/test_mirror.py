"""Mirrors of a store whose calls are not answered."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.serving.mirror import (
    Mirror,
    MirrorOptions,
    Sink,
)
from masticwind.serving.reported_changes import CHANGE_GRACE_S
from masticwind.serving.store import (
    ANSWER_TIMEOUT_S,
    Changes,
    Compacted,
    Item,
    Listing,
)
from masticwind.serving.store_connection import StoreConnection
from masticwind.serving.store_eras import NO_ERA, StoreRevision
from tests.manual_clock import ManualClock
from tests.unwritable_store import DOWN, UnwritableStore

pytestmark = pytest.mark.anyio

WATCH_WAIT_S: Final = 2.5
# A configuration change must be in force within this time; the smallest sites
# have this limit, the strictest one.
MAX_CHANGE_DELAY_S: Final = 2.0
CHANGE: Final = Item('op/config', b'new', 2)
CHANGED: Final = StoreRevision(NO_ERA, CHANGE.revision)


class UnresponsiveStore(UnwritableStore):
    """Never answers watches that start while `unresponsive` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.unresponsive = False
        self.changed = anyio.Event()
        self.calls: Final = Counter[str]()

    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Return an empty listing."""
        return Listing((), StoreRevision(NO_ERA, 1))

    async def watch_prefix(
        self,
        prefix: str,
        after: StoreRevision,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted | Failure:
        """Wait for the change, or for the timeout of the caller."""
        self.calls[prefix] += 1
        if self.unresponsive:
            await anyio.sleep(wait_s + answer_timeout_s)
            return DOWN
        if after >= CHANGED:
            await anyio.sleep(wait_s)
            return Changes((), after)
        with anyio.move_on_after(wait_s):
            await self.changed.wait()
            return Changes((CHANGE,), CHANGED)
        return Changes((), after)


class ArrivalSink(Sink):
    """Records that a change has arrived."""

    def __init__(self) -> None:
        self.arrived: Final = anyio.Event()

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Do nothing, since all listings are empty."""

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Record that the change has arrived."""
        self.arrived.set()


@asynccontextmanager
async def _running_mirror(
    store: UnresponsiveStore,
    sink: Sink,
) -> AsyncIterator[Mirror]:
    mirror = Mirror(
        store, sink, MirrorOptions(prefix='op/', wait_s=WATCH_WAIT_S)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        while not mirror.loaded:
            await anyio.sleep(0.01)
        yield mirror
        tasks.cancel_scope.cancel()


async def _wait_for_connected(mirror: Mirror, *, connected: bool) -> None:
    while mirror.connected != connected:
        await anyio.sleep(0.01)


async def test_recovery_of_an_unresponsive_store_is_detected_in_time() -> None:
    """Guards against an entry whose copy stays old for seconds after the
    store's recovery, because it still waits for a call of the outage.
    """
    store = UnresponsiveStore()
    sink = ArrivalSink()
    store.unresponsive = True
    async with _running_mirror(store, sink) as mirror:
        while mirror.connected:
            await anyio.sleep(0.05)
        # The mirror has detected the outage and has started its next call.
        await anyio.sleep(0.6)
        store.unresponsive = False
        store.changed.set()
        with anyio.fail_after(MAX_CHANGE_DELAY_S):
            await sink.arrived.wait()


async def test_poll_over_a_dead_connection_times_out_in_time() -> None:
    """Guards against a poll that waits on a dead connection for as long as a
    change may take to be in force.
    """
    store = UnresponsiveStore()
    async with _running_mirror(store, ArrivalSink()) as mirror:
        store.unresponsive = True
        with anyio.fail_after(MAX_CHANGE_DELAY_S / 2):
            assert not await mirror.poll()


async def test_missed_change_is_detected_after_one_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change that an entry reads only after several reports
    of other entries.
    """
    clock = ManualClock()
    for module in ('mirror', 'reported_changes'):
        monkeypatch.setattr(f'masticwind.serving.{module}.boot_time', clock)
    mirror = Mirror(
        UnresponsiveStore(),
        ArrivalSink(),
        MirrorOptions(prefix='op/', wait_s=WATCH_WAIT_S),
    )
    await mirror.sync_once()
    mirror.confirm(CHANGED, clock())
    assert not mirror.has_missed_change()
    clock.now += CHANGE_GRACE_S
    assert mirror.has_missed_change()


async def test_failed_poll_replaces_a_hanging_watch() -> None:
    """Guards against a watch that hangs for seconds after all connections to
    the store have died, though a poll has already failed.
    """
    store = UnresponsiveStore()
    sink = ArrivalSink()
    async with _running_mirror(store, sink) as mirror:
        store.unresponsive = True
        await anyio.sleep(WATCH_WAIT_S + 0.1)
        # By now the next watch has started and hangs.
        assert not await mirror.poll()
        store.unresponsive = False
        store.changed.set()
        with anyio.fail_after(MAX_CHANGE_DELAY_S / 2):
            await sink.arrived.wait()


async def test_only_the_monitor_probes_a_store_that_is_down() -> None:
    """Guards against an outage in which all mirrors of all entries probe the
    store, and against a mirror that does not resume after the outage.
    """
    store = UnresponsiveStore()
    async with _running_mirror(store, ArrivalSink()) as monitor:
        follower = Mirror(
            store,
            ArrivalSink(),
            MirrorOptions(prefix='servers/', wait_s=0.1),
            connection=StoreConnection('servers/', monitor.connection),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.sleep(0.05)
            store.unresponsive = True
            await _wait_for_connected(monitor, connected=False)
            await _wait_for_connected(follower, connected=False)
            calls_before = store.calls['servers/']
            await anyio.sleep(2.5)
            assert store.calls['servers/'] - calls_before <= 1
            store.unresponsive = False
            with anyio.fail_after(MAX_CHANGE_DELAY_S):
                await _wait_for_connected(follower, connected=True)
            tasks.cancel_scope.cancel()
