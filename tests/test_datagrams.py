"""Datagrams of other entries, also ones that are none."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import msgspec
import pytest

from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.load import LoadBoard
from masticwind.serving.load_link import LOAD, LoadLink
from masticwind.serving.peers import EntryPeers
from tests.direct_rig import free_udp_port, sample_settings

pytestmark = pytest.mark.anyio

NOTE: Final = 'note'


class Note(msgspec.Struct, array_like=True):
    """A message of these tests."""

    number: int


class Notes(Receiver[Note]):
    """Fails on negative numbers and keeps the others."""

    def __init__(self) -> None:
        self.numbers: Final[list[int]] = []

    def receive(self, message: Note, sender: PeerAddress) -> None:
        """Take a note."""
        if message.number < 0:
            raise ArithmeticError('negative')
        self.numbers.append(message.number)


@asynccontextmanager
async def _listening(
    receiver: Notes,
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
async def test_datagram_that_is_none_ends_nothing(content: bytes) -> None:
    """Guards against one malformed message, or one that its receiver cannot
    handle, that takes the whole process down.
    """
    notes = Notes()
    async with _listening(notes) as (peer_socket, peer):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(content, (peer.host, peer.port))
        peer_socket.send(NOTE, Note(5), [peer])
        with anyio.fail_after(2):
            while not notes.numbers:
                await anyio.sleep(0.01)
        assert notes.numbers == [5]


async def test_peer_that_is_not_there_ends_nothing() -> None:
    """Guards against a socket that fails because another entry has gone."""
    notes = Notes()
    async with _listening(notes) as (peer_socket, peer):
        gone = PeerAddress('127.0.0.1', await free_udp_port())
        for number in range(5):
            peer_socket.send(NOTE, Note(number), [gone, peer])
            await anyio.sleep(0.01)
        with anyio.fail_after(2):
            while len(notes.numbers) < 5:
                await anyio.sleep(0.01)


@pytest.mark.parametrize('tokens', [float('nan'), float('inf'), -1, 10**12])
async def test_jobs_that_cannot_be_calculated_with_are_left_out(
    tokens: float,
) -> None:
    """Guards against a number from outside that makes every placement fail."""
    cfg = sample_settings()
    peer_socket = PeerSocket(cfg)
    board = LoadBoard()
    LoadLink(peer_socket, EntryPeers(cfg), board, 'start')
    row = [1, 'r', 'e', tokens, 0, 0, 0, 0, 0, 0, 0, 0, None, False]
    content = _encoded(LOAD, ['entry-2', 'start', 1, True, [row], []])
    peer_socket._receive(content, PeerAddress('127.0.0.1', 1))
    assert not board.jobs()
