"""Connections of an entry to a few other entries.

Over them the entries tell each other which generation of the configuration
is in force and pull what they lack, and report the demand of teams with
limits. The instance list gives the address of an entry's inner listener.
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
from masticwind.entry.limits import DemandShares
from masticwind.node import Node
from masticwind.protocol.channel import Channel
from masticwind.protocol.dialer import keep_connected
from masticwind.protocol.listener import Listener, PeerHandler
from masticwind.protocol.messages import AnyMessage, Usage
from masticwind.settings import Address, EntrySettings
from masticwind.store.base import Instance

InnerAddress = tuple[str, int]


class _EntryPeer(PeerHandler):
    """Passes the messages of other entries on."""

    def __init__(self, sync: ConfigSync) -> None:
        self._sync: Final = sync
        self._channels: Final[dict[str, Channel]] = {}
        self.shares: DemandShares | None = None

    @property
    def channels(self) -> Sequence[Channel]:
        """One open connection for each connected entry."""
        for node in list(self._channels):
            if self._channels[node].closed:
                self._channels.pop(node)
        return tuple(self._channels.values())

    def load(self) -> None:
        """An entry reports no load."""

    async def handle(self, channel: Channel, message: AnyMessage) -> None:
        """Act on a message about the configuration or usage."""
        if isinstance(message, Usage):
            if self.shares is not None:
                self.shares.record_report(channel.peer.node, message.rates)
            return
        self._sync.handle_message(channel, message)

    def opened(self, channel: Channel) -> None:
        """Note the generation that the peer named in its `Hello`."""
        self._sync.record_hello(channel)
        if channel.peer.role == 'entry':
            self._channels[channel.peer.node] = channel

    def lost(self, channel: Channel) -> None:
        """A closed channel is dropped when the peers are next listed."""


@dataclass(frozen=True, slots=True)
class NeighbourParts:
    """What the connections to other entries work with."""

    cfg: EntrySettings
    node: Node
    sync: ConfigSync
    watcher: ConfigWatcher


class Neighbours:
    """The inner listener of an entry and its connections to others."""

    def __init__(self, parts: NeighbourParts) -> None:
        self._parts: Final = parts
        self._handler: Final = _EntryPeer(parts.sync)
        self._listener: Final = Listener(
            parts.node,
            parts.cfg.inner,
            parts.cfg.peers,
            parts.sync.config,
            self._handler,
        )
        self._wanted: frozenset[InnerAddress] = frozenset()
        self._changed = anyio.Event()
        self._scopes: Final[dict[InnerAddress, anyio.CancelScope]] = {}

    @property
    def port(self) -> int:
        """TCP port of the inner listener."""
        return self._listener.port

    def update(self, listed: Sequence[Instance]) -> None:
        """Follow the instance list."""
        own = self._parts.node.name
        others = {
            one.node: (one.host, one.port)
            for one in listed
            if one.role == 'entry' and one.state == 'live' and one.node != own
        }
        self._parts.watcher.entry_names = frozenset(others)
        # Each entry ranks the others by its own name, so the connections
        # form a random graph, which stays connected when some entries fail.
        ranked = rank_by_rendezvous_hash(frozenset(others), own)
        chosen = ranked[: self._parts.cfg.peers.neighbours]
        wanted = frozenset(others[node] for node in chosen)
        if wanted != self._wanted:
            self._wanted = wanted
            self._changed.set()

    def start_usage_exchange(self, shares: DemandShares) -> None:
        """Report the usage in `shares`, and give it the reports of others."""
        self._handler.shares = shares

    async def run(self) -> None:
        """Accept and keep connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._listener.run)
            tasks.start_soon(self._report_usage)
            while True:
                await self._changed.wait()
                self._changed = anyio.Event()
                self._dial_wanted(tasks)

    async def _report_usage(self) -> None:
        shares = self._handler.shares
        while shares is not None:
            await anyio.sleep(self._parts.cfg.peers.heartbeat_ms / MS_PER_S)
            message = Usage(shares.local_report())
            channels = self._handler.channels
            # An entry that lacks a report splits evenly, so in a fleet where
            # not all entries are connected the reports would not be used.
            if len(channels) < shares.live_entry_count - 1:
                continue
            for channel in channels:
                channel.send(message)

    def _dial_wanted(self, tasks: TaskGroup) -> None:
        for address in list(self._scopes):
            if address not in self._wanted:
                self._scopes.pop(address).cancel()
        for address in self._wanted:
            if address not in self._scopes:
                scope = anyio.CancelScope()
                self._scopes[address] = scope
                tasks.start_soon(self._keep, address, scope)

    async def _keep(
        self,
        address: InnerAddress,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            await keep_connected(
                Address(host=address[0], port=address[1]),
                self._parts.node,
                self._parts.cfg.peers,
                self._parts.sync.config,
                self._handler,
            )
