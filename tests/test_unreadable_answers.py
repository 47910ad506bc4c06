"""Answers of engines and of the platform's services that cannot be read."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import pytest

from masticwind.config.garbage import GarbageCollector
from masticwind.config.heads import HeadReader, StoredHead
from masticwind.config.parts import Head, SplitConfiguration, part_digest
from masticwind.engines.base import EngineRequest
from masticwind.engines.http import HttpEngine
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient, HttpStream
from masticwind.platform.store import PlatformStore
from masticwind.serving.settings import StoreSettings
from masticwind.serving.store_eras import NO_ERA, StoreRevision
from masticwind.settings import PlatformSettings
from masticwind.store.base import UnknownOutcome
from masticwind.store.http import (
    HttpInstanceList,
    HttpKeyValue,
    HttpWeightStore,
)
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
)
from tests.odd_values import nested_json

pytestmark = pytest.mark.anyio

Call = Callable[[str], Awaitable[object]]


@asynccontextmanager
async def _server(
    body: bytes, status: int = 200, header: bytes = b''
) -> AsyncIterator[str]:
    """Run a server that gives the same answer to each request."""

    async def answer(_req: ReceivedRequest, conn: RawConnection) -> None:
        head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n'
        await conn.write(b'%b%b' % (head % (status, len(body), header), body))

    server = RawEndpoint(answer)
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.run)
        yield f'127.0.0.1:{server.port}'
        tasks.cancel_scope.cancel()


def _platform(address: str) -> PlatformSettings:
    url = f'http://{address}'
    return PlatformSettings(
        key_value_url=url, instances_url=url, weights_url=url
    )


async def _read_report(address: str) -> object:
    return await HttpEngine(f'http://{address}').read_report()


async def _list_held_caches(address: str) -> object:
    return await HttpEngine(f'http://{address}').list_held_caches()


async def _export_cache(address: str) -> object:
    engine = HttpEngine(f'http://{address}')
    return await engine.export_cache('r1', 'm', b'x', 1)


async def _generate(address: str) -> object:
    req = EngineRequest(
        request_id='r1', model='m', prompt=b'x', prompt_tokens=1, max_tokens=1
    )
    async with HttpEngine(f'http://{address}').generate(req) as events:
        return await anext(aiter(events))


async def _list_keys(address: str) -> object:
    return await HttpKeyValue(_platform(address)).list_keys('')


async def _grant_key_value_lease(address: str) -> object:
    return await HttpKeyValue(_platform(address)).grant_lease(1)


async def _list_instances(address: str) -> object:
    return await HttpInstanceList(_platform(address)).list_instances()


async def _list_prefix(address: str) -> object:
    store = PlatformStore(StoreSettings(address=address))
    return await store.list_prefix('servers/')


async def _watch_prefix(address: str) -> object:
    store = PlatformStore(StoreSettings(address=address))
    return await store.watch_prefix('servers/', StoreRevision(NO_ERA, 1), 0.01)


async def _grant_lease(address: str) -> object:
    return await PlatformStore(StoreSettings(address=address)).grant_lease(4)


@pytest.mark.parametrize(
    'call',
    [
        _read_report,
        _list_held_caches,
        _export_cache,
        _generate,
        _list_keys,
        _grant_key_value_lease,
        _list_instances,
        _list_prefix,
        _watch_prefix,
        _grant_lease,
    ],
)
@pytest.mark.parametrize(
    'body', [nested_json(), b'\xff', b'{'], ids=['nested', 'bytes', 'cut']
)
async def test_unreadable_answer_is_a_failure(call: Call, body: bytes) -> None:
    """Guards against an answer that makes its reader raise an error."""
    async with _server(b'%b\n' % body) as address:
        assert isinstance(await call(address), Failure)


async def _read_key(address: str) -> object:
    return await HttpKeyValue(_platform(address)).get('a')


async def _write_key(address: str) -> object:
    key_value = HttpKeyValue(_platform(address))
    return await key_value.compare_and_swap('a', b'', 0)


async def _acquire_weights(address: str) -> object:
    return await HttpWeightStore(_platform(address)).acquire('m', 'v')


@pytest.mark.parametrize(
    ('call', 'status', 'header'),
    [
        (_read_key, 200, b'X-Revision: one\r\n'),
        (_read_key, 200, b''),
        (_read_key, 404, b'X-Revision: one\r\n'),
        (_write_key, 200, b''),
        (_write_key, 412, b'X-Revision: one\r\n'),
        (_acquire_weights, 429, b'Retry-After: soon\r\n'),
        (_acquire_weights, 429, b'Retry-After: 1e400\r\n'),
    ],
)
async def test_unreadable_header_is_a_failure(
    call: Call, status: int, header: bytes
) -> None:
    """Guards against an answer whose header makes its reader raise an error."""
    async with _server(b'', status, header) as address:
        assert isinstance(await call(address), Failure | UnknownOutcome)


async def test_value_that_is_not_base64_hides_no_other() -> None:
    """Guards against a listing that one value of it makes unreadable, and
    against a value that stays in use although it was replaced.
    """
    body = (
        b'{"items": [{"key": "servers/a", "rev": 1, "value": "\xc3\xa9"},'
        b'{"key": "servers/b", "rev": 2, "value": "eA=="}],'
        b'"has_more": false, "as_of": 3}'
    )
    async with _server(body) as address:
        listing = await PlatformStore(
            StoreSettings(address=address)
        ).list_prefix('servers/')
    assert not isinstance(listing, Failure)
    assert [item.value for item in listing.items] == [b'', b'x']


async def test_nested_garbage_list_is_a_failure() -> None:
    """Guards against a list of obsolete parts that raises an error."""
    nested = nested_json()
    head = Head(
        number=1,
        writer='w',
        operator='o',
        applied_at='',
        parts={},
        garbage=part_digest(nested),
    )
    async with _server(nested, header=b'X-Revision: 1\r\n') as address:
        collector = GarbageCollector(
            HeadReader(HttpKeyValue(_platform(address))),
            StoredHead(head, 1),
            SplitConfiguration(),
        )
        assert isinstance(await collector.read_list(), Failure)


@pytest.mark.parametrize('seconds', [b'\xb2', b'9' * 5_000, b'-1', b''])
async def test_unreadable_idle_timeout_does_not_fail_the_answer(
    seconds: bytes,
) -> None:
    """Guards against a complete answer that is lost because of its header."""
    header = b'Keep-Alive: timeout=%b\r\n' % seconds
    async with _server(b'{"handle": "h"}', header=header) as address:
        client = HttpClient(f'http://{address}', keep_alive_s=1)
        async with client.stream('GET', '/', timeout_s=1) as stream:
            assert isinstance(stream, HttpStream)
            assert await anext(stream.chunks) == b'{"handle": "h"}'
        await client.close()
