"""Metrics, which are aggregated in memory and sent as statsd datagrams.

Recording does no I/O. A background task sends the aggregates through a
non-blocking socket and drops datagrams that cannot be sent. All metrics are
listed in docs/METRICS.md. A metric with a label, such as an error kind or a
class of service, is sent as `<name>.<label>`. Labels come from fixed sets, so
the number of names is bounded.

    metrics.count(Metric.CALL_RETRIES)
    metrics.time(Metric.CALL_TIME, elapsed_ms)
"""

import enum
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import Final

import anyio
import statsd
from hdrh.histogram import HdrHistogram

from masticwind.budget import MS_PER_S
from masticwind.settings import MetricsSettings

US_PER_MS: Final = 1000
MAX_TIME_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
SENT_PERCENTILES: Final = (50, 95, 99)
_NO_TIMER: Final = nullcontext()

# A metric and its label, which is often empty.
MetricKey = tuple['Metric', str]


class Metric(enum.StrEnum):
    """All metrics; a name ends with the unit, if there is one."""

    REQUESTS = 'entry.requests'
    FAILURES = 'entry.failures'
    REQUESTS_ACTIVE = 'entry.requests_active'
    REQUEST_TIME = 'entry.request_ms'
    CALLER_CONNECTIONS = 'entry.caller_connections'
    CALLER_KEPT_BYTES = 'entry.caller_kept_bytes'
    CALLERS_CLOSED = 'entry.callers_closed'
    MODEL_ATTEMPTS = 'model.attempts'
    MODEL_RETRIES = 'model.retries'
    MODEL_REFUSALS = 'model.refusals'
    MODEL_FAILURES = 'model.failures'
    FIRST_TOKEN_TIME = 'model.first_token_ms'
    CALL_ATTEMPTS = 'calls.attempts'
    CALL_RETRIES = 'calls.retries'
    CALL_TIME = 'calls.attempt_ms'
    CLAIMS_MADE = 'claims.made'
    CLAIMS_KNOWN = 'claims.known'
    CLAIMS_REFUSED = 'claims.refused'
    CLAIM_TIME = 'claims.claim_ms'
    AGENT_CALLS = 'agent.calls'
    AGENT_CALL_TIME = 'agent.call_ms'
    AGENT_CALLS_RUNNING = 'agent.calls_running'
    AGENT_QUEUED = 'agent.queued'
    AGENT_RUNNING = 'agent.running'
    LEDGER_TOKENS = 'agent.ledger_tokens'
    RAMP_ENTRIES = 'agent.ramp_entries'
    PREEMPTIONS = 'agent.preemptions'
    ORPHANS_CANCELLED = 'agent.orphans_cancelled'
    GENERATION = 'config.generation'


class _NonBlockingClient(statsd.StatsClient):  # type: ignore[misc]
    """A statsd client that drops datagrams instead of blocking."""

    def __init__(self, cfg: MetricsSettings) -> None:
        super().__init__(cfg.host, cfg.port, prefix=cfg.prefix)
        self._sock.setblocking(False)


class Metrics:
    """Collects the metrics of one process, unless no host is configured."""

    def __init__(self, cfg: MetricsSettings) -> None:
        self._cfg: Final = cfg
        self._client: Final = _NonBlockingClient(cfg) if cfg.host else None
        self._counts: Final = Counter[MetricKey]()
        self._gauges: Final[dict[Metric, float]] = {}
        self._times: Final[dict[MetricKey, HdrHistogram]] = {}
        self._gauge_sources: Final[list[Callable[[], None]]] = []

    @property
    def enabled(self) -> bool:
        """Whether metrics are collected."""
        return self._client is not None

    def count(self, metric: Metric, amount: int = 1, label: str = '') -> None:
        """Add to a counter."""
        if self._client is not None and amount:
            self._counts[(metric, label)] += amount

    def gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge; a flush sends the last value."""
        if self._client is not None:
            self._gauges[metric] = level

    def add_gauge_source(self, source: Callable[[], None]) -> None:
        """Call `source` before each flush to set its gauges."""
        if self._client is not None:
            self._gauge_sources.append(source)

    def time(
        self,
        metric: Metric,
        elapsed_ms: float,
        label: str = '',
    ) -> None:
        """Add a duration in milliseconds to a timer."""
        if self._client is None:
            return
        histogram = self._times.get((metric, label))
        if histogram is None:
            histogram = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
            self._times[(metric, label)] = histogram
        elapsed_us = int(elapsed_ms * US_PER_MS)
        histogram.record_value(min(MAX_TIME_US, max(1, elapsed_us)))

    def timed(self, metric: Metric) -> AbstractContextManager[None]:
        """Add the duration of a `with` block to a timer."""
        return _NO_TIMER if self._client is None else self._timed(metric)

    async def run(self) -> None:
        """Flush at each interval, until cancelled."""
        if self._client is None:
            return
        while True:
            await anyio.sleep(self._cfg.flush_ms / MS_PER_S)
            self.flush()

    def flush(self) -> None:
        """Send everything recorded since the last flush."""
        if self._client is None:
            return
        for source in self._gauge_sources:
            source()
        with self._client.pipeline() as batch:
            for counter, amount in self._counts.items():
                batch.incr(_full_name(counter), amount)
            for gauge, level in self._gauges.items():
                batch.gauge(gauge.value, level)
            for timer, histogram in self._times.items():
                for percentile in SENT_PERCENTILES:
                    value_us = histogram.get_value_at_percentile(percentile)
                    batch.timing(
                        f'{_full_name(timer)}.p{percentile}',
                        value_us / US_PER_MS,
                    )
        self._counts.clear()
        self._gauges.clear()
        self._times.clear()

    @contextmanager
    def _timed(self, metric: Metric) -> Iterator[None]:
        start = time.monotonic()
        try:
            yield
        finally:
            self.time(metric, (time.monotonic() - start) * MS_PER_S)


def _full_name(key: MetricKey) -> str:
    metric, label = key
    return f'{metric}.{label}' if label else metric.value
