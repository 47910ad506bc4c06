"""Settings, signals and shutdown of the serving programs."""

import math
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Final, Generic, NoReturn, TypeVar

import anyio
from anyio.abc import TaskStatus
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.logs import configure_logs
from masticwind.settings_file import read_settings

EXIT_USAGE: Final = 2
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
# The file is also polled because it can change without a SIGHUP.
RELOAD_POLL_INTERVAL_S: Final = 1.0

_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True)
class SettingsFile(Generic[_Settings]):
    """A settings file and its content at the first read."""

    path: Path
    kind: type[_Settings]
    content: bytes


def read_settings_file(
    path: Path,
    kind: type[_Settings],
) -> SettingsFile[_Settings]:
    """Return a settings file with its content.

    Call this before the settings are decoded, so that `watch_settings` sees
    every later change.
    """
    return SettingsFile(path, kind, _read_content(path))


def load_settings_or_exit(path: Path, kind: type[_Settings]) -> _Settings:
    """Read settings; on an error, print one line and exit with code 2."""
    cfg = read_settings(path, kind)
    if isinstance(cfg, Failure):
        sys.stderr.write(f'{cfg.reason}\n')
        sys.exit(EXIT_USAGE)
    configure_logs(cfg.log_level)  # type: ignore[attr-defined]
    return cfg


def exit_after_shutdown() -> NoReturn:
    """End the process without the interpreter's cleanup.

    The cleanup takes 0.1 s of processor time, and the time until SIGKILL is
    used up when the last answer has been written.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(os.EX_OK)


async def watch_settings(
    settings: SettingsFile[_Settings],
    apply: Callable[[_Settings], None],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Reload settings on SIGHUP and whenever their file changes.

    Invalid settings are logged, and the current ones stay in effect.
    """
    content = settings.content
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        while True:
            received_sighup = False
            with anyio.move_on_after(RELOAD_POLL_INTERVAL_S):
                await anext(aiter(signals))
                received_sighup = True
            new_content = _read_content(settings.path)
            if new_content == content and not received_sighup:
                continue
            content = new_content
            _reload(settings, apply)


def _read_content(path: Path) -> bytes:
    """Return a file's content, which is empty if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError:
        return b''


def _reload(
    settings: SettingsFile[_Settings],
    apply: Callable[[_Settings], None],
) -> None:
    cfg = read_settings(settings.path, settings.kind)
    if isinstance(cfg, Failure):
        logger.bind(reason=cfg.reason).error('settings_rejected')
        return
    apply(cfg)
    logger.info('settings_reloaded')


class StopSignal:
    """When the first signal to stop arrived.

    The event loop handles a signal in its next step, which may be late. The
    handler of the interpreter runs as soon as the process does.
    """

    def __init__(self) -> None:
        self._received_at = math.inf

    def install(self) -> None:
        """Replace the handlers that an event loop has installed.

        It handles its signals without them.
        """
        for signum in STOP_SIGNALS:
            signal.signal(signum, self._record)

    def age_s(self) -> float:
        """Return the time since the signal; zero before it."""
        return max(0.0, time.monotonic() - self._received_at)

    def _record(self, _signum: int, _frame: FrameType | None) -> None:
        self._received_at = min(self._received_at, time.monotonic())


async def stop_on_signals(
    drain: Callable[[], Awaitable[None]],
    scope: anyio.CancelScope,
    stop_signal: StopSignal,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Drain on the first SIGTERM or SIGINT.

    A further one repeats the same request, and is logged. SIGKILL ends the
    process at once.
    """
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        stop_signal.install()
        task_status.started()
        async with anyio.create_task_group() as tasks:
            signal_count = 0
            async for signum in signals:
                signal_count += 1
                log = logger.bind(signal=signum)
                if signal_count > 1:
                    log.bind(count=signal_count).warning('shutdown_repeated')
                    continue
                age_ms = round(stop_signal.age_s() * MS_PER_S)
                log.bind(handled_after_ms=age_ms).info('shutdown_started')
                tasks.start_soon(_drain, drain, scope)


class StoppableProgram:
    """Runs a program until a signal, drains it and exits the process.

    The handlers of signals stay installed until the exit: their default
    actions would end a process that still writes its last output.
    """

    def __init__(
        self,
        run: Callable[[], Awaitable[None]],
        drain: Callable[[], Awaitable[None]],
        stop_signal: StopSignal | None = None,
    ) -> None:
        self._run: Final = run
        self._drain: Final = drain
        self._stop_signal: Final = stop_signal or StopSignal()
        self._run_scope: Final = anyio.CancelScope()
        self._ended: Final = anyio.Event()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run; report that it has started once signals are handled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(
                stop_on_signals,
                self._drain_and_exit,
                tasks.cancel_scope,
                self._stop_signal,
            )
            task_status.started()
            try:
                with self._run_scope:
                    await self._run()
            finally:
                self._ended.set()

    async def _drain_and_exit(self) -> None:
        await self._drain()
        self._run_scope.cancel()
        await self._ended.wait()
        logger.info('shutdown_complete')
        exit_after_shutdown()


async def _drain(
    drain: Callable[[], Awaitable[None]],
    scope: anyio.CancelScope,
) -> None:
    await drain()
    logger.info('shutdown_complete')
    scope.cancel()
