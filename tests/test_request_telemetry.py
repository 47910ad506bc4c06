"""Spans and metrics of model requests in a running fleet."""

import re
import socket
from pathlib import Path
from types import MappingProxyType

import anyio
import msgspec
import pytest

from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.settings import MetricsSettings, TraceSettings
from masticwind_dev.local.fleet import Fleet, FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import PAID_TOKEN, ask, chat_body, sample_config

pytestmark = pytest.mark.anyio

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
TRACEPARENT = f'00-{TRACE_ID}-b7ad6b7169203331-01'
FLUSH_MS = 50
PARENT_SPANS = MappingProxyType(
    {
        'entry.admission': 'entry.request',
        'entry.attempt': 'entry.request',
        'agent.queue': 'entry.attempt',
        'agent.engine': 'entry.attempt',
    }
)


def _client(fleet: Fleet) -> HttpClient:
    return HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')


async def test_spans_of_a_request_form_one_trace(tmp_path: Path) -> None:
    """Guards against a hop without a span or with a separate trace."""
    path = tmp_path / 'spans.jsonl'
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel(decode_ms=1))},
        traces=TraceSettings(file=str(path)),
    )
    async with running_fleet(plan) as fleet:
        client = _client(fleet)
        answer = await ask(client, chat_body('x'), traceparent=TRACEPARENT)
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200
        await client.close()
        # The agent's last span ends after the caller receives the response.
        await anyio.sleep(0.2)
        await fleet.drain()
        fleet.entries['entry-1'].tracer.close()
    spans = [
        msgspec.json.decode(line) for line in path.read_text().splitlines()
    ]
    assert {span['context']['trace_id'] for span in spans} == {f'0x{TRACE_ID}'}
    by_name = {span['name']: span for span in spans}
    assert len(by_name) == len(spans)
    for name, parent in PARENT_SPANS.items():
        expected = by_name[parent]['context']['span_id']
        assert by_name[name]['parent_id'] == expected, name


async def test_entry_and_agent_send_metrics_of_requests() -> None:
    """Guards against metrics that are declared but never sent."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(('127.0.0.1', 0))
        receiver.setblocking(False)
        plan = FleetPlan(
            config=sample_config(),
            engines={'e1': ('zone-a', EngineModel(decode_ms=1))},
            metrics=MetricsSettings(
                host='127.0.0.1',
                port=receiver.getsockname()[1],
                flush_ms=FLUSH_MS,
            ),
        )
        async with running_fleet(plan) as fleet:
            client = _client(fleet)
            await ask(client, chat_body('x'))
            # The prompt does not fit into any engine, so nothing runs.
            long_body = chat_body('x' * 7_000_000)
            refused = await ask(client, long_body)
            assert isinstance(refused, HttpAnswer)
            assert refused.status != 200
            await client.close()
            await anyio.sleep(FLUSH_MS * 5 / 1000)
        text = _received_text(receiver)
    for pattern in (
        'model.attempts:1|c',
        'model.refusals.[a-z_]+:1|c',
        'model.first_token_ms.paid.p50:',
        'agent.queued:0|g',
        'agent.running:0|g',
        'agent.ledger_tokens:0|g',
        'agent.ramp_entries:1|c',
        'config.generation:1|g',
    ):
        found = re.search(f'masticwind.{pattern}'.replace('|', r'\|'), text)
        assert found, pattern
    # Nothing was retried and nothing failed.
    assert 'model.retries' not in text
    assert 'model.failures' not in text


async def test_refusal_has_the_request_id() -> None:
    """Guards against error responses without the id of their request."""
    config = sample_config()
    plan = FleetPlan(
        config=config,
        engines={'e1': ('zone-a', EngineModel(memory_tokens=1000))},
    )
    async with running_fleet(plan) as fleet:
        client = _client(fleet)
        refused = await ask(client, chat_body('x' * 40_000))
        assert isinstance(refused, HttpAnswer)
        assert refused.status != 200
        request_id = refused.headers['x-request-id']
        outcome = await client.request(
            'GET',
            f'/v1/requests/{request_id}',
            timeout_s=5,
            headers=[(b'authorization', f'Bearer {PAID_TOKEN}'.encode())],
        )
        assert isinstance(outcome, HttpAnswer)
        assert outcome.status == 200
        await client.close()


def _received_text(receiver: socket.socket) -> str:
    datagrams: list[str] = []
    while True:
        try:
            datagrams.append(receiver.recv(65_536).decode())
        except BlockingIOError:
            return '\n'.join(datagrams)
