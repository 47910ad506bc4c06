"""The operators' command and the administration API, end to end."""

import os
import subprocess
import sys
from pathlib import Path
from types import MappingProxyType
from typing import Any

import anyio
import msgspec
import pytest
import yaml

from masticwind.config.current import token_digest
from masticwind.entry.tier_outcomes import TierOutcomeCounter
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import sample_config

pytestmark = pytest.mark.anyio

OPERATORS = MappingProxyType(
    {
        'ann': {
            'token_digests': [token_digest('writer-token')],
            'role': 'writer',
        },
        'bob': {'token_digests': [token_digest('reader-token')]},
    }
)
DEAD_URL = 'http://127.0.0.1:9'


async def ctl(*arguments: str, token: str = '') -> tuple[int, str, str]:
    """Run the command; return its exit code and its output."""
    done = await anyio.run_process(
        [sys.executable, '-m', 'masticwind.ctl.main', *arguments],
        stdin=subprocess.DEVNULL,
        check=False,
        env={**os.environ, 'MASTICWIND_TOKEN': token},
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


def _files(folder: Path, **changes: Any) -> str:
    raw = msgspec.to_builtins(sample_config())
    raw['operators'] = dict(OPERATORS)
    raw.update(changes)
    path = folder / 'fleet.yaml'
    path.write_text(yaml.safe_dump(raw))
    return str(path)


async def test_exit_codes_without_a_platform(tmp_path: Path) -> None:
    """Guards against scripts that take a failure for success."""
    good = _files(tmp_path)
    bad = tmp_path / 'bad.yaml'
    bad.write_text('teams: {crews: {tier: none, x: 1}}')
    assert (await ctl('validate', good))[0] == 0
    code, _, errors = await ctl('validate', str(bad))
    assert code == 2
    assert 'teams.crews.x' in errors
    assert (await ctl('validate'))[0] == 2
    assert (await ctl('no-such-command'))[0] == 2
    assert (await ctl('apply', good))[0] == 2
    assert (await ctl('apply', good, '--key-value', DEAD_URL))[0] == 3
    code, out, _ = await ctl('validate', str(bad), '--json')
    assert code == 2
    assert not msgspec.json.decode(out)['valid']


async def test_operators_work_through_service_and_api(tmp_path: Path) -> None:
    """Guards against a command or route that works in one form only."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel())},
    )
    files = _files(tmp_path)
    async with running_fleet(plan) as fleet:
        entry = fleet.entries['entry-1']
        direct = ('--key-value', fleet.platform.key_value_url, '--json')
        api = ('--api', f'http://127.0.0.1:{entry.port}', '--json')
        assert (await ctl('diff', files, *direct))[0] == 1
        code, out, errors = await ctl('apply', files, *direct)
        assert code == 0, errors
        assert msgspec.json.decode(out)['number'] == 2
        assert (await ctl('diff', files, *direct))[0] == 0
        with anyio.fail_after(5):
            while entry.config.number < 2:
                await anyio.sleep(0.01)
        changed = _files(tmp_path, models={'other': {}})
        writer, reader = 'writer-token', 'reader-token'
        assert (await ctl('apply', changed, *api, token='no'))[0] == 3
        assert (await ctl('apply', changed, *api, token=reader))[0] == 3
        assert entry.config.number == 2
        code, out, errors = await ctl('apply', changed, *api, token=writer)
        assert code == 0, errors
        assert entry.config.number == 3
        for options in (api, direct):
            stale = _files(tmp_path, models={'third': {}})
            stale_apply = ('apply', stale, '--expected', '2', *options)
            code, out, _ = await ctl(*stale_apply, token=writer)
            assert code == 1
            conflict = msgspec.json.decode(out)
            assert conflict['number'] == 3
            assert [one['name'] for one in conflict['changes']] == [
                'other',
                'third',
            ]
            code, out, _ = await ctl('history', *options, token=reader)
            assert code == 0
            numbers = [one['number'] for one in msgspec.json.decode(out)]
            assert numbers == [3, 2, 1]
            show_past = ('show', '--generation', '2', *options)
            code, out, _ = await ctl(*show_past, token=reader)
            assert code == 0
            assert msgspec.json.decode(out)['number'] == 2
        code, out, errors = await ctl('status', *api, token=reader)
        assert code == 0, errors
        found = msgspec.json.decode(out)
        assert found['processes']['entry-1'] == 3
        assert found['zones']['zone-a']['e1']['state'] in {'serving', 'cold'}


def test_tier_counter_forgets_after_a_minute() -> None:
    """Guards against totals that mix the last minute with older service."""
    now = [0.0]
    counter = TierOutcomeCounter(lambda: now[0])
    counter.count('paid', 'served')
    now[0] = 59.5
    counter.count('paid', 'served')
    assert counter.last_minute() == {'paid': {'served': 2}}
    now[0] = 60.1
    assert counter.last_minute() == {'paid': {'served': 1}}
    now[0] = 200
    assert counter.last_minute() == {}
