"""Enforcement of a team's rate limit by two running entries."""

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
# Pause between rounds, so that the token buckets are refilled several times.
ROUND_PAUSE_S = 0.03
MEASURED_S = 4.0
# Time for the demand reports to reach the other entry: reports are sent every
# 0.5 s, after the entries have connected.
REPORT_DELAY_S = 1.5
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


async def _register_entries(fleet: Fleet) -> None:
    """Add the entries to the instance list and wait until they connect."""
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


async def test_two_entries_together_enforce_the_limit_of_a_team() -> None:
    """Guards against each entry granting the whole limit.

    The bound holds for any duration, so it holds on a slow machine too.
    """
    served = 0
    async with running_fleet(PLAN) as fleet:
        await _register_entries(fleet)
        clients = [
            HttpClient(f'http://127.0.0.1:{entry.port}')
            for entry in fleet.entries.values()
        ]
        started_s = time.monotonic()
        for _ in range(ROUNDS):
            for client in clients:
                answer = await ask(client, chat_body('x', 1))
                assert isinstance(answer, HttpAnswer)
                assert answer.status in (200, 429)
                served += answer.status == 200
            await anyio.sleep(ROUND_PAUSE_S)
        elapsed_s = time.monotonic() - started_s
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


async def test_shares_of_the_limit_follow_the_demand() -> None:
    """Guards against shares of the limit that ignore the demand.

    With fixed halves a team that uses one entry gets half of its limit; while
    the shares change, the limit could be granted twice. First one entry has
    all requests of the team, then both have some.
    """
    async with running_fleet(PLAN) as fleet:
        await _register_entries(fleet)
        clients = [
            HttpClient(f'http://127.0.0.1:{entry.port}')
            for entry in fleet.entries.values()
        ]
        await _count_served(clients[:1], DEMAND_PROPAGATION_S + REPORT_DELAY_S)
        alone, alone_s = await _count_served(clients[:1], MEASURED_S)
        joined, joined_s = await _count_served(clients, MEASURED_S)
        even, even_s = await _count_served(clients, MEASURED_S)
        for client in clients:
            await client.close()
    print(
        f'alone {alone} in {alone_s:.2f} s, joined {joined} in '
        f'{joined_s:.2f} s, then {even} in {even_s:.2f} s'
    )
    # The request of the last, fractional token may be in the next period.
    assert alone >= int(LIMIT_PER_S * alone_s) - 1
    assert alone <= LIMIT_PER_S * (alone_s + BURST_S) + 2
    assert joined <= 1.5 * LIMIT_PER_S * (joined_s + BURST_S) + 2
    # Now both entries know both demands, so the shares add up to the limit.
    assert even <= LIMIT_PER_S * (even_s + BURST_S) + 2


async def _count_served(
    clients: list[HttpClient],
    duration_s: float,
) -> tuple[int, float]:
    served = 0
    started_s = time.monotonic()
    while time.monotonic() - started_s < duration_s:
        for client in clients:
            answer = await ask(client, chat_body('x', 1))
            assert isinstance(answer, HttpAnswer)
            assert answer.status in (200, 429)
            served += answer.status == 200
        await anyio.sleep(ROUND_PAUSE_S)
    return served, time.monotonic() - started_s
