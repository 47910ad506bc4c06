"""Reconciles the agent's state with what the engine actually holds.

A stream or cache in the engine that no request or lease owns is an orphan.
After an agent restart a `Resume` may adopt it; otherwise it is left over from
a cancellation that did not reach the engine. Orphans are accounted in the
ledger until they disappear and are cancelled after the grace period.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from masticwind.agent.ledger import MemoryLedger
from masticwind.agent.requests import AgentRequest, RequestKey
from masticwind.agent.running import RunningRequests
from masticwind.agent.shares import ShareLeases
from masticwind.budget import MS_PER_S, Budget
from masticwind.engines.base import Engine, RunningRequest
from masticwind.errors import Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import Offer, Resume
from masticwind.settings import AgentSettings

# Applies to adopted requests whose `Resume` states no timeout.
ADOPTED_TIMEOUT_MS: Final = 600_000
# Assumed upper limit of the remaining output of an adopted request.
ADOPTED_OUTPUT_TOKENS: Final = 4096


@dataclass(frozen=True, slots=True)
class Orphan:
    """A stream or held cache in the engine without an owner."""

    first_seen_at: float
    resource: RunningRequest


@dataclass(frozen=True, slots=True)
class ReconcilerDependencies:
    """Dependencies of a `Reconciler`."""

    cfg: AgentSettings
    engine: Engine
    ledger: MemoryLedger
    running: RunningRequests
    shares: ShareLeases


class Reconciler:
    """Tracks the orphans of one engine and cancels expired ones."""

    def __init__(self, deps: ReconcilerDependencies) -> None:
        self._deps: Final = deps
        self._streams: Final[dict[str, Orphan]] = {}
        self._caches: Final[dict[str, Orphan]] = {}
        self.cancelled_orphans = 0

    @property
    def orphan_count(self) -> int:
        """Number of streams and caches without an owner."""
        return len(self._streams) + len(self._caches)

    async def reconcile(self) -> Failure | None:
        """Update the orphans from the engine and end the expired ones."""
        deps = self._deps
        listed = await deps.engine.list_running()
        if isinstance(listed, Failure):
            return listed
        own_ids = {req.engine_id for req in deps.running}
        self._update_orphans(
            self._streams,
            {
                running_req.request_id: running_req
                for running_req in listed
                if running_req.request_id not in own_ids
            },
        )
        deps.running.orphan_count = len(self._streams)
        await self._end_expired(self._streams, deps.engine.cancel)
        tokens_by_handle = await deps.engine.list_held_caches()
        if isinstance(tokens_by_handle, Failure):
            return tokens_by_handle
        self._update_orphans(
            self._caches, self._unowned_caches(tokens_by_handle)
        )
        await self._end_expired(self._caches, deps.engine.drop_cache)
        return None

    def take_stream(self, key: RequestKey) -> RunningRequest | None:
        """Remove and return the orphaned stream of a request, if any."""
        prefix = f'{key[0]}.{key[1]}.'
        for name, orphan in self._streams.items():
            # Ids of prefill steps end in `p` and a number; they have no output.
            if not name.startswith(prefix) or not (
                name.removeprefix(prefix).isdecimal()
            ):
                continue
            self._remove_orphan(self._streams, name)
            self._deps.running.orphan_count = len(self._streams)
            return orphan.resource
        return None

    def _unowned_caches(
        self, tokens_by_handle: dict[str, int]
    ) -> dict[str, RunningRequest]:
        owned = self._deps.shares.owned_handles()
        pending = self._deps.shares.pending_prefixes()
        return {
            handle: RunningRequest(
                request_id=handle,
                offset=0,
                memory_tokens=tokens,
            )
            for handle, tokens in tokens_by_handle.items()
            if handle not in owned and not handle.startswith(pending)
        }

    def _update_orphans(
        self,
        orphans: dict[str, Orphan],
        found: dict[str, RunningRequest],
    ) -> None:
        for missing in set(orphans) - set(found):
            self._remove_orphan(orphans, missing)
        now = time.monotonic()
        for name, resource in found.items():
            known = orphans.get(name)
            first_seen_at = now if known is None else known.first_seen_at
            orphans[name] = Orphan(first_seen_at, resource)
            self._deps.ledger.record_held(
                f'orphan:{name}', resource.memory_tokens
            )

    async def _end_expired(
        self,
        orphans: dict[str, Orphan],
        end_on_engine: Callable[[str], Awaitable[Failure | None]],
    ) -> None:
        grace_s = self._deps.cfg.orphan_grace_ms / MS_PER_S
        seen_before = time.monotonic() - grace_s
        for name, orphan in list(orphans.items()):
            # A `Resume` can take a stream while this loop awaits another.
            if orphan.first_seen_at <= seen_before and name in orphans:
                if await end_on_engine(name) is None:
                    self.cancelled_orphans += 1

    def _remove_orphan(self, orphans: dict[str, Orphan], name: str) -> None:
        orphans.pop(name, None)
        self._deps.ledger.release(f'orphan:{name}')


def adopted_request(
    found: RunningRequest,
    message: Resume,
    channel: Channel,
) -> AgentRequest:
    """Create the request of a stream started by a previous agent process."""
    timeout_ms = message.timeout_ms or ADOPTED_TIMEOUT_MS
    offer = Offer(
        message.request_id,
        message.attempt,
        team='adopted',
        paid=True,
        model='',
        prompt_tokens=max(0, found.memory_tokens - found.offset),
        max_tokens=found.offset + ADOPTED_OUTPUT_TOKENS,
        timeout_ms=timeout_ms,
        generation=0,
        body_bytes=0,
    )
    req = AgentRequest(offer, Budget.from_ms(timeout_ms), channel)
    req.base_offset = message.offset
    req.adopted_engine_id = found.request_id
    return req
