"""Answers that a service or engine beside an agent writes once more."""

from typing import Final

import pytest

from masticwind.engines.base import (
    Done,
    EngineEvent,
    EngineRequest,
    ServiceRequest,
    ServiceResponse,
    Tokens,
)
from masticwind.engines.http import HttpEngine, HttpService
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
)
from tests.entry_harness import running_entry

pytestmark = pytest.mark.anyio


def _answer(status: int, content: str) -> bytes:
    return (
        f'HTTP/1.1 {status} Answer\r\nContent-Length: {len(content)}\r\n\r\n'
        f'{content}'
    ).encode()


class RepeatedAnswer:
    """Writes the first answer on a connection again as the second one."""

    def __init__(self, first: bytes, rest: bytes) -> None:
        self._first: Final = first
        self._rest: Final = rest
        self._sent: Final[dict[int, bytes]] = {}
        self.received = 0

    async def __call__(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request."""
        self.received += 1
        answer = self._first if self.received == 1 else self._rest
        repeated = self._sent.setdefault(req.connection_number, answer)
        await conn.write(answer if self.received == 1 else repeated)


@pytest.mark.parametrize('first_status', [200, 503])
async def test_repeated_answer_of_a_service_is_no_answer_to_the_next_call(
    first_status: int,
) -> None:
    """Guards against a call that gets the answer to an earlier one."""
    script = RepeatedAnswer(
        _answer(first_status, 'first'), _answer(200, 'second')
    )
    async with running_entry() as harness:
        raw = await harness.start_endpoint('i-1', script)
        service = HttpService(f'http://127.0.0.1:{raw.port}')
        bodies: list[bytes] = []
        for number in range(2):
            answer = await service.call(
                ServiceRequest(
                    request_id=f'r{number}',
                    method='GET',
                    path='/read',
                    headers=(),
                    body=b'',
                    timeout_s=1,
                )
            )
            assert isinstance(answer, ServiceResponse)
            bodies.append(answer.body)
        assert bodies == [b'first', b'second']


async def _generate(engine: HttpEngine, request_id: str) -> list[EngineEvent]:
    req = EngineRequest(
        request_id=request_id,
        model='m',
        prompt=b'x',
        prompt_tokens=1,
        max_tokens=1,
    )
    async with engine.generate(req) as events:
        return [event async for event in events]


async def test_repeated_refusal_of_an_engine_is_no_answer_to_the_next_one() -> (
    None
):
    """Guards against "not run" for a generation that the engine runs."""
    script = RepeatedAnswer(
        _answer(503, 'full'),
        _answer(200, '{"offset":0,"tokens":["a"]}\n{"end":true,"count":1}\n'),
    )
    async with running_entry() as harness:
        raw = await harness.start_endpoint('i-1', script)
        engine = HttpEngine(f'http://127.0.0.1:{raw.port}')
        await _generate(engine, 'first')
        events = await _generate(engine, 'second')
        assert isinstance(events[0], Tokens)
        assert events[1] == Done(1)
