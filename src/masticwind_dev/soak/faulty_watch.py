"""Watches the memory and the readiness of entry processes from outside."""

import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import anyio
import h11

from masticwind_dev.soak.faulty_records import (
    MEMORY_MB,
    READY_S,
    FaultyRecords,
    ReadinessProbe,
)
from masticwind_dev.soak.stop_entries import (
    StoppedEntry,
    read_processor_wait_s,
)
from masticwind_dev.soak.stop_records import Instance

MEMORY_INTERVAL_S: Final = 0.05
PROBE_INTERVAL_S: Final = 0.2
PROBE_TIMEOUT_S: Final = 4 * READY_S
STALL_INTERVAL_S: Final = 0.01
MIN_STALL_S: Final = 0.05
MAX_READ_BYTES: Final = 65_536
KB_PER_MB: Final = 1024


async def watch_memory(
    entries: Sequence[StoppedEntry], records: FaultyRecords
) -> None:
    """Record peaks of memory, and end processes that exceed the limit."""
    while True:
        for entry in entries:
            if entry.instance is not None:
                _check_memory(entry, entry.instance, records)
        await anyio.sleep(MEMORY_INTERVAL_S)


def _check_memory(
    entry: StoppedEntry, instance: Instance, records: FaultyRecords
) -> None:
    peak_mb = read_peak_memory_mb(instance.pid)
    if not peak_mb:
        return
    records.peak_memory_mb[instance.name] = peak_mb
    if peak_mb > MEMORY_MB and instance.name not in records.out_of_memory:
        records.out_of_memory[instance.name] = time.monotonic()
        entry.signal(signal.SIGKILL)


def read_peak_memory_mb(pid: int) -> float:
    """Return the peak of the resident memory, zero if there is no process."""
    try:
        status = Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


async def watch_readiness(entry: StoppedEntry, records: FaultyRecords) -> None:
    """Ask the readiness endpoint at intervals while a process runs."""
    while True:
        await anyio.sleep(PROBE_INTERVAL_S)
        instance = entry.instance
        if instance is None or 'suspended' in instance.plan:
            continue
        await _probe(instance, records)


async def _probe(instance: Instance, records: FaultyRecords) -> None:
    asked_at = time.monotonic()
    waited_s = read_processor_wait_s(instance.pid)
    status = 0
    try:
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            status = await _ask(instance.ready_port)
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        # The process has not begun to listen, or has ended.
        return
    now = time.monotonic()
    excused_s = records.stalls.total_s('', asked_at, now) + max(
        0, read_processor_wait_s(instance.pid) - waited_s
    )
    records.probes.append(
        ReadinessProbe(
            instance.name, asked_at, now - asked_at, excused_s, status
        )
    )


async def _ask(port: int) -> int:
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method='GET',
        target='/-/readiness',
        headers=[('Host', 'ready'), ('Connection', 'close')],
    )
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        await stream.send(parser.send(request) or b'')
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                return event.status_code
            parser.receive_data(await stream.receive(MAX_READ_BYTES))


async def measure_stalls(records: FaultyRecords) -> None:
    """Record when this process does not serve as callers and endpoints."""
    while True:
        started = time.monotonic()
        await anyio.sleep(STALL_INTERVAL_S)
        now = time.monotonic()
        if now - started > STALL_INTERVAL_S + MIN_STALL_S:
            records.stalls.add('', started, now)
            records.longest_stall_s = max(
                records.longest_stall_s, now - started
            )
