"""Metrics and traces of one process in one object."""

from dataclasses import dataclass
from typing import Final

from masticwind.config.current import CurrentConfig
from masticwind.metrics import Metric, Metrics
from masticwind.settings import (
    AgentSettings,
    EntrySettings,
    MetricsSettings,
    TraceSettings,
)
from masticwind.tracing import Tracer


@dataclass(frozen=True, slots=True)
class Telemetry:
    """The metrics and the tracer of a process."""

    metrics: Metrics
    tracer: Tracer


# Records nothing, so all components without telemetry can share it.
NO_TELEMETRY: Final = Telemetry(
    Metrics(MetricsSettings()),
    Tracer(TraceSettings(), ''),
)


def make_telemetry(
    cfg: AgentSettings | EntrySettings,
    config: CurrentConfig,
) -> Telemetry:
    """Return the telemetry of a process, according to its settings."""
    metrics = Metrics(cfg.metrics)
    metrics.add_gauge_source(
        lambda: metrics.gauge(Metric.GENERATION, config.number)
    )
    return Telemetry(metrics, Tracer(cfg.traces, cfg.node))
