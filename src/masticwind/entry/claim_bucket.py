"""One bucket of claims: group commit, settling of lost answers, sealing.

A bucket is written by one task per entry. Each round reads the head, decides
on all waiting claims and writes the head once by compare-and-swap. A claim
counts as made only when a write is confirmed or a later read shows its
writer token.
"""

import time
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.entry.claim_records import (
    BucketHead,
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    decode_head,
    encode_head,
)
from masticwind.entry.claim_segments import (
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
from masticwind.store.base import Conflict, KeyValue, Unknown, Written

MAX_WAITING: Final = 4096
MAX_BATCH: Final = 512
MAX_OUTCOMES: Final = 4096
FULL_RETRY_MS: Final = 60_000
# A segment is deleted when a newer head no longer names it, so a reader
# with the older head reads the head again.
MAX_READS: Final = 3


@dataclass(frozen=True, slots=True)
class _View:
    """One read of a bucket: its head, revision and all its segments.

    The segments are held here, because another read of this entry may drop
    them from the cache meanwhile.
    """

    head: BucketHead
    revision: int
    segments: dict[str, bytes]

    def archived(self, key: bytes) -> ClaimRecord | None:
        for ref in reversed(self.head.segments):
            found = search_segment(self.segments[ref.name], key)
            if found is not None:
                return found
        return None


class ClaimBucket:
    """The claims of this entry in one bucket."""

    def __init__(
        self,
        name: str,
        key_value: KeyValue,
        cfg: ClaimSettings,
        pace: WritePacer,
    ) -> None:
        self._name: Final = name
        self._key_value: Final = key_value
        self._cfg: Final = cfg
        self._pace: Final = pace
        self._waiting: list[PendingClaim] = []
        self._outcomes: Final[dict[bytes, ClaimRecord]] = {}
        self._segments: dict[str, bytes] = {}
        self._wake = anyio.Event()

    @property
    def flushed(self) -> bool:
        """Whether nothing waits to be written."""
        return not (self._waiting or self._outcomes)

    def enqueue(self, order: ClaimRequest) -> PendingClaim:
        """Queue a claim for the next write."""
        waiter = PendingClaim(order, anyio.Event())
        if len(self._waiting) >= MAX_WAITING:
            waiter.resolve(
                Failure(
                    kind=ErrorKind.OVERLOADED,
                    reason='too many calls wait for a claim',
                )
            )
            return waiter
        self._waiting.append(waiter)
        self._wake.set()
        return waiter

    def enqueue_outcome(self, outcome: ClaimRecord) -> None:
        """Queue an outcome; it replaces the claim with the same token."""
        if len(self._outcomes) < MAX_OUTCOMES:
            self._outcomes[outcome.writer_token] = outcome
            self._wake.set()

    async def run(self) -> None:
        """Write whatever waits, until cancelled."""
        # The segments are read before the first claim needs them.
        await self._read()
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            if not self._waiting:
                # Outcomes wait for a claim to share its write with.
                delay_s = self._cfg.outcome_delay_ms / MS_PER_S
                with anyio.move_on_after(delay_s):
                    await self._wake.wait()
            await self._pace.wait_for_slot()
            async with self._pace.round_lock:
                await self.run_round()
            if not self.flushed:
                self._wake.set()

    async def find(self, key: bytes) -> ClaimRecord | Failure | None:
        """Read the claim of a key, with an outcome that is not written yet."""
        read = await self._read()
        if isinstance(read, Failure):
            return read
        for record in read.head.records:
            if record.key == key:
                return self._outcomes.get(record.writer_token, record)
        return read.archived(key)

    async def run_round(self) -> None:
        """Read the head, decide on what waits and write the head once."""
        read = await self._read()
        if isinstance(read, Failure):
            self._fail(self._waiting.copy(), read)
            return
        known = {one.key: one for one in read.head.records}
        changed = self._apply_outcomes(known)
        batch = self._decide(known, read)
        if not (batch or changed):
            self._outcomes.clear()
            return
        new = await self._seal(read, tuple(known.values()))
        if isinstance(new, Failure):
            self._fail(batch, new)
            return
        written = await self._key_value.compare_and_swap(
            self._key,
            encode_head(new),
            read.revision,
        )
        if isinstance(written, Written):
            self._commit(batch, changed, written.revision)
            await self._drop(read.head, new)
        elif isinstance(written, Unknown):
            for waiter in batch:
                waiter.may_be_written = True
        elif isinstance(written, Conflict):
            # This write took no effect, so no head names its segment.
            await self._drop(new, read.head)
        else:
            self._fail(batch, written)

    @property
    def _key(self) -> str:
        return f'claims/{self._name}'

    async def _read(self) -> _View | Failure:
        failure = Failure(
            kind=ErrorKind.PLATFORM_DOWN,
            reason='a segment of claims is missing',
        )
        for _ in range(MAX_READS):
            found = await self._key_value.get(self._key)
            if isinstance(found, Failure):
                return found
            try:
                head = decode_head(found.value)
            except msgspec.DecodeError as exc:
                return Failure(kind=ErrorKind.PLATFORM_DOWN, reason=str(exc))
            segments = await self._load(head)
            if not isinstance(segments, Failure):
                return _View(head, found.revision, segments)
            failure = segments
        return failure

    async def _load(self, head: BucketHead) -> dict[str, bytes] | Failure:
        """Read the segments that this entry does not hold yet."""
        segments: dict[str, bytes] = {}
        for ref in head.segments:
            cached = self._segments.get(ref.name)
            if cached is not None:
                segments[ref.name] = cached
                continue
            found = await self._key_value.get(f'{self._key}/{ref.name}')
            if isinstance(found, Failure):
                return found
            if found.value is None:
                return Failure(
                    kind=ErrorKind.PLATFORM_DOWN,
                    reason='a segment of claims is missing',
                )
            # Cached at once: a long history may take several rounds.
            self._segments[ref.name] = found.value
            segments[ref.name] = found.value
        self._segments = segments.copy()
        return segments

    def _apply_outcomes(
        self, known: dict[bytes, ClaimRecord]
    ) -> list[ClaimRecord]:
        changed: list[ClaimRecord] = []
        for outcome in tuple(self._outcomes.values())[:MAX_BATCH]:
            claim = known.get(outcome.key)
            if claim is not None and claim.writer_token == outcome.writer_token:
                known[outcome.key] = outcome
                changed.append(outcome)
        return changed

    def _decide(
        self,
        known: dict[bytes, ClaimRecord],
        read: _View,
    ) -> list[PendingClaim]:
        batch: list[PendingClaim] = []
        added: set[bytes] = set()
        for waiter in self._waiting.copy():
            key = waiter.request.key
            if waiter.abandoned:
                self._resolve_abandoned(waiter)
                continue
            if key in added or len(batch) >= MAX_BATCH:
                continue
            found = known.get(key) or read.archived(key)
            if _claimable(found):
                known.pop(key, None)
                known[key] = waiter.request.to_record()
                added.add(key)
                batch.append(waiter)
            elif found is not None:
                self._resolve(waiter, _answer(waiter, found, read.revision))
        return batch

    def _commit(
        self,
        batch: list[PendingClaim],
        changed: list[ClaimRecord],
        revision: int,
    ) -> None:
        for outcome in changed:
            self._outcomes.pop(outcome.writer_token, None)
        for waiter in batch:
            if waiter.abandoned:
                waiter.may_be_written = True
                self._resolve_abandoned(waiter)
            else:
                self._resolve(waiter, HeldClaim(waiter.request, revision))

    def _fail(self, batch: list[PendingClaim], failure: Failure) -> None:
        for waiter in batch:
            if waiter.may_be_written:
                self._disown(waiter)
            self._resolve(waiter, failure)

    def _resolve(self, waiter: PendingClaim, answer: ClaimResult) -> None:
        self._waiting.remove(waiter)
        waiter.resolve(answer)

    def _resolve_abandoned(self, waiter: PendingClaim) -> None:
        self._waiting.remove(waiter)
        if waiter.may_be_written:
            self._disown(waiter)

    def _disown(self, waiter: PendingClaim) -> None:
        """Record that a claim which may be in the store was never sent."""
        claim = waiter.request.to_record()
        self.enqueue_outcome(
            msgspec.structs.replace(claim, state=ClaimState.NOT_RUN)
        )

    async def _seal(
        self,
        read: _View,
        records: tuple[ClaimRecord, ...],
    ) -> BucketHead | Failure:
        """Move old claims to a segment if the head has grown too large."""
        head = BucketHead(read.head.segments, records)
        if len(encode_head(head)) <= self._cfg.head_bytes:
            return head
        horizon = time.time() - self._cfg.retention_s
        kept = [one for one in head.segments if one.sealed_at_s >= horizon]
        old, recent = choose_records_to_seal(head.records)
        rows = encode_rows(old)
        if kept and kept[-1].claim_count + len(old) <= self._cfg.segment_claims:
            rows = merge_rows(read.segments[kept.pop().name], rows)
        if len(kept) >= self._cfg.max_segments:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the claims of the retention period fill the store',
                retry_after_ms=FULL_RETRY_MS,
            )
        ref = new_segment_ref(rows)
        await self._pace.wait_for_slot()
        written = await self._key_value.compare_and_swap(
            f'{self._key}/{ref.name}',
            rows,
            0,
        )
        if not isinstance(written, Written):
            return Failure(
                kind=ErrorKind.PLATFORM_DOWN,
                reason='a segment of claims was not written',
            )
        self._segments[ref.name] = rows
        return BucketHead((*kept, ref), tuple(recent))

    async def _drop(self, old: BucketHead, new: BucketHead) -> None:
        names = {one.name for one in new.segments}
        for ref in old.segments:
            if ref.name in names:
                continue
            key = f'{self._key}/{ref.name}'
            found = await self._key_value.get(key)
            if not isinstance(found, Failure) and found.value is not None:
                await self._key_value.delete(key, found.revision)


def _claimable(found: ClaimRecord | None) -> bool:
    return found is None or found.state is ClaimState.NOT_RUN


def _answer(
    waiter: PendingClaim, found: ClaimRecord, revision: int
) -> ClaimResult:
    if found.writer_token == waiter.request.writer_token:
        return HeldClaim(waiter.request, revision)
    return found
