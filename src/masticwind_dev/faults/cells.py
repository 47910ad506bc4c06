"""Runs cells of the fault matrix about streaming model requests."""

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
from masticwind_dev.faults.callers import TOKEN, StreamingCaller
from masticwind_dev.faults.fleet import FleetShape, ProcessFleet
from masticwind_dev.faults.injection import (
    FaultTargets,
    Injector,
    matrix_config,
)
from masticwind_dev.faults.matrix import Cell
from masticwind_dev.faults.processes import Process, ProcessGroup, fetch_json

ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
CALLER_COUNT: Final = 12
FAULT_DURATION_S: Final = 2.5
LONG_PROMPT_CHARS: Final = 350_000
PREFILL_DELAY_S: Final = 0.2
# Number of received tokens at which a stream has started or is almost over.
STREAMING_TOKENS: Final = 3
NEAR_END_TOKENS: Final = 50
STEP_TIMEOUT_S: Final = 5.0
# An agent cancels a request that no entry resumes within 5 s; the engine
# reports the freed memory later.
IDLE_TIMEOUT_S: Final = 10.0
# Documented bound for all entries to load a new configuration.
MAX_CONFIG_DELAY_S: Final = 5.0
DRAIN_TIMEOUT_S: Final = 25.0
READY_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.05


@dataclass(slots=True)
class CellResult:
    """Problems found by the checks of one cell; none if it passed."""

    cell: Cell
    problems: list[str] = field(default_factory=list)
    elapsed_s: float = 0


async def run_timed(
    cell: Cell,
    run: Callable[[], Awaitable[Sequence[str]]],
) -> CellResult:
    """Run a cell; a timeout or RuntimeError counts as a problem."""
    started = time.monotonic()
    result = CellResult(cell)
    try:
        result.problems.extend(await run())
    except (TimeoutError, RuntimeError) as exc:
        result.problems.append(f'{type(exc).__name__}: {exc}')
    result.elapsed_s = time.monotonic() - started
    return result


class MatrixFleet(abc.ABC):
    """Base of the fleets of processes in which cells run."""

    def __init__(self, shape: FleetShape, group: ProcessGroup) -> None:
        self.fleet: Final = ProcessFleet(shape, group)
        self.config: Final = matrix_config(ZONES, token_digest(TOKEN))
        self.store: ConfigStore

    async def start(self) -> None:
        """Start the processes and apply the configuration."""
        self.store = await self.fleet.start()
        applied = await self.store.apply(self.config, 0, 'matrix')
        if isinstance(applied, Failure):
            raise RuntimeError(applied.reason)
        await self.wait_ready()

    @abc.abstractmethod
    async def wait_ready(self) -> None:
        """Wait until the fleet is ready for the next cell."""


class ModelCellFleet(MatrixFleet):
    """A fleet with engines that runs model cells one after another."""

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
        """Wait until a request has completed through every entry."""
        with anyio.fail_after(READY_TIMEOUT_S):
            for name, entry in self.fleet.entries.items():
                await _wait_until_served(name, entry)

    async def run(self, cell: Cell, seed: int) -> CellResult:
        """Run a cell and its checks."""
        run = ModelCellRun(self, cell, random.Random(f'{seed}/{cell.name}'))
        return await run_timed(cell, run.run)


class ModelCellRun:
    """One run of a model cell."""

    def __init__(
        self,
        cell_fleet: ModelCellFleet,
        cell: Cell,
        rng: random.Random,
    ) -> None:
        self._cell: Final = cell
        self._cell_fleet: Final = cell_fleet
        self._fleet: Final = cell_fleet.fleet
        self._rng: Final = rng
        self._problems: Final[list[str]] = []
        self._targets: Final = FaultTargets(
            entry=rng.choice(sorted(cell_fleet.fleet.entries)),
            endpoint=rng.choice(sorted(cell_fleet.fleet.engines)),
        )
        self._injector: Final = Injector(
            cell_fleet.fleet,
            cell_fleet.store,
            cell_fleet.config,
            self._targets,
        )
        self._callers: Final = self._create_callers()

    async def run(self) -> list[str]:
        """Run the cell and return the problems that were found."""
        await self._injector.collect_executions()
        executed_before = set(self._injector.executed_requests)
        async with anyio.create_task_group() as tasks:
            await self._start_callers_and_inject(tasks)
            await anyio.sleep(FAULT_DURATION_S)
            for fault in self._cell.faults:
                await self._injector.heal(fault.name)
        if self._cell.step == 'apply':
            await self._injector.apply_base_config()
        await self._check_idle()
        await self._injector.collect_executions()
        self._check_results(self._injector.executed_requests - executed_before)
        await self._cell_fleet.wait_ready()
        return [problem for problem in self._problems if problem]

    async def _start_callers_and_inject(self, tasks: TaskGroup) -> None:
        """Start the callers and inject the faults when the step is reached."""
        if self._cell.step == 'offer':
            await self._inject()
        for caller in self._callers:
            tasks.start_soon(caller.run)
        if self._cell.step != 'offer':
            await self._wait_for_step()
            await self._inject()
        tasks.start_soon(self._run_step_action)

    def _create_callers(self) -> list[StreamingCaller]:
        entries = sorted(self._fleet.entries)
        callers: list[StreamingCaller] = []
        for number in range(CALLER_COUNT):
            name = entries[number % len(entries)]
            text = f'{self._rng.getrandbits(64):x}'
            if self._cell.step == 'accepted':
                text *= LONG_PROMPT_CHARS // len(text)
            callers.append(
                StreamingCaller(name, self._fleet.entries[name].url, text)
            )
        return callers

    async def _wait_for_step(self) -> None:
        if self._cell.step == 'accepted':
            await anyio.sleep(PREFILL_DELAY_S)
            return
        min_tokens = STREAMING_TOKENS
        if self._cell.step == 'ending':
            min_tokens = NEAR_END_TOKENS
        with anyio.move_on_after(STEP_TIMEOUT_S):
            while all(
                caller.result.token_count < min_tokens
                for caller in self._callers
            ):
                await anyio.sleep(POLL_INTERVAL_S / 10)

    async def _inject(self) -> None:
        for fault in self._cell.faults:
            await self._injector.inject(fault.name)

    async def _run_step_action(self) -> None:
        """Perform the action of a cancel, apply or drain step."""
        if self._cell.step == 'cancel':
            for caller in self._callers:
                caller.disconnect()
        elif self._cell.step == 'apply':
            await self._apply_and_wait()
        elif self._cell.step == 'drain':
            await self._drain_agent()

    async def _apply_and_wait(self) -> None:
        number = await self._injector.apply_base_config('step')
        # The bound holds from the end of the faults.
        with anyio.move_on_after(FAULT_DURATION_S + MAX_CONFIG_DELAY_S):
            while min(await self._read_generations()) < number:
                await anyio.sleep(POLL_INTERVAL_S)
            return
        self._problems.append(
            f'generation {number} was not loaded by all entries in time'
        )

    async def _read_generations(self) -> list[int]:
        generations: list[int] = []
        for entry in self._fleet.entries.values():
            client = HttpClient(entry.url)
            answer = await client.request('GET', '/healthz', timeout_s=1)
            await client.close()
            if isinstance(answer, Failure):
                generations.append(0)
            else:
                generations.append(
                    msgspec.json.decode(answer.body)['generation']
                )
        return generations

    async def _drain_agent(self) -> None:
        """Shut down an agent that is not a target of the faults."""
        others = sorted(set(self._fleet.agents) - {self._targets.endpoint})
        name = self._rng.choice(others)
        agent = self._fleet.agents[name]
        agent.signal(signal.SIGTERM)
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while agent.popen.poll() is None:
                await anyio.sleep(POLL_INTERVAL_S)
        if agent.popen.poll() != 0:
            self._problems.append(f'{name} exited with {agent.popen.poll()}')
            agent.kill()
        await self._fleet.start_agent(name, self._fleet.zone_of[name])

    async def _check_idle(self) -> None:
        deadline = time.monotonic() + IDLE_TIMEOUT_S
        for name, engine in self._fleet.engines.items():
            state = await fetch_json(engine, '/state')
            while state['memory_used_tokens'] and time.monotonic() < deadline:
                await anyio.sleep(POLL_INTERVAL_S)
                state = await fetch_json(engine, '/state')
            self._problems.append(checks.check_engine(name, state))
        history = await fetch_json(self._fleet.key_value, '/history')
        self._problems.append(checks.check_history(history))

    def _check_results(self, executed_requests: set[str]) -> None:
        faults = self._cell.faults
        is_entry_paused = any(fault.name == 'stop-entry' for fault in faults)
        answers = [caller.result for caller in self._callers]
        for answer in answers:
            is_target = answer.entry == self._targets.entry
            entry_killed = is_target and any(
                fault.kills_entry for fault in faults
            )
            self._problems.append(
                checks.check_answer(answer, entry_killed=entry_killed)
            )
            paused_s = FAULT_DURATION_S if is_entry_paused and is_target else 0
            self._problems.append(checks.check_time_budget(answer, paused_s))
        self._problems.append(checks.check_not_run(answers, executed_requests))
        self._problems.append(checks.check_served(answers, self._cell))
        self._problems.extend(self._injector.problems)


async def _wait_until_served(name: str, entry: Process) -> None:
    while True:
        caller = StreamingCaller(name, entry.url, 'ready')
        await caller.run()
        if caller.result.completed:
            return
        await anyio.sleep(POLL_INTERVAL_S)
