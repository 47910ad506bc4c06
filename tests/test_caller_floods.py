"""Callers that send without end and read nothing, at a whole entry process.

Only what does not depend on the speed of the machine is checked: the process
lives, its memory and descriptors stay under a bound, and it serves afterwards.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import pytest

from tests.flood_clients import FLOODS
from tests.limited_entry import (
    FLOOD_S,
    ProcessUse,
    request_until_served,
    run_flood_program,
    running_limited_entry,
)
from tests.stopping_entry import StoppingEntry

pytestmark = [pytest.mark.anyio, pytest.mark.alone]

# The memory that the settings give to the process, which is the bound on its
# resident memory.
MEMORY_MB: Final = 128
# The descriptors that the system leaves to the process. A tenth of them has to
# stay free for endpoints, the store and files.
MAX_FDS: Final = 400
MAX_USED_FDS: Final = MAX_FDS * 9 // 10


@asynccontextmanager
async def limited_entry() -> AsyncIterator[StoppingEntry]:
    """Run an entry that has little memory and few descriptors."""
    async with running_limited_entry(MEMORY_MB, MAX_FDS) as entry:
        yield entry


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
            await run_flood_program(name, entry.port, FLOOD_S)
            assert entry.process.poll() is None
            answer = await request_until_served(entry)
            tasks.cancel_scope.cancel()
        print(f'{name}: {use.max_mb:.0f} MB, {use.max_fds} descriptors')
        assert entry.process.poll() is None
        assert use.max_mb <= MEMORY_MB
        assert use.max_fds <= MAX_USED_FDS
        assert answer.status == 200
        assert answer.is_complete
