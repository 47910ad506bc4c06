"""A planner that is paused past its lease, in a fleet of real processes."""

import signal
import time
from dataclasses import replace
from typing import Any

import anyio
import pytest

from masticwind.config.current import token_digest
from masticwind.config.model import Configuration, Model
from masticwind.config.store import ConfigStore
from masticwind.errors import Failure
from masticwind.planner.leader import LEASE_TTL_S
from masticwind_dev.faults.callers import TOKEN
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.injection import matrix_config
from masticwind_dev.faults.processes import (
    Process,
    inspect,
    process_group,
)

pytestmark = pytest.mark.anyio

ZONE = 'zone-a'
WAIT_S = 20.0
POLL_S = 0.1
# The paused planner plans every second, and needs several chances to err.
AWAKE_S = 5.0


def _config(replicas: int) -> Configuration:
    plain = matrix_config((ZONE,), token_digest(TOKEN))
    model = Model(replicas={ZONE: replicas})
    return replace(plain, models={'standard': model})


async def _apply(store: ConfigStore, replicas: int) -> None:
    stored = await store.read_head()
    assert not isinstance(stored, Failure)
    applied = await store.apply(_config(replicas), stored.number, 'operator')
    assert not isinstance(applied, Failure)


def _token(entry: Process) -> int:
    """Return the newest fencing token that an entry has logged."""
    led = [one for one in entry.logs() if one.get('event') == 'leading']
    return int(led[-1]['fencing']) if led else 0


async def _leader(fleet: ProcessFleet, after: int) -> Process:
    """Wait for an entry that leads with a token newer than `after`."""
    with anyio.fail_after(LEASE_TTL_S + WAIT_S):
        while True:
            for entry in fleet.entries.values():
                if _token(entry) > after:
                    return entry
            await anyio.sleep(POLL_S)


async def _orders(fleet: ProcessFleet) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    for engine in fleet.engines.values():
        found.extend((await inspect(engine, '/state'))['orders'])
    return sorted(found, key=lambda one: float(one['at_s']))


async def _wait_orders(fleet: ProcessFleet, count: int) -> None:
    with anyio.fail_after(WAIT_S):
        while len(await _orders(fleet)) < count:
            await anyio.sleep(POLL_S)


async def test_only_the_newest_token_is_carried_out() -> None:
    """Guards against orders of a planner that slept past its lease."""
    shape = FleetShape(
        zones=(ZONE,),
        engines=3,
        engine={'models': [], 'checks_fencing': False},
        entry={'planner': True},
    )
    async with process_group() as group:
        fleet = ProcessFleet(shape, group)
        store = await fleet.start()
        await _apply(store, 1)
        paused = await _leader(fleet, 0)
        await _wait_orders(fleet, 1)
        old_token = _token(paused)
        paused.signal(signal.SIGSTOP)
        new_leader = await _leader(fleet, old_token)
        assert new_leader is not paused
        taken_over_at = time.monotonic()
        # An open need for orders at the moment when the old leader wakes.
        await _apply(store, 3)
        paused.signal(signal.SIGCONT)
        await _wait_orders(fleet, 3)
        await anyio.sleep(AWAKE_S)
        orders = await _orders(fleet)
        new_token = _token(new_leader)
    later = [one for one in orders if one['at_s'] > taken_over_at]
    assert later
    assert {one['fencing'] for one in later} == {new_token}
    tokens = [one['fencing'] for one in orders]
    assert tokens == sorted(tokens)
