"""The planned end of a process: until when it may send requests.

After the signal to stop, a request is sent only if it is expected to end while
the process runs. Once the process has closed, nothing is sent any more. It
closes before it finds out that no request is running, so that no request can
arrive between this check and the end.
"""

import math
import time
from collections.abc import Callable
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S

# After the signal, new requests still arrive for this time: the load balancer
# stops sending after two failed readiness checks, one second apart.
ARRIVALS_END_S: Final = 3.0
# Time before SIGKILL at which requests without an answer get an error. An order
# that releases memory may take 0.4 s before it is written.
CLOSE_TIME_S: Final = 0.6
# Time before SIGKILL that is reserved for the exit of the process. Answers that
# have begun are ended then, since nothing can be written in their place.
EXIT_TIME_S: Final = 0.2
# Time for writing answers even if SIGKILL is due, for example since the process
# was suspended.
MIN_CLOSING_TIME_S: Final = 0.4
# Delays of the event loop are measured at this interval; shorter ones than the
# least are not logged.
DELAY_CHECK_INTERVAL_S: Final = 0.05
MIN_DELAY_S: Final = 0.1


# Returns the seconds since the signal to stop.
SignalAge = Callable[[], float]


def no_signal_age() -> float:
    """Return the age of a signal that has just arrived."""
    return 0.0


class Lifetime:
    """When the process was told to stop, and when it ends.

    Times are on the monotonic clock, which runs while the process is paused.
    """

    def __init__(self) -> None:
        self._stopping_since = math.inf
        self._killed_at = math.inf
        # Not changed by a shorter time between the signals.
        self._answers_end_at = math.inf
        self._closed = False

    def stop(self, grace_s: float, signal_age_s: float = 0) -> None:
        """Record the signal to stop; SIGKILL follows `grace_s` after it.

        The signal arrived `signal_age_s` ago.
        """
        self._stopping_since = time.monotonic() - signal_age_s
        self._killed_at = self._stopping_since + grace_s
        self._answers_end_at = self._killed_at - EXIT_TIME_S

    def shorten(self, grace_s: float) -> None:
        """Apply a changed time between the signals, if it is shorter.

        A longer one is not trusted: whoever sends SIGKILL may have read the
        former one. For the same reason answers that have begun keep the former
        time: if SIGKILL comes sooner, they are lost in either case.
        """
        killed_at = self._stopping_since + grace_s
        if killed_at < self._killed_at:
            self._killed_at = killed_at
            log = logger.bind(grace_ms=round(grace_s * MS_PER_S))
            log.info('shutdown_time_shortened')

    def close(self) -> None:
        """Send nothing any more."""
        self._closed = True

    @property
    def arrivals_over(self) -> bool:
        """Whether the load balancer has stopped sending new connections."""
        return time.monotonic() >= self._stopping_since + ARRIVALS_END_S

    def remaining_s(self) -> float:
        """Return the time for which a request that is sent now may run.

        It is infinite before the signal.
        """
        if self._closed:
            return 0.0
        return max(0.0, self._killed_at - CLOSE_TIME_S - time.monotonic())

    def closing_time_s(self) -> float:
        """Return the time until the last connection must be closed."""
        return max(MIN_CLOSING_TIME_S, self.answering_time_s())

    def answering_time_s(self) -> float:
        """Return the time for which answers that have begun may go on."""
        return max(0.0, self._answers_end_at - time.monotonic())

    async def log_loop_delays(self) -> None:
        """Log delays of the event loop until cancelled.

        The processor time tells whether the process has waited for a processor,
        or one step of the event loop has taken long.
        """
        while True:
            began_at = time.monotonic()
            used_s = time.process_time()
            await anyio.sleep(DELAY_CHECK_INTERVAL_S)
            delay_s = time.monotonic() - began_at - DELAY_CHECK_INTERVAL_S
            if delay_s < MIN_DELAY_S:
                continue
            used_s = time.process_time() - used_s
            logger.bind(
                delay_ms=round(delay_s * MS_PER_S),
                processor_ms=round(used_s * MS_PER_S),
                stopping_for_ms=self.stopping_for_ms(),
            ).warning('event_loop_delayed')

    def stopping_for_ms(self) -> int | None:
        """Return the time since the signal; None before it."""
        if math.isinf(self._stopping_since):
            return None
        return round((time.monotonic() - self._stopping_since) * MS_PER_S)
