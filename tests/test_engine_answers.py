"""Answers of an engine beside an agent that are no generation."""

from types import MappingProxyType
from typing import Final

import pytest

from masticwind.engines.base import Done, EngineRequest, Tokens
from masticwind.engines.http import HttpEngine
from masticwind.errors import Failure
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import running_entry

pytestmark = pytest.mark.anyio

BEGIN: Final = b'HTTP/1.1 200 OK\r\n'
ANSWERS: Final = MappingProxyType(
    {
        'own-error': b'HTTP/1.1 500 No\r\nContent-Length: 6\r\n\r\nbroken',
        'refusal': b'HTTP/1.1 503 No\r\nContent-Length: 6\r\n\r\nbroken',
        'plain-text': b'%bContent-Length: 7\r\n\r\nbroken\n' % BEGIN,
        'empty': b'%bContent-Length: 0\r\n\r\n' % BEGIN,
        'json-error': b'%bContent-Length: 17\r\n\r\n{"error": "gone"}' % BEGIN,
        'json-line': b'%bContent-Length: 15\r\n\r\n{"status": "x"}' % BEGIN,
        'unframed': b'%b\r\n' % BEGIN,
        'no-http': b'broken\r\n\r\n',
    }
)


@pytest.mark.parametrize('name', ANSWERS)
async def test_error_of_an_engine_is_no_part_of_a_resumed_generation(
    name: str,
) -> None:
    """Guards against an error that is passed on as tokens or as the end."""

    async def script(_req: ReceivedRequest, conn: RawConnection) -> None:
        await conn.write(ANSWERS[name])
        await conn.close()

    req = EngineRequest(
        request_id='r',
        model='m',
        prompt=b'x',
        prompt_tokens=1,
        max_tokens=8,
        resume_offset=4,
    )
    async with running_entry() as harness:
        raw = await harness.start_endpoint('i-1', script)
        engine = HttpEngine(f'http://127.0.0.1:{raw.port}')
        async with engine.generate(req) as stream:
            events = [event async for event in stream]
    assert isinstance(events[-1], Failure)
    assert not any(isinstance(event, Done) for event in events)
    assert not any(isinstance(one, Tokens) and one.tokens for one in events)
