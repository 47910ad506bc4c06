"""Decides whether connections to a server are reused."""

import math
import time
from collections.abc import Callable
from typing import Final

from loguru import logger

MIN_PAUSE_S: Final = 5.0
MAX_PAUSE_S: Final = 60.0


class ConnectionReuse:
    """Pauses the reuse of connections to one server.

    A server that writes responses that were not asked for writes them on kept
    connections, where each costs a request. It gets new connections for a
    while, and for twice as long if it does so again soon afterwards.
    """

    def __init__(
        self, server: str, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._server: Final = server
        self._clock: Final = clock
        self._pause_s = 0.0
        self._paused_until: float | None = None
        self._latest_end = -math.inf

    def is_paused(self) -> bool:
        """Tell whether a request must use a new connection."""
        if self._paused_until is None:
            return False
        if self._clock() < self._paused_until:
            return True
        self._paused_until = None
        logger.bind(server=self._server).info('connection_reuse_resumed')
        return False

    def pause(self) -> None:
        """Begin a pause, unless there is one."""
        now = self._clock()
        if self._paused_until is not None and now < self._paused_until:
            return
        if now > self._latest_end + self._pause_s:
            self._pause_s = MIN_PAUSE_S / 2
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        self._latest_end = now + self._pause_s
        self._paused_until = self._latest_end
        log = logger.bind(server=self._server, pause_s=self._pause_s)
        log.warning('connection_reuse_paused')
