"""Graceful shutdown of an agent.

A draining agent refuses new work and finishes what it has accepted, including
the prompt shares that it holds for groups of engines. Shortly before the drain
timeout it ends what is left with a true answer. It closes its connections
after the last message has been written.
"""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind
from masticwind.protocol.channel import Channel
from masticwind.settings import AgentSettings

DRAIN_POLL_INTERVAL_S: Final = 0.05
# Time before the drain timeout in which work that cannot end is ended, which
# includes its cancellation at the engine, and its limit for short drains.
CLOSING_TIME_S: Final = 5.0
MAX_CLOSING_SHARE: Final = 1 / 3
# Shares of the closing time: the limit of a cancellation at the engine, the
# end of connections, and the exit.
CANCEL_SHARE: Final = 0.6
CLOSE_SHARE: Final = 0.2
EXIT_SHARE: Final = 0.2


def closing_time_s(cfg: AgentSettings) -> float:
    """Return the seconds at the end of a drain in which work is ended."""
    drain_s = cfg.drain_timeout_ms / MS_PER_S
    return min(CLOSING_TIME_S, drain_s * MAX_CLOSING_SHARE)


class Drainable(Protocol):
    """Accepted work of one kind."""

    draining: bool

    @property
    def idle(self) -> bool:
        """Whether all accepted work has ended and is delivered."""

    def cut(self) -> None:
        """End all accepted work, with a true answer to its entry."""


class Drainer:
    """Drains an agent's work, then closes its open connections."""

    def __init__(self, cfg: AgentSettings) -> None:
        self._drain_s: Final = cfg.drain_timeout_ms / MS_PER_S
        self._closing_s: Final = closing_time_s(cfg)
        self._channels: Final[set[Channel]] = set()

    def add_channel(self, channel: Channel) -> None:
        """Track an open connection."""
        self._channels.add(channel)

    def remove_channel(self, channel: Channel) -> None:
        """Stop tracking a connection that has ended."""
        self._channels.discard(channel)

    async def drain(
        self,
        is_delivered: Callable[[], Awaitable[bool]],
        *works: Drainable,
    ) -> None:
        """Wait for accepted work, end what is left, close all connections.

        `is_delivered` tells whether all work is idle and its entries have
        read its results.
        """
        closing_s = self._closing_s
        exit_at = anyio.current_time() + self._drain_s - closing_s * EXIT_SHARE
        with anyio.move_on_after(self._drain_s - closing_s):
            await _wait_until(is_delivered)
        for work in works:
            work.cut()
        with anyio.CancelScope(deadline=exit_at - closing_s * CLOSE_SHARE):
            await _wait_until(is_delivered)
        with anyio.CancelScope(deadline=exit_at):
            async with anyio.create_task_group() as tasks:
                for channel in tuple(self._channels):
                    # Flushes queued messages before closing.
                    tasks.start_soon(channel.close)


def log_cut(
    request_id: str, age_s: float, kind: ErrorKind, *, answer_begun: bool
) -> None:
    """Log a request that the end of the agent ends."""
    logger.bind(
        request_id=request_id,
        age_ms=round(age_s * MS_PER_S),
        sent=kind is not ErrorKind.DRAINING,
        answer_begun=answer_begun,
        kind=kind.value,
    ).warning('request_cut')


async def _wait_until(is_delivered: Callable[[], Awaitable[bool]]) -> None:
    while not await is_delivered():
        await anyio.sleep(DRAIN_POLL_INTERVAL_S)
