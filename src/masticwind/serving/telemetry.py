"""Counters and latency histograms of an entry, in Prometheus text format.

Label values come from fixed lists, so the number of time series is bounded.
Every metric is listed in docs/METRICS.md.
"""

from collections.abc import Callable, Iterator, Mapping
from http import HTTPStatus
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from masticwind.web import Receive, Response, Scope, Send, send_response

# A source for each label value.
CounterSources = Mapping[str, Callable[[], float]]

TEXT_TYPE: Final = b'text/plain; version=0.0.4; charset=utf-8'
# Histogram buckets in seconds, close together around the first event targets
# of routes, which are 0.15 to 3 s.
FIRST_EVENT_BUCKETS: Final = (0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 1.5, 3, 6, 12)
ERROR_RATIO_BUCKETS: Final = (0.25, 0.5, 0.7, 1, 1.4, 2, 3, 4, 8)
MAX_SHORT_PROMPT_TOKENS: Final = 24_000
MAX_MEDIUM_PROMPT_TOKENS: Final = 110_000


def prompt_size_label(prompt_tokens: int) -> str:
    """Return the metric label of a prompt's size; 'call' without a prompt."""
    if not prompt_tokens:
        return 'call'
    if prompt_tokens <= MAX_SHORT_PROMPT_TOKENS:
        return 'short'
    return 'medium' if prompt_tokens <= MAX_MEDIUM_PROMPT_TOKENS else 'long'


class _SourceCounter(Collector):
    """A counter whose values are read at each scrape."""

    def __init__(
        self, name: str, text: str, label: str, sources: CounterSources
    ) -> None:
        self._name: Final = name
        self._text: Final = text
        self._label: Final = label
        self._sources: Final = sources

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the values of all labels."""
        family = CounterMetricFamily(
            self._name, self._text, labels=[self._label]
        )
        for label_value, source in self._sources.items():
            family.add_metric([label_value], source())
        yield family


class Telemetry:
    """Metrics of one process, served on a separate address."""

    def __init__(self) -> None:
        self._registry: Final = CollectorRegistry()
        self.requests: Final = Counter(
            'masticwind_requests',
            'Requests by their outcome',
            ('outcome',),
            registry=self._registry,
        )
        self.attempts: Final = Counter(
            'masticwind_attempts',
            'Sendings to endpoints by their outcome',
            ('outcome',),
            registry=self._registry,
        )
        self.deferrals: Final = Counter(
            'masticwind_deferrals',
            'Requests that waited for a better placement or an endpoint',
            registry=self._registry,
        )
        self.crashes: Final = Counter(
            'masticwind_prompts_at_crashes',
            'Prompts whose endpoint ended before it wrote an event',
            registry=self._registry,
        )
        self.permits: Final = Counter(
            'masticwind_permits',
            'Permits for endpoints that limit their requests',
            ('outcome',),
            registry=self._registry,
        )
        self.endpoint_news: Final = Counter(
            'masticwind_endpoint_news',
            'Endpoints that were reported as gone by any entry',
            ('what',),
            registry=self._registry,
        )
        self.passed_over: Final = Counter(
            'masticwind_requests_passed_over',
            'Requests that were not sent to some endpoints, by the cause',
            ('cause',),
            registry=self._registry,
        )
        self.overload_decisions: Final = Counter(
            'masticwind_overload_decisions',
            'Prompts that there was no room for, or that came back',
            ('decision',),
            registry=self._registry,
        )
        self.first_event: Final = Histogram(
            'masticwind_first_event_seconds',
            'Time from admission to the first event or the answer',
            ('size',),
            buckets=FIRST_EVENT_BUCKETS,
            registry=self._registry,
        )

        self.prediction_error: Final = Histogram(
            'masticwind_prediction_error_ratio',
            'Actual times of prompts as multiples of the predicted ones',
            ('size', 'time', 'prediction'),
            buckets=ERROR_RATIO_BUCKETS,
            registry=self._registry,
        )

    def add_gauge(
        self,
        name: str,
        text: str,
        source: Callable[[], float],
    ) -> None:
        """Add a gauge whose value is read from `source` at each scrape."""
        gauge = Gauge(name, text, registry=self._registry)
        gauge.set_function(source)

    def add_counter(
        self, name: str, text: str, label: str, sources: CounterSources
    ) -> None:
        """Add a counter that is read from a source for each label value."""
        self._registry.register(_SourceCounter(name, text, label, sources))

    async def serve(
        self,
        _scope: Scope,
        _receive: Receive,
        send: Send,
    ) -> None:
        """Answer a request, whatever its path, with all metrics."""
        text = generate_latest(self._registry)
        await send_response(send, Response(HTTPStatus.OK, text, TEXT_TYPE))
