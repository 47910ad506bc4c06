"""Sends placement orders for one availability zone while it leads there."""

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

INTERVAL_S: Final = 1.0
FRESH_S: Final = 2.0
# How long the effect of an order may take to show before the next is sent.
EFFECT_S: Final = 60.0


class Planner:
    """Compares what is wanted with what endpoints carry, and sends orders.

    It does nothing without the lease, without a fresh view, without the
    weight store's permission, or while an earlier order shows no effect.
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
        self._pending: Order | None = None
        self._pending_until = 0.0

    async def run(self) -> None:
        """Plan until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._leadership.run)
            while True:
                await anyio.sleep(INTERVAL_S)
                if self._leadership.fencing_token() is None:
                    self._pending = None
                    continue
                await self._step()

    async def _step(self) -> None:
        links = self._zone_links()
        if self._waits_for_effect(links):
            return
        order = plan_order(
            self._config.config,
            self._cfg.zone,
            [_view(link) for link in links],
            self._pool.own_zone_agent_count,
        )
        if order is None or not await self._may_load(order):
            return
        link = next(one for one in links if one.endpoint == order.endpoint)
        # The wait for the weight store may have outlasted the lease.
        fencing = self._leadership.fencing_token()
        if fencing is None:
            return
        sent = link.send(
            EndpointOrder(order.action, order.model, order.version, fencing),
        )
        if not sent:
            return
        self._pending = order
        self._pending_until = time.monotonic() + EFFECT_S
        logger.bind(
            endpoint=order.endpoint,
            action=order.action,
            model=order.model,
            fencing=fencing,
        ).info('order_sent')

    async def _may_load(self, order: Order) -> bool:
        if order.action != 'load_model':
            return True
        refused = await self._weights.acquire(order.model, order.version)
        return not isinstance(refused, Failure)

    def _waits_for_effect(self, links: list[AgentLink]) -> bool:
        order = self._pending
        if order is None:
            return False
        if time.monotonic() > self._pending_until:
            self._pending = None
            return False
        for link in links:
            load = link.reported_load
            if link.endpoint != order.endpoint or load is None:
                continue
            carries = order.model in load.models
            if carries == (order.action == 'load_model'):
                self._pending = None
        return self._pending is not None

    def _zone_links(self) -> list[AgentLink]:
        return [
            link
            for link in self._pool.links
            if link.instance.zone == self._cfg.zone and link.endpoint
        ]


def _view(link: AgentLink) -> EndpointView:
    fresh = time.monotonic() - link.load_received_at < FRESH_S
    return EndpointView(
        endpoint=link.endpoint,
        load=link.reported_load if fresh else None,
    )
