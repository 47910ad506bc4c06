"""Starts and stops real processes of the system and of the stand-ins.

All processes listen on loopback and are terminated by process id when the
context of their group ends, including when the test fails.
"""

import os
import re
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import anyio
import msgspec
import yaml

from masticwind.errors import Failure
from masticwind.httpclient import HttpClient

START_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.02

_MODULES_BY_ROLE: Final = MappingProxyType(
    {
        'entry': 'masticwind.entry.main',
        'agent': 'masticwind.agent.main',
        'standin': 'masticwind_dev.standins.main',
        'local': 'masticwind_dev.local.main',
    }
)
_ROLES_LOGGING_TO_STDOUT: Final = frozenset(('entry', 'agent'))
_LOCAL_PORT_LINE: Final = re.compile(r'serves on http://127\.0\.0\.1:(\d+)\.')


@dataclass(slots=True)
class Process:
    """A started process; `log_path` is its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log_path: Path
    port: int = 0
    inner_port: int = 0

    @property
    def url(self) -> str:
        """Base URL of the process's main port."""
        return f'http://127.0.0.1:{self.port}'

    def signal(self, signum: int) -> None:
        """Send a signal if the process is still running."""
        if self.popen.poll() is None:
            self.popen.send_signal(signum)

    def kill(self) -> None:
        """Kill the process, also when it is paused, and wait for its exit."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def read_log_lines(self) -> list[dict[str, Any]]:
        """Parse the JSON lines of the log file; other lines are skipped."""
        lines: list[dict[str, Any]] = []
        for line in self.log_path.read_text(errors='replace').splitlines():
            with suppress(msgspec.DecodeError):
                lines.append(msgspec.json.decode(line))
        return lines


class ProcessGroup:
    """Starts processes and keeps track of them until `stop_all`."""

    def __init__(self, folder: Path) -> None:
        self.folder: Final = folder
        self.processes: Final[list[Process]] = []

    async def start_standin(
        self, name: str, kind: str, **options: Any
    ) -> Process:
        """Start a stand-in and wait for its port."""
        process = self._start(
            name,
            'standin',
            [
                kind,
                '--options',
                msgspec.json.encode(options).decode(),
            ],
        )
        with anyio.fail_after(START_TIMEOUT_S):
            while not process.port:
                await anyio.sleep(POLL_INTERVAL_S)
                output = (self.folder / f'{name}.out').read_text()
                process.port = int(output) if output.endswith('\n') else 0
        return process

    async def start_local_runner(self) -> Process:
        """Start the local runner and wait until it has printed its URL."""
        process = self._start('local', 'local', ['--port', '0'])
        output_path = self.folder / 'local.out'
        with anyio.fail_after(START_TIMEOUT_S):
            while not process.port:
                await anyio.sleep(POLL_INTERVAL_S)
                match = _LOCAL_PORT_LINE.search(output_path.read_text())
                process.port = int(match.group(1)) if match else 0
        return process

    async def start_program(
        self,
        role: str,
        name: str,
        settings: dict[str, Any],
    ) -> Process:
        """Start an entry or agent and wait until it has logged its ports."""
        settings_path = self.folder / f'{name}.yaml'
        settings_path.write_text(yaml.safe_dump(settings))
        process = self._start(name, role, [str(settings_path)])
        with anyio.fail_after(START_TIMEOUT_S):
            while not process.port:
                await anyio.sleep(POLL_INTERVAL_S)
                _read_ports(process)
        return process

    def stop_all(self) -> None:
        """Kill all processes of the group that are still running."""
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                process.kill()

    def _start(self, name: str, role: str, args: list[str]) -> Process:
        log_path = self.folder / f'{name}.log'
        if log_path.exists():
            # A restarted process gets a new log file, so that
            # `_read_ports` doesn't find the ports of the previous one.
            log_path.rename(self.folder / f'{name}.{len(self.processes)}.log')
        with (
            log_path.open('ab') as log,
            (self.folder / f'{name}.out').open('wb') as out,
        ):
            popen = subprocess.Popen(
                [sys.executable, '-m', _MODULES_BY_ROLE[role], *args],
                stdin=subprocess.DEVNULL,
                # Entries and agents log to standard output; stand-ins and
                # the local runner print their port or URL there.
                stdout=log if role in _ROLES_LOGGING_TO_STDOUT else out,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        process = Process(name, popen, log_path)
        self.processes.append(process)
        return process


@asynccontextmanager
async def process_group() -> AsyncIterator[ProcessGroup]:
    """Provide a group whose processes are killed on exit."""
    with tempfile.TemporaryDirectory(prefix='masticwind-') as folder:
        group = ProcessGroup(Path(folder))
        try:
            yield group
        finally:
            group.stop_all()


async def set_switches(process: Process, **switches: Any) -> None:
    """Set run-time switches of a stand-in over HTTP."""
    client = HttpClient(process.url)
    answer = await client.request(
        'POST',
        '/control',
        timeout_s=5,
        body=msgspec.json.encode(switches),
    )
    await client.close()
    if isinstance(answer, Failure):
        raise RuntimeError(answer.reason)


async def fetch_json(process: Process, path: str) -> Any:
    """Fetch a JSON document from a stand-in and decode it."""
    client = HttpClient(process.url)
    answer = await client.request('GET', path, timeout_s=5)
    await client.close()
    if isinstance(answer, Failure):
        raise RuntimeError(answer.reason)
    return msgspec.json.decode(answer.body)


def _read_ports(process: Process) -> None:
    if process.popen.poll() is not None:
        raise RuntimeError(process.log_path.read_text())
    start_lines = [
        line
        for line in process.read_log_lines()
        if line.get('event') == 'started'
    ]
    if start_lines:
        process.port = start_lines[-1]['port']
        process.inner_port = start_lines[-1].get('inner_port', 0)
