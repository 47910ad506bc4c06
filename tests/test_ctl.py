"""End-to-end tests of the operators' command and the administration API."""

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
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.fingerprints import RequestFingerprint
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
CLOSED_URL = 'http://127.0.0.1:9'


async def run_ctl(*arguments: str, token: str = '') -> tuple[int, str, str]:
    """Run the command; return its exit code and its output."""
    process = await anyio.run_process(
        [sys.executable, '-m', 'masticwind.ctl.main', *arguments],
        stdin=subprocess.DEVNULL,
        check=False,
        env={**os.environ, 'MASTICWIND_TOKEN': token},
    )
    return process.returncode, process.stdout.decode(), process.stderr.decode()


def _write_config(folder: Path, **changes: Any) -> str:
    raw = msgspec.to_builtins(sample_config())
    raw['operators'] = dict(OPERATORS)
    raw.update(changes)
    path = folder / 'fleet.yaml'
    path.write_text(yaml.safe_dump(raw))
    return str(path)


async def test_exit_codes_without_platform(tmp_path: Path) -> None:
    """Guards against exit codes that make a failure look like a success."""
    valid = _write_config(tmp_path)
    invalid = tmp_path / 'bad.yaml'
    invalid.write_text('teams: {crews: {tier: none, x: 1}}')
    assert (await run_ctl('validate', valid))[0] == 0
    code, _, errors = await run_ctl('validate', str(invalid))
    assert code == 2
    assert 'teams.crews.x' in errors
    assert (await run_ctl('validate'))[0] == 2
    assert (await run_ctl('no-such-command'))[0] == 2
    assert (await run_ctl('apply', valid))[0] == 2
    assert (await run_ctl('apply', valid, '--key-value', CLOSED_URL))[0] == 3
    code, out, _ = await run_ctl('validate', str(invalid), '--json')
    assert code == 2
    assert not msgspec.json.decode(out)['valid']


async def test_commands_work_through_key_value_service_and_api(
    tmp_path: Path,
) -> None:
    """Guards against commands that work in only one of the two modes."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel())},
    )
    files = _write_config(tmp_path)
    async with running_fleet(plan) as fleet:
        entry = fleet.entries['entry-1']
        direct = ('--key-value', fleet.platform.key_value_url, '--json')
        api = ('--api', f'http://127.0.0.1:{entry.port}', '--json')
        assert (await run_ctl('diff', files, *direct))[0] == 1
        code, out, errors = await run_ctl('apply', files, *direct)
        assert code == 0, errors
        assert msgspec.json.decode(out)['number'] == 2
        assert (await run_ctl('diff', files, *direct))[0] == 0
        with anyio.fail_after(5):
            while entry.config.number < 2:
                await anyio.sleep(0.01)
        changed = _write_config(tmp_path, models={'other': {}})
        writer, reader = 'writer-token', 'reader-token'
        assert (await run_ctl('apply', changed, *api, token='no'))[0] == 3
        assert (await run_ctl('apply', changed, *api, token=reader))[0] == 3
        assert entry.config.number == 2
        code, out, errors = await run_ctl('apply', changed, *api, token=writer)
        assert code == 0, errors
        assert entry.config.number == 3
        for options in (api, direct):
            stale = _write_config(tmp_path, models={'third': {}})
            stale_apply = ('apply', stale, '--expected', '2', *options)
            code, out, _ = await run_ctl(*stale_apply, token=writer)
            assert code == 1
            conflict = msgspec.json.decode(out)
            assert conflict['number'] == 3
            assert [change['name'] for change in conflict['changes']] == [
                'other',
                'third',
            ]
            code, out, _ = await run_ctl('history', *options, token=reader)
            assert code == 0
            numbers = [head['number'] for head in msgspec.json.decode(out)]
            assert numbers == [3, 2, 1]
            show_past = ('show', '--generation', '2', *options)
            code, out, _ = await run_ctl(*show_past, token=reader)
            assert code == 0
            assert msgspec.json.decode(out)['number'] == 2
        code, out, errors = await run_ctl('status', *api, token=reader)
        assert code == 0, errors
        found = msgspec.json.decode(out)
        assert found['processes']['entry-1'] == 3
        assert found['zones']['zone-a']['e1']['state'] in {'serving', 'cold'}


def test_tier_counter_drops_outcomes_after_a_minute() -> None:
    """Guards against totals that include outcomes older than a minute."""
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


async def test_held_part_of_chat_prompts_is_listed_and_released(
    tmp_path: Path,
) -> None:
    """Guards against a held part that operators cannot see or release."""
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel())},
    )
    async with running_fleet(plan) as fleet:
        entry = fleet.entries['entry-1']
        direct = ('--key-value', fleet.platform.key_value_url)
        files = _write_config(tmp_path)
        assert (await run_ctl('apply', files, *direct))[0] == 0
        with anyio.fail_after(5):
            while entry.config.number < 2:
                await anyio.sleep(0.01)
        for number in range(2):
            attempt = AttemptState()
            attempt.answer_begun = True
            running = entry.quarantine.start(
                RequestFingerprint(whole=f'prompt:{number}', parts=('poison',)),
                f'r{number}',
                attempt,
            )
            entry.quarantine.record_crash(running, f'e{number}', 'boot')
        api = ('--api', f'http://127.0.0.1:{entry.port}')
        reader, writer = 'reader-token', 'writer-token'
        listed = await run_ctl('held', 'list', *api, token=reader)
        assert listed[0] == 0, listed
        assert 'poison: 2 crashes' in listed[1]
        release = ('held', 'release', 'poison', *api)
        assert (await run_ctl(*release))[0] == 3
        assert (await run_ctl(*release, token=reader))[0] == 3
        assert entry.quarantine.held_count() == 1
        released = await run_ctl(*release, token=writer)
        assert released[:2] == (0, 'released poison\n'), released
        assert entry.quarantine.held_count() == 0
        assert (await run_ctl(*release, token=writer))[0] == 3
        assert (await run_ctl('held', 'list'))[0] == 2


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nup 1\n',
        b'HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\n\r\n{}',
        b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nbusy',
    ],
)
async def test_answer_of_another_program_is_reported_in_one_line(
    answer: bytes,
) -> None:
    """Guards against a traceback and a wrong exit code in scripts."""

    async def respond(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            async for _ in stream:
                await stream.send(answer)

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        tasks.start_soon(listener.serve, respond)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        address = f'127.0.0.1:{port}'
        for arguments in (
            ('held', 'list', '--entry', address),
            ('held', 'release', '91bd3f06', '--entry', address),
            ('show', '--api', f'http://{address}'),
        ):
            code, output, error = await run_ctl(*arguments)
            assert (code, output, error.count('\n')) == (3, '', 1), error
        tasks.cancel_scope.cancel()


async def test_failure_to_list_held_parts_is_json_on_demand() -> None:
    """Guards against scripts that get no JSON from `--json`."""
    code, output, _ = await run_ctl(
        'held', 'list', '--entry', '127.0.0.1:9', '--json'
    )
    assert code == 3
    assert msgspec.json.decode(output)['error']['reason']
