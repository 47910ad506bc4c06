"""Measures the time until every process has adopted a config change.

All processes are real: entries, and agents that share one plain service.
The time is taken from before the write to the log line that each process
writes when it adopts the generation. All run on one machine and its clock.
"""

import datetime
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

import anyio

from masticwind.config.model import Configuration
from masticwind.config.store import ConfigStore
from masticwind.errors import Failure
from masticwind.settings import PlatformSettings
from masticwind.store.http import HttpKeyValue
from masticwind_dev.bench.slopes_config import (
    change_team_weight,
    config_with_teams,
)
from masticwind_dev.faults.fleet import SECRET
from masticwind_dev.faults.processes import (
    Process,
    ProcessGroup,
    fetch_json,
    process_group,
    set_switches,
)

MAX_CONCURRENT_STARTS: Final = 8
FIRST_ADOPTION_TIMEOUT_S: Final = 120.0
CHANGE_TIMEOUT_S: Final = 30.0
SETTLE_DELAY_S: Final = 3.0
POLL_INTERVAL_S: Final = 0.2
ENTRY_SHARE: Final = 0.05
ZONE: Final = 'zone-0'


@dataclass(frozen=True, slots=True, kw_only=True)
class PropagationPlan:
    """Numbers of processes, and the configuration that changes."""

    process_counts: tuple[int, ...] = (3, 30, 200)
    team_count: int = 47_000
    change_count: int = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigPropagation:
    """Times in seconds from before the write, over all changes.

    Reads and writes are the calls of one change that the key-value stand-in
    counts, including watches that end and are renewed meanwhile. `apply_s`
    is the median time of the write alone.
    """

    processes: int
    entries: int
    apply_s: float
    median_s: float
    max_s: float
    reads_per_change: float
    writes_per_change: float


async def measure_propagation(plan: PropagationPlan) -> list[ConfigPropagation]:
    """Measure each fleet size, one fleet after another."""
    return [await _measure_fleet(plan, count) for count in plan.process_counts]


async def _measure_fleet(
    plan: PropagationPlan, count: int
) -> ConfigPropagation:
    async with process_group() as group:
        fleet = _PropagationFleet(group)
        entries = max(1, round(count * ENTRY_SHARE))
        await fleet.start(entries, count - entries)
        store = ConfigStore(HttpKeyValue(fleet.platform_settings))
        config = config_with_teams(plan.team_count)
        await _apply(store, config, 0)
        await fleet.wait_for_adoptions(1, FIRST_ADOPTION_TIMEOUT_S)
        await anyio.sleep(SETTLE_DELAY_S)
        calls_before = await fleet.fetch_call_counts()
        applies: list[float] = []
        times: list[float] = []
        for number in range(1, plan.change_count + 1):
            start = time.time()
            await _apply(store, change_team_weight(config, number), number)
            applies.append(time.time() - start)
            adopted = await fleet.wait_for_adoptions(
                number + 1, CHANGE_TIMEOUT_S
            )
            times.extend(adopted_at - start for adopted_at in adopted)
        calls_after = await fleet.fetch_call_counts()
    return ConfigPropagation(
        processes=count,
        entries=entries,
        apply_s=statistics.median(applies),
        median_s=statistics.median(times),
        max_s=max(times),
        reads_per_change=(calls_after['reads'] - calls_before['reads'])
        / plan.change_count,
        writes_per_change=(calls_after['writes'] - calls_before['writes'])
        / plan.change_count,
    )


async def _apply(
    store: ConfigStore,
    config: Configuration,
    expected: int,
) -> None:
    applied = await store.apply(config, expected, 'bench')
    if isinstance(applied, Failure):
        raise RuntimeError(applied.reason)


class _PropagationFleet:
    """Entries and agents, all of them on the instance list."""

    def __init__(self, group: ProcessGroup) -> None:
        self._group: Final = group
        self._started: Final[list[tuple[str, Process]]] = []

    async def start(self, entries: int, agents: int) -> None:
        """Start all processes and publish the instance list."""
        self._key_value = await self._group.start_standin(
            'keyvalue', 'keyvalue'
        )
        instances = await self._group.start_standin('instances', 'instances')
        service = await self._group.start_standin('orders', 'service')
        platform = {
            'key_value_url': self._key_value.url,
            'instances_url': instances.url,
        }
        self.platform_settings = PlatformSettings(
            key_value_url=self._key_value.url,
        )
        limit = anyio.CapacityLimiter(MAX_CONCURRENT_STARTS)
        async with anyio.create_task_group() as tasks:
            for number in range(entries):
                settings = _program_settings(f'entry-{number}', platform)
                tasks.start_soon(self._start_program, limit, 'entry', settings)
            for number in range(agents):
                settings = {
                    **_program_settings(f'agent-{number}', platform),
                    'kind': 'service',
                    'service': 'orders',
                    'endpoint': f'orders-{number}',
                    'endpoint_url': service.url,
                }
                tasks.start_soon(self._start_program, limit, 'agent', settings)
        listed = [
            {
                'node': process.name,
                'role': role,
                'host': '127.0.0.1',
                'port': process.inner_port or process.port,
                'zone': ZONE,
            }
            for role, process in self._started
        ]
        await set_switches(instances, instances=listed)

    async def wait_for_adoptions(
        self,
        generation: int,
        timeout_s: float,
    ) -> Sequence[float]:
        """Wait until all have adopted the generation; return the times.

        A process that skips the generation counts once it adopts a later one.
        """
        pending = [process for _, process in self._started]
        times: list[float] = []
        with anyio.fail_after(timeout_s):
            while pending:
                await anyio.sleep(POLL_INTERVAL_S)
                found = [
                    _adopted_at(process, generation) for process in pending
                ]
                times.extend(adopted_at for adopted_at in found if adopted_at)
                pending = [
                    process
                    for process, adopted_at in zip(pending, found, strict=True)
                    if not adopted_at
                ]
        return times

    async def fetch_call_counts(self) -> dict[str, int]:
        """Return how many calls the key-value stand-in has counted."""
        history = await fetch_json(self._key_value, '/history')
        return {'reads': 0, 'writes': 0, **history['calls']}

    async def _start_program(
        self,
        limit: anyio.CapacityLimiter,
        role: str,
        settings: dict[str, Any],
    ) -> None:
        async with limit:
            process = await self._group.start_program(
                role,
                settings['node'],
                settings,
            )
        self._started.append((role, process))


def _program_settings(node: str, platform: dict[str, str]) -> dict[str, Any]:
    return {
        'node': node,
        'zone': ZONE,
        'peers': {'secrets': [SECRET]},
        'platform': platform,
    }


def _adopted_at(process: Process, generation: int) -> float:
    for line in process.read_log_lines():
        if line.get('event') != 'config_adopted':
            continue
        if line['generation'] >= generation:
            return datetime.datetime.fromisoformat(line['time']).timestamp()
    return 0
