"""Discovery of the other entries through the metadata store.

Every entry registers the address of its datagram socket under a lease.
"""

import random
from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio
import xxhash
from loguru import logger

from masticwind.budget import boot_time
from masticwind.decoding import parse_with
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.addresses import parse_ip_address
from masticwind.serving.admission.bounds import EntryFleet
from masticwind.serving.datagrams import PeerAddress
from masticwind.serving.endpoint_limits import PermitAuthorities
from masticwind.serving.mirror import Mirror, Sink
from masticwind.serving.settings import DirectSettings
from masticwind.serving.store import Item, Lease, MetadataStore
from masticwind.serving.unreadable import UnreadableLog

# Assumed number of entries until the registrations have been read.
INITIAL_ENTRY_COUNT: Final = 8
LEASE_TTL_S: Final = 4.0
# Within this time after a store outage, live entries are registered again;
# this takes a failed renewal and a new lease.
UNREGISTERED_TTL_S: Final = 5.0
# Bounds the memory, since anyone can send datagrams.
MAX_UNREGISTERED: Final = 1000
# Entries send their load every second; one that has sent nothing for this time
# is not asked for confirmations.
SILENCE_TIMEOUT_S: Final = 2.5
RENEW_INTERVAL_S: Final = 1.3
RETRY_DELAY_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Unregistered:
    """An entry without a registration.

    `last_seen` is the time of its last datagram, or of the registration's end.
    """

    peer: PeerAddress
    last_seen: float


class EntryPeers(Sink, EntryFleet, PermitAuthorities):
    """The registered entries, this one included.

    During a store outage all registrations can expire although the entries
    are alive, and datagrams of a new entry arrive before its registration is
    read. Such entries are counted for `UNREGISTERED_TTL_S` after they were
    last seen, so that no entry takes too large a share of a limit that holds
    for all entries together.
    """

    def __init__(self, cfg: DirectSettings) -> None:
        self._node: Final = cfg.node
        self._peers: dict[str, PeerAddress] = {}
        self._unregistered: Final[dict[str, _Unregistered]] = {}
        self._last_seen: Final[dict[str, float]] = {}
        self._ranks: Final[dict[str, int]] = {}
        self._permit_granters: Final[dict[str, str]] = {}
        self._unreadable: Final = UnreadableLog('entry_unreadable')
        self._loaded = False
        self._changed_at = boot_time()

    def count(self) -> int:
        """Return how many entries may be alive."""
        self._remove_silent()
        return len(self._peers) + len(self._unregistered) or INITIAL_ENTRY_COUNT

    def rank_for(self, endpoint: str) -> int:
        """Return this entry's rank in the order of entries for an endpoint.

        Entries are ordered by a hash of the endpoint's and the entry's name
        (rendezvous hashing): entries that know the same entries agree on the
        order, and one that joins or leaves moves each other one by at most
        one place.
        """
        self._remove_silent()
        rank = self._ranks.get(endpoint)
        if rank is None:
            own = _rendezvous_hash(endpoint, self._node)
            nodes = self._nodes() - {self._node}
            rank = sum(_rendezvous_hash(endpoint, node) < own for node in nodes)
            self._ranks[endpoint] = rank
        return rank

    def permit_granter(self, endpoint: str) -> str:
        """Return the entry that ranks first for an endpoint.

        Before the registrations have been read, it is unknown: ''.
        """
        self._remove_silent()
        if not self._loaded:
            return ''
        granter = self._permit_granters.get(endpoint)
        if granter is None:
            granter = min(
                self._nodes() | {self._node},
                key=partial(_rendezvous_hash, endpoint),
            )
            self._permit_granters[endpoint] = granter
        return granter

    def grants_permits(self, identity: str) -> bool:
        """Tell whether this entry ranks first for an endpoint."""
        return self.permit_granter(identity) == self._node

    @property
    def loaded(self) -> bool:
        """Whether the registrations have been read."""
        return self._loaded

    @property
    def is_registered(self) -> bool:
        """Whether this entry is among the registered ones."""
        return self._node in self._peers

    def changed_at(self) -> float:
        """Return the `boot_time` at which other entries were last seen."""
        return self._changed_at

    def address_of(self, node: str) -> PeerAddress | None:
        """Return the address of another entry."""
        peer = self._peers.get(node)
        if peer is None and node in self._unregistered:
            return self._unregistered[node].peer
        return peer

    def others(self) -> list[PeerAddress]:
        """Return the addresses of the other entries."""
        self._remove_silent()
        unregistered = {
            node: entry.peer for node, entry in self._unregistered.items()
        }
        known = {**unregistered, **self._peers}
        return [peer for node, peer in known.items() if node != self._node]

    def record_seen(self, node: str, peer: PeerAddress) -> None:
        """Record that a datagram of another entry has arrived."""
        now = boot_time()
        if node in self._peers:
            self._last_seen[node] = now
            return
        if (
            node in self._unregistered
            or len(self._unregistered) < MAX_UNREGISTERED
        ):
            if node not in self._unregistered:
                self._forget_orders()
            self._unregistered[node] = _Unregistered(peer, now)

    def first_by_hash(self, count: int) -> list[tuple[str, PeerAddress]]:
        """Return the first `count` live entries, on which all entries agree.

        They are ordered by a hash of their names, which spreads them over the
        availability zones. Entries silent for too long are left out.
        """
        oldest = boot_time() - SILENCE_TIMEOUT_S
        alive = [
            (node, peer)
            for node, peer in self._peers.items()
            if self._last_seen.get(node, oldest) >= oldest
        ]
        return sorted(alive, key=_node_hash)[:count]

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Replace the registered entries by a complete listing."""
        self._loaded = True
        listed = {_node_of(item) for item in items}
        for node in list(self._peers):
            if node not in listed:
                self._unregister(node)
        self.apply_changes(items)

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changed and removed registrations."""
        nodes = self._nodes()
        for item in items:
            node = _node_of(item)
            if item.value is None:
                self._unreadable.forget(item.key)
                self._unregister(node)
                continue
            peer = parse_with(
                _parse_peer_address, item.value, ErrorKind.INVALID_CONFIG
            )
            if isinstance(peer, Failure):
                self._unreadable.report(item.key, peer)
                # This entry is alive, whatever its key says.
                if node != self._node:
                    self._unregister(node)
                continue
            self._unreadable.forget(item.key)
            self._peers[node] = peer
            self._unregistered.pop(node, None)
        if self._nodes() != nodes:
            self._forget_orders()
        logger.bind(entries=len(self._peers)).info('entries_changed')

    def _nodes(self) -> set[str]:
        return {*self._peers, *self._unregistered}

    def _forget_orders(self) -> None:
        self._ranks.clear()
        self._permit_granters.clear()
        self._changed_at = boot_time()

    def _unregister(self, node: str) -> None:
        peer = self._peers.pop(node, None)
        self._last_seen.pop(node, None)
        if peer is not None:
            self._unregistered[node] = _Unregistered(peer, boot_time())

    def _remove_silent(self) -> None:
        for node, entry in list(self._unregistered.items()):
            if boot_time() - entry.last_seen > UNREGISTERED_TTL_S:
                self._unregistered.pop(node)
                self._forget_orders()


class Registrar:
    """Keeps this entry registered in the store.

    A renewal proves nothing about the key: the store may have lost it and
    granted the id of the lease again. So the entry also registers again in
    each era of the store, and if its copy of the registrations lacks its own.
    """

    def __init__(
        self,
        cfg: DirectSettings,
        store: MetadataStore,
        entries: Mirror,
        peers: EntryPeers,
    ) -> None:
        host = cfg.listen.rpartition(':')[0]
        self._key: Final = f'{entries.prefix}{cfg.node}'
        self._value: Final = f'{host}:{cfg.peer_port}'.encode()
        self._store: Final = store
        self._entries: Final = entries
        self._peers: Final = peers
        self._lease: Lease | None = None
        self._registered_at = boot_time()

    async def run(self) -> None:
        """Register this entry and renew its lease until cancelled."""
        while True:
            failure = await self._register_or_renew()
            if failure is None:
                await self._wait_for_renewal()
                continue
            if failure.kind is ErrorKind.CONFLICT:
                self._lease = None
            await anyio.sleep(RETRY_DELAY_S)

    async def _wait_for_renewal(self) -> None:
        with anyio.move_on_after(RENEW_INTERVAL_S):
            while not self._is_registration_lost():
                # Spreads the writes of all entries after a restore.
                await anyio.sleep(random.uniform(0.5, 1) * RETRY_DELAY_S)

    async def _register_or_renew(self) -> Failure | None:
        if self._lease is not None and not self._is_registration_lost():
            return await self._store.renew_lease(self._lease)
        lease = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(lease, Failure):
            return lease
        failure = await self._store.put(self._key, self._value, lease)
        if failure is None:
            self._lease = lease
            self._registered_at = boot_time()
            logger.bind(key=self._key, era=lease.era).info('entry_registered')
        return failure

    def _is_registration_lost(self) -> bool:
        if self._lease is None or self._lease.era != self._store.eras.newest:
            return True
        registered_for_s = boot_time() - self._registered_at
        return (
            self._entries.age_s() < registered_for_s
            and not self._peers.is_registered
        )


def _parse_peer_address(value: bytes) -> PeerAddress:
    address = parse_ip_address(value.decode())
    return PeerAddress(address.host, address.port)


def _node_of(item: Item) -> str:
    return item.key.rpartition('/')[2]


def _rendezvous_hash(endpoint: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{endpoint} {node}'.encode())


def _node_hash(peer: tuple[str, PeerAddress]) -> int:
    return xxhash.xxh64_intdigest(peer[0].encode())
