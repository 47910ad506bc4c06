"""Entries confirm each other's copies of the configuration.

A few entries ask the store every second or so whether their copy is still
right. The others ask these entries, not the store, for the revision of the
last change that they know and for the age of their copy; a copy that holds
that change is as recent. So the number of calls does not grow with that of
entries, and an entry that the store turns away goes on accepting keys while
other entries are served. An entry that gets no confirmation asks the store.
"""

import contextlib
import random
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.serving.copies import CopyExchange
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.mirror import Mirror
from masticwind.serving.peer_requests import (
    AgeMs,
    PendingRequests,
    rounded_up_age_ms,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.settings import LiveSettings

QUESTION: Final = 'question'
CONFIRMATION: Final = 'confirmation'
# Time between questions, at most.
MAX_REQUEST_INTERVAL_S: Final = 0.7
# Time between looks at the own copy.
CHECK_S: Final = 0.1
# Entries that ask the store first; two, so that one may be lost or cut off.
CONFIRMING_ENTRIES: Final = 2
# Parts of the time for which a removed key may be accepted. A copy of this
# age is confirmed at the store; the second value leaves the confirming
# entries time to answer, and time until the copy is no longer trusted.
CONFIRM_SHARE: Final = 0.2
FALLBACK_SHARE: Final = 0.36
# Questions that wait; a later one replaces one that is dropped.
MAX_WAITING: Final = 64


class ConfirmationRequest(msgspec.Struct, array_like=True):
    """Asked at `sent_ms` on the clock of the entry that asks."""

    sent_ms: int


class Confirmation(msgspec.Struct, array_like=True):
    """The last change in a copy and its age when the question arrived."""

    sent_ms: int
    last_change_revision: int
    age_ms: AgeMs


class _Questions(Receiver[ConfirmationRequest]):
    """Keeps questions until they are answered; drops the rest."""

    def __init__(self) -> None:
        put, arrived = anyio.create_memory_object_stream[
            tuple[ConfirmationRequest, PeerAddress]
        ](
            MAX_WAITING,
        )
        self._put: Final = put
        self.arrived: Final = arrived

    def receive(
        self, message: ConfirmationRequest, sender: PeerAddress
    ) -> None:
        """Keep a question."""
        with contextlib.suppress(anyio.WouldBlock):
            self._put.send_nowait((message, sender))


class Confirmations(Receiver[Confirmation]):
    """Asks other entries, answers them and takes their replies."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        mirror: Mirror,
        settings: LiveSettings,
    ) -> None:
        self._settings: Final = settings
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._mirror: Final = mirror
        self._open: Final = PendingRequests()
        self._copies: Final = CopyExchange(peer_socket, peers, mirror)
        self._questions: Final = _Questions()
        peer_socket.register(QUESTION, ConfirmationRequest, self._questions)
        peer_socket.register(CONFIRMATION, Confirmation, self)

    async def run(self) -> None:
        """Ask and answer until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask)
            tasks.start_soon(self._answer)
            tasks.start_soon(self._check)
            tasks.start_soon(self._copies.run)

    def receive(self, message: Confirmation, sender: PeerAddress) -> None:
        """Take over a reply that has arrived."""
        self.apply_reply(message)

    def new_request(self) -> ConfirmationRequest:
        """Return a question that is sent now."""
        return ConfirmationRequest(self._open.open_request())

    def answer_request(
        self, question: ConfirmationRequest
    ) -> Confirmation | None:
        """Return what this entry can say of its copy, if anything."""
        if not self._mirror.loaded:
            return None
        age_ms = rounded_up_age_ms(self._mirror.age_s())
        return Confirmation(
            question.sent_ms, self._mirror.last_change_revision, age_ms
        )

    def apply_reply(self, reply: Confirmation) -> None:
        """Take over the reply of another entry to a recent question."""
        as_of = self._open.as_of(reply.sent_ms, reply.age_ms)
        if as_of is not None:
            self._mirror.confirm(reply.last_change_revision, as_of)

    async def _ask(self) -> None:
        while True:
            await anyio.sleep(random.uniform(0.5, 1) * MAX_REQUEST_INTERVAL_S)
            self._socket.send(QUESTION, self.new_request(), self._asked_peers())

    async def _check(self) -> None:
        """Ask the store where the copy is old or a change was missed."""
        while True:
            await anyio.sleep(CHECK_S)
            # Without a watch, the mirror itself goes on trying.
            if not self._mirror.connected:
                continue
            if (
                self._mirror.has_missed_change()
                or self._mirror.age_s() > self._limit_s()
            ):
                await self._mirror.poll()

    def _asked_peers(self) -> list[PeerAddress]:
        first = self._peers.first_by_hash(CONFIRMING_ENTRIES)
        return [peer for node, peer in first if node != self._socket.node]

    def _limit_s(self) -> float:
        share = FALLBACK_SHARE
        if len(self._asked_peers()) < CONFIRMING_ENTRIES:
            share = CONFIRM_SHARE
        return self._settings.bounds.key_age_ms * share / MS_PER_S

    async def _answer(self) -> None:
        async for question, sender in self._questions.arrived:
            reply = self.answer_request(question)
            if reply is not None:
                self._socket.send(CONFIRMATION, reply, (sender,))
