"""Orders to the engine, guarded by fencing tokens.

Some engines ignore the fencing token of an order. The agent is the only way
to its engine, so it refuses an older token itself. A restarted agent knows
no token; only an engine that checks tokens closes that gap.
"""

from typing import Final

import anyio
from loguru import logger

from masticwind.engines.base import Engine, EngineOrder
from masticwind.errors import Failure
from masticwind.protocol.messages import EndpointOrder


class OrderExecutor:
    """Carries out orders one at a time, with tokens that never go back."""

    def __init__(self, engine: Engine) -> None:
        self._engine: Final = engine
        self._highest_fencing = 0
        self._lock: Final = anyio.Lock()

    async def execute(self, message: EndpointOrder) -> None:
        """Pass an order on unless a newer token has been seen."""
        async with self._lock:
            log = logger.bind(
                action=message.action,
                model=message.model,
                fencing=message.fencing,
            )
            if message.fencing < self._highest_fencing:
                log.bind(newest=self._highest_fencing).warning('order_outdated')
                return
            self._highest_fencing = message.fencing
            failure = await self._engine.send_order(
                EngineOrder(
                    action=message.action,
                    model=message.model,
                    version=message.version,
                    fencing=message.fencing,
                ),
            )
            if isinstance(failure, Failure):
                log.bind(reason=failure.reason).warning('order_failed')
            else:
                log.info('order_done')
