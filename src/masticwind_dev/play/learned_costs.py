"""Compares learned costs with static ones, with the same requests.

    python -m masticwind_dev.play.learned_costs --seeds 8

The output lengths and the speeds of the engines differ from what is predicted.
Several entries place on their own, and short prompts are 2.4 times as frequent
for a while. Prints, for each load, the earned share of the maximum value, the
share in time, and the refusals, with learned costs off and on.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final

import cyclopts
from loguru import logger

from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind_dev.play.simulation import (
    ENGINE_PROFILE,
    EQUAL_RATE_FACTORS,
    ClassResult,
    Workload,
    simulate,
)

# Engines of the deployments to come.
PROFILE: Final = replace(ENGINE_PROFILE, slots=6, steps_per_iteration=52)
# Measured on four days: 5% of the jobs took 0.5 times as long as predicted,
# 95% took 2.1 times as long.
SIGMA: Final = 0.45
SHORT_BURST_FACTORS: Final = MappingProxyType(
    {'short': 2.4, 'medium': 1.0, 'long': 1.0}
)
BASE_WORKLOAD: Final = Workload(
    phases=(EQUAL_RATE_FACTORS, SHORT_BURST_FACTORS, EQUAL_RATE_FACTORS),
    profile=PROFILE,
    entry_count=8,
    update_delay_s=0.01,
    estimate_sigma=SIGMA,
    engine_speed_sigma=SIGMA,
)
# All engines, and half of them; the rates are those of 14 engines.
LOADS: Final[Mapping[str, Workload]] = MappingProxyType(
    {
        '14 engines': BASE_WORKLOAD,
        '14 engines, speeds as predicted': replace(
            BASE_WORKLOAD, engine_speed_sigma=0
        ),
        '7 engines': replace(BASE_WORKLOAD, engine_count=7),
        '7 engines, 70% of the rates': replace(
            BASE_WORKLOAD, engine_count=7, load_factor=0.7
        ),
    }
)

cli = cyclopts.App(
    name='learned-costs', help='Compare learned costs with static ones.'
)


@dataclass(frozen=True, slots=True)
class Totals:
    """Totals of several runs over all classes of requests."""

    earned_share: float
    on_target_share: float
    refusals: int
    unserved: int


def run_load(name: str, *, learned: bool, seeds: int) -> Totals:
    """Simulate a load with several seeds."""
    workload = replace(LOADS[name], learned_costs=learned)
    class_results: list[ClassResult] = []
    for seed in range(seeds):
        class_results.extend(simulate(PromptPlacer, workload, seed).values())
    return Totals(
        sum(result.earned_value for result in class_results)
        / sum(result.max_value for result in class_results),
        sum(result.on_target for result in class_results)
        / sum(result.requests for result in class_results),
        sum(result.refusals for result in class_results),
        sum(result.unserved for result in class_results),
    )


@cli.default
def main(*, seeds: int = 8) -> None:
    """Simulate SEEDS runs of each load with learned costs off and on."""
    logger.remove()
    print('| load | learned costs | earned | in time | refusals | unserved |')
    print('|---|---|---|---|---|---|')
    for name in LOADS:
        for learned in (False, True):
            totals = run_load(name, learned=learned, seeds=seeds)
            print(
                f'| {name} | {"on" if learned else "off"}'
                f' | {totals.earned_share:.4f} | {totals.on_target_share:.4f}'
                f' | {totals.refusals} | {totals.unserved} |',
                flush=True,
            )


if __name__ == '__main__':
    cli()
