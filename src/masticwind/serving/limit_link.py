"""Exchanges limits of endpoints and permits among the entries, over datagrams.

A change of a limit is sent to all entries at once by the entry that grants its
permits. As long as there are limits, each granting entry repeats them every
second, which repairs lost datagrams. An entry that has just started asks
others for what they know. A permit takes one request and one reply; if either
is lost, the permit is lost and the endpoint is not used.
"""

import abc
import itertools
import random
import secrets
from collections.abc import Iterable
from typing import Final, TypeVar

import anyio
import msgspec
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.endpoint_limits import EndpointLimits, Permit
from masticwind.serving.interfaces import EndpointNotice
from masticwind.serving.limit_messages import (
    MAX_LIMITS_PER_NOTICE,
    Limit,
    LimitNotice,
    LimitQuery,
    LimitReport,
    PermitReply,
    PermitRequest,
)
from masticwind.serving.model import Endpoint
from masticwind.serving.peers import EntryPeers

NOTICE: Final = 'limit'
REPORT: Final = 'limit_report'
QUERY: Final = 'limit_query'
PERMIT: Final = 'permit'
PERMIT_REPLY: Final = 'permit_reply'
NOTICE_INTERVAL_S: Final = 1.0
# Entries answer within a few milliseconds unless they are busy.
REPLY_TIMEOUT_S: Final = 0.2
# A permit that is used later could be added to those that fall due then.
PERMIT_VALIDITY_S: Final = 0.5
# After a start, this many entries are asked at each of this many times.
QUERIED_PEERS: Final = 3
START_QUERIES: Final = 4
START_QUERY_INTERVAL_S: Final = 0.2
NUMBER_BITS: Final = 48

_Message = TypeVar('_Message', bound=msgspec.Struct)


class _PeerReceiver(Receiver[_Message]):
    """Handles the messages of known entries."""

    def __init__(self, link: 'LimitLink') -> None:
        self.link: Final = link

    def receive(self, message: _Message, sender: PeerAddress) -> None:
        """Handle a message, unless its sender is not known."""
        if not self.link.is_peer(sender):
            logger.bind(sender=sender.host).warning('limit_from_stranger')
            return
        self.handle(message, sender)

    @abc.abstractmethod
    def handle(self, message: _Message, sender: PeerAddress) -> None:
        """Handle a message of a known entry."""


class _NoticeReceiver(_PeerReceiver[LimitNotice]):
    def handle(self, message: LimitNotice, sender: PeerAddress) -> None:
        """Adopt the limits that another entry knows."""
        for limit in message.limits:
            self.link.limits.adopt(limit)


class _ReportReceiver(_PeerReceiver[LimitReport]):
    def handle(self, message: LimitReport, sender: PeerAddress) -> None:
        """Apply what an answer to another entry said."""
        self.link.apply_report(message.limit)


class _QueryReceiver(_PeerReceiver[LimitQuery]):
    def handle(self, message: LimitQuery, sender: PeerAddress) -> None:
        """Send all known limits to an entry that has started."""
        self.link.send_limits(self.link.limits.known_news(), (sender,))


class _PermitReceiver(_PeerReceiver[PermitRequest]):
    def handle(self, message: PermitRequest, sender: PeerAddress) -> None:
        """Reply to another entry that asks for a permit."""
        self.link.reply(message, sender)


class _PendingReply:
    """A reply to this entry that has not arrived yet."""

    def __init__(self, identity: str) -> None:
        self.identity: Final = identity
        self.reply: PermitReply | None = None
        self.arrived: Final = anyio.Event()


class LimitLink(Receiver[PermitReply]):
    """Gets permits for this entry, and grants them to others."""

    def __init__(self, peer_socket: PeerSocket, peers: EntryPeers) -> None:
        self.limits: Final = EndpointLimits(
            peer_socket.node, secrets.token_hex(4), peers
        )
        self._socket: Final = peer_socket
        self._peers: Final = peers
        # Not from zero, since replies to a former process may still arrive.
        self._numbers: Final = itertools.count(secrets.randbits(NUMBER_BITS))
        self._pending: Final[dict[int, _PendingReply]] = {}
        peer_socket.register(NOTICE, LimitNotice, _NoticeReceiver(self))
        peer_socket.register(REPORT, LimitReport, _ReportReceiver(self))
        peer_socket.register(QUERY, LimitQuery, _QueryReceiver(self))
        peer_socket.register(PERMIT, PermitRequest, _PermitReceiver(self))
        peer_socket.register(PERMIT_REPLY, PermitReply, self)

    async def run(self) -> None:
        """Exchange limits until cancelled."""
        for _ in range(START_QUERIES):
            await anyio.sleep(START_QUERY_INTERVAL_S)
            others = self._peers.others()
            self._socket.send(
                QUERY,
                LimitQuery(self._socket.node),
                random.sample(others, min(QUERIED_PEERS, len(others))),
            )
        while True:
            await anyio.sleep(NOTICE_INTERVAL_S)
            self.limits.remove_expired()
            self.send_limits(self.limits.own_news(), self._peers.others())

    def observe(
        self,
        endpoint: Endpoint,
        permit: Permit | None,
        notice: EndpointNotice | None,
    ) -> None:
        """Record what an answer said, and tell the granting entry."""
        if notice is None:
            return
        said = self.limits.observe(endpoint, notice.rate_limit, permit)
        if said is None:
            return
        granter = self._peers.permit_granter(endpoint.identity)
        if granter == self._socket.node:
            self.apply_report(said)
            return
        peer = self._peers.address_of(granter)
        if peer is not None:
            report = LimitReport(self._socket.node, said)
            self._socket.send(REPORT, report, (peer,))

    def apply_report(self, said: Limit) -> None:
        """Apply what an answer said, as the granting entry."""
        self.limits.apply_report(said)
        self._send_changes()

    async def acquire(
        self, endpoint: Endpoint, max_wait_s: float, priority: int
    ) -> Permit | None:
        """Wait for a permit to send a request; None if there is none.

        An endpoint without a limit needs none, so it gets one at once.
        """
        number = next(self._numbers)
        known = self.limits.find(endpoint)
        req = self.limits.build_request(endpoint, number, max_wait_s, priority)
        if known is None or req is None:
            return Permit(
                limit=Limit(endpoint.identity, endpoint.started_at_ms, None)
            )
        asked_at = self.limits.clock()
        reply = await self._request(req)
        if reply is None:
            self.limits.record_unreachable(endpoint)
            logger.bind(endpoint=endpoint.identity).info('permit_unanswered')
            return None
        self.limits.apply_reply(reply)
        if not reply.granted:
            return None
        await anyio.sleep(reply.wait_ms / MS_PER_S)
        elapsed_s = self.limits.clock() - asked_at
        if elapsed_s > reply.wait_ms / MS_PER_S + PERMIT_VALIDITY_S:
            logger.bind(endpoint=endpoint.identity).info('permit_expired')
            return None
        return Permit(
            limit=reply.limit,
            waited_ms=elapsed_s * MS_PER_S,
            known_for_s=self.limits.clock() - known.began_at,
            source=known.source,
        )

    def reply(self, req: PermitRequest, sender: PeerAddress) -> None:
        """Decide on the request of another entry."""
        self._socket.send(PERMIT_REPLY, self.limits.decide(req), (sender,))
        self._send_changes()

    def receive(self, message: PermitReply, sender: PeerAddress) -> None:
        """Pass a reply on to the request that waits for it."""
        pending = self._pending.get(message.number)
        if pending is not None and pending.identity == message.limit.identity:
            pending.reply = message
            pending.arrived.set()

    def is_peer(self, sender: PeerAddress) -> bool:
        """Tell whether a datagram comes from a known entry."""
        return sender in self._peers.others()

    def send_limits(
        self, limits: list[Limit], peers: Iterable[PeerAddress]
    ) -> None:
        """Send limits to other entries."""
        peers = tuple(peers)
        for start in range(0, len(limits), MAX_LIMITS_PER_NOTICE):
            notice = LimitNotice(
                self._socket.node, limits[start : start + MAX_LIMITS_PER_NOTICE]
            )
            self._socket.send(NOTICE, notice, peers)

    async def _request(self, req: PermitRequest) -> PermitReply | None:
        granter = self._peers.permit_granter(req.limit.identity)
        if granter == self._socket.node:
            reply = self.limits.decide(req)
            self._send_changes()
            return reply
        peer = self._peers.address_of(granter)
        if peer is None:
            return None
        pending = _PendingReply(req.limit.identity)
        self._pending[req.number] = pending
        try:
            self._socket.send(PERMIT, req, (peer,))
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await pending.arrived.wait()
        finally:
            self._pending.pop(req.number)
        return pending.reply

    def _send_changes(self) -> None:
        changes = self.limits.take_changes()
        if changes:
            self.send_limits(changes, self._peers.others())
