"""Two copies of the configuration that confirm each other, in any order."""

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
from masticwind.serving.confirmations import (
    Confirmation,
    Confirmations,
)
from masticwind.serving.copies import MAX_COPY_BYTES, CopyExchange, CopyReply
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.mirror import (
    CHANGE_GRACE_S,
    Mirror,
    MirrorOptions,
    Sink,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.settings import LiveSettings
from masticwind.serving.store import (
    ANSWER_TIMEOUT_S,
    Changes,
    Compacted,
    Item,
    Listing,
)
from tests.direct_rig import sample_settings
from tests.manual_clock import ManualClock
from tests.unwritable_store import DOWN, UnwritableStore

KEYS: Final = ('op/config', 'op/evacuate/zone-a', 'op/evacuate/zone-b')


class History:
    """Every change of the store with its time."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock: Final = clock
        self.items: Final[list[Item]] = []
        self.times: Final[list[float]] = []
        self.compacted = 0

    @property
    def revision(self) -> int:
        """Return the present revision."""
        return len(self.items) + 1

    def write(self, key: str, value: bytes | None) -> None:
        """Change a key."""
        self.items.append(Item(key, value, self.revision + 1))
        self.times.append(self._clock())

    def rows(self, prefix: str) -> dict[str, Item]:
        """Return what is there."""
        last = {item.key: item for item in self.items}
        return {
            key: item
            for key, item in last.items()
            if item.value is not None and key.startswith(prefix)
        }

    def states(self, key: str, since: float) -> list[Item | None]:
        """Return what a key has held since a moment; `None` is nothing."""
        states: list[Item | None] = [None]
        for item, at in zip(self.items, self.times, strict=True):
            if item.key != key:
                continue
            if at < since:
                states.clear()
            states.append(None if item.value is None else item)
        return states


class ScriptedStore(UnwritableStore):
    """Answers from a history, after a delay that a test sets."""

    def __init__(self, history: History, clock: ManualClock) -> None:
        self._history: Final = history
        self._clock: Final = clock
        self.down = False
        self.late_s = 0.0
        # Whether a watch without events returns the revision that was asked
        # for, rather than the present one.
        self.echoes = False
        self.torn: tuple[str, bytes] | None = None
        # Runs once while the answer of a watch is under way.
        self.meanwhile: Callable[[], None] | None = None

    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Read in pages; a change may come between two of them."""
        if self.down:
            return DOWN
        revision = self._history.revision
        rows = self._history.rows(prefix)
        if self.torn is not None:
            early = {KEYS[0]: rows[KEYS[0]]} if KEYS[0] in rows else {}
            self._history.write(KEYS[0], self.torn[1])
            self._history.write(KEYS[1], self.torn[1])
            rows = {**self._history.rows(prefix), **early}
        self._clock.now += self.late_s
        return Listing(tuple(rows.values()), revision)

    async def watch_prefix(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Changes | Compacted | Failure:
        """Answer at once; the answer may be late."""
        if self.down:
            return DOWN
        if after < self._history.compacted:
            return Compacted()
        revision = self._history.revision
        items = tuple(
            item
            for item in self._history.items
            if item.revision > after and item.key.startswith(prefix)
        )
        self._clock.now += self.late_s
        meanwhile = self.meanwhile
        self.meanwhile = None
        if meanwhile is not None:
            meanwhile()
        if self.echoes:
            revision = items[-1].revision if items else after
        return Changes(items, revision)


class Copy(Sink):
    """The copy of one entry."""

    def __init__(self, history: History, clock: ManualClock) -> None:
        self.rows: dict[str, Item] = {}
        self.store: Final = ScriptedStore(history, clock)
        self.mirror: Final = Mirror(
            self.store,
            self,
            MirrorOptions(prefix='op/', wait_s=1),
        )
        cfg = sample_settings()
        peers = EntryPeers(cfg)
        self.link: Final = Confirmations(
            PeerSocket(cfg),
            peers,
            self.mirror,
            LiveSettings(cfg),
        )
        self.copies: Final = CopyExchange(PeerSocket(cfg), peers, self.mirror)

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Take over a listing."""
        self.rows = {item.key: item for item in items}

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Take over changes."""
        for item in items:
            self.rows.pop(item.key, None)
            if item.value is not None:
                self.rows[item.key] = item


def _run(coroutine: Coroutine[Any, Any, object]) -> None:
    # Scripted stores never wait.
    with contextlib.suppress(StopIteration):
        coroutine.send(None)


class ConfirmationMachine(RuleBasedStateMachine):
    """Two entries with late, lost and doubled calls and datagrams."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.history = History(self.clock)
        self.copies = [Copy(self.history, self.clock) for _ in range(2)]
        self.replies: list[tuple[int, Confirmation]] = []
        self.copy_replies: list[tuple[int, CopyReply]] = []
        self.patch = pytest.MonkeyPatch()
        for module in ('mirror', 'peer_requests'):
            name = f'masticwind.serving.{module}.boot_time'
            self.patch.setattr(name, self.clock)

    def teardown(self) -> None:
        """Give the clock back."""
        self.patch.undo()

    @initialize()
    def first_configuration(self) -> None:
        """The operator writes before traffic starts."""
        self.write(KEYS[0], b'first')

    @rule(
        key=st.sampled_from(KEYS),
        value=st.one_of(st.none(), st.binary(max_size=2)),
    )
    def write(self, key: str, value: bytes | None) -> None:
        """An operator changes a key."""
        self.history.write(key, value)

    @rule(seconds=st.floats(0.01, 2))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.clock.now += seconds

    @rule(
        entry=st.integers(0, 1),
        down=st.booleans(),
        late_s=st.floats(0, 1),
        torn=st.booleans(),
        poll=st.booleans(),
        copied=st.booleans(),
        echoes=st.booleans(),
    )
    def call(
        self,
        entry: int,
        late_s: float,
        *,
        down: bool,
        torn: bool,
        poll: bool,
        copied: bool,
        echoes: bool,
    ) -> None:
        """An entry lists, watches or polls once.

        Before the answer, the entry may take a copy from the other one.
        """
        copy = self.copies[entry]
        copy.store.down = down
        copy.store.late_s = late_s
        copy.store.echoes = echoes
        copy.store.torn = (KEYS[0], b'torn') if torn else None
        copy.store.meanwhile = None
        if copied:
            copy.store.meanwhile = partial(self.take_copy, newest=True)
        _run(copy.mirror.poll() if poll else copy.mirror.sync_once())

    @rule()
    def compact(self) -> None:
        """The store forgets its history."""
        self.history.compacted = self.history.revision

    @rule(entry=st.integers(0, 1), late_s=st.floats(0, 1))
    def ask(self, entry: int, late_s: float) -> None:
        """A question arrives at the other entry, some time after it was sent.

        The reply is under way until it is taken.
        """
        question = self.copies[entry].link.new_request()
        self.clock.now += late_s
        reply = self.copies[1 - entry].link.answer_request(question)
        if reply is not None:
            self.replies.append((entry, reply))

    @rule(newest=st.booleans())
    def take(self, *, newest: bool) -> None:
        """A reply arrives, possibly late, out of order or once more."""
        if self.replies:
            entry, reply = self.replies[-1 if newest else 0]
            self.copies[entry].link.apply_reply(reply)

    @rule(entry=st.integers(0, 1), late_s=st.floats(0, 1))
    def ask_for_copy(self, entry: int, late_s: float) -> None:
        """A request for a copy arrives some time after it was sent."""
        request = self.copies[entry].copies.new_request()
        self.clock.now += late_s
        reply = self.copies[1 - entry].copies.answer_request(request)
        if reply is not None:
            self.copy_replies.append((entry, reply))

    @rule(newest=st.booleans())
    def take_copy(self, *, newest: bool) -> None:
        """A copy arrives, possibly late, out of order or once more."""
        if self.copy_replies:
            entry, reply = self.copy_replies[-1 if newest else 0]
            self.copies[entry].copies.apply_reply(reply)

    @invariant()
    def no_copy_is_older_than_it_says(self) -> None:
        """Guards against a removed key that is accepted for too long."""
        for copy in self.copies:
            as_of = self.clock() - copy.mirror.age_s()
            for key in KEYS:
                held = copy.rows.get(key)
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


@pytest.mark.parametrize('echoes', [False, True])
def test_one_call_settles_what_changed_elsewhere_in_the_store(
    machine: ConfirmationMachine,
    *,
    echoes: bool,
) -> None:
    """Guards against a copy that seems to be behind, call after call, when
    only other parts of the store have changed, whichever revision a store
    returns with no events.
    """
    early, late = machine.copies
    early.store.echoes = echoes
    _run(early.mirror.sync_once())
    machine.write('servers/i-1', b'')
    _run(late.mirror.sync_once())
    polls = 0
    for _ in range(6):
        reply = late.link.answer_request(early.link.new_request())
        assert reply is not None
        early.link.apply_reply(reply)
        machine.wait(CHANGE_GRACE_S)
        if early.mirror.has_missed_change():
            polls += 1
            _run(early.mirror.poll())
    assert polls == 1
    # The copy is as recent as that call, after the waits of five rounds.
    assert early.mirror.age_s() == pytest.approx(5 * CHANGE_GRACE_S)


def test_a_late_watch_does_not_take_back_a_copy(
    machine: ConfirmationMachine,
) -> None:
    """Guards against a removed key that works again when a watch that was
    open before ends after a newer copy was taken from another entry.
    """
    cut_off, other = machine.copies
    _run(cut_off.mirror.sync_once())
    machine.write(KEYS[0], b'second')

    def take_newer() -> None:
        machine.write(KEYS[0], b'third')
        _run(other.mirror.sync_once())
        machine.ask_for_copy(0, 0)
        machine.take_copy(newest=True)
        assert cut_off.rows[KEYS[0]].value == b'third'

    cut_off.store.meanwhile = take_newer
    _run(cut_off.mirror.sync_once())
    assert cut_off.rows[KEYS[0]].value == b'third'
    assert (
        cut_off.mirror.last_change_revision == other.mirror.last_change_revision
    )


@pytest.mark.parametrize(
    'compressed',
    [b'', b'x', zlib.compress(b'x'), zlib.compress(bytes(MAX_COPY_BYTES + 1))],
)
def test_an_unreadable_copy_changes_nothing(
    machine: ConfirmationMachine,
    compressed: bytes,
) -> None:
    """Guards against a damaged copy that ends a part of the process, fills
    its memory or empties its configuration.
    """
    early, late = machine.copies
    _run(early.mirror.sync_once())
    machine.write(KEYS[0], b'second')
    _run(late.mirror.sync_once())
    reply = late.copies.answer_request(early.copies.new_request())
    assert reply is not None
    assert not early.copies.apply_reply(
        msgspec.structs.replace(reply, compressed=compressed)
    )
    assert early.rows[KEYS[0]].value == b'first'
    assert early.copies.apply_reply(reply)


def test_a_wrong_revision_hides_no_change(
    machine: ConfirmationMachine,
) -> None:
    """Guards against an entry that takes no change any more because another
    one has told it of a revision that the store does not have.
    """
    copy = machine.copies[0]
    _run(copy.mirror.sync_once())
    question = copy.link.new_request()
    copy.link.apply_reply(Confirmation(question.sent_ms, 1_000_000, 0))
    _run(copy.mirror.poll())
    _run(copy.mirror.sync_once())
    machine.write(KEYS[0], b'second')
    _run(copy.mirror.sync_once())
    assert copy.rows[KEYS[0]].value == b'second'


def test_no_copy_is_sent_that_holds_nothing_new(
    machine: ConfirmationMachine,
) -> None:
    """Guards against copies that are sent again and again while the store
    is away for all entries.
    """
    early, late = machine.copies
    _run(early.mirror.sync_once())
    _run(late.mirror.sync_once())
    assert late.copies.answer_request(early.copies.new_request()) is None


def test_replies_to_questions_of_another_machine_are_left_out(
    machine: ConfirmationMachine,
) -> None:
    """Guards against a copy that looks recent for hours because a datagram
    for an earlier machine of the same address has reached this entry.
    """
    copy = machine.copies[0]
    _run(copy.mirror.sync_once())
    machine.wait(5)
    later_ms = int(machine.clock() * MS_PER_S) + 60_000
    copy.link.apply_reply(
        Confirmation(later_ms, copy.mirror.last_change_revision, 0)
    )
    assert copy.mirror.age_s() == 5
