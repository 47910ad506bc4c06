"""Bodies of callers while the process has no memory left for them."""

from contextlib import AsyncExitStack, suppress

import anyio
import pytest

from masticwind.byte_budget import ByteBudget
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)
from tests.entry_harness import (
    API_KEY,
    EntryHarness,
    answer_completely,
    caller_headers,
    running_entry,
)
from tests.stopping_entry import call_head, connect

pytestmark = pytest.mark.anyio


async def test_body_is_refused_before_it_is_sent_when_memory_is_spent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers' bodies that fill the memory, and against a
    refusal of a request that has been sent.
    """
    async with running_entry() as harness:
        endpoint = await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a', request_id='warm')
        with monkeypatch.context() as patch:
            patch.setattr(
                ByteBudget, 'try_take', lambda _budget, size: not size
            )
            refused = await harness.request(
                '/order/a', method='POST', body=b'x'
            )
            empty = await harness.request('/order/a', method='POST')
        served = await harness.request('/order/a', method='POST', body=b'x')
    assert refused.status == 503
    assert 'retry-after' in refused.headers
    assert empty.status == 200
    assert empty.body == b'done'
    assert served.status == 200
    orders = [req for req in endpoint.received if req.target == '/order/a']
    assert [req.body for req in orders] == [b'', b'x']


async def _begin_answer(req: ReceivedRequest, conn: RawConnection) -> None:
    """Begin an answer that does not end, except to `warm`."""
    if req.headers['x-attempt-id'] == 'warm':
        await answer_completely(req, conn)
        return
    await conn.write(encode_head(req, 200, ('Content-Length: 9000',)))
    await conn.write(b'x' * 5000)
    await anyio.sleep_forever()


async def _call(harness: EntryHarness) -> None:
    await harness.client.request(
        'POST',
        '/order/a',
        timeout_s=5,
        body=b'x' * 20_000,
        headers=caller_headers(API_KEY, 'r1', 700),
    )


@pytest.mark.parametrize('leaves', [False, True])
async def test_buffered_bytes_are_returned(*, leaves: bool) -> None:
    """Guards against a budget that shrinks with callers that leave, or with
    requests whose deadline passes.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', _begin_answer)
        await harness.wait_until_served('/read/a', request_id='warm')
        async with anyio.create_task_group() as callers:
            callers.start_soon(_call, harness)
            with anyio.fail_after(2):
                while harness.entry.buffered_bytes != 25_000:
                    await anyio.sleep(0.005)
            if leaves:
                callers.cancel_scope.cancel()
        with anyio.fail_after(2):
            while harness.entry.buffered_bytes:
                await anyio.sleep(0.005)


async def test_body_is_served_while_others_have_stopped_arriving() -> None:
    """Guards against callers that stop within their bodies, which take the
    memory for bodies from everybody else.
    """
    async with running_entry() as harness:
        await harness.start_endpoint('i-1', answer_completely)
        await harness.wait_until_served('/read/a', request_id='warm')
        budget = harness.entry._admission.byte_budget
        stopped_bytes = budget.total_bytes // 10
        async with AsyncExitStack() as stack:
            for number in range(12):
                conn = await connect(harness.entry.port)
                await stack.enter_async_context(conn)
                head = call_head(f'stopped-{number}', '/read/a')
                length = b'Content-Length: %d' % (stopped_bytes + 1)
                head = head.replace(b'Content-Length: 0', length)
                with suppress(anyio.BrokenResourceError):
                    await conn.send(head + b'x' * stopped_bytes)
            await anyio.sleep(1)
            served = await harness.request('/order/a', method='POST', body=b'x')
            large = await harness.request(
                '/order/a', method='POST', body=b'x' * 200_000
            )
    assert served.status == 200
    assert large.status == 200
