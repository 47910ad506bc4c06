"""The entry as one object: HTTP server, agent pool and configuration."""

from typing import Final

import anyio

from masticwind.config.current import CurrentConfig
from masticwind.config.distribute import ConfigWatcher
from masticwind.config.store import ConfigStore
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.app import AppParts, EntryApp
from masticwind.entry.peers import AgentPool, PoolParts
from masticwind.entry.relay import Relay
from masticwind.entry.router import RoutingView
from masticwind.node import Node
from masticwind.planner.runner import Planner
from masticwind.platform.http import (
    HttpInstanceList,
    HttpKeyValue,
    HttpWeightStore,
)
from masticwind.settings import EntrySettings
from masticwind.web import WebServer
from masticwind.web_protocol import WRITE_STALL_S

DRAIN_POLL_S: Final = 0.05
MS_PER_S: Final = 1000


class Entry:
    """Serves callers."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg
        self.config: Final = CurrentConfig()
        node = Node(role='entry', name=cfg.node, zone=cfg.zone)
        self.affinity: Final = AffinityIndex(cfg.affinity_blocks)
        self.pool: Final = AgentPool(
            PoolParts(
                cfg,
                node,
                self.config,
                HttpInstanceList(cfg.platform),
                self.affinity,
            )
        )
        view = RoutingView(cfg, self.affinity)
        relay = Relay(cfg, self.pool, self.config, view)
        self.app: Final = EntryApp(AppParts(cfg, self.config, relay))
        self._server: Final = WebServer(self.app, cfg.listen)

    @property
    def port(self) -> int:
        """TCP port of the HTTP server."""
        return self._server.port

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.pool.run)
            key_value = HttpKeyValue(self._cfg.platform)
            if self._cfg.planner:
                planner = Planner(
                    self._cfg,
                    self.config,
                    self.pool,
                    key_value,
                    HttpWeightStore(self._cfg.platform),
                )
                tasks.start_soon(planner.run)
            store = ConfigStore(key_value)
            tasks.start_soon(ConfigWatcher(store, self.config).run)
            await self._server.run()
            tasks.cancel_scope.cancel()

    async def drain(self) -> None:
        """Announce, then take nothing new and wait for running requests.

        Answers carry `Connection: close` from the announcement on.
        """
        self.app.leaving = True
        self._server.closing = True
        await anyio.sleep(self._cfg.announce_ms / MS_PER_S)
        self.app.draining = True
        with anyio.move_on_after(self._cfg.drain_timeout_ms / MS_PER_S):
            while self.app.active:
                await anyio.sleep(DRAIN_POLL_S)
        await self._server.finish(WRITE_STALL_S)
