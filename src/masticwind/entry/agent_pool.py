"""Connections of an entry to its agents, with the load that they report.

A link outlives its connections. Its running attempts are notified when a
connection is lost and when a new one is open, so that they can resume.
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
from masticwind.peer_identity import PeerIdentity
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

# Longer than a request waits for a new connection to its agent.
UNLISTED_GRACE_S: Final = 10.0
AttemptKey = tuple[str, int]


class LinkEvent(enum.Enum):
    """A change of the connection that an attempt uses."""

    LOST = 'lost'
    RESTORED = 'restored'


AttemptMessage = (
    Accepted | Refused | Output | End | Revoked | CallResult | Reserved
)


class Inbox:
    """A queue of messages and connection events for one attempt."""

    def __init__(self) -> None:
        self._items: Final = deque[AttemptMessage | LinkEvent]()
        self._item_added = anyio.Event()

    def put(self, item: AttemptMessage | LinkEvent) -> None:
        """Add an item."""
        self._items.append(item)
        self._item_added.set()

    async def get(self) -> AttemptMessage | LinkEvent:
        """Wait for the next item."""
        while not self._items:
            self._item_added = anyio.Event()
            await self._item_added.wait()
        return self._items.popleft()


class AgentLink(PeerHandler):
    """The connection to one agent, its load and its running attempts."""

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
        # In the instance list, but no longer in this entry's subset.
        self.outside_subset = False
        self.outstanding_tokens = 0
        self.outstanding_requests = 0
        self.disconnected_at = time.monotonic()
        self._leaving_incarnation = ''
        self._leaving = False
        self._channel: Channel | None = None
        # The attempts know that the connection is silent or lost.
        self._loss_notified = False
        self._inboxes: Final[dict[AttemptKey, Inbox]] = {}

    @property
    def connected(self) -> bool:
        """Whether messages can be sent now."""
        return self._channel is not None and not self._channel.closed

    @property
    def silent(self) -> bool:
        """Whether the connection is open but silent; its agent may go on."""
        return self.connected and self._loss_notified

    @property
    def leaving(self) -> bool:
        """Whether the agent must get no new requests.

        The instance list or the agent itself says that it is leaving, which
        lasts until it restarts: the instance list is delayed, and an older
        version of it may be read after a newer one. Also true for an agent
        outside this entry's subset.
        """
        load = self.reported_load
        if load is not None and load.state == 'draining':
            self.mark_leaving()
        return self._leaving or self.outside_subset

    @property
    def has_attempts(self) -> bool:
        """Whether attempts are running."""
        return bool(self._inboxes)

    def mark_leaving(self) -> None:
        """Send no new requests to this incarnation of the agent."""
        self._leaving = True
        self._leaving_incarnation = self.incarnation

    def is_removable(self) -> bool:
        """Whether the link of an unlisted agent can be removed.

        Its requests may resume on a new connection for `UNLISTED_GRACE_S`.
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
        """Unregister an attempt; later messages for it are dropped."""
        self._inboxes.pop(key, None)

    def load_report(self) -> None:
        """An entry reports no load."""

    def connection_opened(self, channel: Channel) -> None:
        """Switch to a new connection and notify the attempts."""
        self._channel = channel
        if self._sync is not None:
            self._sync.record_hello(channel)
        # The load reported on the last connection may be outdated.
        self.reported_load = None
        if channel.peer.incarnation != self._leaving_incarnation:
            self._leaving = False
        self.incarnation = channel.peer.incarnation
        self.endpoint = channel.peer.endpoint
        self._loss_notified = False
        self._notify_attempts(LinkEvent.RESTORED)

    def connection_silent(self, channel: Channel) -> None:
        """Notify the attempts, and use the connection until it is replaced."""
        if self._channel is channel:
            self._notify_loss()

    def connection_resumed(self, channel: Channel) -> None:
        """Notify the attempts that the connection works again."""
        if self._channel is channel:
            self._loss_notified = False
            self._notify_attempts(LinkEvent.RESTORED)

    def connection_lost(self, channel: Channel) -> None:
        """Notify the attempts that the connection is lost."""
        if self._channel is channel:
            self._channel = None
            self.disconnected_at = time.monotonic()
            self._notify_loss()

    async def handle_message(
        self, channel: Channel, message: AnyMessage
    ) -> None:
        """Record a heartbeat, or pass a message to its attempt."""
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
            self._affinity.invalidate_agent(node)
        self._affinity.remove(node, message.removed)
        self._affinity.add(node, message.added)

    def _notify_loss(self) -> None:
        if not self._loss_notified:
            self._loss_notified = True
            self._notify_attempts(LinkEvent.LOST)

    def _notify_attempts(self, event: LinkEvent) -> None:
        for inbox in self._inboxes.values():
            inbox.put(event)


@dataclass(frozen=True, slots=True)
class PoolDependencies:
    """Dependencies of an agent pool."""

    cfg: EntrySettings
    node: PeerIdentity
    config: CurrentConfig
    instances: InstanceList
    affinity: AffinityIndex
    sync: ConfigSync | None = None
    neighbours: Neighbours | None = None


class AgentPool:
    """The links of this entry, updated from the instance list."""

    def __init__(self, deps: PoolDependencies) -> None:
        self._deps: Final = deps
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
        """Number of entries in the instance list, at least 1."""
        return self._live_entry_count

    @property
    def own_zone_agent_count(self) -> int:
        """Number of live agents of the entry's own availability zone."""
        return self._own_zone_agent_count

    async def run(self) -> None:
        """Poll the instance list and update the links until cancelled."""
        interval_s = self._deps.cfg.instances_poll_ms / MS_PER_S
        async with anyio.create_task_group() as tasks:
            while True:
                instances = await self._deps.instances.list_instances()
                if not isinstance(instances, Failure):
                    self._apply_instances(instances, tasks)
                await anyio.sleep(interval_s)

    def _apply_instances(
        self, instances: Sequence[Instance], tasks: TaskGroup
    ) -> None:
        if self._deps.neighbours is not None:
            self._deps.neighbours.update_instances(instances)
        entry_count = sum(
            instance.role == 'entry' and instance.state != 'leaving'
            for instance in instances
        )
        self._live_entry_count = max(1, entry_count)
        cfg = self._deps.cfg
        self._own_zone_agent_count = sum(
            instance.role == 'agent'
            and instance.zone == cfg.zone
            and instance.state == 'live'
            for instance in instances
        )
        chosen = choose_subset(cfg, instances)
        wanted = {
            (instance.host, instance.port): instance for instance in chosen
        }
        for address, instance in wanted.items():
            link = self._links.get(address)
            if link is not None and link.instance != instance:
                link = self._update_listing(address, instance)
            if link is None:
                link = AgentLink(
                    instance,
                    self._deps.affinity,
                    self._deps.sync,
                )
                self._links[address] = link
                tasks.start_soon(self._keep_connected, address, link)
            link.outside_subset = False
            if instance.state == 'leaving':
                link.mark_leaving()
        listed_addresses = {(listed.host, listed.port) for listed in instances}
        for address in list(self._links):
            if address not in wanted:
                self._remove_if_unused(
                    address, listed=address in listed_addresses
                )

    def _update_listing(
        self,
        address: tuple[str, int],
        instance: Instance,
    ) -> AgentLink | None:
        """Update a link; none if its address now belongs to another agent."""
        link = self._links[address]
        if link.instance.node == instance.node or not link.is_removable():
            link.instance = instance
            return link
        self._remove_if_unused(address, listed=False)
        return None

    def _remove_if_unused(
        self, address: tuple[str, int], *, listed: bool
    ) -> None:
        """Remove an unused link of an unlisted agent or one outside the subset.

        The link of an unlisted agent is kept while it is connected: the
        instance list is delayed, and a stale read must not end connections.
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

    async def _keep_connected(
        self, address: tuple[str, int], link: AgentLink
    ) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[address] = scope
            await keep_connected(
                Address(host=address[0], port=address[1]),
                self._deps.node,
                self._deps.cfg.peers,
                self._deps.config,
                link,
            )
