"""A fleet of real processes: stand-ins, agents and entries."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any, Final

import anyio

from masticwind.config.store import ConfigStore
from masticwind.settings import PlatformSettings
from masticwind.store.http import HttpKeyValue
from masticwind_dev.faults.processes import Process, ProcessGroup, set_switches
from masticwind_dev.faults.proxy import TcpProxy

SECRET: Final = 'fleet-secret'
PROXY_POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """Number of processes of each kind, and their options.

    In a proxied fleet, entries reach agents, agents reach endpoints and
    all processes reach the key-value service through `ProcessFleet.proxies`.

    Endpoints are assigned to `zones` round-robin. `engine_options` are those
    of the engine stand-in; `agent_settings` and `entry_settings` are added to
    the settings of each agent and entry.
    """

    zones: tuple[str, ...]
    engine_count: int = 6
    proxied: bool = False
    service_counts: dict[str, int] = field(default_factory=dict)
    entry_count: int = 2
    engine_options: dict[str, Any] = field(default_factory=dict)
    agent_settings: dict[str, Any] = field(default_factory=dict)
    entry_settings: dict[str, Any] = field(default_factory=dict)


class ProcessFleet:
    """The processes of one fleet; they start without a configuration."""

    def __init__(self, shape: FleetShape, group: ProcessGroup) -> None:
        self.shape: Final = shape
        self.group: Final = group
        self.engines: Final[dict[str, Process]] = {}
        self.services: Final[dict[str, Process]] = {}
        self.agents: Final[dict[str, Process]] = {}
        self.entries: Final[dict[str, Process]] = {}
        self.proxies: Final[dict[str, TcpProxy]] = {}
        self.zone_of: Final[dict[str, str]] = {}
        self._service_of: Final[dict[str, str]] = {}
        self.platform: dict[str, Any] = {}

    async def start(self) -> ConfigStore:
        """Start all processes; return the configuration store."""
        await self._start_platform()
        for number in range(self.shape.engine_count):
            name = f'engine-{number}'
            await self.start_engine(name)
            await self.start_agent(name, self._zone_for(number))
        for service, count in self.shape.service_counts.items():
            for number in range(count):
                name = f'{service}-{number}'
                await self.start_service(name)
                await self.start_agent(name, self._zone_for(number), service)
        await self.publish_instances()
        for number in range(self.shape.entry_count):
            await self.start_entry(f'entry-{number}', self._zone_for(number))
        url = self.platform['key_value_url']
        return ConfigStore(HttpKeyValue(PlatformSettings(key_value_url=url)))

    async def start_engine(self, name: str) -> Process:
        """Start or restart an engine stand-in."""
        engine = await self.group.start_standin(
            name,
            'engine',
            seed=int(name.rsplit('-', 1)[1]) + 1,
            **self.shape.engine_options,
        )
        self.engines[name] = engine
        self._reachable_port(name, engine.port)
        return engine

    async def start_service(self, name: str) -> Process:
        """Start or restart a plain service stand-in."""
        process = await self.group.start_standin(name, 'service')
        self.services[name] = process
        self._reachable_port(name, process.port)
        return process

    async def start_agent(
        self,
        endpoint: str,
        zone: str,
        service: str = '',
    ) -> Process:
        """Start or restart the agent of an endpoint.

        To restart the agent of a plain service, `service` may be left out.
        """
        service = service or self._service_of.get(endpoint, '')
        self._service_of[endpoint] = service
        endpoint_process = self.engines.get(endpoint) or self.services[endpoint]
        port = self._reachable_port(endpoint, endpoint_process.port)
        service_settings = (
            {'kind': 'service', 'service': service} if service else {}
        )
        agent = await self.group.start_program(
            'agent',
            f'agent-{endpoint}',
            {
                'node': f'agent-{endpoint}',
                'zone': zone,
                'endpoint': endpoint,
                'endpoint_url': f'http://127.0.0.1:{port}',
                'peers': {'secrets': [SECRET]},
                'platform': self.platform,
                **service_settings,
                **self.shape.agent_settings,
            },
        )
        self.agents[endpoint] = agent
        self._reachable_port(f'agent-{endpoint}', agent.port)
        self.zone_of[endpoint] = zone
        return agent

    async def start_entry(self, name: str, zone: str) -> Process:
        """Start or restart an entry."""
        entry = await self.group.start_program(
            'entry',
            name,
            {
                'node': name,
                'zone': zone,
                'peers': {'secrets': [SECRET]},
                'platform': self.platform,
                'instances_poll_ms': 100,
                **self.shape.entry_settings,
            },
        )
        self.entries[name] = entry
        return entry

    async def run_proxies(self) -> None:
        """Run all proxies, including ones added later, until cancelled."""
        started: set[str] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                for name in set(self.proxies) - started:
                    started.add(name)
                    tasks.start_soon(self.proxies[name].run)
                await anyio.sleep(PROXY_POLL_INTERVAL_S)

    async def publish_instances(self, leaving: Collection[str] = ()) -> None:
        """Write the agents to the platform's instance list."""
        listed = [
            {
                'node': agent.name,
                'role': 'agent',
                'host': '127.0.0.1',
                'port': self._reachable_port(agent.name, agent.port),
                'zone': self.zone_of[endpoint],
                'state': 'leaving' if endpoint in leaving else 'live',
            }
            for endpoint, agent in self.agents.items()
        ]
        await set_switches(self._instances, instances=listed)

    async def _start_platform(self) -> None:
        self.key_value = await self.group.start_standin('keyvalue', 'keyvalue')
        self._instances = await self.group.start_standin(
            'instances', 'instances'
        )
        port = self._reachable_port('keyvalue', self.key_value.port)
        self.platform = {
            'key_value_url': f'http://127.0.0.1:{port}',
            'instances_url': self._instances.url,
        }
        if self.shape.entry_settings.get('planner'):
            weights = await self.group.start_standin('weights', 'weights')
            self.platform['weights_url'] = weights.url

    def _reachable_port(self, name: str, port: int) -> int:
        """Return the proxy's port, or `port` in a fleet without proxies."""
        if not self.shape.proxied:
            return port
        proxy = self.proxies.get(name)
        if proxy is None:
            proxy = TcpProxy('127.0.0.1', port)
            self.proxies[name] = proxy
        proxy.retarget(port)
        return proxy.port

    def _zone_for(self, number: int) -> str:
        return self.shape.zones[number % len(self.shape.zones)]
