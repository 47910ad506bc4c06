"""Runs one cell of the fault matrix in a fleet of real processes."""

import abc
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
import msgspec
from anyio.abc import TaskGroup

from masticwind.config.current import token_digest
from masticwind.config.store import ConfigStore
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient
from masticwind_dev.faults import checks
from masticwind_dev.faults.callers import TOKEN, Caller
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.injection import Injector, Victims, matrix_config
from masticwind_dev.faults.matrix import Cell
from masticwind_dev.faults.processes import Process, ProcessGroup, fetch_json

ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
CALLERS: Final = 12
FAULT_S: Final = 2.5
LONG_PROMPT_CHARS: Final = 350_000
PREFILL_WAIT_S: Final = 0.2
# Tokens of a caller after which its stream is under way, or nearly complete.
STREAMING_TOKENS: Final = 3
ENDING_TOKENS: Final = 50
STEP_WAIT_S: Final = 5.0
# An agent frees what nobody resumes after 5 s; its engine reports with a lag.
REST_WAIT_S: Final = 10.0
# The stated time in which a configuration is in force everywhere.
IN_FORCE_S: Final = 5.0
DRAIN_WAIT_S: Final = 25.0
READY_WAIT_S: Final = 20.0
POLL_S: Final = 0.05


@dataclass(slots=True)
class Outcome:
    """What the checks of one cell found; no problem means passed."""

    cell: Cell
    problems: list[str] = field(default_factory=list)
    spent_s: float = 0


async def timed_outcome(
    cell: Cell,
    run: Callable[[], Awaitable[Sequence[str]]],
) -> Outcome:
    """Run a cell and return its problems and its time."""
    started = time.monotonic()
    outcome = Outcome(cell)
    try:
        outcome.problems.extend(await run())
    except (TimeoutError, RuntimeError) as exc:
        outcome.problems.append(f'{type(exc).__name__}: {exc}')
    outcome.spent_s = time.monotonic() - started
    return outcome


class MatrixFleet(abc.ABC):
    """The processes and the configuration that cells run on."""

    def __init__(self, shape: FleetShape, group: ProcessGroup) -> None:
        self.fleet: Final = ProcessFleet(shape, group)
        self.config: Final = matrix_config(ZONES, token_digest(TOKEN))
        self.store: ConfigStore

    async def start(self) -> None:
        """Start the processes and put the configuration in force."""
        self.store = await self.fleet.start()
        applied = await self.store.apply(self.config, 0, 'matrix')
        if isinstance(applied, Failure):
            raise RuntimeError(applied.reason)
        await self.wait_ready()

    @abc.abstractmethod
    async def wait_ready(self) -> None:
        """Wait until the next cell can start."""


class CellFleet(MatrixFleet):
    """A fleet that runs one cell after the other."""

    def __init__(self, group: ProcessGroup) -> None:
        super().__init__(
            FleetShape(
                zones=ZONES,
                engine_count=3,
                entry_count=2,
                proxied=True,
                engine_options={'cold_requests': 3},
                entry_settings={'announce_ms': 500},
            ),
            group,
        )

    async def wait_ready(self) -> None:
        """Wait until every entry serves and every engine is at rest."""
        with anyio.fail_after(READY_WAIT_S):
            for name, entry in self.fleet.entries.items():
                await _wait_served(name, entry)

    async def run(self, cell: Cell, seed: int) -> Outcome:
        """Run a cell and check it."""
        run = CellRun(self, cell, random.Random(f'{seed}/{cell.name}'))
        return await timed_outcome(cell, run.run)


class CellRun:
    """One run of one cell."""

    def __init__(
        self,
        cells: CellFleet,
        cell: Cell,
        rng: random.Random,
    ) -> None:
        self._cell: Final = cell
        self._cells: Final = cells
        self._fleet: Final = cells.fleet
        self._rng: Final = rng
        self._problems: Final[list[str]] = []
        self._victims: Final = Victims(
            entry=rng.choice(sorted(cells.fleet.entries)),
            engine=rng.choice(sorted(cells.fleet.engines)),
        )
        self._injector: Final = Injector(
            cells.fleet,
            cells.store,
            cells.config,
            self._victims,
        )
        self._callers: Final = self._make_callers()

    async def run(self) -> list[str]:
        """Run the cell; return what is wrong."""
        await self._injector.collect()
        before = set(self._injector.executed)
        async with anyio.create_task_group() as tasks:
            await self._strike(tasks)
            await anyio.sleep(FAULT_S)
            for fault in self._cell.faults:
                await self._injector.heal(fault.name)
        if self._cell.step == 'apply':
            await self._injector.apply_again()
        await self._check_rest()
        await self._injector.collect()
        self._check(self._injector.executed - before)
        await self._cells.wait_ready()
        return [one for one in self._problems if one]

    async def _strike(self, tasks: TaskGroup) -> None:
        """Start the callers and inject the faults at the step."""
        if self._cell.step == 'offer':
            await self._inject()
        for caller in self._callers:
            tasks.start_soon(caller.run)
        if self._cell.step != 'offer':
            await self._wait_for_step()
            await self._inject()
        tasks.start_soon(self._act)

    def _make_callers(self) -> list[Caller]:
        entries = sorted(self._fleet.entries)
        callers: list[Caller] = []
        for number in range(CALLERS):
            name = entries[number % len(entries)]
            text = f'{self._rng.getrandbits(64):x}'
            if self._cell.step == 'accepted':
                text *= LONG_PROMPT_CHARS // len(text)
            callers.append(Caller(name, self._fleet.entries[name].url, text))
        return callers

    async def _wait_for_step(self) -> None:
        if self._cell.step == 'accepted':
            await anyio.sleep(PREFILL_WAIT_S)
            return
        wanted = STREAMING_TOKENS
        if self._cell.step == 'ending':
            wanted = ENDING_TOKENS
        with anyio.move_on_after(STEP_WAIT_S):
            while all(one.got.tokens < wanted for one in self._callers):
                await anyio.sleep(POLL_S / 10)

    async def _inject(self) -> None:
        for fault in self._cell.faults:
            await self._injector.start(fault.name)

    async def _act(self) -> None:
        """Do what the step adds to the faults."""
        if self._cell.step == 'cancel':
            for caller in self._callers:
                caller.leave()
        elif self._cell.step == 'apply':
            await self._apply()
        elif self._cell.step == 'drain':
            await self._drain()

    async def _apply(self) -> None:
        number = await self._injector.apply_again('step')
        # The time counts from when the faults have been ended.
        with anyio.move_on_after(FAULT_S + IN_FORCE_S):
            while min(await self._generations()) < number:
                await anyio.sleep(POLL_S)
            return
        self._problems.append(f'generation {number} is not in force in time')

    async def _generations(self) -> list[int]:
        found: list[int] = []
        for entry in self._fleet.entries.values():
            client = HttpClient(entry.url)
            answer = await client.request('GET', '/healthz', timeout_s=1)
            await client.close()
            if isinstance(answer, Failure):
                found.append(0)
            else:
                found.append(msgspec.json.decode(answer.body)['generation'])
        return found

    async def _drain(self) -> None:
        """Shut down an agent that no fault of the cell strikes."""
        others = sorted(set(self._fleet.agents) - {self._victims.engine})
        name = self._rng.choice(others)
        agent = self._fleet.agents[name]
        agent.signal(signal.SIGTERM)
        with anyio.move_on_after(DRAIN_WAIT_S):
            while agent.popen.poll() is None:
                await anyio.sleep(POLL_S)
        if agent.popen.poll() != 0:
            self._problems.append(f'{name} exited with {agent.popen.poll()}')
            agent.kill()
        await self._fleet.start_agent(name, self._fleet.zone_of[name])

    async def _check_rest(self) -> None:
        limit = time.monotonic() + REST_WAIT_S
        for name, engine in self._fleet.engines.items():
            state = await fetch_json(engine, '/state')
            while state['memory_used_tokens'] and time.monotonic() < limit:
                await anyio.sleep(POLL_S)
                state = await fetch_json(engine, '/state')
            self._problems.append(checks.check_engine(name, state))
        history = await fetch_json(self._fleet.key_value, '/history')
        self._problems.append(checks.check_history(history))

    def _check(self, executed: set[str]) -> None:
        faults = self._cell.faults
        paused = any(one.name == 'stop-entry' for one in faults)
        answers = [one.got for one in self._callers]
        for got in answers:
            struck = got.entry == self._victims.entry
            ended = struck and any(one.ends_entry for one in faults)
            self._problems.append(checks.check_answer(got, entry_ended=ended))
            paused_s = FAULT_S if paused and struck else 0
            self._problems.append(checks.check_budget(got, paused_s))
        self._problems.append(checks.check_not_run(answers, executed))
        self._problems.append(checks.check_served(answers, self._cell))
        self._problems.extend(self._injector.problems)


async def _wait_served(name: str, entry: Process) -> None:
    while True:
        caller = Caller(name, entry.url, 'ready')
        await caller.run()
        if caller.got.done:
            return
        await anyio.sleep(POLL_S)
