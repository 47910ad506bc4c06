"""Bytes that one process buffers for requests.

What a peer sends is limited for each message, but many peers together could
still fill the memory of a machine. Everything that is kept until it can be
passed on is therefore taken from one budget, which follows from the memory of
the machine. Whoever gets nothing refuses, or passes on what it has.

    with budget.open_buffer() as buffer:
        if not buffer.try_grow(len(chunk)):
            return Failure(...)
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from masticwind.memory_shares import BUFFERS_SHARE, BYTES_PER_MB


class Buffer:
    """The bytes that one part of a request has taken from the budget."""

    def __init__(self, budget: 'ByteBudget') -> None:
        self._budget: Final = budget
        self._size_bytes = 0

    def try_grow(self, size_bytes: int) -> bool:
        """Take bytes, unless they would exceed the budget."""
        if not self._budget.try_take(size_bytes):
            return False
        self._size_bytes += size_bytes
        return True

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
        if self._used_bytes + size_bytes > self._total_bytes:
            return False
        self._used_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Return bytes to the budget."""
        self._used_bytes -= size_bytes
