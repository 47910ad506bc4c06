"""Copies of answers, whole or cut off anywhere, in any sequence of runs."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.httpclient import HttpAnswer
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import EntryHarness, running_entry

NO_COPY: Final = 'none'
# In the same write as the answer.
BEHIND: Final = 'behind'
# On the idle connection.
LATER: Final = 'later'
# Where the next answer on the connection is expected.
BEFORE_NEXT: Final = 'before next'
LATER_S: Final = 0.01
# The last one is over the time after which another endpoint is tried.
DELAYS_S: Final = (0, 0, 0, 0.01, 0.01, 0.9)
DATE: Final = 'Date: Sat, 05 Dec 2026 19:41:51 GMT'
# A shorter part of a copy cannot be told from the end of a body without a
# length. `test_joined_answers.py` has them.
MIN_CUT: Final = len('HTTP/1.1 200')
MAX_CUT: Final = 200


@dataclass(frozen=True, slots=True)
class Run:
    """How an engine answers a request, and what it writes besides.

    `cut` is the length of the copy, which ends with the answer at most.
    """

    status: int = 200
    delay_s: float = 0
    copy: str = NO_COPY
    cut: int = MAX_CUT
    header_order: tuple[int, ...] = (0, 1, 2)
    framing: str = 'length'


@dataclass
class CopyingEngines:
    """Answer each request with the next of the drawn runs."""

    script: Sequence[Run]
    run_count: int = 0
    # Status, seal and body of each run of a request.
    answers: dict[str, set[tuple[int, str, bytes]]] = field(
        default_factory=lambda: defaultdict(set)
    )
    copies: dict[tuple[str, int], bytes] = field(default_factory=dict)

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Write the copies that are due, and the answer."""
        place = (req.headers['x-expect-instance'], req.connection_number)
        run = Run()
        if self.run_count < len(self.script):
            run = self.script[self.run_count]
        self.run_count += 1
        await conn.write(self.copies.pop(place, b''))
        seal = f'seal-{self.run_count}'
        content = self._encode(req, run, seal)
        await anyio.sleep(run.delay_s)
        copy = content[: run.cut]
        if run.copy == BEHIND:
            content += copy
        await conn.write(content)
        if run.framing == 'close':
            await conn.close()
        elif run.copy == LATER:
            await anyio.sleep(LATER_S)
            await conn.write(copy)
        elif run.copy == BEFORE_NEXT:
            self.copies[place] = copy

    def _encode(self, req: ReceivedRequest, run: Run, seal: str) -> bytes:
        request_id = req.headers['x-attempt-id']
        body = f'{request_id} by {seal}'
        self.answers[request_id].add((run.status, seal, body.encode()))
        headers = (
            f'X-Attempt-Id: {request_id}',
            f'X-Server-Seal: {seal}',
            DATE,
        )
        length = f'Content-Length: {len(body)}'
        if run.framing == 'close':
            length = 'Connection: close'
        elif run.framing == 'chunked':
            length = 'Transfer-Encoding: chunked'
            body = f'{len(body):x}\r\n{body}\r\n0\r\n\r\n'
        lines = [
            f'HTTP/1.1 {run.status} Answer',
            *(headers[index] for index in run.header_order),
            length,
            '',
            body,
        ]
        return '\r\n'.join(lines).encode()


def _check(engines: CopyingEngines, name: str, answer: HttpAnswer) -> None:
    seal = answer.headers.get('x-server-seal')
    if seal is None:
        assert answer.status in {500, 502, 503, 504}
        return
    assert (answer.status, seal, answer.body) in engines.answers[name]


async def _read(
    harness: EntryHarness, engines: CopyingEngines, caller: int, reads: int
) -> None:
    for number in range(reads):
        name = f'r{caller}-{number}'
        answer = await harness.request('/read/a', request_id=name)
        _check(engines, name, answer)


async def _serve(
    script: Sequence[Run], engine_count: int, reads: Sequence[int]
) -> None:
    engines = CopyingEngines(script)
    async with running_entry() as harness:
        for number in range(engine_count):
            await harness.start_endpoint(f'e-{number}', engines.answer)
        await harness.wait_until_endpoints_known()
        async with anyio.create_task_group() as callers:
            for caller, count in enumerate(reads):
                callers.start_soon(_read, harness, engines, caller, count)


@settings(max_examples=25, deadline=None)
@given(
    script=st.lists(
        st.builds(
            Run,
            status=st.sampled_from((200, 500)),
            delay_s=st.sampled_from(DELAYS_S),
            copy=st.sampled_from((BEFORE_NEXT, BEHIND, LATER, NO_COPY)),
            cut=st.integers(MIN_CUT, MAX_CUT),
            header_order=st.permutations(range(3)).map(tuple),
            framing=st.sampled_from(('length', 'chunked', 'close')),
        ),
        min_size=2,
        max_size=16,
    ),
    engine_count=st.integers(1, 3),
    reads=st.lists(st.integers(1, 6), min_size=1, max_size=3),
)
def test_caller_gets_one_whole_run_of_its_request(
    script: list[Run], engine_count: int, reads: list[int]
) -> None:
    """Guards against a status, a seal and a body that are not those of one run
    of exactly the caller's request, such as a success from a failure.
    """
    anyio.run(_serve, script, engine_count, reads)
