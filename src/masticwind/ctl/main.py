"""Command line of `masticwind-ctl`, the operators' command.

Exit codes: 0 done; 1 conflict (`apply`) or difference (`diff`); 2 usage or
invalid file; 3 platform down or refused; 4 outcome unknown.
"""

import getpass
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import anyio
import cyclopts
import msgspec
import yaml

from masticwind import __version__
from masticwind.config.diff import diff
from masticwind.config.model import Configuration
from masticwind.config.reader import read_configuration
from masticwind.config.store import ConfigStore
from masticwind.ctl.backend import ApiBackend, Backend, StoreBackend
from masticwind.ctl.explain import explain
from masticwind.ctl.table import format_status
from masticwind.errors import ErrorKind, Failure
from masticwind.settings import PlatformSettings
from masticwind.store.http import HttpKeyValue

DONE: Final = 0
DIFFERENT: Final = 1
INVALID: Final = 2
REFUSED: Final = 3
UNKNOWN: Final = 4

WATCH_INTERVAL_S: Final = 2.0
# An interrupt ends the watch within this part of the interval.
WATCH_SLICES: Final = 20
_INVALID_KINDS: Final = frozenset(
    (ErrorKind.BAD_REQUEST, ErrorKind.INVALID_CONFIG, ErrorKind.TOO_LARGE),
)

cli = cyclopts.App(
    name='masticwind-ctl',
    help=(
        "Validate, compare and apply operators' configuration. "
        'Exit codes: 0 done, 1 conflict or difference, 2 usage or invalid '
        'file, 3 platform down or refused, 4 outcome unknown.'
    ),
    version=__version__,
)


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Where the configuration is, and how to print.

    Parameters
    ----------
    key_value
        Base URL of the key-value service.
    api
        Base URL of an entry; its administration API does the work. The
        operator's token is read from MASTICWIND_TOKEN.
    operator
        Name that the history shows for a direct apply.
    json
        Print one JSON object.
    """

    key_value: str = ''
    api: str = ''
    operator: str = ''
    json: bool = False

    def backend(self) -> Backend | Failure:
        """Return what the address options select."""
        if self.api:
            token = os.environ.get('MASTICWIND_TOKEN', '')
            return ApiBackend(self.api, token)
        if self.key_value:
            cfg = PlatformSettings(key_value_url=self.key_value)
            operator = self.operator or getpass.getuser()
            return StoreBackend(ConfigStore(HttpKeyValue(cfg)), operator)
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason='expected --api or --key-value',
        )

    def out(self, content: object, lines: list[str]) -> None:
        """Print `content` as JSON or `lines` as text."""
        text = '\n'.join(lines)
        if self.json:
            text = msgspec.json.encode(content).decode()
        sys.stdout.write(f'{text}\n' if text else '')


Opts = Annotated[Options, cyclopts.Parameter(name='*')]
DEFAULT_OPTIONS: Final = Options()


@cli.command
def validate(*paths: Path, options: Opts = DEFAULT_OPTIONS) -> int:
    """Check configuration files without any other process."""
    config = _read(paths, options)
    if config is None:
        return INVALID
    options.out({'valid': True}, ['valid'])
    return DONE


@cli.command(name='diff')
def show_diff(*paths: Path, options: Opts = DEFAULT_OPTIONS) -> int:
    """Show what an apply of the files would change."""
    config = _read(paths, options)
    if config is None:
        return INVALID
    return anyio.run(_diff, config, options)


@cli.command
def apply(
    *paths: Path,
    expected: int | None = None,
    options: Opts = DEFAULT_OPTIONS,
) -> int:
    """Put the files in force as a whole, or not at all.

    Parameters
    ----------
    expected
        The generation that the files were made for; without it, the one in
        force when the command starts.
    """
    config = _read(paths, options)
    if config is None:
        return INVALID
    return anyio.run(_apply, config, expected, options)


@cli.command
def show(
    *,
    generation: int | None = None,
    options: Opts = DEFAULT_OPTIONS,
) -> int:
    """Print the configuration in force, or an earlier generation."""
    return anyio.run(_show, generation, options)


@cli.command
def history(*, options: Opts = DEFAULT_OPTIONS) -> int:
    """List the generations that are kept, newest first."""
    return anyio.run(_history, options)


@cli.command
def status(*, watch: bool = False, options: Opts = DEFAULT_OPTIONS) -> int:
    """Show processes, endpoints by availability zone and service by tier.

    Parameters
    ----------
    watch
        Print again every two seconds until interrupted.
    """
    interrupts: list[int] = []
    if watch:
        # An interrupt within the event loop would leave its tasks pending.
        signal.signal(
            signal.SIGINT,
            lambda signum, _frame: interrupts.append(signum),
        )
    code = anyio.run(_status, options)
    while watch and code == DONE and not interrupts:
        sys.stdout.flush()
        for _ in range(WATCH_SLICES):
            if not interrupts:
                time.sleep(WATCH_INTERVAL_S / WATCH_SLICES)
        if not interrupts:
            code = anyio.run(_status, options)
    return code


def _read(paths: tuple[Path, ...], options: Options) -> Configuration | None:
    if not paths:
        failure = Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason='expected at least one file or folder',
        )
        _fail(failure, options)
        return None
    config = read_configuration(paths)
    if isinstance(config, Configuration):
        return config
    lines = [one.line for one in config]
    if options.json:
        options.out({'valid': False, 'problems': lines}, [])
    else:
        sys.stderr.write('\n'.join([*lines, '']))
    return None


async def _diff(config: Configuration, options: Options) -> int:
    backend = options.backend()
    if isinstance(backend, Failure):
        return _fail(backend, options)
    current = await backend.current()
    if isinstance(current, Failure):
        return _fail(current, options)
    changes = diff(current.config, config)
    options.out(
        {'generation': current.number, 'changes': changes},
        [one.line for one in changes],
    )
    return DIFFERENT if changes else DONE


async def _apply(
    config: Configuration,
    expected: int | None,
    options: Options,
) -> int:
    backend = options.backend()
    if isinstance(backend, Failure):
        return _fail(backend, options)
    applied = await backend.apply(config, expected)
    if isinstance(applied, Failure):
        return _fail(applied, options)
    lines = [one.line for one in applied.changes]
    if applied.failure is None:
        lines.append(f'generation {applied.number} is in force')
        options.out(applied, lines)
        return DONE
    lines.insert(0, f'conflict: {applied.failure.reason}')
    options.out(applied, lines)
    return DIFFERENT


async def _show(number: int | None, options: Options) -> int:
    backend = options.backend()
    if isinstance(backend, Failure):
        return _fail(backend, options)
    if number is None:
        found = await backend.current()
    else:
        found = await backend.past(number)
    if isinstance(found, Failure):
        return _fail(found, options)
    text = yaml.safe_dump(msgspec.to_builtins(found.config), sort_keys=False)
    options.out(found, [f'# generation {found.number}', text.rstrip()])
    return DONE


async def _history(options: Options) -> int:
    backend = options.backend()
    if isinstance(backend, Failure):
        return _fail(backend, options)
    heads = await backend.history()
    if isinstance(heads, Failure):
        return _fail(heads, options)
    options.out(
        heads,
        [f'{one.number} {one.applied_at} {one.operator}' for one in heads],
    )
    return DONE


async def _status(options: Options) -> int:
    backend = options.backend()
    if isinstance(backend, Failure):
        return _fail(backend, options)
    found = await backend.status()
    if isinstance(found, Failure):
        return _fail(found, options)
    options.out(found, format_status(found))
    return DONE


def _fail(failure: Failure, options: Options) -> int:
    if options.json:
        options.out({'error': failure}, [])
    else:
        sys.stderr.write(f'{failure.reason}\n')
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return UNKNOWN
    return INVALID if failure.kind in _INVALID_KINDS else REFUSED


@cli.command(name='explain')
def explain_request(
    request_id: str,
    *,
    logs: Annotated[list[Path], cyclopts.Parameter(consume_multiple=True)],
) -> None:
    """Explain what happened to request REQUEST_ID, from entries' LOGS."""
    explanation = explain(request_id, logs)
    if not explanation.lines:
        sys.stderr.write(f'no line of {request_id} in these logs\n')
        sys.exit(DIFFERENT)
    sys.stdout.write('\n'.join((*explanation.lines, '')))


def main() -> None:
    """Run the program."""
    # Cyclopts would end a usage error with code 1, which means a conflict.
    try:
        code = cli(exit_on_error=False)
    except cyclopts.CycloptsError:
        code = INVALID
    sys.exit(code)


if __name__ == '__main__':
    main()
