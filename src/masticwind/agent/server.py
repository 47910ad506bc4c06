"""Connects the parts of an agent and dispatches messages from entries."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.calls import CallExecutor
from masticwind.agent.drain import Drainable, Drainer
from masticwind.agent.executor import Executor, ExecutorDependencies
from masticwind.agent.orders import OrderExecutor
from masticwind.config.current import CurrentConfig
from masticwind.config.distribute import ConfigSync
from masticwind.engines.http import HttpEngine, HttpService
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.channel import Channel
from masticwind.protocol.listener import Listener, PeerHandler
from masticwind.protocol.messages import (
    AnyMessage,
    Body,
    Call,
    Cancel,
    EndpointOrder,
    Load,
    Offer,
    Release,
    Reserve,
    Resume,
    Revoke,
)
from masticwind.settings import AgentSettings
from masticwind.telemetry import make_telemetry


class Agent(PeerHandler):
    """Serves the entries that connect to an endpoint."""

    def __init__(self, cfg: AgentSettings, tasks: TaskGroup) -> None:
        self._cfg: Final = cfg
        self._tasks: Final = tasks
        self.config: Final = CurrentConfig()
        # Entries have authenticated the teams, so an agent needs none of their
        # configuration.
        self.sync: Final = ConfigSync(self.config, with_teams=False)
        self._drainer: Final = Drainer(cfg)
        self._telemetry: Final = make_telemetry(cfg, self.config)
        engine = HttpEngine(cfg.endpoint_url)
        self._executor: Final = Executor(
            ExecutorDependencies(cfg, self.config, engine, self._telemetry),
            tasks,
        )
        self._orders: Final = OrderExecutor(engine)
        self._calls: Final = CallExecutor(
            cfg,
            self.config,
            HttpService(cfg.endpoint_url),
            self._telemetry,
        )
        self._works: Final[tuple[Drainable, ...]] = (
            self._executor,
            self._calls,
            self._orders,
        )
        node = PeerIdentity(
            role='agent',
            name=cfg.node,
            zone=cfg.zone,
            endpoint=cfg.endpoint,
        )
        self._listener: Final = Listener(
            node,
            cfg.inner,
            cfg.peers,
            self.config,
            self,
        )

    @property
    def port(self) -> int:
        """TCP port of the listener for entries."""
        return self._listener.port

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            await self._run()
        finally:
            self._telemetry.metrics.flush()
            self._telemetry.tracer.close()

    async def drain(self) -> None:
        """Refuse new work, wait for running work and close connections."""
        for work in self._works:
            work.draining = True
        self._listener.broadcast_load()
        await self._drainer.drain(self._is_delivered, *self._works)

    def load_report(self) -> Load:
        """Return the load report for the next heartbeat."""
        if self._cfg.kind == 'service':
            return self._calls.load_report()
        return self._executor.load_report()

    def connection_opened(self, channel: Channel) -> None:
        """Register a new connection and start configuration sync on it."""
        self._drainer.add_channel(channel)
        self._executor.cache_publisher.add_channel(channel)
        self.sync.record_hello(channel)

    def connection_lost(self, channel: Channel) -> None:
        """Unregister a connection; its requests wait for a resume."""
        self._drainer.remove_channel(channel)
        self._executor.cache_publisher.remove_channel(channel)
        self._executor.detach_channel(channel)
        self._calls.detach_channel(channel)

    async def handle_message(
        self, channel: Channel, message: AnyMessage
    ) -> None:
        """Dispatch one message from an entry."""
        if self.sync.handle_message(channel, message):
            return
        if self._cfg.kind == 'service':
            self._handle_call(channel, message)
            return
        match message:
            case Offer():
                self._executor.handle_offer(channel, message)
            case Body():
                self._executor.append_body(message)
            case Resume():
                self._executor.resume(channel, message)
            case Revoke():
                self._executor.revoke(channel, message)
            case Cancel():
                self._executor.cancel(message)
            case _:
                self._handle_resources(channel, message)

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._listener.run)
            tasks.start_soon(self._telemetry.metrics.run)
            if self._cfg.kind == 'engine':
                tasks.start_soon(self._executor.run)
            else:
                tasks.start_soon(self._calls.run)

    def _handle_resources(self, channel: Channel, message: AnyMessage) -> None:
        match message:
            case Reserve():
                self._executor.reserve(channel, message)
            case Release():
                self._executor.release(message)
            case EndpointOrder():
                self._orders.start(self._tasks, message)

    def _handle_call(self, channel: Channel, message: AnyMessage) -> None:
        match message:
            case Call():
                self._tasks.start_soon(self._calls.execute, channel, message)
            case Resume():
                self._calls.resume(channel, message)
            case Revoke():
                self._calls.revoke(channel, message)

    async def _is_delivered(self) -> bool:
        """Return whether all work has ended and its results are delivered.

        A request whose connection was lost before its end was delivered
        counts as unfinished until it is resumed or its grace period is over.
        """
        if not all(work.idle for work in self._works):
            return False
        flushed = await self._listener.flush()
        return flushed and all(work.idle for work in self._works)
