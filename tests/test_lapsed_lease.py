"""A planner that is paused until its lease has expired.

The fleet consists of real processes.
"""

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
    fetch_json,
    process_group,
)

pytestmark = pytest.mark.anyio

ZONE = 'zone-a'
ORDERS_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
# A planner plans every second. This is time for several rounds in which the
# resumed one could send an outdated order.
RESUMED_S = 5.0


def _config(replicas: int) -> Configuration:
    base_config = matrix_config((ZONE,), token_digest(TOKEN))
    model = Model(replicas={ZONE: replicas})
    return replace(base_config, models={'standard': model})


async def _apply(store: ConfigStore, replicas: int) -> None:
    current = await store.read_head()
    assert not isinstance(current, Failure)
    applied = await store.apply(_config(replicas), current.number, 'operator')
    assert not isinstance(applied, Failure)


def _newest_fencing_token(entry: Process) -> int:
    """Return the last fencing token that an entry logged, or 0."""
    leading_lines = [
        line
        for line in entry.read_log_lines()
        if line.get('event') == 'leading'
    ]
    return int(leading_lines[-1]['fencing']) if leading_lines else 0


async def _wait_for_leader(fleet: ProcessFleet, after: int) -> Process:
    """Wait for an entry that leads with a fencing token above `after`."""
    with anyio.fail_after(LEASE_TTL_S + ORDERS_TIMEOUT_S):
        while True:
            for entry in fleet.entries.values():
                if _newest_fencing_token(entry) > after:
                    return entry
            await anyio.sleep(POLL_INTERVAL_S)


async def _read_orders(fleet: ProcessFleet) -> list[dict[str, Any]]:
    orders: list[dict[str, Any]] = []
    for engine in fleet.engines.values():
        orders.extend((await fetch_json(engine, '/state'))['orders'])
    return sorted(orders, key=lambda order: float(order['at_s']))


async def _wait_for_orders(fleet: ProcessFleet, count: int) -> None:
    with anyio.fail_after(ORDERS_TIMEOUT_S):
        while len(await _read_orders(fleet)) < count:
            await anyio.sleep(POLL_INTERVAL_S)


async def test_resumed_leader_sends_no_orders_with_old_token() -> None:
    """Guards against orders of a planner whose lease has expired.

    The process is paused while it leads, another entry takes over, and the
    first one is resumed. The engines don't check fencing tokens here.
    """
    shape = FleetShape(
        zones=(ZONE,),
        engine_count=3,
        engine_options={'models': [], 'checks_fencing': False},
        entry_settings={'planner': True},
    )
    async with process_group() as group:
        fleet = ProcessFleet(shape, group)
        store = await fleet.start()
        await _apply(store, 1)
        paused_leader = await _wait_for_leader(fleet, 0)
        await _wait_for_orders(fleet, 1)
        old_token = _newest_fencing_token(paused_leader)
        paused_leader.signal(signal.SIGSTOP)
        new_leader = await _wait_for_leader(fleet, old_token)
        assert new_leader is not paused_leader
        taken_over_at = time.monotonic()
        # Makes new orders necessary when the old leader is resumed.
        await _apply(store, 3)
        paused_leader.signal(signal.SIGCONT)
        await _wait_for_orders(fleet, 3)
        await anyio.sleep(RESUMED_S)
        orders = await _read_orders(fleet)
        new_token = _newest_fencing_token(new_leader)
    later_orders = [order for order in orders if order['at_s'] > taken_over_at]
    assert later_orders
    assert {order['fencing'] for order in later_orders} == {new_token}
    tokens = [order['fencing'] for order in orders]
    assert tokens == sorted(tokens)
