"""A fleet in one process: stand-ins, agents and entries."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.agent.server import Agent
from masticwind.config.model import Configuration
from masticwind.config.store import ConfigStore
from masticwind.entry.server import Entry
from masticwind.errors import Failure
from masticwind.settings import (
    Address,
    AgentSettings,
    ClaimSettings,
    EntrySettings,
    MetricsSettings,
    PeerSettings,
    PlatformSettings,
    TraceSettings,
)
from masticwind.store.base import Instance
from masticwind.store.http import HttpKeyValue
from masticwind.web import App, WebServer
from masticwind_dev.standins.engine import EngineModel, EngineStandin
from masticwind_dev.standins.instances import InstancesStandin
from masticwind_dev.standins.keyvalue import KeyValueStandin
from masticwind_dev.standins.service import ServiceStandin

READY_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.02
LOCAL_SECRET: Final = 'local-only'


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """The endpoints, entries and settings of a local fleet.

    `engines` has the zone and the model of each engine. `services` maps the
    endpoints of plain services to their zones, and `service_by_endpoint` to
    their service where it differs from the endpoint's name.
    """

    config: Configuration
    engines: dict[str, tuple[str, EngineModel]]
    services: dict[str, str] = field(default_factory=dict)
    service_by_endpoint: dict[str, str] = field(default_factory=dict)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    traces: TraceSettings = field(default_factory=TraceSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    entries: tuple[str, ...] = ('entry-1',)
    entry_zone: str = 'local-a'
    entry_port: int = 0


class Fleet:
    """A running local fleet."""

    def __init__(self, plan: FleetPlan, tasks: TaskGroup) -> None:
        self.plan: Final = plan
        self._tasks: Final = tasks
        self.key_value: Final = KeyValueStandin()
        self.instances: Final = InstancesStandin()
        self.engines: Final[dict[str, EngineStandin]] = {}
        self.services: Final[dict[str, ServiceStandin]] = {}
        self.agents: Final[dict[str, Agent]] = {}
        self.entries: Final[dict[str, Entry]] = {}
        tasks.start_soon(self.key_value.run)
        self.platform: Final = PlatformSettings(
            key_value_url=self._serve(self.key_value.app),
            instances_url=self._serve(self.instances.app),
        )
        self._peers: Final = PeerSettings(secrets=(LOCAL_SECRET,))

    async def start(self) -> None:
        """Start all components and wait until every agent accepts requests."""
        store = ConfigStore(HttpKeyValue(self.platform))
        applied = await store.apply(self.plan.config, 0, 'local')
        if isinstance(applied, Failure):
            raise RuntimeError(applied.reason)
        for name, (zone, model) in self.plan.engines.items():
            engine = EngineStandin(model)
            self.engines[name] = engine
            self._tasks.start_soon(engine.run)
            self._start_agent(name, zone, self._serve(engine.app))
        for name, zone in self.plan.services.items():
            service = ServiceStandin()
            self.services[name] = service
            self._start_agent(
                name,
                zone,
                self._serve(service.app),
                self.plan.service_by_endpoint.get(name, name),
            )
        self._publish_agents()
        for node in self.plan.entries:
            entry = Entry(
                EntrySettings(
                    node=node,
                    zone=self.plan.entry_zone,
                    listen=Address(port=self.plan.entry_port),
                    peers=self._peers,
                    platform=self.platform,
                    instances_poll_ms=100,
                    claims=self.plan.claims,
                    traces=self.plan.traces,
                    metrics=self.plan.metrics,
                )
            )
            self.entries[node] = entry
            self._tasks.start_soon(entry.run)
        with anyio.fail_after(READY_TIMEOUT_S):
            while not self._is_ready():
                await anyio.sleep(POLL_INTERVAL_S)

    async def drain(self) -> None:
        """Drain the entries and then the agents, without losing requests."""
        async with anyio.create_task_group() as tasks:
            for entry in self.entries.values():
                tasks.start_soon(entry.drain)
        async with anyio.create_task_group() as tasks:
            for agent in self.agents.values():
                tasks.start_soon(agent.drain)

    def _is_ready(self) -> bool:
        for entry in self.entries.values():
            serving_links = [
                link
                for link in entry.pool.links
                if link.reported_load is not None
                and link.reported_load.state in ('serving', 'cold')
            ]
            if entry.config.number == 0 or len(serving_links) < len(
                self.agents
            ):
                return False
        return True

    def _start_agent(
        self,
        name: str,
        zone: str,
        url: str,
        service: str = '',
    ) -> None:
        agent = Agent(
            AgentSettings(
                node=f'agent-{name}',
                zone=zone,
                endpoint=name,
                endpoint_url=url,
                kind='service' if service else 'engine',
                service=service,
                traces=self.plan.traces,
                metrics=self.plan.metrics,
                peers=self._peers,
                platform=self.platform,
            ),
            self._tasks,
        )
        self.agents[name] = agent
        self._tasks.start_soon(agent.run)

    def _publish_agents(self) -> None:
        zones = {name: zone for name, (zone, _) in self.plan.engines.items()}
        zones.update(self.plan.services)
        self.instances.publish(
            tuple(
                Instance(
                    node=f'agent-{name}',
                    role='agent',
                    host='127.0.0.1',
                    port=agent.port,
                    zone=zones[name],
                )
                for name, agent in self.agents.items()
            )
        )

    def _serve(self, app: App) -> str:
        server = WebServer(app, Address())
        self._tasks.start_soon(server.run)
        return f'http://127.0.0.1:{server.port}'


@asynccontextmanager
async def running_fleet(plan: FleetPlan) -> AsyncIterator[Fleet]:
    """Run a fleet while the context is open."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(plan, tasks)
        await fleet.start()
        yield fleet
        tasks.cancel_scope.cancel()
