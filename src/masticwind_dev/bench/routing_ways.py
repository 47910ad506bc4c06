"""Compares routing policies and policies for prompt lengths.

    python -m masticwind_dev.bench.routing_ways

Each policy serves the same arrivals on a new fleet of stand-ins.
"""

from typing import Final

import anyio
import cyclopts

from masticwind_dev.bench.experiment_fleet import FleetSpec
from masticwind_dev.bench.experiments import ExperimentPlan, run_load
from masticwind_dev.bench.summary import ClassSummary

POLICY_VARIANTS: Final = (
    ('least work', 'predicted', 'least_work'),
    ('size interval', 'predicted', 'size_interval'),
    ('size preference', 'predicted', 'size_preference'),
    ('dynamic partition', 'predicted', 'dynamic_partition'),
    ('round robin', 'round_robin', 'least_work'),
    ('random', 'random', 'least_work'),
    ('least outstanding', 'least_outstanding', 'least_work'),
)

cli = cyclopts.App(name='routing-ways', help='Compare routing policies.')


@cli.default
def compare(
    load: float = 0.8,
    *,
    duration: float = 20,
    seeds: tuple[int, ...] = (1,),
    engines: int = 6,
    entries: int = 1,
    only: tuple[str, ...] = (),
) -> None:
    """Serve the mix at LOAD times the capacity, by seed and policy."""
    for seed in seeds:
        for name, routing, length_policy in POLICY_VARIANTS:
            if only and name not in only:
                continue
            fleet_spec = FleetSpec(
                engines=engines,
                services=0,
                entries=entries,
                entry_settings={'length_policy': length_policy},
            )
            plan = ExperimentPlan(
                fleet_spec=fleet_spec, duration_s=duration, seed=seed
            )
            result = anyio.run(run_load, plan, routing, load)
            print(
                f'{name}, seed {seed}: goodput '
                f'{result.goodput_tokens_per_s:,.0f} tokens/s, '
                f'refusals p99 {result.refusal_ms["p99"]:.0f} ms'
            )
            for class_name, summary in result.classes.items():
                _print_class(class_name, summary)


def _print_class(class_name: str, summary: ClassSummary) -> None:
    first_token = summary.first_token_ms
    print(
        f'  {class_name:12} n={summary.requests:4} '
        f'served={summary.served_share:.3f} '
        f'ttft p50={first_token.p50:.0f} p95={first_token.p95:.0f} ms '
        f'errors={summary.errors}',
        flush=True,
    )


if __name__ == '__main__':
    cli()
