"""Time until a change of the configuration is in force in every process.

All processes are real: entries, and agents that share one plain service.
The time runs from before the write to the line that each process logs when
it adopts the generation; all clocks are those of one machine.
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
from masticwind_dev.bench.slopes_config import teams_config, with_weight
from masticwind_dev.faults.fleet import SECRET
from masticwind_dev.faults.processes import (
    Process,
    ProcessGroup,
    fetch_json,
    process_group,
    set_switches,
)

STARTS_AT_ONCE: Final = 8
FIRST_TIMEOUT_S: Final = 120.0
CHANGE_TIMEOUT_S: Final = 30.0
SETTLE_S: Final = 3.0
POLL_S: Final = 0.2
ENTRY_SHARE: Final = 0.05
ZONE: Final = 'zone-0'


@dataclass(frozen=True, slots=True, kw_only=True)
class SpreadPlan:
    """Numbers of processes, and the configuration that changes."""

    processes: tuple[int, ...] = (3, 30, 200)
    teams: int = 47_000
    changes: int = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Spread:
    """Times in seconds from before the write, over all changes.

    Calls are those for one change, as the key-value stand-in counts them;
    they contain the watches that end and start again within the change.
    `apply_s` is the median time of the write alone.
    """

    processes: int
    entries: int
    apply_s: float
    median_s: float
    max_s: float
    reads_per_change: float
    writes_per_change: float


async def measure_spread(plan: SpreadPlan) -> list[Spread]:
    """Measure each size; one fleet runs at a time."""
    return [await _one_size(plan, count) for count in plan.processes]


async def _one_size(plan: SpreadPlan, count: int) -> Spread:
    async with process_group() as group:
        fleet = _SpreadFleet(group)
        entries = max(1, round(count * ENTRY_SHARE))
        await fleet.start(entries, count - entries)
        store = ConfigStore(HttpKeyValue(fleet.platform_settings))
        config = teams_config(plan.teams)
        await _apply(store, config, 0)
        await fleet.adoptions(1, FIRST_TIMEOUT_S)
        await anyio.sleep(SETTLE_S)
        calls_before = await fleet.calls()
        applies: list[float] = []
        times: list[float] = []
        for number in range(1, plan.changes + 1):
            start = time.time()
            await _apply(store, with_weight(config, number), number)
            applies.append(time.time() - start)
            adopted = await fleet.adoptions(number + 1, CHANGE_TIMEOUT_S)
            times.extend(one - start for one in adopted)
        calls_after = await fleet.calls()
    return Spread(
        processes=count,
        entries=entries,
        apply_s=statistics.median(applies),
        median_s=statistics.median(times),
        max_s=max(times),
        reads_per_change=(calls_after['reads'] - calls_before['reads'])
        / plan.changes,
        writes_per_change=(calls_after['writes'] - calls_before['writes'])
        / plan.changes,
    )


async def _apply(
    store: ConfigStore,
    config: Configuration,
    expected: int,
) -> None:
    applied = await store.apply(config, expected, 'bench')
    if isinstance(applied, Failure):
        raise RuntimeError(applied.reason)


class _SpreadFleet:
    """Entries and agents that all stand on the instance list."""

    def __init__(self, group: ProcessGroup) -> None:
        self._group: Final = group
        self._started: Final[list[tuple[str, Process]]] = []

    async def start(self, entries: int, agents: int) -> None:
        """Start everything and publish the instance list."""
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
        limit = anyio.CapacityLimiter(STARTS_AT_ONCE)
        async with anyio.create_task_group() as tasks:
            for number in range(entries):
                one = _settings(f'entry-{number}', platform)
                tasks.start_soon(self._start, limit, 'entry', one)
            for number in range(agents):
                one = {
                    **_settings(f'agent-{number}', platform),
                    'kind': 'service',
                    'service': 'orders',
                    'endpoint': f'orders-{number}',
                    'endpoint_url': service.url,
                }
                tasks.start_soon(self._start, limit, 'agent', one)
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

    async def adoptions(
        self,
        generation: int,
        timeout_s: float,
    ) -> Sequence[float]:
        """Wait until all have logged the generation; return when they did.

        A process that skips a generation counts with the next one.
        """
        left = [process for _, process in self._started]
        times: list[float] = []
        with anyio.fail_after(timeout_s):
            while left:
                await anyio.sleep(POLL_S)
                found = [_adopted_at(one, generation) for one in left]
                times.extend(one for one in found if one)
                left = [
                    process
                    for process, adopted_at in zip(left, found, strict=True)
                    if not adopted_at
                ]
        return times

    async def calls(self) -> dict[str, int]:
        """Return the calls that the key-value stand-in has counted."""
        history = await fetch_json(self._key_value, '/history')
        return {'reads': 0, 'writes': 0, **history['calls']}

    async def _start(
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


def _settings(node: str, platform: dict[str, str]) -> dict[str, Any]:
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
