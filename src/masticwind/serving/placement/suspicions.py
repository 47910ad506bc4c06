"""Endpoints that other entries have recently failed to reach.

With many entries, each one sends to a given endpoint only now and then. On its
own, every entry would detect a crashed endpoint only by a failed request, so
the crash would cost nearly every caller one. Entries therefore report failed
connections to each other. Reports are advisory: placement adds a cost to a
suspected endpoint but still uses it if there is no other.

One report from this entry's own availability zone is enough. If all reports
come from other zones, entries of two zones must report the endpoint, since a
network partition between two zones does not affect a third one. A successful
request of this entry overrides all reports.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import msgspec
from loguru import logger

from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.peers import EntryPeers

SUSPICION: Final = 'suspicion'
# Duration of a suspicion; doubled each time that the endpoint is reported
# again soon after the previous suspicion has ended.
INITIAL_SUSPICION_S: Final = 1.0
MAX_SUSPICION_S: Final = 4.0
# Zones that must report an endpoint if none of them is this entry's own zone.
MIN_REPORTING_ZONES: Final = 2


class Suspicion(msgspec.Struct, array_like=True):
    """Reports that an entry of a zone has just failed to reach an endpoint."""

    zone: str
    endpoint: str


@dataclass(slots=True)
class _Record:
    """Suspicions of one endpoint.

    `until_by_zone` holds the end of the suspicion for each reporting zone, on
    the clock of this process.
    """

    until_by_zone: dict[str, float] = field(default_factory=dict)
    duration_s: float = 0


class Suspicions(Receiver[Suspicion]):
    """Exchanges reports of unreachable endpoints with the other entries."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        zone: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._zone: Final = zone
        self._clock: Final = clock
        self._records: Final[dict[str, _Record]] = {}
        peer_socket.register(SUSPICION, Suspicion, self)

    def report(self, endpoint: str) -> None:
        """Report to the other entries that an endpoint is unreachable."""
        message = Suspicion(self._zone, endpoint)
        self._socket.send(SUSPICION, message, self._peers.others())

    def receive(self, message: Suspicion, sender: PeerAddress) -> None:
        """Record another entry's report."""
        now = self._clock()
        record = self._records.setdefault(message.endpoint, _Record())
        previous_end = max(record.until_by_zone.values(), default=0)
        if previous_end <= now:
            repeated = now - previous_end <= MAX_SUSPICION_S
            record.duration_s = (
                2 * record.duration_s if repeated else INITIAL_SUSPICION_S
            )
            record.duration_s = min(
                MAX_SUSPICION_S, max(INITIAL_SUSPICION_S, record.duration_s)
            )
            logger.bind(
                endpoint=message.endpoint,
                zone=message.zone,
                entry=sender.host,
                holds_s=record.duration_s,
            ).info('endpoint_suspected_elsewhere')
        record.until_by_zone[message.zone] = now + record.duration_s

    def is_suspected(self, endpoint: str) -> bool:
        """Tell whether an endpoint is suspected at present."""
        record = self._records.get(endpoint)
        if record is None:
            return False
        now = self._clock()
        zones = [
            zone for zone, until in record.until_by_zone.items() if until > now
        ]
        return self._zone in zones or len(zones) >= MIN_REPORTING_ZONES

    def record_success(self, endpoint: str) -> None:
        """Record that an endpoint has served a request of this entry."""
        self._records.pop(endpoint, None)

    def forget(self, endpoint: str) -> None:
        """Drop the reports of an endpoint that has been removed."""
        self._records.pop(endpoint, None)
