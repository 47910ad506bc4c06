"""Claims that wait for a write, and the pace of an entry's writes."""

import time
from dataclasses import dataclass
from typing import Final

import anyio

from masticwind.entry.claim_records import ClaimRecord, ClaimRequest
from masticwind.errors import Failure


class WritePacer:
    """Spaces the writes of one entry evenly, one round at a time.

    The key-value service counts all entries' writes together, so each entry
    keeps to its own share. Rounds side by side would share the processor,
    which makes the time between read and write longer: at 2,000 orders/s,
    45% of the writes of two entries met a conflict, and orders were refused.
    """

    def __init__(self, writes_per_s: float) -> None:
        self.round_lock: Final = anyio.Lock()
        self._interval_s: Final = 1 / writes_per_s
        self._next_slot_s = 0.0

    async def wait_for_slot(self) -> None:
        """Wait for the next free slot."""
        now = time.monotonic()
        slot_s = max(now, self._next_slot_s)
        self._next_slot_s = slot_s + self._interval_s
        await anyio.sleep(slot_s - now)


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """The claim is this process's; `fencing_token` is the write's revision."""

    request: ClaimRequest
    fencing_token: int


ClaimResult = HeldClaim | ClaimRecord | Failure


@dataclass(slots=True, eq=False)
class PendingClaim:
    """A claim that waits for a write.

    `may_be_written` tells that a write with this claim may still take effect.
    """

    request: ClaimRequest
    resolved: anyio.Event
    result: ClaimResult | None = None
    may_be_written: bool = False
    abandoned: bool = False

    def resolve(self, result: ClaimResult) -> None:
        """Set the answer."""
        self.result = result
        self.resolved.set()
