"""Abstract interface of the platform's metadata store.

Calls are counted and limited for all entries together, so everything that
is read here is mirrored once for each prefix and process.
"""

import abc
from dataclasses import dataclass
from typing import Final

from masticwind.errors import Failure

# Answers come in milliseconds; a slow store takes up to some hundred.
ANSWER_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value at a revision; no value means that it is gone."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All items under a prefix, and a revision from which to watch on."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Items that changed after a revision, oldest first."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """The history after the given revision is no longer kept."""


class MetadataStore(abc.ABC):
    """Reads, watches and leased writes; a `Failure` is `platform_down`."""

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Read everything under a prefix, as of the call or later."""

    @abc.abstractmethod
    async def watch_prefix(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted | Failure:
        """Wait for changes after a revision, at most `wait_s` seconds.

        The call is given up if it has no answer `answer_timeout_s` later.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int | Failure:
        """Ask for a lease; its keys disappear when it ends."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> Failure | None:
        """Extend a lease; kind `conflict` says that it has ended."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        lease: int,
    ) -> Failure | None:
        """Write a key under a lease; kind `conflict` says it has ended."""
