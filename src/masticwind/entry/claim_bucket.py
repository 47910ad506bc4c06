"""One bucket of claims in the key-value service: group commit and sealing.

Each entry has one task per bucket. A round reads the bucket's head, decides
all pending claims and writes the head once by compare-and-swap. A claim is
held only once the write is confirmed, or once a later read finds its writer
token in the head; this also resolves a write whose response was lost.
"""

import time
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.decoding import parse_with
from masticwind.entry.claim_records import (
    BucketHead,
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    decode_head,
    encode_head,
)
from masticwind.entry.claim_segments import (
    check_segment,
    choose_records_to_seal,
    encode_rows,
    merge_rows,
    new_segment_ref,
    search_segment,
)
from masticwind.entry.pending_claims import (
    ClaimResult,
    HeldClaim,
    PendingClaim,
    WritePacer,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.settings import ClaimSettings
from masticwind.store.base import Conflict, KeyValue, UnknownOutcome, Written

MAX_PENDING_CLAIMS: Final = 4096
MAX_BATCH_RECORDS: Final = 512
MAX_PENDING_OUTCOMES: Final = 4096
BUCKET_FULL_RETRY_AFTER_MS: Final = 60_000
# A segment that the latest head does not name may be deleted at any time; a
# reader that misses one had an older head and reads the head again.
MAX_READ_ATTEMPTS: Final = 3


@dataclass(frozen=True, slots=True)
class _BucketSnapshot:
    """A bucket as read: its head, the head's revision and all segments.

    It has its own references to the segments, because a concurrent read may
    evict them from the bucket's cache.
    """

    head: BucketHead
    revision: int
    segments: dict[str, bytes]

    def find_sealed(self, key: bytes) -> ClaimRecord | None:
        for ref in reversed(self.head.segments):
            record = search_segment(self.segments[ref.name], key)
            if record is not None:
                return record
        return None


class ClaimBucket:
    """This entry's reads and writes of one bucket."""

    def __init__(
        self,
        name: str,
        key_value: KeyValue,
        cfg: ClaimSettings,
        pacer: WritePacer,
    ) -> None:
        self._name: Final = name
        self._key_value: Final = key_value
        self._cfg: Final = cfg
        self._pacer: Final = pacer
        self._pending: list[PendingClaim] = []
        self._outcomes: Final[dict[bytes, ClaimRecord]] = {}
        self._segment_cache: dict[str, bytes] = {}
        self._wake = anyio.Event()

    @property
    def flushed(self) -> bool:
        """Whether no claim and no outcome is left to write."""
        return not (self._pending or self._outcomes)

    def enqueue(self, request: ClaimRequest) -> PendingClaim:
        """Queue a claim for the next round.

        The result is a `Failure` at once if the queue is full.
        """
        pending = PendingClaim(request, anyio.Event())
        if len(self._pending) >= MAX_PENDING_CLAIMS:
            pending.resolve(
                Failure(
                    kind=ErrorKind.OVERLOADED,
                    reason='too many calls wait to be claimed',
                )
            )
            return pending
        self._pending.append(pending)
        self._wake.set()
        return pending

    def enqueue_outcome(self, outcome: ClaimRecord) -> None:
        """Queue an outcome for a later write.

        It replaces the record that has the same writer token. It is dropped
        if the queue is full.
        """
        if len(self._outcomes) < MAX_PENDING_OUTCOMES:
            self._outcomes[outcome.writer_token] = outcome
            self._wake.set()

    async def run(self) -> None:
        """Write pending claims and outcomes until cancelled."""
        # Fills the segment cache, so that the first claim does not wait.
        await self._read_snapshot()
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if not self._pending:
                # Delays outcomes, so that they share the write of a claim.
                outcome_delay_s = self._cfg.outcome_delay_ms / MS_PER_S
                with anyio.move_on_after(outcome_delay_s):
                    await self._wake.wait()
            await self._pacer.wait_for_slot()
            async with self._pacer.round_lock:
                await self.run_round()
            if not self.flushed:
                self._wake.set()

    async def find(self, key: bytes) -> ClaimRecord | Failure | None:
        """Read the record of a key.

        For a record in the head, an outcome that is queued here but not yet
        written is returned instead.
        """
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, Failure):
            return snapshot
        for record in snapshot.head.records:
            if record.key == key:
                return self._outcomes.get(record.writer_token, record)
        return snapshot.find_sealed(key)

    async def run_round(self) -> None:
        """Read the head, apply pending outcomes and claims, and write it."""
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, Failure):
            self._fail_claims(self._pending.copy(), snapshot)
            return
        records_by_key = {
            record.key: record for record in snapshot.head.records
        }
        applied_outcomes = self._apply_outcomes(records_by_key)
        batch = self._add_pending_claims(records_by_key, snapshot)
        if not (batch or applied_outcomes):
            # None of these outcomes has a record in the head any more.
            self._outcomes.clear()
            return
        new_head = await self._seal_if_large(
            snapshot, tuple(records_by_key.values())
        )
        if isinstance(new_head, Failure):
            self._fail_claims(batch, new_head)
            return
        written = await self._key_value.compare_and_swap(
            self._key,
            encode_head(new_head),
            snapshot.revision,
        )
        if isinstance(written, Written):
            self._resolve_written(batch, applied_outcomes, written.revision)
            await self._delete_unnamed_segments(snapshot.head, new_head)
        elif isinstance(written, UnknownOutcome):
            for pending in batch:
                pending.may_be_written = True
        elif isinstance(written, Conflict):
            # The new head was not written, so no head names its segment.
            await self._delete_unnamed_segments(new_head, snapshot.head)
        else:
            self._fail_claims(batch, written)

    @property
    def _key(self) -> str:
        return f'claims/{self._name}'

    async def _read_snapshot(self) -> _BucketSnapshot | Failure:
        failure = Failure(
            kind=ErrorKind.PLATFORM_DOWN,
            reason='a segment of the claim bucket is missing',
        )
        for _ in range(MAX_READ_ATTEMPTS):
            stored = await self._key_value.get(self._key)
            if isinstance(stored, Failure):
                return stored
            head = decode_head(stored.value)
            if isinstance(head, Failure):
                return head
            segments = await self._load_segments(head)
            if not isinstance(segments, Failure):
                return _BucketSnapshot(head, stored.revision, segments)
            failure = segments
        return failure

    async def _load_segments(
        self,
        head: BucketHead,
    ) -> dict[str, bytes] | Failure:
        """Read the head's segments that are not cached."""
        segments: dict[str, bytes] = {}
        for ref in head.segments:
            cached = self._segment_cache.get(ref.name)
            if cached is not None:
                segments[ref.name] = cached
                continue
            stored = await self._key_value.get(f'{self._key}/{ref.name}')
            if isinstance(stored, Failure):
                return stored
            if stored.value is None:
                return Failure(
                    kind=ErrorKind.PLATFORM_DOWN,
                    reason='a segment of the claim bucket is missing',
                )
            rows = parse_with(
                check_segment, stored.value, ErrorKind.PLATFORM_DOWN
            )
            if isinstance(rows, Failure):
                return rows
            # Cached at once, so that a read that fails at a later segment
            # does not start again: many segments may take several rounds.
            self._segment_cache[ref.name] = rows
            segments[ref.name] = rows
        self._segment_cache = segments.copy()
        return segments

    def _apply_outcomes(
        self,
        records_by_key: dict[bytes, ClaimRecord],
    ) -> list[ClaimRecord]:
        applied_outcomes: list[ClaimRecord] = []
        for outcome in tuple(self._outcomes.values())[:MAX_BATCH_RECORDS]:
            claim = records_by_key.get(outcome.key)
            if claim is not None and claim.writer_token == outcome.writer_token:
                records_by_key[outcome.key] = outcome
                applied_outcomes.append(outcome)
        return applied_outcomes

    def _add_pending_claims(
        self,
        records_by_key: dict[bytes, ClaimRecord],
        snapshot: _BucketSnapshot,
    ) -> list[PendingClaim]:
        batch: list[PendingClaim] = []
        claimed_keys: set[bytes] = set()
        for pending in self._pending.copy():
            key = pending.request.key
            if pending.abandoned:
                self._remove_abandoned(pending)
                continue
            if key in claimed_keys or len(batch) >= MAX_BATCH_RECORDS:
                continue
            existing = records_by_key.get(key) or snapshot.find_sealed(key)
            if _is_claimable(existing):
                records_by_key.pop(key, None)
                records_by_key[key] = pending.request.to_record()
                claimed_keys.add(key)
                batch.append(pending)
            elif existing is not None:
                self._resolve(
                    pending,
                    _result_for(pending, existing, snapshot.revision),
                )
        return batch

    def _resolve_written(
        self,
        batch: list[PendingClaim],
        applied_outcomes: list[ClaimRecord],
        revision: int,
    ) -> None:
        for outcome in applied_outcomes:
            self._outcomes.pop(outcome.writer_token, None)
        for pending in batch:
            if pending.abandoned:
                pending.may_be_written = True
                self._remove_abandoned(pending)
            else:
                self._resolve(pending, HeldClaim(pending.request, revision))

    def _fail_claims(self, batch: list[PendingClaim], failure: Failure) -> None:
        for pending in batch:
            if pending.may_be_written:
                self._enqueue_not_run(pending)
            self._resolve(pending, failure)

    def _resolve(self, pending: PendingClaim, result: ClaimResult) -> None:
        self._pending.remove(pending)
        pending.resolve(result)

    def _remove_abandoned(self, pending: PendingClaim) -> None:
        self._pending.remove(pending)
        if pending.may_be_written:
            self._enqueue_not_run(pending)

    def _enqueue_not_run(self, pending: PendingClaim) -> None:
        """Queue `NOT_RUN` for a claim that may be stored but is not sent."""
        claim = pending.request.to_record()
        self.enqueue_outcome(
            msgspec.structs.replace(claim, state=ClaimState.NOT_RUN)
        )

    async def _seal_if_large(
        self,
        snapshot: _BucketSnapshot,
        records: tuple[ClaimRecord, ...],
    ) -> BucketHead | Failure:
        """Move old records to a segment if the head is over its limit."""
        head = BucketHead(snapshot.head.segments, records)
        if len(encode_head(head)) <= self._cfg.head_bytes:
            return head
        oldest_s = time.time() - self._cfg.retention_s
        retained = [ref for ref in head.segments if ref.sealed_at_s >= oldest_s]
        sealed, recent = choose_records_to_seal(head.records)
        rows = encode_rows(sealed)
        if (
            retained
            and retained[-1].claim_count + len(sealed)
            <= self._cfg.segment_claims
        ):
            rows = merge_rows(snapshot.segments[retained.pop().name], rows)
        if len(retained) >= self._cfg.max_segments:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the claim bucket is full: all its segments are '
                'within the retention period',
                retry_after_ms=BUCKET_FULL_RETRY_AFTER_MS,
            )
        ref = new_segment_ref(rows)
        await self._pacer.wait_for_slot()
        written = await self._key_value.compare_and_swap(
            f'{self._key}/{ref.name}',
            rows,
            0,
        )
        if not isinstance(written, Written):
            return Failure(
                kind=ErrorKind.PLATFORM_DOWN,
                reason='a segment of the claim bucket was not written',
            )
        self._segment_cache[ref.name] = rows
        return BucketHead((*retained, ref), tuple(recent))

    async def _delete_unnamed_segments(
        self,
        old_head: BucketHead,
        new_head: BucketHead,
    ) -> None:
        names = {ref.name for ref in new_head.segments}
        for ref in old_head.segments:
            if ref.name in names:
                continue
            key = f'{self._key}/{ref.name}'
            stored = await self._key_value.get(key)
            if not isinstance(stored, Failure) and stored.value is not None:
                await self._key_value.delete(key, stored.revision)


def _is_claimable(existing: ClaimRecord | None) -> bool:
    return existing is None or existing.state is ClaimState.NOT_RUN


def _result_for(
    pending: PendingClaim,
    existing: ClaimRecord,
    revision: int,
) -> ClaimResult:
    if existing.writer_token == pending.request.writer_token:
        return HeldClaim(pending.request, revision)
    return existing
