"""An entry process with little memory and few descriptors, and what it uses."""

import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, Final

import anyio
import psutil

from tests.stopping_entry import (
    ROOT,
    CallerAnswer,
    StoppingEntry,
    call_head,
    running_stopping_entry,
)

FLOOD_S: Final = 5
BYTES_PER_MB: Final = 1_048_576
SAMPLE_INTERVAL_S: Final = 0.02
SERVE_TIMEOUT_S: Final = 30

_LIMITED_START: Final = (
    'import os, resource, sys;'
    'resource.setrlimit(resource.RLIMIT_NOFILE, ({fds}, {fds}));'
    'os.execv(sys.executable, [sys.executable, {program!r}])'
)


class ProcessUse:
    """The largest use of memory and descriptors that has been seen.

    `max_mb` is the resident memory, and `max_with_received_mb` also has what
    the kernel has received for the connections of the process, those included
    that it has not accepted yet.
    """

    def __init__(self, pid: int) -> None:
        self._process: Final = psutil.Process(pid)
        self.max_mb = 0.0
        self.max_with_received_mb = 0.0
        self.max_fds = 0

    async def sample(self) -> None:
        """Sample until cancelled."""
        while True:
            memory = self._process.memory_info()
            self.max_mb = max(self.max_mb, memory.rss / BYTES_PER_MB)
            self.max_fds = max(self.max_fds, self._process.num_fds())
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def sample_received(self, port: int) -> None:
        """Sample what the kernel has received, until cancelled.

        `port` is the one on which the process listens.
        """
        while True:
            memory = self._process.memory_info()
            received = self._count_received_bytes(port)
            self.max_with_received_mb = max(
                self.max_with_received_mb,
                (memory.rss + received) / BYTES_PER_MB,
            )
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def _count_received_bytes(self, listening_port: int) -> int:
        """Return the sizes of the receive queues in the system's table."""
        inodes = self._socket_inodes()
        received_bytes = 0
        table = Path(f'/proc/{self._process.pid}/net/tcp').read_text()
        for line in table.splitlines()[1:]:
            fields = line.split()
            port = int(fields[1].rpartition(':')[2], 16)
            if port == listening_port or fields[9] in inodes:
                received_bytes += int(fields[4].rpartition(':')[2], 16)
        return received_bytes

    def _socket_inodes(self) -> set[str]:
        inodes: set[str] = set()
        for path in Path(f'/proc/{self._process.pid}/fd').iterdir():
            with suppress(OSError):
                target = os.readlink(path)
                if target.startswith('socket:['):
                    inodes.add(target.removeprefix('socket:[').rstrip(']'))
        return inodes

    @property
    def peak_mb(self) -> float:
        """Return the peak of the resident memory, as the system counts it."""
        status = Path(f'/proc/{self._process.pid}/status').read_text()
        peak = status.partition('VmHWM:')[2].split(maxsplit=1)[0]
        return int(peak) * 1024 / BYTES_PER_MB


@asynccontextmanager
async def running_limited_entry(
    memory_mb: float, max_fds: int, **options: Any
) -> AsyncIterator[StoppingEntry]:
    """Run an entry; `options` are those of `running_stopping_entry`."""
    program = _LIMITED_START.format(
        fds=max_fds, program=str(ROOT / 'src/masticwind_platform.py')
    )
    async with running_stopping_entry(
        program=('-c', program), memory_mb=memory_mb, **options
    ) as entry:
        yield entry


@asynccontextmanager
async def sampled_use(pid: int, port: int) -> AsyncIterator[ProcessUse]:
    """Sample what a process uses; it listens on `port`."""
    use = ProcessUse(pid)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(use.sample)
        tasks.start_soon(use.sample_received, port)
        yield use
        tasks.cancel_scope.cancel()


async def run_flood_program(name: str, port: int, seconds: float) -> None:
    """Run a flood of `tests.flood_clients` in a process of its own."""
    program = (sys.executable, '-m', 'tests.flood_clients')
    flood = await anyio.run_process(
        [*program, name, str(port), str(seconds)],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        check=False,
    )
    assert not flood.returncode, flood.stderr


async def request_until_served(entry: StoppingEntry) -> CallerAnswer:
    """Repeat an ordinary request, as its caller does, until it is served."""
    answer = CallerAnswer()
    with anyio.move_on_after(SERVE_TIMEOUT_S):
        while answer.status != 200:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            with suppress(OSError):
                answer = await entry.request(call_head('ordinary', '/read/a'))
    return answer
