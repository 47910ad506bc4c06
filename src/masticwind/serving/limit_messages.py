"""Messages between entries about endpoints that limit their requests.

Epochs count the changes of a limit at the entry that grants its permits, the
authority. An authority is one process of an entry.
"""

from typing import Annotated, Final

import msgspec

MAX_NAME_CHARS: Final = 200
MAX_LIMIT_PER_S: Final = 100_000.0
# One minute, longer than any wait for a permit.
MAX_WAIT_MS: Final = 60_000
# Keeps a datagram below 1,400 bytes.
MAX_LIMITS_PER_NOTICE: Final = 12

Text = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_LIMIT_PER_S)]
Count = Annotated[int, msgspec.Meta(ge=0)]
WaitMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_MS)]


class Limit(msgspec.Struct, array_like=True, frozen=True):
    """A limit that an endpoint names; a rate of None means none any more."""

    identity: Text
    started_at_ms: int
    rate_per_s: Rate | None
    authority: Text = ''
    epoch: Count = 0


class LimitNotice(msgspec.Struct, array_like=True, frozen=True):
    """Limits that the sender knows, also some that have ended."""

    entry: Text
    limits: list[Limit]


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """What an answer to an entry said, for the entry that grants permits."""

    entry: Text
    limit: Limit


class LimitQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks an entry for all limits that it knows."""

    entry: Text


class PermitRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks for the permit to send one request to a limited endpoint."""

    entry: Text
    number: Count
    limit: Limit
    max_wait_ms: WaitMs
    priority: Count


class PermitReply(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a request for a permit.

    A granted permit is due after `wait_ms`. `next_ms` is the time until
    another one is due. The limit is that of the sender, with a rate of None if
    the limit has ended.
    """

    number: Count
    granted: bool
    wait_ms: WaitMs
    next_ms: WaitMs
    limit: Limit
