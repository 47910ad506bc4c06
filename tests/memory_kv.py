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

DOWN = Failure(kind=ErrorKind.PLATFORM_DOWN, reason='outage')


class MemoryKeyValue(KeyValue):
    """Keeps every version of every key and brings faults about.

    `lose_before` and `lose_after` count writes whose answer is lost, without
    and with effect, of keys that begin with `lose_key`. `stale_reads` counts
    reads that return an older version. `hook` runs before each call and lets
    a test change the state then.
    """

    def __init__(self) -> None:
        self.outage = False
        self.lose_key = ''
        self.lose_before = 0
        self.lose_after = 0
        self.stale_reads = 0
        self.hook: Callable[[str, str], Awaitable[None]] | None = None
        self.written = Counter[str]()
        self.read = Counter[str]()
        self.watches = 0
        self.versions: dict[str, list[VersionedValue]] = {}
        self.largest = 0
        self._revision = 0
        self._random = random.Random(1)
        self._changed = anyio.Event()

    def now(self, key: str) -> VersionedValue:
        """Return the current version of a key."""
        return self.versions.get(key, [VersionedValue(None, 0)])[-1]

    async def get(self, key: str) -> VersionedValue | Failure:
        if await self._blocked('get', key):
            return DOWN
        found = self.now(key)
        if self.stale_reads and len(self.versions.get(key, ())) > 1:
            self.stale_reads -= 1
            found = self._random.choice(self.versions[key])
        self.read[key] += len(found.value or b'')
        return found

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> WriteResult:
        if await self._blocked('put', key):
            return DOWN
        self.written[key] += len(value)
        self.largest = max(self.largest, len(value))
        return self._write(key, value, expected_revision)

    async def delete(self, key: str, expected_revision: int) -> WriteResult:
        if await self._blocked('delete', key):
            return DOWN
        return self._write(key, None, expected_revision)

    async def list_keys(self, prefix: str) -> tuple[str, ...] | Failure:
        if await self._blocked('keys', prefix):
            return DOWN
        return tuple(
            key
            for key in self.versions
            if key.startswith(prefix) and self.now(key).value is not None
        )

    async def watch(
        self,
        key: str,
        after_revision: int,
        wait_s: float,
    ) -> VersionedValue | Failure:
        self.watches += 1
        with anyio.move_on_after(wait_s):
            while not self.outage and self.now(key).revision <= after_revision:
                await self._changed.wait()
        return await self.get(key)

    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        return DOWN

    async def renew_lease(self, lease: Lease) -> Lease | Failure:
        return DOWN

    async def revoke_lease(self, lease: Lease) -> None:
        """There are no leases here."""

    def switch_outage(self, outage: bool) -> None:
        """Begin or end an outage, also for waiting watches."""
        self.outage = outage
        self._wake()

    async def _blocked(self, call: str, key: str) -> bool:
        # Lets the tasks of other writers run between any two calls.
        await checkpoint()
        if self.hook is not None:
            await self.hook(call, key)
        return self.outage

    def _write(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
    ) -> WriteResult:
        losable = key.startswith(self.lose_key)
        if losable and self.lose_before:
            self.lose_before -= 1
            return UnknownOutcome('no answer')
        now = self.now(key)
        # A deleted key is absent, which counts as revision zero.
        current = 0 if now.value is None else now.revision
        if current != expected_revision:
            return Conflict(current)
        self._revision += 1
        version = VersionedValue(value, 0 if value is None else self._revision)
        self.versions.setdefault(key, []).append(version)
        self._wake()
        if losable and self.lose_after:
            self.lose_after -= 1
            return UnknownOutcome('no answer')
        return Written(self._revision)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
