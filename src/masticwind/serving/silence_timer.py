"""Timers after which an endpoint that writes nothing counts as silent."""

import asyncio
from types import TracebackType
from typing import Final, Self

from masticwind.serving.attempt_context import AttemptContext

# Time to read what has arrived while this process was paused.
READ_TIME_S: Final = 0.01


class SilenceTimer:
    """Reports the silence of an endpoint at a time on the event loop's clock.

    The wait for the endpoint goes on: it may only be slow.
    """

    def __init__(self, context: AttemptContext, expires_at: float) -> None:
        self._loop: Final = asyncio.get_running_loop()
        self._on_silence: Final = context.on_silence
        self._timer = self._loop.call_at(expires_at, self._read_first)

    def __enter__(self) -> Self:
        """Start the wait."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the wait."""
        self.end()

    def end(self) -> None:
        """Stop the timer, as the endpoint has written something."""
        self._timer.cancel()

    def _read_first(self) -> None:
        self._timer = self._loop.call_later(READ_TIME_S, self._on_silence)
