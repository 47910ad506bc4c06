"""Answers of endpoints with any sequence of faults on reused connections."""

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
    ReceivedRequest,
    Script,
    encode_event_chunk,
    encode_stream_head,
)
from tests.endpoint_scripts import (
    answer_other_request,
    answer_wrong_endpoint,
    close_without_answer,
    send_invalid_http,
    truncate_body,
)
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    ENGINE_SERVICE,
    EntryHarness,
    caller_headers,
    prompt_headers,
    running_entry,
)

EVENT_COUNT: Final = 4
# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Other statuses of a request that no endpoint has answered.
MAY_HAVE_RUN_STATUSES: Final = frozenset((500, 502, 504))
ANSWER_DELAY_S: Final = 0.05


def _expected_body(request_id: str) -> bytes:
    return f'answer to {request_id}'.encode()


def _expected_events(request_id: str) -> bytes:
    return b''.join(
        f'id: {number}\ndata: {request_id}\n\n'.encode()
        for number in range(1, EVENT_COUNT + 1)
    )


async def _answer_completely(req: ReceivedRequest, conn: RawConnection) -> None:
    request_id = req.headers['x-attempt-id']
    if '/chat/' not in req.target:
        await conn.send_answer(req, body=_expected_body(request_id))
        return
    await conn.write(encode_stream_head(req))
    first = int(req.headers.get('last-event-id', '0')) + 1
    for number in range(first, EVENT_COUNT + 1):
        await conn.write(encode_event_chunk(number, request_id))
    await conn.write(LAST_CHUNK)


async def _answer_late(req: ReceivedRequest, conn: RawConnection) -> None:
    await anyio.sleep(ANSWER_DELAY_S)
    await _answer_completely(req, conn)


async def _answer_with_extra(req: ReceivedRequest, conn: RawConnection) -> None:
    await _answer_completely(req, conn)
    await answer_other_request(req, conn)


async def _answer_twice(req: ReceivedRequest, conn: RawConnection) -> None:
    await _answer_completely(req, conn)
    await _answer_completely(req, conn)


async def _answer_truncated(req: ReceivedRequest, conn: RawConnection) -> None:
    if '/chat/' not in req.target:
        await truncate_body(req, conn)
        return
    await conn.write(encode_stream_head(req))
    await conn.write(encode_event_chunk(1, req.headers['x-attempt-id'])[:-6])
    await conn.close()


FAULT_SCRIPTS: Final[Mapping[str, Script]] = MappingProxyType(
    {
        'whole': _answer_completely,
        'late': _answer_late,
        'another': _answer_with_extra,
        'twice': _answer_twice,
        'truncated': _answer_truncated,
        'foreign': answer_other_request,
        'hang up': close_without_answer,
        'no protocol': send_invalid_http,
        'elsewhere': answer_wrong_endpoint,
    }
)


@dataclass
class FaultSequence:
    """Answers each request that arrives with the next of the chosen faults."""

    faults: Sequence[str]
    request_count: int = 0
    applied_faults: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )

    async def script(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer with the next fault, and completely after the last fault."""
        request_id = req.headers['x-attempt-id']
        if not request_id.startswith('r-'):
            await conn.send_answer(req)
            return
        fault = 'whole'
        if self.request_count < len(self.faults):
            fault = self.faults[self.request_count]
        self.request_count += 1
        self.applied_faults[request_id].append(fault)
        await FAULT_SCRIPTS[fault](req, conn)


async def _send_request(
    harness: EntryHarness,
    path: str,
    request_id: str,
    answers: dict[str, HttpAnswer | Failure],
) -> None:
    headers = caller_headers(API_KEY, request_id, 2000)
    if path == 'chat':
        headers = (*headers, *prompt_headers())
    answers[request_id] = await harness.client.request(
        'POST',
        f'/{path}/x',
        timeout_s=5,
        headers=headers,
    )


def _check_answer(
    path: str,
    request_id: str,
    answer: HttpAnswer | Failure,
    applied_faults: Sequence[str],
) -> None:
    may_have_run = [fault for fault in applied_faults if fault != 'elsewhere']
    if path == 'order':
        assert len(may_have_run) <= 1, (
            f'{request_id} was sent again: {applied_faults}'
        )
    if isinstance(answer, Failure):
        # A stream that cannot be completed ends with a broken connection.
        assert path == 'chat', answer
        return
    if answer.status == 200:
        expected = (
            _expected_events(request_id)
            if path == 'chat'
            else _expected_body(request_id)
        )
        assert answer.body == expected, applied_faults
        return
    assert answer.status in NOT_RUN_STATUSES | MAY_HAVE_RUN_STATUSES
    if answer.status in NOT_RUN_STATUSES:
        assert not may_have_run, f'{answer.status} after {applied_faults}'


async def _run_batches(
    faults: Sequence[str], batches: Sequence[Sequence[str]]
) -> None:
    sequence = FaultSequence(faults)
    async with running_entry() as harness:
        for number in range(3):
            await harness.start_endpoint(
                f'c-{number}', sequence.script, CALL_SERVICE
            )
            await harness.start_endpoint(
                f'e-{number}', sequence.script, ENGINE_SERVICE
            )
        await harness.wait_until_served('/read/a')
        requests_by_path = Counter[str]()
        for batch in batches:
            answers: dict[str, HttpAnswer | Failure] = {}
            paths: dict[str, str] = {}
            async with anyio.create_task_group() as callers:
                for path in batch:
                    requests_by_path[path] += 1
                    request_id = f'r-{path}-{requests_by_path[path]}'
                    paths[request_id] = path
                    callers.start_soon(
                        _send_request, harness, path, request_id, answers
                    )
            for request_id, answer in answers.items():
                applied_faults = sequence.applied_faults[request_id]
                _check_answer(
                    paths[request_id], request_id, answer, applied_faults
                )


@settings(max_examples=25, deadline=None)
@given(
    faults=st.lists(
        st.sampled_from(sorted(FAULT_SCRIPTS)), min_size=4, max_size=24
    ),
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
def test_every_caller_gets_its_own_complete_answer_or_an_error(
    faults: list[str],
    batches: list[list[str]],
) -> None:
    """Guards against answers to other requests, truncated answers that look
    complete, orders that run twice, and "not run" for a request that may have
    run, after any fault on a reused connection.
    """
    anyio.run(_run_batches, faults, batches)
