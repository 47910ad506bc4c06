"""Counters and latency histograms of an entry, in Prometheus text format.

Label values come from fixed lists, so the number of time series is bounded.
Every metric is listed in docs/METRICS.md.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from masticwind.web import Receive, Response, Scope, Send, send_response

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
            'Prompts that waited for a better placement',
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
        self.passed_over: Final = Counter(
            'masticwind_requests_passed_over',
            'Requests that were not sent to some endpoints, by the cause',
            ('cause',),
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

    async def serve(
        self,
        _scope: Scope,
        _receive: Receive,
        send: Send,
    ) -> None:
        """Answer a request, whatever its path, with all metrics."""
        text = generate_latest(self._registry)
        await send_response(send, Response(HTTPStatus.OK, text, TEXT_TYPE))
