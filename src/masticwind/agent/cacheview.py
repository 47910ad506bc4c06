"""The agent's view of its engine's prefix cache, from lagging events."""

from typing import Final

import anyio

from masticwind.engines.base import CacheEvents, Engine
from masticwind.errors import Failure
from masticwind.protocol.messages import Offer
from masticwind.tokens import cached_blocks

POLL_INTERVAL_S: Final = 0.25


class CacheView:
    """Prefix blocks that the engine has probably cached.

    Events can be missing, so the view is an estimate: it orders and charges
    work, and nothing depends on it being right.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine: Final = engine
        self._blocks: frozenset[int] = frozenset()
        self._after = 0

    async def run(self) -> None:
        """Read events until cancelled."""
        while True:
            events = await self._engine.cache_events(self._after)
            if not isinstance(events, Failure):
                self.take(events)
            await anyio.sleep(POLL_INTERVAL_S)

    def take(self, events: CacheEvents) -> None:
        """Apply a batch of events."""
        self._after = max(self._after, events.last)
        if events.added or events.removed:
            kept = self._blocks | frozenset(events.added)
            self._blocks = kept - frozenset(events.removed)

    def reset(self) -> None:
        """Forget everything, because the engine has restarted."""
        self._blocks = frozenset()
        self._after = 0

    def cached_tokens(self, offer: Offer) -> int:
        """Estimate how much of an offer's prompt is cached."""
        if not offer.prefix:
            return 0
        share = cached_blocks(offer.prefix, self._blocks) / len(offer.prefix)
        return min(int(share * offer.prompt_tokens), offer.prompt_tokens - 1)
