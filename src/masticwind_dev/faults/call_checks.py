"""Black-box checks of a cell of the matrix about plain service calls.

They compare the responses to callers and to outcome queries with what the
service stand-ins executed.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind_dev.faults.injection import Execution
from masticwind_dev.faults.orders import TIMEOUT_MS, OrderResult

ANSWER_SLACK_S: Final = 1.0
# Documented bound: after this delay, a zone that is out of service must not
# execute new orders.
MAX_ZONE_OUT_DELAY_S: Final = 2.0
_UNFINISHED_STATES: Final = frozenset(('running', 'unknown'))


def check_executed_once(execution_counts: Mapping[str, int]) -> list[str]:
    """Check that no order was executed more than once."""
    return [
        f'{key} ran {count} times'
        for key, count in execution_counts.items()
        if count > 1
    ]


def check_answers(
    answers: Sequence[OrderResult],
    execution_counts: Mapping[str, int],
) -> list[str]:
    """Check the answers to orders; a key may occur several times.

    An order that was reported to all its callers as "not run" must not have
    run. An order that was answered with status 200 must have run.
    """
    problems: list[str] = []
    refused_counts = Counter(answer.key for answer in answers if answer.not_run)
    request_counts = Counter(answer.key for answer in answers)
    for key, count in request_counts.items():
        if count == refused_counts[key] and execution_counts.get(key):
            problems.append(f'{key} ran and was reported as not run')
    problems.extend(
        f'{answer.key} was answered by {answer.entry} and did not run'
        for answer in answers
        if answer.status == 200 and not execution_counts.get(answer.key)
    )
    return problems


def check_time_budget(answer: OrderResult, paused_s: float) -> str:
    """Check that the caller got its answer within the time budget."""
    max_elapsed_s = TIMEOUT_MS / MS_PER_S + ANSWER_SLACK_S + paused_s
    if answer.elapsed_s <= max_elapsed_s:
        return ''
    return (
        f'{answer.key}: {answer.elapsed_s:.1f} s, at most {max_elapsed_s:.1f} s'
    )


def check_outcome(
    key: str, state: str, execution_counts: Mapping[str, int]
) -> str:
    """Check that the result of an outcome query matches the executions."""
    count = execution_counts.get(key, 0)
    if state == 'done' and not count:
        return f'{key} is reported as done and did not run'
    if state in {'not_run', 'absent'} and count:
        return f'{key} is reported as {state} and ran'
    return ''


def check_no_takeover(
    states: Mapping[str, str],
    counts_before: Mapping[str, int],
    counts_after: Mapping[str, int],
) -> list[str]:
    """Check that no entry ran an order claimed by a killed entry.

    `states` and `counts_before` are read after the entry was killed and
    before the same keys are sent again, `counts_after` after that.
    """
    return [
        f'{key} was {state} and ran when it was sent again'
        for key, state in states.items()
        if state in _UNFINISHED_STATES
        and not counts_before.get(key)
        and counts_after.get(key)
    ]


def check_zone_out(
    executions: Sequence[Execution],
    services: Sequence[str],
    zone_out_at: float,
    zone_back_at: float,
) -> list[str]:
    """Check that a zone that was out of service executed no order."""
    if not zone_out_at:
        return []
    return [
        f'{execution.key} ran at {execution.service} '
        f'{execution.at_s - zone_out_at:.2f} s after its zone was out'
        for execution in executions
        if execution.service in services
        and zone_out_at + MAX_ZONE_OUT_DELAY_S < execution.at_s < zone_back_at
    ]
