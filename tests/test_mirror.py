"""A mirror of a prefix while calls to the store stay without an answer."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.serving.mirror import (
    CHANGE_GRACE_S,
    Mirror,
    MirrorOptions,
    Sink,
)
from masticwind.serving.store import (
    ANSWER_TIMEOUT_S,
    Changes,
    Compacted,
    Item,
    Listing,
)
from tests.manual_clock import ManualClock
from tests.unwritable_store import DOWN, UnwritableStore

pytestmark = pytest.mark.anyio

WAIT_S: Final = 2.5
# Time in which a change must be in force, of the users' smallest sites.
CHANGE_S: Final = 2.0
CHANGE: Final = Item('op/config', b'new', 2)


class SilentStore(UnwritableStore):
    """Never answers calls that begin while it is silent."""

    def __init__(self) -> None:
        self.silent = False
        self.changed = anyio.Event()
        self.calls: Final = Counter[str]()

    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Return an empty listing."""
        return Listing((), 1)

    async def watch_prefix(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted | Failure:
        """Wait for the change, or for the client's time-out."""
        self.calls[prefix] += 1
        if self.silent:
            await anyio.sleep(wait_s + answer_timeout_s)
            return DOWN
        if after >= CHANGE.revision:
            await anyio.sleep(wait_s)
            return Changes((), after)
        with anyio.move_on_after(wait_s):
            await self.changed.wait()
            return Changes((CHANGE,), CHANGE.revision)
        return Changes((), after)


class LastItem(Sink):
    """Keeps the last change."""

    def __init__(self) -> None:
        self.arrived: Final = anyio.Event()

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Listings are empty here."""

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Note that the change has arrived."""
        self.arrived.set()


@asynccontextmanager
async def _running(
    store: SilentStore,
    sink: Sink,
) -> AsyncIterator[Mirror]:
    mirror = Mirror(store, sink, MirrorOptions(prefix='op/', wait_s=WAIT_S))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(mirror.run)
        while not mirror.loaded:
            await anyio.sleep(0.01)
        yield mirror
        tasks.cancel_scope.cancel()


async def _until(mirror: Mirror, *, connected: bool) -> None:
    while mirror.connected != connected:
        await anyio.sleep(0.01)


async def test_return_of_a_silent_store_is_noticed_in_time() -> None:
    """Guards against an entry that is versions behind for seconds after the
    store's return, because it still waits for a call of the outage.
    """
    store = SilentStore()
    sink = LastItem()
    store.silent = True
    async with _running(store, sink) as mirror:
        while mirror.connected:
            await anyio.sleep(0.05)
        # The mirror has noticed the loss and has begun its next call.
        await anyio.sleep(0.6)
        store.silent = False
        store.changed.set()
        with anyio.fail_after(CHANGE_S):
            await sink.arrived.wait()


async def test_poll_over_a_silent_connection_ends_soon() -> None:
    """Guards against a poll that waits for a connection that has gone
    silent for as long as a change may take to be in force.
    """
    store = SilentStore()
    async with _running(store, LastItem()) as mirror:
        store.silent = True
        with anyio.fail_after(CHANGE_S / 2):
            assert not await mirror.poll()


async def test_missed_change_is_noticed_after_one_reply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change that other entries know and that this one
    asks for only after several rounds of questions.
    """
    clock = ManualClock()
    monkeypatch.setattr('masticwind.serving.mirror.boot_time', clock)
    mirror = Mirror(
        SilentStore(),
        LastItem(),
        MirrorOptions(prefix='op/', wait_s=WAIT_S),
    )
    await mirror.sync_once()
    mirror.confirm(CHANGE.revision, clock())
    assert not mirror.has_missed_change()
    clock.now += CHANGE_GRACE_S
    assert mirror.has_missed_change()


async def test_watch_that_went_silent_with_a_poll_is_replaced() -> None:
    """Guards against a watch that stays silent for seconds after all open
    connections to the store have gone silent.
    """
    store = SilentStore()
    sink = LastItem()
    async with _running(store, sink) as mirror:
        store.silent = True
        await anyio.sleep(WAIT_S + 0.1)
        # The next watch hangs by now.
        assert not await mirror.poll()
        store.silent = False
        store.changed.set()
        with anyio.fail_after(CHANGE_S / 2):
            await sink.arrived.wait()


async def test_mirrors_of_a_lost_store_do_not_all_look_for_its_return() -> None:
    """Guards against calls that every mirror of every entry makes while the
    store is away, and against a mirror that misses its return.
    """
    store = SilentStore()
    async with _running(store, LastItem()) as leader:
        follower = Mirror(
            store,
            LastItem(),
            MirrorOptions(prefix='servers/', wait_s=0.1),
            connection_monitor=leader,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.sleep(0.05)
            store.silent = True
            await _until(leader, connected=False)
            await _until(follower, connected=False)
            calls = store.calls['servers/']
            await anyio.sleep(2.5)
            assert store.calls['servers/'] - calls <= 1
            store.silent = False
            with anyio.fail_after(CHANGE_S):
                await _until(follower, connected=True)
            tasks.cancel_scope.cancel()
