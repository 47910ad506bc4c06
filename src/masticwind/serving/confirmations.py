"""Entries confirm to each other that their configuration is up to date.

A few entries, the confirming entries, poll the store about once a second to
check that their copy of the configuration is current. All other entries ask
these entries, not the store, for the revision of the last change they know
and for the age of their copy; a copy that holds that change is as recent.
The number of store calls therefore does not grow with the number of entries,
and an entry whose calls the store refuses keeps accepting API keys as long as
the store serves other entries. An entry without confirmations polls the store.
"""

import contextlib
import random
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.serving.config_versions import ConfigVersions
from masticwind.serving.copies import CopyExchange
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.mirror import Mirror
from masticwind.serving.peer_requests import (
    MAX_AGE_S,
    AgeMs,
    Era,
    PendingRequests,
    Version,
    rounded_up_age_ms,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.settings import LiveSettings
from masticwind.serving.store_eras import NO_ERA, StoreRevision

CONFIRMATION_REQUEST: Final = 'question'
CONFIRMATION: Final = 'confirmation'
MAX_REQUEST_INTERVAL_S: Final = 0.7
# Interval of the check whether this entry's copy needs a poll of the store, and
# of requests while versions are compared.
CHECK_INTERVAL_S: Final = 0.1
# An entry that has started asks as soon as it knows whom, since its callers
# wait. If it does not know within this time, it goes on as usual.
MAX_FIRST_WAIT_S: Final = 0.1
FIRST_POLL_INTERVAL_S: Final = 0.005
# At its start and in a new era, an entry compares its version with so many.
MAX_CHECKED: Final = 8
# Two, so that one of them may fail or be disconnected.
CONFIRMING_ENTRIES: Final = 2
# Shares of `key_age_ms`, the time for which a removed key may still be
# accepted. A copy that reaches this age is confirmed by polling the store:
# the first share applies to confirming entries, the second to all others. The
# second one leaves the confirming entries time to answer, and leaves time for
# the poll before the copy is no longer trusted.
CONFIRMING_POLL_SHARE: Final = 0.2
FALLBACK_POLL_SHARE: Final = 0.36
# Requests beyond this queue length are dropped; their senders ask again.
MAX_QUEUED_REQUESTS: Final = 64


class ConfirmationRequest(msgspec.Struct, array_like=True):
    """Asks another entry for a confirmation.

    `sent_ms` is on the clock of the entry that asks.
    """

    sent_ms: int


class Confirmation(msgspec.Struct, array_like=True):
    """Tells the last change in a copy, and its age on receipt of the request.

    `sent_ms` is copied from the request. `version` is that of the configuration
    in force. Entries of earlier releases send neither it nor the era.
    """

    sent_ms: int
    last_change_revision: int
    age_ms: AgeMs
    era: Era = NO_ERA
    version: Version = 0


class _RequestQueue(Receiver[ConfirmationRequest]):
    """Queues requests until they are answered; drops those over the limit."""

    def __init__(self) -> None:
        send_stream, received = anyio.create_memory_object_stream[
            tuple[ConfirmationRequest, PeerAddress]
        ](
            MAX_QUEUED_REQUESTS,
        )
        self._send_stream: Final = send_stream
        self.received: Final = received

    def receive(
        self, message: ConfirmationRequest, sender: PeerAddress
    ) -> None:
        """Queue a request."""
        with contextlib.suppress(anyio.WouldBlock):
            self._send_stream.send_nowait((message, sender))


class Confirmations(Receiver[Confirmation]):
    """Requests confirmations, answers requests and applies the replies."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        mirror: Mirror,
        versions: ConfigVersions,
        settings: LiveSettings,
    ) -> None:
        self._settings: Final = settings
        self._versions: Final = versions
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._mirror: Final = mirror
        self._pending: Final = PendingRequests()
        self._copies: Final = CopyExchange(peer_socket, peers, mirror, versions)
        self._requests: Final = _RequestQueue()
        peer_socket.register(
            CONFIRMATION_REQUEST, ConfirmationRequest, self._requests
        )
        peer_socket.register(CONFIRMATION, Confirmation, self)

    async def run(self) -> None:
        """Send and answer requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_requests)
            tasks.start_soon(self._answer_requests)
            tasks.start_soon(self._poll_store_if_stale)
            tasks.start_soon(self._copies.run)

    def receive(self, message: Confirmation, sender: PeerAddress) -> None:
        """Apply a received confirmation."""
        self.apply_reply(message, sender)

    def new_request(self) -> ConfirmationRequest:
        """Create a request to be sent now."""
        return ConfirmationRequest(self._pending.open_request())

    def answer_request(
        self, request: ConfirmationRequest
    ) -> Confirmation | None:
        """Return the state of this entry's copy, or None before it is read."""
        if not self._mirror.loaded:
            return None
        last_change = self._mirror.last_change_revision
        return Confirmation(
            request.sent_ms,
            last_change.number,
            rounded_up_age_ms(self._versions.age_s()),
            last_change.era,
            self._versions.version,
        )

    def apply_reply(self, reply: Confirmation, sender: PeerAddress) -> None:
        """Apply another entry's reply to a recent request."""
        as_of = self._pending.as_of(reply.sent_ms, reply.age_ms)
        if as_of is None:
            return
        last_change = StoreRevision(reply.era, reply.last_change_revision)
        self._mirror.confirm(last_change, as_of)
        if sender in self._peers.others():
            self._versions.report(
                reply.version,
                reply.sent_ms,
                sender,
                confirmed=reply.age_ms < MAX_AGE_S * MS_PER_S,
            )
            if self._versions.is_checking():
                self._copies.request_if_lacking()

    async def _send_requests(self) -> None:
        next_request_at = 0.0
        with anyio.move_on_after(MAX_FIRST_WAIT_S):
            while not (self._mirror.loaded and self._peers.loaded):
                await anyio.sleep(FIRST_POLL_INTERVAL_S)
        self._versions.update()
        # A request in the millisecond in which a check begins counts as
        # earlier.
        await anyio.sleep(FIRST_POLL_INTERVAL_S)
        while True:
            now = anyio.current_time()
            self._versions.update()
            checking = self._versions.is_checking()
            if checking or now >= next_request_at:
                interval_s = random.uniform(0.5, 1) * MAX_REQUEST_INTERVAL_S
                next_request_at = now + interval_s
                self._send_request(checking)
            await anyio.sleep(random.uniform(0.5, 1) * CHECK_INTERVAL_S)

    def _send_request(self, checking: bool) -> None:
        asked = self._confirming_peers()
        if checking:
            others = self._peers.others()
            asked = random.sample(others, min(MAX_CHECKED, len(others)))
        self._socket.send(CONFIRMATION_REQUEST, self.new_request(), asked)

    async def _poll_store_if_stale(self) -> None:
        """Poll the store when the copy is old or has missed a change."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            # While disconnected, the mirror retries the store by itself.
            if not self._mirror.connected:
                continue
            if (
                self._mirror.has_missed_change()
                or self._mirror.age_s() > self._max_age_s()
            ):
                await self._mirror.poll()

    def _confirming_peers(self) -> list[PeerAddress]:
        confirming = self._peers.first_by_hash(CONFIRMING_ENTRIES)
        return [peer for node, peer in confirming if node != self._socket.node]

    def _max_age_s(self) -> float:
        share = FALLBACK_POLL_SHARE
        if len(self._confirming_peers()) < CONFIRMING_ENTRIES:
            share = CONFIRMING_POLL_SHARE
        return self._settings.bounds.key_age_ms * share / MS_PER_S

    async def _answer_requests(self) -> None:
        async for request, sender in self._requests.received:
            reply = self.answer_request(request)
            if reply is not None:
                self._socket.send(CONFIRMATION, reply, (sender,))
