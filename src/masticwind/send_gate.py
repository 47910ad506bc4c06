"""Checks whether a request may still be sent.

A request is placed before it waits, for a connection for example. What has been
learned meanwhile decides right before its first byte.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

import anyio

# Interval at which a request that waits for a connection is checked again.
RECHECK_INTERVAL_S: Final = 0.05


class HeldBackError(Exception):
    """A request must not be sent any more; nothing of it was sent."""


@dataclass(frozen=True, slots=True)
class SendCheck:
    """Decides whether a request may still be sent.

    `find_obstacle` returns the reason why it must not be sent any more, or ''.
    `on_send` is called right before its first byte is sent.
    """

    find_obstacle: Callable[[], str]
    on_send: Callable[[], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendOptions:
    """How a request is sent.

    A new connection is opened for a `fresh` one. `check` is asked while the
    request waits for a connection, and right before its first byte.
    """

    fresh: bool = False
    check: SendCheck | None = None


DEFAULT_OPTIONS: Final = SendOptions()


class SendGate:
    """Asks right before the first byte of a request whether to send it.

    `send_check` is set for each request.
    """

    def __init__(self) -> None:
        self.send_check: SendCheck | None = None

    def check(self) -> None:
        """Raise `HeldBackError` if the request must not be sent."""
        send_check = self.send_check
        if send_check is None:
            return
        self.send_check = None
        obstacle = send_check.find_obstacle()
        if obstacle:
            raise HeldBackError(obstacle)
        send_check.on_send()


class ObstacleWatch:
    """Ends a wait as soon as its request must not be sent any more."""

    def __init__(self, send_check: SendCheck | None) -> None:
        self.obstacle = ''
        self._send_check: Final = send_check
        self._scope: Final = anyio.CancelScope()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Begin the wait."""
        self._scope.__enter__()
        self._schedule()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """End the wait; nothing is raised if there is an obstacle."""
        if self._timer is not None:
            self._timer.cancel()
        if exc is None:
            self.obstacle = ''
        return self._scope.__exit__(exc_type, exc, traceback)

    def raise_obstacle(self) -> None:
        """Raise `HeldBackError` if the wait has ended for an obstacle."""
        if self.obstacle:
            raise HeldBackError(self.obstacle)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        if self._send_check is not None:
            self.obstacle = self._send_check.find_obstacle()
        if self.obstacle:
            self._scope.cancel()
        else:
            self._schedule()
