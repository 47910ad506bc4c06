"""Traces with one span per hop, written as JSON lines by a background thread.

Processes pass the trace context as a W3C traceparent string. While tracing is
disabled, a span only forwards the traceparent of its parent.

    with tracer.span('entry.attempt', parent) as span:
        offer = Offer(..., trace=span.traceparent)
"""

import time
from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager, nullcontext
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from masticwind.settings import TraceSettings

TRACEPARENT: Final = 'traceparent'
NS_PER_S: Final = 1_000_000_000
Attributes = Mapping[str, str | int]


@dataclass(frozen=True, slots=True)
class SpanContext:
    """A span to pass to later hops; `traceparent` can be empty."""

    traceparent: str


class Tracer:
    """Creates the spans of one process, unless no file is configured."""

    def __init__(self, cfg: TraceSettings, node: str) -> None:
        self._provider: TracerProvider | None = None
        self._propagator: Final = TraceContextTextMapPropagator()
        if not cfg.file:
            return
        out = Path(cfg.file).open('a', encoding='utf-8')
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(cfg.sample_share)),
            resource=Resource({'service.name': 'masticwind', 'node': node}),
        )
        exporter = ConsoleSpanExporter(out=out, formatter=_json_line)
        provider.add_span_processor(BatchSpanProcessor(exporter))
        self._provider = provider

    def span(
        self,
        name: str,
        parent: str = '',
        attributes: Attributes | None = None,
    ) -> AbstractContextManager[SpanContext]:
        """Open a child span of `parent`, a traceparent string or empty."""
        if self._provider is None:
            return nullcontext(SpanContext(parent))
        return self._span(name, parent, attributes)

    def record_span(self, name: str, parent: str, elapsed_s: float) -> None:
        """Record a span that ends now and started `elapsed_s` seconds ago.

        This is for periods outside a `with` block, such as the time in a queue.
        """
        if self._provider is None:
            return
        parent_context = self._propagator.extract(
            {TRACEPARENT: parent}, Context()
        )
        tracer = self._provider.get_tracer('masticwind')
        end_ns = time.time_ns()
        start_ns = end_ns - max(0, int(elapsed_s * NS_PER_S))
        tracer.start_span(name, parent_context, start_time=start_ns).end(end_ns)

    def close(self) -> None:
        """Write all buffered spans."""
        if self._provider is not None:
            self._provider.shutdown()

    @contextmanager
    def _span(
        self,
        name: str,
        parent: str,
        attributes: Attributes | None,
    ) -> Iterator[SpanContext]:
        assert self._provider is not None
        # An invalid traceparent starts a new trace.
        parent_context = self._propagator.extract(
            {TRACEPARENT: parent}, Context()
        )
        tracer = self._provider.get_tracer('masticwind')
        span = tracer.start_span(name, parent_context, attributes=attributes)
        carrier: dict[str, str] = {}
        self._propagator.inject(
            carrier, set_span_in_context(span, parent_context)
        )
        try:
            yield SpanContext(carrier.get(TRACEPARENT, ''))
        finally:
            span.end()


def _json_line(span: ReadableSpan) -> str:
    line: str = span.to_json(indent=None)
    return f'{line}\n'
