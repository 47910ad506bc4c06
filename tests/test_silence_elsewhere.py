"""Parts of direct serving that fall silent for a while and go on."""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.platform.main import platform_adapter
from masticwind.serving.datagrams import PeerAddress
from masticwind.serving.limit_messages import PermitRequest
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import LiveSettings, StoreSettings
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.faults.proxy import Faults, TcpProxy
from masticwind_dev.standins.metadata import MetadataStandin
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    encode_head,
)
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    ENGINE_SERVICE,
    answer_completely,
    answer_with_events,
    caller_headers,
    prompt_headers,
    registration_json,
    running_entry,
    sample_config_document,
    sample_settings,
)
from tests.limited_fleet import running_limited_fleet

pytestmark = pytest.mark.anyio

SILENCE_S: Final = 1.5
TIMEOUT_MS: Final = 6000
REQUESTS: Final = 20
INTERVAL_S: Final = 0.1


@dataclass
class Pool:
    """Endpoints of which some answer only while `speaking` is set."""

    silent: frozenset[str]
    speaking: anyio.Event = field(default_factory=anyio.Event)

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer once the endpoint is not silent."""
        if req.headers['x-expect-instance'] in self.silent:
            await self.speaking.wait()
        if 'x-token-counts' in req.headers:
            await answer_with_events(req, conn)
        else:
            await answer_completely(req, conn)

    async def fall_silent(self) -> None:
        """Stay silent for a while, then go on."""
        self.speaking = anyio.Event()
        await anyio.sleep(SILENCE_S)
        self.speaking.set()


async def _send(client: HttpClient, path: str, request_id: str) -> str:
    """Return the status, or why there is none."""
    answer = await client.request(
        'GET' if 'read' in path else 'POST',
        path,
        timeout_s=TIMEOUT_MS / 1000 + 1,
        headers=(
            *caller_headers(API_KEY, request_id, TIMEOUT_MS),
            *(() if 'read' in path else prompt_headers()),
        ),
    )
    if isinstance(answer, Failure):
        return answer.reason
    assert isinstance(answer, HttpAnswer)
    return f'{answer.status} {answer.headers.get("x-reason", "")}'.strip()


async def _send_all(client: HttpClient, path: str) -> Counter[str]:
    statuses: Counter[str] = Counter()

    async def send(number: int) -> None:
        statuses[await _send(client, path, f'r{number}')] += 1

    async with anyio.create_task_group() as tasks:
        for number in range(REQUESTS):
            tasks.start_soon(send, number)
            await anyio.sleep(INTERVAL_S)
    return statuses


@pytest.mark.parametrize('silent', [3, 4])
@pytest.mark.parametrize(
    ('path', 'service'),
    [('/read/a', CALL_SERVICE), ('/chat/a', ENGINE_SERVICE)],
)
async def test_pool_that_is_silent_for_a_while_serves_all_requests(
    silent: int, path: str, service: str
) -> None:
    """Guards against requests that are refused or fail because most
    endpoints of a pool are silent at once.
    """
    document = sample_config_document()
    document['routes'] = [
        {**route, 'timeout_ms': TIMEOUT_MS, 'max_attempts': 3}
        for route in document['routes']
    ]
    names = [f'i-{number}' for number in range(4)]
    pool = Pool(frozenset(names[:silent]))
    pool.speaking.set()
    async with running_entry(document) as harness:
        for name in names:
            await harness.start_endpoint(name, pool.answer, service)
        await harness.wait_until_endpoints_known()
        for number in range(4):
            await _send(harness.client, path, f'w{number}')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.fall_silent)
            statuses = await _send_all(harness.client, path)
    assert statuses == {'200': REQUESTS}


@pytest.mark.parametrize('silence_s', [0.0, SILENCE_S])
async def test_long_prompt_is_served_though_its_helpers_are_silent(
    silence_s: float,
) -> None:
    """Guards against a refusal because engines that hold memory for a prompt
    are silent when it is reserved.
    """
    document = sample_config_document()
    document['routes'] = [
        {**route, 'timeout_ms': 60_000} for route in document['routes']
    ]
    speaking = anyio.Event()
    orders: list[str] = []

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        if 'x-token-counts' in req.headers:
            await answer_with_events(req, conn)
            return
        orders.append(req.target)
        await speaking.wait()
        await conn.write(encode_head(req, 200, ('Content-Length: 0',)))

    async def go_on() -> None:
        await anyio.sleep(silence_s)
        speaking.set()

    async with running_entry(document) as harness:
        for number in range(3):
            await harness.start_endpoint(f'i-{number}', answer, ENGINE_SERVICE)
        await harness.wait_until_endpoints_known()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(go_on)
            answered = await harness.client.request(
                'POST',
                '/chat/a',
                timeout_s=30,
                headers=(
                    *caller_headers(API_KEY, 'r1', 60_000),
                    *prompt_headers(460_000),
                ),
            )
    assert isinstance(answered, HttpAnswer)
    assert answered.status == 200, answered
    assert orders


async def test_silence_of_the_granting_entry_causes_no_refusal() -> None:
    """Guards against a refusal because the entry that grants the permits of
    the only endpoint is silent.
    """
    async with running_limited_fleet(entries=2, engines=1) as fleet:
        engine = next(iter(fleet.engines))
        fleet.limit(engine, 50)
        for number in range(2):
            await fleet.send_from(number)
        asking, granting = fleet.entries
        if asking.entry._peers.grants_permits(engine):
            asking, granting = granting, asking
        link = granting.entry._limit_link
        reply = link.reply
        speaking = anyio.Event()

        def reply_later(req: PermitRequest, sender: PeerAddress) -> None:
            async def wait() -> None:
                await speaking.wait()
                reply(req, sender)

            fleet.tasks.start_soon(wait)

        link.reply = reply_later  # type: ignore[method-assign]
        answers: list[HttpAnswer] = []

        async def send() -> None:
            number = fleet.entries.index(asking)
            answers.append(await fleet.send_from(number))

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(send)
                await anyio.sleep(SILENCE_S / 8)
            speaking.set()
            link.reply = reply  # type: ignore[method-assign]
    assert Counter(answer.status for answer in answers) == {200: 8}


async def test_store_that_is_silent_for_a_while_causes_no_refusal() -> None:
    """Guards against a refusal because calls and watches of the store get no
    answer for a while.
    """
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    proxy = TcpProxy('127.0.0.1', server.port)
    cfg = sample_settings(
        store=StoreSettings(address=f'127.0.0.1:{proxy.port}')
    )
    entry = DirectEntry(LiveSettings(cfg), platform_adapter(cfg))
    client = HttpClient(f'http://127.0.0.1:{entry.port}')
    endpoint = RawEndpoint(answer_completely)
    document = sample_config_document()
    async with anyio.create_task_group() as tasks:
        store.write('op/config', json.dumps(document).encode())
        for part in (server.run, proxy.run, entry.run):
            tasks.start_soon(part)
        await tasks.start(endpoint.run)
        store.write('servers/i-1', registration_json(endpoint.port))
        with anyio.fail_after(10):
            while await _send(client, '/read/a', 'w') != '200':
                await anyio.sleep(0.05)
        async with anyio.create_task_group() as silence:
            silence.start_soon(_hold, proxy)
            statuses = await _send_all(client, '/read/a')
        tasks.cancel_scope.cancel()
    assert statuses == {'200': REQUESTS}


async def _hold(proxy: TcpProxy) -> None:
    proxy.inject(Faults(hold=True))
    await anyio.sleep(SILENCE_S)
    proxy.inject(Faults())
