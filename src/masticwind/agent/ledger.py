"""The memory ledger of one engine.

Every reservation has an owner, the key of a request, and is made before the
engine hears of the request, so that the sum of what runs never exceeds the
engine's memory.
"""

from typing import Final

from masticwind.agent.requests import RequestKey


class Ledger:
    """Tokens of engine memory by owner."""

    def __init__(self) -> None:
        self.total_tokens = 0
        self._reserved: Final[dict[RequestKey, int]] = {}
        self._sum = 0

    @property
    def reserved_tokens(self) -> int:
        """Sum of all reservations."""
        return self._sum

    @property
    def free_tokens(self) -> int:
        """What can still be reserved."""
        return max(0, self.total_tokens - self._sum)

    def reserve(self, owner: RequestKey, tokens: int) -> bool:
        """Reserve memory for `owner`; false if it does not fit."""
        if owner in self._reserved:
            return True
        if tokens > self.free_tokens:
            return False
        self._reserved[owner] = tokens
        self._sum += tokens
        return True

    def free(self, owner: RequestKey) -> None:
        """Give back what `owner` holds, if anything."""
        self._sum -= self._reserved.pop(owner, 0)

    def owners(self) -> frozenset[RequestKey]:
        """Return everyone who holds a reservation."""
        return frozenset(self._reserved)
