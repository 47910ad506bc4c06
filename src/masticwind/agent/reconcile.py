"""Compares the agent's books with what the engine really holds.

What the engine runs or holds without an owner is an orphan: after a restart
of the agent it waits for a `Resume`, otherwise it is the remains of a
cancellation that did not arrive. Orphans count in the ledger until they are
gone, and are cancelled after the grace period.
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

# Resumed requests of an earlier agent whose time budget is not stated.
ADOPTED_TIMEOUT_MS: Final = 600_000
# Room for the output that an adopted request may still generate.
ADOPTED_OUTPUT_TOKENS: Final = 4096


@dataclass(frozen=True, slots=True)
class Orphan:
    """Something in the engine that nobody owns."""

    first_seen: float
    resource: RunningRequest


@dataclass(frozen=True, slots=True)
class ReconcilerDependencies:
    """What a reconciler compares."""

    cfg: AgentSettings
    engine: Engine
    ledger: MemoryLedger
    running: RunningRequests
    shares: ShareLeases


class Reconciler:
    """Owns the orphans of one engine."""

    def __init__(self, deps: ReconcilerDependencies) -> None:
        self._deps: Final = deps
        self._streams: Final[dict[str, Orphan]] = {}
        self._caches: Final[dict[str, Orphan]] = {}
        self.cancelled_orphans = 0

    @property
    def orphan_count(self) -> int:
        """Streams and caches without an owner."""
        return len(self._streams) + len(self._caches)

    async def reconcile(self) -> Failure | None:
        """Read what the engine holds and end what is nobody's for long."""
        deps = self._deps
        listed = await deps.engine.list_running()
        if isinstance(listed, Failure):
            return listed
        own_ids = {req.engine_id for req in deps.running}
        self._update_orphans(
            self._streams,
            {
                one.request_id: one
                for one in listed
                if one.request_id not in own_ids
            },
        )
        deps.running.orphan_count = len(self._streams)
        await self._end_expired(self._streams, deps.engine.cancel)
        held = await deps.engine.list_held_caches()
        if isinstance(held, Failure):
            return held
        self._update_orphans(self._caches, self._unowned_caches(held))
        await self._end_expired(self._caches, deps.engine.drop_cache)
        return None

    def take_stream(self, key: RequestKey) -> RunningRequest | None:
        """Take over the stream of a request that was started before."""
        prefix = f'{key[0]}.{key[1]}.'
        for name, orphan in self._streams.items():
            # Prefill steps have another kind of turn and no output.
            if not name.startswith(prefix) or not (
                name.removeprefix(prefix).isdecimal()
            ):
                continue
            self._remove_orphan(self._streams, name)
            self._deps.running.orphan_count = len(self._streams)
            return orphan.resource
        return None

    def _unowned_caches(
        self, held: dict[str, int]
    ) -> dict[str, RunningRequest]:
        owned = self._deps.shares.owned_handles()
        pending = self._deps.shares.pending_prefixes()
        return {
            handle: RunningRequest(
                request_id=handle,
                offset=0,
                memory_tokens=tokens,
            )
            for handle, tokens in held.items()
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
        for name, item in found.items():
            known = orphans.get(name)
            first_seen = now if known is None else known.first_seen
            orphans[name] = Orphan(first_seen, item)
            self._deps.ledger.record_held(f'orphan:{name}', item.memory_tokens)

    async def _end_expired(
        self,
        orphans: dict[str, Orphan],
        end_on_engine: Callable[[str], Awaitable[Failure | None]],
    ) -> None:
        grace_s = self._deps.cfg.orphan_grace_ms / MS_PER_S
        seen_before = time.monotonic() - grace_s
        for name, orphan in list(orphans.items()):
            # A `Resume` can claim a stream while another one is ended.
            if orphan.first_seen <= seen_before and name in orphans:
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
    """Return the request for a stream that an earlier agent had started."""
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
