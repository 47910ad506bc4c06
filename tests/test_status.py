"""The fleet's status, validate and diff, and exit codes of the command line."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from masticwind.config.model import Operator
from masticwind.ctl.exit_codes import EXIT_UNKNOWN
from masticwind.ctl.table import format_status
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.local.fleet import Fleet, FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import PAID_TOKEN, chat_body, sample_config, send_chat
from tests.test_calls import ORDERS
from tests.test_ctl import OPERATORS, _write_config, run_ctl

pytestmark = pytest.mark.anyio

TABLE = """generation 7

PROCESS  GENERATION
agent-1  6           differs
entry-1  7

ZONE    ENDPOINT  STATE    RUNNING  QUEUED  MEMORY FREE
zone-a  e1        serving  3        1       100 of 400
zone-a  e2        down     -        -       -

TIER  SERVED  OTHER  LAST MINUTE
paid  5       3      overloaded=2 timed_out=1"""


def _plan(**changes: Any) -> FleetPlan:
    operators = {
        name: msgspec.convert(raw, Operator) for name, raw in OPERATORS.items()
    }
    config = sample_config(operators=operators, services={'orders': ORDERS})
    fields: dict[str, Any] = {
        'config': config,
        'engines': {'e1': ('zone-a', EngineModel(decode_ms=5))},
    }
    return FleetPlan(**(fields | changes))


def _sample_status() -> dict[str, Any]:
    return {
        'generation': 7,
        'processes': {'entry-1': 7, 'agent-1': 6},
        'zones': {
            'zone-a': {
                'e1': {
                    'state': 'serving',
                    'running': 3,
                    'queued': 1,
                    'memory_free_tokens': 100,
                    'memory_total_tokens': 400,
                },
                'e2': {'state': 'down'},
            },
        },
        'service_last_minute': {
            'paid': {'served': 5, 'overloaded': 2, 'timed_out': 1},
        },
    }


def _url(fleet: Fleet) -> str:
    return f'http://127.0.0.1:{fleet.entries["entry-1"].port}'


def test_status_is_a_table() -> None:
    """Guards against shifted columns and omitted outcomes."""
    assert '\n'.join(format_status(_sample_status())) == TABLE


async def test_watch_repeats_until_interrupted() -> None:
    """Guards against a watch that prints once or a traceback on SIGINT."""
    async with running_fleet(_plan()) as fleet:
        command = ('status', '--watch', '--api', _url(fleet))
        watch_process = await anyio.open_process(
            [sys.executable, '-m', 'masticwind.ctl.main', *command],
            stdin=subprocess.DEVNULL,
            env={**os.environ, 'MASTICWIND_TOKEN': 'reader-token'},
        )
        async with watch_process:
            assert watch_process.stdout is not None
            assert watch_process.stderr is not None
            text = b''
            with anyio.fail_after(20):
                while text.count(b'generation ') < 2:
                    text += await watch_process.stdout.receive()
            watch_process.send_signal(signal.SIGINT)
            errors = b''.join([chunk async for chunk in watch_process.stderr])
            code = await watch_process.wait()
    assert errors == b''
    assert code == 0


async def test_status_counts_broken_streams_and_calls() -> None:
    """Guards against counting a stream that breaks as served.

    Its HTTP status is 200, because it is sent before the engine restarts.
    """
    plan = _plan(
        services={'o-1': 'zone-a'}, service_by_endpoint={'o-1': 'orders'}
    )
    bearer = [(b'authorization', f'Bearer {PAID_TOKEN}'.encode())]
    async with running_fleet(plan) as fleet:
        client = HttpClient(_url(fleet))
        answers: list[Any] = []

        async def read_stream() -> None:
            body = chat_body('x', 200, stream=True)
            answers.append(await send_chat(client, body))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_stream)
            await anyio.sleep(0.3)
            fleet.engines['e1'].restart()
        path = '/v1/services/orders/cases/1'
        call_answer = await client.request(
            'GET', path, timeout_s=5, headers=bearer
        )
        assert isinstance(call_answer, HttpAnswer)
        assert call_answer.status == 200
        await client.close()
        code, out, errors = await run_ctl(
            'status',
            '--json',
            '--api',
            _url(fleet),
            token='reader-token',
        )
    assert code == 0, errors
    # The HTTP status of a stream is sent before the stream breaks.
    assert answers[0].status == 200
    assert b'"error"' in answers[0].body
    paid = msgspec.json.decode(out)['service_last_minute']['paid']
    assert paid == {'served': 1, 'failed_after_start': 1}


@pytest.mark.parametrize(
    ('route', 'body', 'status'),
    [
        ('validate', sample_config(), 200),
        ('validate', {'teams': {'t': {'tier': 'none'}}}, 422),
        ('validate', {'unknown': {}}, 422),
        ('diff', sample_config(), 200),
        ('diff', {'unknown': {}}, 422),
    ],
)
async def test_validate_and_diff_do_not_apply(
    route: str,
    body: Any,
    status: int,
) -> None:
    """Guards against a validate or diff that applies the configuration.

    Also against accepting an invalid configuration or a request without a
    token.
    """
    bearer = [(b'authorization', b'Bearer reader-token')]
    async with running_fleet(_plan()) as fleet:
        client = HttpClient(_url(fleet))
        answer = await client.request(
            'POST',
            f'/admin/v1/{route}',
            timeout_s=5,
            body=msgspec.json.encode(body),
            headers=bearer,
        )
        unauthenticated = await client.request(
            'POST',
            f'/admin/v1/{route}',
            timeout_s=5,
            body=msgspec.json.encode(body),
        )
        await client.close()
        assert fleet.entries['entry-1'].config.number == 1
    assert isinstance(unauthenticated, HttpAnswer)
    assert unauthenticated.status == 401
    assert isinstance(answer, HttpAnswer)
    assert answer.status == status
    content = msgspec.json.decode(answer.body)
    if status == 422:
        assert content['problems']
    elif route == 'validate':
        assert content == {'valid': True}
    else:
        names = {change['name'] for change in content['changes']}
        # The posted sample has neither operators nor services.
        assert names == {'ann', 'bob', 'orders'}
        assert content['generation'] == 1


async def test_lost_response_to_apply_has_its_own_exit_code(
    tmp_path: Path,
) -> None:
    """Guards against reporting an unknown outcome of apply as a refusal.

    The connection is closed after the request, before a response.
    """
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def close_after_request(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, close_after_request)
        code, _, errors = await run_ctl(
            'apply',
            _write_config(tmp_path),
            '--api',
            f'http://127.0.0.1:{port}',
            token='writer-token',
        )
        tasks.cancel_scope.cancel()
    assert code == EXIT_UNKNOWN, errors
    assert 'can be run again safely' in errors
