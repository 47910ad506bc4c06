"""SIGHUP in programs that read their settings only when they start."""

import signal

import anyio
from anyio.abc import TaskStatus
from loguru import logger


async def ignore_hangup(
    *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Log each SIGHUP, whose default action ends the process."""
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        async for signum in signals:
            logger.bind(signal=signum).warning('signal_ignored')
