"""The sum of what callers can make an entry keep, as in `docs/LIMITS.md`."""

import resource

import anyio
import pytest

from masticwind.byte_budget import STALLED_BODY_S, ByteBudget
from masticwind.memory_shares import (
    BYTES_PER_MB,
    IDLE_CONNECTION_BYTES,
    PROCESS_MB,
    REQUEST_BYTES,
    shared_memory_mb,
)
from masticwind.web_callers import derive_limits
from masticwind.web_transport import KEPT_BY_NARROW_BYTES, KEPT_BY_WIDE_BYTES
from masticwind_dev.standins.raw_endpoint import RawConnection, ReceivedRequest
from tests.entry_harness import answer_completely, running_entry
from tests.stopping_entry import call_head, connect, read_answer

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ('memory_mb', 'max_fds'),
    [(96, 1400), (128, 400), (200, 8192), (232, 4096), (300, 4100), (552, 0)],
)
def test_sum_of_all_limits_is_within_the_memory(
    memory_mb: float, max_fds: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against limits that hold one by one, but not together."""
    monkeypatch.setattr(resource, 'getrlimit', lambda _: (8192, 8192))
    limits = derive_limits(memory_mb, max_fds)
    buffered_bytes = ByteBudget(shared_memory_mb(memory_mb)).total_bytes
    total_bytes = (
        limits.max_connections * IDLE_CONNECTION_BYTES
        + limits.max_requests * REQUEST_BYTES
        + limits.max_kept_bytes
        + limits.max_wide_buffers * KEPT_BY_WIDE_BYTES
        + buffered_bytes
    )
    assert KEPT_BY_NARROW_BYTES < IDLE_CONNECTION_BYTES
    assert PROCESS_MB + total_bytes / BYTES_PER_MB <= memory_mb


async def test_requests_beyond_the_limit_are_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests in progress that take the memory of the machine:
    each takes more than its connection.
    """
    release = anyio.Event()

    async def answer(req: ReceivedRequest, conn: RawConnection) -> None:
        await release.wait()
        await conn.send_answer(req)

    # Of 256 MB, a quarter of which is for requests: one is allowed.
    monkeypatch.setattr(
        'masticwind.web_callers.REQUEST_BYTES', 64 * BYTES_PER_MB
    )
    async with running_entry() as harness:
        await harness.start_endpoint('a', answer)
        await harness.wait_until_endpoints_known()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.request, '/read/a')
            with anyio.fail_after(5):
                while not harness.received:
                    await anyio.sleep(0.01)
            refused = await harness.request('/read/a', request_id='r2')
            release.set()
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        assert len(harness.received) == 1
        assert (await harness.request('/read/a')).status == 200


async def test_body_that_stops_does_not_keep_others_from_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests in progress that never arrive completely, so
    that all others are refused.
    """
    monkeypatch.setattr(
        'masticwind.web_callers.REQUEST_BYTES', 64 * BYTES_PER_MB
    )
    async with running_entry() as harness:
        await harness.start_endpoint('a', answer_completely)
        await harness.wait_until_served('/read/a')
        async with await connect(harness.entry.port) as conn:
            head = call_head('stopped', '/read/a')
            await conn.send(
                head.replace(b'Content-Length: 0', b'Content-Length: 9')
            )
            await anyio.sleep(2 * STALLED_BODY_S)
            assert (await harness.request('/read/a')).status == 200
            assert (await read_answer(conn)).status == 503
