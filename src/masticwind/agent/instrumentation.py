"""What an agent measures of the model requests at its endpoint."""

import time
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Final

from masticwind.agent.ledger import Ledger
from masticwind.agent.ramp import Ramp
from masticwind.agent.reconcile import Reconciler
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import Running
from masticwind.agent.scheduler import Scheduler
from masticwind.metrics import Metric
from masticwind.telemetry import Telemetry
from masticwind.tracing import SpanContext

QUEUE_SPAN: Final = 'agent.queue'
ENGINE_SPAN: Final = 'agent.engine'


@dataclass(frozen=True, slots=True)
class Sampled:
    """What is read before each flush of the metrics."""

    ledger: Ledger
    ramp: Ramp
    reconciler: Reconciler
    running: Running
    scheduler: Scheduler


class Observer:
    """Reports the state of one agent."""

    def __init__(self, telemetry: Telemetry, sampled: Sampled) -> None:
        self._telemetry: Final = telemetry
        self._sampled: Final = sampled
        self._ramp_entries = 0
        self._cancelled = 0
        telemetry.metrics.sample(self._sample)

    def left_queue(self, req: AgentRequest) -> None:
        """Write the span of the time that a request has waited."""
        self._telemetry.tracer.record(
            QUEUE_SPAN,
            req.offer.trace,
            time.monotonic() - req.queued_at,
        )

    def engine_span(
        self, req: AgentRequest
    ) -> AbstractContextManager[SpanContext]:
        """Return the span of one turn of a request at the engine."""
        return self._telemetry.tracer.span(
            ENGINE_SPAN,
            req.offer.trace,
            {'engine_id': req.engine_id},
        )

    def count_preemption(self) -> None:
        """Count a free request that is stopped for a paid one."""
        self._telemetry.metrics.count(Metric.PREEMPTIONS)

    def _sample(self) -> None:
        metrics, state = self._telemetry.metrics, self._sampled
        metrics.gauge(Metric.AGENT_QUEUED, len(state.scheduler))
        metrics.gauge(Metric.AGENT_RUNNING, len(state.running))
        used = state.ledger.total_tokens - state.ledger.free_tokens
        metrics.gauge(Metric.LEDGER_TOKENS, used)
        entries = state.ramp.restarts - self._ramp_entries
        metrics.count(Metric.RAMP_ENTRIES, entries)
        self._ramp_entries = state.ramp.restarts
        cancelled = state.reconciler.cancelled_orphans - self._cancelled
        metrics.count(Metric.ORPHANS_CANCELLED, cancelled)
        self._cancelled = state.reconciler.cancelled_orphans
