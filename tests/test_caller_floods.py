"""Callers that send without end and read nothing, at a whole entry process.

Only what does not depend on the speed of the machine is checked: the process
lives, its memory and descriptors stay under a bound, and it serves afterwards.
"""

import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final

import anyio
import psutil
import pytest

from tests.flood_clients import FLOODS
from tests.stopping_entry import (
    ROOT,
    CallerAnswer,
    StoppingEntry,
    call_head,
    running_stopping_entry,
)

pytestmark = [pytest.mark.anyio, pytest.mark.alone]

# The memory that the settings give to the process, which is the bound on its
# resident memory.
MEMORY_MB: Final = 128
# The descriptors that the system leaves to the process. A tenth of them has to
# stay free for endpoints, the store and files.
MAX_FDS: Final = 400
MAX_USED_FDS: Final = MAX_FDS * 9 // 10
FLOOD_S: Final = 5
BYTES_PER_MB: Final = 1_048_576
SAMPLE_INTERVAL_S: Final = 0.02
SERVE_TIMEOUT_S: Final = 30

_LIMITED_START = (
    'import os, resource, sys;'
    'resource.setrlimit(resource.RLIMIT_NOFILE, ({fds}, {fds}));'
    'os.execv(sys.executable, [sys.executable, {program!r}])'
)


class ProcessUse:
    """The largest use of memory and descriptors that has been seen."""

    def __init__(self, pid: int) -> None:
        self._process: Final = psutil.Process(pid)
        self.max_mb = 0.0
        self.max_fds = 0

    async def sample(self) -> None:
        """Sample until cancelled."""
        while True:
            memory = self._process.memory_info()
            self.max_mb = max(self.max_mb, memory.rss / BYTES_PER_MB)
            self.max_fds = max(self.max_fds, self._process.num_fds())
            await anyio.sleep(SAMPLE_INTERVAL_S)


@asynccontextmanager
async def limited_entry() -> AsyncIterator[StoppingEntry]:
    """Run an entry that has little memory and few descriptors."""
    program = _LIMITED_START.format(
        fds=MAX_FDS, program=str(ROOT / 'src/masticwind_platform.py')
    )
    async with running_stopping_entry(
        program=('-c', program), memory_mb=MEMORY_MB
    ) as entry:
        yield entry


async def _run_flood(name: str, port: int) -> None:
    program = (sys.executable, '-m', 'tests.flood_clients')
    flood = await anyio.run_process(
        [*program, name, str(port), str(FLOOD_S)],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(ROOT / 'src')},
        check=False,
    )
    assert not flood.returncode, flood.stderr


async def _request_until_served(entry: StoppingEntry) -> CallerAnswer:
    """Repeat an ordinary request, as its caller does, until it is served."""
    answer = CallerAnswer()
    with anyio.move_on_after(SERVE_TIMEOUT_S):
        while answer.status != 200:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            with suppress(OSError):
                answer = await entry.request(call_head('ordinary', '/read/a'))
    return answer


@pytest.mark.parametrize('name', FLOODS)
async def test_flood_of_callers_stays_within_the_bounds_of_the_entry(
    name: str,
) -> None:
    """Guards against an entry that runs out of memory or descriptors because
    callers send more than it can answer, and read no answers.
    """
    async with limited_entry() as entry:
        use = ProcessUse(entry.process.pid)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(use.sample)
            await _run_flood(name, entry.port)
            assert entry.process.poll() is None
            answer = await _request_until_served(entry)
            tasks.cancel_scope.cancel()
        print(f'{name}: {use.max_mb:.0f} MB, {use.max_fds} descriptors')
        assert entry.process.poll() is None
        assert use.max_mb <= MEMORY_MB
        assert use.max_fds <= MAX_USED_FDS
        assert answer.status == 200
        assert answer.is_complete
