"""Leased memory for groups of engines that hold one prompt together.

An entry reserves a share at each engine of a group, in a fixed order, and
keeps the leases alive. All shares but the last are computed and held under a
handle; the last engine imports the handles and generates. A lease ends with
`Release`, with `Cancel`, or when it is not renewed; its memory is free again
once the engine has dropped what it held.
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
    """Reserved memory of one share and what the engine holds in it."""

    key: LeaseKey
    tokens: int
    deadline: float
    handle: str = ''
    request: AgentRequest | None = None
    imported: set[str] = field(default_factory=set)

    @property
    def owner(self) -> str:
        """Owner of the reservation in the ledger."""
        request_id, attempt, share = self.key
        return f'lease:{request_id}.{attempt}.{share}'


class ShareLeases:
    """Owns the leases at one engine."""

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
        """Tell whether a message renews a lease."""
        return _lease_key(message) in self._leases

    def reserve(self, message: Reserve) -> Failure | None:
        """Grant or renew a lease; `no_capacity` if memory is short."""
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
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='no memory')
        self._leases[key] = lease
        return None

    def bind_request(self, req: AgentRequest) -> Failure | None:
        """Let an offer of a share run in its lease's memory."""
        lease = self._find_unbound_lease(req.offer)
        if lease is None:
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='no lease')
        if req.memory_tokens > lease.tokens:
            return Failure(kind=ErrorKind.NO_CAPACITY, reason='lease too small')
        lease.request = req
        req.uses_lease = True
        return None

    async def hold_share(self, req: AgentRequest) -> None:
        """Compute a share and hold it; the end carries the handle."""
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
        """Make the shares before this one known to the engine."""
        lease = self._find_lease(req)
        if lease is None:
            return None
        own_handles = {one.handle for one in self._leases.values()}
        for handle in req.imported_handles:
            if handle in own_handles:
                continue
            lease.imported.add(handle)
            failure = await self._engine.import_cache(handle)
            if failure is not None:
                return failure
        return None

    def end_lease(self, key: LeaseKey) -> None:
        """End a lease and free everything that it holds."""
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
        """End the leases that were not renewed."""
        now = time.monotonic()
        for lease in list(self._leases.values()):
            if lease.deadline < now:
                self.end_lease(lease.key)

    def end_all_leases(self) -> None:
        """End all leases, because the engine has restarted."""
        for key in list(self._leases):
            self.end_lease(key)

    def owned_handles(self) -> set[str]:
        """Return all handles in the engine that a lease owns."""
        owned: set[str] = set()
        for lease in (*self._leases.values(), *self._ending.values()):
            owned |= lease.imported | {lease.handle}
        return owned

    def pending_prefixes(self) -> tuple[str, ...]:
        """Return the id prefixes of shares that are being computed."""
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
        for handle in (lease.handle, *lease.imported):
            if not handle:
                continue
            with anyio.move_on_after(DROP_TIMEOUT_S):
                await self._engine.drop_cache(handle)
        self._ending.pop(lease.key, None)
        self._ledger.release(lease.owner)


async def stop_share_request(req: AgentRequest) -> None:
    """End a request whose lease is over and wait for the engine."""
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
