"""Evidence of which parts are left out, since lists and reports are limited.

All limits are far lower than in use, in about the same proportions.
"""

from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final
from unittest.mock import patch

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.serving.crash_archive import CrashArchive
from masticwind.serving.crash_evidence import (
    BEGUN_SCORE,
    HELD_SCORE,
    MAX_CLEARED,
    MAX_CRASHES,
    CrashEvidence,
    Suspect,
)
from masticwind.serving.evidence_link import split_report
from masticwind.serving.fingerprints import fingerprint
from tests.manual_clock import ManualClock
from tests.test_crash_archive import RecordingStore
from tests.test_crash_evidence import POISON, QuarantineHarness
from tests.test_crash_machine import ENTRIES, ModelEntry
from tests.test_long_prompts import ASCII, shared_parts

LIMITS: Final = MappingProxyType(
    {
        'MAX_SUSPECTS': 4,
        'MAX_CRASH_KEYS': 140,
        'MAX_CLEARED': 140,
        'MAX_CRASHES': 6,
        'MAX_EVIDENCE_KEYS': 380,
    }
)
MAX_REPORT_BYTES: Final = 900
NO_LIMIT: Final = 1_000_000
SHARED: Final = tuple(f's{number}' for number in range(36))
# Crashes after which the users require the part to be held.
REQUIRED_CRASHES: Final = 5
MAX_BYSTANDERS: Final = 5

entry_numbers = st.integers(0, ENTRIES - 1)
some_parts = st.lists(st.sampled_from(SHARED), unique=True).map(tuple)
any_parts = st.one_of(some_parts, st.just(SHARED))


@contextmanager
def limits(values: Mapping[str, int]) -> Iterator[None]:
    """Apply limits to all evidence."""
    with ExitStack() as stack:
        for name, value in values.items():
            path = f'masticwind.serving.crash_evidence.{name}'
            stack.enter_context(patch(path, value))
        yield


@dataclass(frozen=True)
class Bystander:
    """A sound prompt on an engine that crashes under another one."""

    number: int
    parts: tuple[str, ...]
    answer_begun: bool


begun = st.builds(Bystander, entry_numbers, any_parts, st.just(True))
waiting = st.builds(Bystander, entry_numbers, any_parts, st.just(False))
bystanders = st.lists(st.one_of(begun, waiting), max_size=MAX_BYSTANDERS)
# An engine rarely begins to answer two prompts at the same moment.
usual_bystanders = st.builds(
    list.__add__,
    st.lists(begun, max_size=1),
    st.lists(waiting, max_size=MAX_BYSTANDERS),
)


@dataclass
class LimitedFleet:
    """Entries with limited evidence, and one evidence that has all of it."""

    clock: ManualClock = field(default_factory=ManualClock)
    names: int = 0
    network: list[tuple[int, int, bytes]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the entries."""
        self.entries = [ModelEntry(one, self.clock) for one in range(ENTRIES)]
        self.whole = CrashEvidence(self.clock)
        for entry in self.entries:
            vars(entry.link).update(_max_report_bytes=MAX_REPORT_BYTES)

    def new_name(self) -> str:
        """Return a name that was not used before."""
        self.names += 1
        return f'n{self.names}'

    def is_held(self, number: int, parts: tuple[str, ...]) -> bool:
        """Tell whether an entry rejects a prompt."""
        prompt = fingerprint((*parts, self.new_name()))
        return self.entries[number].evidence.find_hold(prompt) is not None

    def crash(
        self, number: int, parts: tuple[str, ...], others: list[Bystander]
    ) -> None:
        """Crash an engine under a poison prompt of an entry."""
        crash_id = self.new_name()
        for one in (*others, Bystander(number, parts, answer_begun=True)):
            evidence = self.entries[one.number].evidence
            prompt = fingerprint((*one.parts, self.new_name()))
            suspect = Suspect(
                request_id=self.new_name(),
                answer_begun=one.answer_begun,
                prompt=prompt.whole,
                parts=prompt.parts,
                prior_scores=evidence.prior_scores(prompt.keys),
            )
            self.entries[one.number].link.report_crash(crash_id, suspect)
            with limits(dict.fromkeys(LIMITS, NO_LIMIT)):
                self.whole.merge(crash_id, self.clock(), (suspect,))
        self.clock.now += 1

    def answer(self, number: int, parts: tuple[str, ...]) -> None:
        """Answer a sound prompt of an entry, unless it is rejected."""
        if self.is_held(number, parts):
            return
        prompt = fingerprint((*parts, self.new_name()))
        entry = self.entries[number]
        # An answer says nothing about a crash that its entry does not know.
        accused: dict[str, list[str]] = {}
        for crash_id, key in entry.evidence.accusations(prompt.keys):
            accused.setdefault(crash_id, []).append(key)
        entry.link.clear(prompt.keys)
        with limits(dict.fromkeys(LIMITS, NO_LIMIT)):
            self.whole.clear(accused)

    def deliver(self, losses: list[bool]) -> None:
        """Deliver what was sent; `losses` tells which datagrams are lost."""
        while True:
            for number, entry in enumerate(self.entries):
                for receiver, content in entry.take_sent():
                    self.network.append((number, receiver, content))
            if not self.network:
                return
            source, target, datagram = self.network.pop(0)
            if losses and losses.pop():
                continue
            self.entries[target].receive(datagram, source)

    def repair(self) -> None:
        """Exchange all that the entries know, without losses."""
        self.deliver([])
        for _ in range(3):
            for entry in self.entries:
                for peer in entry.peers.others():
                    entry.link.send(entry.link.reports(), peer)
            self.deliver([])


@dataclass(frozen=True)
class Round:
    """A poison prompt, the prompts beside it, and the sound ones after it.

    The poison part stands at a position among the shared ones.
    """

    number: int
    shared: tuple[str, ...]
    position: int
    others: list[Bystander]
    answered: list[tuple[int, tuple[str, ...]]] = field(default_factory=list)
    losses: list[bool] = field(default_factory=list)

    @property
    def parts(self) -> tuple[str, ...]:
        """The parts of the poison prompt."""
        head, tail = self.shared[: self.position], self.shared[self.position :]
        return (*head, POISON, *tail)


positions = st.integers(0, len(SHARED))
usual_rounds = st.builds(
    Round, entry_numbers, any_parts, positions, usual_bystanders
)
lossy_rounds = st.builds(
    Round,
    entry_numbers,
    any_parts,
    positions,
    bystanders,
    answered=st.lists(st.tuples(entry_numbers, any_parts), max_size=2),
    losses=st.lists(st.booleans(), max_size=40),
)


@settings(max_examples=150, deadline=None)
@given(
    rounds=st.lists(
        usual_rounds,
        min_size=REQUIRED_CRASHES + 3,
        max_size=REQUIRED_CRASHES + 6,
    )
)
def test_culprit_is_held_by_the_fifth_crash(rounds: list[Round]) -> None:
    """Guards against engines that crash on since the culprit is not among the
    suspects or the parts that are kept.
    """
    with limits(LIMITS):
        fleet = LimitedFleet()
        crashes = 0
        for one in rounds:
            if fleet.is_held(one.number, one.parts):
                continue
            fleet.crash(one.number, one.parts, one.others)
            crashes += 1
            fleet.repair()
            for number in range(ENTRIES):
                fleet.answer(number, SHARED)
            fleet.repair()
            assert crashes <= REQUIRED_CRASHES
        for number in range(ENTRIES):
            assert not fleet.is_held(number, SHARED)


@settings(max_examples=120, deadline=None)
@given(
    rounds=st.lists(lossy_rounds, max_size=10),
    asked=st.lists(any_parts, min_size=1, max_size=4),
)
def test_cut_evidence_holds_no_sound_prompt_that_all_of_it_would_not(
    rounds: list[Round], asked: list[tuple[str, ...]]
) -> None:
    """Guards against a list that was cut and is taken for the whole."""
    with limits(LIMITS):
        fleet = LimitedFleet()
        for one in rounds:
            fleet.crash(one.number, one.parts, one.others)
            fleet.deliver(one.losses)
            for number, sound in one.answered:
                fleet.answer(number, sound)
                fleet.deliver(one.losses)
        fleet.repair()
        for parts in asked:
            prompt = fingerprint((*parts, 'own'))
            if fleet.whole.find_hold(prompt) is not None:
                continue
            for entry in fleet.entries:
                assert entry.evidence.find_hold(prompt) is None


def test_suspects_beyond_the_keys_of_a_crash_share_its_score() -> None:
    """Guards against parts that are accused more as suspects were dropped."""
    harness = QuarantineHarness()
    prompts = [shared_parts(ASCII, 3, 4096 * number) for number in range(4)]
    harness.crash(begun=[(*parts, 'own') for parts in prompts])
    scores = {harness.evidence.score(parts[0]) for parts in prompts}
    assert scores == {0, BEGUN_SCORE // 4}


def test_cleared_keys_of_suspects_stay_beyond_the_limit() -> None:
    """Guards against parts that stay accused since others have been cleared."""
    evidence = CrashEvidence()
    prompt = fingerprint((*SHARED, 'own'))
    suspect = Suspect('r', True, prompt.whole, prompt.parts, ())
    others = [f'other-{number}' for number in range(MAX_CLEARED)]
    evidence.merge('e/1', evidence.clock(), (suspect,), others)
    evidence.merge('e/1', evidence.clock(), (), SHARED)
    assert not any(evidence.score(part) for part in SHARED)


def test_crash_that_was_dropped_is_not_taken_again() -> None:
    """Guards against entries that replace crashes by each other's for ever."""
    clock = ManualClock()
    evidence = CrashEvidence(clock)
    reports: list[tuple[str, float, Suspect]] = []
    for number in range(MAX_CRASHES + 1):
        prompt = fingerprint((f'part-{number}', 'own'))
        suspect = Suspect('r', True, prompt.whole, prompt.parts, ())
        reports.append((f'e-{number}/1', clock(), suspect))
        clock.now += 1
    for crash_id, observed_at, suspect in reports:
        evidence.merge(crash_id, observed_at, (suspect,))
    crash_id, observed_at, suspect = reports[0]
    assert not evidence.is_known(crash_id)
    assert not evidence.merge(crash_id, observed_at, (suspect,))
    assert evidence.is_known(reports[1][0])


@settings(max_examples=100, deadline=None)
@given(
    parts=st.lists(any_parts, min_size=1, max_size=6),
    cleared=any_parts,
    arriving=st.lists(st.booleans(), min_size=40, max_size=40),
)
def test_report_that_arrives_in_part_is_weaker_evidence(
    parts: list[tuple[str, ...]], cleared: tuple[str, ...], arriving: list[bool]
) -> None:
    """Guards against evidence that gets stronger by a lost datagram."""
    clock = ManualClock()
    sender, receiver = ModelEntry(0, clock), ModelEntry(1, clock)
    for number, shared in enumerate(parts):
        prompt = fingerprint((*shared, f'own-{number}'))
        suspect = Suspect(f'r{number}', True, prompt.whole, prompt.parts, ())
        sender.link.report_crash('e/1', suspect)
    sender.link.clear(cleared)
    reports = split_report(sender.link.report_of('e/1'), MAX_REPORT_BYTES)
    for report, arrives in zip(reports, arriving, strict=False):
        if arrives:
            receiver.link.apply(report)
    for part in SHARED:
        assert receiver.evidence.score(part) <= sender.evidence.score(part)
    for report in reports:
        receiver.link.apply(report)
    assert (
        receiver.evidence.crashes().keys() == sender.evidence.crashes().keys()
    )
    for part in SHARED:
        assert receiver.evidence.score(part) == sender.evidence.score(part)


@pytest.mark.anyio
async def test_report_cut_for_the_store_keeps_its_cleared_keys() -> None:
    """Guards against sound parts that are held after a restart of all entries,
    as the report in the store has no room for what was cleared.
    """
    clock = ManualClock()
    entry, restarted = (ModelEntry(one, clock) for one in range(2))
    harness = QuarantineHarness(entry.peers, entry.link)
    store = RecordingStore()
    archive = CrashArchive(store, 'crashes/', entry.link)
    for number in range(HELD_SCORE):
        owns = (f'own-{number}-{one}' for one in range(8))
        harness.crash(begun=[(*SHARED, POISON, own) for own in owns])
        harness.answer(*SHARED, f'sound-{number}')
    whole = max(
        len(msgspec.json.encode(entry.link.report_of(one)))
        for one in entry.evidence.crashes()
    )
    with patch('masticwind.serving.crash_archive.MAX_VALUE_BYTES', whole - 1):
        assert await archive.write_held() is None
    await CrashArchive(store, 'crashes/', restarted.link).load()
    assert restarted.evidence.score(POISON) >= HELD_SCORE
    for part in SHARED:
        assert not restarted.evidence.score(part)
