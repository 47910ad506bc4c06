"""The load of all engines of a service, summed up for decisions at overload.

It is read from the jobs in the load table, which every entry has: no entry
counts for the others. Reading it takes one pass over the jobs, so it is shared
by the decisions of a short time.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from masticwind.serving.model import LOWEST_PRIORITY, EngineProfile
from masticwind.serving.placement.load_table import Job
from masticwind.serving.placement.placer import PlacementQuery

# Jobs that started within this time give the rate of starts. Streams last
# about 2 s, so that few have started and ended within it.
START_WINDOW_S: Final = 1.0
# Least predicted duration of a job, against division by zero.
MIN_DURATION_S: Final = 0.02


@dataclass(slots=True, kw_only=True)
class FleetLoad:
    """Sums over the jobs of a service.

    `slots` counts those of all engines, and `used_slots` the occupied ones;
    `waiting` requests have none yet, and `waiting_priority` is the most urgent
    priority among them. `ends_per_s` and `starts_per_s` are the rates at which
    requests end and start. `cost_by_team` has the predicted duration of the
    jobs of each team, in seconds, and `cost_s` that of all.
    """

    read_at: float
    slots: int = 0
    used_slots: int = 0
    waiting: int = 0
    waiting_priority: int = LOWEST_PRIORITY
    ends_per_s: float = 0
    starts_per_s: float = 0
    jobs: int = 0
    cost_s: float = 0
    cost_by_team: dict[int, float] = field(default_factory=dict)

    @property
    def capacity_per_s(self) -> float:
        """The rate at which requests end if all slots are occupied."""
        if not self.used_slots:
            return 0.0
        return self.ends_per_s * self.slots / self.used_slots

    @property
    def capacity_cost_s(self) -> float:
        """The cost in progress if all slots are occupied."""
        if not self.used_slots:
            return 0.0
        return self.cost_s * max(1.0, self.slots / self.used_slots)

    def add_engine(self, jobs: Sequence[Job], slots: int) -> None:
        """Add an engine and its jobs."""
        requests = 0
        not_decoding: list[Job] = []
        for job in jobs:
            self._add_job(job)
            if job.context_tokens:
                requests += 1
                if not job.decoding:
                    not_decoding.append(job)
        self.slots += slots
        self.used_slots += min(requests, slots)
        excess = requests - slots
        if excess <= 0:
            return
        self.waiting += excess
        not_decoding.sort(key=_started_at)
        for job in not_decoding[-excess:]:
            self.waiting_priority = min(self.waiting_priority, job.priority)

    def _add_job(self, job: Job) -> None:
        end_at = job.end_at if job.context_tokens else job.first_token_at
        cost_s = max(MIN_DURATION_S, end_at - job.started_at)
        self.jobs += 1
        self.cost_s += cost_s
        self.cost_by_team[job.team_key] = (
            self.cost_by_team.get(job.team_key, 0) + cost_s
        )
        if not job.context_tokens:
            return
        # Each job in progress ends at the rate of one in its duration.
        self.ends_per_s += 1 / cost_s
        if job.started_at >= self.read_at - START_WINDOW_S:
            self.starts_per_s += 1 / START_WINDOW_S


class FleetLoadReader:
    """Reads the load of each service, and keeps it for a short time."""

    def __init__(self) -> None:
        self._loads: Final[dict[str, FleetLoad]] = {}

    def read(
        self, query: PlacementQuery, profile: EngineProfile, max_age_s: float
    ) -> FleetLoad:
        """Return the load of the service of a query."""
        service = query.service.name
        load = self._loads.get(service)
        if load is None or not 0 <= query.now - load.read_at < max_age_s:
            load = _read_load(query, profile)
            self._loads[service] = load
        return load

    def last(self, service: str) -> FleetLoad | None:
        """Return the load that was read last, None before the first one."""
        return self._loads.get(service)


def _read_load(query: PlacementQuery, profile: EngineProfile) -> FleetLoad:
    load = FleetLoad(read_at=query.now)
    for endpoint in (*query.candidates, *query.helpers):
        load.add_engine(
            query.jobs_by_endpoint.get(endpoint.identity, ()), profile.slots
        )
    return load


def _started_at(job: Job) -> float:
    return job.started_at
