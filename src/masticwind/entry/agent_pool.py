"""Connections of an entry to its agents, and what it knows of their load.

A link outlives its connection: when a connection is lost, attempts that are
under way are told, and told again when the link has a new connection, so
that they can resume.
"""

import enum
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig
from masticwind.config.distribute import ConfigSync
from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_subset import choose_subset
from masticwind.entry.neighbours import Neighbours
from masticwind.errors import Failure
from masticwind.node import Node
from masticwind.protocol.channel import Channel
from masticwind.protocol.dialer import keep_connected
from masticwind.protocol.listener import PeerHandler
from masticwind.protocol.messages import (
    Accepted,
    AnyMessage,
    CacheBlocks,
    CallResult,
    End,
    Heartbeat,
    Load,
    Message,
    Output,
    Refused,
    Reserved,
    Revoked,
)
from masticwind.settings import Address, EntrySettings
from masticwind.store.base import Instance, InstanceList

# Longer than a request may wait for its agent's next connection.
UNLISTED_GRACE_S: Final = 10.0
AttemptKey = tuple[str, int]


class LinkEvent(enum.Enum):
    """What happened to the connection under an attempt."""

    LOST = 'lost'
    RESTORED = 'restored'


AttemptMessage = (
    Accepted | Refused | Output | End | Revoked | CallResult | Reserved
)


class Inbox:
    """What has arrived for one attempt and was not read yet."""

    def __init__(self) -> None:
        self._items: Final = deque[AttemptMessage | LinkEvent]()
        self._wake = anyio.Event()

    def put(self, item: AttemptMessage | LinkEvent) -> None:
        """Add an item."""
        self._items.append(item)
        self._wake.set()

    async def get(self) -> AttemptMessage | LinkEvent:
        """Wait for the next item."""
        while not self._items:
            self._wake = anyio.Event()
            await self._wake.wait()
        return self._items.popleft()


class AgentLink(PeerHandler):
    """One agent as this entry sees it."""

    def __init__(
        self,
        instance: Instance,
        affinity: AffinityIndex,
        sync: ConfigSync | None = None,
    ) -> None:
        self.instance = instance
        self._affinity: Final = affinity
        self._sync: Final = sync
        self.reported_load: Load | None = None
        self.load_received_at = 0.0
        self.incarnation = ''
        self.endpoint = ''
        # Listed, but no longer in the subset of this entry.
        self.outside_subset = False
        self.outstanding_tokens = 0
        self.outstanding_requests = 0
        self.disconnected_at = time.monotonic()
        self._leaving_incarnation = ''
        self._leaving = False
        self._channel: Channel | None = None
        self._inboxes: Final[dict[AttemptKey, Inbox]] = {}

    @property
    def connected(self) -> bool:
        """Whether messages can be sent now."""
        return self._channel is not None and not self._channel.closed

    @property
    def leaving(self) -> bool:
        """Whether the agent leaves, as listed or as it says itself.

        An agent that was leaving stays so until it restarts: the instance
        list lags, and an older state of it may be read after a newer one.
        """
        load = self.reported_load
        if load is not None and load.state == 'draining':
            self.mark_leaving()
        return self._leaving or self.outside_subset

    @property
    def has_attempts(self) -> bool:
        """Whether attempts are under way."""
        return bool(self._inboxes)

    def mark_leaving(self) -> None:
        """Give no new work to this incarnation of the agent."""
        self._leaving = True
        self._leaving_incarnation = self.incarnation

    def is_removable(self) -> bool:
        """Whether an unlisted agent has been gone for long enough.

        Its requests have until then to resume on another connection.
        """
        if self.connected or self._inboxes:
            return False
        return time.monotonic() - self.disconnected_at > UNLISTED_GRACE_S

    def send(self, message: Message) -> bool:
        """Send a control message; false if there is no connection."""
        return self._channel is not None and self._channel.send(message)

    @property
    def channel(self) -> Channel | None:
        """The current connection."""
        return self._channel

    def register_attempt(self, key: AttemptKey) -> Inbox:
        """Register an attempt and return its inbox."""
        inbox = Inbox()
        self._inboxes[key] = inbox
        return inbox

    def unregister_attempt(self, key: AttemptKey) -> None:
        """Drop whatever still arrives for an attempt."""
        self._inboxes.pop(key, None)

    def load(self) -> None:
        """An entry reports no load."""

    def opened(self, channel: Channel) -> None:
        """Use a new connection and tell the attempts."""
        self._channel = channel
        if self._sync is not None:
            self._sync.record_hello(channel)
        # What the last connection said may be out of date by now.
        self.reported_load = None
        if channel.peer.incarnation != self._leaving_incarnation:
            self._leaving = False
        self.incarnation = channel.peer.incarnation
        self.endpoint = channel.peer.endpoint
        self._tell(LinkEvent.RESTORED)

    def lost(self, channel: Channel) -> None:
        """Tell the attempts that the connection is gone."""
        if self._channel is channel:
            self._channel = None
            self.disconnected_at = time.monotonic()
            self._tell(LinkEvent.LOST)

    async def handle(self, channel: Channel, message: AnyMessage) -> None:
        """Take a heartbeat, or pass a message to its attempt."""
        if self._sync is not None and self._sync.handle_message(
            channel, message
        ):
            return
        if isinstance(message, Heartbeat):
            if message.load is not None and channel is self._channel:
                self.reported_load = message.load
                self.load_received_at = time.monotonic()
        elif isinstance(message, CacheBlocks):
            self._apply_cache_blocks(message)
        elif isinstance(message, AttemptMessage):
            inbox = self._inboxes.get((message.request_id, message.attempt))
            if inbox is not None:
                inbox.put(message)

    def _apply_cache_blocks(self, message: CacheBlocks) -> None:
        node = self.instance.node
        if message.reset:
            self._affinity.forget(node)
        self._affinity.remove(node, message.removed)
        self._affinity.add(node, message.added)

    def _tell(self, event: LinkEvent) -> None:
        for inbox in self._inboxes.values():
            inbox.put(event)


@dataclass(frozen=True, slots=True)
class PoolParts:
    """What an agent pool works with."""

    cfg: EntrySettings
    node: Node
    config: CurrentConfig
    instances: InstanceList
    affinity: AffinityIndex
    sync: ConfigSync | None = None
    neighbours: Neighbours | None = None


class AgentPool:
    """The links of this entry, kept in step with the instance list."""

    def __init__(self, parts: PoolParts) -> None:
        self._parts: Final = parts
        self._links: Final[dict[tuple[str, int], AgentLink]] = {}
        self._scopes: Final[dict[tuple[str, int], anyio.CancelScope]] = {}
        self._live_entry_count = 1
        self._own_zone_agent_count = 0

    @property
    def links(self) -> Sequence[AgentLink]:
        """All links, connected or not."""
        return tuple(self._links.values())

    @property
    def live_entry_count(self) -> int:
        """Entries in the instance list, at least this one."""
        return self._live_entry_count

    @property
    def own_zone_agent_count(self) -> int:
        """Live agents of the entry's own zone in the instance list."""
        return self._own_zone_agent_count

    async def run(self) -> None:
        """Follow the instance list until cancelled."""
        interval_s = self._parts.cfg.instances_poll_ms / MS_PER_S
        async with anyio.create_task_group() as tasks:
            while True:
                listed = await self._parts.instances.instances()
                if not isinstance(listed, Failure):
                    self._update(listed, tasks)
                await anyio.sleep(interval_s)

    def _update(self, listed: Sequence[Instance], tasks: TaskGroup) -> None:
        if self._parts.neighbours is not None:
            self._parts.neighbours.update(listed)
        entries = sum(
            one.role == 'entry' and one.state != 'leaving' for one in listed
        )
        self._live_entry_count = max(1, entries)
        cfg = self._parts.cfg
        self._own_zone_agent_count = sum(
            one.role == 'agent' and one.zone == cfg.zone and one.state == 'live'
            for one in listed
        )
        chosen = choose_subset(cfg, listed)
        wanted = {(one.host, one.port): one for one in chosen}
        for address, instance in wanted.items():
            link = self._links.get(address)
            if link is not None and link.instance != instance:
                link = self._update_listing(address, instance)
            if link is None:
                link = AgentLink(
                    instance,
                    self._parts.affinity,
                    self._parts.sync,
                )
                self._links[address] = link
                tasks.start_soon(self._keep, address, link)
            link.outside_subset = False
            if instance.state == 'leaving':
                link.mark_leaving()
        known = {(one.host, one.port) for one in listed}
        for address in list(self._links):
            if address not in wanted:
                self._drop(address, listed=address in known)

    def _update_listing(
        self,
        address: tuple[str, int],
        instance: Instance,
    ) -> AgentLink | None:
        """Take a changed listing; none if the address has a new owner."""
        link = self._links[address]
        if link.instance.node == instance.node or not link.is_removable():
            link.instance = instance
            return link
        self._drop(address, listed=False)
        return None

    def _drop(self, address: tuple[str, int], *, listed: bool) -> None:
        """Drop a link whose agent is gone or no longer in the subset.

        An unlisted agent that answers is kept: the list lags, and a stale
        read of it must not end connections.
        """
        link = self._links[address]
        link.outside_subset = listed
        keep = link.has_attempts if listed else not link.is_removable()
        if keep:
            return
        logger.bind(peer=link.instance.node).info('agent_dropped')
        self._links.pop(address)
        scope = self._scopes.pop(address, None)
        if scope is not None:
            scope.cancel()

    async def _keep(self, address: tuple[str, int], link: AgentLink) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[address] = scope
            await keep_connected(
                Address(host=address[0], port=address[1]),
                self._parts.node,
                self._parts.cfg.peers,
                self._parts.config,
                link,
            )
