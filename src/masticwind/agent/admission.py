"""Admission at the agent: can a request finish within its time budget?"""

from dataclasses import dataclass
from typing import Final

from masticwind.agent.ledger import Ledger
from masticwind.agent.rates import Rates
from masticwind.agent.running import PASSING_SHARE, Running
from masticwind.agent.scheduler import Scheduler
from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import Offer
from masticwind.settings import AgentSettings

MIN_RETRY_MS: Final = 50
MAX_RETRY_MS: Final = 30_000


@dataclass(frozen=True, slots=True)
class Admission:
    """Predicts when a request would finish."""

    cfg: AgentSettings
    scheduler: Scheduler
    running: Running
    rates: Rates
    ledger: Ledger

    def decide(
        self,
        offer: Offer,
        cached_tokens: int,
        capacity: int,
    ) -> int | Failure:
        """Return the predicted milliseconds to the end, or a refusal.

        The refusal is of kind `overloaded`; its hint is the time by which
        the prediction exceeds the time budget.
        """
        own_tokens = max(1, offer.prompt_tokens - cached_tokens)
        queue_s = self._queue_s(offer, own_tokens)
        if len(self.scheduler) >= self.cfg.max_queued:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='queue is full',
                retry_after_ms=_retry_ms(queue_s),
            )
        own_s = self.rates.service_s(own_tokens, offer.max_tokens)
        wait_s = queue_s + self._slot_s(offer, capacity)
        predicted_ms = int((own_s + wait_s) * MS_PER_S)
        if predicted_ms > offer.timeout_ms:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason=f'predicted {predicted_ms} ms',
                retry_after_ms=_retry_ms(
                    (predicted_ms - offer.timeout_ms) / MS_PER_S,
                ),
            )
        return predicted_ms

    def _queue_s(self, offer: Offer, own_tokens: int) -> float:
        """Predict the wait for the prefill that goes first."""
        ahead = self.running.short_prefill_tokens(paid=True)
        if not offer.paid:
            ahead += self.running.short_prefill_tokens(paid=False)
        is_long = offer.prompt_tokens >= self.cfg.long_prompt_tokens
        for waiting in self.scheduler.queued():
            if waiting.offer.paid < offer.paid:
                continue
            if not self.running.is_long(waiting):
                ahead += waiting.uncached_tokens
        if is_long or not offer.paid:
            ahead += self._long_ahead(offer, own_tokens)
        return self.rates.predict_prefill_s(ahead)

    def _long_ahead(self, offer: Offer, own_tokens: int) -> int:
        """Return the work of long prompts that this one does not pass."""
        started = (req for req in self.running if req.prefilling)
        return sum(
            req.uncached_tokens
            for req in (*self.scheduler.queued(), *started)
            if self.running.is_long(req)
            and req.offer.paid >= offer.paid
            and (
                not offer.paid
                or own_tokens > PASSING_SHARE * req.uncached_tokens
            )
        )

    def _slot_s(self, offer: Offer, capacity: int) -> float:
        """Predict the wait for slots and memory of requests ahead."""
        waiting = [
            req
            for req in self.scheduler.queued()
            if req.offer.paid >= offer.paid
        ]
        blocking = [req for req in self.running if req.offer.paid >= offer.paid]
        if not blocking:
            return 0
        ahead = (*blocking, *waiting)
        typical_s = sum(
            self.rates.decode_total_s(
                max(0, req.offer.max_tokens - req.generated_tokens)
            )
            for req in ahead
        ) / len(ahead)
        over = 1 + len(waiting) + len(blocking) - max(1, capacity)
        slot_s = max(0, over) * typical_s / max(1, capacity)
        need = offer.prompt_tokens + offer.max_tokens
        need += sum(req.memory_tokens for req in waiting)
        held = sum(req.memory_tokens for req in blocking)
        short = need + held - self.ledger.total_tokens
        return max(slot_s, max(0, short) * typical_s / max(1, held))


def _retry_ms(seconds: float) -> int:
    wanted = int(seconds * MS_PER_S)
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wanted))
