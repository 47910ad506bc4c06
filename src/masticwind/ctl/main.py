"""The operators' command, `masticwind-ctl`.

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
from masticwind.ctl.exit_codes import (
    EXIT_DIFFERENT,
    EXIT_DONE,
    EXIT_INVALID,
    exit_code,
)
from masticwind.ctl.explain import explain
from masticwind.ctl.held import held_app
from masticwind.ctl.limits import limits_app
from masticwind.ctl.route import route_app
from masticwind.ctl.table import format_status
from masticwind.errors import ErrorKind, Failure
from masticwind.settings import PlatformSettings
from masticwind.store.http import HttpKeyValue

WATCH_INTERVAL_S: Final = 2.0
# An interrupt ends `status --watch` within one of these sleeps.
WATCH_SLEEPS_PER_INTERVAL: Final = 20

cli = cyclopts.App(
    name='masticwind-ctl',
    help=(
        "Validate, compare and apply operators' configuration. "
        'Exit codes: 0 done, 1 conflict or difference, 2 usage or invalid '
        'file, 3 platform down or refused, 4 outcome unknown.'
    ),
    version=__version__,
)
cli.command(held_app)
cli.command(limits_app)
cli.command(route_app)


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options for the location of the configuration and for the output.

    Parameters
    ----------
    key_value
        Base URL of the key-value service.
    api
        Base URL of an entry, whose administration API executes the command.
        The operator's token is read from MASTICWIND_TOKEN.
    operator
        Name recorded in the history for an apply with --key-value.
    json
        Print one JSON object.
    """

    key_value: str = ''
    api: str = ''
    operator: str = ''
    json: bool = False

    def select_backend(self) -> Backend | Failure:
        """Return the access that the address options select."""
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

    def write_output(self, result: object, lines: list[str]) -> None:
        """Write `result` as JSON or `lines` as text to standard output."""
        text = '\n'.join(lines)
        if self.json:
            text = msgspec.json.encode(result).decode()
        sys.stdout.write(f'{text}\n' if text else '')


Opts = Annotated[Options, cyclopts.Parameter(name='*')]
DEFAULT_OPTIONS: Final = Options()


@cli.command
def validate(*paths: Path, options: Opts = DEFAULT_OPTIONS) -> int:
    """Check configuration files without contacting any service."""
    config = _read_files(paths, options)
    if config is None:
        return EXIT_INVALID
    options.write_output({'valid': True}, ['valid'])
    return EXIT_DONE


@cli.command(name='diff')
def show_diff(*paths: Path, options: Opts = DEFAULT_OPTIONS) -> int:
    """Show what applying the files would change."""
    config = _read_files(paths, options)
    if config is None:
        return EXIT_INVALID
    return anyio.run(_run_diff, config, options)


@cli.command
def apply(
    *paths: Path,
    expected: int | None = None,
    options: Opts = DEFAULT_OPTIONS,
) -> int:
    """Apply the files as a whole, or not at all.

    Parameters
    ----------
    expected
        The generation that the files are based on; by default the one that
        is current when the command starts.
    """
    config = _read_files(paths, options)
    if config is None:
        return EXIT_INVALID
    return anyio.run(_run_apply, config, expected, options)


@cli.command
def show(
    *,
    generation: int | None = None,
    options: Opts = DEFAULT_OPTIONS,
) -> int:
    """Print the current configuration or an earlier generation."""
    return anyio.run(_run_show, generation, options)


@cli.command
def history(*, options: Opts = DEFAULT_OPTIONS) -> int:
    """List the stored generations, newest first."""
    return anyio.run(_run_history, options)


@cli.command
def status(*, watch: bool = False, options: Opts = DEFAULT_OPTIONS) -> int:
    """Show processes, endpoints by availability zone and outcomes by tier.

    Parameters
    ----------
    watch
        Print again every two seconds until interrupted.
    """
    interrupts: list[int] = []
    if watch:
        # A KeyboardInterrupt in the event loop would leave its tasks pending.
        signal.signal(
            signal.SIGINT,
            lambda signum, _frame: interrupts.append(signum),
        )
    code = anyio.run(_run_status, options)
    while watch and code == EXIT_DONE and not interrupts:
        sys.stdout.flush()
        for _ in range(WATCH_SLEEPS_PER_INTERVAL):
            if not interrupts:
                time.sleep(WATCH_INTERVAL_S / WATCH_SLEEPS_PER_INTERVAL)
        if not interrupts:
            code = anyio.run(_run_status, options)
    return code


def _read_files(
    paths: tuple[Path, ...], options: Options
) -> Configuration | None:
    if not paths:
        failure = Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason='expected at least one file or folder',
        )
        _report_failure(failure, options)
        return None
    config = read_configuration(paths)
    if isinstance(config, Configuration):
        return config
    lines = [problem.line for problem in config]
    if options.json:
        options.write_output({'valid': False, 'problems': lines}, [])
    else:
        sys.stderr.write('\n'.join([*lines, '']))
    return None


async def _run_diff(config: Configuration, options: Options) -> int:
    backend = options.select_backend()
    if isinstance(backend, Failure):
        return _report_failure(backend, options)
    current = await backend.current_generation()
    if isinstance(current, Failure):
        return _report_failure(current, options)
    changes = diff(current.config, config)
    options.write_output(
        {'generation': current.number, 'changes': changes},
        [change.line for change in changes],
    )
    return EXIT_DIFFERENT if changes else EXIT_DONE


async def _run_apply(
    config: Configuration,
    expected: int | None,
    options: Options,
) -> int:
    backend = options.select_backend()
    if isinstance(backend, Failure):
        return _report_failure(backend, options)
    applied = await backend.apply(config, expected)
    if isinstance(applied, Failure):
        return _report_failure(applied, options)
    lines = [change.line for change in applied.changes]
    if applied.failure is None:
        lines.append(f'generation {applied.number} is in force')
        options.write_output(applied, lines)
        return EXIT_DONE
    lines.insert(0, f'conflict: {applied.failure.reason}')
    options.write_output(applied, lines)
    return EXIT_DIFFERENT


async def _run_show(number: int | None, options: Options) -> int:
    backend = options.select_backend()
    if isinstance(backend, Failure):
        return _report_failure(backend, options)
    if number is None:
        found = await backend.current_generation()
    else:
        found = await backend.past_generation(number)
    if isinstance(found, Failure):
        return _report_failure(found, options)
    text = yaml.safe_dump(msgspec.to_builtins(found.config), sort_keys=False)
    options.write_output(found, [f'# generation {found.number}', text.rstrip()])
    return EXIT_DONE


async def _run_history(options: Options) -> int:
    backend = options.select_backend()
    if isinstance(backend, Failure):
        return _report_failure(backend, options)
    heads = await backend.history()
    if isinstance(heads, Failure):
        return _report_failure(heads, options)
    options.write_output(
        heads,
        [f'{head.number} {head.applied_at} {head.operator}' for head in heads],
    )
    return EXIT_DONE


async def _run_status(options: Options) -> int:
    backend = options.select_backend()
    if isinstance(backend, Failure):
        return _report_failure(backend, options)
    found = await backend.status()
    if isinstance(found, Failure):
        return _report_failure(found, options)
    options.write_output(found, format_status(found))
    return EXIT_DONE


def _report_failure(failure: Failure, options: Options) -> int:
    if options.json:
        options.write_output({'error': failure}, [])
    else:
        sys.stderr.write(f'{failure.reason}\n')
    return exit_code(failure)


@cli.command(name='explain')
def explain_request(
    request_id: str,
    *,
    logs: Annotated[list[Path], cyclopts.Parameter(consume_multiple=True)],
) -> None:
    """Explain the outcome of request REQUEST_ID from the LOGS of entries."""
    explanation = explain(request_id, logs)
    if not explanation.lines:
        sys.stderr.write(f'no line of {request_id} in these logs\n')
        sys.exit(EXIT_DIFFERENT)
    sys.stdout.write('\n'.join((*explanation.lines, '')))


def main() -> None:
    """Run the program."""
    # Cyclopts exits with code 1 on a usage error, which here means a conflict.
    try:
        code = cli(exit_on_error=False)
    except cyclopts.CycloptsError:
        code = EXIT_INVALID
    sys.exit(code)


if __name__ == '__main__':
    main()
