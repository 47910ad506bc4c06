"""Measures claims of non-repeatable calls against the key-value stand-in.

The stand-in is a separate process; the claims of all entries run in this
one. Arrivals are open-loop: a slow claim does not delay the next order.

    python -m masticwind_dev.bench.orders --rate 2000 --duration-s 10
"""

import json
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated, Any, Final

import anyio
import cyclopts
from anyio.abc import TaskGroup
from hdrh.histogram import HdrHistogram

from masticwind.budget import Budget
from masticwind.entry.claim_records import (
    ClaimRequest,
    ClaimState,
    body_digest,
    call_digest,
    claim_key,
)
from masticwind.entry.claims import ClaimOutcome, Claims
from masticwind.entry.pending_claims import HeldClaim
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient
from masticwind.settings import ClaimSettings, PlatformSettings
from masticwind.store.base import Conflict, VersionedValue, WriteResult
from masticwind.store.http import HttpKeyValue
from masticwind_dev.faults.processes import process_group

MAX_LATENCY_US: Final = 60_000_000
US_PER_S: Final = 1_000_000
ARRIVAL_TICK_S: Final = 0.005
TIME_BUDGET_MS: Final = 30_000
BODY: Final = b'{"executed": 1, "path": "/orders"}'


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersPlan:
    """Load and limits; `rate` is orders per second over all entries."""

    rate: int = 2000
    duration_s: float = 10
    entries: int = 2
    buckets: int = 8
    writes_per_s: int = 80
    head_bytes: int = 196_608
    kv_delay_ms: int = 2


DEFAULT_PLAN: Final = OrdersPlan()
_PlanOptions = Annotated[OrdersPlan, cyclopts.Parameter(name='*')]


@dataclass(slots=True)
class _OrderStats:
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3),
    )
    answers: Counter[str] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    write_bytes: int = 0
    largest_value_bytes: int = 0


class _CountingKeyValue(HttpKeyValue):
    """Counts the calls to the key-value service and the bytes written."""

    def __init__(self, cfg: PlatformSettings, stats: _OrderStats) -> None:
        super().__init__(cfg)
        self._stats: Final = stats

    async def get(self, key: str) -> VersionedValue | Failure:
        """Count the read and pass it on."""
        self._stats.calls['reads'] += 1
        return await super().get(key)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> WriteResult:
        """Count the write, its size and a conflict."""
        self._stats.calls['writes'] += 1
        self._stats.write_bytes += len(value)
        self._stats.largest_value_bytes = max(
            self._stats.largest_value_bytes, len(value)
        )
        result = await super().compare_and_swap(
            key, value, expected_revision, lease_id
        )
        if isinstance(result, Conflict):
            self._stats.calls['conflicts'] += 1
        return result

    async def delete(self, key: str, expected_revision: int) -> WriteResult:
        """Count the deletion as a write."""
        self._stats.calls['writes'] += 1
        return await super().delete(key, expected_revision)


async def _claim_order(claims: Claims, number: int, stats: _OrderStats) -> None:
    order = ClaimRequest(
        key=claim_key('bench', f'order-{number}'),
        call_digest=call_digest('POST', 'orders/orders', b'lime'),
        timeout_ms=TIME_BUDGET_MS,
    )
    start = time.monotonic()
    outcome = await claims.claim(order, Budget.from_ms(TIME_BUDGET_MS))
    elapsed_us = int((time.monotonic() - start) * US_PER_S)
    if not isinstance(outcome, HeldClaim):
        kind = outcome.kind if isinstance(outcome, Failure) else 'recorded'
        stats.answers[kind] += 1
        return
    stats.answers['claimed'] += 1
    stats.latencies.record_value(max(1, elapsed_us))
    claims.record_outcome(
        outcome,
        ClaimOutcome(
            state=ClaimState.DONE,
            status=200,
            body_digest=body_digest(BODY),
            content_type='application/json',
            body=BODY,
        ),
    )


async def _generate_load(
    plan: OrdersPlan,
    entries: list[Claims],
    stats: _OrderStats,
    tasks: TaskGroup,
) -> None:
    start = time.monotonic()
    sent_count = 0
    total_count = int(plan.rate * plan.duration_s)
    while sent_count < total_count:
        due_count = int((time.monotonic() - start) * plan.rate)
        for number in range(sent_count, min(due_count, total_count)):
            claims = entries[number % len(entries)]
            tasks.start_soon(_claim_order, claims, number, stats)
        sent_count = max(sent_count, due_count)
        await anyio.sleep(ARRIVAL_TICK_S)


async def _measure(plan: OrdersPlan) -> dict[str, Any]:
    stats = _OrderStats()
    cfg = ClaimSettings(
        buckets=plan.buckets,
        writes_per_s=plan.writes_per_s,
        head_bytes=plan.head_bytes,
    )
    async with process_group() as group:
        standin = await group.start_standin('keyvalue', 'keyvalue')
        platform = PlatformSettings(key_value_url=standin.url)
        await _set_delay(platform, plan.kv_delay_ms)
        entries = [
            Claims(_CountingKeyValue(platform, stats), cfg)
            for _ in range(plan.entries)
        ]
        start = time.monotonic()
        cpu_s = time.process_time()
        await _run_load(plan, entries, stats)
        elapsed_s = time.monotonic() - start
        cpu_s = time.process_time() - cpu_s
    return _build_report(plan, stats, elapsed_s, cpu_s / elapsed_s)


async def _run_load(
    plan: OrdersPlan, entries: list[Claims], stats: _OrderStats
) -> None:
    async with anyio.create_task_group() as tasks:
        for claims in entries:
            tasks.start_soon(claims.run)
        async with anyio.create_task_group() as orders:
            await _generate_load(plan, entries, stats, orders)
        for unflushed in entries:
            await unflushed.flush()
        tasks.cancel_scope.cancel()


async def _set_delay(platform: PlatformSettings, delay_ms: int) -> None:
    client = HttpClient(platform.key_value_url)
    await client.request(
        'POST',
        '/control',
        timeout_s=1,
        body=json.dumps({'switches': {'delay_ms': delay_ms}}).encode(),
    )
    await client.close()


def _build_report(
    plan: OrdersPlan,
    stats: _OrderStats,
    elapsed_s: float,
    cpu_share: float,
) -> dict[str, Any]:
    return {
        'rate': plan.rate,
        'entries': plan.entries,
        'buckets': plan.buckets,
        'head_bytes': plan.head_bytes,
        'kv_delay_ms': plan.kv_delay_ms,
        'elapsed_s': round(elapsed_s, 2),
        'answers': dict(stats.answers),
        'claimed_per_s': round(stats.answers['claimed'] / elapsed_s),
        'writes_per_s': round(stats.calls['writes'] / elapsed_s, 1),
        'conflicts_per_s': round(stats.calls['conflicts'] / elapsed_s, 1),
        'reads_per_s': round(stats.calls['reads'] / elapsed_s, 1),
        'write_mb_per_s': round(stats.write_bytes / elapsed_s / US_PER_S, 2),
        'largest_value_bytes': stats.largest_value_bytes,
        'cpu_cores_of_claims': round(cpu_share, 2),
        'latency_ms': {
            f'p{percent}': round(
                stats.latencies.get_value_at_percentile(percent) / 1000, 1
            )
            for percent in (50, 95, 99, 100)
        },
    }


def measure(plan: _PlanOptions = DEFAULT_PLAN) -> None:
    """Claim orders at a fixed rate and print the measurements as JSON."""
    report = anyio.run(
        _measure,
        plan,
        backend_options={'use_uvloop': True},
    )
    print(json.dumps(report, indent=2))


if __name__ == '__main__':
    cyclopts.run(measure)
