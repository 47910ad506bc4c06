"""Sends placement orders for one availability zone while holding its lease."""

import time
from typing import Final

import anyio
from loguru import logger

from masticwind.config.current import CurrentConfig
from masticwind.entry.agent_pool import AgentLink, AgentPool
from masticwind.errors import Failure
from masticwind.planner.leader import Leadership
from masticwind.planner.placement import EndpointView, Order, plan_order
from masticwind.protocol.messages import EndpointOrder
from masticwind.settings import EntrySettings
from masticwind.store.base import KeyValue, WeightStore

PLAN_INTERVAL_S: Final = 1.0
MAX_REPORT_AGE_S: Final = 2.0
# No further order is sent for this long unless a load report shows the effect
# of the last one.
ORDER_EFFECT_TIMEOUT_S: Final = 60.0


class Planner:
    """Compares the configured with the loaded models and sends orders.

    It sends nothing without the lease or without fresh load reports, nor
    while an earlier order has not taken effect. A load also needs a permit
    from the weight store.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        config: CurrentConfig,
        pool: AgentPool,
        key_value: KeyValue,
        weights: WeightStore,
    ) -> None:
        self._cfg: Final = cfg
        self._config: Final = config
        self._pool: Final = pool
        self._weights: Final = weights
        self._leadership: Final = Leadership(key_value, cfg.zone, cfg.node)
        self._pending_order: Order | None = None
        self._pending_expires_at = 0.0

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._leadership.run)
            while True:
                await anyio.sleep(PLAN_INTERVAL_S)
                if self._leadership.fencing_token() is None:
                    self._pending_order = None
                    continue
                await self._plan_once()

    async def _plan_once(self) -> None:
        links = self._zone_links()
        if self._is_order_pending(links):
            return
        order = plan_order(
            self._config.config,
            self._cfg.zone,
            [_endpoint_view(link) for link in links],
            self._pool.own_zone_agent_count,
        )
        if order is None or not await self._acquire_weights(order):
            return
        link = next(
            candidate
            for candidate in links
            if candidate.endpoint == order.endpoint
        )
        # The lease may have expired during the call to the weight store.
        fencing = self._leadership.fencing_token()
        if fencing is None:
            return
        sent = link.send(
            EndpointOrder(order.action, order.model, order.version, fencing),
        )
        if not sent:
            return
        self._pending_order = order
        self._pending_expires_at = time.monotonic() + ORDER_EFFECT_TIMEOUT_S
        logger.bind(
            endpoint=order.endpoint,
            action=order.action,
            model=order.model,
            fencing=fencing,
        ).info('order_sent')

    async def _acquire_weights(self, order: Order) -> bool:
        if order.action != 'load_model':
            return True
        refusal = await self._weights.acquire(order.model, order.version)
        return not isinstance(refusal, Failure)

    def _is_order_pending(self, links: list[AgentLink]) -> bool:
        order = self._pending_order
        if order is None:
            return False
        if time.monotonic() > self._pending_expires_at:
            self._pending_order = None
            return False
        for link in links:
            load = link.reported_load
            if link.endpoint != order.endpoint or load is None:
                continue
            has_model = order.model in load.models
            if has_model == (order.action == 'load_model'):
                self._pending_order = None
        return self._pending_order is not None

    def _zone_links(self) -> list[AgentLink]:
        return [
            link
            for link in self._pool.links
            if link.instance.zone == self._cfg.zone and link.endpoint
        ]


def _endpoint_view(link: AgentLink) -> EndpointView:
    is_fresh = time.monotonic() - link.load_received_at < MAX_REPORT_AGE_S
    return EndpointView(
        endpoint=link.endpoint,
        load=link.reported_load if is_fresh else None,
    )
