"""Requests that wait for a connection for longer than a silence lasts."""

from collections import Counter
from typing import Final

import anyio
import pytest

from masticwind.platform import endpoints
from masticwind.serving.settings import FleetBounds
from tests.entry_harness import (
    CALL_SERVICE,
    running_entry,
    sample_config_document,
)
from tests.test_waiting_requests import HeldEndpoint

pytestmark = pytest.mark.anyio

WAITING: Final = 3
BOUNDS: Final = FleetBounds(leave_ms=400)
# Longer than the time after which an endpoint counts as silent.
WAIT_S: Final = 1.5


async def test_request_that_was_never_sent_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a wait for a connection that counts as a silence of the
    endpoint, after which the request counts as one that may have run.
    """
    monkeypatch.setattr(endpoints, 'MAX_CONNECTIONS', 1)
    held = HeldEndpoint()
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
            for number in range(1 + WAITING):
                tasks.start_soon(send, number)
            await anyio.sleep(WAIT_S)
            harness.register('i-1', CALL_SERVICE, state='draining', seq=2)
            await anyio.sleep(1)
            held.released.set()
    assert len(held.arrivals) == 1
    assert Counter(statuses) == {200: 1, 503: WAITING}
