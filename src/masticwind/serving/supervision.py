"""Runs the parts of an entry, so that an error in one does not end the rest.

Expected failures are values. An exception that reaches this module is a
fault in the code; it is logged whole, and the part starts again.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
from loguru import logger

# Pause before a part that has failed starts again.
RESTART_S: Final = 0.2


async def supervise(run: Callable[[], Awaitable[None]]) -> None:
    """Run a part until it ends or is cancelled; start it again after errors."""
    while True:
        try:
            await run()
        except Exception as exc:
            logger.opt(exception=exc).bind(
                part=getattr(run, '__qualname__', repr(run)),
            ).error('part_failed')
            await anyio.sleep(RESTART_S)
        else:
            return
