"""The fleet that experiments run on, as separate processes.

By default 15 engine stand-ins and 3 plain services run in three availability
zones behind two entries. Engines prefill 100,000 tokens per second and prompts
have one byte per token, which keeps a run below three minutes.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any, Final

import anyio

from masticwind.config.current import token_digest
from masticwind.config.model import (
    CallRule,
    Configuration,
    Model,
    PlainService,
    Team,
    Tier,
    Zone,
)
from masticwind.config.store import ConfigStore
from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.bench.workload import WorkloadMix
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.processes import process_group

ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
READY_TIMEOUT_S: Final = 30.0
SETTLE_DELAY_S: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSpec:
    """Size and speed of the fleet under test."""

    engines: int = 15
    services: int = 3
    entries: int = 2
    prefill_tokens_per_s: float = 100_000
    decode_ms: float = 10
    chunk_tokens: int = 4096
    memory_tokens: int = 1_200_000
    bytes_per_token: float = 1
    entry_settings: dict[str, Any] = field(default_factory=dict)
    agent_settings: dict[str, Any] = field(default_factory=dict)
    engine_options: dict[str, Any] = field(default_factory=dict)

    def capacity_tokens_per_s(self) -> float:
        """Return the fleet's prefill rate when every engine also decodes."""
        chunk_s = self.chunk_tokens / self.prefill_tokens_per_s
        iteration_s = chunk_s + self.decode_ms / 1000
        return self.engines * self.chunk_tokens / iteration_s

    def rate_per_s(self, mix: WorkloadMix, load: float) -> float:
        """Return the arrival rate that is `load` times the capacity."""
        return load * self.capacity_tokens_per_s() / mix.mean_prompt_tokens()


@dataclass(slots=True)
class RunningFleet:
    """A started fleet and its current configuration."""

    fleet: ProcessFleet
    store: ConfigStore
    config: Configuration
    generation: int

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of the entries."""
        return tuple(entry.url for entry in self.fleet.entries.values())

    async def set_zone(self, zone: str, *, in_service: bool) -> None:
        """Take an availability zone out of service, or back in."""
        changed = replace(self.config.zones[zone], in_service=in_service)
        zones = {**self.config.zones, zone: changed}
        self.config = replace(self.config, zones=zones)
        await self.apply()

    async def apply(self) -> None:
        """Write the configuration as the next generation."""
        applied = await self.store.apply(self.config, self.generation, 'bench')
        if isinstance(applied, Failure):
            raise RuntimeError(applied.reason)
        self.generation = applied.number


def experiment_config(teams: int, bytes_per_token: float) -> Configuration:
    """Return the configuration of the experiments.

    A team's bearer token is its name.
    """
    names = [
        (tier, f'{tier}-{number}')
        for tier in ('paid', 'free')
        for number in range(teams)
    ]
    return Configuration(
        zones={zone: Zone(region='north') for zone in ZONES},
        tiers={
            'paid': Tier(kind='paid', max_timeout_ms=600_000),
            'free': Tier(kind='free', max_timeout_ms=600_000),
        },
        teams={
            name: Team(tier=tier, token_digests=(token_digest(name),))
            for tier, name in names
        },
        models={'standard': Model(bytes_per_token=bytes_per_token)},
        services={
            'orders': PlainService(
                calls=(
                    CallRule(method='GET', path='/*'),
                    CallRule(method='POST', path='/orders', repeatable=False),
                )
            )
        },
    )


@asynccontextmanager
async def run_fleet(spec: FleetSpec) -> AsyncIterator[RunningFleet]:
    """Run the fleet while the context is open."""
    async with process_group() as group:
        fleet = ProcessFleet(
            FleetShape(
                zones=ZONES,
                engine_count=spec.engines,
                service_counts={'orders': spec.services},
                entry_count=spec.entries,
                engine_options={
                    'prefill_tokens_per_s': spec.prefill_tokens_per_s,
                    'decode_ms': spec.decode_ms,
                    'chunk_tokens': spec.chunk_tokens,
                    'memory_tokens': spec.memory_tokens,
                    **spec.engine_options,
                },
                agent_settings=spec.agent_settings,
                entry_settings=spec.entry_settings,
            ),
            group,
        )
        store = await fleet.start()
        running = RunningFleet(
            fleet, store, experiment_config(10, spec.bytes_per_token), 0
        )
        await running.apply()
        await _wait_ready(running)
        yield running


async def _wait_ready(running: RunningFleet) -> None:
    with anyio.fail_after(READY_TIMEOUT_S):
        for url in running.urls:
            client = HttpClient(url)
            while not await _is_generation_adopted(client, running.generation):
                await anyio.sleep(0.1)
            await client.close()
    # Leaves time for the first heartbeats on every connection.
    await anyio.sleep(SETTLE_DELAY_S)


async def _is_generation_adopted(client: HttpClient, generation: int) -> bool:
    response = await client.request('GET', '/healthz', timeout_s=1)
    if not isinstance(response, HttpAnswer):
        return False
    return f'"generation":{generation}'.encode() in response.body
