"""Graceful shutdown of an agent.

A draining agent refuses new work and finishes what it has accepted, including
the prompt shares that it holds for groups of engines. It closes its
connections after the last message has been written.
"""

from typing import Final, Protocol

import anyio

from masticwind.budget import MS_PER_S
from masticwind.protocol.channel import Channel
from masticwind.settings import AgentSettings

DRAIN_POLL_INTERVAL_S: Final = 0.05
CLOSE_TIMEOUT_S: Final = 2.0


class Drainable(Protocol):
    """An executor that can stop accepting new work."""

    draining: bool

    @property
    def idle(self) -> bool:
        """Whether all accepted work has ended."""


class Drainer:
    """Tracks open connections and closes them after a drain."""

    def __init__(self, cfg: AgentSettings) -> None:
        self._cfg: Final = cfg
        self._channels: Final[set[Channel]] = set()

    def add_channel(self, channel: Channel) -> None:
        """Track an open connection."""
        self._channels.add(channel)

    def remove_channel(self, channel: Channel) -> None:
        """Stop tracking a connection that has ended."""
        self._channels.discard(channel)

    async def drain(self, *executors: Drainable) -> None:
        """Wait for accepted work to end, then close all connections."""
        for executor in executors:
            executor.draining = True
        with anyio.move_on_after(self._cfg.drain_timeout_ms / MS_PER_S):
            while not all(work.idle for work in executors):
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for channel in tuple(self._channels):
                    # Flushes queued messages before closing.
                    tasks.start_soon(channel.close)
