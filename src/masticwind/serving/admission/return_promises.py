"""Promises of room to callers that were refused, known to all entries.

A refused caller comes back once, at another entry and with another id. It is
recognized by a fingerprint of its team, its path and the parts of its prompt,
all of which it sends again. The entry that refused it announces the promise to
the others in a datagram, and the entry to which it comes back announces that
it is used. A lost datagram costs a caller its place, and nothing else.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Final, TypeAlias

import msgspec
import xxhash

from masticwind.budget import MS_PER_S
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
)
from masticwind.serving.admission.standing import Standing
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.peers import EntryPeers

RETURN: Final = 'return'
# Promises that are kept; the oldest are evicted first.
MAX_PROMISES: Final = 4096
# Longer than any hint that a caller honours, which is a third of its deadline.
MAX_OFFSET_MS: Final = 60_000
# A caller may come back a little early, by its clock, or late if its first
# connection fails.
EARLY_S: Final = 0.25
LATE_S: Final = 2.0

# MessagePack has no larger integers than 64 bits.
Fingerprint = Annotated[int, msgspec.Meta(ge=1)]
OffsetMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET_MS)]


class ReturnMessage(msgspec.Struct, array_like=True):
    """A promise as it is sent; times are relative to the time of sending.

    One that has expired at once has been used.
    """

    fingerprint: Fingerprint
    due_ms: OffsetMs
    expires_ms: OffsetMs


Announce: TypeAlias = Callable[[ReturnMessage], None]


def _announce_nothing(_message: ReturnMessage) -> None:
    """Tell no other entry."""


@dataclass(frozen=True, slots=True)
class _Promise:
    """Room from `due_at` until `expires_at`, on this process's clock."""

    due_at: float
    expires_at: float


class PromiseBook:
    """The promises of all entries that this entry knows."""

    def __init__(
        self,
        announce: Announce,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._announce: Final = announce
        self._clock: Final = clock
        self._promises: Final[dict[int, _Promise]] = {}

    def promise(self, fingerprint: int, wait_ms: float) -> None:
        """Promise room after `wait_ms`, and announce it."""
        message = ReturnMessage(
            fingerprint, int(wait_ms), int(wait_ms + LATE_S * MS_PER_S)
        )
        self.adopt(message)
        self._announce(message)

    def adopt(self, message: ReturnMessage) -> None:
        """Add a promise, or remove one that has been used."""
        self._promises.pop(message.fingerprint, None)
        if not message.expires_ms:
            return
        now = self._clock()
        self._promises[message.fingerprint] = _Promise(
            now + message.due_ms / MS_PER_S,
            now + message.expires_ms / MS_PER_S,
        )
        if len(self._promises) > MAX_PROMISES:
            self._remove_expired(now)
        if len(self._promises) > MAX_PROMISES:
            self._promises.pop(next(iter(self._promises)))

    def consume(self, fingerprint: int) -> bool:
        """Tell whether a request has come back as told, which uses the
        promise up.
        """
        promise = self._promises.get(fingerprint)
        if promise is None:
            return False
        now = self._clock()
        if now < promise.due_at - EARLY_S:
            return False
        self._promises.pop(fingerprint)
        if now > promise.expires_at:
            return False
        self._announce(ReturnMessage(fingerprint, 0, 0))
        return True

    def count(self) -> int:
        """Return the number of promises that have not expired."""
        self._remove_expired(self._clock())
        return len(self._promises)

    def copy(self) -> 'PromiseBook':
        """Return a book with the same promises that announces nothing."""
        copied = PromiseBook(_announce_nothing, self._clock)
        copied._promises.update(self._promises)
        return copied

    def is_empty(self) -> bool:
        """Tell whether there is no promise."""
        return not self._promises

    def _remove_expired(self, now: float) -> None:
        expired = [
            fingerprint
            for fingerprint, promise in self._promises.items()
            if promise.expires_at < now
        ]
        for fingerprint in expired:
            self._promises.pop(fingerprint)


class ReturnPromises(Receiver[ReturnMessage]):
    """Exchanges promises with the other entries."""

    def __init__(self, peer_socket: PeerSocket, peers: EntryPeers) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self.book: Final = PromiseBook(self._send)
        peer_socket.register(RETURN, ReturnMessage, self)

    def receive(self, message: ReturnMessage, sender: PeerAddress) -> None:
        """Adopt a promise of another entry; strangers make none."""
        if sender in self._peers.others():
            self.book.adopt(message)

    def _send(self, message: ReturnMessage) -> None:
        self._socket.send(RETURN, message, self._peers.others())


def return_fingerprint(admitted: AdmittedRequest) -> int:
    """Return what a request has in common with its return; zero for a plain
    call, which gets no promise.
    """
    req = admitted.req
    if not req.prompt_parts:
        return 0
    digest = xxhash.xxh3_64(admitted.team.name.encode())
    for text in (req.target, *map(str.encode, req.prompt_parts)):
        digest.update(b'\n')
        digest.update(text)
    return digest.intdigest() or 1


def find_standing(
    admitted: AdmittedRequest,
    progress: RequestProgress,
    book: PromiseBook | None,
) -> Standing:
    """Return the standing of a request, whose promise is used up once."""
    if book is not None and not progress.return_key:
        progress.return_key = return_fingerprint(admitted)
        if progress.return_key:
            progress.has_returned = book.consume(progress.return_key)
    return Standing(priority=admitted.priority, returning=progress.has_returned)
