"""Runs cells of the fault matrix about calls of plain services."""

import random
import time
from collections import Counter
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind_dev.faults import call_checks
from masticwind_dev.faults.cells import (
    FAULT_DURATION_S,
    READY_TIMEOUT_S,
    ZONES,
    CellResult,
    MatrixFleet,
    run_timed,
)
from masticwind_dev.faults.checks import check_history
from masticwind_dev.faults.fleet import FleetShape
from masticwind_dev.faults.injection import FaultTargets, Injector
from masticwind_dev.faults.matrix import Cell
from masticwind_dev.faults.orders import (
    OrderResult,
    is_read_served,
    query_outcome,
    send_order,
)
from masticwind_dev.faults.processes import (
    ProcessGroup,
    fetch_json,
    set_switches,
)
from masticwind_dev.faults.proxy import Faults

INITIAL_ORDERS: Final = 8
# Interval between the orders that are sent while the faults last.
ORDER_INTERVAL_S: Final = 0.1
# Longer than the 2 s after which a zone that is out must execute no orders.
ZONE_OUT_DURATION_S: Final = 4.0
# Delays that make each step last long enough to inject the faults within it.
CLAIM_DELAY_MS: Final = 100
SEND_DELAY_MS: Final = 200
RESULT_DELAY_MS: Final = 400
FAULT_DELAY_S: Final = 0.15
CLAIM_FAULT_DELAY_S: Final = 0.05
POLL_INTERVAL_S: Final = 0.05


class CallCellFleet(MatrixFleet):
    """A fleet with a plain service; runs call cells one by one."""

    def __init__(self, group: ProcessGroup) -> None:
        super().__init__(
            FleetShape(
                zones=ZONES,
                engine_count=0,
                service_counts={'orders': len(ZONES)},
                entry_count=2,
                proxied=True,
                entry_settings={'announce_ms': 500},
            ),
            group,
        )

    async def wait_ready(self) -> None:
        """Wait until a repeatable call has been served by every entry."""
        with anyio.fail_after(READY_TIMEOUT_S):
            for entry in self.fleet.entries.values():
                while not await is_read_served(entry.url):
                    await anyio.sleep(POLL_INTERVAL_S)

    async def run(self, cell: Cell, seed: int) -> CellResult:
        """Run a cell and its checks."""
        run = CallCellRun(self, cell, random.Random(f'{seed}/{cell.name}'))
        return await run_timed(cell, run.run)


class CallCellRun:
    """One run of a call cell."""

    def __init__(
        self,
        cell_fleet: CallCellFleet,
        cell: Cell,
        rng: random.Random,
    ) -> None:
        self._cell_fleet: Final = cell_fleet
        self._cell: Final = cell
        self._fleet: Final = cell_fleet.fleet
        self._entries: Final = sorted(cell_fleet.fleet.entries)
        self._key_prefix: Final = f'{rng.getrandbits(64):x}'
        self._targets: Final = FaultTargets(
            entry=rng.choice(self._entries),
            endpoint=rng.choice(sorted(cell_fleet.fleet.services)),
        )
        self._injector: Final = Injector(
            cell_fleet.fleet,
            cell_fleet.store,
            cell_fleet.config,
            self._targets,
        )
        self._answers: Final[list[OrderResult]] = []
        self._problems: Final[list[str]] = []

    async def run(self) -> list[str]:
        """Run the cell and return the problems that were found."""
        await self._slow_down_step()
        async with anyio.create_task_group() as tasks:
            self._send_initial_orders(tasks)
            await self._inject_under_load(tasks)
            await self._heal_faults()
        await self._cell_fleet.wait_ready()
        await self._repeat_orders()
        await self._check_outcomes()
        self._problems.extend(self._injector.problems)
        return [problem for problem in self._problems if problem]

    async def _check_outcomes(self) -> None:
        """Check answers, reported outcomes and stored generations."""
        states = await self._query_outcomes()
        await self._injector.collect_executions()
        self._check_answers()
        for key, state in states.items():
            self._problems.append(
                call_checks.check_outcome(key, state, self._execution_counts()),
            )
        history = await fetch_json(self._fleet.key_value, '/history')
        self._problems.append(check_history(history))

    def _send_initial_orders(self, tasks: TaskGroup) -> None:
        """Send the first orders; every other one goes to both entries."""
        for number in range(INITIAL_ORDERS):
            key = f'{self._key_prefix}-{number}'
            entries = self._entries
            if number % 2:
                entries = [self._entries[number // 2 % len(self._entries)]]
            for entry in entries:
                tasks.start_soon(self._send, entry, key)

    async def _inject_under_load(self, tasks: TaskGroup) -> None:
        step = self._cell.step
        await anyio.sleep(
            CLAIM_FAULT_DELAY_S if step == 'claim' else FAULT_DELAY_S
        )
        for fault in self._cell.faults:
            await self._injector.inject(fault.name)
        fault_names = {cell_fault.name for cell_fault in self._cell.faults}
        deadline = time.monotonic() + FAULT_DURATION_S
        if 'zone-out' in fault_names:
            deadline = time.monotonic() + ZONE_OUT_DURATION_S
        number = 0
        while time.monotonic() < deadline:
            entry = self._entries[number % len(self._entries)]
            tasks.start_soon(self._send, entry, f'{self._key_prefix}-t{number}')
            number += 1
            await anyio.sleep(ORDER_INTERVAL_S)

    async def _slow_down_step(self) -> None:
        if self._cell.step == 'claim':
            switches = {'delay_ms': CLAIM_DELAY_MS}
            await set_switches(self._fleet.key_value, switches=switches)
        elif self._cell.step == 'send':
            for name in self._fleet.services:
                proxy = self._fleet.proxies[f'agent-{name}']
                proxy.inject(Faults(delay_ms=SEND_DELAY_MS))
        else:
            for service in self._fleet.services.values():
                await set_switches(service, delay_ms=RESULT_DELAY_MS)

    async def _heal_faults(self) -> None:
        for fault in self._cell.faults:
            await self._injector.heal(fault.name)
        await set_switches(self._fleet.key_value, switches={'delay_ms': 0})
        for name, service in self._fleet.services.items():
            self._fleet.proxies[f'agent-{name}'].inject(Faults())
            await set_switches(service, delay_ms=0)

    async def _send(self, entry: str, key: str) -> None:
        url = self._fleet.entries[entry].url
        self._answers.append(await send_order(entry, url, key))

    async def _repeat_orders(self) -> None:
        """Send orders again through the other entry, except refused ones.

        An order that was answered as "not run" is not sent again, since the
        final check requires that it has never been executed.
        """
        states = await self._query_outcomes()
        await self._injector.collect_executions()
        counts_before = self._execution_counts()
        first_answers = list(self._answers)
        async with anyio.create_task_group() as tasks:
            for answer in first_answers:
                if not answer.not_run:
                    tasks.start_soon(
                        self._send, self._other_entry(answer), answer.key
                    )
        await self._injector.collect_executions()
        if [fault.name for fault in self._cell.faults] == ['kill-entry']:
            self._problems.extend(
                call_checks.check_no_takeover(
                    states, counts_before, self._execution_counts()
                ),
            )

    async def _query_outcomes(self) -> dict[str, str]:
        """Query the outcome of every order at the other entry."""
        states: dict[str, str] = {}
        for answer in list(self._answers):
            url = self._fleet.entries[self._other_entry(answer)].url
            states[answer.key] = await query_outcome(url, answer.key)
        return states

    def _other_entry(self, answer: OrderResult) -> str:
        return next(entry for entry in self._entries if entry != answer.entry)

    def _execution_counts(self) -> Counter[str]:
        return Counter(
            execution.key
            for execution in self._injector.executions
            if execution.key.startswith(self._key_prefix)
        )

    def _check_answers(self) -> None:
        execution_counts = self._execution_counts()
        fault_names = {fault.name for fault in self._cell.faults}
        self._problems.extend(call_checks.check_executed_once(execution_counts))
        self._problems.extend(
            call_checks.check_answers(self._answers, execution_counts)
        )
        for answer in self._answers:
            is_target = answer.entry == self._targets.entry
            paused_s = (
                FAULT_DURATION_S
                if 'stop-entry' in fault_names and is_target
                else 0
            )
            self._problems.append(
                call_checks.check_time_budget(answer, paused_s)
            )
            if answer.connection_error and not (
                'kill-entry' in fault_names and is_target
            ):
                self._problems.append(
                    f'{answer.key}: {answer.connection_error}'
                )
        zone = self._fleet.zone_of[self._targets.endpoint]
        self._problems.extend(
            call_checks.check_zone_out(
                self._injector.executions,
                [
                    name
                    for name in self._fleet.services
                    if self._fleet.zone_of[name] == zone
                ],
                self._injector.zone_out_at,
                self._injector.zone_back_at,
            )
        )
