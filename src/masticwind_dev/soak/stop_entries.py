"""Entry processes that are stopped again and again, as the platform does it.

A stop is SIGTERM and, after the grace period, SIGKILL. Other signals and
changes of the settings file come before and during it.
"""

import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import anyio
import yaml

from masticwind.budget import MS_PER_S
from masticwind_dev.ports import free_udp_port
from masticwind_dev.soak.deployed_parts import DEPLOYED_PARTS
from masticwind_dev.soak.environment import ROOT
from masticwind_dev.soak.stop_records import Instance, StopRecords

POLL_INTERVAL_S: Final = 0.01
START_TIMEOUT_S: Final = 20.0
# Time for which a process accepts connections before SIGTERM.
UPTIMES_S: Final = (0.5, 2.5)
# Longest time between the start of a process and an early SIGTERM.
MAX_EARLY_UPTIME_S: Final = 1.2
SHORT_GRACE_S: Final = 4.0
# The settings file is read again within a second of its change.
MAX_SHORTENING_DELAY_S: Final = 1.0
MAX_PAUSE_S: Final = 0.8
LONG_GRACE_S: Final = 8.0
# Below the ports that Linux chooses itself.
FIXED_PORTS: Final = (15_000, 32_000)
NS_PER_S: Final = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Step:
    """A signal or a change; `delay_s` is relative to SIGTERM."""

    delay_s: float
    signum: int | None = None
    shutdown_s: float | None = None


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The steps of one stop, in the order of their time.

    If `uptime_s` is set, SIGTERM comes so long after the start of the process,
    otherwise some time after it accepts connections. A SIGHUP is sent
    `hangup_before_s` before SIGTERM, if that is not zero.
    """

    name: str
    steps: tuple[Step, ...] = ()
    uptime_s: float | None = None
    has_config: bool = True
    hangup_before_s: float = 0


Series = Callable[[random.Random, float], tuple[Step, ...]]


def _no_steps(_rng: random.Random, _grace_s: float) -> tuple[Step, ...]:
    return ()


def _second_term(rng: random.Random, grace_s: float) -> tuple[Step, ...]:
    return (Step(rng.uniform(0.05, grace_s * 0.7), signal.SIGTERM),)


def _interrupt(rng: random.Random, grace_s: float) -> tuple[Step, ...]:
    return (Step(rng.uniform(0.05, grace_s * 0.7), signal.SIGINT),)


def _hangups(rng: random.Random, grace_s: float) -> tuple[Step, ...]:
    return (Step(rng.uniform(0.05, grace_s * 0.7), signal.SIGHUP),)


def _shorter_grace(rng: random.Random, grace_s: float) -> tuple[Step, ...]:
    if grace_s <= SHORT_GRACE_S:
        return ()
    delay_s = rng.uniform(0.1, MAX_SHORTENING_DELAY_S)
    shutdown_s = rng.uniform(SHORT_GRACE_S, grace_s - 1)
    return (Step(delay_s, rng.choice((None, signal.SIGHUP)), shutdown_s),)


def _suspension(rng: random.Random, grace_s: float) -> tuple[Step, ...]:
    delay_s = rng.uniform(0.05, grace_s * 0.5)
    return (
        Step(delay_s, signal.SIGSTOP),
        Step(delay_s + rng.uniform(0.1, MAX_PAUSE_S), signal.SIGCONT),
    )


_SERIES: Final[tuple[tuple[str, Series], ...]] = (
    ('term', _no_steps),
    ('term', _no_steps),
    ('term-term', _second_term),
    ('term-int', _interrupt),
    ('hup', _hangups),
    ('shorter', _shorter_grace),
    ('suspended', _suspension),
)
_EARLY_SHARE: Final = 0.1
_UNCONFIGURED_SHARE: Final = 0.05
_SECOND_SERIES_SHARE: Final = 0.25


def draw_plan(rng: random.Random, grace_s: float) -> StopPlan:
    """Draw the steps of a stop; two series of signals may overlap."""
    count = 1 + (rng.random() < _SECOND_SERIES_SHARE)
    chosen = rng.sample(_SERIES, count)
    steps: list[Step] = []
    for _, series in chosen:
        steps.extend(series(rng, grace_s))
    name = '+'.join(title for title, _ in chosen)
    steps.sort(key=lambda step: step.delay_s)
    kind = rng.random()
    if kind < _EARLY_SHARE:
        uptime_s = rng.uniform(0, MAX_EARLY_UPTIME_S)
        return StopPlan(f'early+{name}', tuple(steps), uptime_s)
    if kind < _EARLY_SHARE + _UNCONFIGURED_SHARE:
        return StopPlan(f'unconfigured+{name}', tuple(steps), has_config=False)
    hangup_before_s = rng.uniform(0.05, 0.5) if 'hup' in name else 0
    return StopPlan(name, tuple(steps), hangup_before_s=hangup_before_s)


@dataclass(frozen=True, slots=True)
class EntryOptions:
    """Settings of all entries of a run.

    The store at `empty_store_port` has no configuration.
    """

    folder: Path
    store_port: int
    empty_store_port: int
    graces_s: Sequence[float] = (LONG_GRACE_S,)
    uptimes_s: tuple[float, float] = UPTIMES_S
    memory_mb: int | None = None


class StoppedEntry:
    """Starts and stops the processes of one entry, one after the other.

    `instance` is the process that runs now, if it accepts connections.
    """

    def __init__(
        self, name: str, seed: int, options: EntryOptions, records: StopRecords
    ) -> None:
        self.name: Final = name
        self.instance: Instance | None = None
        # Called with the name of each process that is suspended.
        self.on_suspended: Callable[[str], None] = _ignore_suspension
        self._options: Final = options
        self._records: Final = records
        self._random: Final = random.Random(f'{seed}-{name}')
        self._peer_port: Final = free_udp_port()
        self._settings_path: Final = options.folder / f'{name}.yaml'
        self._count = 0
        self._process: subprocess.Popen[bytes] | None = None

    def signal(self, signum: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    async def run(self, ends_at: float) -> None:
        """Start and stop processes until `ends_at`."""
        while time.monotonic() < ends_at:
            grace_s = self._random.choice(self._options.graces_s)
            await self.run_instance(draw_plan(self._random, grace_s), grace_s)

    async def run_instance(self, plan: StopPlan, grace_s: float) -> Instance:
        """Start a process, stop it, and wait for its end."""
        self._count += 1
        instance = Instance(self.name, self._count, grace_s, plan=plan.name)
        instance.port = _free_fixed_port()
        instance.ready_port = _free_fixed_port()
        self._write_settings(instance, plan, grace_s)
        process = self._spawn()
        instance.pid = process.pid
        self._process = process
        try:
            await self._wait_for_uptime(instance, plan, process)
            await self._stop(instance, plan, process)
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
            self.instance = None
        return instance

    async def _wait_for_uptime(
        self,
        instance: Instance,
        plan: StopPlan,
        process: subprocess.Popen[bytes],
    ) -> None:
        if plan.uptime_s is not None:
            self.instance = instance
            await anyio.sleep(plan.uptime_s)
            return
        with anyio.fail_after(START_TIMEOUT_S):
            while not await _accepts_connections(instance.port):
                assert process.poll() is None, 'the entry has not started'
                await anyio.sleep(POLL_INTERVAL_S)
        self.instance = instance
        await anyio.sleep(self._random.uniform(*self._options.uptimes_s))

    async def _stop(
        self,
        instance: Instance,
        plan: StopPlan,
        process: subprocess.Popen[bytes],
    ) -> None:
        """Take the steps of the plan, and kill the process at the end."""
        instance.ended_by_itself = process.poll() is not None
        instance.was_listening = await _accepts_connections(instance.port)
        if plan.hangup_before_s and instance.was_listening:
            process.send_signal(signal.SIGHUP)
            await anyio.sleep(plan.hangup_before_s)
        self._records.instances.append(instance)
        waited_before_s = read_processor_wait_s(process.pid)
        instance.stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        steps = list(plan.steps)
        while process.poll() is None:
            passed_s = time.monotonic() - instance.stopped_at
            if passed_s >= instance.grace_s:
                instance.killed = True
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(10)
                break
            instance.processor_wait_s = max(
                instance.processor_wait_s,
                read_processor_wait_s(process.pid) - waited_before_s,
            )
            while steps and steps[0].delay_s <= passed_s:
                self._take(steps.pop(0), instance, plan, process)
            await anyio.sleep(POLL_INTERVAL_S)
        instance.exit_code = process.returncode
        instance.lifetime_s = time.monotonic() - instance.stopped_at

    def _take(
        self,
        step: Step,
        instance: Instance,
        plan: StopPlan,
        process: subprocess.Popen[bytes],
    ) -> None:
        if step.shutdown_s is not None:
            instance.grace_s = step.shutdown_s
            self._write_settings(instance, plan, step.shutdown_s)
        if step.signum is not None:
            process.send_signal(step.signum)
        if step.signum == signal.SIGSTOP:
            self.on_suspended(instance.name)

    def _spawn(self) -> subprocess.Popen[bytes]:
        log_path = self._options.folder / f'{self.name}.log'
        with log_path.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, str(ROOT / 'src/masticwind_platform.py')],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': '/usr/bin:/bin',
                    'MASTICWIND_BOOT': str(self._settings_path),
                },
            )

    def _write_settings(
        self, instance: Instance, plan: StopPlan, shutdown_s: float
    ) -> None:
        """Replace the settings file at once, so that no part of it is read."""
        options = self._options
        store_port = options.empty_store_port
        if plan.has_config:
            store_port = options.store_port
        document: dict[str, Any] = {
            'node': self.name,
            'zone': 'zone-a',
            'listen': f'127.0.0.1:{instance.port}',
            'ready': f'127.0.0.1:{instance.ready_port}',
            'peer_port': self._peer_port,
            **DEPLOYED_PARTS,
            'store': {'address': f'127.0.0.1:{store_port}'},
            'bounds': {'shutdown_ms': int(shutdown_s * MS_PER_S)},
        }
        if options.memory_mb is not None:
            document['memory_mb'] = options.memory_mb
        new_path = self._settings_path.with_suffix('.new')
        new_path.write_text(yaml.safe_dump(document))
        new_path.replace(self._settings_path)


def _ignore_suspension(_instance: str) -> None:
    """Do nothing."""


def _free_fixed_port() -> int:
    """Return a free port that no outgoing connection gets.

    An entry binds it only after its start.
    """
    while True:
        port = random.randrange(*FIXED_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def read_processor_wait_s(pid: int) -> float:
    """Return how long a process has been ready to run without running.

    Zero if the system does not tell, or the process has ended.
    """
    try:
        fields = Path(f'/proc/{pid}/schedstat').read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) / NS_PER_S if len(fields) > 1 else 0.0


async def _accepts_connections(port: int) -> bool:
    try:
        stream = await anyio.connect_tcp('127.0.0.1', port)
    except OSError:
        return False
    await stream.aclose()
    return True
