"""Answers and log lines of requests that end with an exception."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

import anyio
import pytest
from anyio.lowlevel import checkpoint

from masticwind.errors import Failure
from masticwind.httpclient import BrokenStreamError, HttpAnswer, HttpStream
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.platform.headers import PlatformCodec
from masticwind.serving.edge import EdgeApp
from masticwind.serving.interfaces import (
    Attempt,
    AttemptLimits,
    Reply,
)
from masticwind.serving.placement.request_placer import RequestPlacer
from masticwind.serving.relay import Relay
from tests.entry_harness import (
    API_KEY,
    ENGINE_SERVICE,
    EntryHarness,
    answer_completely,
    answer_with_events,
    caller_headers,
    prompt_headers,
    running_entry,
)

pytestmark = pytest.mark.anyio

TIMEOUT_MS: Final = 3000


class RaisingClient(PlatformEndpointClient):
    """Raises before a request is sent, or after the first chunk."""

    def __init__(self, *, after_first_chunk: bool) -> None:
        super().__init__()
        self._after_first_chunk: Final = after_first_chunk

    @asynccontextmanager
    async def send(
        self, attempt: Attempt, limits: AttemptLimits
    ) -> AsyncIterator[Reply | Failure]:
        """Send an attempt, and raise."""
        if not self._after_first_chunk:
            raise ValueError('raised by the client')
        async with super().send(attempt, limits) as reply:
            assert isinstance(reply, Reply)
            reply.chunks = _raise_after_first(reply.chunks)
            yield reply


async def _raise_after_first(
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        yield chunk
        raise ValueError('raised by the client')


def _check_log(records: list[Any], *exceptions: Exception) -> None:
    """Check that each exception is logged with its id and traceback."""
    logged = [
        record for record in records if record['message'] == 'request_exception'
    ]
    assert [repr(record['exception'].value) for record in logged] == [
        repr(exc) for exc in exceptions
    ]
    for record in logged:
        assert record['extra']['request_id'] == 'r1'
        assert record['exception'].traceback is not None


def _check_answer(answer: HttpAnswer) -> None:
    assert answer.status == 500
    assert json.loads(answer.body)['error']['kind'] == 'internal'


def _count(harness: EntryHarness, outcome: str) -> float:
    telemetry = harness.entry._telemetry
    return float(telemetry.requests.labels(outcome)._value.get())


@pytest.mark.parametrize(
    'exc',
    [
        ValueError('single'),
        ExceptionGroup('group', [ValueError('first'), KeyError('second')]),
    ],
)
@pytest.mark.parametrize('raiser', [Relay, RequestPlacer, PlatformCodec])
async def test_exception_before_the_answer_is_answered_and_logged(
    monkeypatch: pytest.MonkeyPatch,
    errors: list[Any],
    raiser: type,
    exc: Exception,
) -> None:
    """Guards against a bare 500 of the server, or none, for a bug."""

    async def raise_later(*_args: Any) -> None:
        await checkpoint()
        raise exc

    def raise_now(*_args: Any) -> None:
        raise exc

    async with running_entry() as harness:
        await harness.start_endpoint('e1', answer_completely)
        await harness.wait_until_served('/read/1')
        with monkeypatch.context() as patch:
            if raiser is Relay:
                patch.setattr(Relay, 'serve', raise_later)
            elif raiser is RequestPlacer:
                patch.setattr(RequestPlacer, 'place', raise_later)
            else:
                patch.setattr(PlatformCodec, 'decode', raise_now)
            _check_answer(await harness.request('/read/1'))
        # The connection is kept and the entry goes on.
        assert (await harness.request('/read/1')).status == 200
        assert _count(harness, 'internal') == 1
    leaves = exc.exceptions if isinstance(exc, ExceptionGroup) else [exc]
    if raiser is PlatformCodec:
        # The request's id has not been decoded.
        assert len(errors) == len(leaves)
        return
    _check_log(errors, *leaves)


async def test_exception_of_the_endpoint_client_is_answered(
    errors: list[Any],
) -> None:
    """Guards against a bare 500 for a bug within an attempt."""
    client = RaisingClient(after_first_chunk=False)
    async with running_entry(endpoint_client=client) as harness:
        await harness.start_endpoint('e1', answer_completely)
        await harness.wait_until_served('/read/1', 500)
        errors.clear()
        _check_answer(await harness.request('/read/1'))
        assert not harness.entry._load_table.jobs_by_endpoint()
    _check_log(errors, ValueError('raised by the client'))


async def test_exception_within_the_answer_breaks_it_off(
    errors: list[Any],
) -> None:
    """Guards against an answer that looks complete, and a missing log line."""
    client = RaisingClient(after_first_chunk=True)
    received = bytearray()
    async with running_entry(endpoint_client=client) as harness:
        await harness.start_endpoint('e1', answer_with_events, ENGINE_SERVICE)
        await harness.wait_until_endpoints_known()
        with pytest.raises(BrokenStreamError):
            async with harness.client.stream(
                'GET',
                '/chat/1',
                timeout_s=TIMEOUT_MS / 1000,
                headers=(
                    *caller_headers(API_KEY, 'r1', TIMEOUT_MS),
                    *prompt_headers(),
                ),
            ) as stream:
                assert isinstance(stream, HttpStream)
                async for chunk in stream.chunks:
                    received.extend(chunk)
        assert _count(harness, 'internal') == 1
    assert received.startswith(b'id: 1')
    _check_log(errors, ValueError('raised by the client'))


async def test_cancelled_request_is_not_answered(
    monkeypatch: pytest.MonkeyPatch, errors: list[Any]
) -> None:
    """Guards against a cancellation that is taken for an error."""
    started = anyio.Event()

    async def wait(*_args: Any) -> None:
        started.set()
        await anyio.sleep_forever()

    async def receive() -> dict[str, Any]:
        if started.is_set():
            await anyio.sleep_forever()
        return {'type': 'http.request', 'body': b''}

    sent: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    async with running_entry() as harness:
        await harness.start_endpoint('e1', answer_completely)
        await harness.wait_until_served('/read/1')
        monkeypatch.setattr(Relay, 'serve', wait)
        app: EdgeApp = harness.entry._app
        scope = {
            'method': 'GET',
            'path': '/read/1',
            'raw_path': b'/read/1',
            'query_string': b'',
            'headers': [
                (name.lower(), text)
                for name, text in caller_headers(API_KEY, 'r1', TIMEOUT_MS)
            ],
        }
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(app, scope, receive, send)
            await started.wait()
            tasks.cancel_scope.cancel()
        assert app.running_requests == 0
    assert not sent
    assert not errors
