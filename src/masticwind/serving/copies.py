"""Entries send each other their copies of the configuration.

An entry whose calls the store refuses learns from confirmations that
something has changed, but not what. Until it knows, it must not accept any
API key, since the change may have removed one. So it requests complete copies
from the other entries, one at a time in random order, until its own copy has
the change. A copy also brings a newer version of the configuration, which a
restored store may have lost.

For each change, each such entry receives one datagram of the size of
the compressed configuration; entries without the change do not answer.
"""

import random
import zlib
from typing import Final

import anyio
import msgspec
from loguru import logger

from masticwind.decoding import parse_with
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.config_versions import ConfigVersions
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.mirror import Mirror
from masticwind.serving.peer_requests import (
    AgeMs,
    Era,
    PendingRequests,
    Version,
    rounded_up_age_ms,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import Item, Listing
from masticwind.serving.store_eras import NO_ERA, StoreRevision

COPY_REQUEST: Final = 'copy_request'
COPY: Final = 'copy'
# A reply takes a few milliseconds.
REQUEST_INTERVAL_S: Final = 0.25
# Fits into a UDP datagram, whose payload is at most 65,507 bytes. A larger
# configuration can only be read from the store.
MAX_COMPRESSED_BYTES: Final = 60_000
# Limit of the decompressed size; protects against decompression bombs.
MAX_COPY_BYTES: Final = 8_000_000
# Configurations are repetitive, so the fastest level compresses them well.
COMPRESSION_LEVEL: Final = 1


class CopyRequest(msgspec.Struct, array_like=True):
    """Requests a copy that has changes after `revision` of an era.

    A copy with a version of the configuration after `version` is sent too.
    `sent_ms` is on the clock of the entry that asks. Entries of earlier
    releases send neither era nor version.
    """

    sent_ms: int
    revision: int
    era: Era = NO_ERA
    version: Version | None = None


class CopyReply(msgspec.Struct, array_like=True):
    """A whole copy that is complete up to `revision` of an era.

    `last_change_revision` is the revision of its last change, `age_ms` its
    age on receipt of the request, and `compressed` holds the items.
    """

    sent_ms: int
    age_ms: AgeMs
    revision: int
    last_change_revision: int
    compressed: bytes
    era: Era = NO_ERA


class _RequestHandler(Receiver[CopyRequest]):
    """Answers the requests of other entries."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        mirror: Mirror,
        versions: ConfigVersions,
    ) -> None:
        self._socket: Final = peer_socket
        self._mirror: Final = mirror
        self._versions: Final = versions

    def receive(self, message: CopyRequest, sender: PeerAddress) -> None:
        """Answer if this entry's copy is newer."""
        reply = self.answer_request(message)
        if reply is not None:
            self._socket.send(COPY, reply, (sender,))

    def answer_request(self, request: CopyRequest) -> CopyReply | None:
        """Return this entry's copy if it is newer and not too large."""
        mirror = self._mirror
        last_change = mirror.last_change_revision
        known = StoreRevision(request.era or last_change.era, request.revision)
        lacks_version = (
            request.version is not None
            and request.version < self._versions.version
        )
        if not mirror.loaded or (last_change <= known and not lacks_version):
            return None
        compressed = _compress(self._versions.items())
        if len(compressed) > MAX_COMPRESSED_BYTES:
            logger.bind(bytes=len(compressed)).warning('copy_too_large')
            return None
        return CopyReply(
            sent_ms=request.sent_ms,
            age_ms=rounded_up_age_ms(self._versions.age_s()),
            revision=mirror.revision.number,
            last_change_revision=last_change.number,
            compressed=compressed,
            era=last_change.era,
        )


class CopyExchange(Receiver[CopyReply]):
    """Requests copies, answers requests and applies received copies."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        mirror: Mirror,
        versions: ConfigVersions,
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._mirror: Final = mirror
        self._versions: Final = versions
        self._pending: Final = PendingRequests()
        self._handler: Final = _RequestHandler(peer_socket, mirror, versions)
        peer_socket.register(COPY_REQUEST, CopyRequest, self._handler)
        peer_socket.register(COPY, CopyReply, self)

    async def run(self) -> None:
        """Request copies while a change is missing and cannot be read."""
        while True:
            await anyio.sleep(REQUEST_INTERVAL_S)
            self.request_if_lacking()

    def request_if_lacking(self) -> None:
        """Request one copy if a change or a version is missing."""
        asked = self._versions.lacking_from()
        others = self._peers.others()
        if asked is None and others and self.lacks_change():
            asked = random.choice(others)
        if asked is not None:
            self._socket.send(COPY_REQUEST, self.new_request(), (asked,))

    def lacks_change(self) -> bool:
        """Tell whether the copy lacks a change while the store is down."""
        return not self._mirror.connected and self._mirror.has_missed_change()

    def new_request(self) -> CopyRequest:
        """Create a request to be sent now."""
        known = self._mirror.revision
        return CopyRequest(
            self._pending.open_request(),
            known.number,
            known.era,
            self._versions.version,
        )

    def answer_request(self, request: CopyRequest) -> CopyReply | None:
        """Return this entry's reply to a request, if it has a newer copy."""
        return self._handler.answer_request(request)

    def receive(self, message: CopyReply, sender: PeerAddress) -> None:
        """Apply a received copy if its sender is a known entry."""
        if sender not in self._peers.others():
            logger.bind(sender=sender.host).warning('copy_from_stranger')
            return
        if self.apply_reply(message):
            logger.bind(
                sender=sender.host,
                era=message.era,
                revision=message.revision,
                age_s=round(self._mirror.age_s(), 3),
            ).info('copy_taken')

    def apply_reply(self, reply: CopyReply) -> bool:
        """Apply a reply to a recent request if its copy is newer.

        Returns whether anything in it was newer.
        """
        as_of = self._pending.as_of(reply.sent_ms, reply.age_ms)
        if as_of is None:
            return False
        items = parse_with(_decompress, reply.compressed, ErrorKind.BAD_REQUEST)
        if isinstance(items, Failure):
            logger.bind(reason=items.reason).warning('copy_unreadable')
            return False
        adopted = self._mirror.adopt_copy(
            Listing(items, StoreRevision(reply.era, reply.revision)),
            StoreRevision(reply.era, reply.last_change_revision),
            as_of,
        )
        return self._versions.take_newer(items) or adopted


def _compress(items: tuple[Item, ...]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(items), COMPRESSION_LEVEL)


def _decompress(compressed: bytes) -> tuple[Item, ...]:
    content = zlib.decompressobj().decompress(compressed, MAX_COPY_BYTES)
    return msgspec.msgpack.decode(content, type=tuple[Item, ...])
