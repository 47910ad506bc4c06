"""Answers of endpoints in any order of faults on kept connections."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    Received,
    Script,
    event_chunk,
    stream_head,
)
from tests.endpoint_scripts import (
    answer_another,
    hang_up,
    no_protocol,
    truncate,
    wrong_endpoint,
)
from tests.entry_harness import (
    CALLS,
    ENGINES,
    KEY,
    EntryHarness,
    caller_headers,
    prompt_headers,
    running_entry,
)

EVENTS: Final = 4
# Statuses that promise a caller that its request has not run.
NOT_RUN: Final = frozenset((408, 421, 429, 503))
# All others that a caller may get where no endpoint has answered.
MAY_HAVE_RUN: Final = frozenset((500, 502, 504))
LATE_S: Final = 0.05


def _body(request_id: str) -> bytes:
    return f'answer to {request_id}'.encode()


def _events(request_id: str) -> bytes:
    return b''.join(
        f'id: {number}\ndata: {request_id}\n\n'.encode()
        for number in range(1, EVENTS + 1)
    )


async def _whole(req: Received, conn: RawConnection) -> None:
    request_id = req.headers['x-attempt-id']
    if '/chat/' not in req.target:
        await conn.answer(req, body=_body(request_id))
        return
    await conn.write(stream_head(req))
    first = int(req.headers.get('last-event-id', '0')) + 1
    for number in range(first, EVENTS + 1):
        await conn.write(event_chunk(number, request_id))
    await conn.write(LAST_CHUNK)


async def _late(req: Received, conn: RawConnection) -> None:
    await anyio.sleep(LATE_S)
    await _whole(req, conn)


async def _with_another(req: Received, conn: RawConnection) -> None:
    await _whole(req, conn)
    await answer_another(req, conn)


async def _twice(req: Received, conn: RawConnection) -> None:
    await _whole(req, conn)
    await _whole(req, conn)


async def _truncated(req: Received, conn: RawConnection) -> None:
    if '/chat/' not in req.target:
        await truncate(req, conn)
        return
    await conn.write(stream_head(req))
    await conn.write(event_chunk(1, req.headers['x-attempt-id'])[:-6])
    await conn.close()


FAULTS: Final[Mapping[str, Script]] = MappingProxyType(
    {
        'whole': _whole,
        'late': _late,
        'another': _with_another,
        'twice': _twice,
        'truncated': _truncated,
        'foreign': answer_another,
        'hang up': hang_up,
        'no protocol': no_protocol,
        'elsewhere': wrong_endpoint,
    }
)


@dataclass
class Endpoints:
    """Plays the chosen faults, one for each request that arrives."""

    faults: Sequence[str]
    arrivals: int = 0
    played: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )

    async def script(self, req: Received, conn: RawConnection) -> None:
        """Play the next fault; after the last one, all is well."""
        request_id = req.headers['x-attempt-id']
        if not request_id.startswith('r-'):
            await conn.answer(req)
            return
        fault = 'whole'
        if self.arrivals < len(self.faults):
            fault = self.faults[self.arrivals]
        self.arrivals += 1
        self.played[request_id].append(fault)
        await FAULTS[fault](req, conn)


async def _ask(
    harness: EntryHarness,
    path: str,
    request_id: str,
    answers: dict[str, HttpAnswer | Failure],
) -> None:
    headers = caller_headers(KEY, request_id, 2000)
    if path == 'chat':
        headers = (*headers, *prompt_headers())
    answers[request_id] = await harness.client.request(
        'POST',
        f'/{path}/x',
        timeout_s=5,
        headers=headers,
    )


def _check(
    path: str,
    request_id: str,
    answer: HttpAnswer | Failure,
    played: Sequence[str],
) -> None:
    may_have_run = [one for one in played if one != 'elsewhere']
    if path == 'order':
        assert len(may_have_run) <= 1, f'{request_id} was sent again: {played}'
    if isinstance(answer, Failure):
        # A stream that cannot be finished breaks off.
        assert path == 'chat', answer
        return
    if answer.status == 200:
        wanted = _events(request_id) if path == 'chat' else _body(request_id)
        assert answer.body == wanted, played
        return
    assert answer.status in NOT_RUN | MAY_HAVE_RUN
    if answer.status in NOT_RUN:
        assert not may_have_run, f'{answer.status} after {played}'


async def _play(
    faults: Sequence[str], batches: Sequence[Sequence[str]]
) -> None:
    endpoints = Endpoints(faults)
    async with running_entry() as harness:
        for number in range(3):
            await harness.start_endpoint(f'c-{number}', endpoints.script, CALLS)
            await harness.start_endpoint(
                f'e-{number}', endpoints.script, ENGINES
            )
        await harness.wait_until_served('/read/a')
        count = Counter[str]()
        for batch in batches:
            answers: dict[str, HttpAnswer | Failure] = {}
            paths: dict[str, str] = {}
            async with anyio.create_task_group() as callers:
                for path in batch:
                    count[path] += 1
                    request_id = f'r-{path}-{count[path]}'
                    paths[request_id] = path
                    callers.start_soon(_ask, harness, path, request_id, answers)
            for request_id, answer in answers.items():
                played = endpoints.played[request_id]
                _check(paths[request_id], request_id, answer, played)


@settings(max_examples=25, deadline=None)
@given(
    faults=st.lists(st.sampled_from(sorted(FAULTS)), min_size=4, max_size=24),
    batches=st.lists(
        st.lists(
            st.sampled_from(('read', 'order', 'chat')),
            min_size=1,
            max_size=3,
        ),
        min_size=2,
        max_size=8,
    ),
)
def test_every_caller_gets_its_own_whole_answer_or_an_error(
    faults: list[str],
    batches: list[list[str]],
) -> None:
    """Guards against answers of others, cut answers that look whole, calls
    that run twice and "not run" for what may have run, whatever is left over
    on a kept connection.
    """
    anyio.run(_play, faults, batches)
