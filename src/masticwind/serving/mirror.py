"""Keeps a local copy of one prefix of the metadata store.

One watch is open for each prefix. After a failure the prefix is watched on
from the last revision, and after compaction it is listed again. The moment
at which the last successful call began tells how old the copy can be, unless
another entry confirms a later moment; it is measured on a clock that also
counts the time in which the instance was suspended.

`last_change_revision` is a revision after which nothing had changed when the copy was
last confirmed.
"""

import abc
import random
from dataclasses import dataclass
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import boot_time
from masticwind.errors import Failure
from masticwind.serving.store import (
    Changes,
    Compacted,
    Item,
    Listing,
    MetadataStore,
)

# Pause after a failed call; doubled up to the limit, with full jitter, so
# that entries do not return to a recovered store at the same moment.
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 0.5
# Longest pause while other entries confirm the copy.
CONFIRMED_PAUSE_S: Final = 2.0
# While a process has run for less than this, many others may just have been
# started, too, and changes collect for a shorter time.
SETTLING_S: Final = 8.0
FIRST_BATCH_S: Final = 1.0
# Shortest time that a watch call can wait.
POLL_WAIT_S: Final = 0.001
# A poll without an answer for this long has met a store that is lost or a
# connection that has gone silent.
POLL_ANSWER_S: Final = 0.5
# Time in which the open watch brings a change that others know already.
CHANGE_GRACE_S: Final = 0.2


class Sink(abc.ABC):
    """Receives what a mirror reads."""

    @abc.abstractmethod
    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Take over a whole listing."""

    @abc.abstractmethod
    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Take over changed and removed items, oldest first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MirrorOptions:
    """How one prefix is watched.

    `wait_s` is the longest time that one watch call waits. `batch_interval_s` is a
    pause between watch calls, in which changes collect.
    """

    prefix: str
    wait_s: float
    batch_interval_s: float = 0


class Mirror:
    """Mirrors one prefix into a sink.

    A mirror with a `connection_monitor` leaves it to that mirror of the same store to
    find out when a lost store is back.
    """

    def __init__(
        self,
        store: MetadataStore,
        sink: Sink,
        options: MirrorOptions,
        connection_monitor: 'Mirror | None' = None,
    ) -> None:
        self._store: Final = store
        self._sink: Final = sink
        self._options: Final = options
        self._connection_monitor: Final = connection_monitor
        self._back = anyio.Event()
        self._rows: dict[str, Item] = {}
        self._as_of = float('-inf')
        self._revision = 0
        # A revision of which others told, and up to which nothing is missing.
        self._settled = 0
        self._connected = False
        self._returned_at = float('-inf')
        self._told = 0
        self._told_at = float('-inf')
        self._watch: anyio.CancelScope | None = None
        self.last_change_revision = 0

    @property
    def connected(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._connected

    @property
    def loaded(self) -> bool:
        """Whether the prefix has been read once."""
        return self._revision > 0

    @property
    def revision(self) -> int:
        """The revision up to which the copy has every change."""
        return self._revision

    def listing(self) -> Listing:
        """Return all that the copy holds."""
        return Listing(tuple(self._rows.values()), self._revision)

    def age_s(self) -> float:
        """Return how old the copy can be, in seconds."""
        return boot_time() - self._as_of

    def reconnected_within(self, seconds: float) -> bool:
        """Tell whether the store came back at most `seconds` ago."""
        return not self._connected or boot_time() - self._returned_at <= seconds

    def confirm(self, last_change_revision: int, as_of: float) -> None:
        """Take over that nothing changed from a revision until a moment.

        `last_change_revision` is the last change before `as_of`, on the clock of
        `boot_time`. A copy that holds it is as recent as that.
        """
        if not self.loaded:
            return
        if last_change_revision <= self._complete():
            self._as_of = max(self._as_of, as_of)
        elif last_change_revision > self._told:
            if self._told <= self._complete():
                self._told_at = boot_time()
            self._told = last_change_revision

    def adopt_copy(
        self, listing: Listing, last_change_revision: int, as_of: float
    ) -> bool:
        """Take over a copy of another entry; tell whether it holds more.

        `last_change_revision` is its last change before `as_of`, on the clock of
        `boot_time`.
        """
        if not self.loaded or listing.revision <= self._revision:
            return False
        self._replace(listing)
        self.last_change_revision = last_change_revision
        self._as_of = max(self._as_of, as_of)
        return True

    def has_missed_change(self) -> bool:
        """Tell whether a change was missed: another entry told of it some
        time ago, and it has still not arrived.
        """
        if not self.loaded or self._told <= self._complete():
            return False
        return boot_time() - self._told_at >= CHANGE_GRACE_S

    async def poll(self) -> bool:
        """Ask the store whether there are changes, beside the open watch.

        Returns whether there was an answer.
        """
        started = boot_time()
        told = self._told
        after = self._revision
        changes = await self._store.watch_prefix(
            self._options.prefix,
            after,
            POLL_WAIT_S,
            POLL_ANSWER_S,
        )
        if isinstance(changes, Failure):
            # The watch may have gone silent as well.
            self._note_loss(changes)
            self._give_up_watch('poll failed')
            return False
        if self._revision != after:
            # The watch was quicker.
            return True
        if isinstance(changes, Compacted):
            self._give_up_watch('history compacted')
            return True
        if changes.items:
            self._give_up_watch('change missed')
        self._take(changes)
        self._settle(told)
        self._as_of = max(self._as_of, started)
        return True

    async def wait_until_connected(self) -> None:
        """Wait until the last call to the store was answered."""
        while not self._connected:
            await self._back.wait()

    async def run(self) -> None:
        """Mirror until cancelled."""
        pause_s = FIRST_PAUSE_S
        begun = boot_time()
        while True:
            watch = anyio.CancelScope()
            self._watch = watch
            with watch:
                failure = await self.sync_once()
            if watch.cancelled_caught:
                continue
            if failure is None:
                pause_s = FIRST_PAUSE_S
                await anyio.sleep(self._batch_interval_s(boot_time() - begun))
                continue
            await anyio.sleep(pause_s * random.uniform(0.5, 1))
            pause_s = min(self._longest_pause_s(), pause_s * 2)
            if self._connection_monitor is not None:
                await self._connection_monitor.wait_until_connected()

    async def sync_once(self) -> Failure | None:
        """List or watch once and take over what is new."""
        started = boot_time()
        told = self._told
        failure = await self._list_or_watch()
        if failure is None:
            self._settle(told)
            self._as_of = max(self._as_of, started)
        else:
            self._note_loss(failure)
        return failure

    def _batch_interval_s(self, running_s: float) -> float:
        if running_s < SETTLING_S:
            return min(FIRST_BATCH_S, self._options.batch_interval_s)
        return self._options.batch_interval_s

    def _longest_pause_s(self) -> float:
        if self.loaded and self.age_s() < CONFIRMED_PAUSE_S:
            return CONFIRMED_PAUSE_S
        return LONGEST_PAUSE_S

    async def _list_or_watch(self) -> Failure | None:
        options = self._options
        if not self.loaded:
            listing = await self._store.list_prefix(options.prefix)
            if isinstance(listing, Failure):
                return listing
            self._note_return()
            self._replace(listing)
            self.last_change_revision = listing.revision
            return None
        # A call that begins before the store's return may never be answered,
        # so calls that look for the return do not wait for changes.
        wait_s = options.wait_s if self._connected else POLL_WAIT_S
        changes = await self._store.watch_prefix(
            options.prefix,
            self._revision,
            wait_s,
        )
        if isinstance(changes, Failure):
            return changes
        self._note_return()
        if isinstance(changes, Compacted):
            logger.bind(prefix=options.prefix, revision=self._revision).info(
                'store_history_compacted'
            )
            self._revision = 0
            return await self._list_or_watch()
        self._take(changes)
        return None

    def _replace(self, listing: Listing) -> None:
        self._rows = {item.key: item for item in listing.items}
        self._sink.replace_all(listing.items)
        self._revision = listing.revision

    def _take(self, changes: Changes) -> None:
        # A watch that was open when a copy was adopted repeats older changes.
        items = tuple(
            item for item in changes.items if item.revision > self._revision
        )
        if items:
            self._keep(items)
            self._pass_on(items)
            self.last_change_revision = max(item.revision for item in items)
        self._revision = max(self._revision, changes.revision)

    def _settle(self, told: int) -> None:
        """Note that a call was answered which began after `told` was known.

        The store had that revision by then, so the copy has every change up
        to it; the answer itself may name the revision of the last change
        under the prefix only. What others say is no place to watch on from:
        a wrong revision would hide changes.
        """
        self._settled = max(self._settled, told)

    def _complete(self) -> int:
        return max(self._revision, self._settled)

    def _keep(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.value is None:
                self._rows.pop(item.key, None)
                continue
            self._rows[item.key] = item

    def _pass_on(self, items: tuple[Item, ...]) -> None:
        """Give changes to the sink; one that it cannot take is left out."""
        try:
            self._sink.apply_changes(items)
        except Exception as exc:
            logger.opt(exception=exc).bind(
                keys=[item.key for item in items],
            ).error('change_failed')
            if len(items) > 1:
                for item in items:
                    self._pass_on((item,))

    def _give_up_watch(self, reason: str) -> None:
        logger.bind(
            prefix=self._options.prefix,
            revision=self._revision,
            reason=reason,
        ).warning('watch_given_up')
        if self._watch is not None:
            self._watch.cancel()

    def _note_return(self) -> None:
        if self._connected:
            return
        self._connected = True
        self._back.set()
        self._back = anyio.Event()
        self._returned_at = boot_time()
        logger.bind(prefix=self._options.prefix).info('store_connected')

    def _note_loss(self, failure: Failure) -> None:
        if self._connected:
            logger.bind(
                prefix=self._options.prefix,
                reason=failure.reason,
                age_s=round(self.age_s(), 3),
            ).warning('store_lost')
        self._connected = False
