"""Parts of prompts that crash each engine which begins to answer them."""

import itertools
from typing import Final

import anyio
import pytest

from tests.poison_fleet import PoisonFleet, running_fleet

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


async def test_sound_prompts_are_served_beside_a_poison_part() -> None:
    """Guards against sound prompts that are held for their first part."""
    async with running_fleet(entries=2) as fleet:
        fleet.poison_parts.add(POISON)
        assert await _send_poison_and_sound_prompts(fleet, rounds=16) == 16
