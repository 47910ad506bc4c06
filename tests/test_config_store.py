"""Storage of the configuration: sizes, concurrency and lost responses."""

import dataclasses
import itertools
import random
from collections.abc import Iterator
from typing import Any

import anyio
import msgspec
import pytest

from masticwind.config.diff import diff
from masticwind.config.heads import (
    HEAD_KEY,
    HISTORY_PREFIX,
    MAX_HISTORY_HEADS,
    PART_PREFIX,
    HeadReader,
)
from masticwind.config.model import Configuration, Model, Team, Tier
from masticwind.config.parts import Head, PartCache, split_configuration
from masticwind.config.store import ConfigStore
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import MAX_VALUE_BYTES
from tests.memory_kv import MemoryKeyValue

pytestmark = pytest.mark.anyio

MAX_CHANGE_BYTES = 16_384
DESIGN_TEAMS = 47_000


def make_team(number: int, weight: float = 1.0) -> Team:
    """Return a team with all limits set, which makes its record large."""
    return Team(
        tier='paid',
        token_digests=(f'sha256:{number:064x}',),
        weight=weight,
        requests_per_s=50,
        tokens_per_s=200_000,
        max_in_flight=400,
    )


def make_config(count: int, **changes: Any) -> Configuration:
    """Return a configuration with `count` teams."""
    sections: dict[str, Any] = {
        'tiers': {'paid': Tier(kind='paid')},
        'teams': {
            f'team-{number:05}': make_team(number) for number in range(count)
        },
        'models': {'standard': Model()},
    }
    sections.update(changes)
    return Configuration(**sections)


def replace_team(config: Configuration, name: str, new: Team) -> Configuration:
    """Return `config` with one team replaced or added."""
    return dataclasses.replace(config, teams={**config.teams, name: new})


async def load_current_config(key_value: MemoryKeyValue) -> Configuration:
    """Load the current configuration with an empty cache."""
    reader = HeadReader(key_value)
    stored = await reader.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    generation = await reader.load_generation(stored.head, PartCache())
    assert not isinstance(generation, Failure), generation
    return generation.config


async def apply_or_fail(
    store: ConfigStore,
    config: Configuration,
    expected: int,
) -> Head:
    """Apply `config`; fail the test if that is not accepted."""
    head = await store.apply(config, expected, 'ann')
    assert isinstance(head, Head), head
    return head


async def test_change_of_one_team_is_small_at_design_size() -> None:
    """Guards against rewriting all teams when one team changes.

    The limit covers all bytes that the apply writes and all bytes that a
    process with the previous generation fetches.
    """
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    config = make_config(DESIGN_TEAMS)
    await apply_or_fail(store, config, 0)
    assert key_value.largest_value_bytes < MAX_VALUE_BYTES
    cache = PartCache()
    stored = await store.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    assert not isinstance(
        await store.load_generation(stored.head, cache), Failure
    )
    totals: list[int] = []
    for number in range(1, 40):
        name = f'team-{number * 997:05}'
        config = replace_team(config, name, make_team(number * 997, 2.0))
        key_value.written_bytes.clear()
        head = await apply_or_fail(store, config, number)
        written = key_value.written_bytes.total()
        key_value.read_bytes.clear()
        assert not isinstance(await store.load_generation(head, cache), Failure)
        fetched = key_value.read_bytes.total()
        fetched += len(msgspec.json.encode(head))
        totals.append(written + fetched)
    print('bytes written and fetched:', min(totals), max(totals))
    assert max(totals) < MAX_CHANGE_BYTES
    assert (await load_current_config(key_value)).teams == config.teams


async def test_split_configuration_round_trips() -> None:
    """Guards against teams that are lost when they are split into buckets."""
    config = make_config(500)
    key_value = MemoryKeyValue()
    await apply_or_fail(ConfigStore(key_value), config, 0)
    assert await load_current_config(key_value) == config


async def test_section_over_value_limit_is_rejected() -> None:
    """Guards against a section that the service cannot store."""
    noise = random.Random(1)
    models = {
        f'm{number}': Model(version=noise.randbytes(1000).hex())
        for number in range(1000)
    }
    parts = split_configuration(make_config(1, models=models))
    assert isinstance(parts, Failure)
    assert parts.kind is ErrorKind.TOO_LARGE


async def test_outage_changes_nothing() -> None:
    """Guards against a partial apply when writes of parts fail."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await apply_or_fail(store, make_config(3), 0)

    async def fail_parts(call: str, key: str) -> None:
        key_value.outage = call == 'put' and key.startswith(PART_PREFIX)

    key_value.before_call = fail_parts
    outcome = await store.apply(make_config(4), 1, 'ann')
    key_value.before_call = None
    key_value.outage = False
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.PLATFORM_DOWN
    assert await load_current_config(key_value) == make_config(3)


async def test_one_of_concurrent_applies_succeeds() -> None:
    """Guards against lost updates when operators apply concurrently."""
    key_value = MemoryKeyValue()
    await apply_or_fail(ConfigStore(key_value), make_config(1), 0)
    outcomes: dict[int, Head | Failure] = {}

    async def apply_one(number: int) -> None:
        config = make_config(2 + number)
        store = ConfigStore(key_value)
        outcomes[number] = await store.apply(config, 1, f'op-{number}')

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(apply_one, number)
    winners = [
        winner for winner, head in outcomes.items() if isinstance(head, Head)
    ]
    failures = [
        outcome for outcome in outcomes.values() if isinstance(outcome, Failure)
    ]
    assert len(winners) == 1
    assert {failure.kind for failure in failures} == {ErrorKind.CONFLICT}
    assert await load_current_config(key_value) == make_config(2 + winners[0])


@pytest.mark.parametrize('fault', ['lost_requests', 'lost_responses'])
async def test_outcome_is_determined_after_lost_response(fault: str) -> None:
    """Guards against a wrong outcome when the head's write is unanswered."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)

    async def lose_head_write(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.before_call = None
            setattr(key_value, fault, 1)

    key_value.before_call = lose_head_write
    head = await apply_or_fail(store, make_config(2), 0)
    assert head.number == 1
    assert await load_current_config(key_value) == make_config(2)
    assert len(key_value.versions[HEAD_KEY]) == 1


async def test_lost_response_then_newer_generation() -> None:
    """Guards against reporting a conflict for a write that took effect.

    The response is lost and another operator applies before the retry.
    """
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await apply_or_fail(store, make_config(1), 0)

    async def lose_head_write(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.before_call = apply_next
            key_value.lost_responses = 1

    async def apply_next(call: str, key: str) -> None:
        key_value.before_call = None
        await apply_or_fail(ConfigStore(key_value), make_config(3), 2)

    key_value.before_call = lose_head_write
    head = await apply_or_fail(store, make_config(2), 1)
    assert head.number == 2
    assert await load_current_config(key_value) == make_config(3)


async def test_lost_request_then_apply_of_another_operator() -> None:
    """Guards against reporting success for another operator's generation.

    The write is lost and another operator applies before the retry.
    """
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await apply_or_fail(store, make_config(1), 0)

    async def lose_head_write(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.before_call = apply_other
            key_value.lost_requests = 1

    async def apply_other(call: str, key: str) -> None:
        key_value.before_call = None
        await apply_or_fail(ConfigStore(key_value), make_config(3), 1)

    key_value.before_call = lose_head_write
    outcome = await store.apply(make_config(2), 1, 'ann')
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.CONFLICT
    assert await load_current_config(key_value) == make_config(3)


@pytest.mark.parametrize('takes_effect', [True, False])
async def test_outage_after_lost_response_gives_unknown_outcome(
    takes_effect: bool,
) -> None:
    """Guards against a definite outcome that is not known.

    The service goes down after the write of the head got no response. A
    second apply must succeed whether or not the first one took effect.
    """
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)

    async def lose_head_write(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.before_call = start_outage
            setattr(
                key_value,
                'lost_responses' if takes_effect else 'lost_requests',
                1,
            )

    async def start_outage(call: str, key: str) -> None:
        key_value.outage = True

    key_value.before_call = lose_head_write
    outcome = await store.apply(make_config(2), 0, 'ann')
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    assert 'run again safely' in outcome.reason
    key_value.before_call = None
    key_value.outage = False
    head = await apply_or_fail(store, make_config(2), 0)
    assert head.number == 1
    assert await load_current_config(key_value) == make_config(2)


async def test_unchanged_configuration_creates_no_generation() -> None:
    """Guards against new generations without a change."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await apply_or_fail(store, make_config(2), 0)
    head = await apply_or_fail(store, make_config(2), 1)
    assert head.number == 1


async def test_history_and_parts_are_bounded() -> None:
    """Guards against stored data that grows with every apply."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    config = make_config(5)
    for number in range(MAX_HISTORY_HEADS * 4):
        config = replace_team(config, 'team-00001', make_team(1, 1.0 + number))
        await apply_or_fail(store, config, number)
    history_keys = await key_value.list_keys(HISTORY_PREFIX)
    parts = await key_value.list_keys(PART_PREFIX)
    assert not isinstance(history_keys, Failure)
    assert not isinstance(parts, Failure)
    assert len(history_keys) == MAX_HISTORY_HEADS
    # Three parts for each generation in the history and for those of two
    # sweep intervals; 40 cover the current generation and the lists.
    assert len(parts) < (MAX_HISTORY_HEADS + 2 * 16) * 3 + 40
    history = await store.read_history()
    assert not isinstance(history, Failure)
    assert len(history) == MAX_HISTORY_HEADS + 1
    for head in history:
        loaded = await store.load_generation(head, PartCache())
        assert not isinstance(loaded, Failure), loaded
    assert await load_current_config(key_value) == config


async def _create_garbage(key_value: MemoryKeyValue) -> Configuration:
    """Apply until a head lists a part of the returned config as garbage."""
    store = ConfigStore(key_value)
    first = make_config(1)
    number = 0
    while number < MAX_HISTORY_HEADS * 2:
        config = replace_team(first, 'team-00000', make_team(0, 1.0 + number))
        await apply_or_fail(store, config, number)
        number += 1
        garbage_digests = await _read_garbage_digests(store)
        if garbage_digests & set(_split_contents(first)):
            return first
    raise AssertionError('no part was listed as garbage')


async def _read_garbage_digests(store: ConfigStore) -> set[str]:
    stored = await store.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    if not stored.head.garbage:
        return set()
    content = await store.read_part(stored.head.garbage)
    assert not isinstance(content, Failure)
    return set(msgspec.json.decode(content, type=dict[str, int]))


def _split_contents(config: Configuration) -> dict[str, bytes]:
    parts = split_configuration(config)
    assert not isinstance(parts, Failure)
    return parts.contents


async def test_garbage_collection_keeps_parts_of_concurrent_apply() -> None:
    """Guards against deleting a part on which a concurrent apply relies.

    All deletes fail at first. For each call of an apply that needs a part
    listed as garbage, a run repeats the deletes just before that call.
    """
    for call_number in range(30):
        key_value = MemoryKeyValue()

        async def fail_deletes(
            call: str,
            key: str,
            key_value: MemoryKeyValue = key_value,
        ) -> None:
            key_value.outage = call == 'delete'

        key_value.before_call = fail_deletes
        config = await _create_garbage(key_value)
        key_value.outage = False
        store = ConfigStore(key_value)
        stored = await store.read_head()
        assert not isinstance(stored, Failure)
        assert stored.head is not None
        content = await store.read_part(stored.head.garbage)
        assert not isinstance(content, Failure)
        listed = msgspec.json.decode(content, type=dict[str, int])
        calls = itertools.count()

        async def delete_garbage(
            call: str,
            key: str,
            key_value: MemoryKeyValue = key_value,
            listed: dict[str, int] = listed,
            call_number: int = call_number,
            calls: Iterator[int] = calls,
        ) -> None:
            if next(calls) != call_number:
                return
            key_value.before_call = None
            for digest, revision in listed.items():
                await key_value.delete(f'{PART_PREFIX}{digest}', revision)

        key_value.before_call = delete_garbage
        outcome = await store.apply(config, stored.number, 'ann')
        assert isinstance(outcome, Head), outcome
        assert await load_current_config(key_value) == config


async def test_diff_names_every_change() -> None:
    """Guards against differences that the diff does not report."""
    before = make_config(2)
    after = replace_team(before, 'team-00001', make_team(1, 3.0))
    after = replace_team(after, 'team-new', make_team(9))
    teams = dict(after.teams)
    teams.pop('team-00000')
    after = dataclasses.replace(after, teams=teams)
    assert [change.line for change in diff(before, after)] == [
        'removed teams.team-00000',
        'changed teams.team-00001: weight 1.0 -> 3.0',
        'added teams.team-new',
    ]
    assert not diff(after, after)
