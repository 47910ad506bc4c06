"""Limits on the connections of all callers together."""

import resource
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import anyio
import pytest
from prometheus_client import generate_latest

from masticwind.config.current import CurrentConfig
from masticwind.log_limits import MAX_BURST_LINES, LineLimiter
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol import listener
from masticwind.settings import Address, PeerSettings
from masticwind.web import WebServer, json_response, send_response
from masticwind.web_callers import AggregateLimits, CloseCause, derive_limits
from tests.entry_harness import running_entry
from tests.log_records import collected_log_records, count_events
from tests.manual_clock import ManualClock
from tests.stopping_entry import connect, read_answer, receive_or_end
from tests.test_connections import RecordingHandler

pytestmark = pytest.mark.anyio

LARGE_KEPT = 100_000_000


def head(path: str = '/', length: int = 0) -> bytes:
    """Return the head of a request."""
    return (
        f'POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n'
    ).encode()


@asynccontextmanager
async def limited_server(limits: AggregateLimits) -> AsyncIterator[WebServer]:
    """Run a server whose application answers `/` only."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope['path'] == '/large':
            await send_response(send, json_response(200, 'x' * 20_000_000))
            return
        while scope['path'] == '/held':
            if (await receive())['type'] == 'http.disconnect':
                return
        await send_response(send, json_response(200, {}))

    async with anyio.create_task_group() as tasks:
        server = WebServer(app, Address(), caller_limits=limits)
        tasks.start_soon(server.run)
        yield server
        tasks.cancel_scope.cancel()


def test_limits_follow_from_memory_and_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against limits that do not fit the machine: the descriptors of
    the settings or of the system, whichever are fewer, and the memory.
    """
    monkeypatch.setattr(resource, 'getrlimit', lambda _: (8192, 8192))
    assert derive_limits(552, 4100).max_connections == (4100 - 200) // 2
    assert derive_limits(552, 20_000).max_connections == (8192 - 200) // 2
    assert derive_limits(552).max_connections == (8192 - 200) // 2
    assert derive_limits(200, 8192).max_connections == 1600
    assert derive_limits(200, 100).max_connections == 16
    unlimited = resource.RLIM_INFINITY
    monkeypatch.setattr(resource, 'getrlimit', lambda _: (unlimited, unlimited))
    assert derive_limits(200).max_connections == 1600
    assert derive_limits(200).max_kept_bytes == 200 * 1_048_576 * 15 // 100


async def test_unused_connection_makes_room_for_a_new_one() -> None:
    """Guards against callers that cannot connect because others keep all
    connections open; the one idle for the longest is closed.
    """
    async with limited_server(AggregateLimits(2, LARGE_KEPT)) as server:
        async with (
            await connect(server.port) as busy,
            await connect(server.port) as idle,
        ):
            await idle.send(head())
            assert (await read_answer(idle)).status == 200
            await busy.send(head('/held'))
            await anyio.sleep(0.1)
            async with await connect(server.port) as third:
                await third.send(head())
                assert (await read_answer(third)).status == 200
                assert not await receive_or_end(idle)
                assert server.callers.count == 2
    assert server.callers.closed == {CloseCause.UNUSED: 1}


async def test_new_connection_is_closed_while_all_others_have_requests() -> (
    None
):
    """Guards against requests in progress that new connections end, and
    against connections without end.
    """
    async with limited_server(AggregateLimits(1, LARGE_KEPT)) as server:
        async with await connect(server.port) as busy:
            await busy.send(head('/held'))
            await anyio.sleep(0.1)
            async with await connect(server.port) as second:
                assert not await receive_or_end(second)
            assert server.callers.count == 1
        assert server.callers.closed == {CloseCause.REFUSED: 1}
        await anyio.sleep(0.1)
        async with await connect(server.port) as later:
            await later.send(head())
            assert (await read_answer(later)).status == 200


async def test_body_that_has_not_arrived_for_long_makes_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that cannot connect because others never complete
    their bodies; a request whose body has arrived is not ended for them.
    """
    monkeypatch.setattr('masticwind.web_callers.SLOW_CALLER_S', 0.3)
    async with limited_server(AggregateLimits(2, LARGE_KEPT)) as server:
        async with (
            await connect(server.port) as busy,
            await connect(server.port) as slow,
        ):
            await busy.send(head('/held'))
            await slow.send(head('/held', 1000))
            await anyio.sleep(0.1)
            async with await connect(server.port) as early:
                assert not await receive_or_end(early)
            await anyio.sleep(0.3)
            async with await connect(server.port) as later:
                await later.send(head())
                assert (await read_answer(later)).status == 200
                assert not await receive_or_end(slow)
                assert server.callers.count == 2
    assert server.callers.closed == {CloseCause.REFUSED: 1, CloseCause.SLOW: 1}


async def test_answer_that_is_not_received_for_long_makes_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that keep connections by reading no answers, and
    against an answer that a new connection cuts at once.
    """
    monkeypatch.setattr('masticwind.web_callers.SLOW_CALLER_S', 0.3)
    async with limited_server(AggregateLimits(1, LARGE_KEPT)) as server:
        async with await connect(server.port, 4096) as unread:
            await unread.send(head('/large'))
            # Without a first read, the client's event loop would read on.
            await unread.receive(1000)
            await anyio.sleep(0.1)
            async with await connect(server.port) as early:
                assert not await receive_or_end(early)
            await anyio.sleep(0.4)
            async with await connect(server.port) as later:
                await later.send(head())
                assert (await read_answer(later)).status == 200
    assert server.callers.closed == {CloseCause.REFUSED: 1, CloseCause.SLOW: 1}


async def test_connection_that_keeps_most_is_closed() -> None:
    """Guards against callers that together fill the memory, each within the
    limit of one connection, and against an honest one that pays for it.
    """
    async with limited_server(AggregateLimits(10, 60_000)) as server:
        async with (
            await connect(server.port) as modest,
            await connect(server.port) as greedy,
        ):
            await modest.send(head('/held') + head() * 100)
            await greedy.send(head('/held') + head() * 1000)
            await anyio.sleep(0.1)
            assert server.callers.kept_bytes <= 60_000
            with anyio.fail_after(5), pytest.raises(anyio.BrokenResourceError):
                while True:
                    await greedy.send(head() * 1000)
            assert server.callers.count == 1
            assert server.callers.closed == {CloseCause.KEPT: 1}
            await anyio.sleep(0.1)
            assert 0 < server.callers.kept_bytes <= 60_000


async def test_unread_answers_count_as_kept() -> None:
    """Guards against answers that are kept for callers that do not read."""
    async with limited_server(AggregateLimits(10, 1_000_000)) as server:
        async with await connect(server.port, 4096) as conn:
            await conn.send(head('/large'))
            with anyio.fail_after(5):
                while not server.callers.closed[CloseCause.KEPT]:
                    await anyio.sleep(0.01)
            assert not server.callers.kept_bytes


async def test_nothing_is_kept_after_the_last_caller() -> None:
    """Guards against sums that grow with each connection."""
    async with limited_server(AggregateLimits(10, LARGE_KEPT)) as server:
        for _ in range(30):
            async with await connect(server.port) as conn:
                await conn.send(head() + head('/held') + head()[:20])
                assert (await read_answer(conn)).status == 200
        with anyio.fail_after(5):
            while server.callers.count:
                await anyio.sleep(0.01)
        assert not server.callers.kept_bytes
        assert not server.callers.closed


async def test_lines_of_strange_requests_are_limited_and_all_are_counted() -> (
    None
):
    """Guards against callers without a route that produce log lines without
    end, and against requests that neither lines nor metrics show.
    """
    sent = int(MAX_BURST_LINES) + 50
    with collected_log_records() as records:
        async with running_entry() as harness:
            async with await connect(harness.entry.port) as conn:
                await conn.send(head('/nowhere') * sent)
                received = b''
                with anyio.fail_after(10):
                    while received.count(b'HTTP/1.1 ') < sent:
                        received += await conn.receive()
            telemetry = harness.entry._telemetry
            counted = [
                sample.value
                for metric in telemetry.requests.collect()
                for sample in metric.samples
                if sample.name.endswith('_total')
            ]
        lines = count_events(records)['request_failed']
    # The time of the test allows some more than the burst.
    assert MAX_BURST_LINES <= lines < sent
    assert sum(counted) == sent


async def test_connections_of_callers_are_in_the_metrics() -> None:
    """Guards against limits whose effect operators cannot see."""
    async with running_entry() as harness:
        async with await connect(harness.entry.port) as conn:
            await conn.send(head('/nowhere')[:20])
            callers = harness.entry._server.callers
            with anyio.fail_after(5):
                while not callers.kept_bytes:
                    await anyio.sleep(0.01)
            text = generate_latest(harness.entry._telemetry._registry).decode()
    assert 'masticwind_caller_connections 1.0' in text
    assert 'masticwind_caller_kept_bytes 20.0' in text
    for cause in CloseCause:
        name = 'masticwind_caller_connections_closed_total'
        assert f'{name}{{cause="{cause}"}} 0.0' in text


async def test_listener_of_peers_closes_connections_above_its_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections without a handshake that use up the
    descriptors of an agent or an entry.
    """
    monkeypatch.setattr(
        listener, 'derive_limits', lambda: AggregateLimits(3, LARGE_KEPT)
    )
    peers = listener.Listener(
        PeerIdentity(role='agent', name='a', zone='z'),
        Address(),
        PeerSettings(secrets=('first',), connect_timeout_ms=10_000),
        CurrentConfig(),
        RecordingHandler(),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peers.run)
        async with AsyncExitStack() as stack:
            for _ in range(3):
                await stack.enter_async_context(await connect(peers.port))
            await anyio.sleep(0.1)
            async with await connect(peers.port) as refused:
                with anyio.fail_after(2):
                    assert not await receive_or_end(refused)
            assert peers.connections.count == 3
        with anyio.fail_after(2):
            while peers.connections.count:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


def test_lines_that_callers_cause_are_limited_for_each_kind() -> None:
    """Guards against lines about strange requests that displace all others."""
    clock = ManualClock()
    limiter = LineLimiter(clock)
    burst = int(MAX_BURST_LINES)
    assert {limiter.left_out('a') for _ in range(burst)} == {0}
    assert {limiter.left_out('a') for _ in range(7)} == {None}
    assert limiter.left_out('b') == 0
    clock.now += 1
    assert limiter.left_out('a') == 7
    assert limiter.left_out('a') == 0
