"""Entries tell each other of endpoints that are leaving.

The load: registrations change with each heartbeat of each endpoint, so every
entry takes them over in batches, seconds apart. Work that is placed on a
leaving endpoint meanwhile is cut if the endpoint goes before it ends. Among
many entries some other one reads the change within milliseconds and tells
the rest: what they place from then on goes elsewhere, with no further call
to the store.

It is advice: an entry's own copy decides once it is as recent.
"""

from typing import Final

import msgspec

from masticwind.serving.datagrams import Peer, PeerSocket, Receiver
from masticwind.serving.directory import Departure, Directory
from masticwind.serving.mirror import Sink
from masticwind.serving.peers import EntryPeers
from masticwind.serving.store import Item

DEPARTURES: Final = 'departures'
# Endpoints in one datagram, so that it stays below 1,400 bytes.
MOST_AT_ONCE: Final = 24


class Departures(msgspec.Struct, array_like=True):
    """Endpoints that are leaving, as one entry has read it."""

    endpoints: list[Departure]


class DepartureLink(Sink, Receiver[Departures]):
    """Passes registrations on to the directory, and departures between
    entries.
    """

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        directory: Directory,
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._directory: Final = directory
        peer_socket.add(DEPARTURES, Departures, self)

    def replace(self, items: tuple[Item, ...]) -> None:
        """Take over a whole listing."""
        self._directory.replace(items)
        self._tell()

    def change(self, items: tuple[Item, ...]) -> None:
        """Take over changed and removed registrations."""
        self._directory.change(items)
        self._tell()

    def receive(self, message: Departures, sender: Peer) -> None:
        """Take over what another entry has read."""
        for departure in message.endpoints:
            self._directory.hear(departure)

    def _tell(self) -> None:
        found = self._directory.take_departures()
        for start in range(0, len(found), MOST_AT_ONCE):
            message = Departures(found[start : start + MOST_AT_ONCE])
            self._socket.send(DEPARTURES, message, self._peers.others())
