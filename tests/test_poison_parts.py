"""Parts of prompts that crash each engine which begins to answer them."""

import itertools
from typing import Final

import anyio
import pytest

from masticwind.httpclient import HttpAnswer
from tests.direct_fleet import OPERATOR_TOKEN, RunningDirectEntry
from tests.poison_fleet import PoisonFleet, running_fleet
from tests.test_ctl import run_ctl

pytestmark = pytest.mark.anyio

POISON: Final = 'poison'
FIRST: Final = 'first'
# The users' bound: after the fifth crash, three requests with the part.
MAX_REQUESTS: Final = 5 + 3


async def _send_poison_and_sound_prompts(
    fleet: PoisonFleet, rounds: int
) -> int:
    """Return how many of the sound prompts, one a round, were served."""
    served = 0
    numbers = itertools.count()
    for number in range(rounds):
        running = fleet.entries[number % len(fleet.entries)]
        await fleet.send_prompt(running, FIRST, POISON, f'own-{next(numbers)}')
        sound = await fleet.send_prompt(running, FIRST, f'own-{next(numbers)}')
        served += sound.status == 200
        await anyio.sleep(0.1)
    return served


async def test_poison_part_stops_reaching_the_engines_of_all_entries() -> None:
    """Guards against a part that crashes one engine after the other."""
    async with running_fleet(entries=2) as fleet:
        fleet.poison_parts.add(POISON)
        await _send_poison_and_sound_prompts(fleet, rounds=16)
        assert fleet.count_received(POISON) <= MAX_REQUESTS


async def test_poison_prompts_of_several_engines_are_held() -> None:
    """Guards against a poison prompt that evades as it needs more memory."""
    async with running_fleet(part_tokens=4000) as fleet:
        fleet.poison_parts.add(POISON)
        await _send_poison_and_sound_prompts(fleet, rounds=12)
        assert fleet.count_received(POISON) <= MAX_REQUESTS


async def test_sound_prompts_are_served_beside_a_poison_part() -> None:
    """Guards against sound prompts that are held for their first part."""
    async with running_fleet(entries=2) as fleet:
        fleet.poison_parts.add(POISON)
        assert await _send_poison_and_sound_prompts(fleet, rounds=16) == 16


@pytest.mark.parametrize('first_sound', [0, 8])
@pytest.mark.parametrize('position', [63, 66, 300])
async def test_sound_prompts_are_served_beside_a_part_behind_many_others(
    position: int, first_sound: int
) -> None:
    """Guards against sound prompts that are held, and engines that crash on,
    since a poison part far back in a long prompt is not compared.
    """
    shared = [f'{number:08x}' for number in range(position + 4)]
    poison = shared.copy()
    poison[position] = POISON
    statuses: list[int] = []
    async with running_fleet(entries=3, part_tokens=1) as fleet:
        fleet.poison_parts.add(POISON)
        for number in range(24):
            running = fleet.entries[number % 3]
            await fleet.send_prompt(running, *poison, f'bad-{number}')
            for other in fleet.entries[: 3 * (number >= first_sound)]:
                own = f'own-{len(statuses)}'
                answer = await fleet.send_prompt(other, *shared, own)
                statuses.append(answer.status)
            await anyio.sleep(0.1)
        assert fleet.count_received(POISON) <= MAX_REQUESTS
    assert set(statuses) == {200}


async def _crash_until_held(fleet: PoisonFleet) -> None:
    """Send poison prompts to the first entry until they are rejected."""
    fleet.poison_parts.add(POISON)
    for number in range(MAX_REQUESTS):
        answer = await fleet.send_prompt(
            fleet.entries[0], f'{FIRST}-{number}', POISON, f'own-{number}'
        )
        if answer.status == 503:
            return
    raise AssertionError('the part is not held')


async def test_rejected_prompt_did_not_run_and_is_not_to_come_again() -> None:
    """Guards against callers that return at once with a held part."""
    async with running_fleet() as fleet:
        await _crash_until_held(fleet)
        received = len(fleet.received)
        answer = await fleet.send_prompt(fleet.entries[0], POISON, 'own')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 10
        assert len(fleet.received) == received


async def test_started_entry_gets_held_parts_from_its_peers() -> None:
    """Guards against an entry that forgets held parts when it restarts."""
    async with running_fleet() as fleet:
        await _crash_until_held(fleet)
        running = await fleet.start_entry()
        await fleet.wait_until_served()
        with anyio.fail_after(5):
            while not running.entry._quarantine.held_count():
                await anyio.sleep(0.02)
        received = fleet.count_received(POISON)
        answer = await fleet.send_prompt(running, 'new', POISON, 'new-own')
        assert answer.status == 503
        assert fleet.count_received(POISON) == received


async def test_held_part_survives_the_end_of_all_entries() -> None:
    """Guards against new crashes after all entries were killed."""
    async with running_fleet() as fleet:
        await _crash_until_held(fleet)
        await anyio.sleep(0.5)
        for entry in fleet.entries:
            entry.scope.cancel()
        fleet.entries.clear()
        running = await fleet.start_entry()
        await fleet.wait_until_served()
        received = fleet.count_received(POISON)
        answer = await fleet.send_prompt(running, 'new', POISON, 'new-own')
        assert answer.status == 503
        assert fleet.count_received(POISON) == received


async def test_operators_list_and_release_a_held_part() -> None:
    """Guards against a held part that operators cannot see or release."""
    async with running_fleet() as fleet:
        await _crash_until_held(fleet)
        fleet.poison_parts.clear()
        first, second = fleet.entries
        entry = ('--entry', first.operations_address)
        code, listing, error = await run_ctl('held', 'list', *entry)
        assert code == 0, error
        assert f'{POISON}: ' in listing
        code, listing, error = await run_ctl('held', 'release', POISON, *entry)
        assert code == 3
        assert 'operator_token' in error
        code, _, error = await run_ctl(
            'held', 'release', POISON, *entry, token=OPERATOR_TOKEN
        )
        assert code == 0, error
        await anyio.sleep(0.2)
        answer = await fleet.send_prompt(second, 'new', POISON, 'new-own')
        assert answer.status == 200
        code, listing, _ = await run_ctl('held', 'list', *entry, '--json')
        assert POISON not in listing


async def test_crashes_without_a_poison_part_hold_nothing() -> None:
    """Guards against sound prompts held because engines end in series."""
    async with running_fleet() as fleet:
        bodies: list[bytes] = []

        async def send_prompts(entry: RunningDirectEntry) -> None:
            for number in range(60):
                answer = await fleet.try_prompt(
                    entry, FIRST, f'shared-{number % 3}', f'own-{number}'
                )
                if isinstance(answer, HttpAnswer):
                    bodies.append(answer.body)

        async with anyio.create_task_group() as tasks:
            for entry in (*fleet.entries, *fleet.entries):
                tasks.start_soon(send_prompts, entry)
            for _ in range(25):
                await anyio.sleep(0.08)
                await fleet.crash_engine(next(iter(fleet.engines)))
        assert any(b'id: 4' in body for body in bodies)
        assert not any(b'quarantined' in body for body in bodies)
