"""Soak of silences: sound endpoints that write nothing for a while and go on.

Endpoints fall silent for 0.5 to 2 s, alone and together, and entries are
paused for as long, beside versions of the configuration. With `other_faults`,
entries are stopped and killed, links are cut, and endpoints fail, too. The
checks are in `silent_records`.
"""

import json
import random
import shutil
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.faults.proxy import TcpProxy
from masticwind_dev.soak.environment import (
    ENGINE_PARAMETERS,
    ENTRIES,
    PERMANENT_KEY,
    EntryProcess,
    route_document,
)
from masticwind_dev.soak.silent_callers import SilentCaller, SilentLoad
from masticwind_dev.soak.silent_engines import SilentEndpoint
from masticwind_dev.soak.silent_faults import (
    FaultTargets,
    OtherFaultInjector,
    SilenceInjector,
)
from masticwind_dev.soak.silent_records import SilenceFinding, SilentRecords
from masticwind_dev.soak.stop_records import OK
from masticwind_dev.standins.limit_audit import LimitAudit
from masticwind_dev.standins.metadata import MetadataStandin

START_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.01
START_INTERVAL_S: Final = 0.2
MIN_STALL_S: Final = 0.05
# Longer than an endpoint may work on after the end of a request.
SETTLE_S: Final = 1.0
TIMEOUTS_MS: Final = (12_000, 15_000)
IDLE_TIMEOUTS_MS: Final = (10_000, 30_000)
# Longer prompts hold up other streams, so fewer endpoints can take them.
PROMPTS_TOKENS: Final = ((900, 4000, 12_000), (2000, 20_000))
SHOWN_FINDINGS: Final = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class SilenceOptions:
    """How a run differs from others; drawn from its seed."""

    seed: int
    load: SilentLoad
    engines: int = 3
    slots: int = 8
    stream_attempts: int = 2
    entries_pause: bool = False
    other_faults: bool = False


def draw_options(seed: int, *, other_faults: bool = False) -> SilenceOptions:
    """Draw the options of a run; entries pause in those of even seeds."""
    rng = random.Random(f'silent-{seed}')
    return SilenceOptions(
        seed=seed,
        load=SilentLoad(
            callers=rng.choice((8, 12)),
            steady_callers=rng.choice((2, 4)),
            prompt_tokens=rng.choice(PROMPTS_TOKENS),
        ),
        slots=rng.choice((4, 8)),
        engines=rng.choice((2, 3, 3, 4)),
        stream_attempts=rng.choice((2, 2, 3)),
        entries_pause=not seed % 2,
        other_faults=other_faults,
    )


@dataclass(frozen=True, slots=True)
class SilenceResult:
    """The records of a run, its violations, and the folder of its logs.

    The folder is kept only if there are violations.
    """

    options: SilenceOptions
    records: SilentRecords
    findings: list[SilenceFinding]
    folder: Path
    violations: Counter[str] = field(default_factory=Counter)


class SilenceEnvironment:
    """The store, the endpoints and the entries of one run."""

    def __init__(
        self, options: SilenceOptions, folder: Path, records: SilentRecords
    ) -> None:
        self.records: Final = records
        self.store: Final = MetadataStandin()
        self._options: Final = options
        self._server: Final = WebServer(self.store.app, Address())
        self._random: Final = random.Random(f'config-{options.seed}')
        self._version = 0
        self.endpoints: Final = [
            SilentEndpoint(
                f'{service}-{number}',
                service,
                records,
                options.seed,
                options.slots,
            )
            for service in ('calls', 'engines')
            for number in range(options.engines)
        ]
        self.entries: Final = [
            EntryProcess(
                f'entry-{number}',
                folder,
                TcpProxy('127.0.0.1', self._server.port, options.seed),
                LimitAudit(),
            )
            for number in range(ENTRIES)
        ]

    async def start(self, tasks: TaskGroup) -> None:
        """Start all parts; the entries become ready some time later."""
        tasks.start_soon(self._server.run)
        for endpoint in self.endpoints:
            await endpoint.start(tasks)
            self.register(endpoint)
        self.write_next_config()
        for entry in self.entries:
            tasks.start_soon(entry.store_proxy.run)
            tasks.start_soon(entry.run)

    def register(
        self, endpoint: SilentEndpoint, *, leaving: bool = False
    ) -> None:
        """Write the registration of an endpoint to the store."""
        value = endpoint.registration(leaving=leaving)
        self.store.write(f'servers/{endpoint.name}', value)

    def write_next_config(self) -> None:
        """Write the next version of the configuration."""
        self._version += 1
        self.records.versions.append(time.monotonic())
        self.store.write('op/config', json.dumps(self._document()).encode())

    def _document(self) -> dict[str, Any]:
        """Return a version; all versions allow all requests of the callers."""
        attempts = self.records.max_attempts
        routes = [
            route_document(
                'order', 'non_idempotent', 'calls', attempts['order']
            ),
            route_document('read', 'idempotent', 'calls', attempts['read']),
            route_document('chat', 'streaming', 'engines', attempts['chat']),
        ]
        timeout_ms = self._random.choice(TIMEOUTS_MS)
        routes = [{**route, 'timeout_ms': timeout_ms} for route in routes]
        services: list[dict[str, Any]] = [
            {'name': 'calls', 'max_conns': self._random.choice((500, 1000))},
            {
                'name': 'engines',
                'max_conns': 1000,
                'engine': {
                    **dict(ENGINE_PARAMETERS),
                    'slots': self._options.slots,
                },
            },
        ]
        if self._random.random() < 1 / 2:
            routes.append(route_document('other', 'idempotent', 'others', 2))
            services.append({'name': 'others', 'max_conns': 100})
        idle_timeout_ms = self._random.choice(IDLE_TIMEOUTS_MS)
        keys = [PERMANENT_KEY, f'key-{self._version}']
        return {
            'version': self._version,
            'routes': routes,
            'services': services,
            'tenants': [{'name': 'team-a', 'api_keys': keys}],
            'limits': {'idle_timeout_ms': idle_timeout_ms},
        }


async def run_silences(
    options: SilenceOptions, seconds: float
) -> SilenceResult:
    """Run a load beside silences for some seconds and check all requests."""
    folder = Path(tempfile.mkdtemp(prefix=f'masticwind-silent-{options.seed}-'))
    records = SilentRecords(
        {'order': 1, 'read': 2, 'chat': options.stream_attempts},
        started_at=time.monotonic(),
    )
    environment = SilenceEnvironment(options, folder, records)
    async with anyio.create_task_group() as tasks:
        await environment.start(tasks)
        tasks.start_soon(_measure_stalls, records)
        await _wait_until_served(environment)
        await _run_load(environment, options, seconds)
        # What is still at an endpoint is recorded when it ends.
        await anyio.sleep(SETTLE_S)
        tasks.cancel_scope.cancel()
    return _collect_result(options, records, folder)


async def _run_load(
    environment: SilenceEnvironment, options: SilenceOptions, seconds: float
) -> None:
    """Begin requests for some seconds; silences go on until all have ended."""
    async with anyio.create_task_group() as fault_tasks:
        targets = FaultTargets(
            environment.records,
            environment.store,
            environment.endpoints,
            environment.entries,
        )
        silences = SilenceInjector(targets, environment, options.seed)
        fault_tasks.start_soon(silences.run)
        if options.entries_pause:
            fault_tasks.start_soon(silences.pause_entries)
        if options.other_faults:
            faults = OtherFaultInjector(targets, environment, options.seed)
            fault_tasks.start_soon(faults.run)
        await _call(environment, options, seconds)
        fault_tasks.cancel_scope.cancel()


async def _call(
    environment: SilenceEnvironment,
    options: SilenceOptions,
    seconds: float,
) -> None:
    ends_at = time.monotonic() + seconds
    async with anyio.create_task_group() as caller_tasks:
        for entry in environment.entries:
            for number in range(options.load.callers):
                caller = SilentCaller(
                    number,
                    options.seed,
                    environment.records,
                    options.load,
                )
                caller_tasks.start_soon(caller.run, entry, ends_at)


async def _wait_until_served(environment: SilenceEnvironment) -> None:
    """Wait until each entry has served a request of each kind."""
    with anyio.fail_after(START_TIMEOUT_S):
        for entry in environment.entries:
            while not await _serves(entry):
                await anyio.sleep(POLL_INTERVAL_S)


async def _serves(entry: EntryProcess) -> bool:
    """Tell whether an entry serves; these requests are not checked."""
    records = SilentRecords({})
    caller = SilentCaller(
        -1, 1, records, SilentLoad(max_pause_s=0, leave_share=0)
    )
    await caller.run(entry, time.monotonic() + START_INTERVAL_S)
    return any(exchange.req.status == OK for exchange in records.exchanges)


async def _measure_stalls(records: SilentRecords) -> None:
    while True:
        started = time.monotonic()
        await anyio.sleep(POLL_INTERVAL_S)
        now = time.monotonic()
        if now - started > POLL_INTERVAL_S + MIN_STALL_S:
            records.stalls.add('', started, now)


def _collect_result(
    options: SilenceOptions, records: SilentRecords, folder: Path
) -> SilenceResult:
    """Check the records; write what is known to the folder, or delete it."""
    findings = records.find_violations()
    violations = Counter(str(finding.kind) for finding in findings)
    if findings:
        lines = [f'{finding.kind}: {finding.text}' for finding in findings]
        (folder / 'violations').write_text('\n'.join(lines))
        requests = [records.describe(one) for one in records.exchanges]
        (folder / 'requests').write_text('\n'.join(requests))
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return SilenceResult(options, records, findings, folder, violations)


def format_result(result: SilenceResult) -> str:
    """Return the lines that describe a run."""
    options = result.options
    records = result.records
    excused = sum(
        records.is_excused(exchange.req) for exchange in records.exchanges
    )
    part = 'other faults' if options.other_faults else 'silences only'
    lines = [
        f'seed {options.seed} ({part}): {len(records.silences.spans)} silences,'
        f' {len(records.pauses.spans)} pauses, {len(records.faults.spans)}'
        f' faults, {len(records.versions)} versions,'
        f' {len(records.exchanges)} requests, {excused} excused,'
        f' violations {dict(result.violations)}',
        f'  {dict(sorted(records.count_endings().items()))}',
    ]
    lines.extend(
        f'  {finding.kind}: {finding.text}'
        for finding in result.findings[:SHOWN_FINDINGS]
    )
    if result.findings:
        lines.append(f'  logs are in {result.folder}')
    return '\n'.join(lines)
