"""Requests to other entries about their copies of the store.

A reply carries the send time of its request, on the clock of the entry that
sent the request. Ages in the reply are counted from that time, so a reply that
was delayed in the network or in a suspended process makes a copy look older
than it is, never younger. Clocks of different entries are not compared.
"""

import math
from collections import deque
from typing import Annotated, Final

import msgspec

from masticwind.budget import MS_PER_S, boot_time

# The latest requests whose replies are accepted. Replies to earlier ones
# hardly help: the ages in them count from the earlier send time.
MAX_PENDING_REQUESTS: Final = 8
# Age of a copy that was never confirmed.
MAX_AGE_S: Final = 1_000_000.0

AgeMs = Annotated[int, msgspec.Meta(ge=0)]
Era = Annotated[int, msgspec.Meta(ge=0)]
Version = Annotated[int, msgspec.Meta(ge=0)]


class PendingRequests:
    """The requests of one kind whose replies are still accepted."""

    def __init__(self) -> None:
        self._sent_ms: Final = deque[int](maxlen=MAX_PENDING_REQUESTS)

    def open_request(self) -> int:
        """Record a request to be sent now; return its time in milliseconds."""
        sent_ms = int(boot_time() * MS_PER_S)
        self._sent_ms.append(sent_ms)
        return sent_ms

    def as_of(self, sent_ms: int, age_ms: int) -> float | None:
        """Return the `boot_time` as of which a reply holds.

        Returns None if the request is not pending. A datagram for an instance
        that had this address before carries a time of that instance's clock.
        """
        if sent_ms not in self._sent_ms:
            return None
        return (sent_ms - age_ms) / MS_PER_S


def rounded_up_age_ms(age_s: float) -> int:
    """Return an age in milliseconds, rounded up so no copy looks younger."""
    return math.ceil(min(age_s, MAX_AGE_S) * MS_PER_S)
