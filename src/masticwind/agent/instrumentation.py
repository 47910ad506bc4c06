"""Metrics and trace spans of the model requests at one endpoint."""

import time
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Final

from masticwind.agent.ledger import MemoryLedger
from masticwind.agent.ramp import Ramp
from masticwind.agent.reconcile import Reconciler
from masticwind.agent.requests import AgentRequest
from masticwind.agent.running import RunningRequests
from masticwind.agent.scheduler import Scheduler
from masticwind.metrics import Metric
from masticwind.telemetry import Telemetry
from masticwind.tracing import SpanContext

QUEUE_SPAN: Final = 'agent.queue'
ENGINE_SPAN: Final = 'agent.engine'


@dataclass(frozen=True, slots=True)
class SampledState:
    """Objects whose state is sampled before each flush of the metrics."""

    ledger: MemoryLedger
    ramp: Ramp
    reconciler: Reconciler
    running: RunningRequests
    scheduler: Scheduler


class Instrumentation:
    """Records metrics and spans of one agent's requests."""

    def __init__(self, telemetry: Telemetry, sampled: SampledState) -> None:
        self._telemetry: Final = telemetry
        self._state: Final = sampled
        self._reported_restarts = 0
        self._reported_cancelled = 0
        telemetry.metrics.add_gauge_source(self._sample_metrics)

    def record_queue_span(self, req: AgentRequest) -> None:
        """Record a span for the time that a request spent in the queue."""
        self._telemetry.tracer.record_span(
            QUEUE_SPAN,
            req.offer.trace,
            time.monotonic() - req.queued_at,
        )

    def engine_span(
        self, req: AgentRequest
    ) -> AbstractContextManager[SpanContext]:
        """Return a span for one submission of a request to the engine."""
        return self._telemetry.tracer.span(
            ENGINE_SPAN,
            req.offer.trace,
            {'engine_id': req.engine_id},
        )

    def count_preemption(self) -> None:
        """Count a free request that is preempted by a paid one."""
        self._telemetry.metrics.count(Metric.PREEMPTIONS)

    def _sample_metrics(self) -> None:
        metrics, state = self._telemetry.metrics, self._state
        metrics.gauge(Metric.AGENT_QUEUED, len(state.scheduler))
        metrics.gauge(Metric.AGENT_RUNNING, len(state.running))
        used_tokens = state.ledger.total_tokens - state.ledger.free_tokens
        metrics.gauge(Metric.LEDGER_TOKENS, used_tokens)
        restarts = state.ramp.restarts - self._reported_restarts
        metrics.count(Metric.RAMP_ENTRIES, restarts)
        self._reported_restarts = state.ramp.restarts
        cancelled = (
            state.reconciler.cancelled_orphans - self._reported_cancelled
        )
        metrics.count(Metric.ORPHANS_CANCELLED, cancelled)
        self._reported_cancelled = state.reconciler.cancelled_orphans
