"""Spans and metrics of model requests over a running fleet."""

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
from tests.scenarios import PAID_TOKEN, chat_body, sample_config, send_chat

pytestmark = pytest.mark.anyio

TRACE = '0af7651916cd43dd8448eb211c80319c'
PARENT = f'00-{TRACE}-b7ad6b7169203331-01'
FLUSH_MS = 50
TREE = MappingProxyType(
    {
        'entry.admission': 'entry.request',
        'entry.attempt': 'entry.request',
        'agent.queue': 'entry.attempt',
        'agent.engine': 'entry.attempt',
    }
)


def _client(fleet: Fleet) -> HttpClient:
    return HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')


async def test_spans_of_a_request_form_one_tree(tmp_path: Path) -> None:
    """Guards against a hop that is missing from a trace or starts its own."""
    path = tmp_path / 'spans.jsonl'
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel(decode_ms=1))},
        traces=TraceSettings(file=str(path)),
    )
    async with running_fleet(plan) as fleet:
        client = _client(fleet)
        answer = await send_chat(client, chat_body('x'), traceparent=PARENT)
        assert isinstance(answer, HttpAnswer)
        assert answer.status == 200
        await client.close()
        # The agent's last span ends after the caller has its answer.
        await anyio.sleep(0.2)
        await fleet.drain()
        fleet.entries['entry-1'].tracer.close()
    spans = [
        msgspec.json.decode(line) for line in path.read_text().splitlines()
    ]
    assert {span['context']['trace_id'] for span in spans} == {f'0x{TRACE}'}
    by_name = {span['name']: span for span in spans}
    assert len(by_name) == len(spans)
    for name, parent in TREE.items():
        expected = by_name[parent]['context']['span_id']
        assert by_name[name]['parent_id'] == expected, name


async def test_metrics_of_requests_leave_entry_and_agent() -> None:
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
            await send_chat(client, chat_body('x'))
            # No engine can hold it, so nothing runs.
            long = chat_body('x' * 7_000_000)
            refused = await send_chat(client, long)
            assert isinstance(refused, HttpAnswer)
            assert refused.status != 200
            await client.close()
            await anyio.sleep(FLUSH_MS * 5 / 1000)
        text = _received(receiver)
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
    # Only what happened is counted.
    assert 'model.retries' not in text
    assert 'model.failures' not in text


async def test_refused_model_request_has_its_id() -> None:
    """Guards against error answers that cannot be matched with a trace."""
    config = sample_config()
    plan = FleetPlan(
        config=config,
        engines={'e1': ('zone-a', EngineModel(memory_tokens=1000))},
    )
    async with running_fleet(plan) as fleet:
        client = _client(fleet)
        refused = await send_chat(client, chat_body('x' * 40_000))
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


def _received(receiver: socket.socket) -> str:
    texts: list[str] = []
    while True:
        try:
            texts.append(receiver.recv(65_536).decode())
        except BlockingIOError:
            return '\n'.join(texts)
