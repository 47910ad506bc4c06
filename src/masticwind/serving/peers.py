"""Entries find each other in the metadata store.

Every entry registers the address of its datagram socket under a lease.
"""

from typing import Final

import anyio
import xxhash
from loguru import logger

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.datagrams import Peer
from masticwind.serving.mirror import Sink
from masticwind.serving.settings import DirectSettings
from masticwind.serving.store import Item, MetadataStore

# Number of entries until the registrations have been read.
ASSUMED_ENTRIES: Final = 8
LEASE_S: Final = 4.0
RENEW_S: Final = 1.3
RETRY_S: Final = 0.5


class EntryPeers(Sink):
    """The entries that are registered, this one included."""

    def __init__(self, cfg: DirectSettings) -> None:
        self._node: Final = cfg.node
        self._peers: dict[str, Peer] = {}

    def count(self) -> int:
        """Return how many entries may be alive."""
        return len(self._peers) or ASSUMED_ENTRIES

    def others(self) -> list[Peer]:
        """Return the addresses of the other entries."""
        return [
            peer for node, peer in self._peers.items() if node != self._node
        ]

    def first(self, count: int) -> list[tuple[str, Peer]]:
        """Return the entries that all entries agree to ask first.

        The order is that of a hash of their names, which spreads them over
        the availability zones.
        """
        ranked = sorted(self._peers.items(), key=_rank)
        return ranked[:count]

    def replace(self, items: tuple[Item, ...]) -> None:
        """Take over a whole listing."""
        self._peers = {}
        self.change(items)

    def change(self, items: tuple[Item, ...]) -> None:
        """Take over changed and removed registrations."""
        for item in items:
            node = item.key.rpartition('/')[2]
            if item.value is None:
                self._peers.pop(node, None)
                continue
            host, _, port = item.value.decode('latin-1').rpartition(':')
            if not port.isdigit():
                logger.bind(key=item.key).warning('entry_unreadable')
                continue
            self._peers[node] = Peer(host, int(port))
        logger.bind(entries=len(self._peers)).info('entries_changed')


class Registrar:
    """Keeps this entry registered."""

    def __init__(
        self,
        cfg: DirectSettings,
        store: MetadataStore,
        prefix: str,
    ) -> None:
        host = cfg.listen.rpartition(':')[0]
        self._key: Final = f'{prefix}{cfg.node}'
        self._value: Final = f'{host}:{cfg.peer_port}'.encode()
        self._store: Final = store
        self._lease = 0

    async def run(self) -> None:
        """Register, and renew, until cancelled."""
        while True:
            failure = await self._step()
            if failure is None:
                await anyio.sleep(RENEW_S)
                continue
            if failure.kind is ErrorKind.CONFLICT:
                self._lease = 0
            await anyio.sleep(RETRY_S)

    async def _step(self) -> Failure | None:
        if self._lease:
            return await self._store.renew_lease(self._lease)
        lease = await self._store.grant_lease(LEASE_S)
        if isinstance(lease, Failure):
            return lease
        failure = await self._store.put(self._key, self._value, lease)
        if failure is None:
            self._lease = lease
        return failure


def _rank(peer: tuple[str, Peer]) -> int:
    return xxhash.xxh64_intdigest(peer[0].encode())
