"""At-most-once claims of non-repeatable calls.

A call is claimed in the key-value service before it is sent, by the process
that then sends it, once. Nobody takes over a claim.

    answer = await claims.claim(order, budget)
    if isinstance(answer, HeldClaim):
        ...  # send once, then claims.record_outcome(answer, outcome)
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

FLUSH_POLL_S: Final = 0.02
FLUSH_TIMEOUT_S: Final = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """How a claimed call ended; `body` only if it is small."""

    state: ClaimState
    status: int = 0
    body_digest: bytes = b''
    content_type: str = ''
    body: bytes = b''


class Claims:
    """Owns the claims that this entry makes."""

    def __init__(self, key_value: KeyValue, cfg: ClaimSettings) -> None:
        self._cfg: Final = cfg
        pace = WritePacer(cfg.writes_per_s)
        self._buckets: Final = tuple(
            ClaimBucket(str(number), key_value, cfg, pace)
            for number in range(cfg.buckets)
        )

    async def run(self) -> None:
        """Write claims and outcomes until cancelled."""
        async with anyio.create_task_group() as tasks:
            for bucket in self._buckets:
                tasks.start_soon(bucket.run)

    async def claim(self, order: ClaimRequest, budget: Budget) -> ClaimResult:
        """Claim a call for this process.

        Returns the record of the key if it is claimed already. A `Failure`
        is always of a not-run kind: no process sends a call for this claim.
        """
        waiter = self._bucket(order.key).enqueue(order)
        timeout_s = self._cfg.timeout_ms / MS_PER_S
        margin_s = self._cfg.send_margin_ms / MS_PER_S
        with anyio.move_on_after(
            min(timeout_s, max(0.0, budget.remaining_s() - margin_s)),
        ):
            try:
                await waiter.resolved.wait()
            finally:
                # Also when the task is cancelled: nobody will send it.
                waiter.abandoned = waiter.result is None
        if waiter.result is not None:
            return waiter.result
        return Failure(
            kind=ErrorKind.PLATFORM_DOWN,
            reason='the call could not be claimed in time',
        )

    def has_time_to_send(self, budget: Budget) -> bool:
        """Tell whether a claimed call may still be sent.

        A process that was paused after its claim finds its time budget used
        up here. The margin covers the way from this check to the socket.
        """
        return budget.remaining_ms() > self._cfg.send_margin_ms

    def record_outcome(self, claimed: HeldClaim, outcome: ClaimOutcome) -> None:
        """Record how a claimed call ended, with a later write."""
        order = claimed.request
        self._bucket(order.key).enqueue_outcome(
            msgspec.structs.replace(
                order.to_record(),
                state=outcome.state,
                status=outcome.status,
                body_digest=outcome.body_digest,
                content_type=outcome.content_type,
                body=outcome.body,
            )
        )

    async def find(self, key: bytes) -> ClaimRecord | Failure | None:
        """Read what is known of a claimed call."""
        return await self._bucket(key).find(key)

    async def flush(self) -> None:
        """Wait until nothing is left to write, for a bounded time.

        Outcomes that are lost here leave their calls as `unknown`.
        """
        with anyio.move_on_after(FLUSH_TIMEOUT_S):
            while not all(bucket.flushed for bucket in self._buckets):
                await anyio.sleep(FLUSH_POLL_S)

    def _bucket(self, key: bytes) -> ClaimBucket:
        return self._buckets[int.from_bytes(key[:4]) % len(self._buckets)]
