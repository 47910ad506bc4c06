"""Command line of the fault matrix."""

import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import anyio
import cyclopts
import msgspec

from masticwind_dev.faults.call_cells import CallFleet
from masticwind_dev.faults.cells import CellFleet, Outcome
from masticwind_dev.faults.matrix import Cell, all_cells, quick_cells
from masticwind_dev.faults.processes import ProcessGroup, process_group

MAX_FLEETS: Final = 5
MAX_CELL_S: Final = 90.0
KNOWN_RED: Final = 'KNOWN-RED.txt'
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

MatrixFleet = CellFleet | CallFleet
MakeFleet = Callable[[ProcessGroup], MatrixFleet]
Queues = Sequence[tuple[list[Cell], MakeFleet]]

cli = cyclopts.App(name='masticwind-faults', help='Run the fault matrix.')


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """How to run the matrix."""

    seed: int
    fleets: int


@cli.default
def main(
    *,
    seed: int = 1,
    cell: str = '',
    step: str = '',
    quick: bool = False,
    json: Path | None = None,
    fleets: Annotated[int, cyclopts.Parameter(help='at most 6')] = MAX_FLEETS,
) -> None:
    """Run all cells, the quick subset, or those of CELL or STEP."""
    cells = quick_cells() if quick else all_cells()
    if cell:
        cells = tuple(one for one in cells if one.name == cell)
    if step:
        cells = tuple(one for one in cells if one.step == step)
    if not cells:
        sys.stderr.write(f'no cell {cell}; cells are named fault@step\n')
        sys.exit(EXIT_USAGE)
    started = time.monotonic()
    options = Options(seed=seed, fleets=min(fleets, 6))
    outcomes = anyio.run(_run, cells, options)
    report = _report(cells, outcomes, seed, time.monotonic() - started)
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    _print(cells, outcomes, report)
    unexpected = {one.cell.name for one in outcomes if one.problems}
    sys.exit(EXIT_FAILED if unexpected - known_red() else 0)


def known_red() -> set[str]:
    """Return the cells that KNOWN-RED.txt lists; they are run and printed."""
    path = Path(KNOWN_RED)
    if not path.exists():
        return set()
    lines = path.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('cell: ').strip()
        for line in lines
        if line.startswith('cell: ')
    }


async def _run(cells: tuple[Cell, ...], options: Options) -> list[Outcome]:
    waiting = [one for one in reversed(cells) if not one.reason]
    queues = (
        ([one for one in waiting if not one.calls], CellFleet),
        ([one for one in waiting if one.calls], CallFleet),
    )
    outcomes: list[Outcome] = []
    async with anyio.create_task_group() as tasks:
        for _ in range(min(options.fleets, len(waiting))):
            tasks.start_soon(_work_all, queues, outcomes, options)
    return outcomes


async def _work_all(
    queues: Queues,
    outcomes: list[Outcome],
    options: Options,
) -> None:
    for waiting, make_fleet in queues:
        await _work(waiting, make_fleet, outcomes, options)


async def _work(
    waiting: list[Cell],
    make_fleet: MakeFleet,
    outcomes: list[Outcome],
    options: Options,
) -> None:
    """Run waiting cells; a fleet that did not recover is replaced."""
    while waiting:
        async with process_group() as group, anyio.create_task_group() as tasks:
            cells = make_fleet(group)
            tasks.start_soon(cells.fleet.run_proxies)
            await cells.start()
            while waiting:
                outcome = await _run_cell(cells, waiting.pop(), options)
                outcomes.append(outcome)
                if outcome.problems:
                    text = '; '.join(outcome.problems)
                    print(f'FAILED {outcome.cell.name}: {text}', flush=True)
                    break
            tasks.cancel_scope.cancel()


async def _run_cell(
    cells: MatrixFleet, cell: Cell, options: Options
) -> Outcome:
    with anyio.move_on_after(MAX_CELL_S):
        return await cells.run(cell, options.seed)
    return Outcome(cell, [f'not over after {MAX_CELL_S:.0f} s'], MAX_CELL_S)


def _report(
    cells: tuple[Cell, ...],
    outcomes: list[Outcome],
    seed: int,
    spent_s: float,
) -> dict[str, object]:
    failed = {one.cell.name: one.problems for one in outcomes if one.problems}
    return {
        'seed': seed,
        'seconds': round(spent_s, 1),
        'run': len(outcomes),
        'passed': len(outcomes) - len(failed),
        'failed': failed,
        'known_red': sorted(known_red() & set(failed)),
        'not_applicable': {one.name: one.reason for one in cells if one.reason},
    }


def _print(
    cells: tuple[Cell, ...],
    outcomes: list[Outcome],
    report: dict[str, object],
) -> None:
    _print_table(cells, {one.cell.name: one for one in outcomes})
    print(
        f'seed {report["seed"]}: {report["passed"]} of {report["run"]} cells '
        f'passed in {report["seconds"]} s',
    )
    for name in sorted(known_red() & {one.cell.name for one in outcomes}):
        print(f'known red: {name}')
    reasons = Counter(one.reason for one in cells if one.reason)
    for reason, count in reasons.items():
        print(f'{count} cells not run: {reason}')


def _print_table(
    cells: tuple[Cell, ...],
    outcomes: dict[str, Outcome],
) -> None:
    steps = list(dict.fromkeys(one.step for one in cells))
    rows: dict[str, dict[str, str]] = {}
    for cell in cells:
        row = rows.setdefault(cell.name.partition('@')[0], {})
        row[cell.step] = _mark(outcomes.get(cell.name))
    heads = ''.join(f'{step:>10}' for step in steps)
    print(f'{"":34}{heads}')
    for name, marks in rows.items():
        marked = ''.join(f'{marks.get(step, ""):>10}' for step in steps)
        print(f'{name:34}{marked}')


def _mark(outcome: Outcome | None) -> str:
    if outcome is not None:
        return 'FAIL' if outcome.problems else 'ok'
    return '-'


if __name__ == '__main__':
    cli()
