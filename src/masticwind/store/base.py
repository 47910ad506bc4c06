"""Abstract interfaces of the platform's services.

Each wire format is confined to one implementation of these classes, so that
other code does not depend on it. Expected failures are returned as `Failure`
values of kind `platform_down`; `Conflict` and `UnknownOutcome` are separate
types because callers must treat them differently.
"""

import abc
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, Literal

from masticwind.errors import Failure

MAX_VALUE_BYTES: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A value and the revision of its last write.

    Revision zero without a value means that the key does not exist.
    """

    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect with this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write was refused because the key is at this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """No usable response came; the write may or may not have taken effect."""

    reason: str


WriteResult = Written | Conflict | UnknownOutcome | Failure


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease.

    `fencing` is the fencing token, which grows with each grant. The holder
    counts `ttl_s` on its monotonic clock from before it sends the request.
    """

    lease_id: str
    fencing: int
    ttl_s: float


class KeyValue(abc.ABC):
    """The platform's key-value service.

    It allows several hundred writes and about two thousand reads a second for
    the whole fleet. A pending watch counts as one read.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> VersionedValue | Failure:
        """Read a key."""

    @abc.abstractmethod
    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> WriteResult:
        """Write a key if it is at `expected_revision`; zero means absent.

        A key that is written with a lease is deleted when the lease ends.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_revision: int) -> WriteResult:
        """Delete a key if it is at `expected_revision`."""

    @abc.abstractmethod
    async def list_keys(self, prefix: str) -> tuple[str, ...] | Failure:
        """Return the names of all keys that begin with `prefix`."""

    @abc.abstractmethod
    async def watch(
        self,
        key: str,
        after_revision: int,
        wait_s: float,
    ) -> VersionedValue | Failure:
        """Wait until the key has a revision above `after_revision`.

        Returns the value then, or the unchanged one after `wait_s` seconds.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        """Request a new lease of `ttl_s` seconds."""

    @abc.abstractmethod
    async def renew_lease(self, lease: Lease) -> Lease | Failure:
        """Renew a lease; a `Failure` of kind `conflict` means it has ended."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: Lease) -> None:
        """End a lease early; a failed call is ignored."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """An instance in the platform's list, which lags behind the real state."""

    node: str
    role: Literal['entry', 'agent']
    host: str
    port: int
    zone: str
    state: Literal['live', 'leaving'] = 'live'
    service: str = ''


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances."""

    @abc.abstractmethod
    async def list_instances(self) -> Sequence[Instance] | Failure:
        """Return the instances that the platform lists."""


class WeightStore(abc.ABC):
    """The rate-limited store of model weights."""

    @abc.abstractmethod
    async def acquire(self, model: str, version: str) -> Failure | None:
        """Request a permit to load weights.

        A `Failure` of kind `rate_limited` gives the time to wait.
        """
