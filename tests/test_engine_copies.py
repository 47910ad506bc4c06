"""Copies of the answers of an engine that are written once more."""

from typing import Final

import pytest

from masticwind.engines.http import HttpEngine
from masticwind.errors import Failure
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.test_extra_bytes import running_endpoint

pytestmark = pytest.mark.anyio

DONE: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
FAILED: Final = b'HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\n{}'


async def test_copy_is_no_success_of_a_later_command() -> None:
    """Guards against a command to an engine that counts as done though the
    engine failed, as the answer to an earlier command was written once more.
    """
    connections: list[int] = []

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.connection_number in connections:
            await conn.write(DONE)
        await conn.write(FAILED if connections else DONE)
        connections.append(req.connection_number)

    async with running_endpoint(answer) as (raw, _):
        engine = HttpEngine(f'http://127.0.0.1:{raw.port}')
        assert await engine.cancel('a') is None
        for command in (engine.cancel, engine.import_cache, engine.drop_cache):
            assert isinstance(await command('b'), Failure)
