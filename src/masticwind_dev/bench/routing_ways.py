"""Compares ways of routing and of keeping lengths apart, in one run.

    python -m masticwind_dev.bench.routing_ways

Every way serves the same arrivals on a fresh fleet of stand-ins.
"""

from typing import Final

import anyio
import cyclopts

from masticwind_dev.bench.arena import Arena
from masticwind_dev.bench.experiments import Plan, run_load
from masticwind_dev.bench.summary import ClassSummary

WAYS: Final = (
    ('least work', 'predicted', 'least_work'),
    ('size interval', 'predicted', 'size_interval'),
    ('size preference', 'predicted', 'size_preference'),
    ('dynamic partition', 'predicted', 'dynamic_partition'),
    ('round robin', 'round_robin', 'least_work'),
    ('random', 'random', 'least_work'),
    ('least outstanding', 'least_outstanding', 'least_work'),
)

cli = cyclopts.App(name='routing-ways', help='Compare ways of routing.')


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
    """Serve the mix at LOAD times the capacity in every way, by seed."""
    for seed in seeds:
        for name, routing, lengths in WAYS:
            if only and name not in only:
                continue
            arena = Arena(
                engines=engines,
                services=0,
                entries=entries,
                entry={'length_policy': lengths},
            )
            plan = Plan(arena=arena, duration_s=duration, seed=seed)
            result = anyio.run(run_load, plan, routing, load)
            print(
                f'{name}, seed {seed}: goodput '
                f'{result.goodput_tokens_per_s:,.0f} tokens/s, '
                f'refusals p99 {result.refusal_ms["p99"]:.0f} ms'
            )
            for key, one in result.classes.items():
                _print_class(key, one)


def _print_class(key: str, one: ClassSummary) -> None:
    first = one.first_token_ms
    print(
        f'  {key:12} n={one.requests:4} served={one.served_share:.3f} '
        f'ttft p50={first.p50:.0f} p95={first.p95:.0f} ms '
        f'errors={one.errors}',
        flush=True,
    )


if __name__ == '__main__':
    cli()
