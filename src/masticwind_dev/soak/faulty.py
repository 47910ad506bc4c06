"""Soak of faulty answers: bytes without end, late copies, and silences.

Some endpoints write bytes that are no answer until they are closed, or an
earlier answer once more, or nothing for a while, in changing spans. Entries
are stopped and started again beside them. The checks are in `faulty_records`.
"""

import json
import random
import shutil
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.soak.environment import (
    ENGINE_PARAMETERS,
    PERMANENT_KEY,
    route_document,
)
from masticwind_dev.soak.faulty_callers import FaultyCaller
from masticwind_dev.soak.faulty_engines import FaultPlan, FaultyEndpoint, Mode
from masticwind_dev.soak.faulty_records import (
    FAILURES,
    MEMORY_MB,
    ROUTE_TIMEOUT_MS,
    FaultyFinding,
    FaultyRecords,
)
from masticwind_dev.soak.faulty_watch import (
    measure_stalls,
    watch_memory,
    watch_readiness,
)
from masticwind_dev.soak.stop_entries import EntryOptions, StoppedEntry
from masticwind_dev.standins.endless import EndlessForm
from masticwind_dev.standins.metadata import MetadataStandin

ENTRIES: Final = 3
ENGINES: Final = 3
CALLERS: Final = (8, 16)
# Callers of each entry where all answers without end have the same form.
STORM_CALLERS: Final = 100
UPTIMES_S: Final = ((2.0, 6.0), (5.0, 12.0))
GRACES_S: Final = ((8.0,), (4.0, 5.0, 6.0))
ENGINE_MEMORY_TOKENS: Final = 20_000
STORM_MODES: Final = (Mode.ENDLESS,)
# What endpoints do, one of these in each span of time.
MODES: Final = (
    (
        Mode.SOUND,
        Mode.ENDLESS,
        Mode.ENDLESS,
        Mode.COPIES,
        Mode.COPIES,
        Mode.SILENT,
    ),
    STORM_MODES,
    (Mode.SOUND, Mode.COPIES, Mode.COPIES, Mode.COPIES, Mode.SILENT),
    (Mode.ENDLESS, Mode.ENDLESS, Mode.SILENT),
)
SETTLE_S: Final = 0.5
SHOWN_FINDINGS: Final = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultyOptions:
    """How a run differs from others; drawn from its seed."""

    seed: int
    callers: int
    graces_s: tuple[float, ...]
    uptimes_s: tuple[float, float]
    modes: tuple[Mode, ...]
    forms: tuple[EndlessForm, ...] = tuple(EndlessForm)


def draw_options(seed: int) -> FaultyOptions:
    """Draw the options of a run."""
    rng = random.Random(f'faulty-{seed}')
    options = FaultyOptions(
        seed=seed,
        callers=rng.choice(CALLERS),
        graces_s=rng.choice(GRACES_S),
        uptimes_s=rng.choice(UPTIMES_S),
        modes=MODES[seed % len(MODES)],
    )
    if options.modes != STORM_MODES:
        return options
    forms = tuple(EndlessForm)
    form = forms[seed // len(MODES) % len(forms)]
    return replace(options, callers=STORM_CALLERS, forms=(form,))


@dataclass(frozen=True, slots=True)
class FaultyResult:
    """The records of a run, its violations, and the folder of its logs.

    The folder is kept only if there are violations.
    """

    options: FaultyOptions
    records: FaultyRecords
    findings: list[FaultyFinding]
    folder: Path
    violations: Counter[str] = field(default_factory=Counter)


class FaultyEnvironment:
    """The store, the endpoints and the entries of one run."""

    def __init__(
        self, options: FaultyOptions, folder: Path, records: FaultyRecords
    ) -> None:
        self._options: Final = options
        self._records: Final = records
        self._store: Final = MetadataStandin()
        self._servers: Final = [
            WebServer(store.app, Address())
            for store in (self._store, MetadataStandin())
        ]
        self._endpoints: Final = [
            FaultyEndpoint(
                f'{service}-{number}',
                service,
                records,
                FaultPlan(options.seed, options.modes, options.forms),
                always_ends=not number,
            )
            for service in ('calls', 'engines')
            for number in range(ENGINES)
        ]
        entry_options = EntryOptions(
            folder,
            self._servers[0].port,
            self._servers[1].port,
            options.graces_s,
            uptimes_s=options.uptimes_s,
            memory_mb=MEMORY_MB,
        )
        self.entries: Final = [
            StoppedEntry(
                f'entry-{number}', options.seed, entry_options, records
            )
            for number in range(ENTRIES)
        ]

    async def start(self, tasks: TaskGroup) -> None:
        """Start the stores, the endpoints, the callers and the watches."""
        for server in self._servers:
            tasks.start_soon(server.run)
        for endpoint in self._endpoints:
            await endpoint.start(tasks)
            self._store.write(
                f'servers/{endpoint.identity}', endpoint.registration()
            )
            tasks.start_soon(endpoint.change)
        self._store.write('op/config', json.dumps(config_document()).encode())
        tasks.start_soon(measure_stalls, self._records)
        tasks.start_soon(watch_memory, self.entries, self._records)
        for entry in self.entries:
            tasks.start_soon(watch_readiness, entry, self._records)
            for number in range(self._options.callers):
                caller = FaultyCaller(
                    f'c{number}', self._options.seed, self._records
                )
                tasks.start_soon(caller.run, entry)


async def run_faulty_answers(
    options: FaultyOptions, seconds: float
) -> FaultyResult:
    """Run a load beside faulty answers; the last stops are completed."""
    folder = Path(tempfile.mkdtemp(prefix=f'masticwind-faulty-{options.seed}-'))
    records = FaultyRecords(started_at=time.monotonic())
    environment = FaultyEnvironment(options, folder, records)
    async with anyio.create_task_group() as tasks:
        await environment.start(tasks)
        ends_at = time.monotonic() + seconds
        async with anyio.create_task_group() as entry_tasks:
            for entry in environment.entries:
                entry_tasks.start_soon(entry.run, ends_at)
        await anyio.sleep(SETTLE_S)
        tasks.cancel_scope.cancel()
    return _collect_result(options, records, folder)


def _collect_result(
    options: FaultyOptions, records: FaultyRecords, folder: Path
) -> FaultyResult:
    """Check the records; write what is known to the folder, or delete it."""
    findings = records.find_faults()
    violations = Counter(str(finding.kind) for finding in findings)
    if findings:
        lines = [f'{finding.kind}: {finding.text}' for finding in findings]
        (folder / 'violations').write_text('\n'.join(lines))
        requests = [records.describe(one) for one in records.exchanges]
        (folder / 'requests').write_text('\n'.join(requests))
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return FaultyResult(options, records, findings, folder, violations)


def format_result(result: FaultyResult) -> str:
    """Return the lines that describe a run."""
    records = result.records
    peak_mb = max(records.peak_memory_mb.values(), default=0)
    slowest_s = max((probe.duration_s for probe in records.probes), default=0)
    lines = [
        f'seed {result.options.seed}: {len(records.instances)} stops,'
        f' {len(records.requests)} requests, {len(records.endless)} endless,'
        f' violations {dict(result.violations)},'
        f' {peak_mb:.0f} MB at most, ready after {slowest_s:.2f} s at most,'
        f' stalled for at most {records.longest_stall_s:.3f} s',
        f'  {dict(sorted(records.count_endings().items()))}',
        f'  {dict(sorted(records.faults.items()))}',
        f'  {_failed_share(records):.1%} of the answered reads failed',
    ]
    lines.extend(
        f'  {finding.kind}: {finding.text}'
        for finding in result.findings[:SHOWN_FINDINGS]
    )
    if result.findings:
        lines.append(f'  logs are in {result.folder}')
    return '\n'.join(lines)


def _failed_share(records: FaultyRecords) -> float:
    """Return the share of the reads that entries have answered with 502."""
    statuses = [
        req.status
        for req in records.requests
        if req.kind == 'read' and req.status
    ]
    failed = sum(status in FAILURES for status in statuses)
    return failed / max(1, len(statuses))


def config_document() -> dict[str, object]:
    """Return the configuration of the entries."""
    routes = [
        route_document('order', 'non_idempotent', 'calls', 1),
        route_document('read', 'idempotent', 'calls', 2),
        route_document('chat', 'streaming', 'engines', 2),
    ]
    engine = {
        **dict(ENGINE_PARAMETERS),
        'slots': 16,
        'kv_capacity': ENGINE_MEMORY_TOKENS,
        'hop_ms': 0.1,
    }
    return {
        'version': 1,
        'routes': [
            {**route, 'timeout_ms': ROUTE_TIMEOUT_MS} for route in routes
        ],
        'services': [
            {'name': 'calls', 'max_conns': 1000},
            {'name': 'engines', 'max_conns': 1000, 'engine': engine},
        ],
        'tenants': [{'name': 'team-a', 'api_keys': [PERMANENT_KEY]}],
    }
