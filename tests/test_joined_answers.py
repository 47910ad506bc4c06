"""Answers of which the start belongs to another answer on their connection."""

from typing import Final

import anyio
import pytest

from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.serving.interfaces import Verdict
from masticwind.serving.model import Endpoint
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
)
from tests.test_stale_answers import send_attempt

pytestmark = pytest.mark.anyio

DATE: Final = 'Date: Sat, 05 Dec 2026 19:41:51 GMT'
ID: Final = 'X-Attempt-Id: {}'
SEAL: Final = 'X-Server-Seal: 3e1b.07'


def encode_answer(
    status_line: str, headers: tuple[str, ...], request_id: str, body: str
) -> bytes:
    """Return a whole answer with its length."""
    lines = [
        f'HTTP/1.1 {status_line}',
        *(header.format(request_id) for header in headers),
        f'Content-Length: {len(body)}',
        '',
        body,
    ]
    return '\r\n'.join(lines).encode()


@pytest.mark.parametrize(
    'headers', [(DATE, ID, SEAL), (ID, SEAL, DATE), (SEAL, DATE, ID)]
)
async def test_failure_behind_a_cut_off_copy_is_not_taken_for_a_success(
    headers: tuple[str, ...],
) -> None:
    """Guards against the status of an earlier answer, written once more and
    cut off, with the headers and the body of the failure that follows it.
    """
    first = encode_answer('200 OK', headers, 'first', 'done')
    length = len(first)
    cut = 0

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.headers['x-attempt-id'] == 'first':
            await conn.write(first)
            return
        failure = encode_answer('500 Error', headers, 'second', 'fail')
        await conn.write(first[:cut] + failure)

    raw = RawEndpoint(answer)
    taken: list[int] = []
    async with anyio.create_task_group() as tasks:
        await tasks.start(raw.run)
        endpoint = Endpoint(
            identity='i-1',
            service='calls',
            host='127.0.0.1',
            port=raw.port,
            zone='zone-a',
            slots=8,
        )
        for cut in range(length):
            client = PlatformEndpointClient()
            await send_attempt(client, endpoint, 'first')
            try:
                reply = await send_attempt(client, endpoint, 'second')
            except AssertionError:
                # No answer at all: the head could not be parsed.
                continue
            finally:
                await client.close_idle(endpoint)
            if reply.verdict is Verdict.RAN and reply.success:
                taken.append(cut)
        tasks.cancel_scope.cancel()
    assert not taken
