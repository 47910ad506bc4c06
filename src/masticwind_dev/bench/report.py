"""Plots and tables from result files; reads JSON, writes PNG and Markdown."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec
from matplotlib import pyplot as plt

from masticwind_dev.bench.loadgen import Sample
from masticwind_dev.bench.summary import ClassSummary, percentiles

VARIANTS: Final = ('predicted', 'least_outstanding', 'round_robin', 'random')
LENGTH_EDGES: Final = (
    1_000, 2_000, 4_000, 10_000, 30_000, 100_000, 300_000, 1_000_001,
)  # fmt: skip
SLOT_S: Final = 2.0
PERCENT: Final = 95


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRun:
    """The parts of a stored run that the report needs."""

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
        if _is_run(path)
    }
    target.mkdir(parents=True, exist_ok=True)
    plt.switch_backend('Agg')
    _plot_lengths(runs, target / 'first-token-by-length.png')
    _plot_zone(runs, target / 'service-around-zone-event.png')
    _plot_shorts(runs, target / 'shorts-beside-longs.png')
    table = target / 'tables.md'
    table.write_text(_tables(runs))
    return table


def _is_run(path: Path) -> bool:
    return path.stem.startswith(('load-', 'zones-', 'shorts-', 'free-'))


def _plot_lengths(runs: dict[str, StoredRun], path: Path) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    for variant in VARIANTS:
        run = runs.get(f'load-{variant}-0.8')
        if run is None:
            continue
        xs, ys = _by_length(run.samples)
        axes.plot(xs, ys, marker='o', label=variant)
    axes.set(
        xscale='log',
        yscale='log',
        xlabel='prompt tokens',
        ylabel='p95 time to first token, ms',
        title='Paid requests at 80% of capacity',
    )
    _save(figure, axes, path)


def _by_length(samples: Sequence[Sample]) -> tuple[list[int], list[float]]:
    xs: list[int] = []
    ys: list[float] = []
    for low, high in itertools.pairwise(LENGTH_EDGES):
        times = [
            one.first_token_ms
            for one in samples
            if one.tier == 'paid'
            and low <= one.tokens < high
            and one.first_token_ms
        ]
        if times:
            xs.append(round((low * high) ** 0.5))
            ys.append(percentiles(times).p95)
    return xs, ys


def _plot_zone(runs: dict[str, StoredRun], path: Path) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    for name, run in runs.items():
        if not name.startswith('zones-'):
            continue
        slots: dict[int, list[bool]] = {}
        for one in run.samples:
            if one.tier == 'paid':
                slots.setdefault(int(one.at_s / SLOT_S), []).append(one.served)
        xs = sorted(slots)
        axes.plot(
            [slot * SLOT_S for slot in xs],
            [sum(slots[slot]) / len(slots[slot]) for slot in xs],
            label=run.variant.split(';')[0],
        )
        for part in (1, 2):
            axes.axvline(run.duration_s * part / 3, color='grey', linewidth=1)
    axes.set(
        xlabel='seconds; the zone leaves and returns at the grey lines',
        ylabel='paid requests served within their time budget',
        title='An availability zone leaves and returns',
    )
    _save(figure, axes, path)


def _plot_shorts(runs: dict[str, StoredRun], path: Path) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    shown = {'alone': 'shorts-0.8', 'beside longs': 'load-predicted-0.8'}
    for label, name in shown.items():
        run = runs.get(name)
        if run is None:
            continue
        times = sorted(
            one.first_token_ms
            for one in run.samples
            if one.length_class == 'short'
            and one.tier == 'paid'
            and one.first_token_ms
        )
        shares = [(rank + 1) / len(times) for rank in range(len(times))]
        axes.plot(times, shares, label=label)
    axes.set(
        xscale='log',
        xlabel='time to first token, ms',
        ylabel='share of paid short requests',
        title='Short requests alone and beside long ones',
    )
    _save(figure, axes, path)


def _save(figure: Any, axes: Any, path: Path) -> None:
    if axes.get_legend_handles_labels()[0]:
        axes.legend()
    axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _tables(runs: dict[str, StoredRun]) -> str:
    lines = [
        '| run | class | requests | served '
        '| TTFT p50 | p95 | p99 ms | not served |',
        '|---|---|---|---|---|---|---|---|',
    ]
    for name, run in runs.items():
        for key, one in run.classes.items():
            if not one.requests:
                continue
            first = one.first_token_ms
            errors = ', '.join(
                f'{kind} {count}' for kind, count in one.errors.items()
            )
            lines.append(
                f'| {name} | {key} | {one.requests} '
                f'| {one.served_share:.2%} | {first.p50:.0f} '
                f'| {first.p95:.0f} | {first.p99:.0f} | {errors} |',
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
