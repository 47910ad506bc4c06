"""The agent as one object: listener, executor and configuration."""

from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.calls import CallExecutor
from masticwind.agent.executor import Executor, ExecutorParts
from masticwind.agent.orders import OrderKeeper
from masticwind.config.current import CurrentConfig
from masticwind.config.distribute import ConfigWatcher
from masticwind.config.store import ConfigStore
from masticwind.engines.http import HttpEngine, HttpService
from masticwind.node import Node
from masticwind.platform.http import HttpKeyValue
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
    Resume,
    Revoke,
)
from masticwind.settings import AgentSettings

DRAIN_POLL_S: Final = 0.05
MS_PER_S: Final = 1000


class Agent(PeerHandler):
    """Serves the entries that connect to it."""

    def __init__(self, cfg: AgentSettings, tasks: TaskGroup) -> None:
        self._cfg: Final = cfg
        self._tasks: Final = tasks
        self.config: Final = CurrentConfig()
        engine = HttpEngine(cfg.endpoint_url)
        self._executor: Final = Executor(
            ExecutorParts(cfg, self.config, engine),
            tasks,
        )
        self._orders: Final = OrderKeeper(engine)
        self._calls: Final = CallExecutor(
            cfg,
            self.config,
            HttpService(cfg.endpoint_url),
        )
        node = Node(
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
        """TCP port of the inner listener."""
        return self._listener.port

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._listener.run)
            if self._cfg.kind == 'engine':
                tasks.start_soon(self._executor.run)
            else:
                tasks.start_soon(self._calls.run)
            if self._cfg.platform.key_value_url:
                store = ConfigStore(HttpKeyValue(self._cfg.platform))
                tasks.start_soon(ConfigWatcher(store, self.config).run)

    async def drain(self) -> None:
        """Refuse new work and wait until the running work has ended."""
        self._executor.draining = True
        self._calls.draining = True
        self._listener.announce()
        with anyio.move_on_after(self._cfg.drain_timeout_ms / MS_PER_S):
            while not await self._delivered():
                await anyio.sleep(DRAIN_POLL_S)

    def load(self) -> Load:
        """Return the load report for the next heartbeat."""
        if self._cfg.kind == 'service':
            return self._calls.load()
        return self._executor.load()

    def opened(self, channel: Channel) -> None:
        """Nothing is kept per connection."""

    def lost(self, channel: Channel) -> None:
        """Let requests of a lost connection wait for a resume."""
        self._executor.detach(channel)

    async def handle(self, channel: Channel, message: AnyMessage) -> None:
        """Act on one message of an entry."""
        match message:
            case Offer():
                self._executor.offer(channel, message)
            case Body():
                self._executor.body(message)
            case Resume():
                self._executor.resume(channel, message)
            case Revoke():
                self._tasks.start_soon(
                    self._executor.revoke,
                    channel,
                    message,
                )
            case Cancel():
                self._tasks.start_soon(self._executor.cancel, message)
            case EndpointOrder():
                self._tasks.start_soon(self._orders.carry_out, message)
            case Call():
                self._tasks.start_soon(self._calls.call, channel, message)

    async def _delivered(self) -> bool:
        """Tell whether all work has ended and the entries know.

        Requests whose connection was lost before their end was read count as
        under way until they are resumed or their grace period is over.
        """
        if not (self._executor.idle and self._calls.idle):
            return False
        flushed = await self._listener.flush()
        return flushed and self._executor.idle and self._calls.idle
