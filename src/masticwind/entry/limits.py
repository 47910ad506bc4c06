"""Rate limits of teams and fairness among teams at one entry.

Limits apply to the whole fleet. Each entry enforces a fraction of each limit
locally, without a call to the platform; `LimitShares` computes the fraction.
docs/decisions/team-limits.md states the bound on the excess.
"""

import abc
import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.config.model import Team
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import MAX_USAGE_TEAMS

# Capacity of a token bucket in seconds of its rate, to allow short bursts.
BURST_S: Final = 1.0
# This fraction of each limit is split evenly among the entries with demand,
# the rest in proportion to demand. The worst case for n entries is then
# (n + 1) / 2 times the limit.
EVEN_SPLIT_FRACTION: Final = 0.5
# Usage reports older than this are ignored: three heartbeats were lost.
USAGE_REPORT_LIFETIME_S: Final = 2.0
# An entry uses more than its even share of a limit only after all others have
# either received its demand or had its older reports expire.
DEMAND_PROPAGATION_S: Final = USAGE_REPORT_LIFETIME_S + 0.5
DEMAND_WINDOW_S: Final = 2.0
# Least recently used records that each request checks for eviction.
IDLE_CHECKS_PER_REQUEST: Final = 2

Clock = Callable[[], float]
Rates = Mapping[str, float]
Report = tuple[float, Rates]


class LimitShares(abc.ABC):
    """Computes the fraction of a team's limits that this entry may use."""

    @abc.abstractmethod
    def limit_fraction(self, team: str) -> float:
        """Return a fraction above 0 and at most 1."""


class EqualShares(LimitShares):
    """Splits every limit evenly among the live entries."""

    def __init__(self, live_entry_count: Callable[[], int]) -> None:
        self._live_entry_count: Final = live_entry_count

    def limit_fraction(self, team: str) -> float:
        """Return the same fraction for every team."""
        return 1 / max(1, self._live_entry_count())


@dataclass(slots=True)
class _TeamDemand:
    requests_per_s: float = 0
    updated_at: float = 0
    reported_since: float | None = None


class DemandShares(LimitShares):
    """Splits a limit among the entries with demand for the team.

    Demand is in requests per second. Half of a limit is split evenly and
    half in proportion to demand, so an entry with all the demand may use the
    whole limit. The limit is split evenly among all entries while the report
    of any entry is missing or expired.
    """

    def __init__(
        self,
        live_entry_count: Callable[[], int],
        clock: Clock = time.monotonic,
    ) -> None:
        self._live_entry_count: Final = live_entry_count
        self._clock: Final = clock
        self._local_demand: Final = dict[str, _TeamDemand]()
        self._reports: Final = dict[str, Report]()

    @property
    def live_entry_count(self) -> int:
        """Number of entries that share the limits, including this one."""
        return max(1, self._live_entry_count())

    def record_request(self, team: str) -> None:
        """Count one request of a team, admitted or not, as demand."""
        now = self._clock()
        demand = self._local_demand.setdefault(
            team, _TeamDemand(updated_at=now)
        )
        requests_per_s = _decayed_rate(demand, now)
        if not requests_per_s:
            # The others may have received a report without this team.
            demand.reported_since = None
        demand.requests_per_s = requests_per_s + 1 / DEMAND_WINDOW_S
        demand.updated_at = now

    def local_report(self) -> dict[str, float]:
        """Return this entry's report: the demand of its busiest teams.

        Call this once per report: it removes idle teams and records when a
        team was first reported.
        """
        now = self._clock()
        for team in list(self._local_demand):
            if not _decayed_rate(self._local_demand[team], now):
                self._local_demand.pop(team)
        rates = {
            name: _decayed_rate(demand, now)
            for name, demand in self._local_demand.items()
        }
        busiest = sorted(rates, key=lambda name: -rates[name])
        for omitted in busiest[MAX_USAGE_TEAMS:]:
            self._local_demand[omitted].reported_since = None
        reported = busiest[:MAX_USAGE_TEAMS]
        for demand in map(self._local_demand.__getitem__, reported):
            if demand.reported_since is None:
                demand.reported_since = now
        return {name: rates[name] for name in reported}

    def record_report(self, node: str, rates: Rates) -> None:
        """Store the report of another entry."""
        self._reports[node] = (self._clock(), rates)

    def limit_fraction(self, team: str) -> float:
        """Return the fraction of a team's limits that this entry may use."""
        self._drop_expired_reports()
        entry_count = self.live_entry_count
        demand = self._local_demand.get(team)
        if demand is None or len(self._reports) < entry_count - 1:
            return 1 / entry_count
        now = self._clock()
        local_rate = _decayed_rate(demand, now)
        since = demand.reported_since
        if (
            not local_rate
            or since is None
            or now - since < DEMAND_PROPAGATION_S
        ):
            return 1 / entry_count
        other_rates = [
            rates[team]
            for _received_at, rates in self._reports.values()
            if rates.get(team, 0) > 0
        ]
        demand_fraction = local_rate / (local_rate + sum(other_rates))
        even_fraction = 1 / (1 + len(other_rates))
        return (
            EVEN_SPLIT_FRACTION * even_fraction
            + (1 - EVEN_SPLIT_FRACTION) * demand_fraction
        )

    def _drop_expired_reports(self) -> None:
        oldest_allowed = self._clock() - USAGE_REPORT_LIFETIME_S
        for node in list(self._reports):
            if self._reports[node][0] < oldest_allowed:
                self._reports.pop(node)


def _decayed_rate(demand: _TeamDemand, now: float) -> float:
    remaining = 1 - (now - demand.updated_at) / DEMAND_WINDOW_S
    return demand.requests_per_s * max(0.0, remaining)


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float
    rate: float = 0

    def refill(self, rate: float, now: float) -> float:
        """Refill the bucket; return the seconds until it has a token."""
        burst = max(1.0, rate * BURST_S)
        self.tokens = min(burst, self.tokens + rate * (now - self.updated_at))
        self.updated_at = now
        self.rate = rate
        # Negative after a prompt larger than the bucket.
        return max(0.0, 1 - self.tokens) / rate

    def is_full(self, now: float) -> bool:
        """Whether the bucket is full, like a new one."""
        burst = max(1.0, self.rate * BURST_S)
        return self.tokens + self.rate * (now - self.updated_at) >= burst


@dataclass(slots=True)
class _TeamState:
    in_flight: int = 0
    buckets: dict[str, _Bucket] = field(default_factory=dict)

    def is_idle(self, now: float) -> bool:
        """Whether the record equals a new one and can be evicted."""
        if self.in_flight:
            return False
        return all(bucket.is_full(now) for bucket in self.buckets.values())


class TeamLimits:
    """Owns the token buckets and in-flight counts of teams at this entry."""

    def __init__(
        self,
        shares: LimitShares,
        clock: Clock = time.monotonic,
    ) -> None:
        self._shares: Final = shares
        self._clock: Final = clock
        # The least recently used record comes first.
        self._teams: Final = OrderedDict[str, _TeamState]()

    def __len__(self) -> int:
        return len(self._teams)

    def acquire(self, name: str, team: Team, tokens: int) -> Failure | None:
        """Admit a request of `tokens` tokens, or refuse it.

        Returns a `Failure` of kind `rate_limited` with the time after which
        the limit admits a request again. Call `release` for each admitted
        request.
        """
        self._evict_idle()
        state = self._teams.setdefault(name, _TeamState())
        self._teams.move_to_end(name)
        fraction = self._shares.limit_fraction(name)
        if team.max_in_flight:
            if state.in_flight >= max(1, int(team.max_in_flight * fraction)):
                return _rate_limited('max_in_flight', BURST_S)
        rate_limits = (
            ('requests_per_s', team.requests_per_s * fraction, 1),
            ('tokens_per_s', team.tokens_per_s * fraction, tokens),
        )
        for limit, rate, _amount in rate_limits:
            wait_s = self._wait_s(state, limit, rate)
            if wait_s > 0:
                return _rate_limited(limit, wait_s)
        for limit, rate, amount in rate_limits:
            if rate:
                state.buckets[limit].tokens -= amount
        state.in_flight += 1
        return None

    def release(self, name: str) -> None:
        """End an admitted request."""
        self._teams[name].in_flight -= 1

    def _evict_idle(self) -> None:
        now = self._clock()
        for _ in range(min(IDLE_CHECKS_PER_REQUEST, len(self._teams))):
            name, state = next(iter(self._teams.items()))
            if state.is_idle(now):
                self._teams.pop(name)
            else:
                self._teams.move_to_end(name)

    def _wait_s(self, state: _TeamState, limit: str, rate: float) -> float:
        if not rate:
            return 0
        now = self._clock()
        bucket = state.buckets.get(limit)
        if bucket is None:
            bucket = _Bucket(max(1.0, rate * BURST_S), now)
            state.buckets[limit] = bucket
        return bucket.refill(rate, now)


def has_limits(team: Team) -> bool:
    """Whether any limit of a team is set."""
    return any((team.requests_per_s, team.tokens_per_s, team.max_in_flight))


def _rate_limited(limit: str, wait_s: float) -> Failure:
    return Failure(
        kind=ErrorKind.RATE_LIMITED,
        reason=f'the team is over its limit {limit}',
        retry_after_ms=max(1, round(wait_s * MS_PER_S)),
    )


class WorkByTeam:
    """Work in progress of each team at this entry.

    Work is in tokens divided by the team's weight.
    """

    def __init__(self) -> None:
        self._work: Final[dict[str, float]] = {}

    def add(self, team: str, work: float) -> None:
        """Add the work of a request that starts."""
        self._work[team] = self._work.get(team, 0) + work

    def subtract(self, team: str, work: float) -> None:
        """Subtract the work of a request that has ended."""
        remaining = self._work[team] - work
        if remaining < 1:
            self._work.pop(team)
        else:
            self._work[team] = remaining

    def exceeds_fair_share(self, team: str) -> bool:
        """Whether a team has more work in progress than the mean of teams.

        The mean is over the teams with work. False for the only one of them,
        because it delays no other team.
        """
        if len(self._work) < 2:
            return False
        mean = sum(self._work.values()) / len(self._work)
        return self._work.get(team, 0) > mean
