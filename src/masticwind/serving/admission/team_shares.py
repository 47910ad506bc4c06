"""Shares of teams in the capacity of a service: weighted max-min fairness.

What is shared is the predicted cost in progress, slots times seconds, from the
jobs of all entries in the load table. A team that asks for less than its share
leaves the rest to the others, so that a team alone may use everything.

    level = fair_level({1: 8.0, 2: 1.0}, frozenset({1}), equal_weight, 10.0)
    level == 9.0
"""

import math
from collections.abc import Callable, Mapping
from collections.abc import Set as AbstractSet
from typing import Final, TypeAlias

from masticwind.serving.admission.fleet_load import FleetLoad

# A team whose request was late at this entry within this time asks for more
# than it has in progress.
ASKING_S: Final = 2.0
# Bounds the memory.
MAX_ASKING_TEAMS: Final = 1024
# What a team has in progress varies by chance, like a Poisson count of its
# jobs. A team is over its share only beyond this many standard deviations.
CHANCE_DEVIATIONS: Final = 3.0
# Key of the jobs whose team is unknown: entries of an earlier release sent
# them.
UNKNOWN_TEAM: Final = 0

TeamWeight: TypeAlias = Callable[[int], float]


def equal_weight(_team: int) -> float:
    """Return the weight of a team; the configuration states none today."""
    return 1.0


def fair_level(
    cost_by_team: Mapping[int, float],
    asking: AbstractSet[int],
    weight: TeamWeight,
    capacity: float,
) -> float:
    """Return the share per weight of a team that asks for more than it gets.

    Teams in `asking` want more than they have in progress, the others just
    that. Infinity means that all get what they ask for.
    """
    demands: list[tuple[float, float]] = []
    for team in sorted({*cost_by_team, *asking}):
        demand = cost_by_team.get(team, 0)
        if team in asking:
            demand = math.inf
        demands.append((demand / weight(team), weight(team)))
    demands.sort()
    remaining = capacity
    remaining_weight = sum(team_weight for _, team_weight in demands)
    for demand_per_weight, team_weight in demands:
        level = remaining / remaining_weight
        if demand_per_weight >= level:
            return level
        remaining -= demand_per_weight * team_weight
        remaining_weight -= team_weight
    return math.inf


class TeamShares:
    """Tells which teams have more than their share in progress."""

    def __init__(self, weight: TeamWeight = equal_weight) -> None:
        self._weight: Final = weight
        self._asked_at: Final[dict[int, float]] = {}
        self._computed_for: FleetLoad | None = None
        self._over_share: frozenset[int] = frozenset()

    def record_late(self, team: int, now: float) -> None:
        """Record that a request of a team would be late."""
        self._asked_at.pop(team, None)
        self._asked_at[team] = now
        if len(self._asked_at) > MAX_ASKING_TEAMS:
            self._asked_at.pop(next(iter(self._asked_at)))

    def over_share(self, load: FleetLoad) -> frozenset[int]:
        """Return the teams over their share, computed once for each load."""
        if load is not self._computed_for:
            self._computed_for = load
            self._over_share = self._compute(load)
        return self._over_share

    def _compute(self, load: FleetLoad) -> frozenset[int]:
        oldest = load.read_at - ASKING_S
        for asking, asked_at in list(self._asked_at.items()):
            if asked_at < oldest:
                self._asked_at.pop(asking)
        level = fair_level(
            load.cost_by_team,
            self._asked_at.keys(),
            self._weight,
            load.capacity_cost_s,
        )
        if math.isinf(level) or not load.jobs:
            return frozenset()
        job_cost_s = load.cost_s / load.jobs
        return frozenset(
            team
            for team, cost_s in load.cost_by_team.items()
            if team != UNKNOWN_TEAM
            and cost_s > _chance_bound(level * self._weight(team), job_cost_s)
        )


def _chance_bound(share_s: float, job_cost_s: float) -> float:
    """Return the largest cost that a team at its share has by chance."""
    return share_s + CHANCE_DEVIATIONS * math.sqrt(share_s * job_cost_s)
