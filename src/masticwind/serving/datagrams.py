"""The UDP socket over which entries exchange short messages.

A datagram is a MessagePack array of a kind and a message. Datagrams may be
lost, duplicated, delayed or sent by anyone; every receiver allows for that.

Every entry reports every job to all others, so the socket is read and written
without a task switch for each datagram.
"""

import abc
import socket
from collections.abc import Iterable
from contextlib import closing
from dataclasses import dataclass
from typing import Any, Final, Generic, TypeVar

import anyio
import msgspec
from loguru import logger

from masticwind.decoding import parse_with
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.settings import DirectSettings
from masticwind.serving.unreadable import UnreadableLog

# Larger than any UDP datagram.
RECEIVE_BUFFER_BYTES: Final = 65_536
# Datagrams read before control returns to the event loop.
MAX_DATAGRAMS_PER_WAKEUP: Final = 64

_Message = TypeVar('_Message', bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of another entry's datagram socket."""

    host: str
    port: int


class Receiver(abc.ABC, Generic[_Message]):
    """Handles the messages of one kind."""

    @abc.abstractmethod
    def receive(self, message: _Message, sender: PeerAddress) -> None:
        """Handle a decoded message."""


class _Envelope(msgspec.Struct, array_like=True):
    kind: str
    message: msgspec.Raw


@dataclass(frozen=True, slots=True)
class _Registration:
    decoder: msgspec.msgpack.Decoder[Any]
    receiver: Receiver[Any]


class PeerSocket:
    """Sends and receives the datagrams of this entry."""

    def __init__(self, cfg: DirectSettings) -> None:
        self._cfg: Final = cfg
        self._registrations: Final[dict[str, _Registration]] = {}
        self._envelope_decoder: Final = msgspec.msgpack.Decoder(_Envelope)
        self._unreadable: Final = UnreadableLog(
            'datagram_unreadable', field='sender'
        )
        self._udp: socket.socket | None = None

    @property
    def node(self) -> str:
        """Name of this entry."""
        return self._cfg.node

    def register(
        self,
        kind: str,
        message_type: type[_Message],
        receiver: Receiver[_Message],
    ) -> None:
        """Register the receiver of a kind of messages."""
        decoder = msgspec.msgpack.Decoder(message_type)
        self._registrations[kind] = _Registration(decoder, receiver)

    async def run(self) -> None:
        """Receive datagrams until cancelled."""
        host = self._cfg.listen.rpartition(':')[0]
        with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as udp:
            udp.setblocking(False)
            udp.bind((host, self._cfg.peer_port))
            self._udp = udp
            try:
                while True:
                    await anyio.wait_readable(udp)
                    self._receive_available(udp)
            finally:
                self._udp = None

    def send(
        self,
        kind: str,
        message: msgspec.Struct,
        peers: Iterable[PeerAddress],
    ) -> None:
        """Send a message to some entries, if the socket is open.

        A datagram that the socket's send buffer cannot take is dropped.
        """
        if self._udp is None:
            return
        content = msgspec.msgpack.encode((kind, message))
        for peer in peers:
            try:
                self._udp.sendto(content, (peer.host, peer.port))
            except OSError as exc:
                logger.bind(peer=peer.host, reason=str(exc)).debug(
                    'datagram_not_sent'
                )

    def _receive_available(self, udp: socket.socket) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                content, (host, port) = udp.recvfrom(RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # An earlier datagram was refused (ICMP port unreachable).
                logger.bind(reason=str(exc)).debug('datagram_not_sent')
                continue
            self._receive(content, PeerAddress(host, port))

    def _receive(self, content: bytes, sender: PeerAddress) -> None:
        envelope = parse_with(
            self._envelope_decoder.decode, content, ErrorKind.BAD_REQUEST
        )
        if isinstance(envelope, Failure):
            self._unreadable.report(sender.host, envelope)
            return
        registration = self._registrations.get(envelope.kind)
        if registration is None:
            return
        message = parse_with(
            registration.decoder.decode, envelope.message, ErrorKind.BAD_REQUEST
        )
        if isinstance(message, Failure):
            self._unreadable.report(sender.host, message)
            return
        try:
            registration.receiver.receive(message, sender)
        except Exception as exc:
            # A message that fails must not stop the socket.
            logger.opt(exception=exc).bind(
                sender=sender.host, kind=envelope.kind
            ).error('datagram_failed')
