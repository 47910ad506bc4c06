"""Answers of the product's own interface to requests that end with a bug."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Final, cast

import anyio
import pytest
from anyio.lowlevel import checkpoint

from masticwind.config.current import CurrentConfig
from masticwind.config.model import Generation
from masticwind.engines.base import Tokens
from masticwind.entry.agent_pool import AgentPool
from masticwind.entry.app import AppDependencies, EntryApp
from masticwind.entry.attempts import Emit, ModelRequest
from masticwind.entry.calls import ServiceCalls
from masticwind.entry.claims import Claims
from masticwind.entry.relay import Relay
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.metrics import Metrics
from masticwind.settings import Address
from masticwind.tracing import Tracer
from masticwind.web import WebServer
from tests.routing_fakes import entry_settings
from tests.scenarios import PAID_TOKEN, chat_body, sample_config, send_chat

pytestmark = pytest.mark.anyio

TIMEOUT_S: Final = 5


@dataclass
class RaisingRelay:
    """Raises, after some tokens if there are any."""

    exc: Exception
    tokens: tuple[str, ...] = ()

    async def run(self, req: ModelRequest, emit: Emit) -> None:
        """Run a request, and raise."""
        if self.tokens:
            await emit(Tokens(0, self.tokens))
        await checkpoint()
        raise self.exc


@asynccontextmanager
async def _served(relay: RaisingRelay) -> AsyncIterator['_Served']:
    config = CurrentConfig()
    config.adopt(Generation(number=1, config=sample_config()))
    cfg = entry_settings()
    app = EntryApp(
        AppDependencies(
            cfg,
            config,
            cast(Relay, relay),
            cast(AgentPool, None),
            cast(Claims, None),
            Metrics(cfg.metrics),
            Tracer(cfg.traces, cfg.node),
        ),
    )
    server = WebServer(app, Address())
    client = HttpClient(f'http://127.0.0.1:{server.port}')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        yield _Served(app, client)
        await client.close()
        tasks.cancel_scope.cancel()


@dataclass
class _Served:
    app: EntryApp
    client: HttpClient

    async def get(self, path: str) -> HttpAnswer:
        """Send a request of a paid team."""
        answer = await self.client.request(
            'GET',
            path,
            timeout_s=TIMEOUT_S,
            headers=[(b'authorization', f'Bearer {PAID_TOKEN}'.encode())],
        )
        assert isinstance(answer, HttpAnswer), answer
        return answer

    async def chat(self, **options: Any) -> HttpAnswer:
        """Send a chat request."""
        answer = await send_chat(self.client, chat_body('x', **options))
        assert isinstance(answer, HttpAnswer), answer
        return answer

    def outcomes(self) -> dict[str, int]:
        """Return the outcomes of the paid tier."""
        return self.app._deps.tier_counter.last_minute()['paid']


def _check_log(records: list[Any], *exceptions: Exception) -> None:
    assert [record['message'] for record in records] == [
        'request_exception' for _ in exceptions
    ]
    assert [repr(record['exception'].value) for record in records] == [
        repr(exc) for exc in exceptions
    ]
    for record in records:
        assert record['exception'].traceback is not None


@pytest.mark.parametrize(
    'exc',
    [
        ValueError('single'),
        ExceptionGroup('group', [ValueError('first'), KeyError('second')]),
    ],
)
@pytest.mark.parametrize('stream', [False, True])
async def test_exception_before_a_chat_answer_is_answered_and_logged(
    errors: list[Any], exc: Exception, *, stream: bool
) -> None:
    """Guards against a bare 500 of the server, without an id, for a bug."""
    leaves = exc.exceptions if isinstance(exc, ExceptionGroup) else [exc]
    async with _served(RaisingRelay(exc)) as served:
        answer = await served.chat(stream=stream)
        assert answer.status == 500
        error = json.loads(answer.body)['error']
        assert (error['kind'], error['run']) == ('internal', 'may_have_run')
        _check_log(errors, *leaves)
        request_id = errors[0]['extra']['request_id']
        assert answer.headers['x-request-id'] == request_id
        assert served.outcomes() == {'internal': 1}
        outcome = await served.get(f'/v1/requests/{request_id}')
        assert json.loads(outcome.body)['state'] == 'failed'


async def test_exception_within_a_stream_ends_it_with_an_error_event(
    errors: list[Any],
) -> None:
    """Guards against a stream that looks complete or breaks off for a bug."""
    exc = ValueError('later')
    async with _served(RaisingRelay(exc, ('a',))) as served:
        answer = await served.chat(stream=True)
        assert answer.status == 200
        last = answer.body.strip().split(b'\n\n')[-1]
        error = json.loads(last.removeprefix(b'data: '))['error']
        assert error['kind'] == 'internal'
        assert served.outcomes() == {'internal': 1}
    _check_log(errors, exc)


async def test_exception_of_a_call_is_answered_and_logged(
    monkeypatch: pytest.MonkeyPatch, errors: list[Any]
) -> None:
    """Guards against a bare 500 of the server for a bug within a call."""
    exc = ValueError('call')

    async def raise_later(*_args: Any) -> None:
        await checkpoint()
        raise exc

    monkeypatch.setattr(ServiceCalls, 'serve', raise_later)
    async with _served(RaisingRelay(exc)) as served:
        answer = await served.get('/v1/services/stock/items')
        assert answer.status == 500
        assert json.loads(answer.body)['error']['kind'] == 'internal'
        assert served.outcomes() == {'internal': 1}
    _check_log(errors, exc)
