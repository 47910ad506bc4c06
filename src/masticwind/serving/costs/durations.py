"""Learned distributions of the duration of jobs, by route and by team.

The histogram of a route is shrunk towards the prior, and that of a team on a
route towards the one of the route, as long as it has few jobs.
"""

import time
from collections.abc import Callable
from typing import Final, TypeAlias

from masticwind.serving.costs.ratios import (
    PRIOR_SHARES,
    PRIOR_TABLE,
    RatioHistogram,
    SurvivalTable,
    survival_table,
)
from masticwind.serving.placement.load_table import Job

# Keys kept, the oldest of which are evicted. Deployments have some ten routes
# and some dozens of teams.
MAX_KEYS: Final = 512
# Number of jobs as which the prior, or the histogram of the route, counts.
SHRINK_WEIGHT: Final = 30.0
# A table is computed again after this time, if there are new ratios; that
# takes some 50 microseconds.
REBUILD_INTERVAL_S: Final = 1.0

# Route and team; a team of zero stands for all teams of the route.
JobKind: TypeAlias = tuple[int, int]
ALL_TEAMS: Final = 0


class _LearnedTable:
    """A histogram and the survival table that was last computed from it."""

    def __init__(self) -> None:
        self.histogram: Final = RatioHistogram()
        self.table = PRIOR_TABLE
        self.built_at = 0.0
        self.outdated = False


class LearnedDurations:
    """The distribution of the ratio of actual to predicted durations."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock: Final = clock
        self._learned: Final[dict[JobKind, _LearnedTable]] = {}

    def record(self, job: Job, ratio: float) -> None:
        """Learn from a job that has ended."""
        kinds = [(job.route_key, ALL_TEAMS)]
        if job.team_key:
            kinds.append((job.route_key, job.team_key))
        for kind in kinds:
            # Evicts the kind that has had no jobs for the longest time.
            learned = self._learned.pop(kind, None) or _LearnedTable()
            self._learned[kind] = learned
            learned.histogram.add(ratio)
            learned.outdated = True
        while len(self._learned) > MAX_KEYS:
            self._learned.pop(next(iter(self._learned)))

    def table_of(self, job: Job) -> SurvivalTable:
        """Return the survival table for a job."""
        learned = self._learned.get((job.route_key, job.team_key))
        if learned is None:
            learned = self._learned.get((job.route_key, ALL_TEAMS))
        if learned is None:
            return PRIOR_TABLE
        if learned.outdated:
            self._rebuild(learned, job)
        return learned.table

    def count(self) -> int:
        """Return the number of keys kept."""
        return len(self._learned)

    def _rebuild(self, learned: _LearnedTable, job: Job) -> None:
        now = self._clock()
        if now - learned.built_at < REBUILD_INTERVAL_S and learned.built_at:
            return
        prior = PRIOR_SHARES
        route = self._learned.get((job.route_key, ALL_TEAMS))
        if route is not None:
            prior = route.histogram.shares(PRIOR_SHARES, SHRINK_WEIGHT)
        shares = prior
        if learned is not route:
            shares = learned.histogram.shares(prior, SHRINK_WEIGHT)
        learned.table = survival_table(shares)
        learned.built_at = now
        learned.outdated = False
