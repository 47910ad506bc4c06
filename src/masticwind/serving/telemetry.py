"""Counters and latency histograms of an entry, in the usual text format.

Labels come from closed lists, so their number is bounded. Every metric is
listed in docs/METRICS.md.
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
# Bounds in seconds, close around the users' aims of 0.15 to 3 s.
FIRST_EVENT_BOUNDS: Final = (0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 1.5, 3, 6, 12)
# Bounds of prompt sizes, in tokens, and their names.
SHORT_TOKENS: Final = 24_000
MEDIUM_TOKENS: Final = 110_000


def prompt_size_label(prompt: int) -> str:
    """Return the label of a prompt's size; a plain call has none."""
    if not prompt:
        return 'call'
    if prompt <= SHORT_TOKENS:
        return 'short'
    return 'medium' if prompt <= MEDIUM_TOKENS else 'long'


class Telemetry:
    """Metrics of one process, served on an address of their own."""

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
        self.first_event: Final = Histogram(
            'masticwind_first_event_seconds',
            'Time from admission to the first event or the answer',
            ('size',),
            buckets=FIRST_EVENT_BOUNDS,
            registry=self._registry,
        )

    def add_gauge(
        self,
        name: str,
        text: str,
        source: Callable[[], float],
    ) -> None:
        """Add a gauge that is read when the metrics are."""
        gauge = Gauge(name, text, registry=self._registry)
        gauge.set_function(source)

    async def serve(
        self,
        _scope: Scope,
        _receive: Receive,
        send: Send,
    ) -> None:
        """Answer every request with all metrics."""
        text = generate_latest(self._registry)
        await send_response(send, Response(HTTPStatus.OK, text, TEXT_TYPE))
