"""Bytes that one process buffers for requests.

What a peer sends is limited for each message, but many peers together could
still fill the memory of a machine. Everything that is kept until it can be
passed on is therefore taken from one budget, which follows from the memory of
the machine. Whoever gets nothing refuses, or passes on what it has.

    with budget.open_buffer() as buffer:
        if not buffer.try_grow(len(chunk)):
            return Failure(...)

What has arrived of a body may be discarded for others once nothing more has
come for a while, so that callers that stop do not take everything.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from masticwind.memory_shares import BUFFERS_SHARE, BYTES_PER_MB

# Of a budget that does not limit anything.
UNLIMITED_MB: Final = 1_000_000_000_000
# A body of which nothing has come for longer may be given up for others.
STALLED_BODY_S: Final = 0.5


class Buffer:
    """The bytes that one part of a request has taken from the budget."""

    def __init__(self, budget: 'ByteBudget') -> None:
        self._budget: Final = budget
        self._size_bytes = 0
        self._discard: Callable[[], None] | None = None

    def try_grow(self, size_bytes: int) -> bool:
        """Take bytes, unless they would exceed the budget."""
        if self._discard is not None:
            self._budget.record_growth(self)
        self._budget.make_room(size_bytes)
        if not self._budget.try_take(size_bytes):
            return False
        self._size_bytes += size_bytes
        return True

    @contextmanager
    def reclaimable(self, discard: Callable[[], None]) -> Iterator[None]:
        """Let the budget take the bytes back if nothing is added for long.

        `discard` is called first, and has to drop them at once.
        """
        self._discard = discard
        self._budget.record_growth(self)
        try:
            yield
        finally:
            self._discard = None
            self._budget.end_reclaimable(self)

    def reclaim(self) -> None:
        """Discard the bytes and return them to the budget."""
        if self._discard is not None:
            self._discard()
        self.release()

    def try_hold(self, size_bytes: int) -> bool:
        """Hold exactly so many bytes, unless they would exceed the budget."""
        if size_bytes > self._size_bytes:
            return self.try_grow(size_bytes - self._size_bytes)
        self._budget.give_back(self._size_bytes - size_bytes)
        self._size_bytes = size_bytes
        return True

    def release(self) -> None:
        """Return all bytes that have been taken."""
        self._budget.give_back(self._size_bytes)
        self._size_bytes = 0


class ByteBudget:
    """The bytes that all requests of a process may buffer together.

    They are a `share` of the memory of its machine.
    """

    def __init__(self, memory_mb: float, share: float = BUFFERS_SHARE) -> None:
        self._total_bytes: Final = int(memory_mb * BYTES_PER_MB * share)
        self._used_bytes = 0
        # When something has come for each reclaimable buffer, the longest ago
        # first.
        self._grown_at: Final[dict[Buffer, float]] = {}

    @property
    def total_bytes(self) -> int:
        """The size of the budget."""
        return self._total_bytes

    @property
    def used_bytes(self) -> int:
        """The bytes that are buffered now."""
        return self._used_bytes

    @contextmanager
    def open_buffer(self) -> Iterator[Buffer]:
        """Open a buffer whose bytes are returned at the end of the context."""
        buffer = Buffer(self)
        try:
            yield buffer
        finally:
            buffer.release()

    def try_take(self, size_bytes: int) -> bool:
        """Take bytes from the budget, unless they exceed it."""
        if not self._has_room(size_bytes):
            return False
        self._used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return bytes to the budget."""
        self._used_bytes -= size_bytes

    def record_growth(self, buffer: Buffer) -> None:
        """Note that more has come for a reclaimable buffer."""
        self._grown_at.pop(buffer, None)
        self._grown_at[buffer] = time.monotonic()

    def end_reclaimable(self, buffer: Buffer) -> None:
        """Note that a buffer must be kept from now on."""
        self._grown_at.pop(buffer, None)

    def make_room(self, size_bytes: int) -> None:
        """Give up bodies that have stopped arriving, until bytes fit."""
        while not self._has_room(size_bytes):
            if not self.reclaim_stalled():
                return

    def reclaim_stalled(self) -> bool:
        """Give up one body that has stopped arriving; return if there is one.

        Its request ends soon after.
        """
        buffer, grown_at = next(iter(self._grown_at.items()), (None, 0))
        if buffer is None or time.monotonic() - grown_at <= STALLED_BODY_S:
            return False
        self._grown_at.pop(buffer)
        buffer.reclaim()
        return True

    def _has_room(self, size_bytes: int) -> bool:
        return self._used_bytes + size_bytes <= self._total_bytes
