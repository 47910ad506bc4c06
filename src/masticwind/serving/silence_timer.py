"""Timers after which an endpoint that writes nothing counts as silent."""

import asyncio
from types import TracebackType
from typing import Final, Self

from masticwind.serving.attempt_context import AttemptContext

# Time to read what has arrived while this process was paused.
READ_TIME_S: Final = 0.01


class SilenceTimer:
    """Reports the silence of an endpoint, for which the wait goes on.

    It runs from `start` until `stop` or the end of its block.
    """

    def __init__(self, context: AttemptContext) -> None:
        self._loop: Final = asyncio.get_running_loop()
        self._on_silence: Final = context.on_silence
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Return the timer, which is not started."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timer."""
        self.stop()

    def start(self, timeout_s: float) -> None:
        """Report a silence that lasts `timeout_s` seconds from now."""
        self.stop()
        self._timer = self._loop.call_later(timeout_s, self._read_first)

    def stop(self) -> None:
        """Report nothing until the next `start`."""
        if self._timer is not None:
            self._timer.cancel()

    def _read_first(self) -> None:
        self._timer = self._loop.call_later(READ_TIME_S, self._on_silence)
