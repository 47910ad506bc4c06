"""Exchanges jobs among the entries, over datagrams.

Changes are sent at once, and all jobs once a second, which repairs the loss of
a datagram. Times are sent in milliseconds relative to the time of sending, so
that the clocks of two instances are never compared.
"""

import math
import secrets
from dataclasses import dataclass
from typing import Annotated, Final

import anyio
import msgspec
from loguru import logger

from masticwind.budget import MS_PER_S, boot_time
from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.datagrams import PeerAddress, PeerSocket, Receiver
from masticwind.serving.fingerprints import MAX_SHORT_KEY
from masticwind.serving.model import LOWEST_PRIORITY
from masticwind.serving.peers import SILENCE_TIMEOUT_S, EntryPeers
from masticwind.serving.placement.load_table import (
    Job,
    LoadChanges,
    LoadTable,
)

LOAD: Final = 'load'
# Changes within this time are sent together.
BATCH_INTERVAL_S: Final = 0.005
FULL_UPDATE_INTERVAL_S: Final = 1.0
# Keeps a datagram below 1,400 bytes.
MAX_JOBS_PER_DATAGRAM: Final = 14
# Largest accepted count. No prompt has this many tokens, or this many millions
# of token pairs, so a larger number comes from a faulty sender.
MAX_COUNT: Final = 1_000_000_000
# One day, the largest accepted distance of a time from now. No request takes
# this long.
MAX_OFFSET_MS: Final = 86_400_000
PERCENT: Final = 100
MAX_PERCENT: Final = 1000


# Bounded integers, so that predictions calculated from the numbers of another
# entry cannot overflow or yield NaN.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# Learned factors, which are between 0.5 and 4.
Percent = Annotated[int, msgspec.Meta(ge=1, le=MAX_PERCENT)]
ShortKey = Annotated[int, msgspec.Meta(ge=0, le=MAX_SHORT_KEY)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=LOWEST_PRIORITY)]
Milliseconds = Annotated[int, msgspec.Meta(ge=-MAX_OFFSET_MS, le=MAX_OFFSET_MS)]


class JobMessage(msgspec.Struct, array_like=True):
    """A job as it is sent; times are relative to the time of sending.

    An entry of an earlier release sends none of the fields with a default.
    """

    job_id: int
    request_id: str
    endpoint_id: str
    prefill_tokens: Count
    attention_pairs_m: Count
    context_tokens: Count
    held_tokens: Count
    started_ms: Milliseconds
    first_token_ms: Milliseconds
    end_ms: Milliseconds
    event_gap_target_ms: Count
    value_tokens: Count
    first_token_due_ms: Milliseconds | None
    decoding: bool
    route_key: ShortKey = 0
    team_key: ShortKey = 0
    priority: Priority = LOWEST_PRIORITY
    speed_percent: Percent = 100
    output_percent: Percent = 100
    expected_output: Count = 0


class LoadUpdate(msgspec.Struct, array_like=True):
    """Jobs that are new or changed, and the ids of jobs that ended.

    `outputs` has the ids of the ended jobs whose requests were served, and the
    numbers of their output tokens; an entry of an earlier release sends none.
    With `complete`, it replaces all jobs that are known of the sender; further
    messages add the rest if there are many jobs.
    """

    entry: str
    incarnation: str
    sequence: int
    complete: bool
    jobs: list[JobMessage]
    ended_ids: list[int]
    outputs: list[tuple[int, Count]] = []


@dataclass(slots=True)
class _SenderState:
    incarnation: str = ''
    sequence: int = 0
    received_at: float = 0


class LoadLink(Receiver[LoadUpdate]):
    """Sends this entry's jobs to the other entries and receives theirs."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        peers: EntryPeers,
        load_table: LoadTable,
        incarnation: str = '',
    ) -> None:
        self._socket: Final = peer_socket
        self._peers: Final = peers
        self._load_table: Final = load_table
        self._incarnation: Final = incarnation or secrets.token_hex(4)
        self._sequence = 0
        self._senders: Final[dict[str, _SenderState]] = {}
        peer_socket.register(LOAD, LoadUpdate, self)

    async def run(self) -> None:
        """Exchange jobs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_changes)
            tasks.start_soon(self._send_all)
            tasks.start_soon(self._remove_silent_entries)

    def receive(self, message: LoadUpdate, sender: PeerAddress) -> None:
        """Apply the update of another entry, unless it is outdated."""
        self._peers.record_seen(message.entry, sender)
        state = self._senders.setdefault(message.entry, _SenderState())
        if state.incarnation == message.incarnation:
            if message.sequence <= state.sequence:
                return
        else:
            self._load_table.update_entry(
                message.entry, (), (), replace_all=True
            )
        state.incarnation = message.incarnation
        state.sequence = message.sequence
        state.received_at = boot_time()
        now = self._load_table.clock()
        self._load_table.update_entry(
            message.entry,
            [_from_message(job, now) for job in message.jobs],
            message.ended_ids,
            replace_all=message.complete,
            outputs=dict(message.outputs),
        )

    async def _send_changes(self) -> None:
        while True:
            changes = await self._load_table.wait_for_changes()
            self._send(changes, complete=False)
            await anyio.sleep(BATCH_INTERVAL_S)

    async def _send_all(self) -> None:
        while True:
            await anyio.sleep(FULL_UPDATE_INTERVAL_S)
            all_jobs = list(self._load_table.own_jobs())
            self._send(LoadChanges(all_jobs, []), complete=True)

    async def _remove_silent_entries(self) -> None:
        while True:
            await anyio.sleep(FULL_UPDATE_INTERVAL_S)
            for entry, state in list(self._senders.items()):
                if boot_time() - state.received_at > SILENCE_TIMEOUT_S:
                    self._senders.pop(entry)
                    self._load_table.update_entry(
                        entry, (), (), replace_all=True
                    )
                    logger.bind(entry=entry).info('entry_silent')

    def _send(self, changes: LoadChanges, *, complete: bool) -> None:
        peers = self._peers.others()
        if not peers:
            return
        now = self._load_table.clock()
        messages = [_to_message(job, now) for job in changes.jobs]
        is_first = True
        while is_first or messages:
            self._sequence += 1
            update = LoadUpdate(
                entry=self._socket.node,
                incarnation=self._incarnation,
                sequence=self._sequence,
                complete=complete and is_first,
                jobs=messages[:MAX_JOBS_PER_DATAGRAM],
                ended_ids=changes.ended_ids if is_first else [],
                outputs=list(changes.outputs.items()) if is_first else [],
            )
            messages = messages[MAX_JOBS_PER_DATAGRAM:]
            is_first = False
            self._socket.send(LOAD, update, peers)


def _to_message(job: Job, now: float) -> JobMessage:
    return JobMessage(
        job_id=job.job_id,
        request_id=job.request_id,
        endpoint_id=job.endpoint_id,
        prefill_tokens=round(job.prefill.tokens),
        attention_pairs_m=round(job.prefill.attention_pairs_m),
        context_tokens=job.context_tokens,
        held_tokens=job.held_tokens,
        started_ms=int((job.started_at - now) * MS_PER_S),
        first_token_ms=int((job.first_token_at - now) * MS_PER_S),
        end_ms=int((job.end_at - now) * MS_PER_S),
        event_gap_target_ms=int(job.event_gap_target_ms),
        value_tokens=round(job.value_tokens),
        first_token_due_ms=_first_token_due_ms(job, now),
        decoding=job.decoding,
        route_key=job.route_key,
        team_key=job.team_key,
        priority=job.priority,
        speed_percent=_to_percent(job.speed_factor),
        output_percent=_to_percent(job.output_factor),
        expected_output=job.expected_output,
    )


def _to_percent(factor: float) -> int:
    return min(MAX_PERCENT, max(1, round(factor * PERCENT)))


def _first_token_due_ms(job: Job, now: float) -> int | None:
    if math.isinf(job.first_token_due_at):
        return None
    return int((job.first_token_due_at - now) * MS_PER_S)


def _from_message(message: JobMessage, now: float) -> Job:
    return Job(
        job_id=message.job_id,
        request_id=message.request_id,
        endpoint_id=message.endpoint_id,
        prefill=PrefillWork(message.prefill_tokens, message.attention_pairs_m),
        context_tokens=message.context_tokens,
        held_tokens=message.held_tokens,
        started_at=now + message.started_ms / MS_PER_S,
        first_token_at=now + message.first_token_ms / MS_PER_S,
        end_at=now + message.end_ms / MS_PER_S,
        event_gap_target_ms=message.event_gap_target_ms,
        value_tokens=message.value_tokens,
        first_token_due_at=math.inf
        if message.first_token_due_ms is None
        else now + message.first_token_due_ms / MS_PER_S,
        decoding=message.decoding,
        route_key=message.route_key,
        team_key=message.team_key,
        priority=message.priority,
        speed_factor=message.speed_percent / PERCENT,
        output_factor=message.output_percent / PERCENT,
        expected_output=message.expected_output,
    )
