"""Admission control: accepts a request only if it can meet its deadline."""

from dataclasses import dataclass
from typing import Final

from masticwind.agent.ledger import MemoryLedger
from masticwind.agent.rates import Rates
from masticwind.agent.running import MAX_OVERTAKE_RATIO, RunningRequests
from masticwind.agent.scheduler import Scheduler
from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import Offer
from masticwind.settings import AgentSettings

MIN_RETRY_AFTER_MS: Final = 50
MAX_RETRY_AFTER_MS: Final = 30_000


@dataclass(frozen=True, slots=True)
class Admission:
    """Predicts completion times and refuses requests that would be late."""

    cfg: AgentSettings
    scheduler: Scheduler
    running: RunningRequests
    rates: Rates
    ledger: MemoryLedger

    def admit(
        self,
        offer: Offer,
        cached_tokens: int,
        capacity: int,
    ) -> int | Failure:
        """Return the predicted milliseconds until completion, or a refusal.

        The refusal is of kind `overloaded`. Its `retry_after_ms` is the
        predicted queue wait if the queue is full, and otherwise the time by
        which the prediction exceeds the request's timeout.
        """
        uncached_tokens = max(1, offer.prompt_tokens - cached_tokens)
        queue_wait_s = self._queue_wait_s(offer, uncached_tokens)
        if len(self.scheduler) >= self.cfg.max_queued:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the queue is full',
                retry_after_ms=_retry_after_ms(queue_wait_s),
            )
        service_s = self.rates.predict_service_s(
            uncached_tokens, offer.max_tokens
        )
        wait_s = queue_wait_s + self._slot_wait_s(offer, capacity)
        predicted_ms = int((service_s + wait_s) * MS_PER_S)
        if predicted_ms > offer.timeout_ms:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason=f'predicted {predicted_ms} ms',
                retry_after_ms=_retry_after_ms(
                    (predicted_ms - offer.timeout_ms) / MS_PER_S,
                ),
            )
        return predicted_ms

    def _queue_wait_s(self, offer: Offer, uncached_tokens: int) -> float:
        """Predict the seconds until the prefill work ahead is computed."""
        tokens_ahead = self.running.short_prefill_tokens(paid=True)
        if not offer.paid:
            tokens_ahead += self.running.short_prefill_tokens(paid=False)
        is_long = offer.prompt_tokens >= self.cfg.long_prompt_tokens
        for waiting in self.scheduler.queued():
            if waiting.offer.paid < offer.paid:
                continue
            if not self.running.is_long(waiting):
                tokens_ahead += waiting.uncached_tokens
        if is_long or not offer.paid:
            tokens_ahead += self._long_tokens_ahead(offer, uncached_tokens)
        return self.rates.predict_prefill_s(tokens_ahead)

    def _long_tokens_ahead(self, offer: Offer, uncached_tokens: int) -> int:
        """Return the tokens of long prompts that this offer cannot overtake."""
        started = (req for req in self.running if req.prefilling)
        return sum(
            req.uncached_tokens
            for req in (*self.scheduler.queued(), *started)
            if self.running.is_long(req)
            and req.offer.paid >= offer.paid
            and (
                not offer.paid
                or uncached_tokens > MAX_OVERTAKE_RATIO * req.uncached_tokens
            )
        )

    def _slot_wait_s(self, offer: Offer, capacity: int) -> float:
        """Predict the seconds until a slot and enough memory are free."""
        waiting = [
            req
            for req in self.scheduler.queued()
            if req.offer.paid >= offer.paid
        ]
        blocking = [req for req in self.running if req.offer.paid >= offer.paid]
        if not blocking:
            return 0
        requests_ahead = (*blocking, *waiting)
        mean_output_s = sum(
            self.rates.predict_output_s(
                max(0, req.offer.max_tokens - req.generated_tokens)
            )
            for req in requests_ahead
        ) / len(requests_ahead)
        missing_slots = 1 + len(waiting) + len(blocking) - max(1, capacity)
        slot_wait_s = max(0, missing_slots) * mean_output_s / max(1, capacity)
        needed_tokens = offer.prompt_tokens + offer.max_tokens
        needed_tokens += sum(req.memory_tokens for req in waiting)
        held_tokens = sum(req.memory_tokens for req in blocking)
        missing_tokens = needed_tokens + held_tokens - self.ledger.total_tokens
        return max(
            slot_wait_s,
            max(0, missing_tokens) * mean_output_s / max(1, held_tokens),
        )


def _retry_after_ms(seconds: float) -> int:
    delay_ms = int(seconds * MS_PER_S)
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, delay_ms))
