"""State machine test of two entries that confirm each other's copies."""

import contextlib
import zlib
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from typing import Any, Final

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.platform.documents import PlatformDecoder
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.config_versions import ConfigVersions
from masticwind.serving.confirmations import (
    Confirmation,
    Confirmations,
)
from masticwind.serving.copies import MAX_COPY_BYTES, CopyExchange, CopyReply
from masticwind.serving.datagrams import PeerAddress, PeerSocket
from masticwind.serving.directory import OperatorState
from masticwind.serving.mirror import (
    Mirror,
    MirrorOptions,
    Sink,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.reported_changes import CHANGE_GRACE_S, REFUTED_TTL_S
from masticwind.serving.settings import LiveSettings
from masticwind.serving.store import (
    ANSWER_TIMEOUT_S,
    Changes,
    Compacted,
    Item,
    Listing,
)
from masticwind.serving.store_eras import NO_ERA, StoreRevision
from tests.entry_harness import sample_settings
from tests.manual_clock import ManualClock
from tests.unwritable_store import DOWN, UnwritableStore

OTHER: Final = PeerAddress('127.0.0.1', 1)
KEYS: Final = ('op/config', 'op/evacuate/zone-a', 'op/evacuate/zone-b')


class StoreHistory:
    """All changes of the store in its present era, and all former states."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock: Final = clock
        self.era = 1
        self.items: list[Item] = []
        self.compacted = 0
        # The contents from a time until that of the next row.
        self._contents: Final = [(float('-inf'), self.items_under(''))]

    @property
    def revision(self) -> int:
        """Return the present revision."""
        return len(self.items) + 1

    def write(self, key: str, value: bytes | None) -> None:
        """Change a key."""
        self.items.append(Item(key, value, self.revision + 1))
        self._record_contents()

    def restore(self, lost_changes: int) -> None:
        """Return to the state before the latest changes, in a new era."""
        kept = max(0, len(self.items) - lost_changes)
        self.items = self.items[:kept]
        self.era += 1
        self._record_contents()

    def items_under(self, prefix: str) -> dict[str, Item]:
        """Return the present items under a prefix."""
        last = {item.key: item for item in self.items}
        return {
            key: item
            for key, item in last.items()
            if item.value is not None and key.startswith(prefix)
        }

    def states(self, key: str, since: float) -> list[Item | None]:
        """Return the states of a key since a time; `None` is a missing key."""
        states: list[Item | None] = []
        for at, contents in self._contents:
            if at < since:
                states.clear()
            states.append(contents.get(key))
        return states

    def _record_contents(self) -> None:
        self._contents.append((self._clock(), self.items_under('')))


class ScriptedStore(UnwritableStore):
    """Answers from a history, with the faults that a test sets.

    `delay_s` is the time until each answer. With `echoes_revision`, a watch
    without events returns the revision that was asked for rather than the
    present one. `write_while_listing` is written to the first two keys while
    a listing is read; the listing has the old value of the first one.
    `before_answer` is called once, before the answer of a watch.
    """

    def __init__(self, history: StoreHistory, clock: ManualClock) -> None:
        super().__init__()
        self._history: Final = history
        self._clock: Final = clock
        self.down = False
        self.delay_s = 0.0
        self.echoes_revision = False
        self.write_while_listing: tuple[str, bytes] | None = None
        self.before_answer: Callable[[], None] | None = None

    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Read in pages; the store may change between two of them."""
        if self.down:
            return DOWN
        revision = StoreRevision(self._history.era, self._history.revision)
        items = self._history.items_under(prefix)
        if self.write_while_listing is not None:
            first_page = {KEYS[0]: items[KEYS[0]]} if KEYS[0] in items else {}
            self._history.write(KEYS[0], self.write_while_listing[1])
            self._history.write(KEYS[1], self.write_while_listing[1])
            items = {**self._history.items_under(prefix), **first_page}
        self._clock.now += self.delay_s
        if not self.eras.observe(revision.era, 'list'):
            return DOWN
        return Listing(tuple(items.values()), revision)

    async def watch_prefix(
        self,
        prefix: str,
        after: StoreRevision,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted | Failure:
        """Return the present changes without waiting for more."""
        if self.down:
            return DOWN
        era = self._history.era
        revision = self._history.revision
        compacted = not self._history.compacted <= after.number <= revision
        items = tuple(
            item
            for item in self._history.items
            if item.revision > after.number and item.key.startswith(prefix)
        )
        self._clock.now += self.delay_s
        before_answer = self.before_answer
        self.before_answer = None
        if before_answer is not None:
            before_answer()
        if not self.eras.observe(era, 'watch'):
            return DOWN
        if compacted or era != after.era:
            return Compacted()
        if self.echoes_revision:
            revision = items[-1].revision if items else after.number
        return Changes(items, StoreRevision(era, revision))


class EntryCopy(Sink):
    """One entry's mirror, its contents, and its exchange with the other."""

    def __init__(self, history: StoreHistory, clock: ManualClock) -> None:
        self.items: dict[str, Item] = {}
        self.store: Final = ScriptedStore(history, clock)
        self.mirror: Final = Mirror(
            self.store,
            self,
            MirrorOptions(prefix='op/', wait_s=1),
        )
        cfg = sample_settings()
        peers = EntryPeers(cfg)
        peers.replace_all(())
        versions = ConfigVersions(
            self.mirror,
            OperatorState(PlatformDecoder(), ActiveConfig()),
            peers,
        )
        self.confirmations: Final = Confirmations(
            PeerSocket(cfg),
            peers,
            self.mirror,
            versions,
            LiveSettings(cfg),
        )
        self.exchange: Final = CopyExchange(
            PeerSocket(cfg), peers, self.mirror, versions
        )

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Replace the contents by a listing."""
        self.items = {item.key: item for item in items}

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changes."""
        for item in items:
            self.items.pop(item.key, None)
            if item.value is not None:
                self.items[item.key] = item


def _run(coroutine: Coroutine[Any, Any, object]) -> None:
    # A coroutine that uses a scripted store never suspends.
    with contextlib.suppress(StopIteration):
        coroutine.send(None)


class ConfirmationMachine(RuleBasedStateMachine):
    """Two entries with delayed and failed calls, and with datagrams that are
    delayed, lost, duplicated or reordered.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.history = StoreHistory(self.clock)
        self.copies = [EntryCopy(self.history, self.clock) for _ in range(2)]
        self.replies: list[tuple[int, Confirmation]] = []
        self.copy_replies: list[tuple[int, CopyReply]] = []
        self.patch = pytest.MonkeyPatch()
        for module in (
            'mirror',
            'peer_requests',
            'reported_changes',
            'config_versions',
            'store_eras',
        ):
            name = f'masticwind.serving.{module}.boot_time'
            self.patch.setattr(name, self.clock)

    def teardown(self) -> None:
        """Restore the real clock."""
        self.patch.undo()

    @initialize()
    def first_configuration(self) -> None:
        """An operator writes the first configuration."""
        self.write(KEYS[0], b'first')

    @rule(
        key=st.sampled_from(KEYS),
        value=st.one_of(st.none(), st.binary(max_size=2)),
    )
    def write(self, key: str, value: bytes | None) -> None:
        """An operator changes a key."""
        self.history.write(key, value)

    @rule(seconds=st.floats(0.01, 2))
    def advance_clock(self, seconds: float) -> None:
        """Advance the clock."""
        self.clock.now += seconds

    @rule(
        entry=st.integers(0, 1),
        down=st.booleans(),
        delay_s=st.floats(0, 1),
        torn_listing=st.booleans(),
        polls=st.booleans(),
        receives_copy=st.booleans(),
        echoes_revision=st.booleans(),
        lost_changes=st.integers(-1, 4),
    )
    def call_store(
        self,
        entry: int,
        delay_s: float,
        lost_changes: int,
        *,
        down: bool,
        torn_listing: bool,
        polls: bool,
        receives_copy: bool,
        echoes_revision: bool,
    ) -> None:
        """An entry lists, watches or polls once.

        While it waits for the answer, it may receive the other entry's copy,
        or the store may be restored.
        """
        copy = self.copies[entry]
        copy.store.down = down
        copy.store.delay_s = delay_s
        copy.store.echoes_revision = echoes_revision
        copy.store.write_while_listing = (
            (KEYS[0], b'torn') if torn_listing else None
        )
        copy.store.before_answer = None
        if lost_changes >= 0:
            copy.store.before_answer = partial(
                self.restore, lost_changes=lost_changes
            )
        if receives_copy:
            copy.store.before_answer = partial(self.deliver_copy, newest=True)
        _run(copy.mirror.poll() if polls else copy.mirror.sync_once())

    @rule()
    def compact_history(self) -> None:
        """The store drops its history."""
        self.history.compacted = self.history.revision

    @rule(lost_changes=st.integers(0, 4))
    def restore(self, lost_changes: int) -> None:
        """The store is restored from an older copy."""
        self.history.restore(lost_changes)

    @rule(entry=st.integers(0, 1))
    def learn_era(self, entry: int) -> None:
        """Another call of the entry is answered in the present era."""
        store = self.copies[entry].store
        store.eras.observe(self.history.era, 'put')

    @rule(entry=st.integers(0, 1), delay_s=st.floats(0, 1))
    def request_confirmation(self, entry: int, delay_s: float) -> None:
        """A confirmation request arrives at the other entry after a delay.

        The reply is in flight until a later step delivers it.
        """
        request = self.copies[entry].confirmations.new_request()
        self.clock.now += delay_s
        reply = self.copies[1 - entry].confirmations.answer_request(request)
        if reply is not None:
            self.replies.append((entry, reply))

    @rule(newest=st.booleans())
    def deliver_confirmation(self, *, newest: bool) -> None:
        """A reply arrives, possibly delayed, out of order or duplicated."""
        if self.replies:
            entry, reply = self.replies[-1 if newest else 0]
            self.copies[entry].confirmations.apply_reply(reply, OTHER)

    @rule(entry=st.integers(0, 1), delay_s=st.floats(0, 1))
    def request_copy(self, entry: int, delay_s: float) -> None:
        """A request for a copy arrives at the other entry after a delay."""
        request = self.copies[entry].exchange.new_request()
        self.clock.now += delay_s
        reply = self.copies[1 - entry].exchange.answer_request(request)
        if reply is not None:
            self.copy_replies.append((entry, reply))

    @rule(newest=st.booleans())
    def deliver_copy(self, *, newest: bool) -> None:
        """A copy arrives, possibly delayed, out of order or duplicated."""
        if self.copy_replies:
            entry, reply = self.copy_replies[-1 if newest else 0]
            self.copies[entry].exchange.apply_reply(reply)

    @invariant()
    def no_copy_is_older_than_its_age(self) -> None:
        """Guards against a removed API key that is accepted for too long,
        because the copy is older than the age that its mirror reports.
        """
        for copy in self.copies:
            as_of = self.clock() - copy.mirror.age_s()
            for key in KEYS:
                held = copy.items.get(key)
                assert held in self.history.states(key, as_of), key


TestConfirmationMachine = ConfirmationMachine.TestCase
TestConfirmationMachine.settings = settings(
    max_examples=300,
    stateful_step_count=50,
    deadline=None,
)


@pytest.fixture
def machine() -> Iterator[ConfirmationMachine]:
    """Return two entries and their store."""
    made = ConfirmationMachine()
    made.first_configuration()
    yield made
    made.teardown()


@pytest.mark.parametrize('echoes_revision', [False, True])
def test_changes_under_other_prefixes_cost_a_single_poll(
    machine: ConfirmationMachine,
    *,
    echoes_revision: bool,
) -> None:
    """Guards against a copy that polls again and again, because it seems to
    lack a change, when only keys under other prefixes have changed. A store
    may return either revision if there are no events.
    """
    early, late = machine.copies
    early.store.echoes_revision = echoes_revision
    _run(early.mirror.sync_once())
    machine.write('servers/i-1', b'')
    _run(late.mirror.sync_once())
    polls = 0
    for _ in range(6):
        reply = late.confirmations.answer_request(
            early.confirmations.new_request()
        )
        assert reply is not None
        early.confirmations.apply_reply(reply, OTHER)
        machine.advance_clock(CHANGE_GRACE_S)
        if early.mirror.has_missed_change():
            polls += 1
            _run(early.mirror.poll())
    assert polls == 1
    # The age counts from the poll in the first round; five more rounds follow.
    assert early.mirror.age_s() == pytest.approx(5 * CHANGE_GRACE_S)


def test_late_watch_does_not_revert_a_newer_copy(
    machine: ConfirmationMachine,
) -> None:
    """Guards against a removed API key that works again, because a watch that
    was open while a newer copy was adopted returns older changes.
    """
    disconnected, other = machine.copies
    _run(disconnected.mirror.sync_once())
    machine.write(KEYS[0], b'second')

    def adopt_newer_copy() -> None:
        machine.write(KEYS[0], b'third')
        _run(other.mirror.sync_once())
        machine.request_copy(0, 0)
        machine.deliver_copy(newest=True)
        assert disconnected.items[KEYS[0]].value == b'third'

    disconnected.store.before_answer = adopt_newer_copy
    _run(disconnected.mirror.sync_once())
    assert disconnected.items[KEYS[0]].value == b'third'
    assert (
        disconnected.mirror.last_change_revision
        == other.mirror.last_change_revision
    )


@pytest.mark.parametrize(
    'compressed',
    [b'', b'x', zlib.compress(b'x'), zlib.compress(bytes(MAX_COPY_BYTES + 1))],
)
def test_unreadable_copy_is_ignored(
    machine: ConfirmationMachine,
    compressed: bytes,
) -> None:
    """Guards against a damaged copy that raises an error, exhausts the memory
    or clears the configuration.
    """
    early, late = machine.copies
    _run(early.mirror.sync_once())
    machine.write(KEYS[0], b'second')
    _run(late.mirror.sync_once())
    reply = late.exchange.answer_request(early.exchange.new_request())
    assert reply is not None
    assert not early.exchange.apply_reply(
        msgspec.structs.replace(reply, compressed=compressed)
    )
    assert early.items[KEYS[0]].value == b'first'
    assert early.exchange.apply_reply(reply)


def test_wrong_reported_revision_hides_no_change(
    machine: ConfirmationMachine,
) -> None:
    """Guards against an entry that misses all later changes, because another
    one has reported a revision that the store does not have.
    """
    copy = machine.copies[0]
    _run(copy.mirror.sync_once())
    request = copy.confirmations.new_request()
    copy.confirmations.apply_reply(
        Confirmation(request.sent_ms, 1_000_000, 0, machine.history.era),
        OTHER,
    )
    _run(copy.mirror.poll())
    _run(copy.mirror.sync_once())
    machine.write(KEYS[0], b'second')
    _run(copy.mirror.sync_once())
    assert copy.items[KEYS[0]].value == b'second'


def test_copy_without_newer_changes_is_not_sent(
    machine: ConfirmationMachine,
) -> None:
    """Guards against copies that are sent again and again while the store is
    down for all entries.
    """
    early, late = machine.copies
    _run(early.mirror.sync_once())
    _run(late.mirror.sync_once())
    assert late.exchange.answer_request(early.exchange.new_request()) is None


def test_replies_to_requests_of_an_earlier_instance_are_ignored(
    machine: ConfirmationMachine,
) -> None:
    """Guards against a copy that looks recent for hours, because this entry
    receives a reply for an earlier instance with the same address, whose clock
    was ahead.
    """
    copy = machine.copies[0]
    _run(copy.mirror.sync_once())
    machine.advance_clock(5)
    later_ms = int(machine.clock() * MS_PER_S) + 60_000
    last_change = copy.mirror.last_change_revision
    copy.confirmations.apply_reply(
        Confirmation(later_ms, last_change.number, 0, last_change.era),
        OTHER,
    )
    assert copy.mirror.age_s() == 5


def test_report_of_a_restored_store_does_not_confirm_a_copy_of_before(
    machine: ConfirmationMachine,
) -> None:
    """Guards against a removed key that is accepted, because a low revision of
    a new era confirms a copy of the era before.
    """
    early, late = machine.copies
    for _ in range(3):
        machine.write(KEYS[0], b'lost')
    _run(early.mirror.sync_once())
    machine.restore(3)
    machine.write(KEYS[0], b'second')
    _run(late.mirror.sync_once())
    early.store.down = True
    machine.advance_clock(1)
    _confirm(early, late)
    assert early.mirror.age_s() == 1
    machine.advance_clock(CHANGE_GRACE_S)
    assert early.mirror.has_missed_change()
    machine.request_copy(0, 0)
    machine.deliver_copy(newest=True)
    assert early.items[KEYS[0]].value == b'second'
    assert early.mirror.age_s() == pytest.approx(1 + CHANGE_GRACE_S)


def test_report_of_the_era_before_does_not_confirm_a_copy(
    machine: ConfirmationMachine,
) -> None:
    """Guards against a copy that looks recent, because an entry that still has
    the era before reports a lower revision.
    """
    early, late = machine.copies
    _run(early.mirror.sync_once())
    machine.restore(0)
    _run(late.mirror.sync_once())
    machine.advance_clock(1)
    early.mirror.confirm(early.mirror.last_change_revision, machine.clock())
    _confirm(late, early)
    assert late.mirror.age_s() == 1


@pytest.mark.parametrize('era', [NO_ERA, 2, 10**15])
def test_wrong_era_of_another_entry_costs_few_polls(
    machine: ConfirmationMachine, era: int
) -> None:
    """Guards against entries that all call the store again and again, because
    one of them reports an era that the store has not.
    """
    copy = machine.copies[0]
    _run(copy.mirror.sync_once())
    polls = 0
    for _ in range(20):
        request = copy.confirmations.new_request()
        copy.confirmations.apply_reply(
            Confirmation(request.sent_ms, 9, 0, era), OTHER
        )
        machine.advance_clock(CHANGE_GRACE_S)
        if copy.mirror.has_missed_change():
            polls += 1
            _run(copy.mirror.poll())
    assert polls <= 20 * CHANGE_GRACE_S / REFUTED_TTL_S
    machine.write(KEYS[0], b'second')
    _run(copy.mirror.sync_once())
    assert copy.items[KEYS[0]].value == b'second'


def _confirm(asking: EntryCopy, other: EntryCopy) -> None:
    reply = other.confirmations.answer_request(
        asking.confirmations.new_request()
    )
    assert reply is not None
    asking.confirmations.apply_reply(reply, OTHER)
