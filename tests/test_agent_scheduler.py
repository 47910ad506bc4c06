"""Ledger and scheduler: state machine tests and the fair order."""

import itertools
from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from masticwind.agent.ledger import MemoryLedger, OwnerKey
from masticwind.agent.rates import Rates
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import MAX_OVERTAKE_RATIO, RunningRequests
from masticwind.agent.scheduler import Scheduler, SchedulerDependencies
from masticwind.budget import Budget
from tests.executor_harness import RecordingChannel, agent_settings, make_offer

TOTAL_TOKENS = 100_000
CAPACITY = 4
OWNERS = st.sampled_from(['a', 'b', 'c', 'd'])
TOKENS = st.integers(0, TOTAL_TOKENS)


class LedgerMachine(RuleBasedStateMachine):
    """Guards against lost, duplicate or excessive reservations."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = MemoryLedger()
        self.ledger.total_tokens = TOTAL_TOKENS
        self.held_tokens: dict[OwnerKey, int] = {}

    @rule(owner=OWNERS, tokens=TOKENS)
    def reserve(self, owner: str, tokens: int) -> None:
        """Reserve, and compare the result with the model."""
        fits = tokens <= max(0, TOTAL_TOKENS - sum(self.held_tokens.values()))
        granted = self.ledger.reserve(owner, tokens)
        assert granted == (owner in self.held_tokens or fits)
        if granted:
            self.held_tokens.setdefault(owner, tokens)

    @rule(owner=OWNERS, tokens=TOKENS)
    def record_held(self, owner: str, tokens: int) -> None:
        """Record memory that the engine already holds."""
        self.ledger.record_held(owner, tokens)
        self.held_tokens[owner] = tokens

    @rule(owner=OWNERS)
    def release(self, owner: str) -> None:
        """Release a reservation, or none."""
        self.ledger.release(owner)
        self.held_tokens.pop(owner, None)

    @invariant()
    def ledger_matches_model(self) -> None:
        """The ledger has the owners and sums of the model."""
        assert self.ledger.reserved_tokens == sum(self.held_tokens.values())
        assert self.ledger.owners() == set(self.held_tokens)
        free = TOTAL_TOKENS - sum(self.held_tokens.values())
        assert self.ledger.free_tokens == max(0, free)


class SchedulerMachine(RuleBasedStateMachine):
    """Guards against starvation, priority inversion and memory leaks."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = MemoryLedger()
        self.ledger.total_tokens = TOTAL_TOKENS
        cfg = agent_settings()
        self.running = RunningRequests(cfg)
        self.scheduler = Scheduler(
            SchedulerDependencies(cfg, self.ledger, Rates(), self.running),
        )
        self.added = 0
        self.started = 0

    @rule(
        team=st.sampled_from(['large', 'small', 'other']),
        paid=st.booleans(),
        tokens=st.sampled_from([100, 3000, 20_000, 70_000]),
        weight=st.sampled_from([0.5, 1.0, 4.0]),
    )
    def add(self, team: str, tokens: int, weight: float, *, paid: bool) -> None:
        """Queue a request."""
        name = f'r{self.added}'
        self.added += 1
        self.scheduler.add(make_request(name, tokens, team, weight, paid=paid))

    @rule()
    def start_next(self) -> None:
        """Start the next request."""
        waiting = self.scheduler.queued()
        req = self.scheduler.start_next(CAPACITY)
        if req is None:
            return
        assert req.offer.paid or not any(other.offer.paid for other in waiting)
        self.started += 1
        self.running.add(req)

    @precondition(lambda machine: bool(machine.running))
    @rule(data=st.data())
    def first_token(self, data: st.DataObject) -> None:
        """Let one running request complete its prefill."""
        self.running.mark_prefill_done(
            data.draw(st.sampled_from(list(self.running))),
        )

    @precondition(lambda machine: bool(machine.running))
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        """End one running request."""
        self.end(data.draw(st.sampled_from(list(self.running))))

    def end(self, req: AgentRequest) -> None:
        """Remove a request and release its memory."""
        self.running.remove(req)
        self.ledger.release(req.key)
        self.scheduler.refund_unused_output(req)

    @invariant()
    def memory_is_conserved(self) -> None:
        """Reservations match the running requests and fit into memory."""
        held_tokens = sum(req.memory_tokens for req in self.running)
        assert self.ledger.reserved_tokens == held_tokens
        assert held_tokens <= TOTAL_TOKENS
        assert len(self.running) <= CAPACITY
        long = [
            req.uncached_tokens
            for req in self.running
            if req.prefilling and self.running.is_long(req)
        ]
        # A long prompt in prefill has overtaken all earlier ones.
        for earlier, later in itertools.pairwise(long):
            assert later <= MAX_OVERTAKE_RATIO * earlier

    def teardown(self) -> None:
        """Every queued request must start once the running ones have ended."""
        for left in self.running:
            self.end(left)
        while self.scheduler.queued():
            req = self.scheduler.start_next(CAPACITY)
            assert req is not None
            self.started += 1
            self.running.add(req)
            self.end(req)
        assert self.started == self.added
        assert not self.ledger.reserved_tokens


_MACHINE_SETTINGS = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = _MACHINE_SETTINGS
TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = _MACHINE_SETTINGS


def make_request(
    name: str,
    tokens: int,
    team: str,
    weight: float = 1,
    *,
    paid: bool = True,
    timeout_ms: int = 3_600_000,
) -> AgentRequest:
    """Return a queued request with a distant deadline."""
    offer = make_offer(
        name,
        tokens,
        team=team,
        weight=weight,
        paid=paid,
        body=b'',
        timeout_ms=timeout_ms,
    )
    return AgentRequest(offer, Budget.from_ms(timeout_ms), RecordingChannel())


def _make_scheduler(
    rates: Rates | None = None,
) -> tuple[Scheduler, RunningRequests]:
    cfg = agent_settings()
    running = RunningRequests(cfg)
    ledger = MemoryLedger()
    ledger.total_tokens = 10_000_000
    deps = SchedulerDependencies(cfg, ledger, rates or Rates(), running)
    return Scheduler(deps), running


def _start_teams(scheduler: Scheduler, count: int) -> list[str]:
    started = [scheduler.start_next(1) for _ in range(count)]
    return [req.offer.team for req in started if req is not None]


def test_small_team_is_not_starved_by_large_team() -> None:
    """Guards against a small team waiting for a large team's whole queue."""
    scheduler, _ = _make_scheduler()
    for number in range(100):
        scheduler.add(make_request(f'l{number}', 1000, 'large'))
    _start_teams(scheduler, 20)
    scheduler.add(make_request('s', 1000, 'small'))
    assert 'small' in _start_teams(scheduler, 2)


@pytest.mark.parametrize(('weight', 'share'), [(1, 20), (3, 30), (9, 36)])
def test_teams_share_by_weight(weight: float, share: int) -> None:
    """Guards against ignored team weights."""
    scheduler, _ = _make_scheduler()
    for number in range(60):
        scheduler.add(make_request(f'h{number}', 1000, 'heavy', weight))
        scheduler.add(make_request(f'l{number}', 1000, 'light'))
    counts = Counter(_start_teams(scheduler, 40))
    assert abs(counts['heavy'] - share) <= 1


def test_unused_output_tokens_are_refunded() -> None:
    """Guards against charging a team for `max_tokens` instead of its output."""
    scheduler, _ = _make_scheduler()
    first = make_request('first', 100, 'a')
    scheduler.add(first)
    scheduler.start_next(1)
    for number in range(2):
        scheduler.add(make_request(f'a{number}', 100, 'a'))
        scheduler.add(make_request(f'b{number}', 104, 'b'))
    scheduler.refund_unused_output(first)
    # Team a has used 100 tokens; team b has used 112 after one request.
    assert _start_teams(scheduler, 3) == ['b', 'a', 'b']


def test_urgent_request_goes_first_within_credit() -> None:
    """Guards against a fair order that delays an urgent request."""
    scheduler, _ = _make_scheduler()
    scheduler.add(make_request('l0', 1000, 'large'))
    scheduler.start_next(1)
    scheduler.add(make_request('s', 1000, 'small'))
    scheduler.add(make_request('l1', 1000, 'large', timeout_ms=200))
    assert _start_teams(scheduler, 2) == ['large', 'small']


def test_urgent_requests_do_not_exceed_fair_share() -> None:
    """Guards against a team that gains more with short deadlines."""
    scheduler, _ = _make_scheduler()
    for number in range(200):
        scheduler.add(
            make_request(f'l{number}', 4000, 'large', timeout_ms=200),
        )
        scheduler.add(make_request(f's{number}', 4000, 'small'))
    counts = Counter(_start_teams(scheduler, 60))
    assert counts['small'] >= 20


def test_free_request_waits_for_queued_paid_requests() -> None:
    """Guards against free requests that start before paid ones."""
    scheduler, running = _make_scheduler()
    scheduler.add(make_request('free', 100, 'volunteers', paid=False))
    scheduler.add(make_request('long', 20_000, 'crew'))
    scheduler.add(make_request('longer', 20_000, 'crew'))
    first = scheduler.start_next(10)
    assert first is not None
    running.add(first)
    # The second long prompt waits for the first, and the free request
    # for the second.
    assert scheduler.start_next(10) is None


def test_free_work_leaves_memory_to_paid_work() -> None:
    """Guards against free requests that fill the engine's memory."""
    scheduler, running = _make_scheduler()
    for number in range(10):
        free = make_request(f'f{number}', 1_500_000, 'volunteers', paid=False)
        scheduler.add(free)
    started = [scheduler.start_next(64)]
    while started[-1] is not None:
        running.add(started[-1])
        running.mark_prefill_done(started[-1])
        started.append(scheduler.start_next(64))
    assert len(started) == 5
    scheduler.add(make_request('paid', 2_000_000, 'crew'))
    assert scheduler.start_next(64) is not None


def test_paid_long_prompt_preempts_a_free_one() -> None:
    """Guards against a paid long prompt that waits for a free one."""
    scheduler, running = _make_scheduler()
    scheduler.add(make_request('free', 100_000, 'volunteers', paid=False))
    free = scheduler.start_next(64)
    assert free is not None
    running.add(free)
    scheduler.add(make_request('paid', 100_000, 'crew'))
    assert scheduler.start_next(64) is None
    assert scheduler.select_preemptions(64) == [free]
    free.preempted = True
    assert scheduler.select_preemptions(64) == []


def test_only_needed_requests_are_preempted() -> None:
    """Guards against preempting more free requests than needed."""
    scheduler, running = _make_scheduler()
    for number in range(4):
        scheduler.add(make_request(f'f{number}', 100, 'volunteers', paid=False))
        free = scheduler.start_next(8)
        assert free is not None
        running.add(free)
    scheduler.add(make_request('paid', 100, 'crew'))
    first = scheduler.select_preemptions(4)
    assert len(first) == 1
    first[0].preempted = True
    # A second selection before the first victim has ended adds no other.
    assert scheduler.select_preemptions(4) == []
