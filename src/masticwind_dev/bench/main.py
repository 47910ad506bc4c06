"""Command line of `masticwind-bench`."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final, Literal

import anyio
import cyclopts
import msgspec

from masticwind import __version__
from masticwind_dev.bench.experiments import (
    LOAD_FACTORS,
    ROUTING_VARIANTS,
    ExperimentPlan,
    RunResult,
    run_free_load,
    run_load,
    run_short_requests_alone,
    run_zone_outage,
)
from masticwind_dev.bench.overhead import measure_overhead
from masticwind_dev.bench.slopes import DEFAULT_PLAN, SHORT_PLAN, run_slopes

FREE_LOAD_FACTORS: Final = (0.0, 1.0, 3.0)
DEFAULT_FOLDER: Final = Path('results')
FIGURES_FOLDER: Final = Path('docs/figures')

Folder = Annotated[Path, cyclopts.Parameter(help='folder for JSON results')]


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class RunOptions:
    """Options of the commands that serve a workload."""

    duration: Annotated[
        float,
        cyclopts.Parameter(help='seconds of arrivals'),
    ] = 40
    seed: Annotated[int, cyclopts.Parameter(help='seed of the workload')] = 1
    folder: Folder = DEFAULT_FOLDER


DEFAULT_OPTIONS: Final = RunOptions()

cli = cyclopts.App(
    name='masticwind-bench',
    help='Run load experiments against a fleet of stand-ins.',
    version=__version__,
)


@cli.command
def load(
    variant: str = 'predicted',
    factor: float = 0.8,
    *,
    options: RunOptions = DEFAULT_OPTIONS,
) -> None:
    """Serve the mix at FACTOR times the capacity."""
    _run_experiment(
        options, f'load-{variant}-{factor}', run_load, variant, factor
    )


@cli.command
def zones(
    variant: str = 'predicted',
    factor: float = 0.5,
    *,
    options: RunOptions = DEFAULT_OPTIONS,
) -> None:
    """Take a zone out of service and back while the mix is served."""
    _run_experiment(
        options, f'zones-{variant}-{factor}', run_zone_outage, variant, factor
    )


@cli.command
def shorts(
    factor: float = 0.8,
    *,
    options: RunOptions = DEFAULT_OPTIONS,
) -> None:
    """Serve only the short requests of the mix."""
    _run_experiment(
        options, f'shorts-{factor}', run_short_requests_alone, factor
    )


@cli.command
def free(
    factor: float = 1.0,
    *,
    options: RunOptions = DEFAULT_OPTIONS,
) -> None:
    """Serve paid load at half, free load at FACTOR times the capacity."""
    _run_experiment(options, f'free-{factor}', run_free_load, factor)


@cli.command
def overhead(*, folder: Folder = DEFAULT_FOLDER) -> None:
    """Measure latency, throughput and memory of one entry."""
    folder.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(
        msgspec.json.encode(anyio.run(measure_overhead)),
    )
    (folder / 'overhead.json').write_bytes(text)
    print(text.decode())


@cli.command
def slopes(
    part: Literal[
        '',
        'entry',
        'agent',
        'relay',
        'config',
        'listing',
        'orders',
        'spread',
    ] = '',
    *,
    short: bool = False,
    folder: Folder = DEFAULT_FOLDER,
) -> None:
    """Measure costs per peer, team and order; PART runs one part alone."""
    plan = SHORT_PLAN if short else DEFAULT_PLAN
    print(run_slopes(plan, folder, part).read_text())


@cli.command
def report(
    *,
    folder: Folder = DEFAULT_FOLDER,
    target: Annotated[
        Path,
        cyclopts.Parameter(help='folder for plots and tables'),
    ] = FIGURES_FOLDER,
) -> None:
    """Write plots and tables from the results in a folder."""
    # Imported here because the import of matplotlib takes a second.
    from masticwind_dev.bench.report import write_report

    print(write_report(folder, target))


@cli.default
def suite(*, options: RunOptions = DEFAULT_OPTIONS) -> None:
    """Run every experiment with the same seed."""
    for variant in ROUTING_VARIANTS:
        for factor in LOAD_FACTORS:
            load(variant, factor, options=options)
        zones(variant, options=options)
    shorts(options=options)
    for factor in FREE_LOAD_FACTORS:
        free(factor, options=options)


def _run_experiment(
    options: RunOptions,
    name: str,
    experiment: Callable[..., Awaitable[RunResult]],
    *arguments: object,
) -> None:
    plan = ExperimentPlan(duration_s=options.duration, seed=options.seed)
    _write_result(options.folder, name, anyio.run(experiment, plan, *arguments))


def _write_result(folder: Path, name: str, result: RunResult) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f'{name}.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    print(
        f'{path}: {result.requests} requests, goodput '
        f'{result.goodput_tokens_per_s:,.0f} tokens/s, '
        f'cold overruns {result.cold_overruns}, '
        f'held {result.held_tokens}, refusals {result.refusal_ms}'
    )
    for class_name, summary in result.classes.items():
        first_token = summary.first_token_ms
        print(
            f'  {class_name:12} n={summary.requests:5} '
            f'served={summary.served_share:.4f} '
            f'ttft p50={first_token.p50:.0f} p95={first_token.p95:.0f} '
            f'p99={first_token.p99:.0f} ms errors={summary.errors}'
        )


def main() -> None:
    """Run the program."""
    cli()


if __name__ == '__main__':
    main()
