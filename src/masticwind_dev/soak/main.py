"""Command line of the soak.

    python -m masticwind_dev.soak.main --seed 7 --seconds 20

Runs two entries as processes among stand-ins for some seconds of faults, then
a calm time in which service must return, at last for every request. Exit code
1 says that a promise was broken; the lines say which, and the folder with the
logs is kept.
"""

import shutil
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import anyio
import cyclopts

from masticwind.logs import configure_logs
from masticwind_dev.soak.callers import Caller, Findings
from masticwind_dev.soak.faults import Disturber
from masticwind_dev.soak.world import World

CALLERS: Final = 8
START_S: Final = 10.0
# Service must be back this long after the last fault.
RECOVER_S: Final = 8.0
SETTLE_S: Final = 0.5
# An entry may avoid an endpoint for this long after its last fault; after it,
# every request is served.
REMEMBERED_S: Final = 5.0
CALM_S: Final = 2.0

cli = cyclopts.App(name='soak', help='Break entries at random, and check.')


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakOptions:
    """Which soaks are run: `count` of them, from `seed` on."""

    seed: int = 1
    seconds: float = 12
    count: int = 1


@cli.default
def main(*, seed: int = 1, seconds: float = 12, count: int = 1) -> None:
    """Run `count` soaks of `seconds` each, from seed SEED on."""
    configure_logs('error', to_stderr=True)
    options = SoakOptions(seed=seed, seconds=seconds, count=count)
    sys.exit(anyio.run(_run_all, options, backend_options={'use_uvloop': True}))


async def _run_all(options: SoakOptions) -> int:
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        findings = await soak(seed, options.seconds)
        state = 'broken' if findings.broken else 'kept'
        print(f'seed {seed}: {state}, {findings.served} served', flush=True)
        for line in findings.broken[:10]:
            print(f'  {line}', flush=True)
        failed += bool(findings.broken)
    return 1 if failed else 0


async def soak(seed: int, seconds: float) -> Findings:
    """Run one soak and return what was found."""
    folder = Path(tempfile.mkdtemp(prefix=f'masticwind-soak-{seed}-'))
    findings = Findings()
    world = World(folder, seed)
    disturber = Disturber(world, seed)
    async with anyio.create_task_group() as tasks:
        await world.start(tasks)
        await _call_and_disturb(world, disturber, findings, seconds)
        # What is still on its way may run a little later.
        await anyio.sleep(SETTLE_S)
        tasks.cancel_scope.cancel()
    findings.check_runs(world.ran)
    if findings.broken:
        (folder / 'faults').write_text('\n'.join(disturber.log))
        findings.broken.append(f'logs are in {folder}')
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return findings


async def _call_and_disturb(
    world: World,
    disturber: Disturber,
    findings: Findings,
    seconds: float,
) -> None:
    async with anyio.create_task_group() as callers:
        for number in range(CALLERS):
            entry = world.entries[number % len(world.entries)]
            caller = Caller(f'c{number}', world.seed, findings, world.keys)
            callers.start_soon(caller.run, entry)
        if not await _serves_again(findings, START_S):
            findings.broken.append('nothing was served before the faults')
        async with anyio.create_task_group() as faults:
            faults.start_soon(disturber.run, faults)
            await anyio.sleep(seconds)
            faults.cancel_scope.cancel()
        await disturber.calm()
        if not await _serves_again(findings, RECOVER_S):
            findings.broken.append('no service after the faults')
        await anyio.sleep(REMEMBERED_S)
        findings.calm_at = time.monotonic()
        await anyio.sleep(CALM_S)
        callers.cancel_scope.cancel()


async def _serves_again(findings: Findings, within_s: float) -> bool:
    before = findings.served
    with anyio.move_on_after(within_s):
        while findings.served < before + CALLERS:
            await anyio.sleep(0.1)
        return True
    return False


if __name__ == '__main__':
    cli()
