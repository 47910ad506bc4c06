"""Summaries of samples: percentiles and service by length class and tier."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from masticwind_dev.bench.loadgen import Sample

MAX_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 3
US_PER_MS: Final = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Percentiles:
    """Percentiles in milliseconds; zero where nothing was measured."""

    count: int
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassSummary:
    """One length class and tier of a run."""

    requests: int
    served_share: float
    first_token_ms: Percentiles
    errors: dict[str, int] = field(default_factory=dict)


def percentiles(values_ms: Iterable[float]) -> Percentiles:
    """Return percentiles of values in milliseconds."""
    histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(1, int(value_ms * US_PER_MS)))
    return Percentiles(
        count=int(histogram.get_total_count()),
        p50=_at(histogram, 50),
        p95=_at(histogram, 95),
        p99=_at(histogram, 99),
    )


def _at(histogram: HdrHistogram, percent: float) -> float:
    if not histogram.get_total_count():
        return 0
    return float(histogram.get_value_at_percentile(percent)) / US_PER_MS


def summarise(samples: Sequence[Sample]) -> dict[str, ClassSummary]:
    """Return summaries by `tier/class`, and `tier/all` for each tier."""
    summaries: dict[str, ClassSummary] = {}
    for tier in ('paid', 'free'):
        of_tier = [one for one in samples if one.tier == tier]
        for name in ('short', 'medium', 'long'):
            chosen = [one for one in of_tier if one.length_class == name]
            summaries[f'{tier}/{name}'] = _summary(chosen)
        summaries[f'{tier}/all'] = _summary(of_tier)
    return summaries


def goodput_tokens(samples: Sequence[Sample]) -> int:
    """Return the prompt tokens of all served requests."""
    return sum(one.tokens for one in samples if one.served)


def share(
    samples: Sequence[Sample],
    wanted: Callable[[Sample], bool],
) -> float:
    """Return the share of samples that `wanted` accepts; one if none."""
    if not samples:
        return 1
    return sum(1 for one in samples if wanted(one)) / len(samples)


def _summary(samples: Sequence[Sample]) -> ClassSummary:
    return ClassSummary(
        requests=len(samples),
        served_share=share(samples, lambda one: one.served),
        first_token_ms=percentiles(
            one.first_token_ms for one in samples if one.first_token_ms
        ),
        errors=dict(
            Counter(one.kind or 'late' for one in samples if not one.served)
        ),
    )
