"""Safe reads at engines that write many of their answers twice."""

import random
from typing import Final

import anyio
import pytest

from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)
from tests.entry_harness import EntryHarness, running_entry

pytestmark = pytest.mark.anyio

CALLERS: Final = 8
READS: Final = 600
CUT_SHARE: Final = 0.5
RUN_S: Final = 0.005
PAUSE_S: Final = 0.02
MAX_LOST_SHARE: Final = 0.05


class CopyingEngines:
    """Engines that fail often, and write many answers once more.

    The copy is written where the next answer on the connection is expected,
    which cuts off some of them.
    """

    def __init__(
        self, seed: int, copy_share: float, failure_share: float
    ) -> None:
        self._random: Final = random.Random(seed)
        self._copy_share: Final = copy_share
        self._failure_share: Final = failure_share
        self._copies: Final[dict[tuple[str, int], bytes]] = {}
        self.runs: Final[set[tuple[int, bytes]]] = set()

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Write the copy of the earlier answer, if any, and the answer."""
        place = (req.headers['x-expect-instance'], req.connection_number)
        await conn.write(self._copies.pop(place, b''))
        await anyio.sleep(self._random.uniform(0, 2 * RUN_S))
        status = 500 if self._random.random() < self._failure_share else 200
        body = f'{req.headers["x-attempt-id"]}/{len(self.runs)}'.encode()
        self.runs.add((status, body))
        head = encode_head(req, status, (f'Content-Length: {len(body)}',))
        if self._random.random() < self._copy_share:
            self._copies[place] = self._cut(head + body)
        await conn.write(head + body)

    def _cut(self, content: bytes) -> bytes:
        """Return a copy, of which every other one ends anywhere."""
        if self._random.random() < CUT_SHARE:
            return content[: self._random.randrange(1, len(content))]
        return content


async def _count_lost(harness: EntryHarness, engines: CopyingEngines) -> int:
    """Send the reads; return how many got no answer of an engine."""
    lost: list[str] = []

    async def read(caller: int) -> None:
        for number in range(READS // CALLERS):
            request_id = f'r{caller}-{number}'
            answer = await harness.request('/read/a', request_id=request_id)
            if 'x-server-seal' in answer.headers:
                assert answer.body.startswith(f'{request_id}/'.encode())
                assert (answer.status, answer.body) in engines.runs
            else:
                lost.append(request_id)
            await anyio.sleep(PAUSE_S)

    async with anyio.create_task_group() as tasks:
        for caller in range(CALLERS):
            tasks.start_soon(read, caller)
    return len(lost)


@pytest.mark.parametrize(
    ('engine_count', 'copy_share', 'failure_share'),
    [(1, 0.6, 0.6), (2, 0.9, 0.35), (3, 0.9, 0.6)],
)
async def test_copies_of_answers_fail_few_safe_reads(
    engine_count: int, copy_share: float, failure_share: float
) -> None:
    """Guards against 502 for reads that their engines have answered, and
    against an answer that is not one whole run of the request.
    """
    engines = CopyingEngines(engine_count, copy_share, failure_share)
    async with running_entry() as harness:
        for number in range(engine_count):
            await harness.start_endpoint(f'e-{number}', engines.answer)
        await harness.wait_until_endpoints_known()
        lost = await _count_lost(harness, engines)
    assert lost / READS < MAX_LOST_SHARE
