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
from masticwind.serving.datagrams import Peer, PeerSocket, Receiver
from masticwind.serving.latency_model import PrefillWork
from masticwind.serving.load_table import Job, LoadTable
from masticwind.serving.peers import SILENT_S, EntryPeers

LOAD: Final = 'load'
# Changes within this time travel in one datagram.
BATCH_INTERVAL_S: Final = 0.005
FULL_UPDATE_INTERVAL_S: Final = 1.0
# Jobs in one datagram, so that it stays below 1,400 bytes.
JOBS_PER_DATAGRAM: Final = 16
# Far above the tokens, and their pairs in millions, of any prompt.
MAX_COUNT: Final = 1_000_000_000
# Far above any time of a request.
MAX_OFFSET_MS: Final = 86_400_000


# Whole numbers within bounds, so that what another entry says can be
# calculated with.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[int, msgspec.Meta(ge=-MAX_OFFSET_MS, le=MAX_OFFSET_MS)]


class JobMessage(msgspec.Struct, array_like=True):
    """A job on the wire; times are ms from now."""

    job_id: int
    request_id: str
    endpoint_id: str
    prefill_tokens: Count
    pairs_m: Count
    context_tokens: Count
    held_tokens: Count
    started_ms: Milliseconds
    first_token_ms: Milliseconds
    end_ms: Milliseconds
    event_gap_target_ms: Count
    value_tokens: Count
    first_token_due_ms: Milliseconds | None
    decoding: bool


class LoadUpdate(msgspec.Struct, array_like=True):
    """Jobs that are new or changed, and numbers of those that ended.

    `complete` says that the sender has no other jobs.
    """

    entry: str
    incarnation: str
    sequence: int
    complete: bool
    jobs: list[JobMessage]
    ended_ids: list[int]


@dataclass(slots=True)
class _Heard:
    incarnation: str = ''
    sequence: int = 0
    at: float = 0


class LoadLink(Receiver[LoadUpdate]):
    """Sends this entry's jobs to the others and takes in theirs."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        board: LoadTable,
        incarnation: str = '',
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._board: Final = board
        self._incarnation: Final = incarnation or secrets.token_hex(4)
        self._sequence = 0
        self._heard: Final[dict[str, _Heard]] = {}
        peer_socket.add(LOAD, LoadUpdate, self)

    async def run(self) -> None:
        """Exchange load until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_changes)
            tasks.start_soon(self._send_all)
            tasks.start_soon(self._forget_silent)

    def receive(self, message: LoadUpdate, sender: Peer) -> None:
        """Take over what another entry runs."""
        self._peers.heard(message.entry, sender)
        heard = self._heard.setdefault(message.entry, _Heard())
        if heard.incarnation == message.incarnation:
            if message.sequence <= heard.sequence:
                return
        else:
            self._board.update_entry(message.entry, (), (), whole=True)
        heard.incarnation = message.incarnation
        heard.sequence = message.sequence
        heard.at = boot_time()
        now = self._board.clock()
        self._board.update_entry(
            message.entry,
            [_job(row, now) for row in message.jobs],
            message.ended_ids,
            whole=message.complete,
        )

    async def _send_changes(self) -> None:
        while True:
            changed, ended = await self._board.wait_for_changes()
            self._send(changed, ended, whole=False)
            await anyio.sleep(BATCH_INTERVAL_S)

    async def _send_all(self) -> None:
        while True:
            await anyio.sleep(FULL_UPDATE_INTERVAL_S)
            self._send(self._board.own_jobs(), (), whole=True)

    async def _forget_silent(self) -> None:
        while True:
            await anyio.sleep(FULL_UPDATE_INTERVAL_S)
            for entry, heard in list(self._heard.items()):
                if boot_time() - heard.at > SILENT_S:
                    self._heard.pop(entry)
                    self._board.update_entry(entry, (), (), whole=True)
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
            news = LoadUpdate(
                entry=self._socket.node,
                incarnation=self._incarnation,
                sequence=self._sequence,
                complete=whole and first,
                jobs=rows[:JOBS_PER_DATAGRAM],
                ended_ids=numbers if first else [],
            )
            rows = rows[JOBS_PER_DATAGRAM:]
            first = False
            self._socket.send(LOAD, news, others)


def _row(job: Job, now: float) -> JobMessage:
    return JobMessage(
        job_id=job.job_id,
        request_id=job.request_id,
        endpoint_id=job.endpoint_id,
        prefill_tokens=round(job.prefill.tokens),
        pairs_m=round(job.prefill.attention_pairs_m),
        context_tokens=job.context_tokens,
        held_tokens=job.held_tokens,
        started_ms=int((job.started_at - now) * MS_PER_S),
        first_token_ms=int((job.first_token_at - now) * MS_PER_S),
        end_ms=int((job.end_at - now) * MS_PER_S),
        event_gap_target_ms=int(job.event_gap_target_ms),
        value_tokens=round(job.value_tokens),
        first_token_due_ms=_due_ms(job, now),
        decoding=job.decoding,
    )


def _due_ms(job: Job, now: float) -> int | None:
    if math.isinf(job.first_token_due_at):
        return None
    return int((job.first_token_due_at - now) * MS_PER_S)


def _job(row: JobMessage, now: float) -> Job:
    return Job(
        job_id=row.job_id,
        request_id=row.request_id,
        endpoint_id=row.endpoint_id,
        prefill=PrefillWork(row.prefill_tokens, row.pairs_m),
        context_tokens=row.context_tokens,
        held_tokens=row.held_tokens,
        started_at=now + row.started_ms / MS_PER_S,
        first_token_at=now + row.first_token_ms / MS_PER_S,
        end_at=now + row.end_ms / MS_PER_S,
        event_gap_target_ms=row.event_gap_target_ms,
        value_tokens=row.value_tokens,
        first_token_due_at=math.inf
        if row.first_token_due_ms is None
        else now + row.first_token_due_ms / MS_PER_S,
        decoding=row.decoding,
    )
