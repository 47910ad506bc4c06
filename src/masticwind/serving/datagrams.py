"""The datagram socket over which entries exchange short messages.

A datagram is a MessagePack array of a kind and a message. Datagrams may be
lost, doubled, late or from anywhere; each receiver allows for that.

Every entry hears of every job of all others, so the socket is read and
written without a task switch for each datagram.
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

from masticwind.serving.settings import DirectSettings

# Larger than any datagram that an entry sends.
MAX_BYTES: Final = 65_536
# Datagrams that are read before other work gets a turn.
MOST_AT_ONCE: Final = 64

_Message = TypeVar('_Message', bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address of another entry's datagram socket."""

    host: str
    port: int


class Receiver(abc.ABC, Generic[_Message]):
    """Takes the messages of one kind."""

    @abc.abstractmethod
    def receive(self, message: _Message, sender: PeerAddress) -> None:
        """Take a decoded message."""


class _Envelope(msgspec.Struct, array_like=True):
    kind: str
    message: msgspec.Raw


@dataclass(frozen=True, slots=True)
class _Route:
    decoder: msgspec.msgpack.Decoder[Any]
    receiver: Receiver[Any]


class PeerSocket:
    """Sends and receives the datagrams of this entry."""

    def __init__(self, cfg: DirectSettings) -> None:
        self._cfg: Final = cfg
        self._routes: Final[dict[str, _Route]] = {}
        self._envelopes: Final = msgspec.msgpack.Decoder(_Envelope)
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
        """Pass messages of a kind to a receiver from now on."""
        decoder = msgspec.msgpack.Decoder(message_type)
        self._routes[kind] = _Route(decoder, receiver)

    async def run(self) -> None:
        """Receive until cancelled."""
        host = self._cfg.listen.rpartition(':')[0]
        with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as udp:
            udp.setblocking(False)
            udp.bind((host, self._cfg.peer_port))
            self._udp = udp
            try:
                while True:
                    await anyio.wait_readable(udp)
                    self._receive_waiting(udp)
            finally:
                self._udp = None

    def send(
        self,
        kind: str,
        message: msgspec.Struct,
        peers: Iterable[PeerAddress],
    ) -> None:
        """Send a message to some entries, once the socket is open.

        A datagram for which there is no room is lost.
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

    def _receive_waiting(self, udp: socket.socket) -> None:
        for _ in range(MOST_AT_ONCE):
            try:
                content, (host, port) = udp.recvfrom(MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # The other side of an earlier datagram was not there.
                logger.bind(reason=str(exc)).debug('datagram_not_sent')
                continue
            self._receive(content, PeerAddress(host, port))

    def _receive(self, content: bytes, sender: PeerAddress) -> None:
        log = logger.bind(sender=sender.host)
        try:
            envelope = self._envelopes.decode(content)
            route = self._routes.get(envelope.kind)
            if route is None:
                return
            message = route.decoder.decode(envelope.message)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            log.bind(reason=str(exc)).warning('datagram_unreadable')
            return
        try:
            route.receiver.receive(message, sender)
        except Exception as exc:
            # One message must not end the process.
            log = log.opt(exception=exc).bind(kind=envelope.kind)
            log.error('datagram_failed')
