"""A fleet of real processes: stand-ins, agents and entries."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any, Final

from masticwind.config.store import ConfigStore
from masticwind.platform.http import HttpKeyValue
from masticwind.settings import PlatformSettings
from masticwind_dev.faults.processes import Process, ProcessGroup, control

SECRET: Final = 'fleet-secret'


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """How many processes of each kind, and their options.

    Endpoints are spread over `zones` in turn. `engine` holds options of the
    engine stand-in; `agent` and `entry` hold further settings.
    """

    zones: tuple[str, ...]
    engines: int = 6
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
        self.zone_of: Final[dict[str, str]] = {}
        self.platform: dict[str, Any] = {}

    async def start(self) -> ConfigStore:
        """Start everything; return the store for the first apply."""
        await self._start_platform()
        for number in range(self.shape.engines):
            name = f'engine-{number}'
            self.engines[name] = await self.group.standin(
                name,
                'engine',
                seed=number + 1,
                **self.shape.engine,
            )
            await self.start_agent(name, self._zone(number))
        for service, count in self.shape.services.items():
            for number in range(count):
                name = f'{service}-{number}'
                self.services[name] = await self.group.standin(name, 'service')
                await self.start_agent(name, self._zone(number), service)
        await self.publish()
        for number in range(self.shape.entries):
            await self.start_entry(f'entry-{number}', self._zone(number))
        url = self.platform['key_value_url']
        return ConfigStore(HttpKeyValue(PlatformSettings(key_value_url=url)))

    async def start_agent(
        self,
        endpoint: str,
        zone: str,
        service: str = '',
    ) -> Process:
        """Start, or start again, the agent beside an endpoint."""
        beside = self.engines.get(endpoint) or self.services[endpoint]
        kind = {'kind': 'service', 'service': service} if service else {}
        agent = await self.group.program(
            'agent',
            f'agent-{endpoint}',
            {
                'node': f'agent-{endpoint}',
                'zone': zone,
                'endpoint': endpoint,
                'endpoint_url': beside.url,
                'peers': {'secrets': [SECRET]},
                'platform': self.platform,
                **kind,
                **self.shape.agent,
            },
        )
        self.agents[endpoint] = agent
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

    async def publish(self, leaving: Collection[str] = ()) -> None:
        """Put the running agents on the platform's instance list."""
        listed = [
            {
                'node': agent.name,
                'role': 'agent',
                'host': '127.0.0.1',
                'port': agent.port,
                'zone': self.zone_of[endpoint],
                'state': 'leaving' if endpoint in leaving else 'live',
            }
            for endpoint, agent in self.agents.items()
        ]
        await control(self._instances, instances=listed)

    async def _start_platform(self) -> None:
        self.key_value = await self.group.standin('keyvalue', 'keyvalue')
        self._instances = await self.group.standin('instances', 'instances')
        self.platform = {
            'key_value_url': self.key_value.url,
            'instances_url': self._instances.url,
        }

    def _zone(self, number: int) -> str:
        return self.shape.zones[number % len(self.shape.zones)]
