"""What entries know of each other's work."""

from dataclasses import replace
from typing import Final

import anyio
import pytest

from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.latency_model import PrefillWork
from masticwind.serving.load_link import LoadLink
from masticwind.serving.load_table import (
    STALE_JOB_S,
    Job,
    LoadTable,
    engine_load,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import Item
from tests.direct_rig import free_udp_port, sample_settings
from tests.manual_clock import ManualClock

pytestmark = pytest.mark.anyio

JOB: Final = Job(
    job_id=0,
    request_id='r1',
    endpoint_id='e1',
    prefill=PrefillWork(1000, 1),
    context_tokens=1000,
    held_tokens=1200,
    started_at=100,
    first_token_at=101,
    end_at=103,
)


def test_reading_shrinks_and_writing_begins() -> None:
    """Guards against engines that look busy with what they have read."""
    clock = ManualClock()
    board = LoadTable(clock)
    numbers = board.add([JOB])
    clock.now = 100.5
    state = engine_load(board.jobs_by_endpoint()['e1'], clock.now)
    assert state.pending_prefill.tokens == pytest.approx(500)
    assert not state.decode_context_tokens
    board.record_first_token(numbers)
    state = engine_load(board.jobs_by_endpoint()['e1'], clock.now)
    assert state.pending_prefill.tokens == 0
    assert state.decode_context_tokens == (1000,)
    board.remove(numbers)
    assert not board.jobs_by_endpoint()


def test_helpers_are_free_at_the_first_token() -> None:
    """Guards against helpers that stay blocked while the lead writes."""
    board = LoadTable(ManualClock())
    helper = replace(JOB, endpoint_id='e2', context_tokens=0)
    numbers = board.add([JOB, helper])
    board.record_first_token(numbers)
    assert set(board.jobs_by_endpoint()) == {'e1'}


def test_newer_part_delays_what_its_engine_reads() -> None:
    """Guards against prompts that are thought to be in time although parts
    for other engines have passed them.
    """
    board = LoadTable(ManualClock())
    board.add([JOB])
    board.add(
        [replace(JOB, request_id='r2', context_tokens=0, first_token_at=102)]
    )
    delayed = [job for job in board.own_jobs() if job.request_id == 'r1']
    assert delayed[0].first_token_at == JOB.first_token_at + 2


def test_jobs_of_a_vanished_entry_are_forgotten() -> None:
    """Guards against engines that look busy for good."""
    clock = ManualClock()
    board = LoadTable(clock)
    board.update_entry(
        'entry-2', [replace(JOB, job_id=1)], (), replace_all=True
    )
    assert board.jobs_by_endpoint()
    clock.now = JOB.end_at + STALE_JOB_S + 0.1
    assert not board.jobs_by_endpoint()


async def test_entries_learn_each_others_jobs() -> None:
    """Guards against two entries that place on the same engine because
    neither knows of the other's work, and against jobs that stay known after
    their end.
    """
    ports = [await free_udp_port(), await free_udp_port()]
    boards = [LoadTable(), LoadTable()]
    async with anyio.create_task_group() as tasks:
        for number, port in enumerate(ports):
            cfg = sample_settings(f'entry-{number}', peer_port=port)
            peers = EntryPeers(cfg)
            peers.replace(
                tuple(
                    Item(
                        f'entries/entry-{other}',
                        f'127.0.0.1:{there}'.encode(),
                        1,
                    )
                    for other, there in enumerate(ports)
                )
            )
            assert peers.count() == 2
            peer_socket = PeerSocket(cfg)
            tasks.start_soon(peer_socket.run)
            link = LoadLink(
                peer_socket, peers, boards[number], f'start-{number}'
            )
            tasks.start_soon(link.run)
        await anyio.sleep(0.1)
        now = boards[0].clock()
        job = replace(
            JOB,
            started_at=now,
            first_token_at=now + 1,
            end_at=now + 2,
            first_token_due_at=now + 3,
        )
        numbers = boards[0].add([job])
        with anyio.fail_after(2):
            while not boards[1].jobs_by_endpoint():
                await anyio.sleep(0.01)
        learned = boards[1].jobs_by_endpoint()['e1'][0]
        assert learned.first_token_at == pytest.approx(
            job.first_token_at, abs=0.1
        )
        assert learned.first_token_due_at == pytest.approx(
            job.first_token_due_at, abs=0.1
        )
        boards[0].remove(numbers)
        with anyio.fail_after(2):
            while boards[1].jobs_by_endpoint():
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_unreadable_datagrams_are_passed_over() -> None:
    """Guards against an entry that ends because of a stray datagram."""
    port = await free_udp_port()
    cfg = sample_settings('entry-0', peer_port=port)
    peers = EntryPeers(cfg)
    async with anyio.create_task_group() as tasks:
        peer_socket = PeerSocket(cfg)
        tasks.start_soon(peer_socket.run)
        link = LoadLink(peer_socket, peers, LoadTable(), 'start')
        tasks.start_soon(link.run)
        await anyio.sleep(0.05)
        async with await anyio.create_connected_udp_socket(
            '127.0.0.1', port
        ) as udp:
            for content in (b'', b'\xff' * 40, b'\x82\x64load\x02', b'\x01'):
                await udp.send(content)
        await anyio.sleep(0.1)
        assert not tasks.cancel_scope.cancel_called
        tasks.cancel_scope.cancel()
