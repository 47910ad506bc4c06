"""Forwards orders, such as loading a model, to the engine.

Some engines ignore the fencing token of an order. All orders pass through the
agent, so it rejects outdated tokens itself. The highest token is not persisted:
after an agent restart only an engine that checks tokens rejects old orders.
"""

from typing import Final

import anyio
from loguru import logger

from masticwind.engines.base import Engine, EngineOrder
from masticwind.errors import Failure
from masticwind.protocol.messages import EndpointOrder


class OrderExecutor:
    """Executes orders one at a time and rejects outdated fencing tokens."""

    def __init__(self, engine: Engine) -> None:
        self._engine: Final = engine
        self._highest_token = 0
        self._lock: Final = anyio.Lock()

    async def execute(self, message: EndpointOrder) -> None:
        """Send an order to the engine unless its token is outdated."""
        async with self._lock:
            log = logger.bind(
                action=message.action,
                model=message.model,
                fencing=message.fencing,
            )
            if message.fencing < self._highest_token:
                log.bind(newest=self._highest_token).warning('order_outdated')
                return
            self._highest_token = message.fencing
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
