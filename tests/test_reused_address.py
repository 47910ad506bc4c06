"""Requests at an endpoint that has taken over the address of another one."""

import anyio
import pytest

from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)
from tests.entry_harness import CALL_SERVICE, running_entry
from tests.test_extra_bytes import running_endpoint
from tests.test_stale_answers import send_attempt

pytestmark = pytest.mark.anyio


class _NewEndpoint:
    """Refuses requests for `i-1`, and answers those to `/slow` when told."""

    def __init__(self) -> None:
        self.begun = anyio.Event()
        self.may_answer = anyio.Event()
        self.refused = False

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request."""
        if req.headers['x-expect-instance'] == 'i-1':
            self.refused = True
            await conn.write(encode_head(req, 421, ('Content-Length: 0',)))
            return
        if req.target.endswith('/slow'):
            self.begun.set()
            await self.may_answer.wait()
        await conn.send_answer(req)


async def test_misdirected_request_does_not_cut_others_at_its_address() -> None:
    """Guards against an order that is cut at a sound endpoint as another
    request finds that its own endpoint has lost the address.
    """
    script = _NewEndpoint()
    statuses: list[int] = []
    async with running_entry() as harness:

        async def order() -> None:
            answer = await harness.request(
                '/order/slow', method='POST', request_id='slow'
            )
            statuses.append(answer.status)

        raw = await harness.start_endpoint('i-2', script.answer)
        await harness.wait_until_served('/read/a')
        async with anyio.create_task_group() as orders:
            orders.start_soon(order)
            await script.begun.wait()
            harness.endpoints['i-1'] = raw
            harness.register('i-1', CALL_SERVICE)
            with anyio.fail_after(2):
                while not script.refused:
                    await harness.request('/read/a')
            script.may_answer.set()
        assert statuses == [200]


async def test_connection_in_use_is_not_reused_after_the_close() -> None:
    """Guards against connections to a removed endpoint that stay open."""
    begun = anyio.Event()
    may_answer = anyio.Event()

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        begun.set()
        await may_answer.wait()
        await conn.send_answer(req)

    async with running_endpoint(answer) as (raw, endpoint):
        client = PlatformEndpointClient()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_attempt, client, endpoint, 'r1')
            await begun.wait()
            await client.close_idle(endpoint)
            may_answer.set()
        await send_attempt(client, endpoint, 'r2')
        assert raw.connection_count == 2
        await client.close_idle(endpoint)
