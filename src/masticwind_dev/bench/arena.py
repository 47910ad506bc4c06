"""The fleet that experiments run on, as separate processes.

15 engine stand-ins and 3 plain services over three availability zones behind
two entries. Engines prefill 100,000 tokens a second and prompts have one
byte for each token, so that a run takes less than three minutes.
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
from masticwind_dev.bench.workload import Mix
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.processes import process_group

ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
READY_TIMEOUT_S: Final = 30.0
SETTLE_S: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Arena:
    """Size and speed of the fleet under test."""

    engines: int = 15
    services: int = 3
    entries: int = 2
    prefill_tokens_per_s: float = 100_000
    decode_ms: float = 10
    chunk_tokens: int = 4096
    memory_tokens: int = 1_200_000
    bytes_per_token: float = 1
    entry: dict[str, Any] = field(default_factory=dict)
    agent: dict[str, Any] = field(default_factory=dict)
    engine: dict[str, Any] = field(default_factory=dict)

    def capacity_tokens_per_s(self) -> float:
        """Return the prefill rate of the fleet while every engine decodes."""
        chunk_s = self.chunk_tokens / self.prefill_tokens_per_s
        iteration_s = chunk_s + self.decode_ms / 1000
        return self.engines * self.chunk_tokens / iteration_s

    def rate_per_s(self, mix: Mix, load: float) -> float:
        """Return the arrival rate that is `load` times the capacity."""
        return load * self.capacity_tokens_per_s() / mix.mean_tokens()


@dataclass(slots=True)
class RunningArena:
    """A started fleet and the configuration in force on it."""

    fleet: ProcessFleet
    store: ConfigStore
    config: Configuration
    number: int

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of the entries."""
        return tuple(one.url for one in self.fleet.entries.values())

    async def set_zone(self, zone: str, *, in_service: bool) -> None:
        """Take an availability zone out of service, or back in."""
        changed = replace(self.config.zones[zone], in_service=in_service)
        zones = {**self.config.zones, zone: changed}
        self.config = replace(self.config, zones=zones)
        await self.apply()

    async def apply(self) -> None:
        """Put the configuration in force."""
        applied = await self.store.apply(self.config, self.number, 'bench')
        if isinstance(applied, Failure):
            raise RuntimeError(applied.reason)
        self.number = applied.number


def arena_config(teams: int, bytes_per_token: float) -> Configuration:
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
async def running_arena(arena: Arena) -> AsyncIterator[RunningArena]:
    """Run the fleet while the context is open."""
    async with process_group() as group:
        fleet = ProcessFleet(
            FleetShape(
                zones=ZONES,
                engine_count=arena.engines,
                service_counts={'orders': arena.services},
                entry_count=arena.entries,
                engine_options={
                    'prefill_tokens_per_s': arena.prefill_tokens_per_s,
                    'decode_ms': arena.decode_ms,
                    'chunk_tokens': arena.chunk_tokens,
                    'memory_tokens': arena.memory_tokens,
                    **arena.engine,
                },
                agent_settings=arena.agent,
                entry_settings=arena.entry,
            ),
            group,
        )
        store = await fleet.start()
        running = RunningArena(
            fleet, store, arena_config(10, arena.bytes_per_token), 0
        )
        await running.apply()
        await _wait_ready(running)
        yield running


async def _wait_ready(running: RunningArena) -> None:
    with anyio.fail_after(READY_TIMEOUT_S):
        for url in running.urls:
            client = HttpClient(url)
            while not await _generation_known(client, running.number):
                await anyio.sleep(0.1)
            await client.close()
    # Every link has had its first heartbeats after this.
    await anyio.sleep(SETTLE_S)


async def _generation_known(client: HttpClient, number: int) -> bool:
    answer = await client.request('GET', '/healthz', timeout_s=1)
    if not isinstance(answer, HttpAnswer):
        return False
    return f'"generation":{number}'.encode() in answer.body
