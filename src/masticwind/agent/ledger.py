"""The memory ledger of one engine.

Every reservation has an owner, the key of a request, and is made before the
engine hears of the request, so that the sum of what runs never exceeds the
engine's memory. A long prompt that is fed in steps keeps its reservation
between the steps: that room is where the engine's prefix cache holds its
progress. Other cached prefixes have no reservation, because the engine evicts
them when it needs the room.
"""

from typing import Final

from masticwind.agent.requests import RequestKey

OwnerKey = RequestKey | str


class MemoryLedger:
    """Tokens of engine memory by owner."""

    def __init__(self) -> None:
        self.total_tokens = 0
        self._reserved: Final[dict[OwnerKey, int]] = {}
        self._sum = 0

    @property
    def reserved_tokens(self) -> int:
        """Sum of all reservations."""
        return self._sum

    @property
    def free_tokens(self) -> int:
        """What can still be reserved."""
        return max(0, self.total_tokens - self._sum)

    def reserve(self, owner: OwnerKey, tokens: int) -> bool:
        """Reserve memory for `owner`; false if it does not fit."""
        if owner in self._reserved:
            return True
        if tokens > self.free_tokens:
            return False
        self._reserved[owner] = tokens
        self._sum += tokens
        return True

    def record_held(self, owner: OwnerKey, tokens: int) -> None:
        """Record memory that the engine holds already.

        Unlike a reservation it cannot be refused. `free_tokens` is zero as
        long as such memory exceeds the total.
        """
        self.release(owner)
        self._reserved[owner] = tokens
        self._sum += tokens

    def transfer(self, owner: OwnerKey, successor: OwnerKey) -> bool:
        """Hand a reservation to a new owner; false if there is none."""
        tokens = self._reserved.pop(owner, None)
        if tokens is None:
            return False
        self._reserved[successor] = tokens
        return True

    def tokens_of(self, owner: OwnerKey) -> int:
        """Return what `owner` holds."""
        return self._reserved.get(owner, 0)

    def release(self, owner: OwnerKey) -> None:
        """Give back what `owner` holds, if anything."""
        self._sum -= self._reserved.pop(owner, 0)

    def owners(self) -> frozenset[OwnerKey]:
        """Return everyone who holds a reservation."""
        return frozenset(self._reserved)
