"""Command line of `masticwind-local`, a demo fleet in one process."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Final

import anyio
import cyclopts

from masticwind import __version__
from masticwind.logs import configure_logs
from masticwind.program import StopSignal, stop_on_signals
from masticwind_dev.local.check import CheckResult, run_checks
from masticwind_dev.local.fleet import Fleet, running_fleet
from masticwind_dev.local.sample import (
    OPERATOR_TOKEN,
    PAID_TOKEN,
    sample_plan,
)

PORT: Final = 8100

cli = cyclopts.App(
    name='masticwind-local',
    help='Run a whole fleet in one process.',
    version=__version__,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalOptions:
    """Command-line options of the local fleet."""

    once: bool
    port: int


@cli.default
def serve(
    *,
    once: Annotated[
        bool,
        cyclopts.Parameter(help='check a set of requests and exit'),
    ] = False,
    port: Annotated[
        int,
        cyclopts.Parameter(help='TCP port of the entry, 0 for any'),
    ] = PORT,
    log_level: Annotated[
        str,
        cyclopts.Parameter(help='debug, info, warning or error'),
    ] = 'warning',
) -> None:
    """Serve sample requests, print how to call the fleet, and keep serving."""
    configure_logs(log_level, to_stderr=True)
    options = LocalOptions(once=once, port=0 if once else port)
    failed = anyio.run(
        _serve,
        options,
        backend_options={'use_uvloop': True},
    )
    sys.exit(1 if failed else 0)


async def _serve(options: LocalOptions) -> bool:
    async with running_fleet(sample_plan(options.port)) as fleet:
        checks = await run_checks(fleet)
        _print_checks(checks)
        failed = any(not result.passed for result in checks)
        if options.once or failed:
            return failed
        _print_usage(fleet)
        with anyio.CancelScope() as scope:
            await stop_on_signals(fleet.drain, scope, StopSignal())
    return False


def _print_checks(checks: Sequence[CheckResult]) -> None:
    for result in checks:
        status = 'ok    ' if result.passed else 'FAILED'
        print(f'{status} {result.name}: {result.detail}')


def _print_usage(fleet: Fleet) -> None:
    port = next(iter(fleet.entries.values())).port
    print(
        f"""
The fleet serves on http://127.0.0.1:{port}. Send it a request:

  curl -s http://127.0.0.1:{port}/v1/chat/completions \\
    -H 'Authorization: Bearer {PAID_TOKEN}' \\
    -H 'X-Request-Timeout-Ms: 10000' \\
    -d '{{"model": "standard", "max_tokens": 8, "messages":
         [{{"role": "user", "content": "Summarise case 12."}}]}}'

Change its configuration as an operator:

  export MASTICWIND_TOKEN={OPERATOR_TOKEN}
  masticwind-ctl show --api http://127.0.0.1:{port} > fleet.yaml
  masticwind-ctl apply fleet.yaml --api http://127.0.0.1:{port}
  masticwind-ctl status --api http://127.0.0.1:{port}

Stop it with Ctrl-C.""",
        flush=True,
    )


def main() -> None:
    """Run the program."""
    cli()


if __name__ == '__main__':
    main()
