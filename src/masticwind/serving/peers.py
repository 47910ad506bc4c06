"""Entries find each other in the metadata store.

Every entry registers the address of its datagram socket under a lease.
"""

from dataclasses import dataclass
from typing import Final

import anyio
import xxhash
from loguru import logger

from masticwind.budget import boot_time
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.bounds import Fleet
from masticwind.serving.datagrams import PeerAddress
from masticwind.serving.mirror import Sink
from masticwind.serving.settings import DirectSettings
from masticwind.serving.store import Item, MetadataStore

# Number of entries until the registrations have been read.
INITIAL_ENTRY_COUNT: Final = 8
LEASE_TTL_S: Final = 4.0
# Entries that are alive are registered again this long after the store's
# return; it takes a failed renewal and a new lease.
UNREGISTERED_TTL_S: Final = 5.0
# Datagrams may come from anywhere.
MAX_UNREGISTERED: Final = 1000
# Entries tell their load every second; one that says nothing for this long
# is not asked.
SILENCE_TIMEOUT_S: Final = 2.5
RENEW_S: Final = 1.3
RETRY_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Unlisted:
    """An entry without a registration and when it last gave a sign."""

    peer: PeerAddress
    at: float


class EntryPeers(Sink, Fleet):
    """The entries that are registered, this one included.

    All registrations can lapse while the store is away, though the entries
    are alive, and a new one is known from its datagrams before it is read
    from the store. Such entries count for `UNREGISTERED_TTL_S` after their last sign,
    so that no entry takes too large a share of what all of them keep to
    together.
    """

    def __init__(self, cfg: DirectSettings) -> None:
        self._node: Final = cfg.node
        self._peers: dict[str, PeerAddress] = {}
        self._unlisted: Final[dict[str, _Unlisted]] = {}
        self._heard: Final[dict[str, float]] = {}
        self._positions: Final[dict[str, int]] = {}

    def count(self) -> int:
        """Return how many entries may be alive."""
        self._forget_silent()
        return len(self._peers) + len(self._unlisted) or INITIAL_ENTRY_COUNT

    def position(self, endpoint: str) -> int:
        """Return this entry's place in an endpoint's order of the entries.

        The order is that of a hash of both names: entries that know the same
        entries agree on it, and one that comes or goes moves no other one by
        more than a place.
        """
        self._forget_silent()
        found = self._positions.get(endpoint)
        if found is None:
            own = _distance(endpoint, self._node)
            nodes = {*self._peers, *self._unlisted} - {self._node}
            found = sum(_distance(endpoint, node) < own for node in nodes)
            self._positions[endpoint] = found
        return found

    def others(self) -> list[PeerAddress]:
        """Return the addresses of the other entries."""
        self._forget_silent()
        unlisted = {node: entry.peer for node, entry in self._unlisted.items()}
        known = {**unlisted, **self._peers}
        return [peer for node, peer in known.items() if node != self._node]

    def record_seen(self, node: str, peer: PeerAddress) -> None:
        """Note a datagram of another entry."""
        now = boot_time()
        if node in self._peers:
            self._heard[node] = now
            return
        if node in self._unlisted or len(self._unlisted) < MAX_UNREGISTERED:
            if node not in self._unlisted:
                self._positions.clear()
            self._unlisted[node] = _Unlisted(peer, now)

    def first_by_hash(self, count: int) -> list[tuple[str, PeerAddress]]:
        """Return the entries that all entries agree to ask first.

        The order is that of a hash of their names, which spreads them over
        the availability zones. Entries that have fallen silent are left out.
        """
        limit = boot_time() - SILENCE_TIMEOUT_S
        alive = [
            (node, peer)
            for node, peer in self._peers.items()
            if self._heard.get(node, limit) >= limit
        ]
        return sorted(alive, key=_rank)[:count]

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Take over a whole listing."""
        listed = {_node_of(item) for item in items}
        for node in list(self._peers):
            if node not in listed:
                self._lapse(node)
        self.apply_changes(items)

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Take over changed and removed registrations."""
        self._positions.clear()
        for item in items:
            node = _node_of(item)
            if item.value is None:
                self._lapse(node)
                continue
            host, _, port = item.value.decode('latin-1').rpartition(':')
            if not port.isdigit():
                logger.bind(key=item.key).warning('entry_unreadable')
                continue
            self._peers[node] = PeerAddress(host, int(port))
            self._unlisted.pop(node, None)
        logger.bind(entries=len(self._peers)).info('entries_changed')

    def _lapse(self, node: str) -> None:
        peer = self._peers.pop(node, None)
        self._heard.pop(node, None)
        if peer is not None:
            self._unlisted[node] = _Unlisted(peer, boot_time())

    def _forget_silent(self) -> None:
        for node, entry in list(self._unlisted.items()):
            if boot_time() - entry.at > UNREGISTERED_TTL_S:
                self._unlisted.pop(node)
                self._positions.clear()


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
        lease = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(lease, Failure):
            return lease
        failure = await self._store.put(self._key, self._value, lease)
        if failure is None:
            self._lease = lease
        return failure


def _node_of(item: Item) -> str:
    return item.key.rpartition('/')[2]


def _distance(endpoint: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{endpoint} {node}'.encode())


def _rank(peer: tuple[str, PeerAddress]) -> int:
    return xxhash.xxh64_intdigest(peer[0].encode())
