"""Callers that close their sending side after a whole request."""

import anyio
import pytest

from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import running_entry
from tests.stopping_entry import call_head, connect, receive_or_end

pytestmark = pytest.mark.anyio


async def test_caller_that_closes_its_sending_side_is_taken_for_gone() -> None:
    """Guards against an endpoint that goes on working for a caller that may
    have left, and against an answer that only looks complete.
    """
    disconnected = anyio.Event()

    async def script(_req: ReceivedRequest, conn: RawConnection) -> None:
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await conn.stream.receive(1)
        disconnected.set()
        conn.closed = True

    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        await harness.wait_until_endpoints_known()
        async with await connect(harness.entry.port) as conn:
            await conn.send(call_head('half', '/read/a'))
            await anyio.sleep(0.3)
            await conn.send_eof()
            with anyio.fail_after(1):
                await disconnected.wait()
                assert not await receive_or_end(conn)
