"""Accounts for the memory of one engine, in tokens.

Each reservation belongs to an owner, which is a request, a lease or an
orphan. It is made before the engine receives the request, so that running
requests never exceed the engine's memory. A long prompt that is computed in
steps keeps its reservation between the steps, because its progress occupies
that memory in the engine's prefix cache. Other cached prefixes have no
reservation: the engine evicts them when it needs the memory.
"""

from typing import Final

from masticwind.agent.requests import RequestKey

OwnerKey = RequestKey | str


class MemoryLedger:
    """Reserved tokens of engine memory by owner."""

    def __init__(self) -> None:
        self.total_tokens = 0
        self._reserved: Final[dict[OwnerKey, int]] = {}
        self._total_reserved = 0

    @property
    def reserved_tokens(self) -> int:
        """Sum of all reservations."""
        return self._total_reserved

    @property
    def free_tokens(self) -> int:
        """Tokens that can still be reserved."""
        return max(0, self.total_tokens - self._total_reserved)

    def reserve(self, owner: OwnerKey, tokens: int) -> bool:
        """Reserve memory for `owner`; return false if it does not fit.

        An owner that has a reservation keeps it unchanged.
        """
        if owner in self._reserved:
            return True
        if tokens > self.free_tokens:
            return False
        self._reserved[owner] = tokens
        self._total_reserved += tokens
        return True

    def record_held(self, owner: OwnerKey, tokens: int) -> None:
        """Record memory that the engine already uses for `owner`.

        Unlike a reservation it cannot be refused, so the sum may exceed the
        total; `free_tokens` is then 0.
        """
        self.release(owner)
        self._reserved[owner] = tokens
        self._total_reserved += tokens

    def transfer(self, owner: OwnerKey, successor: OwnerKey) -> bool:
        """Move a reservation to `successor`; return false if none exists."""
        tokens = self._reserved.pop(owner, None)
        if tokens is None:
            return False
        self._reserved[successor] = tokens
        return True

    def reserved_by(self, owner: OwnerKey) -> int:
        """Return the tokens reserved for `owner`."""
        return self._reserved.get(owner, 0)

    def release(self, owner: OwnerKey) -> None:
        """Release the reservation of `owner`, if there is one."""
        self._total_reserved -= self._reserved.pop(owner, 0)

    def owners(self) -> frozenset[OwnerKey]:
        """Return the owners of all reservations."""
        return frozenset(self._reserved)
