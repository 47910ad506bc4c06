"""Command line of the fault matrix: runs cells and prints a report."""

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

from masticwind_dev.faults.call_cells import CallCellFleet
from masticwind_dev.faults.cells import CellResult, ModelCellFleet
from masticwind_dev.faults.matrix import Cell, all_cells, quick_cells
from masticwind_dev.faults.processes import ProcessGroup, process_group

MAX_FLEETS: Final = 5
CELL_TIMEOUT_S: Final = 90.0
KNOWN_FAILURES_FILE: Final = 'KNOWN-RED.txt'
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

AnyCellFleet = ModelCellFleet | CallCellFleet
FleetFactory = Callable[[ProcessGroup], AnyCellFleet]
Queues = Sequence[tuple[list[Cell], FleetFactory]]

cli = cyclopts.App(name='masticwind-faults', help='Run the fault matrix.')


@dataclass(frozen=True, slots=True, kw_only=True)
class MatrixOptions:
    """Random seed and the maximum number of parallel fleets."""

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
        cells = tuple(
            candidate for candidate in cells if candidate.name == cell
        )
    if step:
        cells = tuple(
            candidate for candidate in cells if candidate.step == step
        )
    if not cells:
        sys.stderr.write(f'no cell {cell}; cells are named fault@step\n')
        sys.exit(EXIT_USAGE)
    started = time.monotonic()
    options = MatrixOptions(seed=seed, fleets=min(fleets, 6))
    cell_results = anyio.run(_run, cells, options)
    report = _build_report(
        cells, cell_results, seed, time.monotonic() - started
    )
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    _print_summary(cells, cell_results, report)
    failed_cells = {
        result.cell.name for result in cell_results if result.problems
    }
    sys.exit(EXIT_FAILED if failed_cells - list_known_failures() else 0)


def list_known_failures() -> set[str]:
    """Return the cells listed in KNOWN-RED.txt.

    These cells are run and reported, but don't make the command fail.
    """
    path = Path(KNOWN_FAILURES_FILE)
    if not path.exists():
        return set()
    lines = path.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('cell: ').strip()
        for line in lines
        if line.startswith('cell: ')
    }


async def _run(
    cells: tuple[Cell, ...], options: MatrixOptions
) -> list[CellResult]:
    pending = [cell for cell in reversed(cells) if not cell.skip_reason]
    queues = (
        (
            [cell for cell in pending if not cell.is_service_call],
            ModelCellFleet,
        ),
        ([cell for cell in pending if cell.is_service_call], CallCellFleet),
    )
    cell_results: list[CellResult] = []
    async with anyio.create_task_group() as tasks:
        for _ in range(min(options.fleets, len(pending))):
            tasks.start_soon(_run_all_queues, queues, cell_results, options)
    return cell_results


async def _run_all_queues(
    queues: Queues,
    cell_results: list[CellResult],
    options: MatrixOptions,
) -> None:
    for pending, create_fleet in queues:
        await _run_queue(pending, create_fleet, cell_results, options)


async def _run_queue(
    pending: list[Cell],
    create_fleet: FleetFactory,
    cell_results: list[CellResult],
    options: MatrixOptions,
) -> None:
    """Run pending cells; replace the fleet after a cell with problems."""
    while pending:
        async with process_group() as group, anyio.create_task_group() as tasks:
            cell_fleet = create_fleet(group)
            tasks.start_soon(cell_fleet.fleet.run_proxies)
            await cell_fleet.start()
            while pending:
                result = await _run_cell(cell_fleet, pending.pop(), options)
                cell_results.append(result)
                if result.problems:
                    text = '; '.join(result.problems)
                    print(f'FAILED {result.cell.name}: {text}', flush=True)
                    break
            tasks.cancel_scope.cancel()


async def _run_cell(
    cell_fleet: AnyCellFleet, cell: Cell, options: MatrixOptions
) -> CellResult:
    with anyio.move_on_after(CELL_TIMEOUT_S):
        return await cell_fleet.run(cell, options.seed)
    return CellResult(
        cell, [f'not over after {CELL_TIMEOUT_S:.0f} s'], CELL_TIMEOUT_S
    )


def _build_report(
    cells: tuple[Cell, ...],
    cell_results: list[CellResult],
    seed: int,
    elapsed_s: float,
) -> dict[str, object]:
    failed = {
        result.cell.name: result.problems
        for result in cell_results
        if result.problems
    }
    return {
        'seed': seed,
        'seconds': round(elapsed_s, 1),
        'run': len(cell_results),
        'passed': len(cell_results) - len(failed),
        'failed': failed,
        'known_red': sorted(list_known_failures() & set(failed)),
        'not_applicable': {
            cell.name: cell.skip_reason for cell in cells if cell.skip_reason
        },
    }


def _print_summary(
    cells: tuple[Cell, ...],
    cell_results: list[CellResult],
    report: dict[str, object],
) -> None:
    _print_table(cells, {result.cell.name: result for result in cell_results})
    print(
        f'seed {report["seed"]}: {report["passed"]} of {report["run"]} cells '
        f'passed in {report["seconds"]} s',
    )
    for name in sorted(
        list_known_failures() & {result.cell.name for result in cell_results}
    ):
        print(f'known red: {name}')
    reasons = Counter(cell.skip_reason for cell in cells if cell.skip_reason)
    for reason, count in reasons.items():
        print(f'{count} cells not run: {reason}')


def _print_table(
    cells: tuple[Cell, ...],
    cell_results: dict[str, CellResult],
) -> None:
    steps = list(dict.fromkeys(cell.step for cell in cells))
    rows: dict[str, dict[str, str]] = {}
    for cell in cells:
        row = rows.setdefault(cell.name.partition('@')[0], {})
        row[cell.step] = _cell_symbol(cell_results.get(cell.name))
    header = ''.join(f'{step:>10}' for step in steps)
    print(f'{"":34}{header}')
    for name, symbols in rows.items():
        symbol_columns = ''.join(
            f'{symbols.get(step, ""):>10}' for step in steps
        )
        print(f'{name:34}{symbol_columns}')


def _cell_symbol(result: CellResult | None) -> str:
    if result is not None:
        return 'FAIL' if result.problems else 'ok'
    return '-'


if __name__ == '__main__':
    cli()
