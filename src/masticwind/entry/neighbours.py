"""Connections of an entry to a few other entries.

Over these connections, entries announce their generation of the configuration,
fetch newer ones, and report the demand of teams with limits. The instance list
has the address of each entry's inner listener.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.budget import MS_PER_S
from masticwind.config.distribute import (
    ConfigSync,
    ConfigWatcher,
    rank_by_rendezvous_hash,
)
from masticwind.entry.crash_gossip import CrashGossip, NamedEntries
from masticwind.entry.limits import DemandShares
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.channel import Channel
from masticwind.protocol.dialer import keep_connected
from masticwind.protocol.listener import Listener, PeerHandler
from masticwind.protocol.messages import (
    MAX_USAGE_CRASHES,
    AnyMessage,
    Usage,
)
from masticwind.settings import Address, EntrySettings
from masticwind.store.base import Instance

InnerAddress = tuple[str, int]


class _EntryPeerHandler(PeerHandler):
    """Handles messages of other entries."""

    def __init__(self, sync: ConfigSync) -> None:
        self._sync: Final = sync
        self._channels: Final[dict[str, Channel]] = {}
        self.shares: DemandShares | None = None
        self.gossip: CrashGossip | None = None

    @property
    def channels(self) -> Sequence[Channel]:
        """One open connection for each connected entry."""
        for node in list(self._channels):
            if self._channels[node].closed:
                self._channels.pop(node)
        return tuple(self._channels.values())

    def load_report(self) -> None:
        """An entry reports no load."""

    async def handle_message(
        self, channel: Channel, message: AnyMessage
    ) -> None:
        """Handle a message about the configuration or usage."""
        if isinstance(message, Usage):
            if self.shares is not None:
                self.shares.record_report(channel.peer.node, message.rates)
            if self.gossip is not None:
                self.gossip.receive(message.crashes)
            return
        self._sync.handle_message(channel, message)

    def connection_opened(self, channel: Channel) -> None:
        """Register a channel and pass the generation in its `Hello` on."""
        self._sync.record_hello(channel)
        if channel.peer.role == 'entry':
            self._channels[channel.peer.node] = channel

    def connection_lost(self, channel: Channel) -> None:
        """Do nothing: `channels` removes closed channels."""


@dataclass(frozen=True, slots=True)
class NeighbourDependencies:
    """Dependencies of the connections to other entries."""

    cfg: EntrySettings
    node: PeerIdentity
    sync: ConfigSync
    watcher: ConfigWatcher


class Neighbours:
    """The inner listener of an entry and its connections to others."""

    def __init__(self, deps: NeighbourDependencies) -> None:
        self._deps: Final = deps
        self._handler: Final = _EntryPeerHandler(deps.sync)
        self._listener: Final = Listener(
            deps.node,
            deps.cfg.inner,
            deps.cfg.peers,
            deps.sync.config,
            self._handler,
        )
        self._target_addresses: frozenset[InnerAddress] = frozenset()
        self._targets_changed = anyio.Event()
        self._scopes: Final[dict[InnerAddress, anyio.CancelScope]] = {}

    @property
    def port(self) -> int:
        """TCP port of the inner listener."""
        return self._listener.port

    def update_instances(self, instances: Sequence[Instance]) -> None:
        """Choose the entries to connect to from the instance list."""
        own_name = self._deps.node.name
        addresses_by_node = {
            instance.node: (instance.host, instance.port)
            for instance in instances
            if instance.role == 'entry'
            and instance.state == 'live'
            and instance.node != own_name
        }
        self._deps.watcher.entry_names = frozenset(addresses_by_node)
        # Each entry ranks the others by a hash that includes its own name, so
        # the connections form a random graph. Such a graph stays connected
        # when some entries fail.
        ranked = rank_by_rendezvous_hash(frozenset(addresses_by_node), own_name)
        chosen = ranked[: self._deps.cfg.peers.neighbours]
        targets = frozenset(addresses_by_node[node] for node in chosen)
        if targets != self._target_addresses:
            self._target_addresses = targets
            self._targets_changed.set()

    def start_usage_exchange(self, shares: DemandShares) -> None:
        """Report the demand in `shares`, and store others' reports in it."""
        self._handler.shares = shares

    def start_crash_gossip(self, gossip: CrashGossip) -> None:
        """Exchange the evidence of crashes with the connected entries."""
        self._handler.gossip = gossip
        gossip.send_to_neighbours = self._send_crashes

    def fleet(self) -> NamedEntries:
        """Return the entries of the instance list."""
        return NamedEntries(
            self._deps.node.name, lambda: self._deps.watcher.entry_names
        )

    async def run(self) -> None:
        """Accept and maintain connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._listener.run)
            tasks.start_soon(self._report_usage)
            while True:
                await self._targets_changed.wait()
                self._targets_changed = anyio.Event()
                self._update_connections(tasks)

    async def _report_usage(self) -> None:
        shares = self._handler.shares
        while shares is not None:
            await anyio.sleep(self._deps.cfg.peers.heartbeat_ms / MS_PER_S)
            if self._handler.gossip is not None:
                self._send_crashes(self._handler.gossip.sample())
            message = Usage(shares.local_report())
            channels = self._handler.channels
            # Without a report of every other entry, limits are split evenly.
            # If not all entries are connected, reports would not be used.
            if len(channels) < shares.live_entry_count - 1:
                continue
            for channel in channels:
                channel.send(message)

    def _send_crashes(self, contents: Sequence[bytes]) -> None:
        shares = self._handler.shares
        if shares is None:
            return
        for start in range(0, len(contents), MAX_USAGE_CRASHES):
            batch = tuple(contents[start : start + MAX_USAGE_CRASHES])
            message = Usage(shares.local_report(), batch)
            for channel in self._handler.channels:
                channel.send(message)

    def _update_connections(self, tasks: TaskGroup) -> None:
        for address in list(self._scopes):
            if address not in self._target_addresses:
                self._scopes.pop(address).cancel()
        for address in self._target_addresses:
            if address not in self._scopes:
                scope = anyio.CancelScope()
                self._scopes[address] = scope
                tasks.start_soon(self._keep_connected, address, scope)

    async def _keep_connected(
        self,
        address: InnerAddress,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            await keep_connected(
                Address(host=address[0], port=address[1]),
                self._deps.node,
                self._deps.cfg.peers,
                self._deps.sync.config,
                self._handler,
            )
