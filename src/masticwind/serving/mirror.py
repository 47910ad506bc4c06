"""Keeps a local copy of one prefix of the metadata store.

One watch is open for each prefix. After a failure the watch resumes from the
last revision; after a compaction, and in a new era of the store, the prefix is
listed again.

The age of the copy counts from the start of the last successful call, or from a
later time that another entry confirms. It is measured on a clock that also runs
while the instance is suspended.

`last_change_revision` is a revision after which the prefix had not changed
when the copy was last confirmed.
"""

import abc
import random
from dataclasses import dataclass
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import boot_time
from masticwind.errors import Failure
from masticwind.serving.reported_changes import (
    NOTHING_SEEN,
    ReportedChanges,
)
from masticwind.serving.store import (
    Changes,
    Compacted,
    Item,
    Listing,
    MetadataStore,
)
from masticwind.serving.store_connection import StoreConnection
from masticwind.serving.store_eras import StoreRevision

# Exponential backoff after failed calls, with jitter, so that entries do not
# reconnect to a recovered store at the same moment.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.5
# Limit of the backoff while other entries confirm the copy.
MAX_CONFIRMED_BACKOFF_S: Final = 2.0
# During this time after the start of the process, many other processes may be
# starting too, so changes are collected in shorter batches.
STARTUP_S: Final = 8.0
STARTUP_BATCH_INTERVAL_S: Final = 1.0
# Shortest wait that a watch call can ask for.
MIN_WATCH_WAIT_S: Final = 0.001
# After this time without an answer to a poll, the store is down or the
# connection is dead.
POLL_TIMEOUT_S: Final = 0.5


class Sink(abc.ABC):
    """Receives the contents of a mirror."""

    @abc.abstractmethod
    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Replace the contents by a complete listing."""

    @abc.abstractmethod
    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changed and removed items, oldest first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MirrorOptions:
    """How one prefix is watched.

    `wait_s` is the longest time that one watch call waits for changes.
    `batch_interval_s` is a pause between watch calls, so that one call returns
    several changes.
    """

    prefix: str
    wait_s: float
    batch_interval_s: float = 0


class _GuardedSink:
    """Passes contents to a sink, whose errors are logged."""

    def __init__(self, prefix: str, sink: Sink) -> None:
        self._prefix: Final = prefix
        self._sink: Final = sink

    def replace_all(
        self, items: tuple[Item, ...], removed: tuple[Item, ...]
    ) -> None:
        """Pass a listing to the sink.

        If the sink raises an error, it gets the differences one by one.
        """
        try:
            self._sink.replace_all(items)
        except Exception as exc:
            logger.opt(exception=exc).bind(prefix=self._prefix).error(
                'listing_failed'
            )
            for item in (*removed, *items):
                self.apply_changes((item,))

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Pass changes to the sink, skipping each one that raises an error."""
        try:
            self._sink.apply_changes(items)
        except Exception as exc:
            logger.opt(exception=exc).bind(
                keys=[item.key for item in items],
            ).error('change_failed')
            if len(items) > 1:
                for item in items:
                    self.apply_changes((item,))


class Mirror:
    """Mirrors one prefix into a sink."""

    def __init__(
        self,
        store: MetadataStore,
        sink: Sink,
        options: MirrorOptions,
        connection: StoreConnection | None = None,
    ) -> None:
        self._store: Final = store
        self._sink: Final = _GuardedSink(options.prefix, sink)
        self._options: Final = options
        self.connection: Final = connection or StoreConnection(options.prefix)
        self._items: dict[str, Item] = {}
        self._as_of = float('-inf')
        self._loaded = False
        self._must_list = False
        self._revision = NOTHING_SEEN
        self._reports: Final = ReportedChanges(options.prefix)
        self._watch: anyio.CancelScope | None = None
        self._watching = False
        self.last_change_revision = NOTHING_SEEN

    @property
    def connected(self) -> bool:
        """Whether the last call to the store was answered."""
        return self.connection.connected

    @property
    def loaded(self) -> bool:
        """Whether the prefix has been listed at least once."""
        return self._loaded

    @property
    def revision(self) -> StoreRevision:
        """The revision up to which the copy has every change."""
        return self._revision

    @property
    def prefix(self) -> str:
        """The prefix that is mirrored."""
        return self._options.prefix

    def listing(self) -> Listing:
        """Return the whole contents of the copy."""
        return Listing(tuple(self._items.values()), self._revision)

    def age_s(self) -> float:
        """Return the greatest possible age of the copy, in seconds."""
        return boot_time() - self._as_of

    def confirm(
        self, last_change_revision: StoreRevision, as_of: float
    ) -> None:
        """Apply another entry's report of the last change before a time.

        `as_of` is that time, on the clock of `boot_time`. A copy that holds
        this change is at least as recent as `as_of`.
        """
        if self.loaded and self._reports.report(
            last_change_revision, self._revision
        ):
            self._advance(as_of)

    def adopt_copy(
        self,
        listing: Listing,
        last_change_revision: StoreRevision,
        as_of: float,
    ) -> bool:
        """Adopt another entry's copy if it is newer; tell whether it was.

        `last_change_revision` is the copy's last change before `as_of`, which
        is on the clock of `boot_time`.
        """
        if not self.loaded or listing.revision <= self._revision:
            return False
        self._replace(listing)
        self.last_change_revision = last_change_revision
        self._advance(as_of)
        return True

    def has_missed_change(self) -> bool:
        """Tell whether other entries reported a change that this copy lacks."""
        return self.loaded and self._reports.is_change_missing(self._revision)

    async def poll(self) -> bool:
        """Poll the store for changes while the watch stays open.

        Returns whether the store answered.
        """
        started = boot_time()
        reported = self._reports.newest
        after = self._revision
        changes = await self._store.watch_prefix(
            self._options.prefix,
            after,
            MIN_WATCH_WAIT_S,
            POLL_TIMEOUT_S,
        )
        if isinstance(changes, Failure):
            # The connection of the watch may be dead as well.
            self.connection.record_disconnected(changes, self.age_s())
            self._cancel_watch('poll failed')
            return False
        if self._revision != after:
            # The watch delivered changes before the poll was answered.
            return True
        if isinstance(changes, Compacted):
            self._must_list = True
            self._cancel_watch('history compacted')
            return True
        if changes.items:
            self._cancel_watch('change missed')
        self._apply(changes)
        self._reports.verify(reported, self._revision)
        self._advance(started)
        return True

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_watches_of_earlier_eras)
            await self._follow()

    async def sync_once(self) -> Failure | None:
        """List or watch once, and apply the result."""
        started = boot_time()
        reported = self._reports.newest
        failure = await self._list_or_watch()
        if failure is None:
            self._reports.verify(reported, self._revision)
            self._advance(started)
        else:
            self.connection.record_disconnected(failure, self.age_s())
        return failure

    async def _follow(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        started = boot_time()
        while True:
            watch = anyio.CancelScope()
            self._watch = watch
            with watch:
                failure = await self.sync_once()
            if watch.cancelled_caught:
                continue
            if failure is None:
                backoff_s = INITIAL_BACKOFF_S
                await anyio.sleep(self._batch_interval_s(boot_time() - started))
                continue
            await anyio.sleep(backoff_s * random.uniform(0.5, 1))
            backoff_s = min(self._max_backoff_s(), backoff_s * 2)
            await self.connection.wait_for_monitor()

    async def _cancel_watches_of_earlier_eras(self) -> None:
        """Cancel an open watch once another call is answered in a new era."""
        eras = self._store.eras
        while True:
            era = eras.newest
            if self._watching and self._revision.era != era:
                self._cancel_watch('new era of the store')
            await eras.wait_for_change(era)

    def _batch_interval_s(self, running_s: float) -> float:
        if running_s < STARTUP_S:
            return min(STARTUP_BATCH_INTERVAL_S, self._options.batch_interval_s)
        return self._options.batch_interval_s

    def _max_backoff_s(self) -> float:
        if self.loaded and self.age_s() < MAX_CONFIRMED_BACKOFF_S:
            return MAX_CONFIRMED_BACKOFF_S
        return MAX_BACKOFF_S

    async def _list_or_watch(self) -> Failure | None:
        options = self._options
        if self._is_listing_due():
            return await self._list()
        # A call that starts before the store has recovered may never be
        # answered, so calls that probe for the recovery use the shortest wait.
        wait_s = options.wait_s if self.connected else MIN_WATCH_WAIT_S
        self._watching = True
        try:
            changes = await self._store.watch_prefix(
                options.prefix,
                self._revision,
                wait_s,
            )
        finally:
            self._watching = False
        if isinstance(changes, Failure):
            return changes
        self.connection.record_connected(self.age_s())
        if isinstance(changes, Compacted):
            logger.bind(
                prefix=options.prefix, revision=self._revision.number
            ).info('store_history_compacted')
            self._must_list = True
            return await self._list()
        self._apply(changes)
        return None

    def _advance(self, as_of: float) -> None:
        if as_of > self._as_of:
            self.connection.record_confirmation(as_of, as_of - self._as_of)
            self._as_of = as_of

    def _is_listing_due(self) -> bool:
        return (
            not self._loaded
            or self._must_list
            or self._revision.era != self._store.eras.newest
        )

    async def _list(self) -> Failure | None:
        listing = await self._store.list_prefix(self._options.prefix)
        if isinstance(listing, Failure):
            return listing
        self.connection.record_connected(self.age_s())
        self._replace(listing)
        self.last_change_revision = listing.revision
        return None

    def _replace(self, listing: Listing) -> None:
        if self.loaded and listing.revision.era != self._revision.era:
            self.connection.record_restored()
        known_keys = self._items.keys()
        self._items = {item.key: item for item in listing.items}
        removed = tuple(
            Item(key, None, listing.revision.number)
            for key in known_keys - self._items.keys()
        )
        self._sink.replace_all(listing.items, removed)
        self._loaded = True
        self._must_list = False
        self._revision = listing.revision
        logger.bind(
            prefix=self._options.prefix,
            era=self._revision.era,
            revision=self._revision.number,
            items=len(self._items),
        ).info('copy_replaced')

    def _apply(self, changes: Changes) -> None:
        if changes.revision.era != self._revision.era:
            # A copy of another era was adopted while the watch was open.
            return
        # A watch that was open while a newer copy was adopted can return
        # changes older than this copy.
        items = tuple(
            item
            for item in changes.items
            if item.revision > self._revision.number
        )
        if items:
            self._store_items(items)
            self._sink.apply_changes(items)
            self.last_change_revision = StoreRevision(
                self._revision.era, max(item.revision for item in items)
            )
        self._revision = max(self._revision, changes.revision)

    def _store_items(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.value is None:
                self._items.pop(item.key, None)
                continue
            self._items[item.key] = item

    def _cancel_watch(self, reason: str) -> None:
        logger.bind(
            prefix=self._options.prefix,
            era=self._revision.era,
            revision=self._revision.number,
            reason=reason,
        ).warning('watch_given_up')
        if self._watch is not None:
            self._watch.cancel()
