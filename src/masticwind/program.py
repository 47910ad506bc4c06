"""What the serving programs share: start-up and shutdown."""

import os
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Generic, TypeVar

import anyio
from anyio.abc import TaskStatus
from loguru import logger

from masticwind.errors import Failure
from masticwind.logs import configure_logs
from masticwind.settings import read_settings

EXIT_USAGE: Final = 2
EXIT_CUT_SHORT: Final = 3
# Settings can change without a signal.
RELOAD_POLL_S: Final = 1.0

_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True)
class SettingsFile(Generic[_Settings]):
    """A settings file with its content when it was first read."""

    path: Path
    kind: type[_Settings]
    content: bytes


def read_settings_file(
    path: Path,
    kind: type[_Settings],
) -> SettingsFile[_Settings]:
    """Remember a file's content, before it is read as settings."""
    return SettingsFile(path, kind, _content(path))


def load_settings_or_exit(path: Path, kind: type[_Settings]) -> _Settings:
    """Read settings, or print one line and exit with code 2."""
    cfg = read_settings(path, kind)
    if isinstance(cfg, Failure):
        sys.stderr.write(f'{cfg.reason}\n')
        sys.exit(EXIT_USAGE)
    configure_logs(cfg.log_level)  # type: ignore[attr-defined]
    return cfg


async def watch_settings(
    settings: SettingsFile[_Settings],
    adopt: Callable[[_Settings], None],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Read settings again at SIGHUP, and when their file has changed.

    Settings that cannot be used are logged and leave those in force.
    """
    content = settings.content
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        while True:
            hangup = False
            with anyio.move_on_after(RELOAD_POLL_S):
                await anext(aiter(signals))
                hangup = True
            newest = _content(settings.path)
            if newest == content and not hangup:
                continue
            content = newest
            _reload(settings, adopt)


def _content(path: Path) -> bytes:
    """Return a file's content; a file that cannot be read has none."""
    try:
        return path.read_bytes()
    except OSError:
        return b''


def _reload(
    settings: SettingsFile[_Settings],
    adopt: Callable[[_Settings], None],
) -> None:
    cfg = read_settings(settings.path, settings.kind)
    if isinstance(cfg, Failure):
        logger.bind(reason=cfg.reason).error('settings_rejected')
        return
    adopt(cfg)
    logger.info('settings_reloaded')


async def stop_on_signals(
    drain: Callable[[], Awaitable[None]],
    scope: anyio.CancelScope,
) -> None:
    """Drain at the first SIGTERM or SIGINT.

    The second one cuts this short: the process exits with code 3 at once.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            first = True
            async for signum in signals:
                if not first:
                    logger.bind(signal=signum).error('shutdown_cut_short')
                    _exit_at_once()
                first = False
                logger.bind(signal=signum).info('shutdown_started')
                tasks.start_soon(_drain, drain, scope)


def _exit_at_once() -> None:
    # Cleaning up could wait for the very thing that held up the shutdown.
    sys.stderr.flush()
    os._exit(EXIT_CUT_SHORT)


async def _drain(
    drain: Callable[[], Awaitable[None]],
    scope: anyio.CancelScope,
) -> None:
    await drain()
    logger.info('shutdown_complete')
    scope.cancel()
