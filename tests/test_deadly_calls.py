"""Calls that end each engine that runs them, and come again."""

import itertools
from dataclasses import replace
from http import HTTPStatus
from typing import Final

import anyio
import pytest

from masticwind.budget import Budget
from masticwind.serving import known_calls
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.crash_evidence import (
    EVIDENCE_TTL_S,
    MAX_TRIALS,
    CrashEvidence,
)
from masticwind.serving.crash_link import CrashLink
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.fingerprints import (
    RequestFingerprint,
    call_fingerprint,
)
from masticwind.serving.model import CallerRequest
from masticwind.serving.peers import EntryPeers
from masticwind.serving.quarantine import Quarantine, RunningPrompt
from tests.deadly_fleet import DeadlyFleet, running_deadly_fleet
from tests.entry_harness import (
    ENGINE_SERVICE,
    peers_of_each_entry,
    sample_settings,
)
from tests.manual_clock import ManualClock

pytestmark = pytest.mark.anyio

TEAM: Final = 'team-a'
# Requests and engines have different numbers at all entries.
NUMBERS: Final = itertools.count()
REQUEST: Final = CallerRequest(
    request_id='r1',
    method='POST',
    target=b'/order/1?x=2',
    host='fleet.example',
    path='/order/1',
    forwarded_headers=(),
    budget=Budget.from_ms(3000),
    body=b'lime',
)

DEADLY: Final = 'dead'
# The users' bound: after the third crash, three requests.
MAX_RECEIVED: Final = 3 + 3
ROUNDS: Final = 14
ROUND_S: Final = 0.25
# Up to half a second until an entry sees a new era, and a second of delay.
REWRITE_S: Final = 2.5


async def _repeat(
    fleet: DeadlyFleet, target: str, method: str, body: bytes = b''
) -> None:
    """Repeat a call at all entries in turn."""
    fleet.deadly.add(target)
    for number in range(ROUNDS):
        entry = fleet.entries[number % len(fleet.entries)]
        await fleet.call(entry, target, method=method, body=body)
        await anyio.sleep(ROUND_S)


@pytest.mark.parametrize(
    ('route', 'method', 'body'),
    [('read', 'GET', b''), ('order', 'POST', b'lime')],
)
async def test_deadly_call_stops_reaching_the_engines_of_all_entries(
    route: str, method: str, body: bytes
) -> None:
    """Guards against a call that ends one engine after the other."""
    async with running_deadly_fleet() as fleet:
        target = f'/{route}/{DEADLY}'
        await _repeat(fleet, target, method, body)
        assert fleet.received[target] <= MAX_RECEIVED
        await anyio.sleep(1)
        sound = await fleet.call(fleet.entries[0], f'/{route}/sound')
        assert sound.status == HTTPStatus.OK


async def test_deadly_stream_without_prompt_parts_is_held() -> None:
    """Guards against a stream that ends one engine after the other, because
    its prompt has no parts.
    """
    async with running_deadly_fleet() as fleet:
        fleet.service = ENGINE_SERVICE
        for _ in range(3):
            await fleet.start_engine()
        await fleet.wait_for_engines(6)
        await _repeat(fleet, f'/chat/{DEADLY}', 'POST')
        assert fleet.received[f'/chat/{DEADLY}'] <= MAX_RECEIVED


async def test_body_is_not_read_for_a_fingerprint_without_crashes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a digest of each body on the path of every call."""

    def fail(req: CallerRequest, team: str) -> RequestFingerprint:
        raise AssertionError(req.path)

    monkeypatch.setattr(known_calls, 'call_fingerprint', fail)
    async with running_deadly_fleet() as fleet:
        for _ in range(5):
            answer = await fleet.call(fleet.entries[0], '/read/a')
            assert answer.status == HTTPStatus.OK


async def test_rejected_call_did_not_run_and_names_a_time() -> None:
    """Guards against callers that return at once with a held call."""
    async with running_deadly_fleet() as fleet:
        target = f'/order/{DEADLY}'
        await _repeat(fleet, target, 'POST')
        received = fleet.received[target]
        answer = await fleet.call(fleet.entries[0], target, method='POST')
        assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert float(answer.headers['retry-after']) > 10
        assert fleet.received[target] == received


async def test_held_call_survives_a_restore_and_the_end_of_all_entries() -> (
    None
):
    """Guards against a held call that ends engines again, because the store
    has lost the reports before all entries are started again.
    """
    async with running_deadly_fleet() as fleet:
        copy = fleet.store.copy()
        target = f'/read/{DEADLY}'
        await _repeat(fleet, target, 'GET')
        fleet.store.restore(copy)
        for identity in fleet.engines:
            fleet.register_engine(identity)
        # The entries see the new era and write their reports again.
        await anyio.sleep(REWRITE_S)
        for running in fleet.entries:
            running.scope.cancel()
        fleet.entries.clear()
        for _ in range(2):
            await fleet.start_entry()
        await fleet.wait_for_engines(len(fleet.engines))
        await _repeat(fleet, target, 'GET')
        assert fleet.received[target] <= MAX_RECEIVED


@pytest.mark.parametrize(
    'change',
    [
        {'method': 'PUT'},
        {'target': b'/order/1?x=3'},
        {'target': b'/order/2?x=2'},
        {'host': 'other.example'},
        {'body': b'limes'},
    ],
)
def test_different_calls_have_different_fingerprints(
    change: dict[str, str],
) -> None:
    """Guards against a sound call that is held for another one."""
    changed = replace(REQUEST, **change)  # type: ignore[arg-type]
    assert call_fingerprint(changed, TEAM) != call_fingerprint(REQUEST, TEAM)
    assert call_fingerprint(REQUEST, 'team-b') != call_fingerprint(
        REQUEST, TEAM
    )


def test_call_that_comes_again_has_the_same_fingerprint() -> None:
    """Guards against a deadly call that evades under another id or key."""
    again = replace(
        REQUEST,
        request_id='r2',
        api_key='another key of the team',
        budget=Budget.from_ms(100),
        forwarded_headers=((b'X-Attempt-Id', b'r2'),),
    )
    assert call_fingerprint(again, TEAM) == call_fingerprint(REQUEST, TEAM)


class CallHarness:
    """An entry's quarantine, of which a test makes the crashes."""

    def __init__(
        self, peers: EntryPeers | None = None, clock: ManualClock | None = None
    ) -> None:
        cfg = sample_settings()
        self.clock = clock or ManualClock()
        self.evidence = CrashEvidence(self.clock)
        peers = peers or EntryPeers(cfg)
        self.link = CrashLink(PeerSocket(cfg), peers, self.evidence)
        self.quarantine = Quarantine(self.link, peers)

    def send(self, call: str) -> RunningPrompt:
        """Send a call to an engine."""
        return self.quarantine.start(
            _fingerprint(call), f'r{next(NUMBERS)}', AttemptState()
        )

    def crash(self, *calls: str) -> None:
        """End an engine that runs these calls."""
        self.end_engine(*(self.send(call) for call in calls))

    def end_engine(self, *running: RunningPrompt) -> None:
        """End an engine under calls that were sent before."""
        engine = f'e-{next(NUMBERS)}'
        for one in running:
            self.quarantine.end(one)
            self.quarantine.record_crash(one, engine, '1')

    def answer(self, call: str) -> None:
        """Answer a call."""
        running = self.send(call)
        self.quarantine.end(running)
        self.quarantine.record_sound(running)

    def is_held(self, call: str) -> bool:
        """Tell whether a call is rejected."""
        request_id = f'r{next(NUMBERS)}'
        fingerprint = _fingerprint(call)
        return self.quarantine.check(fingerprint, request_id) is not None


def _fingerprint(call: str) -> RequestFingerprint:
    return call_fingerprint(replace(REQUEST, body=call.encode()), TEAM)


def test_call_is_held_after_its_third_crash() -> None:
    """Guards against more crashes than callers allow, and against a call that
    is held for a chance.
    """
    harness = CallHarness()
    for _ in range(2):
        harness.crash(DEADLY)
        assert not harness.is_held(DEADLY)
    harness.crash(DEADLY)
    assert harness.is_held(DEADLY)


def test_deadly_call_is_held_although_other_calls_run_beside_it() -> None:
    """Guards against blame that is spread over calls that come only once."""
    harness = CallHarness()
    for number in range(3):
        harness.crash(DEADLY, f'other-{number}', f'another-{number}')
    assert harness.is_held(DEADLY)
    assert not harness.is_held('other-0')


def test_popular_call_is_not_held_when_engines_end_together() -> None:
    """Guards against a popular call that is refused, because it ran on each
    engine of a zone that failed.
    """
    harness = CallHarness()
    running = [harness.send('popular') for _ in range(6)]
    for one in running:
        harness.end_engine(one)
    assert not harness.is_held('popular')


def test_popular_call_is_not_held_when_engines_end_one_by_one() -> None:
    """Guards against a popular call that is refused, because engines end of
    something else while it runs.
    """
    harness = CallHarness()
    for number in range(12):
        harness.crash('popular', f'other-{number}')
        harness.answer('popular')
        assert not harness.is_held('popular')


def test_two_calls_that_always_run_together_share_the_blame() -> None:
    """Guards against two calls that are held, though one is sound."""
    harness = CallHarness()
    for _ in range(3):
        harness.crash(DEADLY, 'sound')
    assert not harness.is_held('sound')
    harness.answer('sound')
    assert harness.is_held(DEADLY)


def test_trials_of_all_entries_together_are_bounded() -> None:
    """Guards against a held call that ends one engine after each hold."""
    clock = ManualClock()
    entries = [CallHarness(peers, clock) for peers in peers_of_each_entry(3)]
    for number in range(3):
        entries[number].crash(DEADLY)
        _exchange(entries)
    trials = 0
    for _ in range(2_000):
        clock.now += 10
        for entry in entries:
            if not entry.is_held(DEADLY):
                trials += 1
                entry.crash(DEADLY)
                _exchange(entries)
    assert trials == MAX_TRIALS
    assert all(entry.is_held(DEADLY) for entry in entries)


def test_trial_without_a_crash_or_an_answer_counts() -> None:
    """Guards against trials without end, because their fate is unknown."""
    harness = CallHarness()
    for _ in range(3):
        harness.crash(DEADLY)
    trials = 0
    for _ in range(1_000):
        harness.clock.now += 10
        trials += not harness.is_held(DEADLY)
    assert trials == MAX_TRIALS


def test_call_is_served_again_after_an_answer_or_a_release() -> None:
    """Guards against a call that stays refused when engines are mended."""
    for mend in ('answer', 'release'):
        harness = CallHarness()
        for _ in range(3):
            harness.crash(DEADLY)
        if mend == 'answer':
            harness.answer(DEADLY)
        else:
            assert harness.quarantine.release(_fingerprint(DEADLY).whole)
        assert not harness.is_held(DEADLY)


def test_hold_ends_with_its_evidence() -> None:
    """Guards against a call that is refused forever."""
    harness = CallHarness()
    for _ in range(3):
        harness.crash(DEADLY)
    harness.clock.now += EVIDENCE_TTL_S + 1
    harness.link.remove_expired()
    assert not harness.is_held(DEADLY)


def _exchange(entries: list[CallHarness]) -> None:
    for entry in entries:
        for report in entry.link.reports():
            for other in entries:
                other.link.apply(report)
