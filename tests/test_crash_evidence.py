"""Which keys of prompts are held, from the evidence of crashes."""

from collections.abc import Iterable
from typing import Final

import anyio
import msgspec
import pytest

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.crash_evidence import (
    EVIDENCE_TTL_S,
    INITIAL_HOLD_S,
    MAX_CRASHES,
    CrashEvidence,
    Suspect,
)
from masticwind.serving.crash_link import CrashLink
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.evidence_link import CrashReport
from masticwind.serving.fingerprints import MAX_PARTS, fingerprint
from masticwind.serving.peers import EntryPeers
from masticwind.serving.quarantine import Quarantine, RunningPrompt
from tests.entry_harness import peers_of_each_entry, sample_settings
from tests.manual_clock import ManualClock

FIRST: Final = 'first'
POISON: Final = 'poison'
# The parts of prompts.
Prompts = Iterable[tuple[str, ...]]


class QuarantineHarness:
    """An entry's quarantine, of which a test makes the crashes."""

    def __init__(
        self, peers: EntryPeers | None = None, link: CrashLink | None = None
    ) -> None:
        cfg = sample_settings()
        self.clock = ManualClock()
        peers = peers or EntryPeers(cfg)
        self.link = link or CrashLink(
            PeerSocket(cfg), peers, CrashEvidence(self.clock)
        )
        self.evidence = self.link.evidence
        self.quarantine = Quarantine(self.link, peers)
        self._engines = 0
        self._requests = 0

    def start(
        self, parts: tuple[str, ...], state: AttemptState | None = None
    ) -> RunningPrompt:
        """Send a prompt to an engine."""
        return self.quarantine.start(
            fingerprint(parts), self._new_id(), state or AttemptState()
        )

    def check(self, *parts: str) -> Failure | None:
        """Return the rejection of a prompt."""
        return self.quarantine.check(fingerprint(parts), self._new_id())

    def is_held(self, *parts: str) -> bool:
        """Tell whether a prompt with these parts is rejected."""
        return self.check(*parts) is not None

    def _new_id(self) -> str:
        self._requests += 1
        return f'r{self._requests}'

    def crash(
        self,
        begun: Prompts = (),
        waiting: Prompts = (),
    ) -> None:
        """Crash an engine with prompts that had begun or only waited."""
        self.crash_together([(begun, waiting)])

    def crash_together(
        self,
        crashes: Iterable[tuple[Prompts, Prompts]],
    ) -> None:
        """Crash engines whose prompts had all been sent before."""
        running: list[tuple[RunningPrompt, str]] = []
        for begun, waiting in crashes:
            self._engines += 1
            engine = f'e-{self._engines}'
            for prompts, answer_begun in ((begun, True), (waiting, False)):
                for parts in prompts:
                    state = AttemptState(answer_begun=answer_begun)
                    running.append((self.start(parts, state), engine))
        for one, engine in running:
            self.quarantine.end(one)
            self.quarantine.record_crash(one, engine, '1')

    def answer(self, *parts: str) -> None:
        """Answer a prompt."""
        running = self.start(parts)
        self.quarantine.end(running)
        self.quarantine.record_sound(running)


def test_part_is_held_after_crashes_under_two_prompts() -> None:
    """Guards against more crashes than it takes to find the part."""
    harness = QuarantineHarness()
    harness.crash(begun=[(FIRST, POISON, 'a')])
    assert not harness.is_held(FIRST, POISON, 'b')
    harness.answer(FIRST, 'c')
    harness.crash(begun=[(FIRST, POISON, 'b')])
    assert harness.is_held(FIRST, POISON, 'd')
    assert not harness.is_held(FIRST, 'd')


def test_prompt_is_held_after_its_second_crash() -> None:
    """Guards against a caller that returns with a prompt until all engines
    have ended, and against holding parts of it on the word of one prompt.
    """
    harness = QuarantineHarness()
    for _ in range(2):
        harness.crash(begun=[(FIRST, POISON, 'a')])
    assert harness.is_held(FIRST, POISON, 'a')
    assert not harness.is_held(FIRST, POISON, 'b')


def test_first_part_of_poison_prompts_is_not_held() -> None:
    """Guards against the rejection of all prompts of a caller, when none of
    them was answered between the crashes.
    """
    harness = QuarantineHarness()
    for own in ('a', 'b', 'c'):
        harness.crash(begun=[(FIRST, POISON, own)])
    assert harness.is_held(FIRST, POISON, 'd')
    assert not harness.is_held(FIRST, 'd')
    assert not harness.is_held(POISON, 'd')


@pytest.mark.parametrize('culprit', [FIRST, POISON])
def test_prompt_with_one_of_two_accused_parts_shows_the_culprit(
    culprit: str,
) -> None:
    """Guards against evidence that stays ambiguous between two parts."""
    harness = QuarantineHarness()
    for own in ('a', 'b'):
        harness.crash(begun=[(FIRST, POISON, own)])
    sound = FIRST if culprit == POISON else POISON
    harness.crash(begun=[(culprit, 'd')])
    harness.answer(sound, 'e')
    assert harness.is_held(culprit, 'f')
    assert not harness.is_held(sound, 'f')


def test_poison_prompts_that_lack_common_parts_cost_a_crash_for_each() -> None:
    """Guards against more crashes than there are parts to tell apart."""
    harness = QuarantineHarness()
    shared = ('shared-0', 'shared-1', 'shared-2')
    crashes = 0
    for number in range(20):
        parts = (FIRST, *shared[: number % 4], POISON, f'own-{number}')
        if not harness.is_held(*parts):
            harness.crash(begun=[parts])
            crashes += 1
    assert crashes <= 2 + len(shared)


def test_engines_that_crash_together_accuse_no_part() -> None:
    """Guards against large parts held because a zone has failed."""
    harness = QuarantineHarness()
    prompts = [(FIRST, f'own-{number}') for number in range(4)]
    harness.crash_together((prompts, ()) for _ in range(7))
    assert not harness.is_held(FIRST, 'next')


def test_answers_between_crashes_clear_a_part() -> None:
    """Guards against a part held for crashes in series under load."""
    harness = QuarantineHarness()
    for number in range(20):
        harness.crash(begun=[(FIRST, f'own-{number}')])
        harness.answer(FIRST, f'next-{number}')
    assert not harness.is_held(FIRST, 'last')


def test_crashes_in_quick_succession_accuse_no_part_answered_before() -> None:
    """Guards against a hot part held for crashes between two answers."""
    harness = QuarantineHarness()
    harness.answer(FIRST, 'shared', 'before')
    for number in range(3):
        harness.crash(begun=[(FIRST, 'shared', f'own-{number}')])
        assert not harness.is_held(FIRST, 'shared', 'next')
    assert not harness.is_held(FIRST, 'next')


def test_part_that_becomes_poison_is_held_before_the_fifth_crash() -> None:
    """Guards against answers of the past that excuse a part for ever."""
    harness = QuarantineHarness()
    harness.answer(POISON, 'before')
    for number in range(4):
        assert not harness.is_held(POISON, 'next')
        harness.crash(begun=[(POISON, f'own-{number}')])
    assert harness.is_held(POISON, 'next')


def test_prompts_that_waited_are_not_blamed_beside_one_that_had_begun() -> None:
    """Guards against a sound part that shares engines with a poison one."""
    harness = QuarantineHarness()
    for own in ('a', 'b', 'c', 'd', 'e'):
        harness.crash(begun=[(POISON, own)], waiting=[('hot', own)])
    assert harness.is_held(POISON, 'f')
    assert not harness.is_held('hot', 'f')


def test_part_is_held_though_no_head_of_an_answer_arrives() -> None:
    """Guards against engines that end before the head reaches the entry."""
    harness = QuarantineHarness()
    for own in ('a', 'b', 'c', 'd'):
        harness.crash(waiting=[(POISON, own)])
    assert harness.is_held(POISON, 'e')


def test_prompts_that_waited_together_share_the_blame() -> None:
    """Guards against sound parts held for a few crashes under load."""
    harness = QuarantineHarness()
    for number in range(12):
        assert not harness.is_held(POISON, 'e')
        harness.crash(
            waiting=[
                (POISON, f'own-{number}'),
                (f'other-{number}', f'own-{number}'),
                (f'third-{number}', f'own-{number}'),
            ]
        )
    assert harness.is_held(POISON, 'e')
    assert not harness.is_held('other-1', 'e')


def test_last_part_is_not_held() -> None:
    """Guards against blaming the part that belongs to one request alone."""
    harness = QuarantineHarness()
    for number in range(5):
        harness.crash(begun=[(f'first-{number}', 'own')])
    assert not harness.is_held('first-9', 'own')
    assert not harness.is_held('own')


def test_rejection_says_not_run_and_when_the_hold_ends() -> None:
    """Guards against callers that are told to return within the hold."""
    harness = QuarantineHarness()
    for own in ('a', 'b'):
        harness.crash(begun=[(POISON, own)])
    harness.clock.now += 10
    rejection = harness.check(POISON, 'c')
    assert rejection is not None
    assert rejection.kind is ErrorKind.QUARANTINED
    expected_ms = (INITIAL_HOLD_S - 10) * 1000
    assert expected_ms <= rejection.retry_after_ms <= expected_ms + 1


def test_hold_doubles_with_each_crash() -> None:
    """Guards against a trial, and so a crash, every few seconds."""
    harness = QuarantineHarness()
    for own in ('a', 'b', 'c', 'd', 'e'):
        harness.crash(begun=[(POISON, own)])
    harness.clock.now += INITIAL_HOLD_S * 8 - 1
    assert harness.is_held(POISON, 'f')
    harness.clock.now += 2
    assert not harness.is_held(POISON, 'f')


def test_one_entry_tries_a_held_part_once_in_a_period() -> None:
    """Guards against trials of several entries, and of several prompts."""
    harnesses = [QuarantineHarness(peers) for peers in peers_of_each_entry(7)]
    for harness in harnesses:
        for own in ('a', 'b'):
            harness.crash(begun=[(POISON, own)])
    for _ in range(3):
        tried = 0
        for harness in harnesses:
            harness.clock.now += INITIAL_HOLD_S
            tried += not harness.is_held(POISON, 'c')
            tried += not harness.is_held(POISON, 'd')
        assert tried == 1


def test_answered_trial_releases_a_part() -> None:
    """Guards against a part that stays held though it is sound by now."""
    harness = QuarantineHarness()
    for own in ('a', 'b'):
        harness.crash(begun=[(POISON, own)])
    harness.clock.now += INITIAL_HOLD_S
    assert not harness.is_held(POISON, 'c')
    assert harness.is_held(POISON, 'd')
    harness.answer(POISON, 'c')
    assert not harness.is_held(POISON, 'd')


@pytest.mark.anyio
async def test_prompts_on_an_engine_are_recalled_when_held() -> None:
    """Guards against crashes by prompts that were sent before the hold."""
    harness = QuarantineHarness()
    scopes = {
        name: anyio.CancelScope() for name in ('poison', 'sound', 'begun')
    }
    harness.start((POISON, 'x'), AttemptState(scope=scopes['poison']))
    harness.start(('sound', 'x'), AttemptState(scope=scopes['sound']))
    begun = AttemptState(event_count=1, scope=scopes['begun'])
    harness.start((POISON, 'y'), begun)
    for own in ('a', 'b'):
        harness.crash(begun=[(POISON, own)])
    recalled = [name for name, scope in scopes.items() if scope.cancel_called]
    assert recalled == ['poison']


def test_evidence_expires() -> None:
    """Guards against memory of crashes that grows for ever."""
    harness = QuarantineHarness()
    for own in ('a', 'b'):
        harness.crash(begun=[(POISON, own)])
    harness.clock.now += EVIDENCE_TTL_S + 1
    harness.evidence.remove_expired()
    assert not harness.evidence.crashes()
    assert not harness.evidence.score(POISON)
    assert not harness.is_held(POISON, 'c')


def test_other_crashes_do_not_evict_a_held_part() -> None:
    """Guards against a caller that makes entries forget a held part."""
    harness = QuarantineHarness()
    for own in ('a', 'b'):
        harness.crash(begun=[(POISON, own)])
    for number in range(2 * MAX_CRASHES):
        harness.clock.now += 0.01
        parts = tuple(f'part-{number}-{one}' for one in range(9))
        harness.crash(begun=[parts])
    assert len(harness.evidence.crashes()) <= MAX_CRASHES
    assert harness.is_held(POISON, 'c')


def test_number_and_length_of_parts_are_limited() -> None:
    """Guards against reports that exceed a datagram."""
    parts = tuple(f'{number:0>2000}' for number in range(9))
    prompt = fingerprint(parts[:8])
    assert len(set(prompt.parts)) == len(prompt.parts) == 7
    assert max(map(len, prompt.keys)) <= 64
    assert not fingerprint(parts).parts
    digits = tuple(map(chr, range(0x100, 0x100 + MAX_PARTS)))
    assert len(fingerprint(digits).parts) == MAX_PARTS - 1
    assert not fingerprint((*digits, 'x')).parts


def test_reports_of_long_names_and_long_series_can_be_read() -> None:
    """Guards against crashes that other entries cannot read of."""
    harness = QuarantineHarness()
    for number in range(MAX_CRASHES + 20):
        running = harness.quarantine.start(
            fingerprint((FIRST * 40, POISON, f'own-{number}')),
            f'{number}'.ljust(200, 'r'),
            AttemptState(answer_begun=True),
        )
        harness.quarantine.end(running)
        harness.quarantine.record_crash(
            running, f'{number}'.ljust(300, 'e'), '1'
        )
    for report in harness.link.reports():
        content = msgspec.msgpack.encode(report)
        assert msgspec.msgpack.decode(content, type=CrashReport) == report


def test_suspect_without_scores_does_not_stop_the_evidence() -> None:
    """Guards against a faulty report that raises an exception."""
    harness = QuarantineHarness()
    suspect = Suspect('r', True, 'prompt:x', (POISON,), ())
    harness.evidence.merge('e/1', harness.clock(), (suspect,))
    assert harness.evidence.score(POISON)
