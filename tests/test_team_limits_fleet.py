"""Team limits over two running entries."""

import time

import anyio
import pytest

from masticwind.config.current import token_digest
from masticwind.config.model import Team
from masticwind.entry.limits import BURST_S, DEMAND_PROPAGATION_S
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.store.base import Instance
from masticwind_dev.local.fleet import Fleet, FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import PAID_TOKEN, ask, chat_body, sample_config

pytestmark = pytest.mark.anyio

LIMIT_PER_S = 10
ROUNDS = 60
# Spreads the rounds, so that the buckets are filled again several times.
PAUSE_S = 0.03
WATCHED_S = 4.0
# Reports are sent twice a second, and connecting takes some time.
SPREAD_S = 1.5
TEAM = Team(
    tier='paid',
    token_digests=(token_digest(PAID_TOKEN),),
    requests_per_s=LIMIT_PER_S,
)
PLAN = FleetPlan(
    config=sample_config(teams={'conservators': TEAM}),
    engines={'e1': ('zone-a', EngineModel(decode_ms=1))},
    entries=('entry-1', 'entry-2'),
)


async def _list_entries(fleet: Fleet) -> None:
    """Put the entries into the instance list beside the agents."""
    agents = [link.instance for link in fleet.entries['entry-1'].pool.links]
    entries = [
        Instance(
            node=name,
            role='entry',
            host='127.0.0.1',
            port=entry.neighbours.port,
            zone='zone-a',
        )
        for name, entry in fleet.entries.items()
    ]
    fleet.instances.publish((*agents, *entries))
    with anyio.fail_after(5):
        while any(
            entry.pool.live_entry_count < 2 for entry in fleet.entries.values()
        ):
            await anyio.sleep(0.02)


async def test_two_entries_keep_the_limit_of_a_team() -> None:
    """Guards against every entry enforcing the whole limit.

    The bound holds for any duration, so a slow machine cannot break it.
    """
    served = 0
    async with running_fleet(PLAN) as fleet:
        await _list_entries(fleet)
        clients = [
            HttpClient(f'http://127.0.0.1:{entry.port}')
            for entry in fleet.entries.values()
        ]
        started = time.monotonic()
        for _ in range(ROUNDS):
            for client in clients:
                answer = await ask(client, chat_body('x', 1))
                assert isinstance(answer, HttpAnswer)
                assert answer.status in (200, 429)
                served += answer.status == 200
            await anyio.sleep(PAUSE_S)
        elapsed_s = time.monotonic() - started
        for client in clients:
            await client.close()
    allowed = LIMIT_PER_S * (elapsed_s + BURST_S) + 2
    print(
        f'served {served} of {2 * ROUNDS} in {elapsed_s:.2f} s, '
        f'allowed {allowed:.1f}'
    )
    assert served <= allowed
    # Both buckets are full at the start.
    assert served >= LIMIT_PER_S * BURST_S


async def test_one_entry_gets_the_whole_limit_and_gives_it_back() -> None:
    """Guards against a limit that is half lost, or used twice.

    First one entry has all calls of the team, then the other joins.
    """
    async with running_fleet(PLAN) as fleet:
        await _list_entries(fleet)
        clients = [
            HttpClient(f'http://127.0.0.1:{entry.port}')
            for entry in fleet.entries.values()
        ]
        await _served(clients[:1], DEMAND_PROPAGATION_S + SPREAD_S)
        alone, alone_s = await _served(clients[:1], WATCHED_S)
        joined, joined_s = await _served(clients, WATCHED_S)
        even, even_s = await _served(clients, WATCHED_S)
        for client in clients:
            await client.close()
    print(
        f'alone {alone} in {alone_s:.2f} s, joined {joined} in '
        f'{joined_s:.2f} s, then {even} in {even_s:.2f} s'
    )
    # What the last fraction of a token buys may fall into the next period.
    assert alone >= int(LIMIT_PER_S * alone_s) - 1
    assert alone <= LIMIT_PER_S * (alone_s + BURST_S) + 2
    assert joined <= 1.5 * LIMIT_PER_S * (joined_s + BURST_S) + 2
    # Both demands are known by now, so the shares add up to the limit.
    assert even <= LIMIT_PER_S * (even_s + BURST_S) + 2


async def _served(
    clients: list[HttpClient],
    seconds: float,
) -> tuple[int, float]:
    served = 0
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        for client in clients:
            answer = await ask(client, chat_body('x', 1))
            assert isinstance(answer, HttpAnswer)
            assert answer.status in (200, 429)
            served += answer.status == 200
        await anyio.sleep(PAUSE_S)
    return served, time.monotonic() - started
