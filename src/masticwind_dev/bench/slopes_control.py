"""Measures the idle cost of an entry or agent by its number of peers.

The process under test is real; its peers are stand-ins that speak the inner
protocol, many in one process. The cost per token is that of the same entry
under load minus its idle cost, divided by the tokens.
"""

import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import anyio
import msgspec
import psutil

from masticwind.config.store import ConfigStore
from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.settings import PlatformSettings
from masticwind.store.http import HttpKeyValue
from masticwind_dev.bench.experiment_fleet import experiment_config
from masticwind_dev.bench.slopes_peers import PeerTotals
from masticwind_dev.faults.fleet import SECRET
from masticwind_dev.faults.processes import (
    Process,
    ProcessGroup,
    process_group,
    set_switches,
)

PEERS_MODULE: Final = 'masticwind_dev.bench.slopes_peers'
READY_TIMEOUT_S: Final = 60.0
SETTLE_DELAY_S: Final = 3.0
POLL_INTERVAL_S: Final = 0.1
KIB: Final = 1024
OK_STATUS: Final = 200
PROMPT: Final = 'How long must the second coat cure? ' * 20


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlPlan:
    """Sizes and times of the measurement of one process.

    Each request under load is for `tokens_per_request` tokens, which the
    stand-ins send 25 ms apart. A `load_requests_per_s` of zero leaves out
    the measurement under load.
    """

    peer_counts: tuple[int, ...] = (18, 150, 600)
    duration_s: float = 10
    peers_per_process: int = 150
    heartbeat_ms: int = 500
    silence_ms: int = 1500
    load_requests_per_s: float = 5
    tokens_per_request: int = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessCost:
    """Cost of the process under test; byte rates count frames, not headers."""

    peers: int
    core_share: float
    rss_kib: int
    bytes_in_per_s: float
    bytes_out_per_s: float

    @property
    def bytes_per_s(self) -> float:
        """Bytes per second, both directions added up."""
        return self.bytes_in_per_s + self.bytes_out_per_s


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """Cost by number of peers, cost of each further peer, and per token."""

    role: str
    idle: list[ProcessCost]
    loaded: list[ProcessCost] = field(default_factory=list)
    slope_core_share: float = 0
    slope_rss_kib: float = 0
    slope_bytes_in_per_s: float = 0
    slope_bytes_out_per_s: float = 0
    tokens_per_s: float = 0
    failed_requests: int = 0
    data_core_us_per_token: list[float] = field(default_factory=list)


class _PeerProcesses:
    """Processes of stand-in peers."""

    def __init__(self, folder: Path, plan: ControlPlan) -> None:
        self._folder: Final = folder
        self._plan: Final = plan
        self._processes: Final[list[subprocess.Popen[bytes]]] = []
        self._output_paths: Final[list[Path]] = []

    def start(self, kind: str, count: int, port: int = 0) -> None:
        """Start `count` peers; `kind` is `listen` or `dial`."""
        batch_size = self._plan.peers_per_process
        for first_number in range(0, count, batch_size):
            path = self._folder / f'peers-{first_number}.out'
            options = {
                kind: min(batch_size, count - first_number),
                'port': port,
                'first': first_number,
                'heartbeat-ms': self._plan.heartbeat_ms,
                'silence-ms': self._plan.silence_ms,
            }
            arguments = [f'--{key}={value}' for key, value in options.items()]
            with path.open('wb') as out:
                self._processes.append(
                    subprocess.Popen(
                        [sys.executable, '-m', PEERS_MODULE, *arguments],
                        stdin=subprocess.DEVNULL,
                        stdout=out,
                    )
                )
            self._output_paths.append(path)

    async def wait_for_ports(self) -> list[int]:
        """Wait until all listeners have reported their ports; return them."""
        ports: list[int] = []
        for path in self._output_paths:
            while b'\n' not in path.read_bytes():
                await anyio.sleep(POLL_INTERVAL_S)
            first_line = path.read_bytes().split(b'\n')[0]
            ports.extend(msgspec.json.decode(first_line, type=list[int]))
        return ports

    def sum_totals(self) -> PeerTotals:
        """Return the sum of what each process last reported."""
        totals = [_read_last_totals(path) for path in self._output_paths]
        return PeerTotals(
            open=sum(total.open for total in totals),
            bytes_in=sum(total.bytes_in for total in totals),
            bytes_out=sum(total.bytes_out for total in totals),
        )

    async def wait_until_connected(self, count: int) -> None:
        """Wait until `count` connections are open, and for the settle delay."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while self.sum_totals().open < count:
                await anyio.sleep(POLL_INTERVAL_S)
        await anyio.sleep(SETTLE_DELAY_S)

    def stop(self) -> None:
        """Kill the processes."""
        for popen in self._processes:
            popen.kill()
            popen.wait()


def _read_last_totals(path: Path) -> PeerTotals:
    lines = path.read_bytes().split(b'\n')[1:-1]
    if not lines:
        return PeerTotals(open=0, bytes_in=0, bytes_out=0)
    return msgspec.json.decode(lines[-1], type=PeerTotals)


@dataclass(slots=True)
class _ControlHarness:
    group: ProcessGroup
    peers: _PeerProcesses
    platform: dict[str, Any]
    instances: Process
    plan: ControlPlan

    def program_settings(self, name: str) -> dict[str, Any]:
        """Return the settings that entries and agents share."""
        return {
            'node': name,
            'zone': 'zone-a',
            'platform': self.platform,
            'peers': {
                'secrets': [SECRET],
                'heartbeat_ms': self.plan.heartbeat_ms,
                'silence_ms': self.plan.silence_ms,
                'fan_out': max(self.plan.peer_counts),
                'dials_per_s': 200,
            },
        }


@asynccontextmanager
async def _control_harness(plan: ControlPlan) -> AsyncIterator[_ControlHarness]:
    async with process_group() as group:
        key_value = await group.start_standin('keyvalue', 'keyvalue')
        instances = await group.start_standin('instances', 'instances')
        platform = {
            'key_value_url': key_value.url,
            'instances_url': instances.url,
        }
        store = ConfigStore(
            HttpKeyValue(PlatformSettings(key_value_url=key_value.url)),
        )
        applied = await store.apply(experiment_config(10, 4), 0, 'bench')
        if isinstance(applied, Failure):
            raise RuntimeError(applied.reason)
        peers = _PeerProcesses(group.folder, plan)
        try:
            yield _ControlHarness(group, peers, platform, instances, plan)
        finally:
            peers.stop()


async def measure_entry(plan: ControlPlan) -> ControlCost:
    """Measure an entry with stand-in agents, idle and under load."""
    idle: list[ProcessCost] = []
    loaded: list[ProcessCost] = []
    failed = 0
    for count in plan.peer_counts:
        async with _control_harness(plan) as harness:
            entry = await _start_entry(harness, count)
            idle.append(await _measure_cost(harness, entry, count))
            if plan.load_requests_per_s:
                async with anyio.create_task_group() as tasks:
                    callers = _OpenLoopCallers(plan, entry)
                    tasks.start_soon(callers.run)
                    # As many streams end as start once the first have ended.
                    await anyio.sleep(plan.tokens_per_request * 0.03)
                    loaded.append(await _measure_cost(harness, entry, count))
                    tasks.cancel_scope.cancel()
                failed += callers.failed
    return _fit_slopes('entry', plan, idle, loaded, failed)


async def measure_agent(plan: ControlPlan) -> ControlCost:
    """Measure an agent of an idle engine with stand-in entries."""
    idle: list[ProcessCost] = []
    for count in plan.peer_counts:
        async with _control_harness(plan) as harness:
            engine = await harness.group.start_standin(
                'engine-0', 'engine', seed=1
            )
            agent = await harness.group.start_program(
                'agent',
                'agent-0',
                {
                    **harness.program_settings('agent-0'),
                    'endpoint': 'engine-0',
                    'endpoint_url': engine.url,
                },
            )
            harness.peers.start('dial', count, agent.port)
            await harness.peers.wait_until_connected(count)
            idle.append(await _measure_cost(harness, agent, count))
    return _fit_slopes('agent', plan, idle, [], 0)


async def _start_entry(harness: _ControlHarness, count: int) -> Process:
    harness.peers.start('listen', count)
    with anyio.fail_after(READY_TIMEOUT_S):
        ports = await harness.peers.wait_for_ports()
    listed = [
        {
            'node': f'peer-{number}',
            'role': 'agent',
            'host': '127.0.0.1',
            'port': port,
            'zone': 'zone-a',
        }
        for number, port in enumerate(ports)
    ]
    await set_switches(harness.instances, instances=listed)
    entry = await harness.group.start_program(
        'entry', 'entry-0', harness.program_settings('entry-0')
    )
    await harness.peers.wait_until_connected(count)
    return entry


async def _measure_cost(
    harness: _ControlHarness, process: Process, count: int
) -> ProcessCost:
    observed = psutil.Process(process.popen.pid)
    before, cpu_before_s, start = (
        harness.peers.sum_totals(),
        _read_cpu_s(observed),
        time.monotonic(),
    )
    await anyio.sleep(harness.plan.duration_s)
    after, elapsed_s = harness.peers.sum_totals(), time.monotonic() - start
    # The directions swap: bytes that the peers receive are bytes that the
    # process under test sends.
    return ProcessCost(
        peers=count,
        core_share=(_read_cpu_s(observed) - cpu_before_s) / elapsed_s,
        rss_kib=observed.memory_info().rss // KIB,
        bytes_in_per_s=(after.bytes_out - before.bytes_out) / elapsed_s,
        bytes_out_per_s=(after.bytes_in - before.bytes_in) / elapsed_s,
    )


class _OpenLoopCallers:
    """Sends requests at a fixed rate, however long they take."""

    def __init__(self, plan: ControlPlan, entry: Process) -> None:
        self.failed = 0
        self._plan: Final = plan
        self._client: Final = HttpClient(entry.url, max_connections=256)

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._send_request)
                await anyio.sleep(1 / self._plan.load_requests_per_s)

    async def _send_request(self) -> None:
        body = {
            'model': 'standard',
            'stream': True,
            'messages': [{'role': 'user', 'content': PROMPT}],
            'max_tokens': self._plan.tokens_per_request,
        }
        answer = await self._client.request(
            'POST',
            '/v1/chat/completions',
            timeout_s=60,
            body=msgspec.json.encode(body),
            headers=[
                (b'authorization', b'Bearer paid-0'),
                (b'x-request-timeout-ms', b'60000'),
            ],
        )
        served = isinstance(answer, HttpAnswer) and answer.status == OK_STATUS
        self.failed += not served


def _fit_slopes(
    role: str,
    plan: ControlPlan,
    idle: list[ProcessCost],
    loaded: list[ProcessCost],
    failed: int,
) -> ControlCost:
    """Return the costs and their slopes from the first to the last size."""
    first, last = idle[0], idle[-1]
    added_peers = max(1, last.peers - first.peers)
    tokens_per_s = (
        plan.load_requests_per_s * plan.tokens_per_request if loaded else 0
    )
    return ControlCost(
        role=role,
        idle=idle,
        loaded=loaded,
        slope_core_share=(last.core_share - first.core_share) / added_peers,
        slope_rss_kib=(last.rss_kib - first.rss_kib) / added_peers,
        slope_bytes_in_per_s=(last.bytes_in_per_s - first.bytes_in_per_s)
        / added_peers,
        slope_bytes_out_per_s=(last.bytes_out_per_s - first.bytes_out_per_s)
        / added_peers,
        tokens_per_s=tokens_per_s,
        failed_requests=failed,
        data_core_us_per_token=[
            (loaded_cost.core_share - idle_cost.core_share) / tokens_per_s * 1e6
            for idle_cost, loaded_cost in zip(idle, loaded, strict=False)
        ],
    )


def _read_cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
