"""Connections of the HTTP client."""

import socket
from contextlib import ExitStack, closing
from typing import Final

import anyio
import httpcore
import pytest

from masticwind.budget import MS_PER_S
from masticwind.engines.base import Done, EngineRequest
from masticwind.engines.http import HttpEngine
from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import ConnectResult, HttpClient, HttpStream
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.standins.engine import EngineModel, EngineStandin

pytestmark = pytest.mark.anyio

# Callers with the longest prompts wait for at least this long.
MAX_DETECTION_MS: Final = 4000
REPLY_TIMEOUT_S: Final = 0.3
# More connections than a listener with a backlog of zero queues.
QUEUED_CONNECTIONS: Final = 4


async def _read_stream(engine: HttpEngine, req: EngineRequest) -> None:
    async with engine.generate(req) as events:
        async for event in events:
            if isinstance(event, Done):
                return


async def test_streamed_response_releases_its_connection() -> None:
    """Guards against a new connection for each streamed response, and against
    a connection that stays open after a generation, which must not share it.
    """
    standin = EngineStandin(EngineModel(decode_ms=1))
    server = WebServer(standin.app, Address())
    url = f'http://127.0.0.1:{server.port}'
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.run)
        tasks.start_soon(server.run)
        client = HttpClient(url)
        engine = HttpEngine(url)
        for number in range(3):
            async with client.stream(
                'GET', '/v1/report', timeout_s=REPLY_TIMEOUT_S
            ) as stream:
                assert isinstance(stream, HttpStream)
                assert stream.fresh == (number == 0)
            assert len(client._idle) == 1
            req = EngineRequest(
                request_id=f'r{number}',
                model='standard',
                prompt=b'lime',
                prompt_tokens=1,
                max_tokens=2,
            )
            await _read_stream(engine, req)
            assert not engine._client._idle
            assert not engine._client._busy
        await client.close()
        tasks.cancel_scope.cancel()


async def test_reset_while_connecting_is_reported_as_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exception in place of a failure when the server resets
    the connection before its socket options are set; nothing was sent.
    """

    async def connect(*_args: object, **_options: object) -> None:
        raise AttributeError('no setsockopt')

    monkeypatch.setattr(httpcore.AnyIOBackend, 'connect_tcp', connect)
    client = HttpClient('http://127.0.0.1:1')
    answer = await client.request('GET', '/', timeout_s=1)
    assert isinstance(answer, Failure)
    assert answer.kind is ErrorKind.NO_CAPACITY


async def test_connection_to_instance_without_power_fails() -> None:
    """Guards against an endless wait for a response from an instance that lost
    power, which only the kernel's keep-alive probes detect.
    """
    standin = EngineStandin(EngineModel())
    server = WebServer(standin.app, Address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        client = HttpClient(f'http://127.0.0.1:{server.port}')
        async with client._connection() as conn:
            response = await conn.request('GET', client._url(b'/'))
        stream = response.extensions['network_stream']
        sock = stream.get_extra_info('socket')
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle_s = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        limit_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert idle_s * MS_PER_S + limit_ms <= MAX_DETECTION_MS
        await client.close()
        tasks.cancel_scope.cancel()


async def test_refused_connection_does_not_count_as_timeout() -> None:
    """Guards against treating an endpoint that refuses connections as
    unreachable, and one without power as reachable.
    """
    with closing(socket.socket()) as listener:
        listener.bind(('127.0.0.1', 0))
        client = HttpClient(f'http://127.0.0.1:{listener.getsockname()[1]}')
        # Bound, but not listening: connections are refused.
        refused = await client.try_connect(REPLY_TIMEOUT_S)
        assert refused is ConnectResult.REFUSED
        listener.listen(0)
        accepted = await client.try_connect(REPLY_TIMEOUT_S)
        assert accepted is ConnectResult.ACCEPTED
        with ExitStack() as open_sockets:
            # Nothing is accepted, so a full backlog drops further connections.
            for _ in range(QUEUED_CONNECTIONS):
                queued = open_sockets.enter_context(socket.socket())
                queued.setblocking(False)
                queued.connect_ex(listener.getsockname())
            silent = await client.try_connect(REPLY_TIMEOUT_S)
            assert silent is ConnectResult.SILENT
