"""Admission, team limits and fairness at one entry."""

import random
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.config.model import Team
from masticwind.entry.admission import (
    MAX_RETRY_AFTER_MS,
    Admission,
    AdmissionRequest,
)
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.limits import (
    BURST_S,
    DemandShares,
    EqualShares,
    TeamLimits,
    WorkByTeam,
)
from masticwind.entry.router import RoutingView
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import MAX_USAGE_TEAMS
from tests.routing_fakes import (
    FakeClock,
    entry_settings,
    fake_job,
    fake_link,
)

TICK_S = 0.02


def _admission(work_by_team: WorkByTeam | None = None) -> Admission:
    cfg = entry_settings()
    return Admission(
        cfg, RoutingView(cfg, AffinityIndex(1000)), work_by_team or WorkByTeam()
    )


def test_refusal_has_the_wait_for_the_backlog_as_retry_after() -> None:
    """Guards against admitting a request that will miss its deadline."""
    links = [fake_link(name, paid_work_tokens=100_000) for name in 'ab']
    request = AdmissionRequest('t', fake_job(10_000), 5)
    refused = _admission().admit(request, links[0], links)
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.OVERLOADED
    # 110,000 tokens at 10,000 a second, of which 5 s are in the budget.
    assert refused.retry_after_ms == 6000


def test_other_candidate_is_admitted_if_the_chosen_one_is_too_slow() -> None:
    """Guards against a refusal while an endpoint can serve in time."""
    slow = fake_link('late', paid_work_tokens=1_000_000)
    idle = fake_link('idle')
    request = AdmissionRequest('t', fake_job(10_000), 5)
    assert _admission().admit(request, slow, (slow, idle)) is idle


def test_assumed_prefill_rate_never_causes_a_refusal() -> None:
    """Guards against refusing because the rate in the settings is too low.

    An endpoint without a measured rate gets what no other can serve in time.
    """
    measured = fake_link('measured', paid_work_tokens=100_000)
    unmeasured = fake_link('unmeasured', prefill_tokens_per_s=0)
    job = fake_job(1_000_000)
    admission = _admission()
    both = (measured, unmeasured)
    assert (
        admission.admit(AdmissionRequest('t', job, 5), measured, both)
        is unmeasured
    )
    assert (
        admission.admit(AdmissionRequest('t', job, 5), unmeasured, both)
        is unmeasured
    )
    unmeasured.reported_load = measured.reported_load
    refused = admission.admit(AdmissionRequest('t', job, 5), unmeasured, both)
    assert isinstance(refused, Failure)


def test_too_long_stream_is_refused_without_a_measured_rate() -> None:
    """Guards against unlimited admission while no rate is measured."""
    link = fake_link('a', prefill_tokens_per_s=0)
    admission = _admission()
    for _ in range(100):
        admission.stream_duration.observe(1000, 1000, 100)
    job = fake_job(max_tokens=1000)
    refused = admission.admit(AdmissionRequest('t', job, 5), link, (link,))
    assert isinstance(refused, Failure)


def test_retry_after_is_bounded() -> None:
    """Guards against telling a caller to wait for hours."""
    link = fake_link('a', paid_work_tokens=1_000_000_000)
    refused = _admission().admit(
        AdmissionRequest('t', fake_job(), 1), link, (link,)
    )
    assert isinstance(refused, Failure)
    assert refused.retry_after_ms == MAX_RETRY_AFTER_MS


@settings(derandomize=True, deadline=None)
@given(backlog=st.integers(0, 200_000))
def test_free_is_refused_before_paid(backlog: int) -> None:
    """Guards against free requests that use capacity for paid ones."""
    link = fake_link('a', paid_work_tokens=backlog)
    paid, free = (
        _admission().admit(AdmissionRequest('t', job, 10), link, (link,))
        for job in (fake_job(), fake_job(paid=False))
    )
    if free is link:
        assert paid is link
    if 50_000 < backlog < 99_000:
        assert paid is link
        assert isinstance(free, Failure)


def test_team_above_its_fair_share_is_refused_first() -> None:
    """Guards against one team that takes the whole capacity."""
    work_by_team = WorkByTeam()
    work_by_team.add('large', 90_000)
    work_by_team.add('small', 1000)
    link = fake_link('a', paid_work_tokens=85_000)
    admission = _admission(work_by_team)
    job = fake_job()
    assert (
        admission.admit(AdmissionRequest('small', job, 10), link, (link,))
        is link
    )
    refused = admission.admit(AdmissionRequest('large', job, 10), link, (link,))
    assert isinstance(refused, Failure)


def test_only_team_may_use_the_whole_capacity() -> None:
    """Guards against capacity that is left unused."""
    work_by_team = WorkByTeam()
    work_by_team.add('large', 90_000)
    assert not work_by_team.exceeds_fair_share('large')
    work_by_team.subtract('large', 90_000)
    assert not work_by_team.exceeds_fair_share('large')


class _TwoEntries:
    """Two entries that enforce the limits of one team.

    The test calls `enter`, `leave` and `gossip` by name.
    """

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.shares = [DemandShares(lambda: 2, self.clock) for _ in range(2)]
        self.limits = [TeamLimits(shares, self.clock) for shares in self.shares]
        self.in_flight = [0, 0]
        self.admitted = 0

    def enter(self, entry: int) -> None:
        self.shares[entry].record_request('t')
        if self.limits[entry].acquire('t', LIMITED, 1) is None:
            self.admitted += 1
            self.in_flight[entry] += 1

    def leave(self, entry: int) -> None:
        if self.in_flight[entry]:
            self.limits[entry].release('t')
            self.in_flight[entry] -= 1

    def gossip(self, entry: int) -> None:
        self.shares[1 - entry].record_report(
            str(entry), self.shares[entry].local_report()
        )


LIMITED = Team(tier='paid', requests_per_s=10, max_in_flight=6)


@settings(derandomize=True, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(('enter', 'enter', 'leave', 'gossip', 'wait')),
            st.integers(0, 1),
            st.integers(1, 900),
        ),
        max_size=300,
    )
)
def test_excess_over_two_entries_is_bounded(
    steps: list[tuple[str, int, int]],
) -> None:
    """Guards against exceeding the bound in docs/decisions/team-limits.md."""
    fleet = _TwoEntries()
    for action, entry, wait_ms in steps:
        if action == 'wait':
            fleet.clock.now += wait_ms / 1000
        else:
            getattr(fleet, action)(entry)
        # (n + 1) / 2 times the limit plus one for each of n entries.
        assert sum(fleet.in_flight) <= 1.5 * 6 + 2
    elapsed_s = fleet.clock.now - 1000
    assert fleet.admitted <= 1.5 * 10 * (elapsed_s + BURST_S) + 2


def test_limit_holds_without_usage_reports() -> None:
    """Guards against exceeding a limit while entries are disconnected."""
    fleet = _TwoEntries()
    for _ in range(400):
        for entry in (0, 1):
            fleet.enter(entry)
            fleet.leave(entry)
        fleet.clock.now += 0.01
    assert fleet.admitted <= 10 * (4 + BURST_S) + 2


def test_prompt_larger_than_the_bucket_is_charged_in_full() -> None:
    """Guards against a long prompt that is never admitted or not charged."""
    clock = FakeClock()
    limits = TeamLimits(EqualShares(lambda: 1), clock)
    team = Team(tier='paid', tokens_per_s=1000)
    assert limits.acquire('t', team, 10_000) is None
    refused = limits.acquire('t', team, 1)
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.RATE_LIMITED
    assert refused.retry_after_ms == pytest.approx(9000, abs=2)
    clock.now += 9.01
    assert limits.acquire('t', team, 1) is None


def test_in_flight_limit_is_split_and_released() -> None:
    """Guards against leaked counts, and against a share of zero requests."""
    limits = TeamLimits(EqualShares(lambda: 3))
    team = Team(tier='paid', max_in_flight=6)
    assert [limits.acquire('t', team, 1) is None for _ in range(3)] == [
        True,
        True,
        False,
    ]
    limits.release('t')
    assert limits.acquire('t', team, 1) is None


def test_limit_fraction_follows_demand_or_is_even_without_reports() -> None:
    """Guards against an unused share of a limit at an idle entry."""
    clock = FakeClock()
    shares = DemandShares(lambda: 2, clock)
    assert shares.limit_fraction('t') == pytest.approx(0.5)
    shares.record_request('t')
    shares.record_report('other', {})
    # The other entry cannot have received the demand yet.
    assert shares.limit_fraction('t') == pytest.approx(0.5)
    shares.local_report()
    _send_reports(shares, clock)
    shares.record_report('other', {})
    assert shares.limit_fraction('t') == pytest.approx(1)
    own = shares.local_report()['t']
    shares.record_report('other', {'t': own * 3})
    assert shares.limit_fraction('t') == pytest.approx(0.25 + 0.5 * 0.25)
    clock.now += 3
    assert shares.limit_fraction('t') == pytest.approx(0.5)


def test_team_omitted_from_the_report_keeps_its_even_share() -> None:
    """Guards against two entries that each use the whole limit.

    A report lists only the busiest teams, so the others cannot tell that a
    team without an entry in it has demand.
    """
    clock = FakeClock()
    shares = DemandShares(lambda: 2, clock)
    shares.record_request('t')
    shares.local_report()
    _send_reports(shares, clock)
    for number in range(MAX_USAGE_TEAMS):
        for _ in range(20):
            shares.record_request(f'busier-{number}')
    assert 't' not in shares.local_report()
    assert len(shares.local_report()) == MAX_USAGE_TEAMS
    shares.record_report('other', {})
    assert shares.limit_fraction('t') == pytest.approx(0.5)


@pytest.mark.parametrize('entries', [2, 3, 5])
@pytest.mark.parametrize('seed', range(20))
def test_changing_demand_stays_within_the_bound(
    entries: int, seed: int
) -> None:
    """Guards against entries that use the same unused share twice."""
    rng = random.Random(seed)
    clock = FakeClock()
    start = clock.now
    live = partial(int, entries)
    shares = [DemandShares(live, clock) for _ in range(entries)]
    limits = [TeamLimits(entry_shares, clock) for entry_shares in shares]
    team = Team(tier='paid', requests_per_s=20)
    busy: list[int] = []
    admitted = 0
    for tick in range(3000):
        clock.now += TICK_S
        if not tick % 50:
            busy = rng.sample(range(entries), rng.randint(0, entries))
        if not tick % 25:
            _exchange_reports(shares)
        for entry in busy:
            shares[entry].record_request('t')
            if limits[entry].acquire('t', team, 1) is None:
                limits[entry].release('t')
                admitted += 1
    seconds = clock.now - start + BURST_S
    assert admitted <= (entries + 1) / 2 * 20 * seconds + entries


def test_records_of_idle_teams_are_evicted() -> None:
    """Guards against memory that grows with the number of teams."""
    clock = FakeClock()
    limits = TeamLimits(EqualShares(lambda: 1), clock)
    team = Team(tier='paid', tokens_per_s=100)
    assert limits.acquire('debtor', team, 10_000) is None
    limits.release('debtor')
    for number in range(10_000):
        clock.now += TICK_S / 10
        assert limits.acquire(f't{number}', team, 1) is None
        limits.release(f't{number}')
    # The bucket of each is full again 10 ms, or five requests, later.
    assert len(limits) < 1000
    # A negative bucket is kept: 10,000 tokens take 100 s, and 20 s have passed.
    assert isinstance(limits.acquire('debtor', team, 1), Failure)


def _send_reports(shares: DemandShares, clock: FakeClock) -> None:
    for _ in range(6):
        clock.now += 0.5
        shares.record_request('t')
        shares.local_report()


def _exchange_reports(shares: list[DemandShares]) -> None:
    reports = [entry_shares.local_report() for entry_shares in shares]
    for receiver in shares:
        for number, rates in enumerate(reports):
            if receiver is not shares[number]:
                receiver.record_report(str(number), rates)
