"""The load table, and the exchange of jobs among entries."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Final, cast

import anyio
import pytest

from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.costs.learned import LearnedCostModel
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.endpoint_news import (
    EndpointNews,
    LivenessObserver,
)
from masticwind.serving.placement.load_link import LoadLink
from masticwind.serving.placement.load_table import (
    STALE_JOB_S,
    Job,
    LoadTable,
    engine_load,
)
from masticwind.serving.store import Item
from tests.entry_harness import free_udp_port, sample_settings
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


def test_prefill_shrinks_until_the_request_decodes() -> None:
    """Guards against engines that seem busy with a prefill that has ended."""
    clock = ManualClock()
    table = LoadTable(clock)
    job_ids = table.add([JOB])
    clock.now = 100.5
    load = engine_load(table.jobs_by_endpoint()['e1'], clock.now)
    assert load.pending_prefill.tokens == pytest.approx(500)
    assert not load.decode_context_tokens
    table.record_first_token(job_ids)
    load = engine_load(table.jobs_by_endpoint()['e1'], clock.now)
    assert load.pending_prefill.tokens == 0
    assert load.decode_context_tokens == (1000,)
    table.remove(job_ids)
    assert not table.jobs_by_endpoint()


def test_first_tokens_of_other_entries_are_passed_on_once() -> None:
    """Guards against endpoints that have ended but seem alive, because full
    updates repeat their jobs.
    """
    table = LoadTable(ManualClock())
    begun: list[str] = []
    news = cast(EndpointNews, SimpleNamespace(record_liveness=begun.append))
    table.observers.add(LivenessObserver(news))
    decoding = replace(JOB, decoding=True)
    table.update_entry('other', [decoding], (), replace_all=True)
    assert not begun
    table.update_entry('other', [JOB], (), replace_all=True)
    for replace_all in (True, False, True):
        table.update_entry('other', [decoding], (), replace_all=replace_all)
    assert begun == ['e1']


def test_helper_jobs_end_at_the_first_token() -> None:
    """Guards against helpers that seem busy while the lead decodes."""
    table = LoadTable(ManualClock())
    helper = replace(JOB, endpoint_id='e2', context_tokens=0)
    job_ids = table.add([JOB, helper])
    table.record_first_token(job_ids)
    assert set(table.jobs_by_endpoint()) == {'e1'}


def test_new_helper_job_delays_other_prefills_of_its_engine() -> None:
    """Guards against predicted first token times that ignore later helper
    jobs, although the engine runs those first.
    """
    table = LoadTable(ManualClock())
    table.add([JOB])
    table.add(
        [replace(JOB, request_id='r2', context_tokens=0, first_token_at=102)]
    )
    delayed = [job for job in table.own_jobs() if job.request_id == 'r1']
    assert delayed[0].first_token_at == JOB.first_token_at + 2


def test_jobs_of_a_dead_entry_expire() -> None:
    """Guards against engines that seem busy forever: an entry that dies sends
    no message about the end of its jobs.
    """
    clock = ManualClock()
    table = LoadTable(clock)
    table.update_entry(
        'entry-2', [replace(JOB, job_id=1)], (), replace_all=True
    )
    assert table.jobs_by_endpoint()
    clock.now = JOB.end_at + STALE_JOB_S + 0.1
    assert not table.jobs_by_endpoint()


async def test_entries_exchange_their_jobs() -> None:
    """Guards against two entries that place requests on the same engine
    because neither knows the other's jobs, and against ended jobs that stay in
    the tables of other entries, or whose outputs they are not told.
    """
    model = LearnedCostModel()
    ports = [await free_udp_port(), await free_udp_port()]
    tables = [LoadTable(), LoadTable(observer=model)]
    async with anyio.create_task_group() as tasks:
        for number, port in enumerate(ports):
            cfg = sample_settings(f'entry-{number}', peer_port=port)
            peers = EntryPeers(cfg)
            peers.replace_all(
                tuple(
                    Item(
                        f'entries/entry-{other}',
                        f'127.0.0.1:{other_port}'.encode(),
                        1,
                    )
                    for other, other_port in enumerate(ports)
                )
            )
            assert peers.count() == 2
            peer_socket = PeerSocket(cfg)
            tasks.start_soon(peer_socket.run)
            link = LoadLink(
                peer_socket, peers, tables[number], f'start-{number}'
            )
            tasks.start_soon(link.run)
        await anyio.sleep(0.1)
        now = tables[0].clock()
        job = replace(
            JOB,
            started_at=now,
            first_token_at=now + 1,
            end_at=now + 2,
            first_token_due_at=now + 3,
            route_key=1,
            team_key=2,
            priority=3,
        )
        job_ids = tables[0].add([job])
        with anyio.fail_after(2):
            while not tables[1].jobs_by_endpoint():
                await anyio.sleep(0.01)
        learned = tables[1].jobs_by_endpoint()['e1'][0]
        assert learned.first_token_at == pytest.approx(
            job.first_token_at, abs=0.1
        )
        assert learned.first_token_due_at == pytest.approx(
            job.first_token_due_at, abs=0.1
        )
        assert learned.route_key == job.route_key
        assert learned.team_key == job.team_key
        assert learned.priority == job.priority
        tables[0].record_first_token(job_ids)
        with anyio.fail_after(2):
            while not tables[1].jobs_by_endpoint()['e1'][0].decoding:
                await anyio.sleep(0.01)
        tables[0].remove(job_ids, output_tokens=46)
        with anyio.fail_after(2):
            while tables[1].jobs_by_endpoint():
                await anyio.sleep(0.01)
        # The route, and the team on it.
        assert model.key_count() == 2
        tasks.cancel_scope.cancel()


async def test_malformed_datagrams_are_ignored() -> None:
    """Guards against an entry that crashes on a malformed datagram."""
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
