"""Writes plots (PNG) and tables (Markdown) from JSON result files."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec
from matplotlib import pyplot as plt

from masticwind_dev.bench.load_generator import Sample
from masticwind_dev.bench.summary import ClassSummary, percentiles

ROUTING_VARIANTS: Final = (
    'predicted',
    'least_outstanding',
    'round_robin',
    'random',
)
LENGTH_BUCKET_EDGES: Final = (
    1_000, 2_000, 4_000, 10_000, 30_000, 100_000, 300_000, 1_000_001,
)  # fmt: skip
TIME_SLOT_S: Final = 2.0
PERCENT: Final = 95


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRun:
    """A `RunResult` as read from a result file."""

    variant: str
    load: float
    requests: int
    duration_s: float
    classes: dict[str, ClassSummary]
    goodput_tokens_per_s: float
    refusal_ms: dict[str, float]
    cold_overruns: int
    held_tokens: int
    samples: list[Sample]


def write_report(folder: Path, target: Path) -> Path:
    """Write plots and `tables.md` into `target`; return the table's path."""
    runs = {
        path.stem: msgspec.json.decode(path.read_bytes(), type=StoredRun)
        for path in sorted(folder.glob('*.json'))
        if _is_run_file(path)
    }
    target.mkdir(parents=True, exist_ok=True)
    plt.switch_backend('Agg')
    _plot_lengths(runs, target / 'first-token-by-length.png')
    _plot_zone_outage(runs, target / 'service-around-zone-event.png')
    _plot_short_requests(runs, target / 'shorts-beside-longs.png')
    table = target / 'tables.md'
    table.write_text(_format_tables(runs))
    return table


def _is_run_file(path: Path) -> bool:
    return path.stem.startswith(('load-', 'zones-', 'shorts-', 'free-'))


def _plot_lengths(runs: dict[str, StoredRun], path: Path) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    for variant in ROUTING_VARIANTS:
        run = runs.get(f'load-{variant}-0.8')
        if run is None:
            continue
        xs, ys = _p95_by_length(run.samples)
        axes.plot(xs, ys, marker='o', label=variant)
    axes.set(
        xscale='log',
        yscale='log',
        xlabel='prompt tokens',
        ylabel='p95 time to first token, ms',
        title='Paid requests at 80% of capacity',
    )
    _save_figure(figure, axes, path)


def _p95_by_length(samples: Sequence[Sample]) -> tuple[list[int], list[float]]:
    xs: list[int] = []
    ys: list[float] = []
    for low, high in itertools.pairwise(LENGTH_BUCKET_EDGES):
        times = [
            sample.first_token_ms
            for sample in samples
            if sample.tier == 'paid'
            and low <= sample.tokens < high
            and sample.first_token_ms
        ]
        if times:
            xs.append(round((low * high) ** 0.5))
            ys.append(percentiles(times).p95)
    return xs, ys


def _plot_zone_outage(runs: dict[str, StoredRun], path: Path) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    for name, run in runs.items():
        if not name.startswith('zones-'):
            continue
        slots: dict[int, list[bool]] = {}
        for sample in run.samples:
            if sample.tier == 'paid':
                slots.setdefault(int(sample.at_s / TIME_SLOT_S), []).append(
                    sample.served
                )
        xs = sorted(slots)
        axes.plot(
            [slot * TIME_SLOT_S for slot in xs],
            [sum(slots[slot]) / len(slots[slot]) for slot in xs],
            label=run.variant.split(';')[0],
        )
        for third in (1, 2):
            axes.axvline(run.duration_s * third / 3, color='grey', linewidth=1)
    axes.set(
        xlabel='seconds; the zone is out of service between the grey lines',
        ylabel='share of paid requests served within their timeout',
        title='An availability zone is taken out of service and back',
    )
    _save_figure(figure, axes, path)


def _plot_short_requests(runs: dict[str, StoredRun], path: Path) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    shown = {
        'alone': 'shorts-0.8',
        'beside long requests': 'load-predicted-0.8',
    }
    for label, name in shown.items():
        run = runs.get(name)
        if run is None:
            continue
        times = sorted(
            sample.first_token_ms
            for sample in run.samples
            if sample.length_class == 'short'
            and sample.tier == 'paid'
            and sample.first_token_ms
        )
        shares = [(rank + 1) / len(times) for rank in range(len(times))]
        axes.plot(times, shares, label=label)
    axes.set(
        xscale='log',
        xlabel='time to first token, ms',
        ylabel='share of paid short requests',
        title='Short requests alone and beside long ones',
    )
    _save_figure(figure, axes, path)


def _save_figure(figure: Any, axes: Any, path: Path) -> None:
    if axes.get_legend_handles_labels()[0]:
        axes.legend()
    axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _format_tables(runs: dict[str, StoredRun]) -> str:
    lines = [
        '| run | class | requests | served '
        '| TTFT p50 | p95 | p99 ms | not served |',
        '|---|---|---|---|---|---|---|---|',
    ]
    for name, run in runs.items():
        for class_name, summary in run.classes.items():
            if not summary.requests:
                continue
            first_token = summary.first_token_ms
            errors = ', '.join(
                f'{kind} {count}' for kind, count in summary.errors.items()
            )
            lines.append(
                f'| {name} | {class_name} | {summary.requests} '
                f'| {summary.served_share:.2%} | {first_token.p50:.0f} '
                f'| {first_token.p95:.0f} | {first_token.p99:.0f} | {errors} |',
            )
    lines.extend(
        [
            '',
            '| run | goodput, tokens/s | refusals | refusal p95 ms '
            '| cold overruns | held tokens |',
            '|---|---|---|---|---|---|',
        ]
    )
    for name, run in runs.items():
        lines.append(
            f'| {name} | {run.goodput_tokens_per_s:,.0f} '
            f'| {run.refusal_ms["count"]:.0f} '
            f'| {run.refusal_ms["p95"]:.0f} '
            f'| {run.cold_overruns} | {run.held_tokens} |',
        )
    return '\n'.join([*lines, ''])
