"""Logs delays of the event loop while a process stops.

A stopping process has to answer what it has read before SIGKILL. It may be late
since it waits for a processor or since one step of the event loop takes long;
the processor time of the delay tells which.
"""

import time
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.serving.lifetime import Lifetime

CHECK_INTERVAL_S: Final = 0.05
MIN_DELAY_S: Final = 0.1


async def log_loop_delays(lifetime: Lifetime) -> None:
    """Log each delay of at least `MIN_DELAY_S` until cancelled."""
    while True:
        began_at = time.monotonic()
        used_s = time.process_time()
        await anyio.sleep(CHECK_INTERVAL_S)
        delay_s = time.monotonic() - began_at - CHECK_INTERVAL_S
        if delay_s < MIN_DELAY_S:
            continue
        logger.bind(
            delay_ms=round(delay_s * MS_PER_S),
            processor_ms=round((time.process_time() - used_s) * MS_PER_S),
            stopping_for_ms=lifetime.stopping_for_ms(),
        ).warning('event_loop_delayed')
