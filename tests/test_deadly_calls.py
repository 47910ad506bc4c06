"""Calls that end each engine that runs them, and come again."""

from http import HTTPStatus
from typing import Final

import anyio
import pytest

from tests.deadly_fleet import DeadlyFleet, running_deadly_fleet

pytestmark = pytest.mark.anyio

DEADLY: Final = 'dead'
# The users' bound: after the third crash, three requests.
MAX_RECEIVED: Final = 3 + 3
ROUNDS: Final = 14
ROUND_S: Final = 0.25


async def _repeat(
    fleet: DeadlyFleet, target: str, method: str, body: bytes = b''
) -> None:
    """Repeat a call at all entries in turn."""
    fleet.deadly.add(target)
    for number in range(ROUNDS):
        entry = fleet.entries[number % len(fleet.entries)]
        await fleet.call(entry, target, method=method, body=body)
        await anyio.sleep(ROUND_S)


@pytest.mark.parametrize(
    ('route', 'method', 'body'),
    [('read', 'GET', b''), ('order', 'POST', b'lime')],
)
async def test_deadly_call_stops_reaching_the_engines_of_all_entries(
    route: str, method: str, body: bytes
) -> None:
    """Guards against a call that ends one engine after the other."""
    async with running_deadly_fleet() as fleet:
        target = f'/{route}/{DEADLY}'
        await _repeat(fleet, target, method, body)
        assert fleet.received[target] <= MAX_RECEIVED
        await anyio.sleep(1)
        sound = await fleet.call(fleet.entries[0], f'/{route}/sound')
        assert sound.status == HTTPStatus.OK
