"""Factors between what is observed of jobs and what was predicted.

The factor of a route is shrunk towards 1, and that of a team on a route
towards the one of the route, as long as there are few jobs to learn from.
"""

import math
from dataclasses import dataclass
from typing import Final

from masticwind.serving.costs.durations import ALL_TEAMS, MAX_KEYS, JobKind

# Bounds of a factor, so that no engine becomes unusable by a prediction.
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 4.0
# Number of jobs as which the factor 1, or the one of the route, counts.
SHRINK_WEIGHT: Final = 30.0
# Both sums are halved at this number of jobs.
MAX_WEIGHT: Final = 400.0


@dataclass(slots=True, eq=False)
class _LogMean:
    log_sum: float = 0
    weight: float = 0

    def add(self, ratio: float) -> None:
        """Count a job; old ones lose weight."""
        if self.weight >= MAX_WEIGHT:
            self.log_sum /= 2
            self.weight /= 2
        self.log_sum += math.log(clip_factor(ratio))
        self.weight += 1

    def log_factor(self, prior: float) -> float:
        """Return the logarithm of the factor, shrunk towards a prior."""
        return (self.log_sum + prior * SHRINK_WEIGHT) / (
            self.weight + SHRINK_WEIGHT
        )


class JobFactors:
    """The factors of routes, and of teams on them."""

    def __init__(self) -> None:
        self._means: Final[dict[JobKind, _LogMean]] = {}

    def record(self, route_key: int, team_key: int, ratio: float) -> None:
        """Learn from a job with `ratio` times what was predicted."""
        for kind in _kinds(route_key, team_key):
            mean = self._means.pop(kind, None) or _LogMean()
            self._means[kind] = mean
            mean.add(ratio)
        while len(self._means) > MAX_KEYS:
            self._means.pop(next(iter(self._means)))

    def factor(self, route_key: int, team_key: int) -> float:
        """Return by what to multiply a prediction."""
        log_factor = 0.0
        for kind in _kinds(route_key, team_key):
            mean = self._means.get(kind)
            if mean is not None:
                log_factor = mean.log_factor(log_factor)
        return clip_factor(math.exp(log_factor))


def _kinds(route_key: int, team_key: int) -> tuple[JobKind, ...]:
    """Return the kinds of a job, the general one first."""
    if team_key == ALL_TEAMS:
        return ((route_key, ALL_TEAMS),)
    return ((route_key, ALL_TEAMS), (route_key, team_key))


def clip_factor(factor: float) -> float:
    """Return a factor within the bounds."""
    return min(MAX_FACTOR, max(MIN_FACTOR, factor))
