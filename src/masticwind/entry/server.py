"""Builds, runs and drains an entry: HTTP server, agent pool, configuration."""

from typing import Final

import anyio

from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig
from masticwind.config.distribute import ConfigSync, ConfigWatcher
from masticwind.config.store import ConfigStore
from masticwind.entry.admin import AdminApi, AdminDependencies
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_pool import AgentPool, PoolDependencies
from masticwind.entry.app import AppDependencies, EntryApp
from masticwind.entry.claims import Claims
from masticwind.entry.crash_gossip import CrashGossip
from masticwind.entry.neighbours import NeighbourDependencies, Neighbours
from masticwind.entry.relay import Relay
from masticwind.entry.router import RoutingView
from masticwind.entry.tier_outcomes import TierOutcomeCounter
from masticwind.metrics import Metric
from masticwind.peer_identity import PeerIdentity
from masticwind.planner.runner import Planner
from masticwind.serving.crash_evidence import CrashEvidence
from masticwind.serving.quarantine import Quarantine
from masticwind.settings import EntrySettings
from masticwind.store.http import (
    HttpInstanceList,
    HttpKeyValue,
    HttpWeightStore,
)
from masticwind.telemetry import make_telemetry
from masticwind.web import WebServer
from masticwind.web_callers import derive_limits
from masticwind.web_timers import WRITE_STALL_TIMEOUT_S

DRAIN_POLL_INTERVAL_S: Final = 0.05
# Time before the end of a drain in which requests that cannot end are
# answered, and its limit for short drains.
CLOSING_TIME_S: Final = 3.0
MAX_CLOSING_SHARE: Final = 1 / 3
# Share of the closing time for the end of the process itself.
EXIT_SHARE: Final = 0.25


class Entry:
    """An entry instance with all its components."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg
        self.config: Final = CurrentConfig()
        node = PeerIdentity(role='entry', name=cfg.node, zone=cfg.zone)
        self.store: Final = ConfigStore(HttpKeyValue(cfg.platform))
        self.sync: Final = ConfigSync(self.config)
        self._watcher: Final = ConfigWatcher(self.store, self.sync, cfg.node)
        self.neighbours: Final = Neighbours(
            NeighbourDependencies(cfg, node, self.sync, self._watcher)
        )
        self.affinity: Final = AffinityIndex(cfg.affinity_blocks)
        self.pool: Final = AgentPool(
            PoolDependencies(
                cfg,
                node,
                self.config,
                HttpInstanceList(cfg.platform),
                self.affinity,
                self.sync,
                self.neighbours,
            )
        )
        view = RoutingView(cfg, self.affinity)
        telemetry = make_telemetry(cfg, self.config)
        self.metrics: Final = telemetry.metrics
        self.tracer: Final = telemetry.tracer
        gossip = CrashGossip(CrashEvidence())
        self.neighbours.start_crash_gossip(gossip)
        self.quarantine: Final = Quarantine(gossip, self.neighbours.fleet())
        relay = Relay(
            cfg, self.pool, self.config, view, self.quarantine, telemetry
        )
        self.neighbours.start_usage_exchange(relay.limit_shares)
        self.claims: Final = Claims(HttpKeyValue(cfg.platform), cfg.claims)
        tier_counter = TierOutcomeCounter()
        admin = AdminApi(
            AdminDependencies(
                cfg.node,
                cfg.zone,
                self.store,
                self.sync,
                self.pool,
                self.quarantine,
                tier_counter,
            )
        )
        self.app: Final = EntryApp(
            AppDependencies(
                cfg,
                self.config,
                relay,
                self.pool,
                self.claims,
                self.metrics,
                self.tracer,
                admin,
                tier_counter,
            ),
        )
        self._server: Final = WebServer(
            self.app,
            cfg.listen,
            caller_limits=derive_limits(cfg.memory_mb, cfg.max_fds),
        )
        self.metrics.add_gauge_source(self._record_callers)

    @property
    def port(self) -> int:
        """TCP port of the HTTP server."""
        return self._server.port

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            await self._run()
        finally:
            self.metrics.flush()
            self.tracer.close()

    async def drain(self) -> None:
        """Announce the shutdown, refuse requests, wait for running ones.

        Responses have `Connection: close` from the announcement on. Requests
        that are still running shortly before the drain timeout are cut.
        """
        announce_s = self._cfg.announce_ms / MS_PER_S
        drain_s = self._cfg.drain_timeout_ms / MS_PER_S
        closing_s = min(CLOSING_TIME_S, drain_s * MAX_CLOSING_SHARE)
        exit_at = anyio.current_time() + announce_s + drain_s
        exit_at -= closing_s * EXIT_SHARE
        self.app.stop.begin(announce_s + drain_s - closing_s)
        self.app.shutdown_announced = True
        self._server.close_after_response = True
        await anyio.sleep(announce_s)
        self.app.refuses_requests = True
        with anyio.move_on_after(drain_s - closing_s):
            while self.app.stop:
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._close(exit_at)

    def _record_callers(self) -> None:
        callers = self._server.callers
        self.metrics.gauge(Metric.CALLER_CONNECTIONS, callers.count)
        self.metrics.gauge(Metric.CALLER_KEPT_BYTES, callers.kept_bytes)
        for cause, number in callers.take_closed().items():
            self.metrics.count(Metric.CALLERS_CLOSED, number, cause.value)

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.pool.run)
            tasks.start_soon(self.claims.run)
            tasks.start_soon(self.metrics.run)
            tasks.start_soon(self.neighbours.run)
            tasks.start_soon(self.quarantine.run)
            if self._cfg.watch_config:
                tasks.start_soon(self._watcher.run)
            if self._cfg.planner:
                planner = Planner(
                    self._cfg,
                    self.config,
                    self.pool,
                    self.store.key_value,
                    HttpWeightStore(self._cfg.platform),
                )
                tasks.start_soon(planner.run)
            await self._server.run()
            tasks.cancel_scope.cancel()

    async def _close(self, exit_at: float) -> None:
        """Cut what still runs, write its answers, and stop the server."""
        self.app.stop.cut_requests()
        with anyio.CancelScope(deadline=exit_at):
            while self.app.stop.working_requests:
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
            await self.claims.flush()
        remaining_s = max(0.0, exit_at - anyio.current_time())
        await self._server.stop_and_wait(
            min(WRITE_STALL_TIMEOUT_S, remaining_s)
        )
