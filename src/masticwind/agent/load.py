"""Builds the load report that an agent sends in its heartbeats."""

from dataclasses import dataclass
from typing import Final

from masticwind.agent.availability import Availability
from masticwind.agent.ledger import MemoryLedger
from masticwind.agent.rates import Rates
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import RunningRequests
from masticwind.agent.scheduler import Scheduler
from masticwind.protocol.messages import Load

# Limits the size of a heartbeat. Routing avoids an endpoint with so many long
# prompts in any case.
MAX_LONG_REPORTED: Final = 32


@dataclass(frozen=True, slots=True)
class LoadReporter:
    """Summarises the state of one engine."""

    availability: Availability
    ledger: MemoryLedger
    rates: Rates
    running: RunningRequests
    scheduler: Scheduler

    def report(self) -> Load:
        """Return the current load report."""
        report = self.availability.engine_report
        running = self.running
        return Load(
            state=self.availability.load_state(),
            models=() if report is None else report.models,
            slots=max(0, self.availability.capacity() - len(running)),
            running=len(running),
            queued=len(self.scheduler),
            paid_work_tokens=self._uncomputed_tokens(paid=True),
            free_work_tokens=self._uncomputed_tokens(paid=False),
            prefill_tokens_per_s=self.rates.prefill_tokens_per_s,
            memory_free_tokens=self.ledger.free_tokens,
            memory_total_tokens=self.ledger.total_tokens,
            long_running=int(running.has_long_prefill()),
            paid_long_tokens=self._paid_long_tokens(),
        )

    def _uncomputed_tokens(self, *, paid: bool) -> int:
        return sum(
            req.uncached_tokens
            for req in self._uncomputed_requests(paid=paid)
            if not (paid and self.running.is_long(req))
        )

    def _paid_long_tokens(self) -> tuple[int, ...]:
        uncached_tokens = sorted(
            req.uncached_tokens
            for req in self._uncomputed_requests(paid=True)
            if self.running.is_long(req)
        )
        return tuple(uncached_tokens[-MAX_LONG_REPORTED:])

    def _uncomputed_requests(self, *, paid: bool) -> list[AgentRequest]:
        """Return the paid or free requests whose prefill is not complete."""
        started = (req for req in self.running if req.prefilling)
        return [
            req
            for req in (*self.scheduler.queued(), *started)
            if req.offer.paid == paid
        ]
