"""An apply of the largest configuration beside the entry's other work."""

import time
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
from masticwind.entry.peers import AgentPool
from masticwind.web import Response
from tests.memory_kv import MemoryKeyValue
from tests.scenarios import sample_config

pytestmark = [pytest.mark.anyio, pytest.mark.alone]

TEAMS = 47_000
MAX_STALL_S = 0.1
PROBE_S = 0.005
TOKEN = 'writer-token'


def _config(changed: int) -> Configuration:
    teams = {
        f'team-{number}': Team(
            tier='paid',
            token_digests=(token_digest(f'token-{number}'),),
            requests_per_s=20 if number < changed else 10,
        )
        for number in range(TEAMS)
    }
    ann = Operator(token_digests=(token_digest(TOKEN),), role='writer')
    return sample_config(teams=teams, operators={'ann': ann})


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


async def _probe(stalls: list[float]) -> None:
    while True:
        before = time.monotonic()
        await anyio.sleep(PROBE_S)
        stalls.append(time.monotonic() - before - PROBE_S)


@pytest.mark.parametrize('route', ['apply', 'diff', 'validate'])
async def test_large_configuration_does_not_stall_the_entry(route: str) -> None:
    """Guards against callers' streams that stop while an operator applies."""
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
        ),
    )
    bodies = [msgspec.json.encode(_config(changed)) for changed in (0, 5)]
    stalls: list[float] = []
    for body in bodies:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_probe, stalls)
            await anyio.sleep(PROBE_S * 4)
            started = time.monotonic()
            answer = await _post(api, route, body)
            elapsed_s = time.monotonic() - started
            await anyio.sleep(PROBE_S * 4)
            tasks.cancel_scope.cancel()
        assert isinstance(answer, Response), answer
        assert answer.status == 200, answer.body
        print(f'{route}: {elapsed_s:.2f} s, stall {max(stalls) * 1000:.0f} ms')
    if route == 'apply':
        assert len(current.config.teams) == TEAMS
    assert max(stalls) <= MAX_STALL_S
