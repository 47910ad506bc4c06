"""Keeps a local copy of one prefix of the metadata store.

One watch is open for each prefix. After a failure the prefix is watched on
from the last revision, and after compaction it is listed again. The moment
at which the last successful call began tells how old the copy can be; it is
measured on a clock that also counts the time in which the instance was
suspended.
"""

import abc
import random
import time
from dataclasses import dataclass
from typing import Final

import anyio
from loguru import logger

from masticwind.errors import Failure
from masticwind.serving.store import Changes, Compacted, Item, MetadataStore

# Pause after a failed call; doubled up to the limit, with full jitter, so
# that entries do not return to a recovered store at the same moment.
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 0.5


def boot_time() -> float:
    """Return seconds of a clock that runs while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Sink(abc.ABC):
    """Receives what a mirror reads."""

    @abc.abstractmethod
    def replace(self, items: tuple[Item, ...]) -> None:
        """Take over a whole listing."""

    @abc.abstractmethod
    def change(self, items: tuple[Item, ...]) -> None:
        """Take over changed and removed items, oldest first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MirrorOptions:
    """How one prefix is watched.

    `wait_s` is the longest time that one watch call waits; it bounds how old
    an unchanged copy looks. `batch_s` is a pause between watch calls, in
    which changes collect.
    """

    prefix: str
    wait_s: float
    batch_s: float = 0


class Mirror:
    """Mirrors one prefix into a sink."""

    def __init__(
        self,
        store: MetadataStore,
        sink: Sink,
        options: MirrorOptions,
    ) -> None:
        self._store: Final = store
        self._sink: Final = sink
        self._options: Final = options
        self._as_of = float('-inf')
        self._revision = 0
        self._connected = False
        self._returned_at = float('-inf')

    def age_s(self) -> float:
        """Return how old the copy can be, in seconds."""
        return boot_time() - self._as_of

    @property
    def listed(self) -> bool:
        """Whether the prefix has been read once."""
        return self._revision > 0

    def returned_within(self, seconds: float) -> bool:
        """Tell whether the store came back at most `seconds` ago."""
        return not self._connected or boot_time() - self._returned_at <= seconds

    async def run(self) -> None:
        """Mirror until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            started = boot_time()
            failure = await self._step()
            if failure is None:
                self._succeeded(started)
                pause_s = FIRST_PAUSE_S
                await anyio.sleep(self._options.batch_s)
                continue
            self._failed(failure)
            await anyio.sleep(pause_s * random.uniform(0.5, 1))
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def _step(self) -> Failure | None:
        options = self._options
        if not self._revision:
            listing = await self._store.list_prefix(options.prefix)
            if isinstance(listing, Failure):
                return listing
            self._note_return()
            self._sink.replace(listing.items)
            self._revision = listing.revision
            return None
        changes = await self._store.watch_prefix(
            options.prefix,
            self._revision,
            options.wait_s,
        )
        if isinstance(changes, Failure):
            return changes
        self._note_return()
        if isinstance(changes, Compacted):
            logger.bind(prefix=options.prefix, revision=self._revision).info(
                'store_history_compacted'
            )
            self._revision = 0
            return await self._step()
        self._take(changes)
        return None

    def _take(self, changes: Changes) -> None:
        if changes.items:
            self._sink.change(changes.items)
        self._revision = max(self._revision, changes.revision)

    def _note_return(self) -> None:
        if self._connected:
            return
        self._connected = True
        self._returned_at = boot_time()
        logger.bind(prefix=self._options.prefix).info('store_connected')

    def _succeeded(self, started: float) -> None:
        self._as_of = started

    def _failed(self, failure: Failure) -> None:
        if self._connected:
            logger.bind(
                prefix=self._options.prefix,
                reason=failure.reason,
                age_s=round(self.age_s(), 3),
            ).warning('store_lost')
        self._connected = False
