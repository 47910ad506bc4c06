"""Control cost of one entry or one agent against the number of its peers.

The process under test is real; its peers are stand-ins that speak the inner
protocol, many in one process. The data cost is taken from the same entry
with callers: the difference to its idle cost, divided by the tokens.
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
from masticwind_dev.bench.arena import arena_config
from masticwind_dev.bench.slopes_peers import Totals
from masticwind_dev.faults.fleet import SECRET
from masticwind_dev.faults.processes import (
    Process,
    ProcessGroup,
    process_group,
    set_switches,
)

MODULE: Final = 'masticwind_dev.bench.slopes_peers'
READY_TIMEOUT_S: Final = 60.0
SETTLE_S: Final = 3.0
POLL_S: Final = 0.1
KIB: Final = 1024
OK_STATUS: Final = 200
PROMPT: Final = 'How long must the second coat cure? ' * 20


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlPlan:
    """Sizes and times of the measurement of one process.

    `load_rate` is requests a second during the loaded part, each of
    `load_tokens` tokens that come 25 ms apart; zero leaves that part out.
    """

    peers: tuple[int, ...] = (18, 150, 600)
    duration_s: float = 10
    peers_per_process: int = 150
    heartbeat_ms: int = 500
    silence_ms: int = 1500
    load_rate: float = 5
    load_tokens: int = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Cost of the process under test; bytes are frames without headers."""

    peers: int
    core_share: float
    rss_kib: int
    bytes_in_per_s: float
    bytes_out_per_s: float

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second in both directions together."""
        return self.bytes_in_per_s + self.bytes_out_per_s


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """Cost at each size, the slope for each peer, and the data cost."""

    role: str
    idle: list[Cost]
    loaded: list[Cost] = field(default_factory=list)
    slope_core_share: float = 0
    slope_rss_kib: float = 0
    slope_bytes_in_per_s: float = 0
    slope_bytes_out_per_s: float = 0
    tokens_per_s: float = 0
    failed_requests: int = 0
    data_core_us_per_token: list[float] = field(default_factory=list)


class _Peers:
    """Processes of stand-in peers; ends them with the context."""

    def __init__(self, folder: Path, plan: ControlPlan) -> None:
        self._folder: Final = folder
        self._plan: Final = plan
        self._started: Final[list[subprocess.Popen[bytes]]] = []
        self._outs: Final[list[Path]] = []

    def start(self, kind: str, count: int, port: int = 0) -> None:
        """Start `count` peers; `kind` is `listen` or `dial`."""
        step = self._plan.peers_per_process
        for first in range(0, count, step):
            path = self._folder / f'peers-{first}.out'
            options = {
                kind: min(step, count - first),
                'port': port,
                'first': first,
                'heartbeat-ms': self._plan.heartbeat_ms,
                'silence-ms': self._plan.silence_ms,
            }
            arguments = [f'--{key}={value}' for key, value in options.items()]
            with path.open('wb') as out:
                self._started.append(
                    subprocess.Popen(
                        [sys.executable, '-m', MODULE, *arguments],
                        stdin=subprocess.DEVNULL,
                        stdout=out,
                    )
                )
            self._outs.append(path)

    async def ports(self) -> list[int]:
        """Return the ports of all listeners."""
        ports: list[int] = []
        for path in self._outs:
            while b'\n' not in path.read_bytes():
                await anyio.sleep(POLL_S)
            first = path.read_bytes().split(b'\n')[0]
            ports.extend(msgspec.json.decode(first, type=list[int]))
        return ports

    def totals(self) -> Totals:
        """Return the sum over the processes as last reported."""
        found = [_last_totals(path) for path in self._outs]
        return Totals(
            open=sum(one.open for one in found),
            bytes_in=sum(one.bytes_in for one in found),
            bytes_out=sum(one.bytes_out for one in found),
        )

    async def wait_open(self, count: int) -> None:
        """Wait until all connections are open and settled."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while self.totals().open < count:
                await anyio.sleep(POLL_S)
        await anyio.sleep(SETTLE_S)

    def stop(self) -> None:
        """End the processes."""
        for popen in self._started:
            popen.kill()
            popen.wait()


def _last_totals(path: Path) -> Totals:
    lines = path.read_bytes().split(b'\n')[1:-1]
    if not lines:
        return Totals(open=0, bytes_in=0, bytes_out=0)
    return msgspec.json.decode(lines[-1], type=Totals)


@dataclass(slots=True)
class _Rig:
    group: ProcessGroup
    peers: _Peers
    platform: dict[str, Any]
    instances: Process
    plan: ControlPlan

    def settings(self, name: str) -> dict[str, Any]:
        """Return the settings that both roles have."""
        return {
            'node': name,
            'zone': 'zone-a',
            'platform': self.platform,
            'peers': {
                'secrets': [SECRET],
                'heartbeat_ms': self.plan.heartbeat_ms,
                'silence_ms': self.plan.silence_ms,
                'fan_out': max(self.plan.peers),
                'dials_per_s': 200,
            },
        }


@asynccontextmanager
async def _rig(plan: ControlPlan) -> AsyncIterator[_Rig]:
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
        applied = await store.apply(arena_config(10, 4), 0, 'bench')
        if isinstance(applied, Failure):
            raise RuntimeError(applied.reason)
        peers = _Peers(group.folder, plan)
        try:
            yield _Rig(group, peers, platform, instances, plan)
        finally:
            peers.stop()


async def measure_entry(plan: ControlPlan) -> ControlCost:
    """Measure an entry with stand-in agents, idle and with callers."""
    idle: list[Cost] = []
    loaded: list[Cost] = []
    failed = 0
    for count in plan.peers:
        async with _rig(plan) as rig:
            entry = await _start_entry(rig, count)
            idle.append(await _cost(rig, entry, count))
            if plan.load_rate:
                async with anyio.create_task_group() as tasks:
                    load = _Load(plan, entry)
                    tasks.start_soon(load.run)
                    # As many streams start as end after their length.
                    await anyio.sleep(plan.load_tokens * 0.03)
                    loaded.append(await _cost(rig, entry, count))
                    tasks.cancel_scope.cancel()
                failed += load.failed
    return _fit('entry', plan, idle, loaded, failed)


async def measure_agent(plan: ControlPlan) -> ControlCost:
    """Measure an agent beside an idle engine with stand-in entries."""
    idle: list[Cost] = []
    for count in plan.peers:
        async with _rig(plan) as rig:
            engine = await rig.group.start_standin('engine-0', 'engine', seed=1)
            agent = await rig.group.start_program(
                'agent',
                'agent-0',
                {
                    **rig.settings('agent-0'),
                    'endpoint': 'engine-0',
                    'endpoint_url': engine.url,
                },
            )
            rig.peers.start('dial', count, agent.port)
            await rig.peers.wait_open(count)
            idle.append(await _cost(rig, agent, count))
    return _fit('agent', plan, idle, [], 0)


async def _start_entry(rig: _Rig, count: int) -> Process:
    rig.peers.start('listen', count)
    with anyio.fail_after(READY_TIMEOUT_S):
        ports = await rig.peers.ports()
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
    await set_switches(rig.instances, instances=listed)
    entry = await rig.group.start_program(
        'entry', 'entry-0', rig.settings('entry-0')
    )
    await rig.peers.wait_open(count)
    return entry


async def _cost(rig: _Rig, process: Process, count: int) -> Cost:
    seen = psutil.Process(process.popen.pid)
    before, cpu_s, start = rig.peers.totals(), _cpu_s(seen), time.monotonic()
    await anyio.sleep(rig.plan.duration_s)
    after, elapsed_s = rig.peers.totals(), time.monotonic() - start
    # What the peers receive is what the process under test sends.
    return Cost(
        peers=count,
        core_share=(_cpu_s(seen) - cpu_s) / elapsed_s,
        rss_kib=seen.memory_info().rss // KIB,
        bytes_in_per_s=(after.bytes_out - before.bytes_out) / elapsed_s,
        bytes_out_per_s=(after.bytes_in - before.bytes_in) / elapsed_s,
    )


class _Load:
    """Callers at a fixed rate of arrivals."""

    def __init__(self, plan: ControlPlan, entry: Process) -> None:
        self.failed = 0
        self._plan: Final = plan
        self._client: Final = HttpClient(entry.url, max_connections=256)

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self._ask)
                await anyio.sleep(1 / self._plan.load_rate)

    async def _ask(self) -> None:
        body = {
            'model': 'standard',
            'stream': True,
            'messages': [{'role': 'user', 'content': PROMPT}],
            'max_tokens': self._plan.load_tokens,
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


def _fit(
    role: str,
    plan: ControlPlan,
    idle: list[Cost],
    loaded: list[Cost],
    failed: int,
) -> ControlCost:
    """Add the slopes between the smallest and the largest size."""
    first, last = idle[0], idle[-1]
    span = max(1, last.peers - first.peers)
    tokens_per_s = plan.load_rate * plan.load_tokens if loaded else 0
    return ControlCost(
        role=role,
        idle=idle,
        loaded=loaded,
        slope_core_share=(last.core_share - first.core_share) / span,
        slope_rss_kib=(last.rss_kib - first.rss_kib) / span,
        slope_bytes_in_per_s=(last.bytes_in_per_s - first.bytes_in_per_s)
        / span,
        slope_bytes_out_per_s=(last.bytes_out_per_s - first.bytes_out_per_s)
        / span,
        tokens_per_s=tokens_per_s,
        failed_requests=failed,
        data_core_us_per_token=[
            (busy.core_share - calm.core_share) / tokens_per_s * 1e6
            for calm, busy in zip(idle, loaded, strict=False)
        ],
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
