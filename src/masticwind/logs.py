"""Logging configuration: one JSON object per line.

The serving programs log to standard output. Commands that print their result
there log to standard error.

    log = get_logger('entry', 'e1')
    log.bind(request_id=req_id).warning('attempt_lost')

Messages are event names in snake case; variable values are bound as fields.
"""

import asyncio
import logging
import sys
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec
from loguru import logger

from masticwind.log_limits import LineLimiter
from masticwind.log_writer import LineWriter

if TYPE_CHECKING:
    from loguru import Logger, Message


def _write_line(write: Callable[[bytes], object], message: 'Message') -> None:
    record = message.record
    line: dict[str, object] = {
        'time': record['time'].isoformat(),
        'level': record['level'].name.lower(),
        'event': record['message'],
        **record['extra'],
    }
    exc = record['exception']
    if exc is not None:
        line['error'] = repr(exc.value)
        line['traceback'] = _format_traceback(exc.traceback)
    write(b'%b\n' % msgspec.json.encode(line, enc_hook=str))


def _format_traceback(traceback: object) -> list[str]:
    frames: list[str] = []
    while traceback is not None:
        code = traceback.tb_frame.f_code  # type: ignore[attr-defined]
        lineno = traceback.tb_lineno  # type: ignore[attr-defined]
        frames.append(f'{code.co_filename}:{lineno} {code.co_name}')
        traceback = traceback.tb_next  # type: ignore[attr-defined]
    return frames


class _LibraryLogHandler(logging.Handler):
    """Forwards log records of libraries to loguru.

    Warnings are limited for each library, as callers can cause them at will:
    one for each request that is no HTTP, for example.
    """

    def __init__(self) -> None:
        super().__init__()
        self._limiter: Final = LineLimiter()

    def emit(self, record: logging.LogRecord) -> None:
        level = record.levelname
        exc = record.exc_info[1] if record.exc_info else None
        # The cancellation of a request at shutdown is not an error.
        if isinstance(exc, asyncio.CancelledError):
            level = 'DEBUG'
        left_out: int | None = 0
        if level == 'WARNING':
            left_out = self._limiter.left_out(record.name)
        if left_out is None:
            return
        log = logger.opt(exception=exc).bind(library=record.name)
        log.bind(left_out=left_out).log(
            level,
            record.getMessage(),
        )


def configure_logs(level: str, *, to_stderr: bool = False) -> None:
    """Write logs of `level` and above as JSON lines, without blocking."""
    stream = sys.stderr if to_stderr else sys.stdout
    writer = LineWriter(stream.fileno())
    logger.remove()
    logger.add(
        partial(_write_line, writer.write),
        level=level.upper(),
        catch=False,
    )
    logging.basicConfig(
        handlers=[_LibraryLogHandler()],
        level=logging.WARNING,
        force=True,
    )


def get_logger(program: str, node: str) -> 'Logger':
    """Return a logger with fields for the program and the instance."""
    return logger.bind(program=program, node=node)


def bind_process_fields(program: str, node: str) -> None:
    """Add the program and the instance to all log lines of this process."""
    logger.configure(extra={'program': program, 'node': node})
