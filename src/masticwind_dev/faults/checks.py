"""Checks of a cell from outside; each names what was broken and how.

They follow the invariants of the design page and look only at what callers
received, what the stand-ins recorded and how processes ended.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Any, Final

import msgspec

from masticwind.budget import MS_PER_S
from masticwind.config.heads import HEAD_KEY
from masticwind.errors import ANSWERS, ErrorKind
from masticwind_dev.faults.callers import TIMEOUT_MS, Received
from masticwind_dev.faults.matrix import Cell

# For the way of the last answer to a caller on a busy machine.
ANSWER_SLACK_S: Final = 1.0


def check_answer(got: Received, *, entry_ended: bool) -> str:
    """Check for gaps, repeats, foreign tokens and silent truncation."""
    if not got.expected.startswith(got.text):
        return f'wrong answer: {got.text[:80]!r} of {got.expected[:80]!r}'
    if got.left or got.done:
        whole = got.left or got.text == got.expected
        return '' if whole else 'incomplete answer was called done'
    if got.error:
        return _check_error(got)
    if entry_ended:
        return ''
    if got.broken or not got.status:
        return f'connection broke: {got.broken or "no answer"}'
    return 'answer ended without an error'


def _check_error(got: Received) -> str:
    kind = got.error['kind']
    if kind not in list(ErrorKind):
        return f'unknown error kind {kind}'
    stated = ANSWERS[ErrorKind(kind)]
    if got.status != 200 and got.status != stated.status:
        return f'status {got.status} for {kind}'
    if got.tokens and got.error.get('run') == 'not_run':
        return 'called not run after tokens'
    return ''


def check_budget(got: Received, paused_s: float) -> str:
    """Check that the caller heard the end within its time budget."""
    limit_s = TIMEOUT_MS / MS_PER_S + ANSWER_SLACK_S + paused_s
    if got.left or got.spent_s <= limit_s:
        return ''
    return f'{got.spent_s:.1f} s, at most {limit_s:.1f} s'


def check_not_run(
    answers: Sequence[Received],
    executed: Collection[str],
) -> str:
    """Check that engines ran no more requests than may have run.

    Every executed request id needs a caller that was not told "not run".
    """
    ids = {one.split('.')[0] for one in executed}
    may_have_run = sum(one.error.get('run') != 'not_run' for one in answers)
    if len(ids) <= may_have_run:
        return ''
    return f'{len(ids)} requests ran, {may_have_run} may have run'


def check_served(answers: Sequence[Received], cell: Cell) -> str:
    """Check that faults that promise to be harmless fail no request."""
    if not all(one.harmless for one in cell.faults):
        return ''
    failed = [one for one in answers if not one.done and not one.left]
    if not failed:
        return ''
    return f'{len(failed)} of {len(answers)} failed: {failed[0].error}'


def check_engine(name: str, state: Mapping[str, Any]) -> str:
    """Check an engine at rest for leaks and for its cold capacity."""
    if state['memory_used_tokens'] or state['held']:
        return f'{name} holds {state["memory_used_tokens"]} {state["held"]}'
    if state['offers_over_capacity']:
        return f'{name}: {state["offers_over_capacity"]} offers when cold'
    return ''


def check_history(history: Mapping[str, Any]) -> str:
    """Check that the generations in the key-value service only grow."""
    last = 0
    for write in history['writes']:
        if write['key'] != HEAD_KEY or not write['value']:
            continue
        raw = msgspec.convert(write['value'], type=bytes, strict=False)
        number = int(msgspec.json.decode(raw)['number'])
        if number <= last:
            return f'generation {number} after {last}'
        last = number
    return ''
