"""Calls of plain services over HTTP, checked by what the service executed."""

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
    """Run two entries and two endpoints of one service."""
    plan = FleetPlan(
        config=sample_config(services={'orders': ORDERS}),
        engines={},
        services={'o-1': 'zone-a', 'o-2': 'zone-b'},
        service_by_endpoint={'o-1': 'orders', 'o-2': 'orders'},
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
    """Send one request to an entry and return the answer."""
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


async def place_order(fleet: Fleet, key: str, **options: Any) -> HttpAnswer:
    """Make a non-repeatable call."""
    return await call(
        fleet,
        'POST',
        '/v1/services/orders/orders',
        idempotency_key=key,
        **options,
    )


async def wait_for_outcome(
    fleet: Fleet,
    key: str,
    **options: Any,
) -> dict[str, Any]:
    """Poll the outcome of a request until it is no longer running."""
    while True:
        answer = await call(
            fleet,
            'GET',
            f'/v1/requests/{key}',
            body=b'',
            **options,
        )
        reported: dict[str, Any] = msgspec.json.decode(answer.body)
        if reported.get('state') != 'running':
            return reported
        await anyio.sleep(0.05)


def executions_by_key(fleet: Fleet) -> Counter[str]:
    """Count the endpoints' executions by idempotency key."""
    return Counter(
        execution.order
        for service in fleet.services.values()
        for execution in service.executions
    )


def error_of(answer: HttpAnswer) -> dict[str, Any]:
    """Return the error object of an answer."""
    error: dict[str, Any] = msgspec.json.decode(answer.body)['error']
    return error


async def test_call_rules_and_outcome_of_repeatable_call() -> None:
    """Guards against calls that no rule allows and against a missing outcome.

    An encoded path could match the rule of a repeatable call and reach a
    non-repeatable one at the service.
    """
    async with orders_fleet() as fleet:
        served = await call(fleet, 'GET', '/v1/services/orders/cases/7?x=1')
        refused = await call(fleet, 'DELETE', '/v1/services/orders/cases/7')
        encoded = await call(
            fleet,
            'GET',
            '/v1/services/orders/cases/%2e%2e/orders',
        )
        reported = await wait_for_outcome(fleet, served.headers['x-request-id'])
    assert served.status == 200
    assert msgspec.json.decode(served.body)['path'] == '/cases/7'
    assert msgspec.json.decode(served.body)['query'] == {'x': '1'}
    assert refused.status == 404
    assert encoded.status == 400
    assert reported['state'] == 'done'


async def test_too_large_body_and_too_long_key_are_refused() -> None:
    """Guards against a call that does not fit into a frame to the agent."""
    async with orders_fleet() as fleet:
        large = await place_order(
            fleet, 'k1', body=b'x' * (MAX_CALL_BODY_BYTES + 1)
        )
        fits = await place_order(fleet, 'k2', body=b'x' * MAX_CALL_BODY_BYTES)
        bad_key = await place_order(fleet, 'k' * 129)
        assert executions_by_key(fleet) == {'k2': 1}
    assert large.status == 413
    assert error_of(large)['run'] == 'not_run'
    assert fits.status == 200
    assert bad_key.status == 400


async def test_repeated_key_returns_the_recorded_response() -> None:
    """Guards against a second execution when a caller repeats a call.

    Also against returning the recorded response to a different call that
    uses the same key, or its outcome to another team.
    """
    async with orders_fleet() as fleet:
        first = await place_order(fleet, 'k1')
        reported = await wait_for_outcome(fleet, 'k1', entry='entry-2')
        again = await place_order(fleet, 'k1', entry='entry-2')
        changed = await place_order(fleet, 'k1', body=b'more lime')
        other_team = await call(
            fleet,
            'GET',
            '/v1/requests/k1',
            token=FREE_TOKEN,
        )
        assert executions_by_key(fleet) == {'k1': 1}
    assert first.status == 200
    assert first.headers['x-request-id'] == 'k1'
    assert reported['state'] == 'done'
    assert reported['body'] == first.body.decode()
    assert again.body == first.body
    assert error_of(changed)['kind'] == 'key_reused'
    assert other_team.status == 404


async def test_concurrent_calls_with_one_key_run_once() -> None:
    """Guards against two executions when two entries claim one key at once."""
    keys = [f'k{number}' for number in range(40)]
    async with orders_fleet() as fleet:
        async with anyio.create_task_group() as tasks:
            for key in keys:
                for entry in fleet.entries:
                    tasks.start_soon(_place_order_into, [], fleet, key, entry)
        assert executions_by_key(fleet) == dict.fromkeys(keys, 1)


async def test_call_is_not_run_during_a_key_value_outage() -> None:
    """Guards against executing a call that is reported as not run.

    Without the key-value service no claim can be written.
    """
    async with orders_fleet() as fleet:
        fleet.key_value.switches.outage = True
        refused = await place_order(fleet, 'k1')
        assert not executions_by_key(fleet)
        fleet.key_value.switches.outage = False
        served = await place_order(fleet, 'k1')
        assert executions_by_key(fleet) == {'k1': 1}
    assert error_of(refused)['kind'] == 'platform_down'
    assert error_of(refused)['run'] == 'not_run'
    assert served.status == 200


async def test_claim_with_lost_write_response_is_found() -> None:
    """Guards against giving up a claim that was written.

    The key-value service writes the claim, but its response is lost.
    """
    async with orders_fleet() as fleet:
        fleet.key_value.switches.lose_responses = 1
        served = await place_order(fleet, 'k1')
        assert executions_by_key(fleet) == {'k1': 1}
    assert served.status == 200


async def test_call_with_lost_service_response_is_not_resent() -> None:
    """Guards against sending a non-repeatable call again.

    The service executes the call, but its response is lost, so that the
    outcome is unknown.
    """
    async with orders_fleet() as fleet:
        for service in fleet.services.values():
            service.switches.lose_responses = 1
        lost = await place_order(fleet, 'k1', x_request_timeout_ms='500')
        reported = await wait_for_outcome(fleet, 'k1', entry='entry-2')
        again = await place_order(fleet, 'k1')
        assert executions_by_key(fleet) == {'k1': 1}
    assert error_of(lost)['run'] == 'may_have_run'
    assert reported['state'] == 'unknown'
    assert error_of(again)['run'] == 'may_have_run'


async def test_refused_repeatable_call_is_retried_elsewhere() -> None:
    """Guards against an error when one agent refuses and another can serve."""
    async with orders_fleet() as fleet:
        fleet.agents['o-1']._calls.draining = True
        served = await call(fleet, 'GET', '/v1/services/orders/cases/7')
    assert served.status == 200


async def test_call_is_not_sent_after_a_pause_of_the_process() -> None:
    """Guards against sending a claimed call after its time budget is used up.

    The process is paused between the claim and the send.
    """
    async with orders_fleet() as fleet:
        claims = fleet.entries['entry-1'].claims
        claim = claims.claim

        async def claim_then_pause(
            request: ClaimRequest, budget: Budget
        ) -> ClaimResult:
            result = await claim(request, budget)
            _pause_process(budget)
            return result

        claims.claim = claim_then_pause  # type: ignore[method-assign]
        refused = await place_order(fleet, 'k1', x_request_timeout_ms='400')
        reported = await wait_for_outcome(fleet, 'k1')
        assert not executions_by_key(fleet)
        claims.claim = claim  # type: ignore[method-assign]
        served = await place_order(fleet, 'k1')
        assert executions_by_key(fleet) == {'k1': 1}
    assert error_of(refused)['run'] == 'not_run'
    assert reported['state'] == 'not_run'
    assert served.status == 200


async def test_result_is_delivered_after_a_reconnect() -> None:
    """Guards against losing the result of a call with its connection.

    The connection between entry and agent breaks while the call runs.
    """
    async with orders_fleet() as fleet:
        for service in fleet.services.values():
            service.switches.delay_ms = 600
        answers: list[HttpAnswer] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_place_order_into, answers, fleet, 'k1', 'entry-1')
            while not executions_by_key(fleet):
                await anyio.sleep(0.01)
            for link in fleet.entries['entry-1'].pool.links:
                assert link.channel is not None
                link.channel.abort()
        assert executions_by_key(fleet) == {'k1': 1}
    assert answers[0].status == 200


async def test_spans_of_a_call_form_one_trace(tmp_path: Path) -> None:
    """Guards against a component that does not pass on the trace context."""
    spans_file = tmp_path / 'spans.jsonl'
    trace_id = '0af7651916cd43dd8448eb211c80319c'
    async with orders_fleet(str(spans_file)) as fleet:
        await place_order(
            fleet,
            'k1',
            traceparent=f'00-{trace_id}-b7ad6b7169203331-01',
        )
        for agent in fleet.agents.values():
            await agent.drain()
        for entry in fleet.entries.values():
            entry.tracer.close()
    spans = [
        msgspec.json.decode(line)
        for line in spans_file.read_text().splitlines()
    ]
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


async def _place_order_into(
    answers: list[HttpAnswer],
    fleet: Fleet,
    key: str,
    entry: str,
) -> None:
    answers.append(await place_order(fleet, key, entry=entry))


def _pause_process(budget: Budget) -> None:
    """Block the event loop until a time budget is used up."""
    time.sleep(budget.remaining_s())
