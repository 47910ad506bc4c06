"""Distributes new configuration generations among processes.

A few entries watch the key-value service. All other processes learn the
number of the newest generation from heartbeats and pull its head, and the
parts that they lack, from a peer that has it. A process never returns to an
older generation, whatever it receives.

Pulling is driven by the messages of the peers and needs no task of its own.
A request without a response for `PULL_RETRY_INTERVAL_S` is sent again, to the
next peer that reports a newer generation.
"""

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio
import xxhash
from loguru import logger

from masticwind.config.current import CurrentConfig
from masticwind.config.heads import HeadReader, StoredHead, parse_head
from masticwind.config.model import Generation
from masticwind.config.parts import Head, PartCache
from masticwind.errors import Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    AnyMessage,
    ConfigData,
    ConfigRequest,
    Heartbeat,
)

MAX_WATCHERS: Final = 3
WATCH_TIMEOUT_S: Final = 20.0
MAX_WATCH_DELAY_S: Final = 0.5
# An entry that does not watch still reads the head at a random interval in
# this range, in case all watchers fail before the instance list shows it.
# With 530 entries this costs about 27 reads per second.
MIN_POLL_INTERVAL_S: Final = 10.0
MAX_POLL_INTERVAL_S: Final = 30.0
# An entry that has known of a newer generation for this long without getting
# it from its peers reads it from the key-value service.
PEER_SYNC_TIMEOUT_S: Final = 2.0
RANK_CHECK_INTERVAL_S: Final = 0.5
# A request without a response for this long is sent to another peer.
PULL_RETRY_INTERVAL_S: Final = 0.6
# A digest takes about 45 bytes in a request and a bucket about 3 KB in the
# response, so one request transfers about 200 KB.
MAX_DIGESTS_PER_REQUEST: Final = 64
# Limit for a response with more than one part. A single part may be as large
# as a value of the key-value service, which still fits into one frame.
MAX_RESPONSE_BYTES: Final = 262_144


@dataclass(slots=True)
class PeerGeneration:
    """The last reported generation of one peer."""

    channel: Channel
    generation: int
    last_heard_at: float


@dataclass(slots=True)
class _HeadState:
    """A head, its encoded form and when its parts were last requested."""

    head: Head
    encoded_head: bytes
    parts_requested_at: float = 0.0


class ConfigSync:
    """Exchanges the current generation, in its stored form, with peers."""

    def __init__(
        self,
        config: CurrentConfig,
        *,
        with_teams: bool = True,
    ) -> None:
        self.config: Final = config
        self.parts: Final = PartCache(with_teams=with_teams)
        self._current: _HeadState | None = None
        self._pending: _HeadState | None = None
        self._head_requested_at = 0.0
        self._newer_known_since = 0.0
        self._peers: Final[dict[str, PeerGeneration]] = {}

    @property
    def is_behind(self) -> bool:
        """Whether a newer generation is known but has not arrived in time."""
        if not self._newer_known_since:
            return False
        return time.monotonic() - self._newer_known_since > PEER_SYNC_TIMEOUT_S

    @property
    def peers(self) -> Sequence[PeerGeneration]:
        """Peers with an open connection and their last reported generation."""
        for node in list(self._peers):
            if self._peers[node].channel.closed:
                self._peers.pop(node)
        return tuple(self._peers.values())

    def handle_message(self, channel: Channel, message: AnyMessage) -> bool:
        """Handle a message; return whether no other handler needs it."""
        match message:
            case Heartbeat():
                self._record_generation(channel, message.generation)
                return False
            case ConfigRequest():
                self._answer_request(channel, message)
            case ConfigData():
                self._handle_data(channel, message)
            case _:
                return False
        return True

    def record_hello(self, channel: Channel) -> None:
        """Record the generation that a peer reported in its `Hello`."""
        self._record_generation(channel, channel.peer.generation)

    def adopt(self, head: Head, encoded_head: bytes) -> Failure | None:
        """Make the generation of `head` current; all its parts are cached."""
        config = self.parts.build_configuration(head)
        if isinstance(config, Failure):
            return config
        generation = Generation(number=head.number, config=config)
        if not self.config.adopt(generation):
            return None
        self._newer_known_since = 0.0
        self._current = _HeadState(head, encoded_head)
        if (
            self._pending is not None
            and self._pending.head.number <= head.number
        ):
            self._pending = None
        kept = [head] if self._pending is None else [head, self._pending.head]
        self.parts.keep_only(kept)
        logger.bind(generation=head.number).info('config_adopted')
        self._announce_generation()
        return None

    def _announce_generation(self) -> None:
        """Notify peers at once instead of with the next heartbeat."""
        for peer in self.peers:
            if peer.generation < self.config.number:
                peer.channel.send(ConfigData(generation=self.config.number))

    def _record_generation(self, channel: Channel, generation: int) -> None:
        now = time.monotonic()
        self._peers[channel.peer.node] = PeerGeneration(
            channel, generation, now
        )
        if generation <= self.config.number:
            return
        self._newer_known_since = self._newer_known_since or now
        pending = self._pending
        if pending is not None and pending.head.number >= generation:
            if now - pending.parts_requested_at > PULL_RETRY_INTERVAL_S:
                self._request_parts(channel, pending)
            return
        if now - self._head_requested_at > PULL_RETRY_INTERVAL_S:
            self._head_requested_at = now
            channel.send(ConfigRequest())

    def _answer_request(self, channel: Channel, request: ConfigRequest) -> None:
        if not request.digests:
            if self._current is not None:
                channel.send(
                    ConfigData(
                        generation=self._current.head.number,
                        head=self._current.encoded_head,
                    )
                )
            return
        parts: dict[str, bytes] = {}
        size = 0
        for digest in request.digests[:MAX_DIGESTS_PER_REQUEST]:
            content = self.parts.get(digest)
            if content is None:
                continue
            if parts and size + len(content) > MAX_RESPONSE_BYTES:
                break
            parts[digest] = content
            size += len(content)
        channel.send(ConfigData(generation=self.config.number, parts=parts))

    def _handle_data(self, channel: Channel, message: ConfigData) -> None:
        if message.head:
            self._handle_head(channel, message.head)
        elif message.parts:
            self._handle_parts(channel, message)
        else:
            self._record_generation(channel, message.generation)

    def _handle_head(self, channel: Channel, encoded_head: bytes) -> None:
        self._head_requested_at = 0.0
        head = parse_head(encoded_head)
        if isinstance(head, Failure):
            logger.bind(reason=head.reason).warning('config_head_refused')
            return
        newest = self.config.number
        if self._pending is not None:
            newest = max(newest, self._pending.head.number)
        if head.number <= newest:
            return
        self._pending = _HeadState(head, encoded_head)
        self._continue_pull(channel)

    def _handle_parts(self, channel: Channel, message: ConfigData) -> None:
        if self._pending is None:
            return
        wanted = set(self.parts.missing_digests(self._pending.head))
        added = [
            digest
            for digest, content in message.parts.items()
            if digest in wanted and self.parts.add(digest, content)
        ]
        if added:
            self._continue_pull(channel)

    def _continue_pull(self, channel: Channel) -> None:
        """Request missing parts, or adopt the generation if none is missing."""
        pending = self._pending
        assert pending is not None
        if self.parts.missing_digests(pending.head):
            self._request_parts(channel, pending)
            return
        failure = self.adopt(pending.head, pending.encoded_head)
        if failure is not None:
            logger.bind(reason=failure.reason).warning('config_refused')
        self._pending = None

    def _request_parts(self, channel: Channel, pending: _HeadState) -> None:
        pending.parts_requested_at = time.monotonic()
        missing = self.parts.missing_digests(pending.head)
        request = ConfigRequest(
            digests=tuple(missing[:MAX_DIGESTS_PER_REQUEST])
        )
        self._select_source(channel, pending).send(request)

    def _select_source(self, channel: Channel, pending: _HeadState) -> Channel:
        """Return the channel to pull from; agents do not keep the teams."""
        if channel.peer.role == 'entry':
            return channel
        entries = [
            peer.channel
            for peer in self.peers
            if peer.channel.peer.role == 'entry'
            and peer.generation >= pending.head.number
        ]
        return random.choice(entries) if entries else channel


class ConfigWatcher:
    """Watches the head in the key-value service if this entry is selected.

    The `MAX_WATCHERS` entries that rank first by rendezvous hashing watch.
    `entry_names` holds the names of the other known entries and is updated by
    the owner; an entry that knows of no other watches.
    """

    def __init__(self, reader: HeadReader, sync: ConfigSync, node: str) -> None:
        self.entry_names: frozenset[str] = frozenset()
        self._reader: Final = reader
        self._sync: Final = sync
        self._node: Final = node
        self._revision = -1

    @property
    def is_watching(self) -> bool:
        """Whether this entry is selected to watch."""
        ranked = rank_by_rendezvous_hash(
            self.entry_names | {self._node}, 'config'
        )
        return self._node in ranked[:MAX_WATCHERS]

    async def run(self) -> None:
        """Keep the current generation up to date until cancelled."""
        await self._read_once()
        while True:
            if self.is_watching:
                await self._watch_once()
                continue
            with anyio.move_on_after(
                random.uniform(MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S)
            ):
                while not (self.is_watching or self._sync.is_behind):
                    await anyio.sleep(RANK_CHECK_INTERVAL_S)
            if not self.is_watching:
                await self._read_once()

    async def _read_once(self) -> None:
        stored = await self._reader.read_head()
        if not isinstance(stored, Failure):
            await self._load_if_newer(stored)

    async def _watch_once(self) -> None:
        before = self._sync.config.number
        stored = await self._reader.wait_for_head(
            self._revision, WATCH_TIMEOUT_S
        )
        if not isinstance(stored, Failure):
            await self._load_if_newer(stored)
        if self._sync.config.number == before:
            # The delay limits the rate of calls that fail or return at once;
            # the jitter keeps watchers from calling at the same time.
            await anyio.sleep(
                random.uniform(MAX_WATCH_DELAY_S / 2, MAX_WATCH_DELAY_S)
            )

    async def _load_if_newer(self, stored: StoredHead) -> None:
        """Load and adopt the generation of a stored head if it is newer."""
        if stored.head is None or stored.number <= self._sync.config.number:
            self._revision = max(self._revision, stored.revision)
            return
        failure = await self._reader.fetch_parts(stored.head, self._sync.parts)
        if failure is None:
            failure = self._sync.adopt(stored.head, stored.content)
        if failure is not None:
            logger.bind(reason=failure.reason).warning('config_load')
            return
        self._revision = max(self._revision, stored.revision)


def rank_by_rendezvous_hash(names: frozenset[str], key: str) -> list[str]:
    """Return `names` ordered by their rendezvous hash for `key`."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()),
    )
