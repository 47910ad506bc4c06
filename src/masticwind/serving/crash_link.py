"""Exchanges the evidence of crashes among the entries, over datagrams.

News are sent to all other entries at once. Every second, each entry sends all
that it knows to one other entry drawn at random, which repairs lost datagrams
and the gap after a network partition. An entry that has just started asks
others for what they know. The number of messages follows the number of
crashes, not of requests.
"""

import math
import random
from collections.abc import Iterable
from typing import Annotated, Final

import anyio
import msgspec
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.serving.crash_evidence import (
    EVIDENCE_TTL_S,
    MAX_CLEARED,
    MAX_KEY_CHARS,
    MAX_SUSPECTS,
    CrashEvidence,
    Key,
    Suspect,
)
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.peers import EntryPeers

CRASH: Final = 'crash'
CRASH_REQUEST: Final = 'crash_request'
SHARE_INTERVAL_S: Final = 1.0
# After a start, this many entries are asked at each of this many times.
REQUESTED_PEERS: Final = 3
START_REQUESTS: Final = 4
START_REQUEST_INTERVAL_S: Final = 0.25
# The time of a crash in a message is an age, so clocks are never compared.
MAX_AGE_MS: Final = int(EVIDENCE_TTL_S * MS_PER_S)


class CrashReport(msgspec.Struct, array_like=True):
    """What an entry knows of one crash."""

    crash_id: Annotated[str, msgspec.Meta(max_length=4 * MAX_KEY_CHARS)]
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
    suspects: Annotated[list[Suspect], msgspec.Meta(max_length=MAX_SUSPECTS)]
    cleared: Annotated[list[Key], msgspec.Meta(max_length=MAX_CLEARED)]


class CrashRequest(msgspec.Struct, array_like=True):
    """Asks an entry for all crashes that it knows."""

    entry: str


class _RequestHandler(Receiver[CrashRequest]):
    """Answers the requests of entries that have started."""

    def __init__(self, link: 'CrashLink') -> None:
        self._link: Final = link

    def receive(self, message: CrashRequest, sender: PeerAddress) -> None:
        """Send all known crashes."""
        logger.bind(entry=message.entry).debug('crashes_requested')
        self._link.send_all((sender,))


class CrashLink(Receiver[CrashReport]):
    """Sends this entry's evidence to the others and merges theirs."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        evidence: CrashEvidence,
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._evidence: Final = evidence
        peer_socket.register(CRASH, CrashReport, self)
        peer_socket.register(CRASH_REQUEST, CrashRequest, _RequestHandler(self))

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
            self._evidence.remove_expired()
            self.send_all(self._random_peers(1))

    def receive(self, message: CrashReport, sender: PeerAddress) -> None:
        """Merge a report of another entry."""
        if sender not in self._peers.others():
            logger.bind(sender=sender.host).warning('crash_from_stranger')
            return
        self.apply(message)

    def apply(self, report: CrashReport) -> None:
        """Merge a report."""
        self._evidence.merge(
            report.crash_id,
            self._evidence.clock() - report.age_ms / MS_PER_S,
            report.suspects,
            report.cleared,
        )

    def report_crash(self, crash_id: str, suspect: Suspect) -> None:
        """Record a prompt at a crash and tell all other entries."""
        self._evidence.merge(crash_id, self._evidence.clock(), (suspect,))
        self._send(crash_id, (suspect,), (), self._peers.others())

    def clear(self, keys: Iterable[str]) -> None:
        """Clear keys of which a prompt was answered, here and elsewhere."""
        cleared_keys: dict[str, list[str]] = {}
        for crash_id, key in self._evidence.accusations(keys):
            cleared_keys.setdefault(crash_id, []).append(key)
        for crash_id, cleared in cleared_keys.items():
            observed_at = self._evidence.observed_at(crash_id)
            self._evidence.merge(crash_id, observed_at, (), cleared)
            self._send(crash_id, (), cleared, self._peers.others())

    def send_all(self, peers: Iterable[PeerAddress]) -> None:
        """Send all known crashes to some entries."""
        for report in self.reports():
            self._socket.send(CRASH, report, peers)

    def reports(self) -> list[CrashReport]:
        """Return all known crashes as they are sent."""
        return [
            self._to_report(crash_id, crash.suspects.values(), crash.cleared)
            for crash_id, crash in self._evidence.crashes().items()
        ]

    def _send(
        self,
        crash_id: str,
        suspects: Iterable[Suspect],
        cleared: Iterable[str],
        peers: Iterable[PeerAddress],
    ) -> None:
        report = self._to_report(crash_id, suspects, cleared)
        self._socket.send(CRASH, report, peers)

    def _to_report(
        self, crash_id: str, suspects: Iterable[Suspect], cleared: Iterable[str]
    ) -> CrashReport:
        age_s = self._evidence.clock() - self._evidence.observed_at(crash_id)
        return CrashReport(
            crash_id=crash_id,
            age_ms=min(MAX_AGE_MS, math.ceil(max(0.0, age_s) * MS_PER_S)),
            suspects=list(suspects),
            cleared=list(cleared),
        )

    def _random_peers(self, count: int) -> list[PeerAddress]:
        others = self._peers.others()
        return random.sample(others, min(count, len(others)))
