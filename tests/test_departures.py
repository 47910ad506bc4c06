"""Entries that tell each other of endpoints that are leaving."""

import json
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import anyio
import pytest

from masticwind.platform.documents import PlatformDecoder
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.departures import DepartureLink
from masticwind.serving.directory import Departure, Directory
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import Item
from tests.direct_rig import CALLS, free_udp_port, registration, sample_settings

pytestmark = pytest.mark.anyio

# The users' largest deployment, and its time between two batches.
ENTRIES: Final = 68
BATCH_S: Final = 2.8
NEWS_S: Final = 0.02
LEAVING: Final = 20


def _item(identity: str, revision: int, *, leaving: bool = False) -> Item:
    document = json.loads(registration(7001, CALLS))
    document['state'] = 'draining' if leaving else 'ready'
    return Item(f'servers/{identity}', json.dumps(document).encode(), revision)


def _directory() -> Directory:
    directory = Directory(PlatformDecoder(), lambda _seconds: False)
    directory.replace((_item('i-1', 5), _item('i-2', 5)))
    return directory


def _offered(directory: Directory) -> set[str]:
    return {one.identity for one in directory.endpoints(CALLS)}


@pytest.fixture
def directory() -> Iterator[Directory]:
    """Return a directory with two endpoints, read at revision 5."""
    yield _directory()


def test_departure_is_told_once_by_the_one_who_reads_it(
    directory: Directory,
) -> None:
    """Guards against news that every entry repeats, and again with every
    heartbeat of the leaving endpoint.
    """
    directory.change((_item('i-1', 9, leaving=True),))
    directory.change((_item('i-1', 10, leaving=True),))
    assert directory.take_departures() == [Departure('i-1', 9)]
    assert directory.take_departures() == []
    told = _directory()
    told.hear(Departure('i-1', 9))
    told.change((_item('i-1', 10, leaving=True),))
    assert told.take_departures() == []


def test_endpoint_that_leaves_elsewhere_gets_no_new_work(
    directory: Directory,
) -> None:
    """Guards against work on an endpoint that another entry knows to leave,
    also after an older heartbeat has been read.
    """
    directory.hear(Departure('i-1', 9))
    assert _offered(directory) == {'i-2'}
    directory.change((_item('i-1', 8),))
    assert _offered(directory) == {'i-2'}


def test_own_copy_goes_before_what_others_said(directory: Directory) -> None:
    """Guards against an endpoint that stays out after it has come back."""
    directory.hear(Departure('i-1', 9))
    directory.change((_item('i-1', 11),))
    assert _offered(directory) == {'i-1', 'i-2'}
    directory.hear(Departure('i-1', 9))
    directory.hear(Departure('i-3', 99))
    assert _offered(directory) == {'i-1', 'i-2'}


@dataclass(frozen=True, order=True)
class _Step:
    """An entry reads the store, or hears of departures, at a time."""

    at: float
    entry: int
    heard: tuple[str, ...] = ()


def _time_until_no_entry_offers(seed: int, *, told: bool) -> float:
    """Let endpoints leave at 0 s and return when the last entry knows."""
    chance = random.Random(seed)
    names = [f'i-{number}' for number in range(LEAVING)]
    before = tuple(_item(name, 5) for name in names)
    after = tuple(_item(name, 9, leaving=True) for name in names)
    directories = []
    steps = []
    for entry in range(ENTRIES):
        directory = Directory(PlatformDecoder(), lambda _seconds: False)
        directory.replace(before)
        directories.append(directory)
        steps.append(_Step(chance.uniform(0, BATCH_S), entry))
    known_at = 0.0
    while steps:
        step = min(steps)
        steps.remove(step)
        directory = directories[step.entry]
        offered = _offered(directory)
        for name in step.heard:
            directory.hear(Departure(name, 9))
        if not step.heard:
            directory.change(after)
        if offered and not _offered(directory):
            known_at = step.at
        news = tuple(one.endpoint for one in directory.take_departures())
        if told and news:
            steps.extend(
                _Step(step.at + NEWS_S, other, news)
                for other in range(ENTRIES)
                if other != step.entry
            )
    return known_at


def test_many_entries_stop_soon() -> None:
    """Guards against work that is placed on leaving engines for as long as
    the last entry waits for its next batch: 20 of them leave at once, as on
    the users' largest deployment, and go two seconds later.
    """
    for seed in range(8):
        assert _time_until_no_entry_offers(seed, told=False) > 2
        assert _time_until_no_entry_offers(seed, told=True) < 1


async def test_departures_travel_between_entries() -> None:
    """Guards against news that are never sent, or that nobody takes in."""
    ports = [await free_udp_port() for _ in range(3)]
    rows = tuple(
        Item(f'entries/entry-{number}', f'127.0.0.1:{port}'.encode(), 1)
        for number, port in enumerate(ports)
    )
    links: list[DepartureLink] = []
    directories: list[Directory] = []
    async with anyio.create_task_group() as tasks:
        for number, port in enumerate(ports):
            cfg = sample_settings(f'entry-{number}', peer_port=port)
            peer_socket = PeerSocket(cfg)
            peers = EntryPeers(cfg)
            peers.replace(rows)
            directories.append(_directory())
            links.append(DepartureLink(peer_socket, peers, directories[-1]))
            tasks.start_soon(peer_socket.run)
        await anyio.wait_all_tasks_blocked()
        links[0].change((_item('i-1', 9, leaving=True),))
        with anyio.fail_after(2):
            while any(_offered(one) != {'i-2'} for one in directories):
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
