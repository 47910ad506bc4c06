"""The spread of a generation between real processes under faults."""

import time
from typing import Any

import anyio
import pytest

from masticwind.config.store import ConfigStore
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.processes import process_group, set_switches
from tests.scenarios import ZONES, sample_config
from tests.test_config_store import applied

pytestmark = pytest.mark.anyio

IN_FORCE_S = 5


def _generation(process: Any) -> int:
    adopted = [
        line['generation']
        for line in process.read_log_lines()
        if line.get('event') == 'config_adopted'
    ]
    assert adopted == sorted(adopted)
    return adopted[-1] if adopted else 0


async def _in_force(fleet: ProcessFleet, number: int) -> None:
    with anyio.fail_after(IN_FORCE_S):
        while not _everywhere(fleet, number):
            await anyio.sleep(0.05)


def _everywhere(fleet: ProcessFleet, number: int) -> bool:
    processes = (*fleet.entries.values(), *fleet.agents.values())
    running = [one for one in processes if one.popen.poll() is None]
    return all(_generation(one) == number for one in running)


async def _publish(fleet: ProcessFleet) -> None:
    roles = (('agent', fleet.agents), ('entry', fleet.entries))
    listed = [
        {
            'node': one.name,
            'role': role,
            'host': '127.0.0.1',
            'port': one.inner_port or one.port,
            'zone': ZONES[0],
        }
        for role, processes in roles
        for one in processes.values()
    ]
    await set_switches(fleet._instances, instances=listed)


async def _kill_entry(fleet: ProcessFleet, name: str) -> None:
    fleet.entries.pop(name).kill()
    await _publish(fleet)


async def test_generations_survive_dead_watchers_and_an_outage() -> None:
    """Guards against a watcher that nobody replaces, and against a process
    that learns nothing because it started during an outage.
    """
    async with process_group() as group:
        shape = FleetShape(zones=ZONES, engine_count=3, entry_count=5)
        fleet = ProcessFleet(shape, group)
        store: ConfigStore = await fleet.start()
        await _publish(fleet)
        await applied(store, sample_config(), 0)
        begin = time.monotonic()
        await _in_force(fleet, 1)
        print(f'in force after {time.monotonic() - begin:.2f} s')
        for name in ('entry-0', 'entry-1'):
            await _kill_entry(fleet, name)
        await applied(store, sample_config(models={}), 1)
        await _in_force(fleet, 2)
        await set_switches(fleet.key_value, switches={'outage': True})
        await fleet.start_entry('entry-9', ZONES[0])
        await _publish(fleet)
        await _in_force(fleet, 2)
