"""Team limits over two running entries."""

import time

import anyio
import pytest

from masticwind.config.current import token_digest
from masticwind.config.model import Team
from masticwind.entry.limits import BURST_S
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.platform.base import Instance
from masticwind_dev.local.fleet import Fleet, FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import PAID_TOKEN, ask, chat_body, sample_config

pytestmark = pytest.mark.anyio

LIMIT_PER_S = 10
ROUNDS = 60
# Spreads the rounds, so that the buckets are filled again several times.
PAUSE_S = 0.03


async def _list_entries(fleet: Fleet) -> None:
    """Put the entries into the instance list beside the agents."""
    agents = [link.instance for link in fleet.entries['entry-1'].pool.links]
    entries = [
        Instance(
            node=name,
            role='entry',
            host='127.0.0.1',
            port=entry.port,
            zone='zone-a',
        )
        for name, entry in fleet.entries.items()
    ]
    fleet.instances.publish((*agents, *entries))
    with anyio.fail_after(5):
        while any(
            entry.pool.live_entries < 2 for entry in fleet.entries.values()
        ):
            await anyio.sleep(0.02)


async def test_two_entries_keep_the_limit_of_a_team() -> None:
    """Guards against every entry enforcing the whole limit.

    The bound holds for any duration, so a slow machine cannot break it.
    """
    team = Team(
        tier='paid',
        token_digests=(token_digest(PAID_TOKEN),),
        requests_per_s=LIMIT_PER_S,
    )
    plan = FleetPlan(
        config=sample_config(teams={'conservators': team}),
        engines={'e1': ('zone-a', EngineModel(decode_ms=1))},
        entries=('entry-1', 'entry-2'),
    )
    served = 0
    async with running_fleet(plan) as fleet:
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
