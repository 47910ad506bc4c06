"""Command line of the simulation.

    python -m masticwind_dev.play.main --seeds 6

Prints, for each placer and number of engines, the earned share of the maximum
value and the share of each class that meets its targets.
"""

import random
from typing import Final

import cyclopts

from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind_dev.play.baselines import least_outstanding, round_robin
from masticwind_dev.play.simulation import (
    REQUEST_CLASSES,
    ClassResult,
    PlacerFactory,
    Workload,
    simulate,
)

PLACERS: Final[tuple[PlacerFactory, ...]] = (
    PromptPlacer,
    least_outstanding,
    round_robin,
)
# All engines of the workload; without one zone; half of them; without one zone
# and without engines that drain.
ENGINE_COUNTS: Final = (14, 10, 7, 4)

cli = cyclopts.App(
    name='play', help="Simulate the users' load without a network."
)


@cli.default
def main(*, seeds: int = 6) -> None:
    """Simulate SEEDS runs for each placer and number of engines."""
    for engine_count in ENGINE_COUNTS:
        for make_placer in PLACERS:
            runs = [
                simulate(make_placer, Workload(engine_count=engine_count), seed)
                for seed in range(seeds)
            ]
            print(
                f'{engine_count} engines, {_placer_name(make_placer)}: '
                f'{_format_results(runs)}'
            )


def _placer_name(make_placer: PlacerFactory) -> str:
    return type(make_placer(random.Random())).__name__


def _format_results(runs: list[dict[str, ClassResult]]) -> str:
    max_value = sum(result.max_value for run in runs for result in run.values())
    earned_value = sum(
        result.earned_value for run in runs for result in run.values()
    )
    shares = [f'value share {earned_value / max_value:.3f}']
    for name in REQUEST_CLASSES:
        requests = sum(run[name].requests for run in runs)
        on_target = sum(run[name].on_target for run in runs)
        shares.append(f'{name} {on_target / requests:.2f}')
    return ', '.join(shares)


if __name__ == '__main__':
    cli()
