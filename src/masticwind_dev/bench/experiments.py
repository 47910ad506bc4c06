"""The experiments; each returns a result that can be encoded as JSON."""

import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from masticwind_dev.bench.experiment_fleet import (
    FleetSpec,
    RunningFleet,
    run_fleet,
)
from masticwind_dev.bench.load_generator import (
    LoadGenerator,
    LoadTarget,
    Sample,
)
from masticwind_dev.bench.summary import (
    ClassSummary,
    goodput_tokens,
    percentiles,
    summarise_by_class,
)
from masticwind_dev.bench.workload import (
    PlannedRequest,
    WorkloadMix,
    plan_arrivals,
)
from masticwind_dev.faults.processes import fetch_json

ROUTING_VARIANTS: Final = (
    'predicted',
    'least_outstanding',
    'round_robin',
    'random',
)
LOAD_FACTORS: Final = (0.5, 0.8, 1.2)
ZONE: Final = 'zone-b'
POLL_INTERVAL_S: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class ExperimentPlan:
    """Fleet, workload mix, duration and seed of an experiment."""

    fleet_spec: FleetSpec = field(default_factory=FleetSpec)
    mix: WorkloadMix = field(default_factory=WorkloadMix)
    duration_s: float = 40
    seed: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """Result of one run of a workload.

    `cold_overruns` counts offers to cold engines beyond their capacity, and
    `held_tokens` is the engine memory still in use after the run.
    """

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


async def run_load(
    plan: ExperimentPlan, variant: str, load: float
) -> RunResult:
    """Serve the mix at `load` times the capacity with a routing variant."""
    workload = _plan_workload(plan, load)
    return await run_workload(plan, variant, load, workload)


async def run_workload(
    plan: ExperimentPlan,
    variant: str,
    load: float,
    workload: Sequence[PlannedRequest],
) -> RunResult:
    """Serve a given workload on a new fleet."""
    async with run_fleet(_with_routing(plan, variant)) as running:
        samples = await _send_workload(running, plan, workload)
        return await _build_result(plan, variant, load, running, samples)


async def run_short_requests_alone(
    plan: ExperimentPlan, load: float
) -> RunResult:
    """Serve only the short requests of the mix, at the same times."""
    short_requests = [
        request
        for request in _plan_workload(plan, load)
        if request.length_class == 'short'
    ]
    return await run_workload(plan, 'predicted', load, short_requests)


async def run_free_load(plan: ExperimentPlan, free_load: float) -> RunResult:
    """Serve paid load at half the capacity beside free load.

    The free load is `free_load` times the whole capacity.
    """
    paid = plan_arrivals(
        replace(plan.mix, paid_share=1),
        plan.fleet_spec.rate_per_s(plan.mix, 0.5),
        plan.duration_s,
        plan.fleet_spec.prefill_tokens_per_s,
        plan.seed,
    )
    free = plan_arrivals(
        replace(plan.mix, paid_share=0),
        plan.fleet_spec.rate_per_s(plan.mix, free_load),
        plan.duration_s,
        plan.fleet_spec.prefill_tokens_per_s,
        plan.seed + 1,
    )
    renumbered = [
        replace(request, number=request.number + 1_000_000) for request in free
    ]
    workload = sorted([*paid, *renumbered], key=lambda request: request.at_s)
    return await run_workload(plan, 'predicted', free_load, workload)


async def run_zone_outage(
    plan: ExperimentPlan, variant: str, load: float
) -> RunResult:
    """Take a zone out of service for the middle third of the run."""
    workload = _plan_workload(plan, load)
    async with run_fleet(_with_routing(plan, variant)) as running:
        async with anyio.create_task_group() as tasks:
            outage = ZoneOutage(running, plan.duration_s)
            tasks.start_soon(outage.run, tasks)
            samples = await _send_workload(running, plan, workload)
            tasks.cancel_scope.cancel()
        result = await _build_result(plan, variant, load, running, samples)
        return replace(
            result,
            variant=f'{variant}; last start {outage.last_start_s:.1f} s',
        )


class ZoneOutage:
    """Takes a zone out of service and back, and watches its engines.

    `last_start_s` is the time from the outage to the last execution that
    was seen to start in the zone during it.
    """

    def __init__(self, running: RunningFleet, duration_s: float) -> None:
        self._running: Final = running
        self._duration_s: Final = duration_s
        self.last_start_s = 0.0

    async def run(self, tasks: TaskGroup) -> None:
        """Take the zone out after a third of the run, back after two thirds."""
        await anyio.sleep(self._duration_s / 3)
        await self._running.set_zone(ZONE, in_service=False)
        out_at = time.monotonic()
        tasks.start_soon(self._record_last_start, out_at)
        await anyio.sleep(self._duration_s / 3)
        await self._running.set_zone(ZONE, in_service=True)

    async def _record_last_start(self, out_at: float) -> None:
        fleet = self._running.fleet
        zone_engines = [
            engine
            for name, engine in fleet.engines.items()
            if fleet.zone_of[name] == ZONE
        ]
        last_started = -1
        while time.monotonic() < out_at + self._duration_s / 3 - 1:
            states = [
                await fetch_json(engine, '/state') for engine in zone_engines
            ]
            started = sum(len(state['executed']) for state in states)
            if started != last_started:
                last_started = started
                self.last_start_s = time.monotonic() - out_at
            await anyio.sleep(POLL_INTERVAL_S)


def _plan_workload(plan: ExperimentPlan, load: float) -> list[PlannedRequest]:
    return plan_arrivals(
        plan.mix,
        plan.fleet_spec.rate_per_s(plan.mix, load),
        plan.duration_s,
        plan.fleet_spec.prefill_tokens_per_s,
        plan.seed,
    )


def _with_routing(plan: ExperimentPlan, variant: str) -> FleetSpec:
    entry_settings = {**plan.fleet_spec.entry_settings, 'routing': variant}
    return replace(plan.fleet_spec, entry_settings=entry_settings)


async def _send_workload(
    running: RunningFleet,
    plan: ExperimentPlan,
    workload: Sequence[PlannedRequest],
) -> list[Sample]:
    generator = LoadGenerator(LoadTarget(urls=running.urls, seed=plan.seed))
    return await generator.run(workload)


async def _build_result(
    plan: ExperimentPlan,
    variant: str,
    load: float,
    running: RunningFleet,
    samples: list[Sample],
) -> RunResult:
    await anyio.sleep(1)
    states = [
        await fetch_json(engine, '/state')
        for engine in running.fleet.engines.values()
    ]
    refusals = [
        sample.total_ms for sample in samples if sample.run == 'not_run'
    ]
    return RunResult(
        variant=variant,
        load=load,
        requests=len(samples),
        duration_s=plan.duration_s,
        classes=summarise_by_class(samples),
        goodput_tokens_per_s=goodput_tokens(samples) / plan.duration_s,
        refusal_ms=asdict(percentiles(refusals)),
        cold_overruns=sum(state['offers_over_capacity'] for state in states),
        held_tokens=sum(state['memory_used_tokens'] for state in states),
        samples=samples,
    )
