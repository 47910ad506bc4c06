"""State machines of the ledger and the scheduler, and the fair order."""

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
from tests.executor_harness import Recorder, agent_settings, offer_of

TOTAL = 100_000
CAPACITY = 4
OWNERS = st.sampled_from(['a', 'b', 'c', 'd'])
TOKENS = st.integers(0, TOTAL)


class LedgerMachine(RuleBasedStateMachine):
    """Guards against reservations that are lost, doubled or too large."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = MemoryLedger()
        self.ledger.total_tokens = TOTAL
        self.held: dict[OwnerKey, int] = {}

    @rule(owner=OWNERS, tokens=TOKENS)
    def reserve(self, owner: str, tokens: int) -> None:
        """Reserve, and compare the decision with the model's."""
        fits = sum(self.held.values()) + tokens <= TOTAL
        granted = self.ledger.reserve(owner, tokens)
        assert granted == (owner in self.held or fits)
        if granted:
            self.held.setdefault(owner, tokens)

    @rule(owner=OWNERS, tokens=TOKENS)
    def adopt(self, owner: str, tokens: int) -> None:
        """Record what an engine holds already."""
        self.ledger.record_held(owner, tokens)
        self.held[owner] = tokens

    @rule(owner=OWNERS)
    def free(self, owner: str) -> None:
        """Free, also what nobody holds."""
        self.ledger.release(owner)
        self.held.pop(owner, None)

    @invariant()
    def books_agree(self) -> None:
        """The sum is what the owners hold."""
        assert self.ledger.reserved_tokens == sum(self.held.values())
        assert self.ledger.owners() == set(self.held)
        free = TOTAL - sum(self.held.values())
        assert self.ledger.free_tokens == max(0, free)


class SchedulerMachine(RuleBasedStateMachine):
    """Guards against starvation, inversion of tiers and lost memory."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger = MemoryLedger()
        self.ledger.total_tokens = TOTAL
        cfg = agent_settings()
        self.running = RunningRequests(cfg)
        self.scheduler = Scheduler(
            SchedulerDependencies(cfg, self.ledger, Rates(), self.running),
        )
        self.added = 0
        self.taken = 0

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
        self.scheduler.add(request(name, tokens, team, weight, paid=paid))

    @rule()
    def take(self) -> None:
        """Start the next request."""
        waiting = self.scheduler.queued()
        req = self.scheduler.start_next(CAPACITY)
        if req is None:
            return
        assert req.offer.paid or not any(one.offer.paid for one in waiting)
        self.taken += 1
        self.running.add(req)

    @precondition(lambda machine: bool(machine.running))
    @rule(data=st.data())
    def first_token(self, data: st.DataObject) -> None:
        """Let one running request reach its output."""
        self.running.mark_prefill_done(
            data.draw(st.sampled_from(list(self.running))),
        )

    @precondition(lambda machine: bool(machine.running))
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        """Let one running request end."""
        self.end(data.draw(st.sampled_from(list(self.running))))

    def end(self, req: AgentRequest) -> None:
        """Free what a request holds."""
        self.running.remove(req)
        self.ledger.release(req.key)
        self.scheduler.refund_unused_output(req)

    @invariant()
    def memory_is_conserved(self) -> None:
        """Reservations are those of the running requests, and fit."""
        held = sum(req.memory_tokens for req in self.running)
        assert self.ledger.reserved_tokens == held
        assert held <= TOTAL
        assert len(self.running) <= CAPACITY
        long = [
            req.uncached_tokens
            for req in self.running
            if req.prefilling and self.running.is_long(req)
        ]
        # A later long prompt has passed every earlier one.
        for earlier, later in itertools.pairwise(long):
            assert later <= MAX_OVERTAKE_RATIO * earlier

    def teardown(self) -> None:
        """Everything that waits starts, if what runs ends."""
        for left in self.running:
            self.end(left)
        while self.scheduler.queued():
            req = self.scheduler.start_next(CAPACITY)
            assert req is not None
            self.taken += 1
            self.running.add(req)
            self.end(req)
        assert self.taken == self.added
        assert not self.ledger.reserved_tokens


_MACHINE = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = _MACHINE
TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = _MACHINE


def request(
    name: str,
    tokens: int,
    team: str,
    weight: float = 1,
    *,
    paid: bool = True,
    timeout_ms: int = 3_600_000,
) -> AgentRequest:
    """Return a queued request with a distant deadline."""
    offer = offer_of(
        name,
        tokens,
        team=team,
        weight=weight,
        paid=paid,
        body=b'',
        timeout_ms=timeout_ms,
    )
    return AgentRequest(offer, Budget.from_ms(timeout_ms), Recorder())


def _scheduler(rates: Rates | None = None) -> tuple[Scheduler, RunningRequests]:
    cfg = agent_settings()
    running = RunningRequests(cfg)
    ledger = MemoryLedger()
    ledger.total_tokens = 10_000_000
    parts = SchedulerDependencies(cfg, ledger, rates or Rates(), running)
    return Scheduler(parts), running


def _order(scheduler: Scheduler, count: int) -> list[str]:
    taken = [scheduler.start_next(1) for _ in range(count)]
    return [req.offer.team for req in taken if req is not None]


def test_small_team_is_not_crowded_out() -> None:
    """Guards against a large team's queue in front of a small team."""
    scheduler, _ = _scheduler()
    for number in range(100):
        scheduler.add(request(f'l{number}', 1000, 'large'))
    _order(scheduler, 20)
    scheduler.add(request('s', 1000, 'small'))
    assert 'small' in _order(scheduler, 2)


@pytest.mark.parametrize(('weight', 'share'), [(1, 20), (3, 30), (9, 36)])
def test_teams_share_by_weight(weight: float, share: int) -> None:
    """Guards against weights without effect."""
    scheduler, _ = _scheduler()
    for number in range(60):
        scheduler.add(request(f'h{number}', 1000, 'heavy', weight))
        scheduler.add(request(f'l{number}', 1000, 'light'))
    counts = Counter(_order(scheduler, 40))
    assert abs(counts['heavy'] - share) <= 1


def test_output_that_was_not_generated_is_given_back() -> None:
    """Guards against charging a team for its limit instead of its use."""
    scheduler, _ = _scheduler()
    first = request('first', 100, 'a')
    scheduler.add(first)
    scheduler.start_next(1)
    for number in range(2):
        scheduler.add(request(f'a{number}', 100, 'a'))
        scheduler.add(request(f'b{number}', 104, 'b'))
    scheduler.refund_unused_output(first)
    # Team a has used 100 tokens, team b will have used 112 after one.
    assert _order(scheduler, 3) == ['b', 'a', 'b']


def test_urgent_request_goes_first_within_credit() -> None:
    """Guards against a fair order that makes an urgent request late."""
    scheduler, _ = _scheduler()
    scheduler.add(request('l0', 1000, 'large'))
    scheduler.start_next(1)
    scheduler.add(request('s', 1000, 'small'))
    scheduler.add(request('l1', 1000, 'large', timeout_ms=200))
    assert _order(scheduler, 2) == ['large', 'small']


def test_urgency_does_not_outrun_the_fair_share() -> None:
    """Guards against a team that declares everything urgent."""
    scheduler, _ = _scheduler()
    for number in range(200):
        scheduler.add(
            request(f'l{number}', 4000, 'large', timeout_ms=200),
        )
        scheduler.add(request(f's{number}', 4000, 'small'))
    counts = Counter(_order(scheduler, 60))
    assert counts['small'] >= 20


def test_free_work_waits_for_all_paid_work() -> None:
    """Guards against free work that starts before paid work."""
    scheduler, running = _scheduler()
    scheduler.add(request('free', 100, 'volunteers', paid=False))
    scheduler.add(request('long', 20_000, 'crew'))
    scheduler.add(request('longer', 20_000, 'crew'))
    first = scheduler.start_next(10)
    assert first is not None
    running.add(first)
    # The second long prompt waits for the first, and the free one for it.
    assert scheduler.start_next(10) is None


def test_free_work_leaves_memory_to_paid_work() -> None:
    """Guards against free work that fills the engine's memory."""
    scheduler, running = _scheduler()
    for number in range(10):
        free = request(f'f{number}', 1_500_000, 'volunteers', paid=False)
        scheduler.add(free)
    taken = [scheduler.start_next(64)]
    while taken[-1] is not None:
        running.add(taken[-1])
        running.mark_prefill_done(taken[-1])
        taken.append(scheduler.start_next(64))
    assert len(taken) == 5
    scheduler.add(request('paid', 2_000_000, 'crew'))
    assert scheduler.start_next(64) is not None


def test_paid_long_prompt_preempts_a_free_one() -> None:
    """Guards against a free long prompt that keeps a paid one waiting."""
    scheduler, running = _scheduler()
    scheduler.add(request('free', 100_000, 'volunteers', paid=False))
    free = scheduler.start_next(64)
    assert free is not None
    running.add(free)
    scheduler.add(request('paid', 100_000, 'crew'))
    assert scheduler.start_next(64) is None
    assert scheduler.select_preemptions(64) == [free]
    free.preempted = True
    assert scheduler.select_preemptions(64) == []


def test_no_more_is_preempted_than_needed() -> None:
    """Guards against stopping all free work for one paid request."""
    scheduler, running = _scheduler()
    for number in range(4):
        scheduler.add(request(f'f{number}', 100, 'volunteers', paid=False))
        free = scheduler.start_next(8)
        assert free is not None
        running.add(free)
    scheduler.add(request('paid', 100, 'crew'))
    first = scheduler.select_preemptions(4)
    assert len(first) == 1
    first[0].preempted = True
    # Looking again before the engine has let it go stops no other.
    assert scheduler.select_preemptions(4) == []
