"""Distribution of generations among real processes under faults."""

import time
from typing import Any

import anyio
import pytest

from masticwind.config.store import ConfigStore
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.processes import process_group, set_switches
from tests.scenarios import ZONES, sample_config
from tests.test_config_store import apply_or_fail

pytestmark = pytest.mark.anyio

ADOPTION_TIMEOUT_S = 5


def _adopted_generation(process: Any) -> int:
    generations = [
        line['generation']
        for line in process.read_log_lines()
        if line.get('event') == 'config_adopted'
    ]
    assert generations == sorted(generations)
    return generations[-1] if generations else 0


async def _wait_for_generation(fleet: ProcessFleet, number: int) -> None:
    with anyio.fail_after(ADOPTION_TIMEOUT_S):
        while not _is_adopted_everywhere(fleet, number):
            await anyio.sleep(0.05)


def _is_adopted_everywhere(fleet: ProcessFleet, number: int) -> bool:
    processes = (*fleet.entries.values(), *fleet.agents.values())
    running = [process for process in processes if process.popen.poll() is None]
    return all(_adopted_generation(process) == number for process in running)


async def _publish_instances(fleet: ProcessFleet) -> None:
    roles = (('agent', fleet.agents), ('entry', fleet.entries))
    instances = [
        {
            'node': process.name,
            'role': role,
            'host': '127.0.0.1',
            'port': process.inner_port or process.port,
            'zone': ZONES[0],
        }
        for role, processes in roles
        for process in processes.values()
    ]
    await set_switches(fleet._instances, instances=instances)


async def _kill_entry(fleet: ProcessFleet, name: str) -> None:
    fleet.entries.pop(name).kill()
    await _publish_instances(fleet)


async def test_generations_spread_despite_dead_watchers_and_outage() -> None:
    """Guards against failed watchers that no other entry replaces, and
    against a process that gets no configuration because it started during an
    outage of the key-value service.
    """
    async with process_group() as group:
        shape = FleetShape(zones=ZONES, engine_count=3, entry_count=5)
        fleet = ProcessFleet(shape, group)
        store: ConfigStore = await fleet.start()
        await _publish_instances(fleet)
        await apply_or_fail(store, sample_config(), 0)
        started_at = time.monotonic()
        await _wait_for_generation(fleet, 1)
        print(f'adopted everywhere after {time.monotonic() - started_at:.2f} s')
        for name in ('entry-0', 'entry-1'):
            await _kill_entry(fleet, name)
        await apply_or_fail(store, sample_config(models={}), 1)
        await _wait_for_generation(fleet, 2)
        await set_switches(fleet.key_value, switches={'outage': True})
        await fleet.start_entry('entry-9', ZONES[0])
        await _publish_instances(fleet)
        await _wait_for_generation(fleet, 2)
