"""The remaining time budget of a request, on this process's monotonic clock.

The budget travels between processes as remaining milliseconds. Each process
turns it into a local deadline on arrival, so that no decision compares the
clocks of two machines.

    budget = Budget.from_ms(offer.timeout_ms)
    with anyio.move_on_after(budget.remaining_s()):
        ...
"""

import time
from dataclasses import dataclass
from typing import Final, Self

MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class Budget:
    """A deadline in seconds of the monotonic clock."""

    deadline: float

    @classmethod
    def from_ms(cls, timeout_ms: float) -> Self:
        """Start a budget of `timeout_ms` milliseconds now."""
        return cls(time.monotonic() + timeout_ms / MS_PER_S)

    def remaining_s(self) -> float:
        """Return the seconds left, never less than zero."""
        return max(0.0, self.deadline - time.monotonic())

    def remaining_ms(self) -> int:
        """Return the whole milliseconds left, never less than zero."""
        return int(self.remaining_s() * MS_PER_S)

    def expired(self) -> bool:
        """Tell whether no time is left."""
        return time.monotonic() >= self.deadline
