"""The HTTP client's connections."""

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
from masticwind.httpclient import HttpClient
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.standins.engine import EngineModel, EngineStandin

pytestmark = pytest.mark.anyio

# A caller of the longest prompts stays for at least this long.
SILENT_MACHINE_MS: Final = 4000
ANSWER_S: Final = 0.3
# More connections than a listening socket without room keeps waiting.
QUEUED: Final = 4


async def _read_to_the_end(engine: HttpEngine, req: EngineRequest) -> None:
    async with engine.generate(req) as events:
        async for event in events:
            if isinstance(event, Done):
                return


async def test_stream_gives_its_connection_back() -> None:
    """Guards against a new connection for every streamed answer."""
    standin = EngineStandin(EngineModel(decode_ms=1))
    server = WebServer(standin.app, Address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.run)
        tasks.start_soon(server.run)
        engine = HttpEngine(f'http://127.0.0.1:{server.port}')
        for number in range(3):
            req = EngineRequest(
                request_id=f'r{number}',
                model='standard',
                prompt=b'lime',
                prompt_tokens=1,
                max_tokens=2,
            )
            await _read_to_the_end(engine, req)
            assert len(engine._client._idle) == 1
        await engine._client.close()
        tasks.cancel_scope.cancel()


async def test_connection_that_is_reset_at_once_was_not_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that fails with an exception because its
    connection was reset before its options were set; nothing was sent.
    """

    async def connect(*_args: object, **_options: object) -> None:
        raise AttributeError('no setsockopt')

    monkeypatch.setattr(httpcore.AnyIOBackend, 'connect_tcp', connect)
    client = HttpClient('http://127.0.0.1:1')
    answer = await client.request('GET', '/', timeout_s=1)
    assert isinstance(answer, Failure)
    assert answer.kind is ErrorKind.NO_CAPACITY


async def test_connection_to_a_machine_without_power_does_not_stay_open() -> (
    None
):
    """Guards against an answer that is waited for without end from a machine
    that has lost power: only probes of the kernel show that nobody is there.
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
        assert idle_s * MS_PER_S + limit_ms <= SILENT_MACHINE_MS
        await client.close()
        tasks.cancel_scope.cancel()


async def test_only_a_missing_answer_is_silence() -> None:
    """Guards against an endpoint that is taken for silent because it refuses
    connections, and against one without power that is taken for alive.
    """
    with closing(socket.socket()) as listening:
        listening.bind(('127.0.0.1', 0))
        client = HttpClient(f'http://127.0.0.1:{listening.getsockname()[1]}')
        # Bound, but not listening: connections are refused.
        assert not await client.connect_times_out(ANSWER_S)
        listening.listen(0)
        assert not await client.connect_times_out(ANSWER_S)
        with ExitStack() as open_sockets:
            # Nobody accepts, so a full queue drops what comes next.
            for _ in range(QUEUED):
                waiting = open_sockets.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listening.getsockname())
            assert await client.connect_times_out(ANSWER_S)
