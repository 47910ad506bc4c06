"""Questions of one entry to others about their copies of the store.

A reply repeats the time at which its question was sent, on the clock of the
entry that asked. An age in the reply counts from then, so a reply that was
delayed on the way or that waited in a suspended process makes a copy look
older, never younger than it is. No two clocks are compared.
"""

import math
from collections import deque
from typing import Annotated, Final

import msgspec

from masticwind.budget import MS_PER_S, boot_time

# Questions whose replies are taken; later replies would hardly help.
MAX_PENDING_REQUESTS: Final = 8

AgeMs = Annotated[int, msgspec.Meta(ge=0)]


class PendingRequests:
    """The questions of one kind that may still be answered."""

    def __init__(self) -> None:
        self._asked: Final = deque[int](maxlen=MAX_PENDING_REQUESTS)

    def open_request(self) -> int:
        """Return the time of a question that is sent now, in milliseconds."""
        sent_ms = int(boot_time() * MS_PER_S)
        self._asked.append(sent_ms)
        return sent_ms

    def as_of(self, sent_ms: int, age_ms: int) -> float | None:
        """Return the moment of which a reply tells, on `boot_time`.

        Replies to other questions tell of none: a datagram for an earlier
        machine with this address would carry a time of that machine's clock.
        """
        if sent_ms not in self._asked:
            return None
        return (sent_ms - age_ms) / MS_PER_S


def rounded_up_age_ms(age_s: float) -> int:
    """Return an age for a reply, rounded up: no copy looks younger."""
    return math.ceil(age_s * MS_PER_S)
