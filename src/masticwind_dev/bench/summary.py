"""Summaries of samples: percentiles, and results by length class and tier."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from masticwind_dev.bench.load_generator import Sample

MAX_LATENCY_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 3
US_PER_MS: Final = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Percentiles:
    """Percentiles in milliseconds; zero if there are no values."""

    count: int
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassSummary:
    """Results of one length class and tier of a run."""

    requests: int
    served_share: float
    first_token_ms: Percentiles
    errors: dict[str, int] = field(default_factory=dict)


def percentiles(values_ms: Iterable[float]) -> Percentiles:
    """Return percentiles of values in milliseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(1, int(value_ms * US_PER_MS)))
    return Percentiles(
        count=int(histogram.get_total_count()),
        p50=_percentile_ms(histogram, 50),
        p95=_percentile_ms(histogram, 95),
        p99=_percentile_ms(histogram, 99),
    )


def _percentile_ms(histogram: HdrHistogram, percent: float) -> float:
    if not histogram.get_total_count():
        return 0
    return float(histogram.get_value_at_percentile(percent)) / US_PER_MS


def summarise_by_class(samples: Sequence[Sample]) -> dict[str, ClassSummary]:
    """Return summaries with the keys `tier/class` and `tier/all`."""
    summaries: dict[str, ClassSummary] = {}
    for tier in ('paid', 'free'):
        tier_samples = [sample for sample in samples if sample.tier == tier]
        for name in ('short', 'medium', 'long'):
            class_samples = [
                sample for sample in tier_samples if sample.length_class == name
            ]
            summaries[f'{tier}/{name}'] = _summarise_class(class_samples)
        summaries[f'{tier}/all'] = _summarise_class(tier_samples)
    return summaries


def goodput_tokens(samples: Sequence[Sample]) -> int:
    """Return the prompt tokens of all served requests."""
    return sum(sample.tokens for sample in samples if sample.served)


def share(
    samples: Sequence[Sample],
    predicate: Callable[[Sample], bool],
) -> float:
    """Return the share of samples that satisfy `predicate`; 1 if none."""
    if not samples:
        return 1
    return sum(1 for sample in samples if predicate(sample)) / len(samples)


def _summarise_class(samples: Sequence[Sample]) -> ClassSummary:
    return ClassSummary(
        requests=len(samples),
        served_share=share(samples, lambda sample: sample.served),
        first_token_ms=percentiles(
            sample.first_token_ms for sample in samples if sample.first_token_ms
        ),
        errors=dict(
            Counter(
                sample.kind or 'late' for sample in samples if not sample.served
            )
        ),
    )
