"""Checks of a cell of plain service calls from outside.

They compare what callers and outcome queries were told with what the
service stand-ins executed.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind_dev.faults.injection import Execution
from masticwind_dev.faults.orders import TIMEOUT_MS, OrderAnswer

ANSWER_SLACK_S: Final = 1.0
# The stated time after which a zone that is out gets no new work.
ZONE_OUT_S: Final = 2.0
_OPEN_STATES: Final = frozenset(('running', 'unknown'))


def check_once(runs: Mapping[str, int]) -> list[str]:
    """Check that no order was executed more than once."""
    return [
        f'{key} ran {count} times' for key, count in runs.items() if count > 1
    ]


def check_answers(
    answers: Sequence[OrderAnswer],
    runs: Mapping[str, int],
) -> list[str]:
    """Check answers to orders; every key may occur several times.

    A key that every caller was told "not run" for must not have run. One
    that was answered as done must have run.
    """
    problems: list[str] = []
    told_not_run = Counter(one.key for one in answers if one.not_run)
    asked = Counter(one.key for one in answers)
    for key, count in asked.items():
        if count == told_not_run[key] and runs.get(key):
            problems.append(f'{key} ran and was called not run')
    problems.extend(
        f'{one.key} was answered by {one.entry} and did not run'
        for one in answers
        if one.status == 200 and not runs.get(one.key)
    )
    return problems


def check_budget(answer: OrderAnswer, paused_s: float) -> str:
    """Check that the caller heard the end within its time budget."""
    limit_s = TIMEOUT_MS / MS_PER_S + ANSWER_SLACK_S + paused_s
    if answer.spent_s <= limit_s:
        return ''
    return f'{answer.key}: {answer.spent_s:.1f} s, at most {limit_s:.1f} s'


def check_outcome(key: str, state: str, runs: Mapping[str, int]) -> str:
    """Check that what an outcome query says agrees with the executions."""
    ran = runs.get(key, 0)
    if state == 'done' and not ran:
        return f'{key} is called done and did not run'
    if state in {'not_run', 'absent'} and ran:
        return f'{key} is called {state} and ran'
    return ''


def check_no_takeover(
    states: Mapping[str, str],
    before: Mapping[str, int],
    after: Mapping[str, int],
) -> list[str]:
    """Check that a claim of a dead entry was not used by another one.

    `states` and `before` were read after the entry died and before the same
    keys were sent again.
    """
    return [
        f'{key} was {state} and ran when it was sent again'
        for key, state in states.items()
        if state in _OPEN_STATES and not before.get(key) and after.get(key)
    ]


def check_zone_out(
    runs: Sequence[Execution],
    services: Sequence[str],
    out_at: float,
    back_at: float,
) -> list[str]:
    """Check that a zone that was out of service carried out nothing."""
    if not out_at:
        return []
    return [
        f'{one.key} ran at {one.service} {one.at_s - out_at:.2f} s '
        f'after its zone was out'
        for one in runs
        if one.service in services and out_at + ZONE_OUT_S < one.at_s < back_at
    ]
