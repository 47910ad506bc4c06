"""Claims that wait for a write, and the pace of an entry's writes."""

import time
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.entry.claim_records import Order, Record
from masticwind.errors import Failure


class Pace:
    """Spaces the writes of one entry evenly, one round at a time.

    The key-value service counts all entries' writes together, so each entry
    keeps to its own share. Rounds side by side would share the processor,
    which makes the time between read and write longer: at 2,000 orders/s,
    45% of the writes of two entries met a conflict, and orders were refused.
    """

    def __init__(self, per_s: float) -> None:
        self.turn: Final = anyio.Lock()
        self._interval_s: Final = 1 / per_s
        self._next = 0.0

    async def wait(self) -> None:
        """Wait for the next free slot."""
        now = time.monotonic()
        at = max(now, self._next)
        self._next = at + self._interval_s
        await anyio.sleep(at - now)


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is this process's; `fencing` is the write's revision."""

    order: Order
    fencing: int


ClaimAnswer = Claimed | Record | Failure


@dataclass(slots=True, eq=False)
class Waiter:
    """A claim that waits for a write.

    `attempted` tells that a write with this claim may still take effect.
    """

    order: Order
    done: anyio.Event
    answer: ClaimAnswer | None = None
    attempted: bool = False
    abandoned: bool = False

    def resolve(self, answer: ClaimAnswer) -> None:
        """Set the answer."""
        self.answer = answer
        self.done.set()
