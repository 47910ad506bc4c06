"""Metrics and traces of one process, as one object to pass on."""

from dataclasses import dataclass

from masticwind.metrics import Metrics
from masticwind.settings import AgentSettings, EntrySettings
from masticwind.tracing import Tracer


@dataclass(frozen=True, slots=True)
class Telemetry:
    """What a process measures."""

    metrics: Metrics
    tracer: Tracer


def make_telemetry(cfg: AgentSettings | EntrySettings) -> Telemetry:
    """Return the telemetry that the settings ask for."""
    return Telemetry(Metrics(cfg.metrics), Tracer(cfg.traces, cfg.node))
