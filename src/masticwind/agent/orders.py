"""Forwards orders, such as loading a model, to the engine.

Some engines ignore the fencing token of an order. All orders pass through the
agent, so it rejects outdated tokens itself. The highest token is not persisted:
after an agent restart only an engine that checks tokens rejects old orders.
"""

from typing import TYPE_CHECKING, Final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from masticwind.engines.base import Engine, EngineOrder
from masticwind.errors import Failure
from masticwind.protocol.messages import EndpointOrder

if TYPE_CHECKING:
    from loguru import Logger


class OrderExecutor:
    """Executes orders one at a time and rejects outdated fencing tokens."""

    def __init__(self, engine: Engine) -> None:
        self._engine: Final = engine
        self._highest_token = 0
        self._started_orders = 0
        self._lock: Final = anyio.Lock()
        self.draining = False

    @property
    def idle(self) -> bool:
        """Whether no order is waiting or being executed."""
        return self._started_orders == 0

    def start(self, tasks: TaskGroup, message: EndpointOrder) -> None:
        """Execute an order in the background; refuse it during a drain."""
        if self.draining:
            _bind_order(message).warning('order_refused')
            return
        self._started_orders += 1
        tasks.start_soon(self._execute_started, message)

    def cut(self) -> None:
        """Log that orders are left, which the end of the process ends."""
        if self._started_orders:
            logger.bind(orders=self._started_orders).warning('orders_cut')

    async def execute(self, message: EndpointOrder) -> None:
        """Send an order to the engine unless its token is outdated."""
        async with self._lock:
            log = _bind_order(message)
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

    async def _execute_started(self, message: EndpointOrder) -> None:
        try:
            await self.execute(message)
        finally:
            self._started_orders -= 1


def _bind_order(message: EndpointOrder) -> 'Logger':
    return logger.bind(
        action=message.action,
        model=message.model,
        fencing=message.fencing,
    )
