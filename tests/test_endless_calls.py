"""Peers whose answers to calls of the project itself do not end."""

import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any, Final

import anyio
import pytest

from masticwind.engines.base import EngineRequest
from masticwind.engines.http import HttpEngine, HttpService
from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.platform.store import PlatformStore
from masticwind.serving.model import Endpoint
from masticwind.serving.settings import StoreSettings
from masticwind.serving.store import Lease
from masticwind.serving.store_eras import StoreRevision
from masticwind.settings import PlatformSettings
from masticwind.store.http import HttpInstanceList, HttpKeyValue
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    Script,
)
from tests.entry_harness import (
    API_KEY,
    ENGINE_SERVICE,
    answer_with_events,
    caller_headers,
    prompt_headers,
    running_entry,
    sample_config_document,
)

pytestmark = pytest.mark.anyio

DRIP_INTERVAL_S: Final = 0.05
LISTING_END_S: Final = 10.0
MAX_LISTED_CHARS: Final = 80_000_000
CALL_TIMEOUT_S: Final = 0.3
# More than any time limit of the calls below, with a margin for a busy machine.
END_TIMEOUT_S: Final = 3.5
# The same for a line of an engine.
LINE_END_TIMEOUT_S: Final = 6.0
LARGE_CHUNK: Final = b' ' * 65_536
# A peer that stops here has sent more than any of these calls may accept.
MANY_BYTES: Final = 8_388_608
ROUTE_TIMEOUT_MS: Final = 2000
# Twice the memory of one engine.
KV_CACHE_TOKENS: Final = 14_000
LONG_PROMPT_TOKENS: Final = 30_000

_HEAD: Final = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
_CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'

_Call = Callable[[int], Awaitable[object]]


def _drip(start: bytes, part: bytes) -> Script:
    """Return a script that sends `part` again and again after `start`."""

    async def answer(_req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(start)
        while True:
            await conn.write(part)
            await anyio.sleep(DRIP_INTERVAL_S)

    return answer


async def _flood(_req: ReceivedRequest, conn: RawConnection) -> None:
    """Send a large body as fast as it is read."""
    await conn.write(b'%b\r\n' % _HEAD)
    for _ in range(MANY_BYTES // len(LARGE_CHUNK)):
        await conn.write(LARGE_CHUNK)
    await anyio.sleep_forever()


@asynccontextmanager
async def _running(script: Script) -> AsyncIterator[RawEndpoint]:
    endpoint = RawEndpoint(script)
    async with anyio.create_task_group() as tasks:
        await tasks.start(endpoint.run)
        yield endpoint
        tasks.cancel_scope.cancel()


DRIPS: Final = MappingProxyType(
    {
        'informational': _drip(b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        'head': _drip(b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n'),
        'body': _drip(b'%b\r\n' % _HEAD, b' ' * 64),
        'chunks': _drip(_HEAD + _CHUNKED, b'1\r\n \r\n'),
        'extension': _drip(b'%b%b1;' % (_HEAD, _CHUNKED), b'a'),
        'trailers': _drip(b'%b%b0\r\n' % (_HEAD, _CHUNKED), b'X-A: b\r\n'),
    }
)


@pytest.mark.parametrize('form', DRIPS)
async def test_call_ends_in_time_though_its_answer_drips_without_end(
    form: str,
) -> None:
    """Guards against a call that never ends, since its time limit counts anew
    with each read, and against a connection that stays open.
    """
    async with _running(DRIPS[form]) as endpoint:
        client = HttpClient(f'http://127.0.0.1:{endpoint.port}')
        started_at = time.monotonic()
        with anyio.fail_after(END_TIMEOUT_S):
            answer = await client.request('GET', '/', timeout_s=CALL_TIMEOUT_S)
        assert time.monotonic() - started_at < CALL_TIMEOUT_S * 2
        assert isinstance(answer, Failure)
        assert answer.kind is ErrorKind.OUTCOME_UNKNOWN
        assert not client._idle
        assert not client._busy
        with anyio.fail_after(END_TIMEOUT_S):
            while not endpoint.abandoned_requests:
                await anyio.sleep(DRIP_INTERVAL_S)


async def test_call_that_waits_for_a_connection_without_end_is_not_sent() -> (
    None
):
    """Guards against a call that waits without a limit while other requests
    use all connections, and against its report as one that may have run.
    """
    async with _running(DRIPS['body']) as endpoint:
        client = HttpClient(f'http://127.0.0.1:{endpoint.port}', 1)
        async with client.stream('GET', '/', timeout_s=CALL_TIMEOUT_S):
            with anyio.fail_after(END_TIMEOUT_S):
                answer = await client.request(
                    'GET', '/', timeout_s=CALL_TIMEOUT_S
                )
        assert isinstance(answer, Failure)
        assert answer.kind is ErrorKind.NO_CAPACITY
        assert len(endpoint.received) == 1


def _endpoint(port: int) -> Endpoint:
    return Endpoint(
        identity='i-1',
        service=ENGINE_SERVICE,
        host='127.0.0.1',
        port=port,
        zone='zone-a',
        slots=8,
    )


async def _reserve(port: int) -> object:
    client = PlatformEndpointClient()
    reply = await client.reserve(_endpoint(port), 'a1', 100, 3000)
    return reply.failure


async def _release(port: int) -> object:
    reply = await PlatformEndpointClient().release(_endpoint(port), 'a1')
    return reply.failure


async def _read_report(port: int) -> object:
    return await HttpEngine(f'http://127.0.0.1:{port}').read_report()


async def _check_health(port: int) -> object:
    service = HttpService(f'http://127.0.0.1:{port}')
    return 'healthy' if await service.healthy() else _failure()


async def _cancel_generation(port: int) -> object:
    return await HttpEngine(f'http://127.0.0.1:{port}').cancel('r1')


async def _renew_store_lease(port: int) -> object:
    store = PlatformStore(StoreSettings(address=f'127.0.0.1:{port}'))
    return await store.renew_lease(Lease(1, 0))


async def _list_store(port: int) -> object:
    store = PlatformStore(StoreSettings(address=f'127.0.0.1:{port}'))
    return await store.list_prefix('servers/')


async def _watch_store(port: int) -> object:
    store = PlatformStore(StoreSettings(address=f'127.0.0.1:{port}'))
    return await store.watch_prefix('servers/', StoreRevision(0, 1), 0.1)


def _platform(port: int) -> PlatformSettings:
    url = f'http://127.0.0.1:{port}'
    return PlatformSettings(key_value_url=url, instances_url=url)


async def _read_key(port: int) -> object:
    return await HttpKeyValue(_platform(port)).get('config/head')


async def _list_instances(port: int) -> object:
    return await HttpInstanceList(_platform(port)).list_instances()


def _failure() -> Failure:
    return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason='no answer')


CALLS: Final[Mapping[str, _Call]] = MappingProxyType(
    {
        'reserve': _reserve,
        'release': _release,
        'report': _read_report,
        'health': _check_health,
        'cancel': _cancel_generation,
        'renew_lease': _renew_store_lease,
        'list': _list_store,
        'watch': _watch_store,
        'read_key': _read_key,
        'instances': _list_instances,
    }
)


@pytest.mark.parametrize('name', CALLS)
async def test_own_call_fails_in_time_though_its_answer_drips(
    name: str,
) -> None:
    """Guards against an order, a report, a health check or a call of the store
    that never ends.
    """
    async with _running(DRIPS['body']) as endpoint:
        with anyio.fail_after(END_TIMEOUT_S):
            outcome = await CALLS[name](endpoint.port)
    assert isinstance(outcome, Failure)


@pytest.mark.parametrize(
    ('name', 'max_bytes'),
    [
        ('reserve', 65_536),
        ('release', 65_536),
        ('report', 262_144),
        ('health', 65_536),
        ('cancel', 65_536),
        ('renew_lease', 65_536),
        ('list', 4_194_304),
        ('read_key', 1_048_576),
    ],
)
async def test_own_call_accepts_no_more_bytes_than_its_answer_can_have(
    name: str, max_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against megabytes that are held for the answer to an order, a
    report, a health check or a call of the store.
    """
    limits: list[int] = []
    request = HttpClient.request

    async def record(
        client: HttpClient, *args: Any, **options: Any
    ) -> HttpAnswer | Failure:
        answer = await request(client, *args, **options)
        if isinstance(answer, Failure) and answer.reason.startswith('the body'):
            limits.append(int(answer.reason.split()[-2]))
        return answer

    monkeypatch.setattr(HttpClient, 'request', record)
    async with _running(_flood) as endpoint:
        with anyio.fail_after(END_TIMEOUT_S):
            outcome = await CALLS[name](endpoint.port)
    assert isinstance(outcome, Failure)
    assert limits
    assert limits[0] <= max_bytes


@pytest.mark.parametrize('value_chars', [4, 1_000_000])
async def test_listing_fails_though_the_store_always_has_more(
    value_chars: int,
) -> None:
    """Guards against a listing that reads pages without end, and holds all."""
    pages: list[str] = []

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        pages.append(req.target)
        item = {
            'key': f'servers/{len(pages):09}',
            'rev': 1,
            'value': 'A' * value_chars,
        }
        page = {'items': [item], 'has_more': True, 'as_of': 1}
        await conn.send_answer(req, body=json.dumps(page).encode())

    async with _running(answer) as endpoint:
        with anyio.fail_after(LISTING_END_S):
            outcome = await _list_store(endpoint.port)
    assert isinstance(outcome, Failure)
    assert len(pages) * value_chars < MAX_LISTED_CHARS


@pytest.mark.parametrize('part', [b' ', b'{'])
async def test_generation_fails_if_a_line_of_its_engine_never_ends(
    part: bytes,
) -> None:
    """Guards against a stream that never ends, since each read of a line that
    does not end counts as progress.
    """
    req = EngineRequest(
        request_id='r1',
        model='m',
        prompt=b'lime',
        prompt_tokens=1,
        max_tokens=2,
    )
    script = _drip(b'%b\r\n' % _HEAD, part)
    async with _running(script) as endpoint:
        engine = HttpEngine(f'http://127.0.0.1:{endpoint.port}')
        with anyio.fail_after(LINE_END_TIMEOUT_S):
            async with engine.generate(req) as events:
                event = await anext(aiter(events))
    assert isinstance(event, Failure)
    assert event.kind is ErrorKind.OUTCOME_UNKNOWN


async def test_generation_whose_lines_are_slow_is_not_ended() -> None:
    """Guards against a limit on the whole call that ends a slow, sound stream:
    its lines take longer in all than a single one may.
    """
    line = b'{"offset":%d,"tokens":["a"]}\n'

    async def answer(_req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(b'%b\r\n' % _HEAD)
        for number in range(5):
            await conn.write(line % number)
            await anyio.sleep(0.6)
        await conn.write(b'{"end":true,"count":5}\n')

    req = EngineRequest(
        request_id='r1',
        model='m',
        prompt=b'lime',
        prompt_tokens=1,
        max_tokens=5,
    )
    async with _running(answer) as endpoint:
        engine = HttpEngine(f'http://127.0.0.1:{endpoint.port}')
        async with engine.generate(req) as events:
            received = [event async for event in events]
    assert not any(isinstance(event, Failure) for event in received[:6])
    assert len(received) >= 6


class _Engine:
    """An engine that answers orders without end while it is in trouble."""

    def __init__(self) -> None:
        self.in_trouble = True
        self.endless_orders = 0

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer an order, or a prompt with events."""
        if 'x-token-counts' in req.headers:
            await answer_with_events(req, conn)
            return
        if self.in_trouble:
            self.endless_orders += 1
            await DRIPS['body'](req, conn)
        await conn.write(b'%bContent-Length: 2\r\n\r\n{}' % _HEAD)


@pytest.mark.parametrize('in_trouble', [1, 3])
async def test_prompt_gets_an_answer_though_orders_are_answered_without_end(
    in_trouble: int,
) -> None:
    """Guards against a prompt that never gets an answer, as it waits for the
    release of its memory, and against memory that stays in the load table, so
    that all later long prompts are refused.
    """
    document = sample_config_document()
    for route in document['routes']:
        route.update(timeout_ms=ROUTE_TIMEOUT_MS, goal_ms=ROUTE_TIMEOUT_MS)
    for service in document['services'][1:]:
        service['engine']['kv_capacity'] = KV_CACHE_TOKENS
    engines = [_Engine() for _ in range(3)]
    async with running_entry(document) as harness:
        for number, engine in enumerate(engines):
            engine.in_trouble = number >= len(engines) - in_trouble
            await harness.start_endpoint(
                f'i-{number}',
                engine.answer,
                ENGINE_SERVICE,
                # The engine of the entry's zone leads, the others reserve.
                zone='zone-b' if number else 'zone-a',
            )
        await harness.wait_until_endpoints_known()
        for number in range(2):
            started_at = time.monotonic()
            with anyio.fail_after(END_TIMEOUT_S):
                await harness.client.request(
                    'POST',
                    '/chat/a',
                    timeout_s=END_TIMEOUT_S,
                    headers=(
                        *caller_headers(
                            API_KEY, f'r{number}', ROUTE_TIMEOUT_MS
                        ),
                        *prompt_headers(LONG_PROMPT_TOKENS),
                    ),
                )
            took_s = time.monotonic() - started_at
            assert took_s < ROUTE_TIMEOUT_MS / 1000 + 0.5
        assert any(engine.endless_orders for engine in engines)
        assert not harness.entry._load_table.own_jobs()
