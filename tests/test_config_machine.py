"""State machine of configuration heads under faults, and protocol fuzzing."""

import random
from typing import Any

import anyio
import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from masticwind.config.current import CurrentConfig
from masticwind.config.distribute import ConfigSync, ConfigWatcher
from masticwind.config.heads import HEAD_KEY, HeadReader, decode_head
from masticwind.config.model import Configuration
from masticwind.config.parts import Head, PartCache, split_configuration
from masticwind.config.store import ConfigStore
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.codec import decode_frame, encode_frame
from masticwind.protocol.messages import AnyMessage, ConfigData
from tests.memory_kv import MemoryKeyValue
from tests.test_config_store import config_of, in_force, team, with_team

FUZZ = settings(derandomize=True, deadline=None, max_examples=300)
MACHINE = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=25,
)
PROCESSES = 3


class HeadMachine(RuleBasedStateMachine):
    """Operators apply while the service loses answers, is stale or down."""

    def __init__(self) -> None:
        super().__init__()
        self.key_value = MemoryKeyValue()
        self.syncs = [ConfigSync(CurrentConfig()) for _ in range(PROCESSES)]
        self.seen = [0 for _ in self.syncs]
        self.accepted: dict[int, Configuration] = {}
        self.counter = 0

    def _next_config(self) -> Configuration:
        self.counter += 1
        new = team(self.counter, float(self.counter))
        return with_team(config_of(2), f'team-{self.counter % 5}', new)

    @rule(operators=st.integers(1, 3), back=st.integers(0, 1))
    def apply(self, operators: int, back: int) -> None:
        """Let operators race on the same, perhaps old, generation."""
        anyio.run(self._race, operators, back)

    @rule(
        key=st.sampled_from(['', HEAD_KEY]),
        before=st.booleans(),
        count=st.integers(1, 2),
    )
    def lose_answers(self, key: str, before: bool, count: int) -> None:
        """Lose the answers of the next writes, or of the next heads."""
        self.key_value.lose_key = key
        if before:
            self.key_value.lose_before = count
        else:
            self.key_value.lose_after = count

    @rule(count=st.integers(1, 3))
    def read_stale(self, count: int) -> None:
        """Answer the next reads with older versions."""
        self.key_value.stale_reads = count

    @rule()
    def toggle_outage(self) -> None:
        """Begin or end an outage."""
        self.key_value.outage = not self.key_value.outage

    @rule(process=st.integers(0, PROCESSES - 1))
    def follow(self, process: int) -> None:
        """Let a process read the head, stale or not."""
        sync = self.syncs[process]
        watcher = ConfigWatcher(HeadReader(self.key_value), sync, 'n')
        anyio.run(watcher._read_once)

    @invariant()
    def nothing_accepted_is_lost(self) -> None:
        """Every answer 'accepted' is the history of that generation."""
        number = len(self._heads())
        assert set(self.accepted) <= set(range(1, number + 1))

    @invariant()
    def heads_only_grow(self) -> None:
        """Each head has the next number, and a part is never missing."""
        numbers = [head.number for head in self._heads()]
        assert numbers == list(range(1, len(numbers) + 1))

    @invariant()
    def no_process_goes_back(self) -> None:
        """The generation in force in a process only grows."""
        numbers = [sync.config.number for sync in self.syncs]
        assert all(
            now >= was for now, was in zip(numbers, self.seen, strict=True)
        )
        self.seen = numbers
        for sync in self.syncs:
            wanted = self.accepted.get(sync.config.number)
            assert wanted is None or sync.config.config == wanted

    def teardown(self) -> None:
        """After all faults, what is in force can be read as a whole."""
        faultless = self.key_value
        faultless.outage = False
        faultless.stale_reads = 0
        heads = self._heads()
        if not heads:
            return
        config = anyio.run(in_force, faultless)
        wanted = self.accepted.get(heads[-1].number)
        assert wanted is None or config == wanted

    def _heads(self) -> list[Head]:
        found: list[Head] = []
        for version in self.key_value.versions.get(HEAD_KEY, ()):
            assert version.value is not None
            head = decode_head(version)
            assert not isinstance(head, Failure)
            assert head.head is not None
            found.append(head.head)
        return found

    async def _race(self, operators: int, back: int) -> None:
        base = max(0, len(self._heads()) - back)
        outcomes: list[tuple[Configuration, Head | Failure]] = []

        async def operate() -> None:
            wanted = self._next_config()
            store = ConfigStore(self.key_value)
            outcomes.append((wanted, await store.apply(wanted, base, 'op')))

        async with anyio.create_task_group() as tasks:
            for _ in range(operators):
                tasks.start_soon(operate)
        self._judge(outcomes, base)

    def _judge(
        self,
        outcomes: list[tuple[Configuration, Head | Failure]],
        base: int,
    ) -> None:
        winners = [
            (config, head)
            for config, head in outcomes
            if isinstance(head, Head)
        ]
        assert len(winners) <= 1
        for config, won in winners:
            assert won.number == base + 1
            assert won.number not in self.accepted
            self.accepted[won.number] = config
        in_heads = [head.parts for head in self._heads()]
        for config, outcome in outcomes:
            # All configurations differ, so the parts tell whose head it is.
            parts = split_configuration(config)
            assert not isinstance(parts, Failure)
            if isinstance(outcome, Head):
                assert parts.section_digests in in_heads
            elif outcome.kind is not ErrorKind.OUTCOME_UNKNOWN:
                assert parts.section_digests not in in_heads
        kinds = {one.kind for _, one in outcomes if isinstance(one, Failure)}
        assert kinds <= {
            ErrorKind.CONFLICT,
            ErrorKind.PLATFORM_DOWN,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.NOT_FOUND,
        }


def test_heads_under_faults(monkeypatch: Any) -> None:
    """Guards against lost updates, two winners and going back."""
    monkeypatch.setattr('masticwind.config.heads.BASE_RETRY_DELAY_S', 0.0)
    random.seed(1)
    run_state_machine_as_test(HeadMachine, settings=MACHINE)


@FUZZ
@given(st.binary(max_size=300))
def test_any_frame_decodes_or_is_refused(frame: bytes) -> None:
    """Guards against an exception on a damaged frame."""
    found = decode_frame(frame)
    assert isinstance(found, Failure | list)


_CBOR = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=10)
    | st.binary(max_size=40)
    | st.sampled_from(['hello', 'beat', 'offer', 'cfgreq', 'cfgdata', 'load']),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=25,
)


@FUZZ
@given(st.lists(_CBOR, max_size=4))
def test_any_cbor_decodes_or_is_refused(raw: list[Any]) -> None:
    """Guards against an exception on a frame of the wrong content."""
    found = decode_frame(cbor2.dumps(raw))
    assert isinstance(found, Failure | list)
    if isinstance(found, list):
        assert all(isinstance(one, AnyMessage) for one in found)


@FUZZ
@given(st.dictionaries(st.text(), st.binary(), max_size=4), st.binary())
def test_config_data_survives_the_frame(
    parts: dict[str, bytes],
    head: bytes,
) -> None:
    """Guards against parts that change on the way."""
    message = ConfigData(generation=3, head=head, parts=parts)
    assert decode_frame(encode_frame([message])) == [message]


@FUZZ
@given(st.text(max_size=60), st.binary(max_size=100))
def test_part_with_other_content_is_refused(
    digest: str,
    content: bytes,
) -> None:
    """Guards against taking a part that a peer has damaged."""
    cache = PartCache()
    assert not cache.add(digest, content)
    assert cache.get(digest) is None
