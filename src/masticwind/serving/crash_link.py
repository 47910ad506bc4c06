"""Exchanges the evidence of crashes among the entries, over datagrams.

News are sent to all other entries at once. Every second, each entry sends
crashes that still speak against a key to one other entry drawn at random, and
gets those back of which that entry knows more. This repairs lost datagrams and
the gap after a network partition. An entry that has just started asks others
for what they know. The number of messages follows the number of crashes, not
of requests.
"""

import random
from collections.abc import Iterable
from typing import Final

import anyio
import msgspec
from loguru import logger

from masticwind.serving.crash_evidence import CrashEvidence
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.evidence_link import CrashReport, EvidenceLink
from masticwind.serving.peers import EntryPeers

CRASH: Final = 'crash'
CRASH_REQUEST: Final = 'crash_request'
SHARE_INTERVAL_S: Final = 1.0
MAX_SHARED_CRASHES: Final = 32
# Reports of long prompts beyond this are left to a later share.
MAX_SHARED_BYTES: Final = 131_072
# After a start, this many entries are asked at each of this many times.
REQUESTED_PEERS: Final = 3
START_REQUESTS: Final = 3
START_REQUEST_INTERVAL_S: Final = 0.25


class CrashRequest(msgspec.Struct, array_like=True):
    """Asks an entry for all crashes that speak against a key."""

    entry: str


class _RequestHandler(Receiver[CrashRequest]):
    """Answers the requests of entries that have started."""

    def __init__(self, link: 'CrashLink') -> None:
        self._link: Final = link

    def receive(self, message: CrashRequest, sender: PeerAddress) -> None:
        """Send all crashes that speak against a key."""
        logger.bind(entry=message.entry).debug('crashes_requested')
        self._link.send(self._link.reports(), sender)


class CrashLink(EvidenceLink, Receiver[CrashReport]):
    """Sends this entry's evidence to the others and merges theirs."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        evidence: CrashEvidence,
    ) -> None:
        super().__init__(evidence)
        self._socket: Final = peer_socket
        self._peers: Final = peers
        peer_socket.register(CRASH, CrashReport, self)
        peer_socket.register(CRASH_REQUEST, CrashRequest, _RequestHandler(self))

    @property
    def node(self) -> str:
        """Name of this entry."""
        return self._socket.node

    async def run(self) -> None:
        """Exchange evidence until cancelled."""
        for _ in range(START_REQUESTS):
            await anyio.sleep(START_REQUEST_INTERVAL_S)
            self._socket.send(
                CRASH_REQUEST,
                CrashRequest(self._socket.node),
                self._random_peers(REQUESTED_PEERS),
            )
        while True:
            await anyio.sleep(SHARE_INTERVAL_S)
            self.remove_expired()
            for peer in self._random_peers(1):
                self.send(self._sample_reports(), peer)

    def receive(self, message: CrashReport, sender: PeerAddress) -> None:
        """Merge a report of another entry; send it what it lacks."""
        if sender not in self._peers.others():
            logger.bind(sender=sender.host).warning('crash_from_stranger')
            return
        self.apply(message)
        if not message.complete or not self.evidence.is_known(message.crash_id):
            return
        known = self.report_of(message.crash_id)
        if not known.has_same_content(message):
            self.send(self.reports_of(message.crash_id), sender)

    def broadcast(self, report: CrashReport) -> None:
        """Send a report to all other entries."""
        self._socket.send(CRASH, report, self._peers.others())

    def send(self, reports: Iterable[CrashReport], peer: PeerAddress) -> None:
        """Send reports to another entry."""
        for report in reports:
            self._socket.send(CRASH, report, (peer,))

    def _sample_reports(self) -> list[CrashReport]:
        reports = self.reports()
        sample: list[CrashReport] = []
        size = 0
        for report in random.sample(
            reports, min(MAX_SHARED_CRASHES, len(reports))
        ):
            size += len(msgspec.msgpack.encode(report))
            if size > MAX_SHARED_BYTES:
                break
            sample.append(report)
        return sample

    def _random_peers(self, count: int) -> list[PeerAddress]:
        others = self._peers.others()
        return random.sample(others, min(count, len(others)))
