"""Measures claims of non-repeatable calls against the key-value stand-in.

The stand-in is a process of its own; the entries' claims run in this one.
Orders arrive open-loop: a late answer does not slow the arrivals down.

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
TICK_S: Final = 0.005
BUDGET_MS: Final = 30_000
BODY: Final = b'{"executed": 1, "path": "/orders"}'


@dataclass(frozen=True, slots=True, kw_only=True)
class OrdersPlan:
    """Load, in orders per second for all entries together."""

    rate: int = 2000
    duration_s: float = 10
    entries: int = 2
    buckets: int = 8
    writes_per_s: int = 80
    head_bytes: int = 196_608
    kv_delay_ms: int = 2


DEFAULT_PLAN: Final = OrdersPlan()
_Plan = Annotated[OrdersPlan, cyclopts.Parameter(name='*')]


@dataclass(slots=True)
class _Seen:
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3),
    )
    answers: Counter[str] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    write_bytes: int = 0
    largest_value: int = 0


class _CountingKeyValue(HttpKeyValue):
    """Counts calls and sizes as the key-value service is asked."""

    def __init__(self, cfg: PlatformSettings, seen: _Seen) -> None:
        super().__init__(cfg)
        self._seen: Final = seen

    async def get(self, key: str) -> VersionedValue | Failure:
        """Count and read."""
        self._seen.calls['reads'] += 1
        return await super().get(key)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> WriteResult:
        """Count and write."""
        self._seen.calls['writes'] += 1
        self._seen.write_bytes += len(value)
        self._seen.largest_value = max(self._seen.largest_value, len(value))
        result = await super().compare_and_swap(
            key, value, expected_revision, lease_id
        )
        if isinstance(result, Conflict):
            self._seen.calls['conflicts'] += 1
        return result

    async def delete(self, key: str, expected_revision: int) -> WriteResult:
        """Count a deletion as a write."""
        self._seen.calls['writes'] += 1
        return await super().delete(key, expected_revision)


async def _one_order(claims: Claims, number: int, seen: _Seen) -> None:
    order = ClaimRequest(
        key=claim_key('bench', f'order-{number}'),
        call_digest=call_digest('POST', 'orders/orders', b'lime'),
        timeout_ms=BUDGET_MS,
    )
    start = time.monotonic()
    answer = await claims.claim(order, Budget.from_ms(BUDGET_MS))
    elapsed_us = int((time.monotonic() - start) * US_PER_S)
    if not isinstance(answer, HeldClaim):
        kind = answer.kind if isinstance(answer, Failure) else 'recorded'
        seen.answers[kind] += 1
        return
    seen.answers['claimed'] += 1
    seen.latencies.record_value(max(1, elapsed_us))
    claims.record_outcome(
        answer,
        ClaimOutcome(
            state=ClaimState.DONE,
            status=200,
            body_digest=body_digest(BODY),
            content_type='application/json',
            body=BODY,
        ),
    )


async def _load(
    plan: OrdersPlan,
    entries: list[Claims],
    seen: _Seen,
    tasks: TaskGroup,
) -> None:
    start = time.monotonic()
    sent = 0
    total = int(plan.rate * plan.duration_s)
    while sent < total:
        due = int((time.monotonic() - start) * plan.rate)
        for number in range(sent, min(due, total)):
            claims = entries[number % len(entries)]
            tasks.start_soon(_one_order, claims, number, seen)
        sent = max(sent, due)
        await anyio.sleep(TICK_S)


async def _measure(plan: OrdersPlan) -> dict[str, Any]:
    seen = _Seen()
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
            Claims(_CountingKeyValue(platform, seen), cfg)
            for _ in range(plan.entries)
        ]
        start = time.monotonic()
        cpu_s = time.process_time()
        await _run(plan, entries, seen)
        elapsed_s = time.monotonic() - start
        cpu_s = time.process_time() - cpu_s
    return _report(plan, seen, elapsed_s, cpu_s / elapsed_s)


async def _run(plan: OrdersPlan, entries: list[Claims], seen: _Seen) -> None:
    async with anyio.create_task_group() as tasks:
        for claims in entries:
            tasks.start_soon(claims.run)
        async with anyio.create_task_group() as orders:
            await _load(plan, entries, seen, orders)
        for settling in entries:
            await settling.flush()
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


def _report(
    plan: OrdersPlan,
    seen: _Seen,
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
        'answers': dict(seen.answers),
        'claimed_per_s': round(seen.answers['claimed'] / elapsed_s),
        'writes_per_s': round(seen.calls['writes'] / elapsed_s, 1),
        'conflicts_per_s': round(seen.calls['conflicts'] / elapsed_s, 1),
        'reads_per_s': round(seen.calls['reads'] / elapsed_s, 1),
        'write_mb_per_s': round(seen.write_bytes / elapsed_s / US_PER_S, 2),
        'largest_value_bytes': seen.largest_value,
        'cpu_cores_of_claims': round(cpu_share, 2),
        'latency_ms': {
            f'p{share}': round(
                seen.latencies.get_value_at_percentile(share) / 1000, 1
            )
            for share in (50, 95, 99, 100)
        },
    }


def measure(plan: _Plan = DEFAULT_PLAN) -> None:
    """Claim orders at a fixed rate and print what was measured as JSON."""
    found = anyio.run(
        _measure,
        plan,
        backend_options={'use_uvloop': True},
    )
    print(json.dumps(found, indent=2))


if __name__ == '__main__':
    cyclopts.run(measure)
