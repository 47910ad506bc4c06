"""Metrics and traces."""

import re
import socket
from pathlib import Path

import msgspec
import pytest
from prometheus_client import generate_latest

from masticwind.metrics import Metric, Metrics
from masticwind.settings import MetricsSettings, TraceSettings
from masticwind.tracing import Tracer
from tests.entry_harness import running_entry

PLATFORM_HEADING = '## On the platform'
METRICS_PAGE = Path(__file__).parent.parent / 'docs' / 'METRICS.md'
SOURCE_DIR = Path(__file__).parent.parent / 'src' / 'masticwind'
PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def test_page_lists_every_metric_with_its_type() -> None:
    """Guards against a page that is out of date."""
    page = METRICS_PAGE.read_text().partition(PLATFORM_HEADING)[0]
    rows = re.findall(r'^\| `([^`]+)` \| (\w+) \|', page, re.M)
    assert [name for name, _ in rows] == [metric.value for metric in Metric]
    code = ''.join(
        path.read_text()
        for path in SOURCE_DIR.rglob('*.py')
        if path.name != 'metrics.py'
    )
    calls = {
        'counter': r'\.count\(\s*Metric\.{}\b',
        'gauge': r'\.gauge\(\s*Metric\.{}\b',
        'timer': r'\.timed?\(\s*Metric\.{}\b',
    }
    for name, kind in rows:
        member = Metric(name).name
        assert re.search(calls[kind].format(member), code), name


@pytest.mark.anyio
async def test_page_lists_every_metric_of_a_platform_entry() -> None:
    """Guards against a metric that the page lacks or has with a wrong type."""
    page = METRICS_PAGE.read_text().partition(PLATFORM_HEADING)[2]
    listed = set(re.findall(r'^\| `([^`]+)` \| (\w+)', page, re.M))
    async with running_entry() as harness:
        text = generate_latest(harness.entry._telemetry._registry).decode()
    served = set(re.findall(r'^# TYPE (\w+) (\w+)$', text, re.M))
    assert listed == {
        (name, kind) for name, kind in served if not name.endswith('_created')
    }


def test_metrics_are_aggregated_and_sent() -> None:
    """Guards against metrics that are never sent."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(('127.0.0.1', 0))
        receiver.settimeout(5)
        port = receiver.getsockname()[1]
        metrics = Metrics(MetricsSettings(host='127.0.0.1', port=port))
        for _ in range(3):
            metrics.count(Metric.REQUESTS)
        metrics.gauge(Metric.REQUESTS_ACTIVE, 2)
        metrics.time(Metric.REQUEST_TIME, 10)
        metrics.flush()
        text = receiver.recv(4096).decode()
    assert 'masticwind.entry.requests:3|c' in text
    assert 'masticwind.entry.requests_active:2|g' in text
    assert 'masticwind.entry.request_ms.p50:' in text


def test_disabled_metrics_record_nothing() -> None:
    """Guards against memory that grows while metrics are disabled."""
    metrics = Metrics(MetricsSettings())
    metrics.count(Metric.REQUESTS)
    metrics.time(Metric.REQUEST_TIME, 10)
    metrics.flush()
    assert not metrics.enabled
    assert not metrics._counts
    assert not metrics._times


def test_spans_of_two_processes_form_one_trace(tmp_path: Path) -> None:
    """Guards against a trace context that is lost between hops."""
    files = [tmp_path / 'entry.jsonl', tmp_path / 'agent.jsonl']
    entry, agent = (
        Tracer(TraceSettings(file=str(path)), path.stem) for path in files
    )
    with entry.span('entry.request', PARENT) as request:
        with agent.span('agent.call', request.traceparent) as call:
            assert call.traceparent != request.traceparent
    entry.close()
    agent.close()
    spans = [msgspec.json.decode(path.read_text()) for path in files]
    traces = {span['context']['trace_id'] for span in spans}
    assert traces == {f'0x{PARENT[3:35]}'}
    assert spans[0]['parent_id'] == f'0x{PARENT[36:52]}'
    assert spans[1]['parent_id'] == spans[0]['context']['span_id']


def test_disabled_tracer_forwards_the_context() -> None:
    """Guards against a hop without tracing that splits a trace."""
    tracer = Tracer(TraceSettings(), 'entry')
    with tracer.span('entry.request', PARENT) as span:
        assert span.traceparent == PARENT


def test_invalid_context_starts_a_new_trace(tmp_path: Path) -> None:
    """Guards against requests that fail on an invalid traceparent header."""
    tracer = Tracer(TraceSettings(file=str(tmp_path / 'x')), 'entry')
    with tracer.span('entry.request', 'not a context') as span:
        # The second flag says that the trace id is random.
        assert re.fullmatch(
            '00-[0-9a-f]{32}-[0-9a-f]{16}-0[13]', span.traceparent
        )
    tracer.close()
