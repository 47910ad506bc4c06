"""Puts the log lines of one request in order and names the cause.

    masticwind-ctl explain 9c41d07be2a35f68 --logs entry-1.log entry-2.log

Lines are ordered by their time stamps; one request is served by one entry,
so the order within it does not depend on two clocks. Lines before the JSON
object, as a collector adds them, are passed over.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import msgspec

from masticwind.errors import ErrorKind

# What an operator can look at next, by the kind of the last failure.
_NEXT: Final = MappingProxyType(
    {
        ErrorKind.OVERLOADED: 'the load: masticwind_requests{outcome}',
        ErrorKind.PLATFORM_DOWN: 'store_lost and store_connected there',
        ErrorKind.NO_CAPACITY: 'endpoint_suspected, endpoint_gone, zones_out',
        ErrorKind.DRAINING: 'shutdown_started of this entry',
        ErrorKind.FAILED_AFTER_START: 'the endpoint of the last attempt',
        ErrorKind.TIMED_OUT: 'the endpoint of the last attempt',
        ErrorKind.CANCELLED: 'nothing: the caller has left',
        ErrorKind.UNAUTHENTICATED: 'config_adopted: was the key removed?',
        ErrorKind.NOT_FOUND: 'config_adopted: was the route removed?',
    }
)
_SHOWN: Final = frozenset(('time', 'level', 'event', 'program', 'request_id'))


@dataclass(frozen=True, slots=True)
class Explanation:
    """Lines for people, the cause last; empty if the id was not found."""

    lines: tuple[str, ...]


def explain(request_id: str, logs: Iterable[Path]) -> Explanation:
    """Explain what happened to a request."""
    events: list[dict[str, Any]] = []
    for path in logs:
        for line in path.read_text(errors='replace').splitlines():
            event = _decode(line)
            if event.get('request_id') == request_id:
                events.append(event)
    if not events:
        return Explanation(())
    events.sort(key=_time)
    lines = [_line(event) for event in events]
    return Explanation((*lines, f'cause: {_cause(events)}'))


def _decode(line: str) -> dict[str, Any]:
    start = line.find('{')
    if start < 0:
        return {}
    try:
        found = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return {}
    return found if isinstance(found, dict) else {}


def _time(event: dict[str, Any]) -> str:
    return str(event.get('time', ''))


def _line(event: dict[str, Any]) -> str:
    fields = [
        f'{name}={value}'
        for name, value in event.items()
        if name not in _SHOWN and value not in (None, [], '')
    ]
    return f'{_time(event)} {event.get("event")} {" ".join(fields)}'


def _cause(events: list[dict[str, Any]]) -> str:
    """Name the decision that the answer followed from."""
    last = events[-1]
    if last.get('event') == 'attempt_done':
        return 'served'
    if last.get('event') != 'request_failed':
        return 'the log ends before the answer: did the entry end?'
    failed = [
        event for event in events if event.get('event') == 'attempt_failed'
    ]
    reason = str(last.get('reason'))
    if failed:
        first = failed[0]
        reason = (
            f'{reason}; first failure at {first.get("endpoint")}:'
            f' {first.get("reason")}'
        )
    kind = str(last.get('kind'))
    known = {one.value: advice for one, advice in _NEXT.items()}
    return f'{kind}: {reason}. Look at {known.get(kind, "the lines above")}'
