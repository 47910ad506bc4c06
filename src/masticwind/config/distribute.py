"""Brings each new generation into this process and on to its peers.

A few entries watch the key-value service. All other processes learn the
number of the newest generation from heartbeats and pull its head and the
parts that they lack from the peer that has it. Whatever arrives, a process
never goes back to an older generation.

Pulling is driven by the messages of the peers. It needs no task of its own:
a request that is not answered is repeated, to whichever peer is heard next,
after `RETRY_S`.
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
WATCH_WAIT_S: Final = 20.0
WATCH_RETRY_S: Final = 0.5
# How often an entry that is no watcher reads the head by itself. It covers
# the case that all watchers fail before the instance list shows it. At 530
# entries this costs about 27 reads a second.
MIN_POLL_S: Final = 10.0
MAX_POLL_S: Final = 30.0
# An entry that has heard of a newer generation for this long without getting
# it from its peers reads it from the service.
BEHIND_S: Final = 2.0
RANK_CHECK_S: Final = 0.5
# A pull that gets no answer for this long is sent to the next peer heard.
RETRY_S: Final = 0.6
# A digest takes about 45 bytes in a request and a bucket about 3 KB in the
# answer, so one step moves about 200 KB.
MAX_DIGESTS: Final = 64
# Parts of one answer, beyond the first: a single part may take up to the
# value limit of the key-value service, which still fits into one frame.
MAX_RESPONSE_BYTES: Final = 262_144


@dataclass(slots=True)
class PeerGeneration:
    """What is known of the generation in force at one peer."""

    channel: Channel
    generation: int
    heard_at: float


@dataclass(slots=True)
class _Pull:
    head: Head
    content: bytes
    asked_at: float = 0.0


class ConfigSync:
    """The generation in force, its stored form, and the exchange of both."""

    def __init__(
        self,
        config: CurrentConfig,
        *,
        with_teams: bool = True,
    ) -> None:
        self.config: Final = config
        self.parts: Final = PartCache(with_teams=with_teams)
        self._head: _Pull | None = None
        self._pull: _Pull | None = None
        self._head_asked_at = 0.0
        self._newer_since = 0.0
        self._peers: Final[dict[str, PeerGeneration]] = {}

    @property
    def is_behind(self) -> bool:
        """Whether a newer generation is known and does not arrive."""
        if not self._newer_since:
            return False
        return time.monotonic() - self._newer_since > BEHIND_S

    @property
    def peers(self) -> Sequence[PeerGeneration]:
        """Peers with an open connection, as last heard."""
        for node in list(self._peers):
            if self._peers[node].channel.closed:
                self._peers.pop(node)
        return tuple(self._peers.values())

    def handle_message(self, channel: Channel, message: AnyMessage) -> bool:
        """Act on a message; false if it has nothing to do with this."""
        match message:
            case Heartbeat():
                self._heard(channel, message.generation)
                return False
            case ConfigRequest():
                self._answer(channel, message)
            case ConfigData():
                self._receive(channel, message)
            case _:
                return False
        return True

    def record_hello(self, channel: Channel) -> None:
        """Note what a peer said about its generation in its `Hello`."""
        self._heard(channel, channel.peer.generation)

    def adopt(self, head: Head, content: bytes) -> Failure | None:
        """Put the generation of `head` in force; all its parts are here."""
        config = self.parts.build_configuration(head)
        if isinstance(config, Failure):
            return config
        generation = Generation(number=head.number, config=config)
        if not self.config.adopt(generation):
            return None
        self._newer_since = 0.0
        self._head = _Pull(head, content)
        if self._pull is not None and self._pull.head.number <= head.number:
            self._pull = None
        kept = [head] if self._pull is None else [head, self._pull.head]
        self.parts.keep_only(kept)
        logger.bind(generation=head.number).info('config_adopted')
        self._announce()
        return None

    def _announce(self) -> None:
        """Tell peers at once, instead of with the next heartbeat."""
        for peer in self.peers:
            if peer.generation < self.config.number:
                peer.channel.send(ConfigData(generation=self.config.number))

    def _heard(self, channel: Channel, generation: int) -> None:
        now = time.monotonic()
        self._peers[channel.peer.node] = PeerGeneration(
            channel, generation, now
        )
        if generation <= self.config.number:
            return
        self._newer_since = self._newer_since or now
        pull = self._pull
        if pull is not None and pull.head.number >= generation:
            if now - pull.asked_at > RETRY_S:
                self._ask_parts(channel, pull)
            return
        if now - self._head_asked_at > RETRY_S:
            self._head_asked_at = now
            channel.send(ConfigRequest())

    def _answer(self, channel: Channel, request: ConfigRequest) -> None:
        if not request.digests:
            if self._head is not None:
                channel.send(
                    ConfigData(
                        generation=self._head.head.number,
                        head=self._head.content,
                    )
                )
            return
        found: dict[str, bytes] = {}
        size = 0
        for digest in request.digests[:MAX_DIGESTS]:
            content = self.parts.get(digest)
            if content is None:
                continue
            if found and size + len(content) > MAX_RESPONSE_BYTES:
                break
            found[digest] = content
            size += len(content)
        channel.send(ConfigData(generation=self.config.number, parts=found))

    def _receive(self, channel: Channel, message: ConfigData) -> None:
        if message.head:
            self._receive_head(channel, message.head)
        elif message.parts:
            self._receive_parts(channel, message)
        else:
            self._heard(channel, message.generation)

    def _receive_head(self, channel: Channel, content: bytes) -> None:
        self._head_asked_at = 0.0
        head = parse_head(content)
        if isinstance(head, Failure):
            logger.bind(reason=head.reason).warning('config_head_refused')
            return
        known = self.config.number
        if self._pull is not None:
            known = max(known, self._pull.head.number)
        if head.number <= known:
            return
        self._pull = _Pull(head, content)
        self._continue(channel)

    def _receive_parts(self, channel: Channel, message: ConfigData) -> None:
        if self._pull is None:
            return
        wanted = set(self.parts.missing_digests(self._pull.head))
        taken = [
            digest
            for digest, content in message.parts.items()
            if digest in wanted and self.parts.add(digest, content)
        ]
        if taken:
            self._continue(channel)

    def _continue(self, channel: Channel) -> None:
        """Ask for what is still missing, or put the generation in force."""
        pull = self._pull
        assert pull is not None
        if self.parts.missing_digests(pull.head):
            self._ask_parts(channel, pull)
            return
        failure = self.adopt(pull.head, pull.content)
        if failure is not None:
            logger.bind(reason=failure.reason).warning('config_refused')
        self._pull = None

    def _ask_parts(self, channel: Channel, pull: _Pull) -> None:
        pull.asked_at = time.monotonic()
        missing = self.parts.missing_digests(pull.head)
        request = ConfigRequest(digests=tuple(missing[:MAX_DIGESTS]))
        self._source(channel, pull).send(request)

    def _source(self, channel: Channel, pull: _Pull) -> Channel:
        """Prefer an entry, because agents do not keep the teams."""
        if channel.peer.role == 'entry':
            return channel
        entries = [
            peer.channel
            for peer in self.peers
            if peer.channel.peer.role == 'entry'
            and peer.generation >= pull.head.number
        ]
        return random.choice(entries) if entries else channel


class ConfigWatcher:
    """Follows the head in the key-value service if this entry ranks first.

    `entries` are the names of the known entries, kept up to date by the
    owner. An entry that knows of no other watches.
    """

    def __init__(self, reader: HeadReader, sync: ConfigSync, node: str) -> None:
        self.entry_names: frozenset[str] = frozenset()
        self._reader: Final = reader
        self._sync: Final = sync
        self._node: Final = node
        self._revision = -1

    @property
    def is_watching(self) -> bool:
        """Whether this entry is one of the few that watch."""
        ranked = rank_by_rendezvous_hash(
            self.entry_names | {self._node}, 'config'
        )
        return self._node in ranked[:MAX_WATCHERS]

    async def run(self) -> None:
        """Keep the generation in force up to date until cancelled."""
        await self._read()
        while True:
            if self.is_watching:
                await self._watch()
                continue
            with anyio.move_on_after(random.uniform(MIN_POLL_S, MAX_POLL_S)):
                while not (self.is_watching or self._sync.is_behind):
                    await anyio.sleep(RANK_CHECK_S)
            if not self.is_watching:
                await self._read()

    async def _read(self) -> None:
        stored = await self._reader.read_head()
        if not isinstance(stored, Failure):
            await self._follow(stored)

    async def _watch(self) -> None:
        before = self._sync.config.number
        stored = await self._reader.wait_for_head(self._revision, WATCH_WAIT_S)
        if not isinstance(stored, Failure):
            await self._follow(stored)
        if self._sync.config.number == before:
            # The pause bounds the rate of calls that fail or return at once;
            # the jitter keeps watchers from returning together.
            await anyio.sleep(random.uniform(WATCH_RETRY_S / 2, WATCH_RETRY_S))

    async def _follow(self, stored: StoredHead) -> None:
        """Put a stored head in force if it is newer."""
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
    """Return `names` in their order of preference for `key`."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode()),
    )
