"""The remaining time of a request, on a clock of this instance.

Messages between processes carry the remaining time in milliseconds. The
receiver turns it into a deadline on its own clock, so the clocks of two
instances are never compared. The clock also runs while the instance is
suspended, because callers' timeouts run on meanwhile.

    budget = Budget.from_ms(offer.timeout_ms)
    with anyio.move_on_after(budget.remaining_s()):
        ...
"""

import time
from dataclasses import dataclass
from typing import Final, Self

MS_PER_S: Final = 1000


def boot_time() -> float:
    """Return seconds of a clock that also runs during a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Budget:
    """A deadline, in seconds of the `boot_time` clock."""

    deadline: float

    @classmethod
    def from_ms(cls, timeout_ms: float) -> Self:
        """Start a budget of `timeout_ms` milliseconds now."""
        return cls(boot_time() + timeout_ms / MS_PER_S)

    def remaining_s(self) -> float:
        """Return the seconds left, never less than zero."""
        return max(0.0, self.deadline - boot_time())

    def remaining_ms(self) -> int:
        """Return the whole milliseconds left, never less than zero."""
        return int(self.remaining_s() * MS_PER_S)

    def is_expired(self) -> bool:
        """Tell whether no time is left."""
        return boot_time() >= self.deadline
