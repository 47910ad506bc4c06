"""Entries give each other their copies of the configuration.

An entry that the store turns away learns from confirmations that something
has changed, but not what. Until it knows, it can accept no key: the change
may have removed one. So it asks the other entries, one at a time and in any
order, for all that their copies hold, until its own copy has the change.

The load is one datagram of the size of the configuration for each change and
entry that is turned away; an entry without that change does not answer.
"""

import random
import zlib
from typing import Final

import anyio
import msgspec
from loguru import logger

from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.mirror import Mirror
from masticwind.serving.peer_requests import (
    AgeMs,
    PendingRequests,
    rounded_up_age_ms,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import Item, Listing

COPY_REQUEST: Final = 'copy_request'
COPY: Final = 'copy'
# Time between two requests; a reply takes some milliseconds.
PAUSE_S: Final = 0.25
# Packed bytes in one datagram of at most 65,507 bytes. An entry gets a larger
# configuration from the store only.
MAX_COMPRESSED_BYTES: Final = 60_000
# Bytes of a configuration that is unpacked; more is not taken from anybody.
MAX_COPY_BYTES: Final = 8_000_000
# Configurations repeat themselves, so the fastest level packs them well.
PACKING_LEVEL: Final = 1


class CopyRequest(msgspec.Struct, array_like=True):
    """Asks at `sent_ms` for a copy with changes after `revision`."""

    sent_ms: int
    revision: int


class CopyReply(msgspec.Struct, array_like=True):
    """A whole copy that is complete up to `revision`.

    `last_change_revision` is its last change, `age_ms` its age when the request arrived.
    `packed` holds the items, compressed.
    """

    sent_ms: int
    age_ms: AgeMs
    revision: int
    last_change_revision: int
    packed: bytes


class _Requests(Receiver[CopyRequest]):
    """Answers the requests of other entries."""

    def __init__(self, peer_socket: PeerSocket, mirror: Mirror) -> None:
        self._socket: Final = peer_socket
        self._mirror: Final = mirror

    def receive(self, message: CopyRequest, sender: PeerAddress) -> None:
        """Answer if this entry's copy holds more."""
        reply = self.answer_request(message)
        if reply is not None:
            self._socket.send(COPY, reply, (sender,))

    def answer_request(self, request: CopyRequest) -> CopyReply | None:
        """Return this entry's copy if it holds more and is not too large."""
        mirror = self._mirror
        if not mirror.loaded or mirror.last_change_revision <= request.revision:
            return None
        listing = mirror.listing()
        packed = _pack(listing.items)
        if len(packed) > MAX_COMPRESSED_BYTES:
            logger.bind(bytes=len(packed)).warning('copy_too_large')
            return None
        return CopyReply(
            sent_ms=request.sent_ms,
            age_ms=rounded_up_age_ms(mirror.age_s()),
            revision=listing.revision,
            last_change_revision=mirror.last_change_revision,
            packed=packed,
        )


class CopyExchange(Receiver[CopyReply]):
    """Asks for copies, answers such requests and takes the replies."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        mirror: Mirror,
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._mirror: Final = mirror
        self._open: Final = PendingRequests()
        self._requests: Final = _Requests(peer_socket, mirror)
        peer_socket.register(COPY_REQUEST, CopyRequest, self._requests)
        peer_socket.register(COPY, CopyReply, self)

    async def run(self) -> None:
        """Ask while a change is missing and the store does not answer."""
        while True:
            await anyio.sleep(PAUSE_S)
            others = self._peers.others()
            if others and self.lacks_change():
                asked = (random.choice(others),)
                self._socket.send(COPY_REQUEST, self.new_request(), asked)

    def lacks_change(self) -> bool:
        """Tell whether this entry's copy lacks a change it cannot read."""
        return not self._mirror.connected and self._mirror.has_missed_change()

    def new_request(self) -> CopyRequest:
        """Return a request that is sent now."""
        return CopyRequest(self._open.open_request(), self._mirror.revision)

    def answer_request(self, request: CopyRequest) -> CopyReply | None:
        """Return what this entry answers, if anything."""
        return self._requests.answer_request(request)

    def receive(self, message: CopyReply, sender: PeerAddress) -> None:
        """Take over a reply that has arrived."""
        if sender not in self._peers.others():
            logger.bind(sender=sender.host).warning('copy_from_stranger')
            return
        if self.apply_reply(message):
            logger.bind(
                sender=sender.host,
                revision=message.revision,
                age_s=round(self._mirror.age_s(), 3),
            ).info('copy_taken')

    def apply_reply(self, reply: CopyReply) -> bool:
        """Take over a reply to a recent request, if it holds more."""
        as_of = self._open.as_of(reply.sent_ms, reply.age_ms)
        if as_of is None:
            return False
        try:
            items = _unpack(reply.packed)
        except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as exc:
            logger.bind(reason=str(exc)).warning('copy_unreadable')
            return False
        listing = Listing(items, reply.revision)
        return self._mirror.adopt_copy(
            listing, reply.last_change_revision, as_of
        )


def _pack(items: tuple[Item, ...]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(items), PACKING_LEVEL)


def _unpack(packed: bytes) -> tuple[Item, ...]:
    unpacked = zlib.decompressobj().decompress(packed, MAX_COPY_BYTES)
    return msgspec.msgpack.decode(unpacked, type=tuple[Item, ...])
