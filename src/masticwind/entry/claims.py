"""At-most-once execution of non-repeatable calls, by claims.

A process claims a call in the key-value service before it sends the call,
once. No other process takes over a claim.

    result = await claims.claim(request, budget)
    if isinstance(result, HeldClaim):
        ...  # send once, then claims.record_outcome(result, outcome)
"""

from dataclasses import dataclass
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S, Budget
from masticwind.entry.claim_bucket import ClaimBucket
from masticwind.entry.claim_records import ClaimRecord, ClaimRequest, ClaimState
from masticwind.entry.pending_claims import ClaimResult, HeldClaim, WritePacer
from masticwind.errors import ErrorKind, Failure
from masticwind.settings import ClaimSettings
from masticwind.store.base import KeyValue

FLUSH_POLL_INTERVAL_S: Final = 0.02
FLUSH_TIMEOUT_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """How a claimed call ended; `body` is empty if it is too large."""

    state: ClaimState
    status: int = 0
    body_digest: bytes = b''
    content_type: str = ''
    body: bytes = b''


class Claims:
    """Makes, completes and reads claims in all buckets."""

    def __init__(self, key_value: KeyValue, cfg: ClaimSettings) -> None:
        self._cfg: Final = cfg
        pacer = WritePacer(cfg.writes_per_s)
        self._buckets: Final = tuple(
            ClaimBucket(str(number), key_value, cfg, pacer)
            for number in range(cfg.buckets)
        )

    async def run(self) -> None:
        """Write claims and outcomes of all buckets until cancelled."""
        async with anyio.create_task_group() as tasks:
            for bucket in self._buckets:
                tasks.start_soon(bucket.run)

    async def claim(self, request: ClaimRequest, budget: Budget) -> ClaimResult:
        """Claim a call for this process.

        Returns the stored record if the key is already claimed. A `Failure`
        is always of a not-run kind: the call is not sent for this request.
        """
        pending = self._bucket_of(request.key).enqueue(request)
        timeout_s = self._cfg.timeout_ms / MS_PER_S
        margin_s = self._cfg.send_margin_ms / MS_PER_S
        with anyio.move_on_after(
            min(timeout_s, max(0.0, budget.remaining_s() - margin_s)),
        ):
            try:
                await pending.resolved.wait()
            finally:
                # Also set on cancellation: then the call is not sent.
                pending.abandoned = pending.result is None
        if pending.result is not None:
            return pending.result
        return Failure(
            kind=ErrorKind.PLATFORM_DOWN,
            reason='the call could not be claimed in time',
        )

    def has_time_to_send(self, budget: Budget) -> bool:
        """Tell whether enough time is left to send a claimed call.

        This stops a process that was paused after it made the claim. The
        margin covers the time from this check to the write to the socket.
        """
        return budget.remaining_ms() > self._cfg.send_margin_ms

    def record_outcome(self, claim: HeldClaim, outcome: ClaimOutcome) -> None:
        """Queue the outcome of a claimed call to be recorded."""
        request = claim.request
        self._bucket_of(request.key).enqueue_outcome(
            msgspec.structs.replace(
                request.to_record(),
                state=outcome.state,
                status=outcome.status,
                body_digest=outcome.body_digest,
                content_type=outcome.content_type,
                body=outcome.body,
            )
        )

    async def find(self, key: bytes) -> ClaimRecord | Failure | None:
        """Read the record of a claim key; None if it is not claimed."""
        return await self._bucket_of(key).find(key)

    async def flush(self) -> None:
        """Wait until all is written, at most `FLUSH_TIMEOUT_S`.

        A call whose outcome is not written by then is reported as `unknown`.
        """
        with anyio.move_on_after(FLUSH_TIMEOUT_S):
            while not all(bucket.flushed for bucket in self._buckets):
                await anyio.sleep(FLUSH_POLL_INTERVAL_S)

    def _bucket_of(self, key: bytes) -> ClaimBucket:
        return self._buckets[int.from_bytes(key[:4]) % len(self._buckets)]
