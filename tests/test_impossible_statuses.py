"""Answers with a status that no HTTP response may have."""

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import pytest

from masticwind import connection_reuse
from masticwind.engines.base import EngineRequest, ServiceRequest
from masticwind.engines.http import HttpEngine, HttpService
from masticwind.errors import Failure, guarantees_not_run
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.early_answers import answer_soundly, has_body
from tests.entry_harness import (
    ENGINE_SERVICE,
    prompt_headers,
    running_entry,
)

pytestmark = pytest.mark.anyio

STATUSES: Final = (
    '000',
    '20',
    '99',
    '099',
    '101',
    '199',
    '600',
    '999',
    '2000',
    '+200',
    '-200',
    '0200',
    '',
    '2OO',
    'abc',
    '\u0662\u0660\u0660',
)
ENDLESS: Final = '100'
EVENT: Final = b'id: 1\ndata: x\n\n'
LINES: Final = b'{"offset":0,"tokens":["a"]}\n{"end":true,"count":1}\n'
BODY: Final = b'x' * 1000
Headers = tuple[tuple[bytes, bytes], ...]
Call = Callable[[str], Awaitable[object]]


def encode_answer(req: ReceivedRequest, status: str) -> bytes:
    """Return an answer that is sound but for its status."""
    body = LINES if req.target == '/v1/generate' else EVENT
    lines = (
        f'HTTP/1.1 {status} Answer',
        f'X-Attempt-Id: {req.headers.get("x-attempt-id", "")}',
        'X-Server-Seal: s',
        'Content-Type: text/event-stream',
        f'Content-Length: {len(body)}',
    )
    return b'%b%b' % ('\r\n'.join((*lines, '', '')).encode(), body)


class StatusScript:
    """Answers requests with a body with a status, the others in order."""

    def __init__(self) -> None:
        self.status = ''
        self.received: Final[list[ReceivedRequest]] = []
        self.last_connection = 0

    async def __call__(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request."""
        if not has_body(req):
            self.last_connection = req.connection_number
            await answer_soundly(req, conn)
            return
        self.received.append(req)
        if self.status != ENDLESS:
            await conn.write(encode_answer(req, self.status))
            return
        while True:
            await conn.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            await anyio.sleep(0.001)


async def _call(url: str) -> object:
    return await HttpService(url).call(
        ServiceRequest(
            request_id='r1',
            method='POST',
            path='/x',
            headers=(),
            body=BODY,
            timeout_s=1,
        )
    )


async def _generate(url: str) -> object:
    req = EngineRequest(
        request_id='r1', model='m', prompt=BODY, prompt_tokens=1, max_tokens=1
    )
    async with HttpEngine(url).generate(req) as events:
        return await anext(aiter(events))


async def _export_cache(url: str) -> object:
    return await HttpEngine(url).export_cache('r1', 'm', BODY, 1)


async def _cancel(url: str) -> object:
    return await HttpEngine(url).cancel('r1')


async def _request(url: str) -> object:
    client = HttpClient(url)
    await client.request('GET', '/x', timeout_s=1)
    return await client.request('POST', '/x', timeout_s=1, body=BODY)


@pytest.mark.parametrize(
    'call', [_call, _generate, _export_cache, _cancel, _request]
)
async def test_impossible_status_is_a_failure_of_a_call(call: Call) -> None:
    """Guards against such an answer of a service or an engine that an agent
    passes on, or reports as "not run".
    """
    script = StatusScript()
    async with running_entry() as harness:
        raw = await harness.start_endpoint('i-1', script)
        for status in (*STATUSES, ENDLESS):
            script.status = status
            script.received.clear()
            outcome = await call(f'http://127.0.0.1:{raw.port}')
            assert isinstance(outcome, Failure), status
            assert not guarantees_not_run(outcome.kind)
            assert len(script.received) == 1


@pytest.mark.parametrize(
    ('path', 'headers'),
    [('/read/a', ()), ('/order/a', ()), ('/chat/a', prompt_headers())],
)
async def test_impossible_status_is_no_answer(
    path: str, headers: Headers, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against such an answer that reaches a caller, against an order
    that is sent twice, and against another request on the connection.
    """
    # Each status is to be read on a reused connection.
    monkeypatch.setattr(connection_reuse, 'MIN_PAUSE_S', 0)
    script = StatusScript()
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        await harness.start_endpoint('e-1', script, ENGINE_SERVICE)
        await harness.wait_until_served('/read/a', request_id='warm')

        async def request(body: bytes) -> HttpAnswer:
            return await harness.request(
                path, method='POST', headers=headers, body=body
            )

        for status in (*STATUSES, ENDLESS):
            assert (await request(b'')).status == 200
            reused = script.last_connection
            script.received.clear()
            script.status = status
            answer = await request(BODY)
            assert answer.status == 502, status
            assert EVENT not in answer.body
            used = [req.connection_number for req in script.received]
            assert (used[0] == reused) is (path != '/order/a')
            assert len(used) == 1 or path != '/order/a'
            assert (await request(b'')).status == 200
            assert script.last_connection not in used
