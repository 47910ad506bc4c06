"""The load report that an agent sends with its heartbeats."""

from dataclasses import dataclass

from masticwind.agent.gate import Gate
from masticwind.agent.ledger import Ledger
from masticwind.agent.rates import Rates
from masticwind.agent.running import Running
from masticwind.agent.scheduler import Scheduler
from masticwind.protocol.messages import Load


@dataclass(frozen=True, slots=True)
class LoadReporter:
    """Sums up the state of one engine."""

    gate: Gate
    ledger: Ledger
    rates: Rates
    running: Running
    scheduler: Scheduler

    def load(self) -> Load:
        """Return the load report for heartbeats."""
        report = self.gate.report
        running = self.running
        return Load(
            state=self.gate.state(),
            models=() if report is None else report.models,
            slots=max(0, self.gate.capacity() - len(running)),
            running=len(running),
            queued=len(self.scheduler),
            paid_work_tokens=self._work_tokens(paid=True),
            free_work_tokens=self._work_tokens(paid=False),
            prefill_tokens_per_s=self.rates.prefill_tokens_per_s,
            memory_free_tokens=self.ledger.free_tokens,
            memory_total_tokens=self.ledger.total_tokens,
            long_running=int(running.long_prefill()),
        )

    def _work_tokens(self, *, paid: bool) -> int:
        queued = self.scheduler.work_tokens(paid=paid)
        return queued + self.running.prefill_tokens(paid=paid)
