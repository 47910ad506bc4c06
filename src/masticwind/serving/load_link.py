"""Entries tell each other their load.

Changes are sent as they happen, and everything once a second, so that a lost
datagram is made good. A datagram carries times as milliseconds from now; no
two clocks are compared.
"""

import math
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Final

import anyio
import msgspec
from loguru import logger

from masticwind.budget import MS_PER_S, boot_time
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.load import Job, LoadBoard
from masticwind.serving.passes import Reading
from masticwind.serving.peers import SILENCE_TIMEOUT_S, EntryPeers

LOAD: Final = 'load'
# Changes within this time travel in one datagram.
BATCH_S: Final = 0.005
REFRESH_S: Final = 1.0
# Jobs in one datagram, so that it stays below 1,400 bytes.
JOBS_PER_DATAGRAM: Final = 16
# Far above the tokens, and their pairs in millions, of any prompt.
MAX_COUNT: Final = 1_000_000_000
# Far above any time of a request.
DAY_MS: Final = 86_400_000


# Whole numbers within bounds, so that what another entry says can be
# calculated with.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[int, msgspec.Meta(ge=-DAY_MS, le=DAY_MS)]


class JobRow(msgspec.Struct, array_like=True):
    """A job on the wire; times are ms from now."""

    number: int
    request: str
    endpoint: str
    tokens: Count
    pairs_m: Count
    context: Count
    memory: Count
    started_ms: Milliseconds
    first_ms: Milliseconds
    end_ms: Milliseconds
    pause_ms: Count
    worth: Count
    due_ms: Milliseconds | None
    writing: bool


class News(msgspec.Struct, array_like=True):
    """Jobs that are new or changed, and numbers of those that ended.

    `whole` says that the sender has no other jobs.
    """

    entry: str
    incarnation: str
    sequence: int
    whole: bool
    jobs: list[JobRow]
    ended: list[int]


@dataclass(slots=True)
class _Heard:
    incarnation: str = ''
    sequence: int = 0
    at: float = 0


class LoadLink(Receiver[News]):
    """Sends this entry's jobs to the others and takes in theirs."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        board: LoadBoard,
        incarnation: str = '',
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._board: Final = board
        self._incarnation: Final = incarnation or secrets.token_hex(4)
        self._sequence = 0
        self._heard: Final[dict[str, _Heard]] = {}
        peer_socket.register(LOAD, News, self)

    async def run(self) -> None:
        """Exchange load until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_changes)
            tasks.start_soon(self._send_all)
            tasks.start_soon(self._forget_silent)

    def receive(self, message: News, sender: PeerAddress) -> None:
        """Take over what another entry runs."""
        self._peers.record_seen(message.entry, sender)
        heard = self._heard.setdefault(message.entry, _Heard())
        if heard.incarnation == message.incarnation:
            if message.sequence <= heard.sequence:
                return
        else:
            self._board.update_others(message.entry, (), (), whole=True)
        heard.incarnation = message.incarnation
        heard.sequence = message.sequence
        heard.at = boot_time()
        now = self._board.clock()
        self._board.update_others(
            message.entry,
            [_job(row, now) for row in message.jobs],
            message.ended,
            whole=message.whole,
        )

    async def _send_changes(self) -> None:
        while True:
            changed, ended = await self._board.wait_for_changes()
            self._send(changed, ended, whole=False)
            await anyio.sleep(BATCH_S)

    async def _send_all(self) -> None:
        while True:
            await anyio.sleep(REFRESH_S)
            self._send(self._board.own(), (), whole=True)

    async def _forget_silent(self) -> None:
        while True:
            await anyio.sleep(REFRESH_S)
            for entry, heard in list(self._heard.items()):
                if boot_time() - heard.at > SILENCE_TIMEOUT_S:
                    self._heard.pop(entry)
                    self._board.update_others(entry, (), (), whole=True)
                    logger.bind(entry=entry).info('entry_silent')

    def _send(
        self,
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
            news = News(
                entry=self._socket.node,
                incarnation=self._incarnation,
                sequence=self._sequence,
                whole=whole and first,
                jobs=rows[:JOBS_PER_DATAGRAM],
                ended=numbers if first else [],
            )
            rows = rows[JOBS_PER_DATAGRAM:]
            first = False
            self._socket.send(LOAD, news, others)


def _row(job: Job, now: float) -> JobRow:
    return JobRow(
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


def _job(row: JobRow, now: float) -> Job:
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
