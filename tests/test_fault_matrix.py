"""The short run of the fault matrix, and the checks that judge its cells."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from masticwind_dev.faults import call_checks
from masticwind_dev.faults.injection import Execution
from masticwind_dev.faults.main import known_red
from masticwind_dev.faults.matrix import all_cells, quick_cells
from masticwind_dev.faults.orders import OrderAnswer

SEED = '1'
# The run itself is meant to last a minute; a busy machine may need longer.
QUICK_TIMEOUT_S = 240


def _refused(key: str, entry: str) -> OrderAnswer:
    return OrderAnswer(key, entry, 503, {'run': 'not_run'})


def test_quick_matrix(tmp_path: Path) -> None:
    """Guards against broken invariants under each fault of the table."""
    report_path = tmp_path / 'report.json'
    ran = subprocess.run(
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
    assert ran.returncode == 0, ran.stdout + ran.stderr
    report = msgspec.json.decode(report_path.read_bytes())
    wanted = [one for one in quick_cells() if not one.reason]
    assert report['run'] == len(wanted)
    assert set(report['failed']) <= known_red()


def test_every_fault_is_in_the_quick_run() -> None:
    """Guards against a fault that continuous integration never injects."""
    quick = {one.faults for one in quick_cells() if not one.reason}
    assert quick == {
        one.faults
        for one in all_cells()
        if not one.reason and len(one.faults) == 1
    }


def test_second_execution_is_found() -> None:
    """Guards against a check that misses an order that ran twice."""
    assert call_checks.check_once({'a': 1, 'b': 2}) == ['b ran 2 times']


@pytest.mark.parametrize(
    ('answers', 'runs', 'count'),
    [
        ([_refused('a', 'e')], {'a': 1}, 1),
        ([_refused('a', 'e')], {}, 0),
        # Of two callers, the other one may have run the order.
        (
            [_refused('a', 'e'), OrderAnswer('a', 'f', 504)],
            {'a': 1},
            0,
        ),
        ([OrderAnswer('a', 'e', 200)], {}, 1),
    ],
)
def test_untrue_answer_is_found(
    answers: list[OrderAnswer],
    runs: dict[str, int],
    count: int,
) -> None:
    """Guards against a check that misses a wrong "not run" or "done"."""
    assert len(call_checks.check_answers(answers, runs)) == count


def test_untrue_outcome_and_takeover_are_found() -> None:
    """Guards against checks that miss what a second entry says or does."""
    assert call_checks.check_outcome('a', 'absent', {'a': 1})
    assert call_checks.check_outcome('a', 'done', {})
    assert not call_checks.check_outcome('a', 'unknown', {'a': 1})
    assert call_checks.check_no_takeover({'a': 'running'}, {}, {'a': 1})
    assert not call_checks.check_no_takeover({'a': 'absent'}, {}, {'a': 1})


def test_execution_in_a_zone_that_is_out_is_found() -> None:
    """Guards against a check that misses work in a zone after 2 s."""
    runs = [
        Execution(service='s-0', key=f'{at}', at_s=at)
        for at in (9.0, 11.9, 12.1, 15.0)
    ]
    found = call_checks.check_zone_out(runs, ['s-0'], 10.0, 14.0)
    assert len(found) == 1
    assert not call_checks.check_zone_out(runs, ['s-1'], 10.0, 14.0)
