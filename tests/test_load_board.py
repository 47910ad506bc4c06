"""What entries know of each other's work."""

from dataclasses import replace
from typing import Final

import anyio
import pytest

from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.load import OVERDUE_S, Job, LoadBoard, state_of
from masticwind.serving.load_link import LoadLink
from masticwind.serving.passes import Reading
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import Item
from tests.direct_rig import free_udp_port, sample_settings
from tests.manual_clock import ManualClock

pytestmark = pytest.mark.anyio

JOB: Final = Job(
    number=0,
    request='r1',
    endpoint='e1',
    reading=Reading(1000, 1),
    context=1000,
    memory=1200,
    started=100,
    first_at=101,
    end_at=103,
)


def test_reading_shrinks_and_writing_begins() -> None:
    """Guards against engines that look busy with what they have read."""
    clock = ManualClock()
    board = LoadBoard(clock)
    numbers = board.add([JOB])
    clock.now = 100.5
    state = state_of(board.jobs()['e1'], clock.now)
    assert state.waiting.tokens == pytest.approx(500)
    assert not state.contexts
    board.first_token(numbers)
    state = state_of(board.jobs()['e1'], clock.now)
    assert state.waiting.tokens == 0
    assert state.contexts == (1000,)
    board.remove(numbers)
    assert not board.jobs()


def test_helpers_are_free_at_the_first_token() -> None:
    """Guards against helpers that stay blocked while the lead writes."""
    board = LoadBoard(ManualClock())
    helper = replace(JOB, endpoint='e2', context=0)
    numbers = board.add([JOB, helper])
    board.first_token(numbers)
    assert set(board.jobs()) == {'e1'}


def test_newer_part_delays_what_its_engine_reads() -> None:
    """Guards against prompts that are thought to be in time although parts
    for other engines have passed them.
    """
    board = LoadBoard(ManualClock())
    board.add([JOB])
    board.add([replace(JOB, request='r2', context=0, first_at=102)])
    delayed = [job for job in board.own() if job.request == 'r1']
    assert delayed[0].first_at == JOB.first_at + 2


def test_jobs_of_a_vanished_entry_are_forgotten() -> None:
    """Guards against engines that look busy for good."""
    clock = ManualClock()
    board = LoadBoard(clock)
    board.update_others('entry-2', [replace(JOB, number=1)], (), whole=True)
    assert board.jobs()
    clock.now = JOB.end_at + OVERDUE_S + 0.1
    assert not board.jobs()


async def test_entries_learn_each_others_jobs() -> None:
    """Guards against two entries that place on the same engine because
    neither knows of the other's work, and against jobs that stay known after
    their end.
    """
    ports = [await free_udp_port(), await free_udp_port()]
    boards = [LoadBoard(), LoadBoard()]
    async with anyio.create_task_group() as tasks:
        for number, port in enumerate(ports):
            cfg = sample_settings(f'entry-{number}', peer_port=port)
            peers = EntryPeers(cfg)
            peers.replace_all(
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
            JOB, started=now, first_at=now + 1, end_at=now + 2, due_at=now + 3
        )
        numbers = boards[0].add([job])
        with anyio.fail_after(2):
            while not boards[1].jobs():
                await anyio.sleep(0.01)
        learned = boards[1].jobs()['e1'][0]
        assert learned.first_at == pytest.approx(job.first_at, abs=0.1)
        assert learned.due_at == pytest.approx(job.due_at, abs=0.1)
        boards[0].remove(numbers)
        with anyio.fail_after(2):
            while boards[1].jobs():
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
        link = LoadLink(peer_socket, peers, LoadBoard(), 'start')
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
