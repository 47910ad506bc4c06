"""Turns in which long answers are parsed.

Many of them at once, or ones in the smallest chunks, would otherwise take
whole turns of the event loop from all other requests.
"""

from typing import Final

import anyio
from anyio.lowlevel import checkpoint

# What an answer may cost until it waits for its next turn.
TURN_BYTES: Final = 65_536
# What a chunk costs beside its content.
CHUNK_COST_BYTES: Final = 1024


class TurnQueue:
    """Lets one long answer proceed in each turn of the event loop."""

    def __init__(self) -> None:
        self._lock: Final = anyio.Lock()

    async def wait(self) -> None:
        """Wait for the next turn that no other answer takes."""
        async with self._lock:
            await checkpoint()


class TurnTaker:
    """What one answer has cost since its last turn."""

    def __init__(self, queue: TurnQueue) -> None:
        self._queue: Final = queue
        self._cost_bytes = 0

    async def record_chunk(self, size_bytes: int) -> None:
        """Record a chunk; wait for the next turn after too many of them."""
        self._cost_bytes += size_bytes + CHUNK_COST_BYTES
        if self._cost_bytes > TURN_BYTES:
            self._cost_bytes = 0
            await self._queue.wait()
