"""Plain service calls over HTTP, judged from what the service executed."""

import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from masticwind.budget import Budget
from masticwind.config.model import CallRule, PlainService
from masticwind.entry.calls import MAX_CALL_BODY_BYTES
from masticwind.entry.claim_records import ClaimRequest
from masticwind.entry.pending_claims import ClaimResult
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.settings import ClaimSettings, TraceSettings
from masticwind_dev.local.fleet import Fleet, FleetPlan, running_fleet
from tests.scenarios import FREE_TOKEN, PAID_TOKEN, sample_config

pytestmark = pytest.mark.anyio

ORDERS = PlainService(
    calls=(
        CallRule(method='POST', path='/orders', repeatable=False),
        CallRule(method='GET', path='/cases/*'),
    ),
)


@asynccontextmanager
async def orders_fleet(trace_file: str = '') -> AsyncIterator[Fleet]:
    """Run two entries before two endpoints of one service."""
    plan = FleetPlan(
        config=sample_config(services={'orders': ORDERS}),
        engines={},
        services={'o-1': 'zone-a', 'o-2': 'zone-b'},
        service_of={'o-1': 'orders', 'o-2': 'orders'},
        claims=ClaimSettings(outcome_delay_ms=50),
        traces=TraceSettings(file=trace_file),
        entries=('entry-1', 'entry-2'),
        entry_zone='zone-a',
    )
    async with running_fleet(plan) as fleet:
        yield fleet


async def call(
    fleet: Fleet,
    method: str,
    path: str,
    *,
    entry: str = 'entry-1',
    body: bytes = b'lime',
    token: str = PAID_TOKEN,
    **headers: str,
) -> HttpAnswer:
    """Make one request at an entry and return its answer."""
    client = HttpClient(f'http://127.0.0.1:{fleet.entries[entry].port}')
    answer = await client.request(
        method,
        path,
        timeout_s=30,
        body=body,
        headers=[
            (b'authorization', f'Bearer {token}'.encode()),
            *(
                (name.replace('_', '-').encode(), text.encode())
                for name, text in headers.items()
            ),
        ],
    )
    await client.close()
    assert isinstance(answer, HttpAnswer), answer
    return answer


async def order(fleet: Fleet, key: str, **more: Any) -> HttpAnswer:
    """Make a non-repeatable call."""
    return await call(
        fleet,
        'POST',
        '/v1/services/orders/orders',
        idempotency_key=key,
        **more,
    )


async def outcome(fleet: Fleet, key: str, **more: Any) -> dict[str, Any]:
    """Ask for the outcome of a request until it is not running any more."""
    while True:
        answer = await call(
            fleet,
            'GET',
            f'/v1/requests/{key}',
            body=b'',
            **more,
        )
        told: dict[str, Any] = msgspec.json.decode(answer.body)
        if told.get('state') != 'running':
            return told
        await anyio.sleep(0.05)


def runs(fleet: Fleet) -> Counter[str]:
    """Count what the endpoints executed, by idempotency key."""
    return Counter(
        one.order
        for service in fleet.services.values()
        for one in service.executions
    )


def error_of(answer: HttpAnswer) -> dict[str, Any]:
    """Return the error object of an answer."""
    error: dict[str, Any] = msgspec.json.decode(answer.body)['error']
    return error


async def test_repeatable_call_and_unknown_route() -> None:
    """Guards against a call that no rule allows, and a missing id."""
    async with orders_fleet() as fleet:
        served = await call(fleet, 'GET', '/v1/services/orders/cases/7?x=1')
        refused = await call(fleet, 'DELETE', '/v1/services/orders/cases/7')
        hidden = await call(
            fleet,
            'GET',
            '/v1/services/orders/cases/%2e%2e/orders',
        )
        told = await outcome(fleet, served.headers['x-request-id'])
    assert served.status == 200
    assert msgspec.json.decode(served.body)['path'] == '/cases/7'
    assert msgspec.json.decode(served.body)['query'] == {'x': '1'}
    assert refused.status == 404
    assert hidden.status == 400
    assert told['state'] == 'done'


async def test_large_body_and_bad_key_are_refused() -> None:
    """Guards against a call that does not fit the inner protocol."""
    async with orders_fleet() as fleet:
        large = await order(fleet, 'k1', body=b'x' * (MAX_CALL_BODY_BYTES + 1))
        fits = await order(fleet, 'k2', body=b'x' * MAX_CALL_BODY_BYTES)
        bad_key = await order(fleet, 'k' * 129)
        assert runs(fleet) == {'k2': 1}
    assert large.status == 413
    assert error_of(large)['run'] == 'not_run'
    assert fits.status == 200
    assert bad_key.status == 400


async def test_order_runs_once_and_is_answered_again() -> None:
    """Guards against a second run, and an answer to another call's key."""
    async with orders_fleet() as fleet:
        first = await order(fleet, 'k1')
        told = await outcome(fleet, 'k1', entry='entry-2')
        again = await order(fleet, 'k1', entry='entry-2')
        changed = await order(fleet, 'k1', body=b'more lime')
        other_team = await call(
            fleet,
            'GET',
            '/v1/requests/k1',
            token=FREE_TOKEN,
        )
        assert runs(fleet) == {'k1': 1}
    assert first.status == 200
    assert first.headers['x-request-id'] == 'k1'
    assert told['state'] == 'done'
    assert told['body'] == first.body.decode()
    assert again.body == first.body
    assert error_of(changed)['kind'] == 'key_reused'
    assert other_team.status == 404


async def test_same_keys_at_two_entries_at_once() -> None:
    """Guards against two entries that both send one order."""
    keys = [f'k{number}' for number in range(40)]
    async with orders_fleet() as fleet:
        async with anyio.create_task_group() as tasks:
            for key in keys:
                for entry in fleet.entries:
                    tasks.start_soon(_collect, [], fleet, key, entry)
        assert runs(fleet) == dict.fromkeys(keys, 1)


async def test_refused_without_key_value_service() -> None:
    """Guards against a refusal 'not run' for an order that ran."""
    async with orders_fleet() as fleet:
        fleet.key_value.switches.outage = True
        refused = await order(fleet, 'k1')
        assert not runs(fleet)
        fleet.key_value.switches.outage = False
        served = await order(fleet, 'k1')
        assert runs(fleet) == {'k1': 1}
    assert error_of(refused)['kind'] == 'platform_down'
    assert error_of(refused)['run'] == 'not_run'
    assert served.status == 200


async def test_lost_answer_to_the_claim_is_settled() -> None:
    """Guards against a claim that is given up although it was written."""
    async with orders_fleet() as fleet:
        fleet.key_value.switches.lose_responses = 1
        served = await order(fleet, 'k1')
        assert runs(fleet) == {'k1': 1}
    assert served.status == 200


async def test_lost_answer_of_the_service_is_not_resent() -> None:
    """Guards against a resend after an order with an unknown outcome."""
    async with orders_fleet() as fleet:
        for service in fleet.services.values():
            service.switches.lose_responses = 1
        lost = await order(fleet, 'k1', x_request_timeout_ms='500')
        told = await outcome(fleet, 'k1', entry='entry-2')
        again = await order(fleet, 'k1')
        assert runs(fleet) == {'k1': 1}
    assert error_of(lost)['run'] == 'may_have_run'
    assert told['state'] == 'unknown'
    assert error_of(again)['run'] == 'may_have_run'


async def test_refused_repeatable_call_moves() -> None:
    """Guards against an error while another endpoint could serve."""
    async with orders_fleet() as fleet:
        fleet.agents['o-1']._calls.draining = True
        served = await call(fleet, 'GET', '/v1/services/orders/cases/7')
    assert served.status == 200


async def test_paused_entry_does_not_send() -> None:
    """Guards against an order sent by a process that slept too long."""
    async with orders_fleet() as fleet:
        claims = fleet.entries['entry-1'].claims
        claim = claims.claim

        async def paused(request: ClaimRequest, budget: Budget) -> ClaimResult:
            result = await claim(request, budget)
            _pause_process(budget)
            return result

        claims.claim = paused  # type: ignore[method-assign]
        refused = await order(fleet, 'k1', x_request_timeout_ms='400')
        told = await outcome(fleet, 'k1')
        assert not runs(fleet)
        claims.claim = claim  # type: ignore[method-assign]
        served = await order(fleet, 'k1')
        assert runs(fleet) == {'k1': 1}
    assert error_of(refused)['run'] == 'not_run'
    assert told['state'] == 'not_run'
    assert served.status == 200


async def test_result_reaches_an_entry_that_reconnected() -> None:
    """Guards against losing an outcome with the connection."""
    async with orders_fleet() as fleet:
        for service in fleet.services.values():
            service.switches.delay_ms = 600
        answers: list[HttpAnswer] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_collect, answers, fleet, 'k1', 'entry-1')
            while not runs(fleet):
                await anyio.sleep(0.01)
            for link in fleet.entries['entry-1'].pool.links:
                assert link.channel is not None
                link.channel.abort()
        assert runs(fleet) == {'k1': 1}
    assert answers[0].status == 200


async def test_spans_of_an_order_form_one_trace(tmp_path: Path) -> None:
    """Guards against a hop that drops the trace context."""
    file = tmp_path / 'spans.jsonl'
    trace_id = '0af7651916cd43dd8448eb211c80319c'
    async with orders_fleet(str(file)) as fleet:
        await order(
            fleet,
            'k1',
            traceparent=f'00-{trace_id}-b7ad6b7169203331-01',
        )
        for agent in fleet.agents.values():
            await agent.drain()
        for entry in fleet.entries.values():
            entry.tracer.close()
    spans = [msgspec.json.decode(one) for one in file.read_text().splitlines()]
    traced = {
        span['name']
        for span in spans
        if span['context']['trace_id'] == f'0x{trace_id}'
    }
    assert traced == {
        'entry.request',
        'entry.claim',
        'entry.attempt',
        'agent.call',
    }


async def _collect(
    answers: list[HttpAnswer],
    fleet: Fleet,
    key: str,
    entry: str,
) -> None:
    answers.append(await order(fleet, key, entry=entry))


def _pause_process(budget: Budget) -> None:
    """Stop the event loop until a time budget is used up."""
    time.sleep(budget.remaining_s())
