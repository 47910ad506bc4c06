"""Command line of the soak.

    python -m masticwind_dev.soak.main --seed 7 --seconds 20
    python -m masticwind_dev.soak.main --stops --seed 7 --seconds 60
    python -m masticwind_dev.soak.main --silent --seed 7 --seconds 20
    python -m masticwind_dev.soak.main --faulty-answers --seed 7 --seconds 20

Runs two entry processes with stand-ins under random faults for some seconds.
After that, service must recover, and finally every request must be served.
With `--stops`, entries are stopped as planned, again and again, without other
faults. With `--silent`, endpoints write nothing for a while and go on; each
seed has a run with versions of the configuration only, and one with other
faults. With `--faulty-answers`, endpoints write bytes without end or earlier
answers once more, or fall silent, beside planned stops.
Exit code 1 means that a guarantee was violated: the violations are printed
and the folder with the logs is kept.
"""

import shutil
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Final

import anyio
import cyclopts

from masticwind.logs import configure_logs
from masticwind_dev.soak.callers import Findings, SequentialCaller
from masticwind_dev.soak.environment import SoakEnvironment, caller_name
from masticwind_dev.soak.faults import FaultInjector
from masticwind_dev.soak.faulty import (
    draw_options as draw_faulty_options,
)
from masticwind_dev.soak.faulty import (
    format_result as format_faulty_result,
)
from masticwind_dev.soak.faulty import run_faulty_answers
from masticwind_dev.soak.silent import (
    draw_options as draw_silence_options,
)
from masticwind_dev.soak.silent import (
    format_result as format_silence_result,
)
from masticwind_dev.soak.silent import run_silences
from masticwind_dev.soak.stops import draw_options, format_result, run_stops

CALLER_COUNT: Final = 8
START_TIMEOUT_S: Final = 10.0
# Service must recover within this time after the last fault.
RECOVERY_TIMEOUT_S: Final = 8.0
SETTLE_S: Final = 0.5
# An entry may avoid an endpoint for this long after the endpoint's last fault.
# After that, every request must be served.
AVOIDANCE_S: Final = 5.0
FAULT_FREE_S: Final = 2.0

cli = cyclopts.App(
    name='soak', help='Run entries under random faults and check every answer.'
)


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class SoakOptions:
    """First seed, duration, number and kind of soaks; seeds are consecutive."""

    seed: int = 1
    seconds: float = 12
    count: int = 1
    stops: bool = False
    engines_leave: bool = False
    silent: bool = False
    faulty_answers: bool = False


DEFAULTS: Final = SoakOptions()


@cli.default
def main(*, options: SoakOptions = DEFAULTS) -> None:
    """Run COUNT soaks of SECONDS each, with consecutive seeds from SEED.

    With `--stops`, run soaks of planned stops; with `--engines-leave` too,
    endpoints leave and ask for pauses during them. With `--silent`, run soaks
    of endpoints that fall silent and go on, two of SECONDS for each seed. With
    `--faulty-answers`, run soaks of bytes without end and late copies.
    """
    configure_logs('error', to_stderr=True)
    run = _run_all_stops if options.stops else _run_all
    if options.silent:
        run = _run_all_silences
    if options.faulty_answers:
        run = _run_all_faulty_answers
    sys.exit(anyio.run(run, options, backend_options={'use_uvloop': True}))


async def _run_all_stops(options: SoakOptions) -> int:
    stops = 0
    violations: Counter[str] = Counter()
    for seed in range(options.seed, options.seed + options.count):
        drawn = replace(draw_options(seed), engines_leave=options.engines_leave)
        result = await run_stops(drawn, options.seconds)
        print(format_result(seed, result), flush=True)
        stops += len(result.records.instances)
        violations.update(result.violations)
    print(f'{stops} stops, violations {dict(violations)}', flush=True)
    return 1 if violations else 0


async def _run_all_silences(options: SoakOptions) -> int:
    requests = 0
    violations: Counter[str] = Counter()
    for seed in range(options.seed, options.seed + options.count):
        for other_faults in (False, True):
            drawn = draw_silence_options(seed, other_faults=other_faults)
            result = await run_silences(drawn, options.seconds)
            print(format_silence_result(result), flush=True)
            requests += len(result.records.exchanges)
            violations.update(result.violations)
    print(f'{requests} requests, violations {dict(violations)}', flush=True)
    return 1 if violations else 0


async def _run_all_faulty_answers(options: SoakOptions) -> int:
    requests = 0
    violations: Counter[str] = Counter()
    for seed in range(options.seed, options.seed + options.count):
        drawn = draw_faulty_options(seed)
        result = await run_faulty_answers(drawn, options.seconds)
        print(format_faulty_result(result), flush=True)
        requests += len(result.records.requests)
        violations.update(result.violations)
    print(f'{requests} requests, violations {dict(violations)}', flush=True)
    return 1 if violations else 0


async def _run_all(options: SoakOptions) -> int:
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        findings = await run_soak(seed, options.seconds)
        state = 'broken' if findings.violations else 'kept'
        print(
            f'seed {seed}: {state}, {findings.served_count} served', flush=True
        )
        for line in findings.violations[:10]:
            print(f'  {line}', flush=True)
        failed += bool(findings.violations)
    return 1 if failed else 0


async def run_soak(seed: int, seconds: float) -> Findings:
    """Run one soak and return its findings."""
    folder = Path(tempfile.mkdtemp(prefix=f'masticwind-soak-{seed}-'))
    findings = Findings()
    environment = SoakEnvironment(folder, seed)
    injector = FaultInjector(environment, seed)
    async with anyio.create_task_group() as tasks:
        await environment.start(tasks)
        await _run_load_with_faults(environment, injector, findings, seconds)
        # Requests in flight may still be executed.
        await anyio.sleep(SETTLE_S)
        tasks.cancel_scope.cancel()
    findings.check_executions(environment.executions)
    findings.violations.extend(environment.limits.violations[:1])
    if findings.violations:
        (folder / 'faults').write_text('\n'.join(injector.started_faults))
        findings.violations.append(f'logs are in {folder}')
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return findings


async def _run_load_with_faults(
    environment: SoakEnvironment,
    injector: FaultInjector,
    findings: Findings,
    seconds: float,
) -> None:
    async with anyio.create_task_group() as caller_tasks:
        for number in range(CALLER_COUNT):
            entry = environment.entries[number % len(environment.entries)]
            caller = SequentialCaller(
                caller_name(number),
                environment.seed,
                findings,
                environment.keys,
            )
            caller_tasks.start_soon(caller.run, entry)
        if not await _wait_until_served(findings, START_TIMEOUT_S):
            findings.violations.append('nothing was served before the faults')
        async with anyio.create_task_group() as fault_tasks:
            fault_tasks.start_soon(injector.run, fault_tasks)
            await anyio.sleep(seconds)
            fault_tasks.cancel_scope.cancel()
        await injector.heal_all()
        if not await _wait_until_served(findings, RECOVERY_TIMEOUT_S):
            findings.violations.append('no service after the faults')
        await anyio.sleep(AVOIDANCE_S)
        findings.fault_free_since = time.monotonic()
        await anyio.sleep(FAULT_FREE_S)
        for name in environment.unregistered_entries():
            findings.violations.append(f'{name} is not registered')
        caller_tasks.cancel_scope.cancel()


async def _wait_until_served(findings: Findings, within_s: float) -> bool:
    served_before = findings.served_count
    with anyio.move_on_after(within_s):
        while findings.served_count < served_before + CALLER_COUNT:
            await anyio.sleep(0.1)
        return True
    return False


if __name__ == '__main__':
    cli()
