"""The stored form of the configuration: sizes, races, lost responses."""

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
    HISTORY_KEPT,
    HISTORY_PREFIX,
    PART_PREFIX,
    HeadReader,
)
from masticwind.config.model import Configuration, Model, Team, Tier
from masticwind.config.parts import Head, PartCache, split
from masticwind.config.store import ConfigStore
from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import MAX_VALUE_BYTES
from tests.memory_kv import MemoryKeyValue

pytestmark = pytest.mark.anyio

CHANGE_LIMIT_BYTES = 16_384
DESIGN_TEAMS = 47_000


def team(number: int, weight: float = 1.0) -> Team:
    """Return a team with all its limits set, as a large one has them."""
    return Team(
        tier='paid',
        token_digests=(f'sha256:{number:064x}',),
        weight=weight,
        requests_per_s=50,
        tokens_per_s=200_000,
        max_in_flight=400,
    )


def config_of(count: int, **changes: Any) -> Configuration:
    """Return a configuration with `count` teams."""
    sections: dict[str, Any] = {
        'tiers': {'paid': Tier(kind='paid')},
        'teams': {f'team-{one:05}': team(one) for one in range(count)},
        'models': {'standard': Model()},
    }
    sections.update(changes)
    return Configuration(**sections)


def with_team(config: Configuration, name: str, new: Team) -> Configuration:
    """Return `config` with one team replaced or added."""
    return dataclasses.replace(config, teams={**config.teams, name: new})


async def in_force(key_value: MemoryKeyValue) -> Configuration:
    """Load what is in force, as a process does that knows nothing."""
    reader = HeadReader(key_value)
    stored = await reader.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    generation = await reader.load(stored.head, PartCache())
    assert not isinstance(generation, Failure), generation
    return generation.config


async def applied(
    store: ConfigStore,
    config: Configuration,
    expected: int,
) -> Head:
    """Apply, and fail the test if that is refused."""
    head = await store.apply(config, expected, 'ann')
    assert isinstance(head, Head), head
    return head


async def test_change_of_one_team_is_small_at_design_scale() -> None:
    """Guards against rewriting the fleet's teams for a change of one.

    The bound covers everything that the apply writes and what a process
    with the generation before fetches.
    """
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    config = config_of(DESIGN_TEAMS)
    await applied(store, config, 0)
    assert key_value.largest < MAX_VALUE_BYTES
    cache = PartCache()
    stored = await store.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    assert not isinstance(await store.load(stored.head, cache), Failure)
    totals: list[int] = []
    for number in range(1, 40):
        name = f'team-{number * 997:05}'
        config = with_team(config, name, team(number * 997, 2.0))
        key_value.written.clear()
        head = await applied(store, config, number)
        written = key_value.written.total()
        key_value.read.clear()
        assert not isinstance(await store.load(head, cache), Failure)
        fetched = key_value.read.total()
        fetched += len(msgspec.json.encode(head))
        totals.append(written + fetched)
    print('bytes written and fetched:', min(totals), max(totals))
    assert max(totals) < CHANGE_LIMIT_BYTES
    assert (await in_force(key_value)).teams == config.teams


async def test_join_returns_what_was_split() -> None:
    """Guards against teams that are lost between buckets."""
    config = config_of(500)
    key_value = MemoryKeyValue()
    await applied(ConfigStore(key_value), config, 0)
    assert await in_force(key_value) == config


async def test_section_over_the_value_limit_is_refused() -> None:
    """Guards against a generation that the service cannot hold."""
    noise = random.Random(1)
    models = {
        f'm{one}': Model(version=noise.randbytes(1000).hex())
        for one in range(1000)
    }
    parts = split(config_of(1, models=models))
    assert isinstance(parts, Failure)
    assert parts.kind is ErrorKind.TOO_LARGE


async def test_outage_changes_nothing() -> None:
    """Guards against half an apply."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await applied(store, config_of(3), 0)

    async def fail_parts(call: str, key: str) -> None:
        key_value.outage = call == 'put' and key.startswith(PART_PREFIX)

    key_value.hook = fail_parts
    refused = await store.apply(config_of(4), 1, 'ann')
    key_value.hook = None
    key_value.outage = False
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.PLATFORM_DOWN
    assert await in_force(key_value) == config_of(3)


async def test_exactly_one_racing_operator_wins() -> None:
    """Guards against a lost update."""
    key_value = MemoryKeyValue()
    await applied(ConfigStore(key_value), config_of(1), 0)
    outcomes: dict[int, Head | Failure] = {}

    async def operate(number: int) -> None:
        wanted = config_of(2 + number)
        store = ConfigStore(key_value)
        outcomes[number] = await store.apply(wanted, 1, f'op-{number}')

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(operate, number)
    winners = [one for one, head in outcomes.items() if isinstance(head, Head)]
    losers = [one for one in outcomes.values() if isinstance(one, Failure)]
    assert len(winners) == 1
    assert {one.kind for one in losers} == {ErrorKind.CONFLICT}
    assert await in_force(key_value) == config_of(2 + winners[0])


@pytest.mark.parametrize('lost', ['lose_before', 'lose_after'])
async def test_lost_response_is_settled(lost: str) -> None:
    """Guards against a wrong outcome after a lost response."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)

    async def lose_head(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.hook = None
            setattr(key_value, lost, 1)

    key_value.hook = lose_head
    head = await applied(store, config_of(2), 0)
    assert head.number == 1
    assert await in_force(key_value) == config_of(2)
    assert len(key_value.versions[HEAD_KEY]) == 1


async def test_lost_response_then_another_generation() -> None:
    """Guards against reporting a conflict for a write that took effect."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await applied(store, config_of(1), 0)

    async def lose_head(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.hook = next_generation
            key_value.lose_after = 1

    async def next_generation(call: str, key: str) -> None:
        key_value.hook = None
        await applied(ConfigStore(key_value), config_of(3), 2)

    key_value.hook = lose_head
    head = await applied(store, config_of(2), 1)
    assert head.number == 2
    assert await in_force(key_value) == config_of(3)


async def test_lost_write_then_another_winner() -> None:
    """Guards against claiming the generation of another operator."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await applied(store, config_of(1), 0)

    async def lose_head(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.hook = other_wins
            key_value.lose_before = 1

    async def other_wins(call: str, key: str) -> None:
        key_value.hook = None
        await applied(ConfigStore(key_value), config_of(3), 1)

    key_value.hook = lose_head
    outcome = await store.apply(config_of(2), 1, 'ann')
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.CONFLICT
    assert await in_force(key_value) == config_of(3)


@pytest.mark.parametrize('took_effect', [True, False])
async def test_outage_after_lost_response_is_unknown(
    took_effect: bool,
) -> None:
    """Guards against a definite answer that nobody can give.

    The second run must give the same end whatever the first one did.
    """
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)

    async def lose_head(call: str, key: str) -> None:
        if call == 'put' and key == HEAD_KEY:
            key_value.hook = go_down
            setattr(
                key_value,
                'lose_after' if took_effect else 'lose_before',
                1,
            )

    async def go_down(call: str, key: str) -> None:
        key_value.outage = True

    key_value.hook = lose_head
    outcome = await store.apply(config_of(2), 0, 'ann')
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    assert 'run again safely' in outcome.reason
    key_value.hook = None
    key_value.outage = False
    head = await applied(store, config_of(2), 0)
    assert head.number == 1
    assert await in_force(key_value) == config_of(2)


async def test_same_configuration_makes_no_generation() -> None:
    """Guards against generations without a change."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    await applied(store, config_of(2), 0)
    head = await applied(store, config_of(2), 1)
    assert head.number == 1


async def test_history_and_parts_are_bounded() -> None:
    """Guards against stored data that grows with the number of changes."""
    key_value = MemoryKeyValue()
    store = ConfigStore(key_value)
    config = config_of(5)
    for number in range(HISTORY_KEPT * 4):
        config = with_team(config, 'team-00001', team(1, 1.0 + number))
        await applied(store, config, number)
    names = await key_value.list_keys(HISTORY_PREFIX)
    parts = await key_value.list_keys(PART_PREFIX)
    assert not isinstance(names, Failure)
    assert not isinstance(parts, Failure)
    assert len(names) == HISTORY_KEPT
    # Three parts for each kept generation and for those since the last
    # sweep, beside those of the generation in force and the lists.
    assert len(parts) < (HISTORY_KEPT + 2 * 16) * 3 + 40
    history = await store.history()
    assert not isinstance(history, Failure)
    assert len(history) == HISTORY_KEPT + 1
    for head in history:
        loaded = await store.load(head, PartCache())
        assert not isinstance(loaded, Failure), loaded
    assert await in_force(key_value) == config


async def _with_garbage(key_value: MemoryKeyValue) -> Configuration:
    """Bring about a head that lists a part of the returned configuration."""
    store = ConfigStore(key_value)
    first = config_of(1)
    number = 0
    while number < HISTORY_KEPT * 2:
        config = with_team(first, 'team-00000', team(0, 1.0 + number))
        await applied(store, config, number)
        number += 1
        gone = await _listed(store)
        if gone & set(_split(first)):
            return first
    raise AssertionError('no part was listed')


async def _listed(store: ConfigStore) -> set[str]:
    stored = await store.read_head()
    assert not isinstance(stored, Failure)
    assert stored.head is not None
    if not stored.head.garbage:
        return set()
    content = await store.read_part(stored.head.garbage)
    assert not isinstance(content, Failure)
    return set(msgspec.json.decode(content, type=dict[str, int]))


def _split(config: Configuration) -> dict[str, bytes]:
    parts = split(config)
    assert not isinstance(parts, Failure)
    return parts.contents


async def test_collector_keeps_parts_of_a_concurrent_apply() -> None:
    """Guards against deleting a part that an apply has found to be there.

    The deletes of the listing head fail at first. They are sent again at
    every point of an apply that needs a listed part.
    """
    for point in range(30):
        key_value = MemoryKeyValue()

        async def no_deletes(
            call: str,
            key: str,
            key_value: MemoryKeyValue = key_value,
        ) -> None:
            key_value.outage = call == 'delete'

        key_value.hook = no_deletes
        again = await _with_garbage(key_value)
        key_value.outage = False
        store = ConfigStore(key_value)
        stored = await store.read_head()
        assert not isinstance(stored, Failure)
        assert stored.head is not None
        content = await store.read_part(stored.head.garbage)
        assert not isinstance(content, Failure)
        listed = msgspec.json.decode(content, type=dict[str, int])
        calls = itertools.count()

        async def delete_late(
            call: str,
            key: str,
            key_value: MemoryKeyValue = key_value,
            listed: dict[str, int] = listed,
            point: int = point,
            calls: Iterator[int] = calls,
        ) -> None:
            if next(calls) != point:
                return
            key_value.hook = None
            for digest, revision in listed.items():
                await key_value.delete(f'{PART_PREFIX}{digest}', revision)

        key_value.hook = delete_late
        outcome = await store.apply(again, stored.number, 'ann')
        assert isinstance(outcome, Head), outcome
        assert await in_force(key_value) == again


async def test_diff_names_every_change() -> None:
    """Guards against a conflict that does not say what differs."""
    before = config_of(2)
    after = with_team(before, 'team-00001', team(1, 3.0))
    after = with_team(after, 'team-new', team(9))
    teams = dict(after.teams)
    teams.pop('team-00000')
    after = dataclasses.replace(after, teams=teams)
    assert [one.line for one in diff(before, after)] == [
        'removed teams.team-00000',
        'changed teams.team-00001: weight 1.0 -> 3.0',
        'added teams.team-new',
    ]
    assert not diff(after, after)
