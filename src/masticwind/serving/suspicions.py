"""Endpoints that other entries have just failed to reach.

Among many entries each one sends only now and then to a given endpoint, so
on its own it would find out that an endpoint has crashed with one request of
nearly every caller. Entries therefore tell each other of connections that
were broken or not made. This is advice: a suspected endpoint costs more, and
is still used where no other one is left.

An entry believes entries of its own availability zone, since a cut between
two zones does not concern a third one; of an endpoint elsewhere it believes
that it has failed once entries of two zones say so. What this entry is served
by an endpoint goes before what others say.
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
# How long a suspicion holds; doubled each time that the endpoint fails again
# right after it.
INITIAL_SUSPICION_S: Final = 1.0
MAX_SUSPICION_S: Final = 4.0
# Zones whose entries must agree on an endpoint, if none is this entry's own.
AGREEING_ZONES: Final = 2


class Suspicion(msgspec.Struct, array_like=True):
    """An entry of a zone could not reach an endpoint just now."""

    zone: str
    endpoint: str


@dataclass(slots=True)
class _Record:
    """Ends of the suspicions by zone, on the clock of this process."""

    until: dict[str, float] = field(default_factory=dict)
    holds_s: float = 0


class Suspicions(Receiver[Suspicion]):
    """Tells other entries of endpoints that fail, and hears of theirs."""

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
        """Tell the other entries that an endpoint could not be reached."""
        message = Suspicion(self._zone, endpoint)
        self._socket.send(SUSPICION, message, self._peers.others())

    def receive(self, message: Suspicion, sender: PeerAddress) -> None:
        """Take over what another entry says."""
        now = self._clock()
        record = self._records.setdefault(message.endpoint, _Record())
        ended = max(record.until.values(), default=0)
        if ended <= now:
            again = now - ended <= MAX_SUSPICION_S
            record.holds_s = (
                2 * record.holds_s if again else INITIAL_SUSPICION_S
            )
            record.holds_s = min(
                MAX_SUSPICION_S, max(INITIAL_SUSPICION_S, record.holds_s)
            )
            logger.bind(
                endpoint=message.endpoint,
                zone=message.zone,
                entry=sender.host,
                holds_s=record.holds_s,
            ).info('endpoint_suspected_elsewhere')
        record.until[message.zone] = now + record.holds_s

    def is_suspected(self, endpoint: str) -> bool:
        """Tell whether an endpoint is suspected now."""
        record = self._records.get(endpoint)
        if record is None:
            return False
        now = self._clock()
        zones = [zone for zone, until in record.until.items() if until > now]
        return self._zone in zones or len(zones) >= AGREEING_ZONES

    def record_success(self, endpoint: str) -> None:
        """Note that an endpoint has served this entry."""
        self._records.pop(endpoint, None)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._records.pop(endpoint, None)
