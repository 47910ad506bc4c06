"""Orders to an endpoint whose connections are all in use."""

from typing import Final

import anyio
import pytest

from masticwind.platform import endpoints
from masticwind.serving.model import Endpoint
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
)
from tests.test_stale_answers import send_attempt

pytestmark = pytest.mark.anyio

CONNECTIONS: Final = 2


async def test_order_does_not_wait_for_the_connections_of_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reservations that lapse because requests use all
    connections to their endpoint.
    """
    monkeypatch.setattr(endpoints, 'MAX_CONNECTIONS', CONNECTIONS)
    released = anyio.Event()

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        if req.target != '/-/order':
            await released.wait()
        await conn.send_answer(req)

    raw = RawEndpoint(answer)
    async with anyio.create_task_group() as tasks:
        await tasks.start(raw.run)
        endpoint = Endpoint(
            identity='i-1',
            service='engines',
            host='127.0.0.1',
            port=raw.port,
            zone='zone-a',
            slots=8,
        )
        client = endpoints.PlatformEndpointClient()
        async with anyio.create_task_group() as requests:
            for number in range(CONNECTIONS):
                requests.start_soon(
                    send_attempt, client, endpoint, f'r{number}'
                )
            with anyio.fail_after(2):
                while len(raw.received) < CONNECTIONS:
                    await anyio.sleep(0.01)
            reply = await client.reserve(endpoint, 'a', 100, 3000)
            released.set()
        assert reply.failure is None
        tasks.cancel_scope.cancel()
