"""Abstract interfaces of the platform's services.

The real wire formats stand behind these classes, one adapter each, so that
no decision depends on them. Expected failures are returned as `Failure`
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

    Revision zero with no value means that the key does not exist.
    """

    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Written:
    """A write took effect with this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A write was refused because the key has this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """No answer came; the write may have taken effect or not."""

    reason: str


WriteResult = Written | Conflict | UnknownOutcome | Failure


@dataclass(frozen=True, slots=True)
class Lease:
    """A granted lease.

    `fencing` grows with each grant. `ttl_s` counts from the moment before
    the grant was asked for, by the holder's monotonic clock.
    """

    lease_id: str
    fencing: int
    ttl_s: float


class KeyValue(abc.ABC):
    """The platform's key-value service.

    It takes several hundred writes and about two thousand reads a second for
    the whole fleet, and a waiting watch counts as one read.
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
        """Write a key if it has `expected_revision`; zero means absent.

        A key that is written with a lease disappears when the lease ends.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected_revision: int) -> WriteResult:
        """Delete a key if it has `expected_revision`."""

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

        Returns the current value, after `wait_s` seconds also an unchanged one.
        """

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        """Ask for a new lease of `ttl_s` seconds."""

    @abc.abstractmethod
    async def renew_lease(self, lease: Lease) -> Lease | Failure:
        """Extend a lease; a `Failure` of kind `conflict` says it has ended."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: Lease) -> None:
        """End a lease early, if the service answers."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """An instance as the platform lists it, with a lag."""

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
        """Return the instances that the platform knows of."""


class WeightStore(abc.ABC):
    """The rate-limited store of model weights."""

    @abc.abstractmethod
    async def acquire(self, model: str, version: str) -> Failure | None:
        """Ask to load weights; `rate_limited` gives the time to wait."""
