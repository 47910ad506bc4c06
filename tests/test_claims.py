"""At-most-once claims under interleaving, crashes and lost messages.

The rounds of two entries run as coroutines that stop before and after each
effect in the key-value service, so that every interleaving of their steps
can be tried without an event loop. Runs are judged from what the service
stand-in executed.
"""

import itertools
from collections import Counter
from collections.abc import Coroutine, Generator
from types import coroutine
from typing import Any

import anyio
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticwind.entry.claim_bucket import ClaimBucket
from masticwind.entry.claim_records import (
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    claim_key,
    decode_head,
)
from masticwind.entry.claim_segments import (
    encode_rows,
    merge_rows,
    search_segment,
)
from masticwind.entry.pending_claims import HeldClaim, PendingClaim, WritePacer
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.settings import ClaimSettings
from masticwind.store.base import (
    Conflict,
    KeyValue,
    Lease,
    Unknown,
    Versioned,
    WriteResult,
    Written,
)
from masticwind_dev.standins.service import ServiceStandin

KEYS = tuple(f'order-{number}' for number in range(6))
FAULTS = ('', '', '', '', 'outage', 'lost_answer', 'late')
DOWN = Failure(kind=ErrorKind.PLATFORM_DOWN, reason='outage')


@coroutine
def _stop() -> Generator[None, str, str]:
    return (yield)


class SteppedKeyValue(KeyValue):
    """Stops at each operation and takes a fault from whoever steps it."""

    def __init__(self) -> None:
        self.data: dict[str, Versioned] = {}
        self.late: list[tuple[str, bytes, int]] = []
        self._revisions = itertools.count(1)

    async def get(self, key: str) -> Versioned | Failure:
        if await _stop() == 'outage':
            return DOWN
        return self.data.get(key, Versioned(None, 0))

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease_id: str = '',
    ) -> WriteResult:
        fault = await _stop()
        if fault == 'outage':
            return DOWN
        if fault == 'late':
            self.late.append((key, value, expected))
            return Unknown('late')
        result = self.swap(key, value, expected)
        if await _stop() or fault:
            return Unknown('lost')
        return result

    async def delete(self, key: str, expected: int) -> WriteResult:
        if await _stop():
            return DOWN
        self.data.pop(key, None)
        return Written(next(self._revisions))

    def swap(self, key: str, value: bytes, expected: int) -> WriteResult:
        """Write at once if the revision is the expected one."""
        revision = self.data.get(key, Versioned(None, 0)).revision
        if revision != expected:
            return Conflict(revision)
        self.data[key] = Versioned(value, next(self._revisions))
        return Written(self.data[key].revision)

    async def keys(self, prefix: str) -> tuple[str, ...] | Failure:
        raise NotImplementedError

    async def watch(
        self,
        key: str,
        after: int,
        wait_s: float,
    ) -> Versioned | Failure:
        raise NotImplementedError

    async def grant(self, ttl_s: float) -> Lease | Failure:
        raise NotImplementedError

    async def keep_alive(self, lease: Lease) -> Lease | Failure:
        raise NotImplementedError

    async def revoke(self, lease: Lease) -> None:
        raise NotImplementedError


class NoPace(WritePacer):
    """Does not wait: the test decides when a round goes on."""

    async def wait_for_slot(self) -> None:
        """Return at once."""


class EntrySteps:
    """One entry: its bucket, the round under way and its calls."""

    def __init__(self, key_value: KeyValue, cfg: ClaimSettings) -> None:
        self.bucket = ClaimBucket('0', key_value, cfg, NoPace(1))
        self.waiters: list[tuple[str, PendingClaim]] = []
        self.sent: list[HeldClaim] = []
        self._round: Coroutine[Any, str | None, None] | None = None

    def step(self, fault: str) -> None:
        """Go on to the next operation of the round, or start a round."""
        if self._round is None:
            self._round = self.bucket.run_round()
            fault = ''
        try:
            self._round.send(fault or None)
        except StopIteration:
            self._round = None

    def run(self) -> None:
        """Complete a whole round without faults."""
        self.step('')
        while self._round is not None:
            self.step('')


async def _execute(service: ServiceStandin, key: str, fencing: int) -> None:
    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': b'', 'more_body': False}

    async def send(_event: dict[str, Any]) -> None:
        await anyio.lowlevel.checkpoint()

    scope = {
        'method': 'POST',
        'raw_path': b'/orders',
        'query_string': b'',
        'headers': [
            (b'idempotency-key', key.encode()),
            (b'x-fencing-token', str(fencing).encode()),
        ],
    }
    await service.app(scope, receive, send)


def new_order(key: str) -> ClaimRequest:
    """Return an order with a fresh writer token."""
    return ClaimRequest(
        key=claim_key('team', key),
        call_digest=b'identity',
        timeout_ms=1000,
    )


class ClaimMachine(RuleBasedStateMachine):
    """Two entries that claim, send, crash and lose messages."""

    def __init__(self) -> None:
        super().__init__()
        self.key_value = SteppedKeyValue()
        # A head this small is sealed after about a dozen claims.
        self.cfg = ClaimSettings(head_bytes=1024, segment_claims=20)
        self.service = ServiceStandin()
        self.entries = [self._entry(), self._entry()]
        self.names: dict[bytes, str] = {}

    def _entry(self) -> EntrySteps:
        return EntrySteps(self.key_value, self.cfg)

    @rule(
        entry=st.integers(0, 1),
        keys=st.lists(st.sampled_from(KEYS), min_size=1, max_size=3),
    )
    def ask(self, entry: int, keys: list[str]) -> None:
        """Take calls from callers, also repeated ones."""
        for key in keys:
            order = new_order(key)
            self.names[order.key] = key
            waiter = self.entries[entry].bucket.enqueue(order)
            self.entries[entry].waiters.append((key, waiter))

    @rule(entry=st.integers(0, 1), number=st.integers(0, 10_000))
    def ask_others(self, entry: int, number: int) -> None:
        """Claim calls that nobody repeats, so that heads are sealed."""
        for offset in range(6):
            self.entries[entry].bucket.enqueue(new_order(f'{number}.{offset}'))

    @rule(
        entry=st.integers(0, 1),
        faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=4),
    )
    def step(self, entry: int, faults: list[str]) -> None:
        """Let an entry go on by some operations."""
        for fault in faults:
            self.entries[entry].step(fault)

    @rule(entry=st.integers(0, 1))
    def whole_round(self, entry: int) -> None:
        """Let an entry complete its round."""
        self.entries[entry].run()

    @rule(entry=st.integers(0, 1))
    def send(self, entry: int) -> None:
        """Send the calls that the entry holds a claim for."""
        steps = self.entries[entry]
        for name, waiter in steps.waiters:
            if isinstance(waiter.result, HeldClaim):
                claimed = waiter.result
                anyio.run(_execute, self.service, name, claimed.fencing_token)
                steps.sent.append(claimed)
        steps.waiters = [
            (key, one) for key, one in steps.waiters if one.result is None
        ]

    @rule(entry=st.integers(0, 1))
    def give_up(self, entry: int) -> None:
        """End calls without sending: out of time, before or after a claim."""
        steps = self.entries[entry]
        for _key, waiter in steps.waiters:
            if waiter.result is None:
                waiter.abandoned = True
            elif isinstance(waiter.result, HeldClaim):
                steps.bucket.enqueue_outcome(
                    _ended(waiter.request, ClaimState.NOT_RUN)
                )
        steps.waiters = []

    @rule(entry=st.integers(0, 1))
    def finish(self, entry: int) -> None:
        """Record the outcomes of calls that were sent."""
        steps = self.entries[entry]
        for claimed in steps.sent:
            steps.bucket.enqueue_outcome(
                _ended(claimed.request, ClaimState.DONE)
            )
        steps.sent = []

    @rule(entry=st.integers(0, 1))
    def crash(self, entry: int) -> None:
        """Replace an entry at whatever step it is."""
        self.entries[entry] = self._entry()

    @rule()
    def land(self) -> None:
        """Let a write take effect long after its answer was given up."""
        if self.key_value.late:
            self.key_value.swap(*self.key_value.late.pop(0))

    @invariant()
    def at_most_once(self) -> None:
        """No order runs twice."""
        runs = Counter(one.order for one in self.service.executions)
        assert all(count == 1 for count in runs.values()), runs

    @invariant()
    def not_run_is_true(self) -> None:
        """An order that ran is on record, and not as one that did not."""
        for run in self.service.executions:
            record = self._stored(claim_key('team', run.order))
            assert record is not None, run
            assert record.state is not ClaimState.NOT_RUN, run

    def _stored(self, key: bytes) -> ClaimRecord | None:
        found = self.key_value.data.get('claims/0', Versioned(None, 0))
        head = decode_head(found.value)
        for record in head.records:
            if record.key == key:
                return record
        for ref in reversed(head.segments):
            rows = self.key_value.data[f'claims/0/{ref.name}'].value
            assert rows is not None
            archived = search_segment(rows, key)
            if archived is not None:
                return archived
        return None


def _ended(order: ClaimRequest, state: ClaimState) -> ClaimRecord:
    return ClaimRecord(
        order.key,
        order.call_digest,
        order.writer_token,
        0,
        order.timeout_ms,
        state,
    )


ClaimMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
TestClaimMachine = ClaimMachine.TestCase


def _pair(cfg: ClaimSettings) -> tuple[SteppedKeyValue, list[EntrySteps]]:
    key_value = SteppedKeyValue()
    return key_value, [EntrySteps(key_value, cfg) for _ in range(2)]


def test_write_that_lands_late_is_not_sent_twice() -> None:
    """Guards against a resend after a write whose answer was lost."""
    key_value, (first, second) = _pair(ClaimSettings())
    mine = first.bucket.enqueue(new_order('a'))
    for fault in ('', '', 'late'):
        first.step(fault)
    theirs = second.bucket.enqueue(new_order('a'))
    key_value.swap(*key_value.late.pop())
    first.run()
    second.run()
    assert isinstance(mine.result, HeldClaim)
    assert isinstance(theirs.result, ClaimRecord)


def test_two_entries_claim_one_key_at_once() -> None:
    """Guards against two processes that both believe they hold a claim."""
    _, (first, second) = _pair(ClaimSettings())
    mine = first.bucket.enqueue(new_order('a'))
    theirs = second.bucket.enqueue(new_order('a'))
    for _ in range(12):
        first.step('')
        second.step('')
    answers = [mine.result, theirs.result]
    assert sum(isinstance(one, HeldClaim) for one in answers) == 1
    assert sum(isinstance(one, ClaimRecord) for one in answers) == 1


def test_fencing_grows_when_a_key_is_claimed_again() -> None:
    """Guards against a service that takes the older of two claims."""
    _, (first, second) = _pair(ClaimSettings())
    mine = first.bucket.enqueue(new_order('a'))
    first.run()
    assert isinstance(mine.result, HeldClaim)
    first.bucket.enqueue_outcome(_ended(mine.request, ClaimState.NOT_RUN))
    first.run()
    again = second.bucket.enqueue(new_order('a'))
    second.run()
    assert isinstance(again.result, HeldClaim)
    assert again.result.fencing_token > mine.result.fencing_token


def test_full_store_refuses_within_the_retention_period() -> None:
    """Guards against dropping claims early to make room for new ones."""
    cfg = ClaimSettings(head_bytes=1024, segment_claims=1, max_segments=2)
    _, (first, _) = _pair(cfg)
    answers: list[Any] = []
    for number in range(60):
        waiter = first.bucket.enqueue(new_order(f'n{number}'))
        first.run()
        answers.append(waiter.result)
    refused = [one for one in answers if isinstance(one, Failure)]
    assert refused
    assert all(not_run(one.kind) for one in refused)
    repeated = first.bucket.enqueue(new_order('n0'))
    first.run()
    assert isinstance(repeated.result, ClaimRecord)


def test_conflict_after_a_seal_leaves_no_segment_behind() -> None:
    """Guards against segments that fill the store and no head names."""
    key_value, (first, second) = _pair(ClaimSettings(head_bytes=1024))
    for number in range(30):
        first.bucket.enqueue(new_order(f'n{number}'))
    # Start, read the head, write the segment.
    for _ in range(4):
        first.step('')
    assert list(key_value.data) != ['claims/0']
    second.bucket.enqueue(new_order('a'))
    second.run()
    first.run()
    first.run()
    head = decode_head(key_value.data['claims/0'].value)
    named = {f'claims/0/{ref.name}' for ref in head.segments}
    assert set(key_value.data) == {'claims/0', *named}
    assert first.bucket.flushed


@pytest.mark.parametrize('count', [1, 2, 50])
def test_segments_find_every_claim(count: int) -> None:
    """Guards against a search or a merge that misses a sealed claim."""
    records = [
        ClaimRecord(claim_key('t', str(number)), b'i' * 8, b'', 0, 0)
        for number in range(count)
    ]
    rows = merge_rows(encode_rows(records[::2]), encode_rows(records[1::2]))
    for record in records:
        found = search_segment(rows, record.key)
        assert found is not None
        assert found.call_digest == record.call_digest
    assert search_segment(rows, claim_key('t', 'other')) is None


def test_old_outcome_leaves_a_newer_claim_alone() -> None:
    """Guards against 'not run' for a call that another entry has sent."""
    key_value, (first, second) = _pair(ClaimSettings())
    mine = first.bucket.enqueue(new_order('a'))
    first.run()
    first.bucket.enqueue_outcome(_ended(mine.request, ClaimState.NOT_RUN))
    # The outcome is written, but the answer is lost, so it stays queued.
    for fault in ('', '', '', 'lost_answer'):
        first.step(fault)
    theirs = second.bucket.enqueue(new_order('a'))
    second.run()
    assert isinstance(theirs.result, HeldClaim)
    first.run()
    stored = decode_head(key_value.data['claims/0'].value).records
    assert [one.state for one in stored] == [ClaimState.CLAIMED]
