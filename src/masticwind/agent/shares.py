"""Memory leases for prompts that are split across a group of engines.

A prompt that is too large for one engine is split into shares. An entry
reserves a lease for each share at one engine of the group, in a fixed order,
and renews it. Each share but the last is computed and its cache is held under
a handle; the last engine imports the handles and generates the output. A
lease ends with `Release`, with `Cancel` or by expiry. Its memory is released
once the engine has dropped the caches.
"""

import time
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.ledger import MemoryLedger
from masticwind.agent.requests import AgentRequest, RequestKey
from masticwind.budget import MS_PER_S
from masticwind.engines.base import Engine
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import End, Offer, Reserve

MAX_LEASE_MS: Final = 60_000
DROP_TIMEOUT_S: Final = 3.0

LeaseKey = tuple[str, int, int]


@dataclass(slots=True)
class Lease:
    """Reserved memory of one share and the caches that occupy it.

    `deadline` is a time of the monotonic clock.
    """

    key: LeaseKey
    tokens: int
    deadline: float
    handle: str = ''
    request: AgentRequest | None = None
    imported_handles: set[str] = field(default_factory=set)

    @property
    def owner(self) -> str:
        """Owner of this lease's reservation in the ledger."""
        request_id, attempt, share = self.key
        return f'lease:{request_id}.{attempt}.{share}'


class ShareLeases:
    """Grants, renews and ends the leases at one engine."""

    def __init__(
        self,
        ledger: MemoryLedger,
        engine: Engine,
        tasks: TaskGroup,
    ) -> None:
        self._ledger: Final = ledger
        self._engine: Final = engine
        self._tasks: Final = tasks
        self._leases: Final[dict[LeaseKey, Lease]] = {}
        self._ending: Final[dict[LeaseKey, Lease]] = {}

    def __len__(self) -> int:
        return len(self._leases) + len(self._ending)

    def is_renewal(self, message: Reserve) -> bool:
        """Return whether a message renews an existing lease."""
        return _lease_key(message) in self._leases

    def reserve(self, message: Reserve) -> Failure | None:
        """Grant or renew a lease; fail with `no_capacity` without memory."""
        key = _lease_key(message)
        lease_ms = min(message.lease_ms, MAX_LEASE_MS)
        deadline = time.monotonic() + lease_ms / MS_PER_S
        lease = self._leases.get(key)
        if lease is not None:
            lease.deadline = deadline
            return None
        lease = Lease(key, message.tokens, deadline)
        if key in self._ending or not self._ledger.reserve(
            lease.owner,
            message.tokens,
        ):
            return Failure(
                kind=ErrorKind.NO_CAPACITY, reason='not enough memory'
            )
        self._leases[key] = lease
        return None

    def bind_request(self, req: AgentRequest) -> Failure | None:
        """Assign the request of a share to its lease."""
        lease = self._find_unbound_lease(req.offer)
        if lease is None:
            return Failure(
                kind=ErrorKind.NO_CAPACITY, reason='the share has no lease'
            )
        if req.memory_tokens > lease.tokens:
            return Failure(
                kind=ErrorKind.NO_CAPACITY, reason='the lease is too small'
            )
        lease.request = req
        req.uses_lease = True
        return None

    async def hold_share(self, req: AgentRequest) -> None:
        """Compute a share and hold its cache; the end carries the handle."""
        lease = self._find_lease(req)
        if lease is None:
            return
        failure = await self.import_shares(req)
        result: str | Failure = failure or await self._engine.export_cache(
            req.engine_id,
            req.offer.model,
            bytes(req.body),
            req.offer.prompt_tokens,
            req.imported_handles,
        )
        if isinstance(result, Failure):
            req.finish(
                End(
                    *req.key,
                    0,
                    ErrorKind.FAILED_AFTER_START,
                    result.reason,
                )
            )
            return
        lease.handle = result
        if req.end is None:
            req.finish(End(*req.key, 0, reason=result))

    async def import_shares(self, req: AgentRequest) -> Failure | None:
        """Import the caches of the preceding shares into the engine."""
        lease = self._find_lease(req)
        if lease is None:
            return None
        own_handles = {other.handle for other in self._leases.values()}
        for handle in req.imported_handles:
            if handle in own_handles:
                continue
            lease.imported_handles.add(handle)
            failure = await self._engine.import_cache(handle)
            if failure is not None:
                return failure
        return None

    def end_lease(self, key: LeaseKey) -> None:
        """End a lease and drop its caches in the background."""
        lease = self._leases.pop(key, None)
        if lease is None:
            return
        self._ending[key] = lease
        self._tasks.start_soon(self._drop_caches, lease)

    def end_request_leases(self, key: RequestKey) -> None:
        """End all leases of one attempt of a request."""
        for lease_key in list(self._leases):
            if lease_key[:2] == key:
                self.end_lease(lease_key)

    def end_expired_leases(self) -> None:
        """End the leases that were not renewed in time."""
        now = time.monotonic()
        for lease in list(self._leases.values()):
            if lease.deadline < now:
                self.end_lease(lease.key)

    def end_all_leases(self) -> None:
        """End all leases after a restart of the engine."""
        for key in list(self._leases):
            self.end_lease(key)

    def owned_handles(self) -> set[str]:
        """Return the handles of all caches that belong to a lease."""
        owned: set[str] = set()
        for lease in (*self._leases.values(), *self._ending.values()):
            owned |= lease.imported_handles | {lease.handle}
        return owned

    def pending_prefixes(self) -> tuple[str, ...]:
        """Return the handle prefixes of shares that are being computed."""
        return tuple(
            f'{lease.request.engine_id}:'
            for lease in (*self._leases.values(), *self._ending.values())
            if lease.request is not None
            and not lease.request.left_engine.is_set()
        )

    def _find_unbound_lease(self, offer: Offer) -> Lease | None:
        for key in sorted(self._leases):
            same_attempt = key[:2] == (offer.request_id, offer.attempt)
            if same_attempt and self._leases[key].request is None:
                return self._leases[key]
        return None

    def _find_lease(self, req: AgentRequest) -> Lease | None:
        for lease in (*self._leases.values(), *self._ending.values()):
            if lease.request is req:
                return lease
        return None

    async def _drop_caches(self, lease: Lease) -> None:
        if lease.request is not None:
            await stop_share_request(lease.request)
        for handle in (lease.handle, *lease.imported_handles):
            if not handle:
                continue
            with anyio.move_on_after(DROP_TIMEOUT_S):
                await self._engine.drop_cache(handle)
        self._ending.pop(lease.key, None)
        self._ledger.release(lease.owner)


async def stop_share_request(req: AgentRequest) -> None:
    """End the request of an ended lease and wait until its run stops."""
    if req.end is None:
        kind = ErrorKind.FAILED_AFTER_START
        req.finish(
            End(*req.key, req.generated_tokens, kind, 'the lease has ended')
        )
    if not req.started:
        return
    if req.cancel_scope is not None:
        req.cancel_scope.cancel()
    await req.left_engine.wait()


def _lease_key(message: Reserve) -> LeaseKey:
    return message.request_id, message.attempt, message.share
