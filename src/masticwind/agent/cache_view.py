"""Tracks an engine's prefix cache and replicates the result to entries.

The agent polls the engine's cache events, applies them to its own view and
sends the changes to every connected entry.

Engines publish cache events late and with gaps, so after the first gap the
view is only a hint. The view and the log of recent changes are bounded. An
entry that has just connected, or that has fallen behind the log, is
resynchronised with the most recently added blocks.
"""

import itertools
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.engines.base import CacheEvents, Engine
from masticwind.errors import Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import CacheBlocks, Offer
from masticwind.tokens import count_cached_blocks

POLL_INTERVAL_S: Final = 0.5
MAX_BLOCKS: Final = 65_536
MAX_LOG_CHANGES: Final = 4096
# Limits a resynchronisation to about 18 KB per connection.
MAX_RESYNC_BLOCKS: Final = 2048
# Limits continuous deltas to about 1 KB/s per connection.
MAX_BLOCKS_PER_DELTA: Final = 64
# After a larger gap more blocks of the view would be wrong than right.
MAX_MISSING_EVENTS: Final = 4096


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the view; numbers start at 1 and jump on a reset."""

    number: int
    block: int
    added: bool


class CacheView:
    """Holds the blocks that are probably cached and a log of changes."""

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks: Final = max_blocks
        self._blocks: Final = OrderedDict[int, None]()
        self._log: Final = deque[Change](maxlen=MAX_LOG_CHANGES)
        self._last_event_sequence = 0
        self.gaps = 0
        self.resets = 0

    def __len__(self) -> int:
        return len(self._blocks)

    @property
    def last_event_sequence(self) -> int:
        """Sequence number of the last applied event."""
        return self._last_event_sequence

    @property
    def last_change_number(self) -> int:
        """Number of the last change; 0 before the first change."""
        return self._log[-1].number if self._log else 0

    def apply_events(self, events: CacheEvents) -> None:
        """Apply the engine's events that follow `last_event_sequence`."""
        if events.last <= self._last_event_sequence:
            return
        missing_events = events.first - self._last_event_sequence - 1
        if missing_events > 0:
            self.gaps += 1
        if missing_events > MAX_MISSING_EVENTS:
            self.reset()
        self._last_event_sequence = events.last
        removed = set(events.removed)
        for block in events.removed:
            self._apply_change(block, added=False)
        # The order of additions and removals within a response is unknown. A
        # block in both lists counts as removed: a missed cache hit costs less
        # than routing requests to a block that is not there.
        for block in events.added:
            if block not in removed:
                self._apply_change(block, added=True)

    def reset(self) -> None:
        """Clear the view after an engine restart or a large gap in events."""
        self.resets += 1
        self._last_event_sequence = 0
        self._blocks.clear()
        # A gap in the change numbers makes every entry resynchronise.
        number = self.last_change_number + MAX_LOG_CHANGES + 1
        self._log.clear()
        self._log.append(Change(number, 0, added=False))

    def recent_blocks(self) -> tuple[int, ...]:
        """Return the most recently added blocks, for a resynchronisation."""
        newest = itertools.islice(reversed(self._blocks), MAX_RESYNC_BLOCKS)
        return tuple(newest)

    def cached_tokens(self, offer: Offer) -> int:
        """Estimate how many tokens of an offer's prompt are in the cache."""
        if not offer.prefix:
            return 0
        cached_fraction = count_cached_blocks(offer.prefix, self._blocks) / len(
            offer.prefix
        )
        return min(
            int(cached_fraction * offer.prompt_tokens), offer.prompt_tokens - 1
        )

    def changes_after(self, after: int) -> tuple[Change, ...] | None:
        """Return up to `MAX_BLOCKS_PER_DELTA` changes that follow `after`.

        Returns None if the log no longer contains all of them.
        """
        first = self._log[0].number if self._log else 1
        if after < first - 1:
            return None
        start_index = after - first + 1
        stop_index = start_index + MAX_BLOCKS_PER_DELTA
        return tuple(itertools.islice(self._log, start_index, stop_index))

    def _apply_change(self, block: int, *, added: bool) -> None:
        known = block in self._blocks
        if added:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        elif known:
            self._blocks.pop(block)
        if known is not added:
            self._log_change(block, added=added)
        if len(self._blocks) > self._max_blocks:
            oldest, _none = self._blocks.popitem(last=False)
            self._log_change(oldest, added=False)

    def _log_change(self, block: int, *, added: bool) -> None:
        self._log.append(Change(self.last_change_number + 1, block, added))


class CachePublisher:
    """Polls an engine's cache events and sends deltas to connected entries."""

    def __init__(self, engine: Engine) -> None:
        self._engine: Final = engine
        self._cursors: Final[dict[Channel, int | None]] = {}
        self.view: Final = CacheView()

    def add_channel(self, channel: Channel) -> None:
        """Register a connection; the next poll resynchronises it."""
        self._cursors[channel] = None

    def remove_channel(self, channel: Channel) -> None:
        """Stop publishing to a connection."""
        self._cursors.pop(channel, None)

    async def run(self) -> None:
        """Poll and publish until cancelled."""
        while True:
            await self._poll()
            self.publish()
            await anyio.sleep(POLL_INTERVAL_S)

    def publish(self) -> None:
        """Send each connection its next delta, or a resynchronisation."""
        for channel, cursor in list(self._cursors.items()):
            changes = None
            if cursor is not None:
                changes = self.view.changes_after(cursor)
            if changes is None:
                channel.send(CacheBlocks(self.view.recent_blocks(), reset=True))
                self._cursors[channel] = self.view.last_change_number
            elif changes:
                channel.send(_delta(changes))
                self._cursors[channel] = changes[-1].number

    async def _poll(self) -> None:
        events = await self._engine.read_cache_events(
            self.view.last_event_sequence
        )
        if not isinstance(events, Failure):
            self.view.apply_events(events)


def _delta(changes: tuple[Change, ...]) -> CacheBlocks:
    """Combine consecutive changes into their net effect."""
    final_states = {change.block: change.added for change in changes}
    return CacheBlocks(
        added=tuple(block for block, added in final_states.items() if added),
        removed=tuple(
            block for block, added in final_states.items() if not added
        ),
    )
