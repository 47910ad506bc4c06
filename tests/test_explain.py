"""The way from a request's id to its cause."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from masticwind.ctl.explain import explain

REQUEST = 'r1'


def _log(path: Path, *events: dict[str, Any]) -> Path:
    lines = ['front-a-1 not a log line', '{"broken": ']
    for number, event in enumerate(events):
        time = f'2026-12-04T05:00:0{number}'
        lines.append(f'front-a-1 {json.dumps({"time": time, **event})}')
    path.write_text('\n'.join(lines))
    return path


def _failed(kind: str, reason: str) -> dict[str, Any]:
    return {
        'event': 'request_failed',
        'request_id': REQUEST,
        'kind': kind,
        'reason': reason,
    }


@pytest.mark.parametrize(
    ('events', 'cause'),
    [
        (
            [_failed('overloaded', 'others would lose 9 tokens')],
            'overloaded: others would lose 9 tokens. Look at the load',
        ),
        (
            [
                {
                    'event': 'attempt_failed',
                    'request_id': REQUEST,
                    'endpoint': 'i-1',
                    'reason': 'reset',
                },
                _failed('failed_after_start', 'reset'),
            ],
            'first failure at i-1: reset',
        ),
        (
            [{'event': 'attempt_sent', 'request_id': REQUEST}],
            'the log ends before the answer',
        ),
        (
            [{'event': 'attempt_done', 'request_id': REQUEST}],
            'served',
        ),
    ],
)
def test_cause_is_named(
    tmp_path: Path,
    events: list[dict[str, Any]],
    cause: str,
) -> None:
    """Guards against an explanation that stops at the symptom."""
    log = _log(tmp_path / 'log', *events, {'event': 'x', 'request_id': 'r2'})
    lines = explain(REQUEST, [log]).lines
    assert len(lines) == len(events) + 1
    assert cause in lines[-1]


def test_unknown_request_is_said_to_be_unknown(tmp_path: Path) -> None:
    """Guards against an empty explanation that looks like an answer."""
    log = _log(tmp_path / 'log', _failed('overloaded', 'x'))
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'masticwind.ctl.main',
            'explain',
            'other',
            '--logs',
            str(log),
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 1
    assert 'no line of other' in done.stderr


def test_command_prints_the_lines(tmp_path: Path) -> None:
    """Guards against a command that cannot take several files."""
    one = _log(tmp_path / 'one', _failed('timed_out', 'late'))
    two = _log(tmp_path / 'two', {'event': 'y', 'request_id': 'other'})
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'masticwind.ctl.main',
            'explain',
            REQUEST,
            '--logs',
            str(one),
            str(two),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert 'cause: timed_out: late' in done.stdout
