"""Metrics and traces of one process, as one object to pass on."""

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
    """What a process measures."""

    metrics: Metrics
    tracer: Tracer


# Keeps nothing, so that all parts without telemetry can share it.
NO_TELEMETRY: Final = Telemetry(
    Metrics(MetricsSettings()),
    Tracer(TraceSettings(), ''),
)


def make_telemetry(
    cfg: AgentSettings | EntrySettings,
    config: CurrentConfig,
) -> Telemetry:
    """Return the telemetry that the settings ask for."""
    metrics = Metrics(cfg.metrics)
    metrics.add_gauge_source(
        lambda: metrics.gauge(Metric.GENERATION, config.number)
    )
    return Telemetry(metrics, Tracer(cfg.traces, cfg.node))
