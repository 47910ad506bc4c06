"""Answers that an endpoint writes once more on a kept connection."""

from typing import Final

import pytest

from masticwind.budget import Budget
from masticwind.http_calls import MAX_BODY_BYTES
from masticwind.http_limits import join_chunks
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.serving.interfaces import (
    Attempt,
    AttemptLimits,
    Reply,
    Verdict,
)
from masticwind.serving.model import CallerRequest, Endpoint
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)
from tests.entry_harness import (
    answer_completely,
    running_entry,
)

pytestmark = pytest.mark.anyio

# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
NOT_RUN: Final = 'X-Not-Executed: 1'
REFUSALS: Final = ((503, (NOT_RUN,)), (429, (NOT_RUN,)), (421, ()))
LIMITS: Final = AttemptLimits(
    connect_timeout_s=1,
    head_timeout_s=1,
    idle_timeout_s=1,
    total_timeout_s=1,
)


class RepeatedRefusal:
    """Refuses the first request, and answers the next one on the same
    connection with that refusal although it runs it.
    """

    def __init__(self, status: int, headers: tuple[str, ...]) -> None:
        self._status: Final = status
        self._headers: Final = headers
        self._refusals: Final[dict[int, bytes]] = {}
        self.ran: Final[list[str]] = []

    async def __call__(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request; those of `warm` get a normal answer."""
        request_id = req.headers.get('x-attempt-id', '')
        if request_id.startswith('warm'):
            await answer_completely(req, conn)
            return
        repeated = self._refusals.get(req.connection_number)
        if repeated is not None:
            self.ran.append(request_id)
            await conn.write(repeated)
            await conn.send_answer(req)
            return
        if self._refusals:
            self.ran.append(request_id)
            await conn.send_answer(req)
            return
        refusal = encode_head(
            req, self._status, ('Content-Length: 0', *self._headers)
        )
        self._refusals[req.connection_number] = refusal
        await conn.write(refusal)


@pytest.mark.parametrize(('status', 'headers'), REFUSALS)
async def test_repeated_refusal_does_not_hide_that_the_next_request_ran(
    status: int, headers: tuple[str, ...]
) -> None:
    """Guards against "not run" for a request that the endpoint has run."""
    script = RepeatedRefusal(status, headers)
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', script)
        await harness.wait_until_served('/read/a', request_id='warm')
        await harness.request('/read/a', request_id='first')
        harness.register('i-1', 'calls', seq=2)
        await harness.wait_until_served('/read/a', request_id='warm')
        answer = await harness.request('/read/a', request_id='second')
        assert 'second' not in script.ran or (
            answer.status not in NOT_RUN_STATUSES
        )
        assert script.ran


async def send_attempt(
    client: PlatformEndpointClient,
    endpoint: Endpoint,
    request_id: str,
    *,
    repeated: bool = False,
) -> Reply:
    """Send an attempt and read its whole answer."""
    req = CallerRequest(
        request_id=request_id,
        method='POST',
        target=b'/read/a',
        host='fleet.example',
        path='/read/a',
        forwarded_headers=((b'x-attempt-id', request_id.encode()),),
        budget=Budget.from_ms(1000),
    )
    attempt = Attempt(
        req=req,
        endpoint=endpoint,
        team='',
        time_limit_ms=1000,
        priority=0,
        at_most_once=False,
        resume_after=None,
        repeated=repeated,
    )
    async with client.send(attempt, LIMITS) as reply:
        assert isinstance(reply, Reply)
        await join_chunks(reply.chunks, MAX_BODY_BYTES)
        return reply


@pytest.mark.parametrize(('status', 'headers'), REFUSALS)
@pytest.mark.parametrize('next_id', ['first', 'second'])
async def test_repeated_refusal_is_no_answer_to_a_later_request(
    status: int, headers: tuple[str, ...], next_id: str
) -> None:
    """Guards against a refusal that is taken for that of a later request."""
    script = RepeatedRefusal(status, headers)
    async with running_entry() as harness:
        raw = await harness.start_endpoint('i-1', script)
        endpoint = Endpoint(
            identity='i-1',
            service='calls',
            host='127.0.0.1',
            port=raw.port,
            zone='zone-a',
            slots=8,
        )
        client = PlatformEndpointClient()
        first = await send_attempt(client, endpoint, 'first')
        assert first.status == status
        later = await send_attempt(client, endpoint, next_id)
        assert later.verdict in {Verdict.RAN, Verdict.UNVERIFIED}
        assert script.ran == [next_id]
        await client.close_idle(endpoint)
