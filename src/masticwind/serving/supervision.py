"""Runs the parts of an entry so that an error in one does not stop the others.

Expected failures are return values. An exception that reaches this module is
a bug; it is logged with its traceback, and the part is restarted.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import anyio
from loguru import logger

RESTART_DELAY_S: Final = 0.2


async def supervise(run: Callable[[], Awaitable[None]]) -> None:
    """Run a part until it returns or is cancelled; restart it after errors."""
    while True:
        try:
            await run()
        except Exception as exc:
            logger.opt(exception=exc).bind(
                part=getattr(run, '__qualname__', repr(run)),
            ).error('part_failed')
            await anyio.sleep(RESTART_DELAY_S)
        else:
            return
