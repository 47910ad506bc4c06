"""Stalls of the event loop while a large configuration is handled."""

import gc
import time
from collections.abc import Iterator
from typing import Any, cast

import anyio
import msgspec
import pytest

from masticwind.config.current import CurrentConfig, token_digest
from masticwind.config.distribute import ConfigSync
from masticwind.config.model import Configuration, Generation, Operator, Team
from masticwind.config.parts import Head
from masticwind.config.store import ConfigStore
from masticwind.entry.admin import AdminApi, AdminDependencies
from masticwind.entry.agent_pool import AgentPool
from masticwind.serving.quarantine import Quarantine
from masticwind.startup_heap import freeze_startup_objects
from masticwind.web import Response
from tests.memory_kv import MemoryKeyValue
from tests.scenarios import sample_config

pytestmark = [pytest.mark.anyio, pytest.mark.alone]

TEAM_COUNT = 47_000
MAX_STALL_S = 0.1
PROBE_INTERVAL_S = 0.005
TOKEN = 'writer-token'


@pytest.fixture
def _frozen_start() -> Iterator[None]:
    freeze_startup_objects()
    yield
    gc.unfreeze()


def _config(changed_teams: int) -> Configuration:
    teams = {
        f'team-{number}': Team(
            tier='paid',
            token_digests=(token_digest(f'token-{number}'),),
            requests_per_s=20 if number < changed_teams else 10,
        )
        for number in range(TEAM_COUNT)
    }
    operator = Operator(token_digests=(token_digest(TOKEN),), role='writer')
    return sample_config(teams=teams, operators={'ann': operator})


async def _post(api: AdminApi, route: str, body: bytes) -> Any:
    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': body, 'more_body': False}

    scope = {
        'path': f'/admin/v1/{route}',
        'method': 'POST',
        'query_string': b'',
        'headers': [(b'authorization', f'Bearer {TOKEN}'.encode())],
    }
    return await api.serve(scope, receive)


async def _measure_stalls(stalls_s: list[float]) -> None:
    while True:
        started_s = time.monotonic()
        await anyio.sleep(PROBE_INTERVAL_S)
        stalls_s.append(time.monotonic() - started_s - PROBE_INTERVAL_S)


@pytest.mark.usefixtures('_frozen_start')
@pytest.mark.parametrize('route', ['apply', 'diff', 'validate'])
async def test_large_configuration_does_not_stall_the_entry(route: str) -> None:
    """Guards against blocking the event loop with a configuration's work.

    Checking 47,000 teams takes about 3 s; on the event loop it would stop
    the streams of all callers for this time.
    """
    current = CurrentConfig()
    start = sample_config(operators=_config(0).operators)
    store = ConfigStore(MemoryKeyValue())
    head = await store.apply(start, 0, 'ann')
    assert isinstance(head, Head)
    current.adopt(Generation(number=head.number, config=start))
    api = AdminApi(
        AdminDependencies(
            'entry-1',
            'zone-a',
            store,
            ConfigSync(current),
            cast(AgentPool, None),
            cast(Quarantine, None),
        ),
    )
    bodies = [
        msgspec.json.encode(_config(changed_teams)) for changed_teams in (0, 5)
    ]
    stalls_s: list[float] = []
    for body in bodies:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_measure_stalls, stalls_s)
            await anyio.sleep(PROBE_INTERVAL_S * 4)
            started_s = time.monotonic()
            answer = await _post(api, route, body)
            elapsed_s = time.monotonic() - started_s
            await anyio.sleep(PROBE_INTERVAL_S * 4)
            tasks.cancel_scope.cancel()
        assert isinstance(answer, Response), answer
        assert answer.status == 200, answer.body
        print(
            f'{route}: {elapsed_s:.2f} s, stall {max(stalls_s) * 1000:.0f} ms'
        )
    if route == 'apply':
        assert len(current.config.teams) == TEAM_COUNT
    assert max(stalls_s) <= MAX_STALL_S
