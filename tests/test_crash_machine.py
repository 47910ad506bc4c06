"""State machine test of the evidence that entries share about crashes.

Datagrams are lost, doubled and delayed in any order, entries restart without
their evidence, and a partition stops all datagrams between two entries.
"""

from collections.abc import Iterable
from typing import Final

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from masticwind.serving.crash_evidence import CrashEvidence, Suspect
from masticwind.serving.crash_link import CRASH, CrashLink
from masticwind.serving.datagrams import PeerAddress, PeerSocket
from masticwind.serving.evidence_link import CrashReport
from masticwind.serving.fingerprints import fingerprint
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import Item
from tests.entry_harness import sample_settings
from tests.manual_clock import ManualClock

ENTRIES: Final = 3
FIRST_PARTS: Final = ('first-0', 'first-1')
POISON: Final = 'poison'
SHARED_PARTS: Final = ('shared-0', 'shared-1')
# Crashes that one entry causes before it holds the part by itself: two of the
# first prompt, one of another, and one for each other part that all these
# prompts have, when a prompt lacks it.
MAX_OWN_CRASHES: Final = 5

entry_numbers = st.integers(0, ENTRIES - 1)
first_parts = st.sampled_from(FIRST_PARTS)
shared_parts = st.lists(st.sampled_from(SHARED_PARTS), max_size=1)


class RecordingSocket(PeerSocket):
    """Collects the datagrams that an entry sends."""

    def __init__(self, node: str) -> None:
        super().__init__(sample_settings(node))
        self.sent: list[tuple[PeerAddress, bytes]] = []

    def send(
        self, kind: str, message: msgspec.Struct, peers: Iterable[PeerAddress]
    ) -> None:
        """Keep the messages that carry evidence."""
        if kind == CRASH:
            content = msgspec.msgpack.encode(message)
            self.sent.extend((peer, content) for peer in peers)


class ModelEntry:
    """One entry: its evidence, and how it exchanges it."""

    def __init__(self, number: int, clock: ManualClock) -> None:
        node = f'entry-{number}'
        peers = EntryPeers(sample_settings(node))
        peers.replace_all(
            tuple(
                Item(f'entries/entry-{one}', f'10.0.0.{one}:7'.encode(), 1)
                for one in range(ENTRIES)
            )
        )
        self.peers: Final = peers
        self.socket: Final = RecordingSocket(node)
        self.evidence: Final = CrashEvidence(clock)
        self.link: Final = CrashLink(self.socket, peers, self.evidence)
        self.own_crashes = 0

    def held_keys(self) -> dict[str, tuple[frozenset[str], int]]:
        """Return the common parts and the crashes of each held key."""
        return {
            key: (hold.common_parts, hold.crashes)
            for key, hold in self.evidence.holds().items()
        }

    def receive(self, content: bytes, sender: int) -> None:
        """Merge a report of another entry."""
        report = msgspec.msgpack.decode(content, type=CrashReport)
        self.link.receive(report, PeerAddress(f'10.0.0.{sender}', 7))

    def take_sent(self) -> list[tuple[int, bytes]]:
        """Return the datagrams that were sent since the last call."""
        sent = [
            (int(peer.host.rpartition('.')[2]), content)
            for peer, content in self.socket.sent
        ]
        self.socket.sent.clear()
        return sent


class CrashMachine(RuleBasedStateMachine):
    """Entries that send prompts, of which those with one part are poison."""

    @initialize()
    def start(self) -> None:
        """Start all entries."""
        self.clock = ManualClock()
        self.entries = [ModelEntry(one, self.clock) for one in range(ENTRIES)]
        self.network: list[tuple[int, int, bytes]] = []
        self.cut: frozenset[int] = frozenset()
        self.numbers = 0

    @rule(
        number=entry_numbers,
        first=first_parts,
        shared=shared_parts,
        repeats=st.integers(1, 2),
    )
    def send_poison_prompt(
        self, number: int, first: str, shared: list[str], repeats: int
    ) -> None:
        """Send a poison prompt, and again if its entry allows it."""
        entry = self.entries[number]
        parts = (first, *shared, POISON, self._unique_name())
        request_id = self._unique_name()
        for _ in range(repeats):
            prompt = fingerprint(parts)
            if entry.evidence.find_hold(prompt) is not None:
                return
            entry.own_crashes += 1
            entry.link.report_crash(
                self._unique_name(),
                Suspect(
                    request_id=request_id,
                    answer_begun=True,
                    prompt=prompt.whole,
                    parts=prompt.parts,
                    prior_scores=tuple(
                        entry.evidence.score(key) for key in prompt.keys
                    ),
                ),
            )
            self._collect(number)

    @rule(number=entry_numbers, first=first_parts, shared=shared_parts)
    def send_sound_prompt(
        self, number: int, first: str, shared: list[str]
    ) -> None:
        """Send a sound prompt, which is never rejected."""
        entry = self.entries[number]
        prompt = fingerprint((first, *shared, self._unique_name()))
        assert entry.evidence.find_hold(prompt) is None
        entry.link.clear(prompt.keys)
        self._collect(number)

    @precondition(lambda machine: machine.network)
    @rule(data=st.data(), keep=st.booleans())
    def deliver_any(self, data: st.DataObject, keep: bool) -> None:
        """Deliver one datagram, which may come again."""
        index = data.draw(st.integers(0, len(self.network) - 1))
        sender, receiver, content = self.network[index]
        if not keep:
            self.network.pop(index)
        self._deliver(sender, receiver, content)

    @precondition(lambda machine: machine.network)
    @rule(data=st.data())
    def lose_any(self, data: st.DataObject) -> None:
        """Lose one datagram."""
        self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))

    @rule(number=entry_numbers)
    def restart(self, number: int) -> None:
        """Restart an entry, which loses its evidence."""
        self.entries[number] = ModelEntry(number, self.clock)

    @rule(number=entry_numbers)
    def cut_off(self, number: int) -> None:
        """Cut an entry off from the others."""
        self.cut = frozenset((number,))

    @rule()
    def heal(self) -> None:
        """End the partition."""
        self.cut = frozenset()

    @rule(seconds=st.floats(0, 20))
    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.now += seconds

    @rule()
    def exchange_all(self) -> None:
        """Exchange all evidence; then all entries hold the same keys."""
        self.cut = frozenset()
        self._deliver_all()
        # A reply repairs its receiver, which repairs the others next time.
        for _ in range(2):
            for number, entry in enumerate(self.entries):
                for peer in entry.peers.others():
                    entry.link.send(entry.link.reports(), peer)
                self._collect(number)
                self._deliver_all()
        first, *others = self.entries
        for other in others:
            assert other.held_keys() == first.held_keys()

    @invariant()
    def entries_cause_few_crashes(self) -> None:
        """Check that no entry needs more crashes than it would alone."""
        for entry in self.entries:
            assert entry.own_crashes <= MAX_OWN_CRASHES

    def _unique_name(self) -> str:
        self.numbers += 1
        return f'n{self.numbers}'

    def _collect(self, number: int) -> None:
        for receiver, content in self.entries[number].take_sent():
            self.network.append((number, receiver, content))

    def _deliver_all(self) -> None:
        while self.network:
            sender, receiver, content = self.network.pop(0)
            self._deliver(sender, receiver, content)
            self._collect(receiver)

    def _deliver(self, sender: int, receiver: int, content: bytes) -> None:
        if sender in self.cut or receiver in self.cut:
            return
        self.entries[receiver].receive(content, sender)


TestCrashMachine = CrashMachine.TestCase
TestCrashMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
