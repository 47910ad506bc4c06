"""Quick run of the fault matrix, and tests of the checks it uses."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from masticwind_dev.faults import call_checks
from masticwind_dev.faults.injection import Execution
from masticwind_dev.faults.main import list_known_failures
from masticwind_dev.faults.matrix import all_cells, quick_cells
from masticwind_dev.faults.orders import OrderResult

SEED = '1'
# A quick run takes about a minute; a loaded machine may need longer.
QUICK_TIMEOUT_S = 240


def _refused(key: str, entry: str) -> OrderResult:
    return OrderResult(key, entry, 503, {'run': 'not_run'})


def test_quick_matrix_has_no_unexpected_failures(tmp_path: Path) -> None:
    """Guards against violated invariants under any single fault."""
    report_path = tmp_path / 'report.json'
    completed = subprocess.run(
        [
            sys.executable,
            '-m',
            'masticwind_dev.faults.main',
            '--quick',
            '--seed',
            SEED,
            '--json',
            str(report_path),
        ],
        capture_output=True,
        text=True,
        timeout=QUICK_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    report = msgspec.json.decode(report_path.read_bytes())
    runnable_cells = [cell for cell in quick_cells() if not cell.skip_reason]
    assert report['run'] == len(runnable_cells)
    assert set(report['failed']) <= list_known_failures()


def test_every_fault_is_in_the_quick_run() -> None:
    """Guards against a fault that continuous integration never injects."""
    quick_faults = {
        cell.faults for cell in quick_cells() if not cell.skip_reason
    }
    assert quick_faults == {
        cell.faults
        for cell in all_cells()
        if not cell.skip_reason and len(cell.faults) == 1
    }


def test_repeated_execution_is_detected() -> None:
    """Guards against a check that accepts an order that ran twice."""
    assert call_checks.check_executed_once({'a': 1, 'b': 2}) == [
        'b ran 2 times'
    ]


@pytest.mark.parametrize(
    ('answers', 'runs', 'count'),
    [
        ([_refused('a', 'e')], {'a': 1}, 1),
        ([_refused('a', 'e')], {}, 0),
        # The order may have run for the caller that got a 504.
        (
            [_refused('a', 'e'), OrderResult('a', 'f', 504)],
            {'a': 1},
            0,
        ),
        ([OrderResult('a', 'e', 200)], {}, 1),
    ],
)
def test_wrong_answer_is_detected(
    answers: list[OrderResult],
    runs: dict[str, int],
    count: int,
) -> None:
    """Guards against a check that accepts a wrong "not run" or status 200."""
    assert len(call_checks.check_answers(answers, runs)) == count


def test_wrong_outcome_and_takeover_are_detected() -> None:
    """Guards against checks that accept errors of the other entry.

    It may report a wrong outcome, or run an order claimed by a killed entry.
    """
    assert call_checks.check_outcome('a', 'absent', {'a': 1})
    assert call_checks.check_outcome('a', 'done', {})
    assert not call_checks.check_outcome('a', 'unknown', {'a': 1})
    assert call_checks.check_no_takeover({'a': 'running'}, {}, {'a': 1})
    assert not call_checks.check_no_takeover({'a': 'absent'}, {}, {'a': 1})


def test_execution_in_zone_out_of_service_is_detected() -> None:
    """Guards against a check that accepts late work in a zone.

    Orders may run for up to 2 s after the zone is taken out of service, and
    again once it is back.
    """
    runs = [
        Execution(service='s-0', key=f'{at}', at_s=at)
        for at in (9.0, 11.9, 12.1, 15.0)
    ]
    found = call_checks.check_zone_out(runs, ['s-0'], 10.0, 14.0)
    assert len(found) == 1
    assert not call_checks.check_zone_out(runs, ['s-1'], 10.0, 14.0)
