"""Entries find each other in the store and tell each other their load.

Every entry registers its address under a lease. Load travels in datagrams:
changes as they happen, and everything once a second, so that a lost
datagram is made good. A datagram carries times as milliseconds from now; no
two clocks are compared.
"""

import math
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import anyio
import cbor2
import msgspec
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.load import Job, LoadBoard
from masticwind.serving.mirror import Sink, boot_time
from masticwind.serving.passes import Reading
from masticwind.serving.settings import DirectSettings
from masticwind.serving.store import Item, MetadataStore

# Number of entries until the registrations have been read.
ASSUMED_ENTRIES: Final = 8
LEASE_S: Final = 4.0
RENEW_S: Final = 1.3
RETRY_S: Final = 0.5
# Changes within this time travel in one datagram.
BATCH_S: Final = 0.005
REFRESH_S: Final = 1.0
# An entry that says nothing for this long has no running work any more.
SILENT_S: Final = 2.5
# Jobs in one datagram, so that it stays below 1,400 bytes.
JOBS_PER_DATAGRAM: Final = 16
MAX_DATAGRAM_BYTES: Final = 65_536


class _Row(msgspec.Struct, array_like=True):
    """A job on the wire; times are ms from now."""

    number: int
    request: str
    endpoint: str
    tokens: float
    pairs_m: float
    context: int
    memory: int
    started_ms: int
    first_ms: int
    end_ms: int
    pause_ms: int
    worth: float
    due_ms: int | None
    writing: bool


class _News(msgspec.Struct, array_like=True):
    """Jobs that are new or changed, and numbers of those that ended.

    `whole` says that the sender has no other jobs.
    """

    entry: str
    incarnation: str
    sequence: int
    whole: bool
    jobs: list[_Row]
    ended: list[int]


@dataclass(slots=True)
class _Peer:
    host: str
    port: int


@dataclass(slots=True)
class _Heard:
    incarnation: str = ''
    sequence: int = 0
    at: float = 0


class EntryPeers(Sink):
    """The entries that are registered, this one included."""

    def __init__(self, cfg: DirectSettings) -> None:
        self._node: Final = cfg.node
        self._peers: dict[str, _Peer] = {}

    def count(self) -> int:
        """Return how many entries may be alive."""
        return len(self._peers) or ASSUMED_ENTRIES

    def others(self) -> list[_Peer]:
        """Return the addresses of the other entries."""
        return [
            peer for node, peer in self._peers.items() if node != self._node
        ]

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
            self._peers[node] = _Peer(host, int(port))
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


class LoadLink:
    """Sends this entry's jobs to the others and takes in theirs."""

    def __init__(
        self,
        cfg: DirectSettings,
        peers: EntryPeers,
        board: LoadBoard,
        incarnation: str,
    ) -> None:
        self._cfg: Final = cfg
        self._peers: Final = peers
        self._board: Final = board
        self._incarnation: Final = incarnation
        self._sequence = 0
        self._heard: Final[dict[str, _Heard]] = {}
        # A socket takes one sender at a time.
        self._sending: Final = anyio.Lock()

    async def run(self) -> None:
        """Exchange load until cancelled."""
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET,
                local_host=self._cfg.listen.rpartition(':')[0],
                local_port=self._cfg.peer_port,
            ) as udp,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._send_changes, udp)
            tasks.start_soon(self._send_all, udp)
            tasks.start_soon(self._forget_silent)
            async for content, _ in udp:
                self._receive(content)

    async def _send_changes(self, udp: anyio.abc.UDPSocket) -> None:
        while True:
            changed, ended = await self._board.wait_for_changes()
            await self._send(udp, changed, ended, whole=False)
            await anyio.sleep(BATCH_S)

    async def _send_all(self, udp: anyio.abc.UDPSocket) -> None:
        while True:
            await anyio.sleep(REFRESH_S)
            await self._send(udp, self._board.own(), (), whole=True)

    async def _forget_silent(self) -> None:
        while True:
            await anyio.sleep(REFRESH_S)
            for entry, heard in list(self._heard.items()):
                if boot_time() - heard.at > SILENT_S:
                    self._heard.pop(entry)
                    self._board.update_others(entry, (), (), whole=True)
                    logger.bind(entry=entry).info('entry_silent')

    async def _send(
        self,
        udp: anyio.abc.UDPSocket,
        jobs: Iterable[Job],
        ended: Iterable[int],
        *,
        whole: bool,
    ) -> None:
        others = self._peers.others()
        if not others:
            return
        rows = [_row(job, self._board.clock()) for job in jobs]
        numbers = list(ended)
        first = True
        while first or rows:
            self._sequence += 1
            news = _News(
                entry=self._cfg.node,
                incarnation=self._incarnation,
                sequence=self._sequence,
                whole=whole and first,
                jobs=rows[:JOBS_PER_DATAGRAM],
                ended=numbers if first else [],
            )
            rows = rows[JOBS_PER_DATAGRAM:]
            first = False
            content = cbor2.dumps(msgspec.to_builtins(news))
            async with self._sending:
                for peer in others:
                    await self._send_one(udp, content, peer)

    async def _send_one(
        self,
        udp: anyio.abc.UDPSocket,
        content: bytes,
        peer: _Peer,
    ) -> None:
        try:
            await udp.sendto(content, peer.host, peer.port)
        except OSError as exc:
            logger.bind(peer=peer.host, reason=str(exc)).debug('load_not_sent')

    def _receive(self, content: bytes) -> None:
        try:
            news = msgspec.convert(cbor2.loads(content), type=_News)
        except (
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
            ValueError,
        ) as exc:
            logger.bind(reason=str(exc)).warning('load_unreadable')
            return
        heard = self._heard.setdefault(news.entry, _Heard())
        if heard.incarnation == news.incarnation:
            if news.sequence <= heard.sequence:
                return
        else:
            self._board.update_others(news.entry, (), (), whole=True)
        heard.incarnation = news.incarnation
        heard.sequence = news.sequence
        heard.at = boot_time()
        now = self._board.clock()
        self._board.update_others(
            news.entry,
            [_job(row, now) for row in news.jobs],
            news.ended,
            whole=news.whole,
        )


def _row(job: Job, now: float) -> _Row:
    return _Row(
        number=job.number,
        request=job.request,
        endpoint=job.endpoint,
        tokens=round(job.reading.tokens),
        pairs_m=round(job.reading.pairs_m),
        context=job.context,
        memory=job.memory,
        started_ms=int((job.started - now) * MS_PER_S),
        first_ms=int((job.first_at - now) * MS_PER_S),
        end_ms=int((job.end_at - now) * MS_PER_S),
        pause_ms=int(job.pause_ms),
        worth=round(job.worth),
        due_ms=_due_ms(job, now),
        writing=job.writing,
    )


def _due_ms(job: Job, now: float) -> int | None:
    if math.isinf(job.due_at):
        return None
    return int((job.due_at - now) * MS_PER_S)


def _job(row: _Row, now: float) -> Job:
    return Job(
        number=row.number,
        request=row.request,
        endpoint=row.endpoint,
        reading=Reading(row.tokens, row.pairs_m),
        context=row.context,
        memory=row.memory,
        started=now + row.started_ms / MS_PER_S,
        first_at=now + row.first_ms / MS_PER_S,
        end_at=now + row.end_ms / MS_PER_S,
        pause_ms=row.pause_ms,
        worth=row.worth,
        due_at=math.inf if row.due_ms is None else now + row.due_ms / MS_PER_S,
        writing=row.writing,
    )
