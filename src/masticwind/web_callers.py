"""Limits on the connections of all callers of a server together.

Each connection has limits of its own. Many of them together could still use up
the memory or the descriptors of a process, so their number and what is kept for
them is limited in sum.
"""

import enum
import math
import resource
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Final, Protocol

from loguru import logger

from masticwind.log_limits import LineLimiter
from masticwind.memory_shares import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    CONNECTIONS_SHARE,
    KEPT_SHARE,
    REQUEST_BYTES,
    REQUESTS_SHARE,
    WIDE_BUFFERS_SHARE,
    shared_memory_mb,
)
from masticwind.sockets import LISTEN_BACKLOG
from masticwind.web_input import TurnQueue
from masticwind.web_transport import KEPT_BY_WIDE_BYTES

DEFAULT_MEMORY_MB: Final = 256.0
# Descriptors for files, the store, peers and listening sockets.
RESERVED_FDS: Final = 200
# The rest is shared by callers and endpoints: a request needs one of each.
CALLERS_SHARE: Final = 0.5
MIN_CONNECTIONS: Final = 16
# A caller that takes longer for a body, or to receive its last answer, may be
# given up for a new connection. 4 MB take 1.7 s on a link of 20 Mbit/s.
SLOW_CALLER_S: Final = 2.0
# What is left of the kept bytes once too many have been kept.
RELIEVED_SHARE: Final = 0.9
# How many connections are looked at to find one that may be closed.
MAX_SEARCHED: Final = 64


class CloseCause(enum.StrEnum):
    """Why the limits closed a connection."""

    # It was idle, or its head was incomplete, and others were waiting.
    UNUSED = 'unused'
    # Its body, or its last answer, had not arrived for long, and others were
    # waiting.
    SLOW = 'slow'
    # All connections had requests in progress.
    REFUSED = 'refused'
    # Too much was kept, and its caller was the most to blame.
    KEPT = 'kept'


class _Blame(enum.IntEnum):
    """Why a connection is closed for what is kept; the first are closed first.

    It keeps more behind a request in progress than the share of a connection,
    or its answer is not read, or it keeps little behind a request or of an
    answer, or nothing but a request that arrives.
    """

    AHEAD = 0
    STALLED = 1
    KEEPS_LITTLE = 2
    ARRIVING = 3


@dataclass(frozen=True, slots=True)
class AggregateLimits:
    """How many connections may be open, and what is kept for them in sum."""

    max_connections: int
    max_kept_bytes: int
    # Connections with a wide receive buffer.
    max_wide_buffers: int = 16
    # Requests in progress; the application refuses those beyond.
    max_requests: int = 1024

    @property
    def fair_share_bytes(self) -> int:
        """What can be kept for each of as many connections as are allowed."""
        return self.max_kept_bytes // self.max_connections

    @property
    def backlog(self) -> int:
        """Connections that wait to be accepted, all of which are at once."""
        return min(LISTEN_BACKLOG, max(1, self.max_connections // 2))


def derive_limits(memory_mb: float = 0, max_fds: int = 0) -> AggregateLimits:
    """Return the limits of a process; zero stands for a default.

    `max_fds` is the number of descriptors of the process, by default what the
    system allows it.
    """
    memory_bytes = (
        shared_memory_mb(memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    )
    by_memory = memory_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES
    by_fds = (_count_fds(max_fds) - RESERVED_FDS) * CALLERS_SHARE
    return AggregateLimits(
        max_connections=max(MIN_CONNECTIONS, int(min(by_memory, by_fds))),
        max_kept_bytes=int(memory_bytes * KEPT_SHARE),
        max_wide_buffers=int(
            memory_bytes * WIDE_BUFFERS_SHARE / KEPT_BY_WIDE_BYTES
        ),
        max_requests=int(memory_bytes * REQUESTS_SHARE / REQUEST_BYTES),
    )


def _count_fds(max_fds: int) -> float:
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return max_fds or float('inf')
    return min(allowed, max_fds or allowed)


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptBytes:
    """The bytes that are kept for a caller.

    Those `ahead` are behind the request in progress, and those `unread` are of
    an answer. What is left belongs to a request that arrives. `stalled_at` is
    that of the `WriteTimer`, and `received_at` the time of the last read.
    """

    ahead: int = 0
    unread: int = 0
    arriving: int = 0
    stalled_at: float = math.inf
    received_at: float = 0.0

    @property
    def total(self) -> int:
        """All bytes."""
        return self.ahead + self.unread + self.arriving


class LimitedConnection(Protocol):
    """What the limits need of a connection."""

    @property
    def is_replaceable(self) -> bool:
        """Whether it can be closed at once without a loss for its caller."""

    def find_kept(self) -> KeptBytes:
        """Return what is kept for its caller."""

    def close_for_limit(self) -> None:
        """Close it at once."""


# Since when connections are in some state, the longest first.
_Since = dict[LimitedConnection, float]


class CallerConnections:
    """The connections of all callers of a server."""

    def __init__(self, limits: AggregateLimits) -> None:
        self.turns: Final = TurnQueue()
        self.closed: Final = Counter[CloseCause]()
        self._taken: Final = Counter[CloseCause]()
        self.limits: Final = limits
        self._kept: Final[dict[LimitedConnection, KeptBytes]] = {}
        self._kept_bytes = 0
        self._log_limiter: Final = LineLimiter()
        # Connections without a request in progress, the longest idle first.
        self._unused: Final[_Since] = {}
        # Since when bodies of requests in progress arrive, the longest first.
        self._bodies: Final[_Since] = {}
        # Connections with a wide receive buffer, the first ones first.
        self._wide: Final[dict[LimitedConnection, None]] = {}

    @property
    def count(self) -> int:
        """The number of open connections."""
        return len(self._kept)

    @property
    def kept_bytes(self) -> int:
        """The bytes that are kept for all callers, as last recorded."""
        return self._kept_bytes

    def take_closed(self) -> Counter[CloseCause]:
        """Return how many were closed since the last call."""
        fresh = self.closed - self._taken
        self._taken.update(fresh)
        return fresh

    def add(self, conn: LimitedConnection) -> None:
        """Add a connection, and close one if there are too many."""
        if len(self._kept) >= self.limits.max_connections:
            self._make_room()
        self._kept[conn] = KeptBytes()
        self._unused[conn] = time.monotonic()
        if len(self._kept) > self.limits.max_connections:
            self._close(conn, CloseCause.REFUSED)

    def discard(self, conn: LimitedConnection) -> None:
        """Forget a connection that has ended."""
        self._kept_bytes -= self._kept.pop(conn, KeptBytes()).total
        self._unused.pop(conn, None)
        self._bodies.pop(conn, None)
        self._wide.pop(conn, None)

    def has_wide_buffer(self, conn: LimitedConnection) -> bool:
        """Whether a connection has a wide receive buffer."""
        return conn in self._wide

    def try_widen_buffer(self, conn: LimitedConnection) -> bool:
        """Return whether a connection gets a wide receive buffer.

        It keeps it until its end. An unused connection is closed for it, as
        callers could otherwise keep all of them by a body each.
        """
        if conn in self._wide or conn not in self._kept:
            return False
        if len(self._wide) >= self.limits.max_wide_buffers:
            self._close_unused(self._wide)
        if len(self._wide) >= self.limits.max_wide_buffers:
            return False
        self._wide[conn] = None
        return True

    def record_request(self, conn: LimitedConnection) -> None:
        """Note that a request is in progress from now on."""
        self._unused.pop(conn, None)
        self._bodies[conn] = time.monotonic()

    def record_body(self, conn: LimitedConnection) -> None:
        """Note that the body of a request has arrived."""
        self._bodies.pop(conn, None)

    def record_answer(self, conn: LimitedConnection) -> None:
        """Note that no request is in progress any more."""
        self._bodies.pop(conn, None)
        if conn in self._kept:
            self._unused[conn] = time.monotonic()

    def record_kept(self, conn: LimitedConnection) -> None:
        """Note what is kept for a caller now.

        If the sum is over its limit, connections are closed, in the order of
        `_close_rank`, until there is room for others.
        """
        if conn not in self._kept:
            return
        self._update(conn)
        if self._kept_bytes <= self.limits.max_kept_bytes:
            return
        for other in self._kept:
            self._update(other)
        if self._kept_bytes > self.limits.max_kept_bytes:
            self._close_most_to_blame()

    def _update(self, conn: LimitedConnection) -> None:
        kept = conn.find_kept()
        self._kept_bytes += kept.total - self._kept[conn].total
        self._kept[conn] = kept

    def _close_most_to_blame(self) -> None:
        fair_share_bytes = self.limits.fair_share_bytes
        ranks = {
            conn: _close_rank(kept, fair_share_bytes)
            for conn, kept in self._kept.items()
            if kept.total
        }
        # Counting all connections for each read would take the time of others.
        enough_bytes = int(self.limits.max_kept_bytes * RELIEVED_SHARE)
        for conn in sorted(ranks, key=ranks.__getitem__):
            if self._kept_bytes <= enough_bytes:
                return
            self._close(conn, CloseCause.KEPT)

    def _make_room(self) -> None:
        """Close a connection for a new one, if one can be closed."""
        if self._close_unused(self._unused):
            return
        # Nothing of a body has been sent on. An answer that its caller has not
        # received may be lost, so it comes last.
        for since in (self._bodies, self._unused):
            slow = _find_slow(since)
            if slow is not None:
                self._close(slow, CloseCause.SLOW)
                return

    def _close_unused(self, conns: Iterable[LimitedConnection]) -> bool:
        """Close the first connection that is unused; return if there is one."""
        for conn in islice(conns, MAX_SEARCHED):
            if conn.is_replaceable:
                self._close(conn, CloseCause.UNUSED)
                return True
        return False

    def _close(self, conn: LimitedConnection, cause: CloseCause) -> None:
        self.discard(conn)
        self.closed[cause] += 1
        left_out = self._log_limiter.left_out(cause)
        if left_out is not None:
            logger.bind(
                cause=cause.value,
                connections=self.count,
                kept_bytes=self._kept_bytes,
                left_out=left_out,
            ).warning('caller_closed')
        conn.close_for_limit()


def _close_rank(
    kept: KeptBytes, fair_share_bytes: int
) -> tuple[_Blame, float, int]:
    """Return where a connection stands in the order of closing.

    A request that arrives comes last, unless nothing of it has come for long.
    Two requests on one connection, and an answer that is read slowly, come
    late: they keep little, or their caller has read some of it not long ago.
    """
    if kept.ahead > fair_share_bytes:
        return _Blame.AHEAD, 0, -kept.ahead
    if kept.stalled_at < math.inf:
        return _Blame.STALLED, kept.stalled_at, -kept.unread
    if kept.ahead or kept.unread:
        return _Blame.KEEPS_LITTLE, 0, -kept.ahead - kept.unread
    return _Blame.ARRIVING, kept.received_at, -kept.arriving


def _find_slow(since: _Since) -> LimitedConnection | None:
    conn = next(iter(since), None)
    if conn is None or time.monotonic() - since[conn] <= SLOW_CALLER_S:
        return None
    return conn
