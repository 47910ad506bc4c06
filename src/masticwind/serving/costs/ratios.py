"""How often the actual duration of a job is which multiple of the prediction.

A `RatioHistogram` collects the ratios of one kind of job on a logarithmic
scale, and forgets old ones. A `SurvivalTable` is computed from it once in a
while and read for every placement.

    histogram = RatioHistogram()
    histogram.add(1.4)
    table = survival_table(histogram.shares(PRIOR_SHARES, PRIOR_WEIGHT))
    table[POINTS_PER_UNIT]  # share of jobs that exceed their prediction
"""

import bisect
import itertools
import math
from collections.abc import Sequence
from typing import Final, TypeAlias

BINS_PER_OCTAVE: Final = 4
# Ratios are clipped to between 1/8 and 8. Fewer than one job in a thousand was
# outside of it.
MAX_OCTAVES: Final = 3
BIN_COUNT: Final = 2 * MAX_OCTAVES * BINS_PER_OCTAVE
# All counts are halved at this total, so that jobs of a few minutes ago hardly
# count.
MAX_TOTAL: Final = 400.0
# The prior: a log-normal distribution with this median and, for one standard
# deviation, this factor. Measured on four days: 5% 0.5, median 1.05, 95% 2.1.
PRIOR_MEDIAN: Final = 1.0
PRIOR_SPREAD: Final = 1.57
# Points of a survival table for each unit of the ratio, and the largest ratio.
# Linear interpolation between them is much finer than the spread.
POINTS_PER_UNIT: Final = 8
MAX_TABLE_RATIO: Final = 12
LAST_POINT: Final = POINTS_PER_UNIT * MAX_TABLE_RATIO
# Share of jobs whose ratio is assumed to be exponentially distributed with
# mean 1. Without them, a job beyond all known ratios could never end.
TAIL_SHARE: Final = 0.01

# Share of the jobs that exceed each ratio, in steps of 1 / POINTS_PER_UNIT.
SurvivalTable: TypeAlias = tuple[float, ...]
_EDGES: Final = tuple(
    math.exp2(number / BINS_PER_OCTAVE - MAX_OCTAVES)
    for number in range(BIN_COUNT + 1)
)


class RatioHistogram:
    """A histogram of ratios that forgets old ones."""

    def __init__(self) -> None:
        self.total = 0.0
        self._counts = [0.0 for _ in range(BIN_COUNT)]

    def add(self, ratio: float) -> None:
        """Count a ratio."""
        if self.total >= MAX_TOTAL:
            self._counts = [count / 2 for count in self._counts]
            self.total /= 2
        number = bisect.bisect_right(_EDGES, ratio) - 1
        self._counts[min(BIN_COUNT - 1, max(0, number))] += 1
        self.total += 1

    def shares(
        self, prior: Sequence[float], prior_weight: float
    ) -> tuple[float, ...]:
        """Return the share of each bin, shrunk towards a prior that counts
        as `prior_weight` observations.
        """
        scale = 1 / (self.total + prior_weight)
        return tuple(
            (count + share * prior_weight) * scale
            for count, share in zip(self._counts, prior, strict=True)
        )


def survival_table(shares: Sequence[float]) -> SurvivalTable:
    """Compute the survival table of a histogram's shares.

    Ratios are spread evenly over their bin.
    """
    points: list[float] = []
    survival = 1.0
    number = 0
    for point in range(LAST_POINT + 1):
        ratio = point / POINTS_PER_UNIT
        while number < BIN_COUNT and _EDGES[number + 1] <= ratio:
            survival -= shares[number]
            number += 1
        exceeding = 0.0
        if number < BIN_COUNT:
            low, high = _EDGES[number], _EDGES[number + 1]
            inside = max(0.0, (ratio - low) / (high - low))
            exceeding = max(0.0, survival - shares[number] * inside)
        tail = math.exp(-ratio)
        points.append((1 - TAIL_SHARE) * exceeding + TAIL_SHARE * tail)
    return tuple(points)


def _prior_below(ratio: float) -> float:
    deviations = math.log(ratio / PRIOR_MEDIAN) / math.log(PRIOR_SPREAD)
    return (1 + math.erf(deviations / math.sqrt(2))) / 2


def _prior_shares() -> tuple[float, ...]:
    # The outermost bins take what is beyond them.
    below = [0.0, *(_prior_below(edge) for edge in _EDGES[1:-1]), 1.0]
    return tuple(high - low for low, high in itertools.pairwise(below))


PRIOR_SHARES: Final = _prior_shares()
PRIOR_TABLE: Final = survival_table(PRIOR_SHARES)
