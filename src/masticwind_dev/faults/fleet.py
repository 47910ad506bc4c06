"""A fleet of real processes: stand-ins, agents and entries."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any, Final

import anyio

from masticwind.config.store import ConfigStore
from masticwind.settings import PlatformSettings
from masticwind.store.http import HttpKeyValue
from masticwind_dev.faults.processes import Process, ProcessGroup, control
from masticwind_dev.faults.proxy import TcpProxy

SECRET: Final = 'fleet-secret'
PROXY_POLL_S: Final = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """How many processes of each kind, and their options.

    In a proxied fleet, entries reach agents, agents reach endpoints and
    everything reaches the key-value service through `ProcessFleet.proxies`.

    Endpoints are spread over `zones` in turn. `engine` holds options of the
    engine stand-in; `agent` and `entry` hold further settings.
    """

    zones: tuple[str, ...]
    engines: int = 6
    proxied: bool = False
    services: dict[str, int] = field(default_factory=dict)
    entries: int = 2
    engine: dict[str, Any] = field(default_factory=dict)
    agent: dict[str, Any] = field(default_factory=dict)
    entry: dict[str, Any] = field(default_factory=dict)


class ProcessFleet:
    """The processes of one fleet; nothing is in force before an apply."""

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
        """Start everything; return the store for the first apply."""
        await self._start_platform()
        for number in range(self.shape.engines):
            name = f'engine-{number}'
            await self.start_engine(name)
            await self.start_agent(name, self._zone(number))
        for service, count in self.shape.services.items():
            for number in range(count):
                name = f'{service}-{number}'
                await self.start_service(name)
                await self.start_agent(name, self._zone(number), service)
        await self.publish()
        for number in range(self.shape.entries):
            await self.start_entry(f'entry-{number}', self._zone(number))
        url = self.platform['key_value_url']
        return ConfigStore(HttpKeyValue(PlatformSettings(key_value_url=url)))

    async def start_engine(self, name: str) -> Process:
        """Start, or start again, an engine stand-in."""
        engine = await self.group.standin(
            name,
            'engine',
            seed=int(name.rsplit('-', 1)[1]) + 1,
            **self.shape.engine,
        )
        self.engines[name] = engine
        self._through(name, engine.port)
        return engine

    async def start_service(self, name: str) -> Process:
        """Start, or start again, a plain service stand-in."""
        process = await self.group.standin(name, 'service')
        self.services[name] = process
        self._through(name, process.port)
        return process

    async def start_agent(
        self,
        endpoint: str,
        zone: str,
        service: str = '',
    ) -> Process:
        """Start, or start again, the agent beside an endpoint.

        The agent of a plain service is started again without its `service`.
        """
        service = service or self._service_of.get(endpoint, '')
        self._service_of[endpoint] = service
        beside = self.engines.get(endpoint) or self.services[endpoint]
        port = self._through(endpoint, beside.port)
        kind = {'kind': 'service', 'service': service} if service else {}
        agent = await self.group.program(
            'agent',
            f'agent-{endpoint}',
            {
                'node': f'agent-{endpoint}',
                'zone': zone,
                'endpoint': endpoint,
                'endpoint_url': f'http://127.0.0.1:{port}',
                'peers': {'secrets': [SECRET]},
                'platform': self.platform,
                **kind,
                **self.shape.agent,
            },
        )
        self.agents[endpoint] = agent
        self._through(f'agent-{endpoint}', agent.port)
        self.zone_of[endpoint] = zone
        return agent

    async def start_entry(self, name: str, zone: str) -> Process:
        """Start, or start again, an entry."""
        entry = await self.group.program(
            'entry',
            name,
            {
                'node': name,
                'zone': zone,
                'peers': {'secrets': [SECRET]},
                'platform': self.platform,
                'instances_poll_ms': 100,
                **self.shape.entry,
            },
        )
        self.entries[name] = entry
        return entry

    async def run_proxies(self) -> None:
        """Run the proxies of the fleet, also later ones, until cancelled."""
        started: set[str] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                for name in set(self.proxies) - started:
                    started.add(name)
                    tasks.start_soon(self.proxies[name].run)
                await anyio.sleep(PROXY_POLL_S)

    async def publish(self, leaving: Collection[str] = ()) -> None:
        """Put the running agents on the platform's instance list."""
        listed = [
            {
                'node': agent.name,
                'role': 'agent',
                'host': '127.0.0.1',
                'port': self._through(agent.name, agent.port),
                'zone': self.zone_of[endpoint],
                'state': 'leaving' if endpoint in leaving else 'live',
            }
            for endpoint, agent in self.agents.items()
        ]
        await control(self._instances, instances=listed)

    async def _start_platform(self) -> None:
        self.key_value = await self.group.standin('keyvalue', 'keyvalue')
        self._instances = await self.group.standin('instances', 'instances')
        port = self._through('keyvalue', self.key_value.port)
        self.platform = {
            'key_value_url': f'http://127.0.0.1:{port}',
            'instances_url': self._instances.url,
        }
        if self.shape.entry.get('planner'):
            weights = await self.group.standin('weights', 'weights')
            self.platform['weights_url'] = weights.url

    def _through(self, name: str, port: int) -> int:
        """Return the port by which others reach what listens on `port`."""
        if not self.shape.proxied:
            return port
        proxy = self.proxies.get(name)
        if proxy is None:
            proxy = TcpProxy('127.0.0.1', port)
            self.proxies[name] = proxy
        proxy.retarget(port)
        return proxy.port

    def _zone(self, number: int) -> str:
        return self.shape.zones[number % len(self.shape.zones)]
