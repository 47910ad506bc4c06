"""What a single answer to another request costs its engine."""

from collections import Counter
from typing import Final

import anyio
import pytest

from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.endpoint_scripts import answer_other_request, refuse
from tests.entry_harness import (
    CALL_SERVICE,
    EntryHarness,
    answer_completely,
    running_entry,
)

pytestmark = pytest.mark.anyio

ENGINES: Final = 3
INTERVAL_S: Final = 1 / 40
CALL_S: Final = 0.05
# Within this time, an engine with one foreign answer is used as before.
RECOVERY_S: Final = 2.0
MEASURED_S: Final = 2.0


class _Engines:
    """The next answers of `faulty` are to another request, all others are
    complete.
    """

    def __init__(self) -> None:
        self.faulty = ''
        self.faulty_answers = 1
        self.received = Counter[str]()

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request after the usual time."""
        engine = req.headers['x-expect-instance']
        self.received[engine] += 1
        if engine == self.faulty:
            self.faulty_answers -= 1
            if not self.faulty_answers:
                self.faulty = ''
            await answer_other_request(req, conn)
            return
        await anyio.sleep(CALL_S)
        await answer_completely(req, conn)


async def _load(harness: EntryHarness, seconds: float) -> None:
    async def send(number: int) -> None:
        await harness.request('/read/a', request_id=f'r{number}')

    async with anyio.create_task_group() as tasks:
        for number in range(int(seconds / INTERVAL_S)):
            tasks.start_soon(send, number)
            await anyio.sleep(INTERVAL_S)


async def test_engine_with_one_foreign_answer_is_used_again_soon() -> None:
    """Guards against a sound engine that gets hardly any requests for seconds
    after an answer to another request, while others share the load.
    """
    engines = _Engines()
    async with running_entry() as harness:
        for number in range(ENGINES):
            await harness.start_endpoint(
                f'e-{number}', engines.answer, CALL_SERVICE
            )
        await harness.wait_until_served('/read/a')
        engines.received.clear()
        await _load(harness, MEASURED_S)
        usual = engines.received['e-1']
        assert usual
        engines.faulty = 'e-1'
        await _load(harness, RECOVERY_S)
        assert not engines.faulty
        engines.received.clear()
        await _load(harness, MEASURED_S)
        assert engines.received['e-1'] >= usual / 2


async def test_foreign_answer_on_a_reused_connection_costs_no_read() -> None:
    """Guards against 502 for a read whose engine would answer it on a new
    connection, and against counting the answer as a failure of the engine.
    """
    engines = _Engines()
    async with running_entry() as harness:
        raw = await harness.start_endpoint('e-0', engines.answer, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        engines.faulty = 'e-0'
        assert (await harness.request('/read/a')).status == 200
        assert raw.connection_count == 2
        cleanup = harness.entry._cleanup
        assert not cleanup.health.is_excluded('e-0')
        known = cleanup.directory.endpoints(CALL_SERVICE)
        assert not cleanup.health.failure_shares(known)


async def test_foreign_answer_is_no_failure_of_the_connection() -> None:
    """Guards against a sound engine that is excluded at once, and reported to
    the other entries, after an answer to another request on a new connection.
    """
    engines = _Engines()
    async with running_entry() as harness:
        await harness.start_endpoint('e-0', engines.answer, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        engines.faulty = 'e-0'
        engines.faulty_answers = 2
        assert (await harness.request('/read/a')).status == 502
        assert not engines.faulty
        assert not harness.entry._cleanup.health.is_excluded('e-0')


async def test_foreign_answer_costs_no_second_run_of_an_order() -> None:
    """Guards against an order that is sent once more after an answer to
    another request.
    """
    engines = _Engines()
    async with running_entry() as harness:
        await harness.start_endpoint('e-0', engines.answer, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        engines.received.clear()
        engines.faulty = 'e-0'
        answer = await harness.request('/order/a', method='POST')
        assert answer.status == 502
        assert engines.received['e-0'] == 1


async def test_refused_transmission_after_a_foreign_answer_is_no_failure() -> (
    None
):
    """Guards against a sound engine that is excluded at once, because it
    refuses the second transmission of a request.
    """
    answers = iter((answer_other_request, refuse))
    warm = True

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        script = answer_completely if warm else next(answers)
        await script(req, conn)

    async with running_entry() as harness:
        await harness.start_endpoint('e-0', answer, CALL_SERVICE)
        await harness.wait_until_served('/read/a')
        warm = False
        assert (await harness.request('/read/a')).status == 502
        assert not harness.entry._cleanup.health.is_excluded('e-0')
