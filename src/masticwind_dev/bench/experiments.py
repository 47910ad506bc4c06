"""The experiments: each returns plain data that can be written as JSON."""

import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from masticwind_dev.bench.arena import Arena, RunningArena, running_arena
from masticwind_dev.bench.loadgen import LoadGenerator, Sample, Target
from masticwind_dev.bench.summary import (
    ClassSummary,
    goodput_tokens,
    percentiles,
    summarise,
)
from masticwind_dev.bench.workload import Mix, Planned, plan_arrivals
from masticwind_dev.faults.processes import fetch_json

VARIANTS: Final = ('predicted', 'least_outstanding', 'round_robin', 'random')
LOADS: Final = (0.5, 0.8, 1.2)
ZONE: Final = 'zone-b'
POLL_S: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What the experiments have in common."""

    arena: Arena = field(default_factory=Arena)
    mix: Mix = field(default_factory=Mix)
    duration_s: float = 40
    seed: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """One run of a workload."""

    variant: str
    load: float
    requests: int
    duration_s: float
    classes: dict[str, ClassSummary]
    goodput_tokens_per_s: float
    refusal_ms: Any
    cold_overruns: int
    held_tokens: int
    samples: list[Sample]


async def run_load(plan: Plan, variant: str, load: float) -> RunResult:
    """Serve the mix at `load` times the capacity with one way of routing."""
    workload = _workload(plan, load)
    return await run_workload(plan, variant, load, workload)


async def run_workload(
    plan: Plan,
    variant: str,
    load: float,
    workload: Sequence[Planned],
) -> RunResult:
    """Serve a given workload on a fresh fleet."""
    async with running_arena(_with_routing(plan, variant)) as running:
        samples = await _generate(running, plan, workload)
        return await _result(plan, variant, load, running, samples)


async def run_shorts_alone(plan: Plan, load: float) -> RunResult:
    """Serve only the short requests of the mix, at the same times."""
    shorts = [
        one for one in _workload(plan, load) if one.length_class == 'short'
    ]
    return await run_workload(plan, 'predicted', load, shorts)


async def run_free_load(plan: Plan, free_load: float) -> RunResult:
    """Serve paid work at half the capacity beside `free_load` of free work."""
    paid = plan_arrivals(
        replace(plan.mix, paid_share=1),
        plan.arena.rate_per_s(plan.mix, 0.5),
        plan.duration_s,
        plan.arena.prefill_tokens_per_s,
        plan.seed,
    )
    free = plan_arrivals(
        replace(plan.mix, paid_share=0),
        plan.arena.rate_per_s(plan.mix, free_load),
        plan.duration_s,
        plan.arena.prefill_tokens_per_s,
        plan.seed + 1,
    )
    shifted = [replace(one, number=one.number + 1_000_000) for one in free]
    workload = sorted([*paid, *shifted], key=lambda one: one.at_s)
    return await run_workload(plan, 'predicted', free_load, workload)


async def run_zone_event(plan: Plan, variant: str, load: float) -> RunResult:
    """Take a zone out after a third of the run and back after two thirds."""
    workload = _workload(plan, load)
    async with running_arena(_with_routing(plan, variant)) as running:
        async with anyio.create_task_group() as tasks:
            watch = ZoneWatch(running, plan.duration_s)
            tasks.start_soon(watch.run, tasks)
            samples = await _generate(running, plan, workload)
            tasks.cancel_scope.cancel()
        result = await _result(plan, variant, load, running, samples)
        return replace(
            result,
            variant=f'{variant}; last start {watch.last_start_s:.1f} s',
        )


class ZoneWatch:
    """Takes the zone out and back and watches for new work in it."""

    def __init__(self, running: RunningArena, duration_s: float) -> None:
        self._running: Final = running
        self._duration_s: Final = duration_s
        self.last_start_s = 0.0

    async def run(self, tasks: TaskGroup) -> None:
        """Make the changes at their times."""
        await anyio.sleep(self._duration_s / 3)
        await self._running.set_zone(ZONE, in_service=False)
        out_at = time.monotonic()
        tasks.start_soon(self._watch_starts, out_at)
        await anyio.sleep(self._duration_s / 3)
        await self._running.set_zone(ZONE, in_service=True)

    async def _watch_starts(self, out_at: float) -> None:
        fleet = self._running.fleet
        inside = [
            engine
            for name, engine in fleet.engines.items()
            if fleet.zone_of[name] == ZONE
        ]
        seen = -1
        while time.monotonic() < out_at + self._duration_s / 3 - 1:
            states = [await fetch_json(engine, '/state') for engine in inside]
            started = sum(len(state['executed']) for state in states)
            if started != seen:
                seen = started
                self.last_start_s = time.monotonic() - out_at
            await anyio.sleep(POLL_S)


def _workload(plan: Plan, load: float) -> list[Planned]:
    return plan_arrivals(
        plan.mix,
        plan.arena.rate_per_s(plan.mix, load),
        plan.duration_s,
        plan.arena.prefill_tokens_per_s,
        plan.seed,
    )


def _with_routing(plan: Plan, variant: str) -> Arena:
    entry = {**plan.arena.entry, 'routing': variant}
    return replace(plan.arena, entry=entry)


async def _generate(
    running: RunningArena,
    plan: Plan,
    workload: Sequence[Planned],
) -> list[Sample]:
    generator = LoadGenerator(Target(urls=running.urls, seed=plan.seed))
    return await generator.run(workload)


async def _result(
    plan: Plan,
    variant: str,
    load: float,
    running: RunningArena,
    samples: list[Sample],
) -> RunResult:
    await anyio.sleep(1)
    states = [
        await fetch_json(engine, '/state')
        for engine in running.fleet.engines.values()
    ]
    refusals = [one.total_ms for one in samples if one.run == 'not_run']
    return RunResult(
        variant=variant,
        load=load,
        requests=len(samples),
        duration_s=plan.duration_s,
        classes=summarise(samples),
        goodput_tokens_per_s=goodput_tokens(samples) / plan.duration_s,
        refusal_ms=asdict(percentiles(refusals)),
        cold_overruns=sum(one['offers_over_capacity'] for one in states),
        held_tokens=sum(one['memory_used_tokens'] for one in states),
        samples=samples,
    )
