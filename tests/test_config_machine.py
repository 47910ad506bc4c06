"""Stateful test of concurrent applies under faults, and protocol fuzzing."""

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
from tests.test_config_store import (
    load_current_config,
    make_config,
    make_team,
    replace_team,
)

FUZZ = settings(derandomize=True, deadline=None, max_examples=300)
MACHINE = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=25,
)
PROCESSES = 3


class HeadMachine(RuleBasedStateMachine):
    """Operators apply while the service loses responses, is stale or down."""

    def __init__(self) -> None:
        super().__init__()
        self.key_value = MemoryKeyValue()
        self.processes = [ConfigSync(CurrentConfig()) for _ in range(PROCESSES)]
        self.last_numbers = [0 for _ in self.processes]
        self.accepted: dict[int, Configuration] = {}
        self.config_count = 0

    def _next_config(self) -> Configuration:
        self.config_count += 1
        new = make_team(self.config_count, float(self.config_count))
        return replace_team(
            make_config(2), f'team-{self.config_count % 5}', new
        )

    @rule(
        operator_count=st.integers(1, 3), generations_behind=st.integers(0, 1)
    )
    def apply(self, operator_count: int, generations_behind: int) -> None:
        """Apply concurrently on the same generation, which may be outdated."""
        anyio.run(self._apply_concurrently, operator_count, generations_behind)

    @rule(
        key=st.sampled_from(['', HEAD_KEY]),
        without_effect=st.booleans(),
        count=st.integers(1, 2),
    )
    def lose_writes_or_responses(
        self, key: str, without_effect: bool, count: int
    ) -> None:
        """Lose the next writes, of all keys or the head, or their responses."""
        self.key_value.lost_write_prefix = key
        if without_effect:
            self.key_value.lost_requests = count
        else:
            self.key_value.lost_responses = count

    @rule(count=st.integers(1, 3))
    def return_stale_reads(self, count: int) -> None:
        """Return random versions for the next reads."""
        self.key_value.stale_reads = count

    @rule()
    def toggle_outage(self) -> None:
        """Start or end an outage."""
        self.key_value.outage = not self.key_value.outage

    @rule(process=st.integers(0, PROCESSES - 1))
    def read_head(self, process: int) -> None:
        """Let a process read the head, which may be stale."""
        sync = self.processes[process]
        watcher = ConfigWatcher(HeadReader(self.key_value), sync, 'n')
        anyio.run(watcher._read_once)

    @invariant()
    def accepted_generations_are_stored(self) -> None:
        """Each accepted generation has a stored head."""
        number = len(self._heads())
        assert set(self.accepted) <= set(range(1, number + 1))

    @invariant()
    def head_numbers_are_consecutive(self) -> None:
        """Each head has the number after the one that it replaced."""
        numbers = [head.number for head in self._heads()]
        assert numbers == list(range(1, len(numbers) + 1))

    @invariant()
    def process_generations_never_decrease(self) -> None:
        """The current generation of a process never decreases."""
        numbers = [sync.config.number for sync in self.processes]
        assert all(
            current >= last
            for current, last in zip(numbers, self.last_numbers, strict=True)
        )
        self.last_numbers = numbers
        for sync in self.processes:
            expected_config = self.accepted.get(sync.config.number)
            assert (
                expected_config is None or sync.config.config == expected_config
            )

    def teardown(self) -> None:
        """After all faults, the current configuration can be read."""
        key_value = self.key_value
        key_value.outage = False
        key_value.stale_reads = 0
        heads = self._heads()
        if not heads:
            return
        config = anyio.run(load_current_config, key_value)
        expected_config = self.accepted.get(heads[-1].number)
        assert expected_config is None or config == expected_config

    def _heads(self) -> list[Head]:
        heads: list[Head] = []
        for version in self.key_value.versions.get(HEAD_KEY, ()):
            assert version.value is not None
            stored = decode_head(version)
            assert not isinstance(stored, Failure)
            assert stored.head is not None
            heads.append(stored.head)
        return heads

    async def _apply_concurrently(
        self, operator_count: int, generations_behind: int
    ) -> None:
        base_number = max(0, len(self._heads()) - generations_behind)
        outcomes: list[tuple[Configuration, Head | Failure]] = []

        async def apply_next() -> None:
            config = self._next_config()
            store = ConfigStore(self.key_value)
            outcomes.append(
                (config, await store.apply(config, base_number, 'op'))
            )

        async with anyio.create_task_group() as tasks:
            for _ in range(operator_count):
                tasks.start_soon(apply_next)
        self._check_outcomes(outcomes, base_number)

    def _check_outcomes(
        self,
        outcomes: list[tuple[Configuration, Head | Failure]],
        base_number: int,
    ) -> None:
        winners = [
            (config, head)
            for config, head in outcomes
            if isinstance(head, Head)
        ]
        assert len(winners) <= 1
        for config, head in winners:
            assert head.number == base_number + 1
            assert head.number not in self.accepted
            self.accepted[head.number] = config
        stored_parts = [stored.parts for stored in self._heads()]
        for config, outcome in outcomes:
            # All configurations differ, so the parts identify the apply.
            parts = split_configuration(config)
            assert not isinstance(parts, Failure)
            if isinstance(outcome, Head):
                assert parts.section_digests in stored_parts
            elif outcome.kind is not ErrorKind.OUTCOME_UNKNOWN:
                assert parts.section_digests not in stored_parts
        kinds = {
            failure.kind
            for _, failure in outcomes
            if isinstance(failure, Failure)
        }
        assert kinds <= {
            ErrorKind.CONFLICT,
            ErrorKind.PLATFORM_DOWN,
            ErrorKind.OUTCOME_UNKNOWN,
            ErrorKind.NOT_FOUND,
        }


def test_concurrent_applies_under_faults(monkeypatch: Any) -> None:
    """Guards against lost updates, two winners and older generations."""
    monkeypatch.setattr('masticwind.config.heads.BASE_RETRY_DELAY_S', 0.0)
    random.seed(1)
    run_state_machine_as_test(HeadMachine, settings=MACHINE)


@FUZZ
@given(st.binary(max_size=300))
def test_any_frame_is_decoded_or_rejected(frame: bytes) -> None:
    """Guards against an exception on a malformed frame."""
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
def test_any_cbor_is_decoded_or_rejected(raw: list[Any]) -> None:
    """Guards against an exception on valid CBOR that is not a message."""
    found = decode_frame(cbor2.dumps(raw))
    assert isinstance(found, Failure | list)
    if isinstance(found, list):
        assert all(isinstance(message, AnyMessage) for message in found)


@FUZZ
@given(st.dictionaries(st.text(), st.binary(), max_size=4), st.binary())
def test_config_data_round_trips_through_frame(
    parts: dict[str, bytes],
    head: bytes,
) -> None:
    """Guards against parts that encoding or decoding changes."""
    message = ConfigData(generation=3, head=head, parts=parts)
    assert decode_frame(encode_frame([message])) == [message]


@FUZZ
@given(st.text(max_size=60), st.binary(max_size=100))
def test_part_with_wrong_digest_is_rejected(
    digest: str,
    content: bytes,
) -> None:
    """Guards against accepting a part that a peer has corrupted."""
    cache = PartCache()
    assert not cache.add(digest, content)
    assert cache.get(digest) is None
