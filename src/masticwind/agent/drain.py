"""Orderly shutdown of an agent.

A draining agent refuses everything new and finishes what it has accepted,
including the shares that it holds for others. It closes its connections only
after the last message was written.
"""

from typing import Final, Protocol

import anyio

from masticwind.budget import MS_PER_S
from masticwind.protocol.channel import Channel
from masticwind.settings import AgentSettings

DRAIN_POLL_INTERVAL_S: Final = 0.05
CLOSE_TIMEOUT_S: Final = 2.0


class Drainable(Protocol):
    """Work that can be told to take nothing new."""

    draining: bool

    @property
    def idle(self) -> bool:
        """Whether nothing accepted is left."""


class Drainer:
    """Owns the set of open connections and closes them at the end."""

    def __init__(self, cfg: AgentSettings) -> None:
        self._cfg: Final = cfg
        self._channels: Final[set[Channel]] = set()

    def add_channel(self, channel: Channel) -> None:
        """Note an open connection."""
        self._channels.add(channel)

    def remove_channel(self, channel: Channel) -> None:
        """Note that a connection has ended."""
        self._channels.discard(channel)

    async def drain(self, *works: Drainable) -> None:
        """Finish the accepted work, then close all connections."""
        for work in works:
            work.draining = True
        with anyio.move_on_after(self._cfg.drain_timeout_ms / MS_PER_S):
            while not all(one.idle for one in works):
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for channel in tuple(self._channels):
                    # Writes what is queued first.
                    tasks.start_soon(channel.close)
