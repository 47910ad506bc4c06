"""Exchanges the evidence of crashes among the entries, over datagrams.

News are sent to all other entries at once. Every second, each entry sends
crashes that still speak against a key to one other entry drawn at random, and
gets those back of which that entry knows more. This repairs lost datagrams and
the gap after a network partition. An entry that has just started asks others
for what they know. The number of messages follows the number of crashes, not
of requests.
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
MAX_SHARED_CRASHES: Final = 32
# After a start, this many entries are asked at each of this many times.
REQUESTED_PEERS: Final = 3
START_REQUESTS: Final = 3
START_REQUEST_INTERVAL_S: Final = 0.25
# The time of a crash in a message is an age, so clocks are never compared.
MAX_AGE_MS: Final = int(EVIDENCE_TTL_S * MS_PER_S)


class CrashReport(msgspec.Struct, array_like=True):
    """What an entry knows of one crash; with `complete`, all of it."""

    crash_id: Annotated[str, msgspec.Meta(max_length=4 * MAX_KEY_CHARS)]
    age_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
    suspects: Annotated[list[Suspect], msgspec.Meta(max_length=MAX_SUSPECTS)]
    cleared: Annotated[list[Key], msgspec.Meta(max_length=MAX_CLEARED)]
    complete: bool


class CrashRequest(msgspec.Struct, array_like=True):
    """Asks an entry for all crashes that it knows."""

    entry: str


class _RequestHandler(Receiver[CrashRequest]):
    """Answers the requests of entries that have started."""

    def __init__(self, link: 'CrashLink') -> None:
        self._link: Final = link

    def receive(self, message: CrashRequest, sender: PeerAddress) -> None:
        """Send all crashes that speak against a key."""
        logger.bind(entry=message.entry).debug('crashes_requested')
        self._link.send(self._link.reports(), sender)


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
        # Crashes at which this entry had a prompt.
        self.reported: Final[set[str]] = set()
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
            self._evidence.remove_expired()
            self.reported.intersection_update(self._evidence.crashes())
            for peer in self._random_peers(1):
                self.send(self._sample_reports(), peer)

    def receive(self, message: CrashReport, sender: PeerAddress) -> None:
        """Merge a report of another entry."""
        if sender not in self._peers.others():
            logger.bind(sender=sender.host).warning('crash_from_stranger')
            return
        self.apply(message)
        if not message.complete or not self._evidence.is_known(
            message.crash_id
        ):
            return
        known = self.report_of(message.crash_id)
        if (known.suspects, known.cleared) != (
            message.suspects,
            message.cleared,
        ):
            self.send([known], sender)

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
        self.reported.add(crash_id)
        self._evidence.merge(crash_id, self._evidence.clock(), (suspect,))
        self._broadcast(crash_id, (suspect,), ())

    def clear(self, keys: Iterable[str]) -> None:
        """Clear keys of which a prompt was answered, here and elsewhere."""
        cleared_keys: dict[str, list[str]] = {}
        for crash_id, key in self._evidence.accusations(keys):
            cleared_keys.setdefault(crash_id, []).append(key)
        for crash_id, cleared in cleared_keys.items():
            crash = self._evidence.crash(crash_id)
            self._evidence.merge(crash_id, crash.observed_at, (), cleared)
            self._broadcast(crash_id, (), cleared)

    def send(self, reports: Iterable[CrashReport], peer: PeerAddress) -> None:
        """Send reports to another entry."""
        for report in reports:
            self._socket.send(CRASH, report, (peer,))

    def reports(self) -> list[CrashReport]:
        """Return the crashes that speak against a key, as they are sent."""
        return [self.report_of(one) for one in self._evidence.crashes()]

    def report_of(self, crash_id: str) -> CrashReport:
        """Return all that is known of a crash."""
        crash = self._evidence.crash(crash_id)
        return self._to_report(
            crash_id,
            sorted(crash.suspects.values()),
            sorted(crash.cleared),
            complete=True,
        )

    def _sample_reports(self) -> list[CrashReport]:
        reports = self.reports()
        return random.sample(reports, min(MAX_SHARED_CRASHES, len(reports)))

    def _broadcast(
        self, crash_id: str, suspects: Iterable[Suspect], cleared: Iterable[str]
    ) -> None:
        report = self._to_report(crash_id, suspects, cleared, complete=False)
        self._socket.send(CRASH, report, self._peers.others())

    def _to_report(
        self,
        crash_id: str,
        suspects: Iterable[Suspect],
        cleared: Iterable[str],
        *,
        complete: bool,
    ) -> CrashReport:
        observed_at = self._evidence.crash(crash_id).observed_at
        age_s = self._evidence.clock() - observed_at
        return CrashReport(
            crash_id=crash_id,
            age_ms=min(MAX_AGE_MS, math.ceil(max(0.0, age_s) * MS_PER_S)),
            suspects=list(suspects),
            cleared=list(cleared),
            complete=complete,
        )

    def _random_peers(self, count: int) -> list[PeerAddress]:
        others = self._peers.others()
        return random.sample(others, min(count, len(others)))
