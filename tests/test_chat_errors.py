"""Errors and usage events of the chat-completions route."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import msgspec
import pytest

from masticwind.config.current import CurrentConfig
from masticwind.config.model import Generation
from masticwind.entry.agent_pool import AgentPool
from masticwind.entry.app import AppDependencies, EntryApp
from masticwind.entry.claims import Claims
from masticwind.entry.relay import Relay
from masticwind.httpclient import HttpClient
from masticwind.metrics import Metrics
from masticwind.tracing import Tracer
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.routing_fakes import entry_settings
from tests.scenarios import PAID_TOKEN, ask, chat_body, sample_config

pytestmark = pytest.mark.anyio


def _app(**settings: Any) -> EntryApp:
    config = CurrentConfig()
    config.adopt(Generation(number=1, config=sample_config()))
    cfg = entry_settings(**settings)
    # The tests send only requests that are refused before they are relayed.
    return EntryApp(
        AppDependencies(
            cfg,
            config,
            cast(Relay, None),
            cast(AgentPool, None),
            cast(Claims, None),
            Metrics(cfg.metrics),
            Tracer(cfg.traces, cfg.node),
        ),
    )


async def _post(
    app: EntryApp,
    body: bytes,
    headers: dict[str, str] | None = None,
    *,
    complete: bool = True,
) -> tuple[int, dict[str, Any]]:
    events = [{'type': 'http.request', 'body': body, 'more_body': not complete}]
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        if not events:
            await anyio.sleep_forever()
        return events.pop()

    async def send(event: dict[str, Any]) -> None:
        sent.append(event)

    all_headers = {'authorization': f'Bearer {PAID_TOKEN}', **(headers or {})}
    scope = {
        'path': '/v1/chat/completions',
        'method': 'POST',
        'headers': [
            (name.replace('_', '-').encode(), value.encode())
            for name, value in all_headers.items()
        ],
    }
    with anyio.fail_after(5):
        await app(scope, receive, send)
    error = msgspec.json.decode(sent[1]['body'])['error']
    return sent[0]['status'], error


@pytest.mark.parametrize(
    ('body', 'headers', 'status', 'kind'),
    [
        (b'{', {}, 400, 'bad_request'),
        (chat_body('x', model='none'), {}, 404, 'unknown_model'),
        (chat_body('x', 0), {}, 400, 'bad_request'),
        (chat_body('x' * 5000), {}, 413, 'too_large'),
        (
            chat_body('x'),
            {'x_request_timeout_ms': '0'},
            400,
            'timeout_out_of_range',
        ),
        (
            chat_body('x'),
            {'x_request_timeout_ms': '9' * 5000},
            400,
            'timeout_out_of_range',
        ),
        (
            chat_body('x'),
            {'x_request_timeout_ms': '1.5'},
            400,
            'timeout_out_of_range',
        ),
        (chat_body('x'), {'authorization': 'Bearer x'}, 401, 'unauthenticated'),
    ],
)
async def test_invalid_request_gets_the_documented_error(
    body: bytes,
    headers: dict[str, str],
    status: int,
    kind: str,
) -> None:
    """Guards against a crash or an undocumented error for a bad request."""
    app = _app(max_body_bytes=4096)
    received_status, error = await _post(app, body, headers)
    assert (received_status, error['kind'], error['run']) == (
        status,
        kind,
        'not_run',
    )


async def test_incomplete_body_times_out() -> None:
    """Guards against waiting forever for the rest of a body."""
    app = _app(body_timeout_ms=50)
    status, error = await _post(app, b'{', complete=False)
    assert (status, error['kind']) == (408, 'body_timeout')
    assert error['repeat_safe']


@asynccontextmanager
async def _client() -> AsyncIterator[HttpClient]:
    plan = FleetPlan(
        config=sample_config(),
        engines={'e1': ('zone-a', EngineModel())},
    )
    async with running_fleet(plan) as fleet:
        client = HttpClient(f'http://127.0.0.1:{fleet.entries["entry-1"].port}')
        yield client
        await client.close()


async def test_usage_event_is_sent_only_on_request() -> None:
    """Guards against usage events that clients do not expect."""
    async with _client() as client:
        without_usage = await ask(client, chat_body('x', stream=True))
        with_usage = await ask(
            client,
            chat_body('x', stream=True, stream_options={'include_usage': True}),
        )
    chunks = [
        [
            msgspec.json.decode(line.removeprefix(b'data: '))
            for line in cast(Any, answer).body.split(b'\n\n')[:-2]
        ]
        for answer in (without_usage, with_usage)
    ]
    assert not any('usage' in chunk for chunk in chunks[0])
    assert chunks[1][-1]['choices'] == []
    assert chunks[1][-1]['usage']['completion_tokens'] == 8
    choice = chunks[0][-1]['choices'][0]
    assert choice['finish_reason'] == 'length'
