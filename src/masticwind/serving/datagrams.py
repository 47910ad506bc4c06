"""The datagram socket over which entries exchange short messages.

A datagram is a CBOR array of a kind and a message. Datagrams may be lost,
doubled, late or from anywhere; each receiver allows for that.
"""

import abc
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import anyio
import cbor2
import msgspec
from loguru import logger

from masticwind.serving.settings import DirectSettings


@dataclass(frozen=True, slots=True)
class Peer:
    """Address of another entry's datagram socket."""

    host: str
    port: int


class Receiver(abc.ABC):
    """Takes the messages of one kind."""

    @abc.abstractmethod
    def receive(self, message: object, sender: Peer) -> None:
        """Take a decoded message; raise `ValidationError` if it is none."""


class PeerSocket:
    """Sends and receives the datagrams of this entry."""

    def __init__(self, cfg: DirectSettings) -> None:
        self._cfg: Final = cfg
        self._receivers: Final[dict[str, Receiver]] = {}
        self._udp: anyio.abc.UDPSocket | None = None
        # A socket takes one sender at a time.
        self._sending: Final = anyio.Lock()

    @property
    def node(self) -> str:
        """Name of this entry."""
        return self._cfg.node

    def add(self, kind: str, receiver: Receiver) -> None:
        """Pass messages of a kind to a receiver from now on."""
        self._receivers[kind] = receiver

    async def run(self) -> None:
        """Receive until cancelled."""
        async with await anyio.create_udp_socket(
            family=socket.AF_INET,
            local_host=self._cfg.listen.rpartition(':')[0],
            local_port=self._cfg.peer_port,
        ) as udp:
            self._udp = udp
            async for content, (host, port) in udp:
                self._receive(content, Peer(host, port))

    async def send(
        self,
        kind: str,
        message: msgspec.Struct,
        peers: Iterable[Peer],
    ) -> None:
        """Send a message to some entries, once the socket is open."""
        if self._udp is None:
            return
        content = cbor2.dumps([kind, msgspec.to_builtins(message)])
        async with self._sending:
            for peer in peers:
                await self._send_one(self._udp, content, peer)

    async def _send_one(
        self,
        udp: anyio.abc.UDPSocket,
        content: bytes,
        peer: Peer,
    ) -> None:
        try:
            await udp.sendto(content, peer.host, peer.port)
        except OSError as exc:
            logger.bind(peer=peer.host, reason=str(exc)).debug(
                'datagram_not_sent'
            )

    def _receive(self, content: bytes, sender: Peer) -> None:
        try:
            kind, message = msgspec.convert(
                cbor2.loads(content),
                type=tuple[str, object],
            )
            receiver = self._receivers.get(kind)
            if receiver is not None:
                receiver.receive(message, sender)
        except (
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
            ValueError,
        ) as exc:
            logger.bind(sender=sender.host, reason=str(exc)).warning(
                'datagram_unreadable'
            )
