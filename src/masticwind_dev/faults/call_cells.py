"""Runs one cell about plain service calls in a fleet of real processes."""

import random
import time
from collections import Counter
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind_dev.faults import call_checks
from masticwind_dev.faults.cells import (
    FAULT_S,
    READY_WAIT_S,
    ZONES,
    MatrixFleet,
    Outcome,
    timed_outcome,
)
from masticwind_dev.faults.checks import check_history
from masticwind_dev.faults.fleet import FleetShape
from masticwind_dev.faults.injection import Injector, Victims
from masticwind_dev.faults.matrix import Cell
from masticwind_dev.faults.orders import (
    OrderAnswer,
    query_outcome,
    read_case,
    send_order,
)
from masticwind_dev.faults.processes import (
    ProcessGroup,
    fetch_json,
    set_switches,
)
from masticwind_dev.faults.proxy import Faults

ORDERS: Final = 8
# Orders are sent during the whole fault, not only when it strikes.
TRICKLE_S: Final = 0.1
# A zone that is out is watched for longer than the 2 s that it may take.
ZONE_OUT_S: Final = 4.0
# Each step is made long enough that the fault strikes within it.
CLAIM_DELAY_MS: Final = 100
SEND_DELAY_MS: Final = 200
RESULT_DELAY_MS: Final = 400
STRIKE_S: Final = 0.15
CLAIM_STRIKE_S: Final = 0.05
POLL_S: Final = 0.05


class CallFleet(MatrixFleet):
    """A fleet with a plain service that runs one cell after the other."""

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
        """Wait until every entry serves."""
        with anyio.fail_after(READY_WAIT_S):
            for entry in self.fleet.entries.values():
                while not await read_case(entry.url):
                    await anyio.sleep(POLL_S)

    async def run(self, cell: Cell, seed: int) -> Outcome:
        """Run a cell and check it."""
        run = CallRun(self, cell, random.Random(f'{seed}/{cell.name}'))
        return await timed_outcome(cell, run.run)


class CallRun:
    """One run of one cell."""

    def __init__(
        self,
        cells: CallFleet,
        cell: Cell,
        rng: random.Random,
    ) -> None:
        self._cells: Final = cells
        self._cell: Final = cell
        self._fleet: Final = cells.fleet
        self._entries: Final = sorted(cells.fleet.entries)
        self._prefix: Final = f'{rng.getrandbits(64):x}'
        self._victims: Final = Victims(
            entry=rng.choice(self._entries),
            engine=rng.choice(sorted(cells.fleet.services)),
        )
        self._injector: Final = Injector(
            cells.fleet,
            cells.store,
            cells.config,
            self._victims,
        )
        self._answers: Final[list[OrderAnswer]] = []
        self._problems: Final[list[str]] = []

    async def run(self) -> list[str]:
        """Run the cell; return what is wrong."""
        await self._lengthen_step()
        async with anyio.create_task_group() as tasks:
            self._send_first(tasks)
            await self._strike(tasks)
            await self._heal()
        await self._cells.wait_ready()
        await self._send_again()
        await self._check_told()
        self._problems.extend(self._injector.problems)
        return [one for one in self._problems if one]

    async def _check_told(self) -> None:
        """Compare outcomes and the stored generations with what happened."""
        states = await self._query()
        await self._injector.collect()
        self._check()
        for key, state in states.items():
            self._problems.append(
                call_checks.check_outcome(key, state, self._runs()),
            )
        history = await fetch_json(self._fleet.key_value, '/history')
        self._problems.append(check_history(history))

    def _send_first(self, tasks: TaskGroup) -> None:
        """Send every second order through both entries at once."""
        for number in range(ORDERS):
            key = f'{self._prefix}-{number}'
            entries = self._entries
            if number % 2:
                entries = [self._entries[number // 2 % len(self._entries)]]
            for entry in entries:
                tasks.start_soon(self._send, entry, key)

    async def _strike(self, tasks: TaskGroup) -> None:
        step = self._cell.step
        await anyio.sleep(CLAIM_STRIKE_S if step == 'claim' else STRIKE_S)
        for fault in self._cell.faults:
            await self._injector.start(fault.name)
        names = {one.name for one in self._cell.faults}
        until = time.monotonic() + FAULT_S
        if 'zone-out' in names:
            until = time.monotonic() + ZONE_OUT_S
        number = 0
        while time.monotonic() < until:
            entry = self._entries[number % len(self._entries)]
            tasks.start_soon(self._send, entry, f'{self._prefix}-t{number}')
            number += 1
            await anyio.sleep(TRICKLE_S)

    async def _lengthen_step(self) -> None:
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

    async def _heal(self) -> None:
        for fault in self._cell.faults:
            await self._injector.heal(fault.name)
        await set_switches(self._fleet.key_value, switches={'delay_ms': 0})
        for name, service in self._fleet.services.items():
            self._fleet.proxies[f'agent-{name}'].inject(Faults())
            await set_switches(service, delay_ms=0)

    async def _send(self, entry: str, key: str) -> None:
        url = self._fleet.entries[entry].url
        self._answers.append(await send_order(entry, url, key))

    async def _send_again(self) -> None:
        """Repeat orders at the other entry, unless they were not run.

        The answer that an order was not run is checked at the end, so
        nothing else may run it.
        """
        states = await self._query()
        await self._injector.collect()
        before = self._runs()
        first = list(self._answers)
        async with anyio.create_task_group() as tasks:
            for got in first:
                if not got.not_run:
                    tasks.start_soon(self._send, self._other(got), got.key)
        await self._injector.collect()
        if [one.name for one in self._cell.faults] == ['kill-entry']:
            self._problems.extend(
                call_checks.check_no_takeover(states, before, self._runs()),
            )

    async def _query(self) -> dict[str, str]:
        """Ask for the outcome of every order at the other entry."""
        states: dict[str, str] = {}
        for got in list(self._answers):
            url = self._fleet.entries[self._other(got)].url
            states[got.key] = await query_outcome(url, got.key)
        return states

    def _other(self, got: OrderAnswer) -> str:
        return next(one for one in self._entries if one != got.entry)

    def _runs(self) -> Counter[str]:
        return Counter(
            one.key
            for one in self._injector.runs
            if one.key.startswith(self._prefix)
        )

    def _check(self) -> None:
        runs = self._runs()
        names = {one.name for one in self._cell.faults}
        self._problems.extend(call_checks.check_once(runs))
        self._problems.extend(call_checks.check_answers(self._answers, runs))
        for got in self._answers:
            struck = got.entry == self._victims.entry
            paused_s = FAULT_S if 'stop-entry' in names and struck else 0
            self._problems.append(call_checks.check_budget(got, paused_s))
            if got.broken and not ('kill-entry' in names and struck):
                self._problems.append(f'{got.key}: {got.broken}')
        zone = self._fleet.zone_of[self._victims.engine]
        self._problems.extend(
            call_checks.check_zone_out(
                self._injector.runs,
                [
                    name
                    for name in self._fleet.services
                    if self._fleet.zone_of[name] == zone
                ],
                self._injector.out_at,
                self._injector.back_at,
            )
        )
