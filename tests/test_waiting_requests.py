"""Requests that wait for a connection while their endpoint changes."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import pytest

from masticwind.platform import endpoints
from masticwind.serving.settings import FleetBounds
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import (
    CALL_SERVICE,
    EntryHarness,
    answer_completely,
    running_entry,
    sample_config_document,
)

pytestmark = pytest.mark.anyio

CONNECTIONS: Final = 4
WAITING: Final = 6
BOUNDS: Final = FleetBounds(leave_ms=400)
LEAVING: Final = 'Server-Leaving: 1'
KNOWN_AFTER_S: Final = 1.0

Change = Callable[[EntryHarness], Awaitable[None]]


@pytest.fixture(autouse=True)
def few_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an entry open only `CONNECTIONS` connections to an endpoint."""
    monkeypatch.setattr(endpoints, 'MAX_CONNECTIONS', CONNECTIONS)


class HeldEndpoint:
    """Answers nothing until it is released; names `headers` from then on."""

    def __init__(self) -> None:
        self.released: Final = anyio.Event()
        self.headers: tuple[str, ...] = ()
        self.arrivals: Final[list[str]] = []

    async def __call__(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request once the endpoint is released."""
        self.arrivals.append(req.headers['x-attempt-id'])
        await self.released.wait()
        await conn.send_answer(req, headers=self.headers)


async def _deregister(harness: EntryHarness) -> None:
    harness.register('i-1', CALL_SERVICE, state='draining', seq=2)


async def _evacuate(harness: EntryHarness) -> None:
    harness.store.write('op/evacuate/zone-a', b'1')


async def _keep(_harness: EntryHarness) -> None:
    """Change nothing."""


async def _serve_with_waiting_requests(
    held: HeldEndpoint, change: Change
) -> list[int]:
    """Send more requests than there are connections, apply the change, and
    return the statuses once the endpoint has been released.
    """
    statuses: list[int] = []
    document = sample_config_document()
    document['services'][0]['max_conns'] = 400
    async with running_entry(document, BOUNDS) as harness:
        await harness.start_endpoint('i-1', held, slots=64)

        async def send(number: int) -> None:
            answer = await harness.request(
                '/order/a', method='POST', request_id=f'r{number}'
            )
            statuses.append(answer.status)

        async with anyio.create_task_group() as tasks:
            for number in range(CONNECTIONS + WAITING):
                tasks.start_soon(send, number)
            with anyio.fail_after(3):
                while len(held.arrivals) < CONNECTIONS:
                    await anyio.sleep(0.01)
            await harness.start_endpoint(
                'i-2', answer_completely, zone='zone-b', slots=64
            )
            await harness.wait_until_endpoints_known()
            await change(harness)
            await anyio.sleep(KNOWN_AFTER_S)
            held.released.set()
    return statuses


@pytest.mark.parametrize('change', [_deregister, _evacuate])
async def test_request_that_waits_for_a_connection_is_not_sent_after_a_change(
    change: Change,
) -> None:
    """Guards against requests that reach an endpoint long after it has left,
    as they are not checked again behind the wait for a connection.
    """
    held = HeldEndpoint()
    statuses = await _serve_with_waiting_requests(held, change)
    assert Counter(statuses) == {200: CONNECTIONS + WAITING}
    assert len(held.arrivals) == CONNECTIONS


async def test_waiting_request_is_not_sent_after_a_leaving_answer() -> None:
    """Guards against requests that are sent on the connection of an answer
    that says that its endpoint is leaving.
    """
    held = HeldEndpoint()
    held.headers = (LEAVING,)

    statuses = await _serve_with_waiting_requests(held, _keep)
    assert Counter(statuses) == {200: CONNECTIONS + WAITING}
    assert len(held.arrivals) == CONNECTIONS
