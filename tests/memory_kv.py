"""A key-value service in memory, for tests of the configuration store."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
from anyio.lowlevel import checkpoint

from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import (
    Conflict,
    KeyValue,
    Lease,
    UnknownOutcome,
    VersionedValue,
    WriteResult,
    Written,
)

OUTAGE_FAILURE = Failure(kind=ErrorKind.PLATFORM_DOWN, reason='outage')


class MemoryKeyValue(KeyValue):
    """Keeps every version of every key and injects faults.

    Of the next writes to keys that start with `lost_write_prefix`,
    `lost_requests` are lost without effect; `lost_responses` take effect but
    get no response. The next `stale_reads` reads return a random version.
    `before_call` is awaited before each call, so that a test can change the
    state.
    """

    def __init__(self) -> None:
        self.outage = False
        self.lost_write_prefix = ''
        self.lost_requests = 0
        self.lost_responses = 0
        self.stale_reads = 0
        self.before_call: Callable[[str, str], Awaitable[None]] | None = None
        self.written_bytes = Counter[str]()
        self.read_bytes = Counter[str]()
        self.watch_calls = 0
        self.versions: dict[str, list[VersionedValue]] = {}
        self.largest_value_bytes = 0
        self._revision = 0
        self._random = random.Random(1)
        self._changed = anyio.Event()

    def current_version(self, key: str) -> VersionedValue:
        """Return the current version of a key."""
        return self.versions.get(key, [VersionedValue(None, 0)])[-1]

    async def get(self, key: str) -> VersionedValue | Failure:
        if await self._is_down('get', key):
            return OUTAGE_FAILURE
        found = self.current_version(key)
        if self.stale_reads and len(self.versions.get(key, ())) > 1:
            self.stale_reads -= 1
            found = self._random.choice(self.versions[key])
        self.read_bytes[key] += len(found.value or b'')
        return found

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> WriteResult:
        if await self._is_down('put', key):
            return OUTAGE_FAILURE
        self.written_bytes[key] += len(value)
        self.largest_value_bytes = max(self.largest_value_bytes, len(value))
        return self._write_version(key, value, expected_revision)

    async def delete(self, key: str, expected_revision: int) -> WriteResult:
        if await self._is_down('delete', key):
            return OUTAGE_FAILURE
        return self._write_version(key, None, expected_revision)

    async def list_keys(self, prefix: str) -> tuple[str, ...] | Failure:
        if await self._is_down('keys', prefix):
            return OUTAGE_FAILURE
        return tuple(
            key
            for key in self.versions
            if key.startswith(prefix)
            and self.current_version(key).value is not None
        )

    async def watch(
        self,
        key: str,
        after_revision: int,
        wait_s: float,
    ) -> VersionedValue | Failure:
        self.watch_calls += 1
        with anyio.move_on_after(wait_s):
            while (
                not self.outage
                and self.current_version(key).revision <= after_revision
            ):
                await self._changed.wait()
        return await self.get(key)

    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        return OUTAGE_FAILURE

    async def renew_lease(self, lease: Lease) -> Lease | Failure:
        return OUTAGE_FAILURE

    async def revoke_lease(self, lease: Lease) -> None:
        """Do nothing: leases are not supported."""

    def switch_outage(self, outage: bool) -> None:
        """Start or end an outage and wake pending watches."""
        self.outage = outage
        self._notify_watchers()

    async def _is_down(self, call: str, key: str) -> bool:
        # Lets other tasks run between any two calls.
        await checkpoint()
        if self.before_call is not None:
            await self.before_call(call, key)
        return self.outage

    def _write_version(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
    ) -> WriteResult:
        can_lose = key.startswith(self.lost_write_prefix)
        if can_lose and self.lost_requests:
            self.lost_requests -= 1
            return UnknownOutcome('no answer')
        stored = self.current_version(key)
        # A deleted key is absent, which counts as revision zero.
        revision = 0 if stored.value is None else stored.revision
        if revision != expected_revision:
            return Conflict(revision)
        self._revision += 1
        version = VersionedValue(value, 0 if value is None else self._revision)
        self.versions.setdefault(key, []).append(version)
        self._notify_watchers()
        if can_lose and self.lost_responses:
            self.lost_responses -= 1
            return UnknownOutcome('no answer')
        return Written(self._revision)

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
