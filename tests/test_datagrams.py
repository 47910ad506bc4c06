"""Handling of datagrams, including malformed ones."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import msgspec
import pytest

from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.load_link import LOAD, LoadLink
from masticwind.serving.placement.load_table import LoadTable
from tests.entry_harness import free_udp_port, sample_settings

pytestmark = pytest.mark.anyio

NOTE: Final = 'note'


class Note(msgspec.Struct, array_like=True):
    """A message for these tests."""

    number: int


class NoteReceiver(Receiver[Note]):
    """Raises an error for negative numbers and records the others."""

    def __init__(self) -> None:
        self.numbers: Final[list[int]] = []

    def receive(self, message: Note, sender: PeerAddress) -> None:
        """Record a note."""
        if message.number < 0:
            raise ArithmeticError('negative')
        self.numbers.append(message.number)


@asynccontextmanager
async def _running_socket(
    receiver: NoteReceiver,
) -> AsyncIterator[tuple[PeerSocket, PeerAddress]]:
    cfg = sample_settings(peer_port=await free_udp_port())
    peer_socket = PeerSocket(cfg)
    peer_socket.register(NOTE, Note, receiver)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peer_socket.run)
        await anyio.sleep(0.05)
        yield peer_socket, PeerAddress('127.0.0.1', cfg.peer_port)
        tasks.cancel_scope.cancel()


def _encoded(*parts: object) -> bytes:
    return msgspec.msgpack.encode(parts)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xc1',
        b'\xff' * 2000,
        b'\x91' * 5000,
        _encoded('note'),
        _encoded('note', 'text'),
        _encoded('note', [1.5]),
        _encoded('note', [-1]),
        _encoded('unheard-of', [1]),
        _encoded(7, [1]),
        _encoded('note', [1], 2)[:-2],
    ],
)
async def test_malformed_datagram_does_not_stop_the_socket(
    content: bytes,
) -> None:
    """Guards against a process that a malformed message stops, or a message
    whose receiver raises an error.
    """
    receiver = NoteReceiver()
    async with _running_socket(receiver) as (peer_socket, peer):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(content, (peer.host, peer.port))
        peer_socket.send(NOTE, Note(5), [peer])
        with anyio.fail_after(2):
            while not receiver.numbers:
                await anyio.sleep(0.01)
        assert receiver.numbers == [5]


async def test_unreachable_peer_does_not_stop_the_socket() -> None:
    """Guards against a socket that fails because another entry has stopped,
    so that datagrams to it are refused.
    """
    receiver = NoteReceiver()
    async with _running_socket(receiver) as (peer_socket, peer):
        stopped = PeerAddress('127.0.0.1', await free_udp_port())
        for number in range(5):
            peer_socket.send(NOTE, Note(number), [stopped, peer])
            await anyio.sleep(0.01)
        with anyio.fail_after(2):
            while len(receiver.numbers) < 5:
                await anyio.sleep(0.01)


@pytest.mark.parametrize('tokens', [float('nan'), float('inf'), -1, 10**12])
async def test_jobs_with_invalid_numbers_are_ignored(
    tokens: float,
) -> None:
    """Guards against placements that fail because a datagram carried a number
    that is not finite, negative or too large.
    """
    cfg = sample_settings()
    peer_socket = PeerSocket(cfg)
    load_table = LoadTable()
    LoadLink(peer_socket, EntryPeers(cfg), load_table, 'start')
    row = [1, 'r', 'e', tokens, 0, 0, 0, 0, 0, 0, 0, 0, None, False]
    content = _encoded(LOAD, ['entry-2', 'start', 1, True, [row], []])
    peer_socket._receive(content, PeerAddress('127.0.0.1', 1))
    assert not load_table.jobs_by_endpoint()
