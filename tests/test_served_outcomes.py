"""Outcomes that an entry counts for its requests."""

import pytest

from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import EntryHarness, running_entry

pytestmark = pytest.mark.anyio

REQUESTS = 20


def _count(harness: EntryHarness, outcome: str) -> float:
    requests = harness.entry._telemetry.requests
    return float(requests.labels(outcome)._value.get())


async def _answer_and_close(req: ReceivedRequest, conn: RawConnection) -> None:
    await conn.send_answer(req, headers=('Connection: close',))


async def test_served_request_is_not_counted_as_cancelled() -> None:
    """Guards against the end of an answer that is taken for a caller who has
    left, while the connection to the endpoint is being closed.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', _answer_and_close)
        await harness.wait_until_served('/read/a')
        served_before = _count(harness, 'served')
        for number in range(REQUESTS):
            answer = await harness.request('/read/a', request_id=f'r{number}')
            assert answer.status == 200
        assert not _count(harness, 'cancelled')
        assert _count(harness, 'served') - served_before == REQUESTS
