"""Real processes of the system and the stand-ins, for tests under faults.

Every process is started by this module, listens on loopback and is ended by
its id, also when the test fails.
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
POLL_S: Final = 0.02

_MODULES: Final = MappingProxyType(
    {
        'entry': 'masticwind.entry.main',
        'agent': 'masticwind.agent.main',
        'standin': 'masticwind_dev.standins.main',
        'local': 'masticwind_dev.local.main',
    }
)
_LOGGING: Final = frozenset(('entry', 'agent'))
_SERVES: Final = re.compile(r'serves on http://127\.0\.0\.1:(\d+)\.')


@dataclass(slots=True)
class Process:
    """A started process; its logs are in `log_path`."""

    name: str
    popen: subprocess.Popen[bytes]
    log_path: Path
    port: int = 0
    inner_port: int = 0

    @property
    def url(self) -> str:
        """Base URL of what the process serves."""
        return f'http://127.0.0.1:{self.port}'

    def signal(self, signum: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(signum)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def read_log_lines(self) -> list[dict[str, Any]]:
        """Return the JSON lines that the process has logged."""
        lines: list[dict[str, Any]] = []
        for line in self.log_path.read_text(errors='replace').splitlines():
            with suppress(msgspec.DecodeError):
                lines.append(msgspec.json.decode(line))
        return lines


class ProcessGroup:
    """Starts processes and ends them all with the context."""

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
                await anyio.sleep(POLL_S)
                text = (self.folder / f'{name}.out').read_text()
                process.port = int(text) if text.endswith('\n') else 0
        return process

    async def start_local_runner(self) -> Process:
        """Start the local runner and wait until its checks are done."""
        process = self._start('local', 'local', ['--port', '0'])
        out = self.folder / 'local.out'
        with anyio.fail_after(START_TIMEOUT_S):
            while not process.port:
                await anyio.sleep(POLL_S)
                found = _SERVES.search(out.read_text())
                process.port = int(found.group(1)) if found else 0
        return process

    async def start_program(
        self,
        role: str,
        name: str,
        settings: dict[str, Any],
    ) -> Process:
        """Start an entry or an agent and wait until it has its ports."""
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        process = self._start(name, role, [str(path)])
        with anyio.fail_after(START_TIMEOUT_S):
            while not process.port:
                await anyio.sleep(POLL_S)
                _read_ports(process)
        return process

    def stop_all(self) -> None:
        """End every process that was started here."""
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                process.kill()

    def _start(self, name: str, role: str, arguments: list[str]) -> Process:
        log_path = self.folder / f'{name}.log'
        if log_path.exists():
            # A restarted process has a log of its own, which also keeps the
            # ports of its predecessor from being read as its own.
            log_path.rename(self.folder / f'{name}.{len(self.processes)}.log')
        with (
            log_path.open('ab') as log,
            (self.folder / f'{name}.out').open('wb') as out,
        ):
            popen = subprocess.Popen(
                [sys.executable, '-m', _MODULES[role], *arguments],
                stdin=subprocess.DEVNULL,
                # The serving programs log to standard output; the others
                # print their ports there.
                stdout=log if role in _LOGGING else out,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        process = Process(name, popen, log_path)
        self.processes.append(process)
        return process


@asynccontextmanager
async def process_group() -> AsyncIterator[ProcessGroup]:
    """Provide a group whose processes end with the context."""
    with tempfile.TemporaryDirectory(prefix='masticwind-') as folder:
        group = ProcessGroup(Path(folder))
        try:
            yield group
        finally:
            group.stop_all()


async def set_switches(process: Process, **switches: Any) -> None:
    """Set switches of a stand-in."""
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
    """Read what a stand-in has recorded, as decoded JSON."""
    client = HttpClient(process.url)
    answer = await client.request('GET', path, timeout_s=5)
    await client.close()
    if isinstance(answer, Failure):
        raise RuntimeError(answer.reason)
    return msgspec.json.decode(answer.body)


def _read_ports(process: Process) -> None:
    if process.popen.poll() is not None:
        raise RuntimeError(process.log_path.read_text())
    started = [
        line
        for line in process.read_log_lines()
        if line.get('event') == 'started'
    ]
    if started:
        process.port = started[-1]['port']
        process.inner_port = started[-1].get('inner_port', 0)
