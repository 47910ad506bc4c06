"""Soak of planned stops: entries that are stopped again and again under load.

The callers keep their connections and go on until a process is gone. The
checks are in `stop_records`.
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
from masticwind_dev.soak.stop_callers import (
    TIME_BUDGET_MS,
    LoadShape,
    PersistentCaller,
)
from masticwind_dev.soak.stop_engines import (
    EngineBehaviour,
    EngineObserver,
    StopEndpoint,
)
from masticwind_dev.soak.stop_entries import EntryOptions, StoppedEntry
from masticwind_dev.soak.stop_leaving import LeavingObserver
from masticwind_dev.soak.stop_records import Finding, StopRecords, describe
from masticwind_dev.standins.metadata import MetadataStandin

ENTRIES: Final = 4
ENGINES: Final = 3
POLL_INTERVAL_S: Final = 0.01
# Requests that are still at an endpoint when a run ends may be recorded late.
SETTLE_S: Final = 0.5
# Grace periods of a run, the usual one and shorter ones.
GRACES_S: Final = ((8.0,), (8.0,), (4.0, 5.0, 6.0))
SLOWNESSES: Final = (1, 1, 1.5, 3)
# Silences of sound engines, and the share of streams that have one.
SILENCES_S: Final = (0, 0, 0.8, 1.6)
SILENCE_SHARE: Final = 0.1
LOADS: Final = (
    LoadShape(),
    LoadShape(callers=16, max_pause_s=0.3),
    LoadShape(callers=2, max_pause_s=1.5, max_duration_ms=300),
    LoadShape(callers=1, max_pause_s=0.5, max_duration_ms=100),
    LoadShape(callers=4, max_pause_s=0.5, max_duration_ms=1500),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOptions:
    """How a run differs from others; drawn from its seed."""

    seed: int
    load: LoadShape
    graces_s: tuple[float, ...]
    behaviours: tuple[EngineBehaviour, ...]
    engines_leave: bool = False


def draw_options(seed: int) -> StopOptions:
    """Draw the options of a run; consecutive seeds have different loads."""
    rng = random.Random(f'stops-{seed}')
    break_share = rng.choice((0, 0, 0.05))
    behaviours = tuple(
        EngineBehaviour(rng.choice(SLOWNESSES), break_share)
        for _ in range(ENGINES)
    )
    # Drawn apart, so that the other options of a seed stay as they were.
    silence_s = random.Random(f'silences-{seed}').choice(SILENCES_S)
    behaviours = tuple(
        replace(behaviour, silence_s=silence_s, silence_share=SILENCE_SHARE)
        for behaviour in behaviours
    )
    return StopOptions(
        seed=seed,
        load=LOADS[seed % len(LOADS)],
        graces_s=GRACES_S[seed % len(GRACES_S)],
        behaviours=behaviours,
    )


@dataclass(frozen=True, slots=True)
class StopResult:
    """The records of a run, its violations, and the folder of its logs.

    The folder is kept only if there are violations.
    """

    records: StopRecords
    findings: list[Finding]
    folder: Path
    violations: Counter[str] = field(default_factory=Counter)


class StopEnvironment:
    """The store, the endpoints and the entries of one run."""

    def __init__(
        self,
        options: StopOptions,
        folder: Path,
        records: StopRecords,
        observer: EngineObserver,
    ) -> None:
        self.records: Final = records
        self._options: Final = options
        self.store: Final = MetadataStandin()
        self._servers: Final = [
            WebServer(store.app, Address())
            for store in (self.store, MetadataStandin())
        ]
        self.endpoints: Final = [
            StopEndpoint(
                f'{service}-{number}',
                service,
                self.records,
                behaviour,
                observer,
            )
            for service in ('calls', 'engines')
            for number, behaviour in enumerate(options.behaviours)
        ]
        entry_options = EntryOptions(
            folder,
            self._servers[0].port,
            self._servers[1].port,
            options.graces_s,
        )
        self.entries: Final = [
            StoppedEntry(
                f'entry-{number}', options.seed, entry_options, self.records
            )
            for number in range(ENTRIES)
        ]
        for entry in self.entries:
            entry.on_suspended = observer.record_suspension

    async def start(self, tasks: TaskGroup) -> None:
        """Start the endpoints, the stores and the callers."""
        for server in self._servers:
            tasks.start_soon(server.run)
        for endpoint in self.endpoints:
            await endpoint.start(tasks)
            self.register(endpoint)
        self.store.write('op/config', json.dumps(config_document()).encode())
        for entry in self.entries:
            for number in range(self._options.load.callers):
                caller = PersistentCaller(
                    f'c{number}',
                    self._options.seed,
                    self.records,
                    self._options.load,
                )
                tasks.start_soon(_call, caller, entry)

    def register(
        self, endpoint: StopEndpoint, *, leaving: bool = False
    ) -> None:
        """Write the registration of an endpoint to the store."""
        value = endpoint.registration(leaving=leaving)
        self.store.write(f'servers/{endpoint.identity}', value)

    def unregister(self, endpoint: StopEndpoint) -> None:
        """Delete the registration of an endpoint."""
        self.store.write(f'servers/{endpoint.identity}', None)


async def run_stops(options: StopOptions, seconds: float) -> StopResult:
    """Stop entries for some seconds; the last stops are completed."""
    folder = Path(tempfile.mkdtemp(prefix=f'masticwind-stops-{options.seed}-'))
    records = StopRecords()
    observer = EngineObserver()
    if options.engines_leave:
        observer = LeavingObserver(records, options.seed)
    environment = StopEnvironment(options, folder, records, observer)
    async with anyio.create_task_group() as tasks:
        await environment.start(tasks)
        if isinstance(observer, LeavingObserver):
            tasks.start_soon(observer.run, environment.endpoints, environment)
        tasks.start_soon(_measure_stalls, records)
        ends_at = time.monotonic() + seconds
        async with anyio.create_task_group() as entry_tasks:
            for entry in environment.entries:
                entry_tasks.start_soon(entry.run, ends_at)
        await anyio.sleep(SETTLE_S)
        tasks.cancel_scope.cancel()
    return collect_result(records, folder)


def collect_result(records: StopRecords, folder: Path) -> StopResult:
    """Check the records; write the violations to the folder, or delete it."""
    findings = records.find_violations()
    violations = Counter(str(finding.kind) for finding in findings)
    if findings:
        lines = [f'{finding.kind}: {finding.text}' for finding in findings]
        (folder / 'violations').write_text('\n'.join(lines))
        requests = [
            describe(req, records.executions.get(req.request_id, ()))
            for req in records.requests
        ]
        (folder / 'requests').write_text('\n'.join(requests))
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return StopResult(records, findings, folder, violations)


def format_result(seed: int, result: StopResult) -> str:
    """Return the lines that describe a run."""
    records = result.records
    passed_on = sum(
        request.request_id in records.executions for request in records.requests
    )
    lines = [
        f'seed {seed}: {len(records.instances)} stops,'
        f' {len(records.requests)} requests, {passed_on} passed on,'
        f' violations {dict(result.violations)},'
        f' stalled for at most {records.longest_stall_s:.3f} s',
        f'  {dict(sorted(records.count_endings().items()))}',
    ]
    lines.extend(
        f'  {finding.kind}: {finding.text}' for finding in result.findings[:10]
    )
    if result.findings:
        lines.append(f'  logs are in {result.folder}')
    return '\n'.join(lines)


async def _measure_stalls(records: StopRecords) -> None:
    while True:
        started = time.monotonic()
        await anyio.sleep(POLL_INTERVAL_S)
        stall_s = time.monotonic() - started - POLL_INTERVAL_S
        records.longest_stall_s = max(records.longest_stall_s, stall_s)


async def _call(caller: PersistentCaller, entry: StoppedEntry) -> None:
    while True:
        if entry.instance is None:
            await anyio.sleep(POLL_INTERVAL_S)
            continue
        await caller.run_once(entry.instance)


def config_document() -> dict[str, object]:
    """Return the configuration of the entries."""
    routes = [
        route_document('order', 'non_idempotent', 'calls', 1),
        route_document('read', 'idempotent', 'calls', 2),
        route_document('chat', 'streaming', 'engines', 2),
    ]
    return {
        'version': 1,
        'routes': [{**route, 'timeout_ms': TIME_BUDGET_MS} for route in routes],
        'services': [
            {'name': 'calls', 'max_conns': 1000},
            {
                'name': 'engines',
                'max_conns': 1000,
                'engine': {**dict(ENGINE_PARAMETERS), 'slots': 16},
            },
        ],
        'tenants': [{'name': 'team-a', 'api_keys': [PERMANENT_KEY]}],
    }
