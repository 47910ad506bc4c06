"""Abstract interface of the platform's metadata store.

The store limits the total rate of calls of all entries, so each process reads
each prefix through one mirror only.
"""

import abc
from dataclasses import dataclass
from typing import Final

from masticwind.errors import Failure
from masticwind.serving.store_eras import StoreEras, StoreRevision

# Answers usually take a few milliseconds, those of a slow store up to some
# hundred.
ANSWER_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value at a revision; None is a removed key.

    The revision is one of the era of the listing or of the changes.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All items under a prefix, and a revision from which to start a watch."""

    items: tuple[Item, ...]
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class Changes:
    """Items that changed after a revision, oldest first.

    `revision` is where the next watch starts.
    """

    items: tuple[Item, ...]
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of an era; a later era may grant its id to another writer."""

    number: int
    era: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """The store does not have the history after the given revision.

    It no longer keeps it, or it was restored from a copy without it.
    """


class MetadataStore(abc.ABC):
    """Reads, watches and writes under leases.

    A `Failure` is of kind `platform_down` unless stated otherwise; an answer
    of an earlier era than the newest one is such a failure.
    """

    def __init__(self) -> None:
        self.eras: Final = StoreEras()

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Read all items under a prefix, as of the call's start or later."""

    @abc.abstractmethod
    async def watch_prefix(
        self,
        prefix: str,
        after: StoreRevision,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted | Failure:
        """Wait at most `wait_s` for changes after a revision.

        The call fails if it has no answer `answer_timeout_s` after that.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        """Create a lease; its keys are removed when it expires."""

    @abc.abstractmethod
    async def renew_lease(self, lease: Lease) -> Failure | None:
        """Renew a lease.

        A failure of kind `conflict` is an expired lease, or one of an earlier
        era, whose keys may be gone.
        """

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        lease: Lease,
    ) -> Failure | None:
        """Write a key under a lease; kind `conflict` is as for renewals."""
