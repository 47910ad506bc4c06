"""Crowds of callers that do not behave, at whole processes with little memory.

The limits of one connection hold here; what is left is their sum. As in
`test_caller_floods.py`, nothing is checked that depends on the speed of the
machine. The memory has what the kernel has received for the process.
"""

from typing import Final

import anyio
import pytest

from masticwind.web_callers import DEFAULT_MEMORY_MB
from tests.flood_clients import CROWDS, PROMPT_CROWDS
from tests.limited_entry import (
    FLOOD_S,
    SAMPLE_INTERVAL_S,
    SERVE_TIMEOUT_S,
    ProcessUse,
    request_until_served,
    run_flood_program,
    running_limited_entry,
    sampled_use,
)
from tests.stop_fleet import send_chat, stopping_fleet
from tests.unread_answers import answer_at_length

pytestmark = [pytest.mark.anyio, pytest.mark.alone]

# The memory that the settings give to the process, which is the bound.
MEMORY_MB: Final = 96
# Of `masticwind-entry`, whose own settings and libraries take more.
OWN_MEMORY_MB: Final = 160
# They allow 600 connections of callers; a crowd has half of them.
MAX_FDS: Final = 1400
MAX_USED_FDS: Final = MAX_FDS * 9 // 10
# Enough for each request of a crowd to be in progress at an engine.
SLOTS: Final = 400


def _check_use(name: str, use: ProcessUse, memory_mb: float) -> None:
    peak_mb = use.peak_mb
    print(
        f'{name}: {peak_mb:.0f} MB, {use.max_with_received_mb:.0f} MB with '
        f'what the kernel had, {use.max_fds} descriptors'
    )
    assert peak_mb <= memory_mb
    assert use.max_with_received_mb <= memory_mb
    assert use.max_fds <= MAX_USED_FDS


@pytest.mark.parametrize('name', CROWDS)
async def test_crowd_of_callers_stays_within_the_bounds_of_the_entry(
    name: str,
) -> None:
    """Guards against an entry that runs out of memory or descriptors because
    many callers send ahead, leave answers unread or stop within a request.
    """
    async with running_limited_entry(MEMORY_MB, MAX_FDS, slots=SLOTS) as entry:
        entry.fault = answer_at_length
        async with sampled_use(entry.process.pid, entry.port) as use:
            await run_flood_program(name, entry.port, FLOOD_S)
            assert entry.process.poll() is None
            answer = await request_until_served(entry)
            _check_use(name, use, MEMORY_MB)
        assert entry.process.poll() is None
        assert answer.status == 200
        assert answer.is_complete


@pytest.mark.parametrize('port_name', ['ready_port', 'metrics_port'])
async def test_crowd_at_a_port_for_operators_stays_within_the_bounds(
    port_name: str,
) -> None:
    """Guards against a port beside the one for callers that has no bounds."""
    async with running_limited_entry(MEMORY_MB, MAX_FDS) as entry:
        port = getattr(entry, port_name)
        async with sampled_use(entry.process.pid, port) as use:
            await run_flood_program('unrouted-ahead', port, FLOOD_S)
            assert entry.process.poll() is None
            answer = await request_until_served(entry)
            _check_use(port_name, use, MEMORY_MB)
        assert answer.status == 200
        assert answer.is_complete


@pytest.mark.parametrize(
    'name', ['unrouted-ahead', 'stopped-heads', *PROMPT_CROWDS]
)
async def test_crowd_at_the_own_interface_stays_within_the_bounds(
    name: str,
) -> None:
    """Guards against `masticwind-entry` running out of memory or descriptors,
    as the other test does for direct serving.
    """
    settings = {'memory_mb': OWN_MEMORY_MB, 'max_fds': MAX_FDS}
    async with stopping_fleet(entry_settings=settings) as fleet:
        entry = fleet.entries['entry-0']
        async with sampled_use(entry.popen.pid, entry.port) as use:
            await run_flood_program(name, entry.port, FLOOD_S)
            assert entry.popen.poll() is None
            with anyio.fail_after(SERVE_TIMEOUT_S):
                while (await send_chat(entry, 'ordinary')).status != 200:
                    await anyio.sleep(SAMPLE_INTERVAL_S)
            _check_use(name, use, OWN_MEMORY_MB)
        assert entry.popen.poll() is None


@pytest.mark.parametrize('name', ['unrouted-ahead', 'stopped-heads'])
async def test_crowd_at_the_port_of_an_agent_stays_within_the_bounds(
    name: str,
) -> None:
    """Guards against connections without a handshake that take the memory or
    the descriptors of an agent, and against an agent that serves no more.
    """
    async with stopping_fleet() as fleet:
        agent = fleet.agents['engine-0']
        async with sampled_use(agent.popen.pid, agent.port) as use:
            await run_flood_program(name, agent.port, FLOOD_S)
            assert agent.popen.poll() is None
            answer = await send_chat(fleet.entries['entry-0'], 'ordinary')
            _check_use(name, use, DEFAULT_MEMORY_MB)
        assert answer.status == 200
