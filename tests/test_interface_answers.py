"""Truncated and malformed answers behind the product's own interface."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import msgspec
import pytest

from masticwind.engines.http import HttpEngine, HttpService
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.local.fleet import Fleet, FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    Script,
)
from tests.early_answers import (
    BUFFERED_BYTES,
    EarlyEndpoint,
    Ending,
    early_answers,
    encode_early_head,
    finish_then_reset,
    reset,
)
from tests.scenarios import chat_body, sample_config, send_chat
from tests.test_calls import ORDERS, call, wait_for_outcome
from tests.test_impossible_statuses import ENDLESS, STATUSES, StatusScript

pytestmark = pytest.mark.anyio

PROMPT: Final = 'x' * 100_000
LINE: Final = b'{"offset":0,"tokens":["a"]}\n'
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


@asynccontextmanager
async def raw_fleet() -> AsyncIterator[tuple[Fleet, EarlyEndpoint]]:
    """Run a fleet whose engine and services answer as one raw endpoint."""
    plan = FleetPlan(
        config=sample_config(services={'orders': ORDERS}),
        engines={'e-1': ('zone-a', EngineModel())},
        services={'o-1': 'zone-a', 'o-2': 'zone-b'},
        service_by_endpoint={'o-1': 'orders', 'o-2': 'orders'},
    )
    raw = EarlyEndpoint()
    async with running_fleet(plan) as fleet, anyio.create_task_group() as tasks:
        await tasks.start(raw.run)
        url = f'http://127.0.0.1:{raw.port}'
        # Everything else is served by the stand-ins.
        for name in plan.services:
            _replace(fleet.agents[name]._calls._service, 'call', url)
        _replace(fleet.agents['e-1']._orders._engine, 'generate', url)
        yield fleet, raw
        tasks.cancel_scope.cancel()


def _replace(client: object, method: str, url: str) -> None:
    raw_client = HttpEngine(url) if method == 'generate' else HttpService(url)
    setattr(client, method, getattr(raw_client, method))


def _bad_answers(end: Ending) -> list[Script]:
    return list(early_answers(end, LINE))


def _bad_statuses() -> list[Script]:
    scripts: list[Script] = []
    for status in (*STATUSES, ENDLESS):
        script = StatusScript()
        script.status = status
        scripts.append(script)
    return scripts


async def _read_then_finish(req: ReceivedRequest, conn: RawConnection) -> None:
    await conn.write(encode_early_head(req, '') + LINE)
    await conn.stream.send_eof()
    await conn.read_to_end()
    await conn.close()


ANSWERS: Final = (
    pytest.param(_bad_answers(reset), id='reset'),
    pytest.param(_bad_answers(finish_then_reset), id='fin'),
    pytest.param(_bad_statuses(), id='status'),
)


def _assert_failure(answer: HttpAnswer) -> None:
    assert answer.status >= 500
    assert answer.status not in NOT_RUN_STATUSES
    error = msgspec.json.decode(answer.body)['error']
    assert error['run'] != 'not_run'


@pytest.mark.parametrize('answers', ANSWERS)
@pytest.mark.parametrize(
    ('method', 'path'), [('POST', 'orders'), ('GET', 'cases/7')]
)
async def test_bad_answer_of_a_service_is_a_failure(
    method: str, path: str, answers: list[Script]
) -> None:
    """Guards against a part of an answer, or one with an impossible status,
    that is the result of a call, and against an order that is sent twice.
    """
    async with raw_fleet() as (fleet, raw):
        for number, answer in enumerate(answers):
            raw.answer = answer
            raw.received.clear()
            key = f'k{number}'
            failed = await call(
                fleet,
                method,
                f'/v1/services/orders/{path}',
                body=b'x' * BUFFERED_BYTES,
                idempotency_key=key,
            )
            _assert_failure(failed)
            assert raw.received
            if method == 'POST':
                assert len(raw.received) == 1
                outcome = await wait_for_outcome(fleet, key)
                assert outcome['state'] in {'failed', 'unknown'}


@pytest.mark.parametrize(
    'answers', [*ANSWERS, pytest.param([_read_then_finish], id='no end')]
)
@pytest.mark.parametrize('stream', [False, True])
async def test_bad_answer_of_an_engine_is_a_failure(
    answers: list[Script], stream: bool
) -> None:
    """Guards against a part of an answer, or one with an impossible status,
    that ends a chat like a complete one.
    """
    async with raw_fleet() as (fleet, raw):
        client = HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')
        for answer in answers:
            raw.answer = answer
            raw.received.clear()
            failed = await send_chat(
                client,
                chat_body(PROMPT, stream=stream),
                x_request_timeout_ms='2000',
            )
            assert isinstance(failed, HttpAnswer)
            assert raw.received
            if failed.status == 200:
                assert stream
                assert b'"error"' in failed.body
                assert b'[DONE]' not in failed.body
            else:
                _assert_failure(failed)
        await client.close()
