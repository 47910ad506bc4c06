"""Black-box checks of a cell; each returns a problem or an empty string.

They verify the documented invariants from what callers received, what the
stand-ins recorded and how processes exited.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Any, Final

import msgspec

from masticwind.budget import MS_PER_S
from masticwind.config.heads import HEAD_KEY
from masticwind.errors import ERROR_RESPONSES, ErrorKind
from masticwind_dev.faults.callers import TIMEOUT_MS, ChatResult
from masticwind_dev.faults.matrix import Cell

# Allows for the delivery of the final event on a loaded machine.
ANSWER_SLACK_S: Final = 1.0


def check_answer(result: ChatResult, *, entry_killed: bool) -> str:
    """Check for missing, repeated or wrong tokens and silent truncation."""
    if not result.expected_text.startswith(result.text):
        return (
            f'wrong answer: {result.text[:80]!r} '
            f'of {result.expected_text[:80]!r}'
        )
    if result.disconnected or result.completed:
        is_complete = result.disconnected or result.text == result.expected_text
        return '' if is_complete else 'incomplete answer was marked as complete'
    if result.error:
        return _check_error(result)
    if entry_killed:
        return ''
    if result.connection_error or not result.status:
        return f'connection broke: {result.connection_error or "no answer"}'
    return 'answer ended without an error'


def _check_error(result: ChatResult) -> str:
    kind = result.error['kind']
    if kind not in list(ErrorKind):
        return f'unknown error kind {kind}'
    documented_answer = ERROR_RESPONSES[ErrorKind(kind)]
    if result.status != 200 and result.status != documented_answer.status:
        return f'status {result.status} for {kind}'
    if result.token_count and result.error.get('run') == 'not_run':
        return 'reported as not run after tokens'
    return ''


def check_time_budget(result: ChatResult, paused_s: float) -> str:
    """Check that the answer ended within the time budget of the caller."""
    max_elapsed_s = TIMEOUT_MS / MS_PER_S + ANSWER_SLACK_S + paused_s
    if result.disconnected or result.elapsed_s <= max_elapsed_s:
        return ''
    return f'{result.elapsed_s:.1f} s, at most {max_elapsed_s:.1f} s'


def check_not_run(
    answers: Sequence[ChatResult],
    executed_ids: Collection[str],
) -> str:
    """Check that no request that ran was reported as "not run".

    Engines must not have executed more requests than there are callers that
    were not told "not run".
    """
    request_ids = {request_id.split('.')[0] for request_id in executed_ids}
    may_have_run = sum(
        answer.error.get('run') != 'not_run' for answer in answers
    )
    if len(request_ids) <= may_have_run:
        return ''
    return f'{len(request_ids)} requests ran, {may_have_run} may have run'


def check_served(answers: Sequence[ChatResult], cell: Cell) -> str:
    """Check that no request failed if all faults of the cell are masked."""
    if not all(fault.is_masked for fault in cell.faults):
        return ''
    failed = [
        answer
        for answer in answers
        if not answer.completed and not answer.disconnected
    ]
    if not failed:
        return ''
    return f'{len(failed)} of {len(answers)} failed: {failed[0].error}'


def check_engine(name: str, state: Mapping[str, Any]) -> str:
    """Check that an idle engine holds no memory and had no excess offers.

    Excess offers are those above the capacity of a cold engine.
    """
    if state['memory_used_tokens'] or state['held']:
        return f'{name} holds {state["memory_used_tokens"]} {state["held"]}'
    if state['offers_over_capacity']:
        return f'{name}: {state["offers_over_capacity"]} offers when cold'
    return ''


def check_history(history: Mapping[str, Any]) -> str:
    """Check that generations in the key-value service strictly increase."""
    last_number = 0
    for write in history['writes']:
        if write['key'] != HEAD_KEY or not write['value']:
            continue
        encoded_head = msgspec.convert(write['value'], type=bytes, strict=False)
        number = int(msgspec.json.decode(encoded_head)['number'])
        if number <= last_number:
            return f'generation {number} after {last_number}'
        last_number = number
    return ''
