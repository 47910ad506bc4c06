"""Team limits and fairness among teams at one entry.

Limits hold for the whole fleet. Each entry enforces a share of them without
a platform call; `LimitShares` says how large the share is.
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

# A bucket holds this much of its rate, so that short bursts pass.
BURST_S: Final = 1.0
# Half of each limit is split evenly among the entries with demand; the rest
# follows demand. This keeps the worst case at (n + 1) / 2 times the limit.
EQUAL_PART: Final = 0.5
# A usage report older than this says nothing; three heartbeats are lost.
REPORT_LIFETIME_S: Final = 2.0
# An entry takes more than its even share of a team only after all others have
# either received its demand or seen its older reports expire.
SETTLE_S: Final = REPORT_LIFETIME_S + 0.5
USAGE_WINDOW_S: Final = 2.0
# Each request looks at this many of the least recently used records.
DROP_TRIES: Final = 2

Clock = Callable[[], float]
Rates = Mapping[str, float]
Report = tuple[float, Rates]


class LimitShares(abc.ABC):
    """Says which part of a team's limits this entry may use."""

    @abc.abstractmethod
    def limit_fraction(self, team: str) -> float:
        """Return a number above 0 and at most 1."""


class EqualShares(LimitShares):
    """Splits every limit evenly among the live entries."""

    def __init__(self, live_entry_count: Callable[[], int]) -> None:
        self._live_entry_count: Final = live_entry_count

    def limit_fraction(self, team: str) -> float:
        """Return the same share for every team."""
        return 1 / max(1, self._live_entry_count())


@dataclass(slots=True)
class _Usage:
    rate: float = 0
    at: float = 0
    reported_since: float | None = None


class DemandShares(LimitShares):
    """Splits a limit among the entries with demand for the team.

    Demand is in requests a second. Half of a limit is split evenly and half
    by demand, so that an entry with all demand has the whole limit. Without
    a fresh report of every other entry, all of it is split evenly.
    """

    def __init__(
        self,
        live_entry_count: Callable[[], int],
        clock: Clock = time.monotonic,
    ) -> None:
        self._live_entry_count: Final = live_entry_count
        self._clock: Final = clock
        self._own: Final = dict[str, _Usage]()
        self._reports: Final = dict[str, Report]()

    @property
    def live_entry_count(self) -> int:
        """Entries that share the limits, at least this one."""
        return max(1, self._live_entry_count())

    def record_request(self, team: str) -> None:
        """Count one request, admitted or not, of a team."""
        now = self._clock()
        usage = self._own.setdefault(team, _Usage(at=now))
        left = _decayed(usage, now)
        if not left:
            # Others may have heard meanwhile that there is no demand.
            usage.reported_since = None
        usage.rate = left + 1 / USAGE_WINDOW_S
        usage.at = now

    def local_report(self) -> dict[str, float]:
        """Return this entry's report: the demand of its busiest teams.

        Call it at the interval of the reports; it also drops idle teams.
        """
        now = self._clock()
        for team in list(self._own):
            if not _decayed(self._own[team], now):
                self._own.pop(team)
        rates = {name: _decayed(one, now) for name, one in self._own.items()}
        busiest = sorted(rates, key=lambda name: -rates[name])
        for left_out in busiest[MAX_USAGE_TEAMS:]:
            self._own[left_out].reported_since = None
        listed = busiest[:MAX_USAGE_TEAMS]
        for usage in map(self._own.__getitem__, listed):
            if usage.reported_since is None:
                usage.reported_since = now
        return {name: rates[name] for name in listed}

    def record_report(self, node: str, rates: Rates) -> None:
        """Take the report of another entry."""
        self._reports[node] = (self._clock(), rates)

    def limit_fraction(self, team: str) -> float:
        """Return the share of a team's limits at this entry."""
        self._drop_old_reports()
        live = self.live_entry_count
        usage = self._own.get(team)
        if usage is None or len(self._reports) < live - 1:
            return 1 / live
        now = self._clock()
        own = _decayed(usage, now)
        since = usage.reported_since
        if not own or since is None or now - since < SETTLE_S:
            return 1 / live
        others = [
            rates[team]
            for _at, rates in self._reports.values()
            if rates.get(team, 0) > 0
        ]
        demand_part = own / (own + sum(others))
        even_part = 1 / (1 + len(others))
        return EQUAL_PART * even_part + (1 - EQUAL_PART) * demand_part

    def _drop_old_reports(self) -> None:
        horizon = self._clock() - REPORT_LIFETIME_S
        for node in list(self._reports):
            if self._reports[node][0] < horizon:
                self._reports.pop(node)


def _decayed(usage: _Usage, now: float) -> float:
    left = 1 - (now - usage.at) / USAGE_WINDOW_S
    return usage.rate * max(0.0, left)


@dataclass(slots=True)
class _Bucket:
    tokens: float
    at: float
    rate: float = 0

    def wait_s(self, rate: float, now: float) -> float:
        """Fill up to now; return the seconds until the bucket is not empty."""
        burst = max(1.0, rate * BURST_S)
        self.tokens = min(burst, self.tokens + rate * (now - self.at))
        self.at = now
        self.rate = rate
        # A debt remains after a prompt larger than the bucket.
        return max(0.0, 1 - self.tokens) / rate

    def full(self, now: float) -> bool:
        """Tell whether a new bucket would be in the same state."""
        burst = max(1.0, self.rate * BURST_S)
        return self.tokens + self.rate * (now - self.at) >= burst


@dataclass(slots=True)
class _TeamState:
    in_flight: int = 0
    buckets: dict[str, _Bucket] = field(default_factory=dict)

    def idle(self, now: float) -> bool:
        """Tell whether the record says nothing that a new one would not."""
        if self.in_flight:
            return False
        return all(bucket.full(now) for bucket in self.buckets.values())


class TeamLimits:
    """Owns the buckets and counts of teams at this entry."""

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
        """Count a request of `tokens` tokens in, or refuse it.

        Returns a `Failure` of kind `rate_limited` with the time after which
        the limit admits a request again. Call `leave` after each success.
        """
        self._drop_idle()
        state = self._teams.setdefault(name, _TeamState())
        self._teams.move_to_end(name)
        share = self._shares.limit_fraction(name)
        if team.max_in_flight:
            if state.in_flight >= max(1, int(team.max_in_flight * share)):
                return _limited('max_in_flight', BURST_S)
        charged = (
            ('requests_per_s', team.requests_per_s * share, 1),
            ('tokens_per_s', team.tokens_per_s * share, tokens),
        )
        for limit, rate, _amount in charged:
            wait_s = self._wait_s(state, limit, rate)
            if wait_s > 0:
                return _limited(limit, wait_s)
        for limit, rate, amount in charged:
            if rate:
                state.buckets[limit].tokens -= amount
        state.in_flight += 1
        return None

    def release(self, name: str) -> None:
        """Count a request out."""
        self._teams[name].in_flight -= 1

    def _drop_idle(self) -> None:
        now = self._clock()
        for _ in range(min(DROP_TRIES, len(self._teams))):
            name, state = next(iter(self._teams.items()))
            if state.idle(now):
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
        return bucket.wait_s(rate, now)


def has_limits(team: Team) -> bool:
    """Tell whether any limit of a team is set."""
    return any((team.requests_per_s, team.tokens_per_s, team.max_in_flight))


def _limited(limit: str, wait_s: float) -> Failure:
    return Failure(
        kind=ErrorKind.RATE_LIMITED,
        reason=f'the team is over its limit {limit}',
        retry_after_ms=max(1, round(wait_s * MS_PER_S)),
    )


class WorkByTeam:
    """Work of each team in progress at this entry, by weight."""

    def __init__(self) -> None:
        self._work: Final[dict[str, float]] = {}

    def add(self, team: str, work: float) -> None:
        """Add work, in tokens divided by the team's weight."""
        self._work[team] = self._work.get(team, 0) + work

    def subtract(self, team: str, work: float) -> None:
        """Take the same work off again."""
        left = self._work[team] - work
        if left < 1:
            self._work.pop(team)
        else:
            self._work[team] = left

    def exceeds_fair_share(self, team: str) -> bool:
        """Tell whether a team has more than its fair share in progress.

        A team alone has no one to crowd out.
        """
        if len(self._work) < 2:
            return False
        mean = sum(self._work.values()) / len(self._work)
        return self._work.get(team, 0) > mean
