"""Orders the log lines of one request and names the cause of its outcome.

    masticwind-ctl explain 9c41d07be2a35f68 --logs entry-1.log entry-2.log

Lines are ordered by timestamp. One entry serves a request, so the timestamps
come from one clock. If the request ended while the entry was stopping, the
lines of that stop are shown too. Text before the JSON object of a line, such
as the prefix of a log collector, is ignored.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from masticwind.decoding import parse_json
from masticwind.errors import ErrorKind, Failure

# What an operator should check next, by the kind of the last failure.
_ADVICE_BY_KIND: Final = MappingProxyType(
    {
        ErrorKind.OVERLOADED: (
            'the load: masticwind_requests{outcome}, and masticwind-ctl limits'
        ),
        ErrorKind.PLATFORM_DOWN: 'store_lost and store_connected there',
        ErrorKind.NO_CAPACITY: (
            'endpoint_suspected, endpoint_gone, endpoint_leaving, zones_out'
        ),
        ErrorKind.QUARANTINED: 'prompt_part_held, endpoint_crashed',
        ErrorKind.DRAINING: 'shutdown_started and drained of this entry',
        ErrorKind.FAILED_AFTER_START: 'the endpoint of the last attempt',
        ErrorKind.TIMED_OUT: 'the endpoint of the last attempt',
        ErrorKind.CANCELLED: 'nothing: the caller has left',
        ErrorKind.UNAUTHENTICATED: 'config_adopted: was the key removed?',
        ErrorKind.NOT_FOUND: 'config_adopted: was the route removed?',
    }
)
_STOP_BEGINS: Final = 'shutdown_started'
# Lines about the stop of an entry, which name no request.
_STOP_EVENTS: Final = frozenset(
    (
        _STOP_BEGINS,
        'shutdown_repeated',
        'shutdown_time_shortened',
        'drained',
        'shutdown_complete',
    )
)
# Fields of a log line that are not printed as name=value.
_OMITTED_FIELDS: Final = frozenset(
    ('time', 'level', 'event', 'program', 'request_id')
)


@dataclass(frozen=True, slots=True)
class Explanation:
    """Lines of text, the cause last; empty if the id was not found."""

    lines: tuple[str, ...]


def explain(request_id: str, logs: Iterable[Path]) -> Explanation:
    """Explain the outcome of a request from log files of entries."""
    events: list[dict[str, Any]] = []
    stop_events: list[dict[str, Any]] = []
    for path in logs:
        for line in path.read_text(errors='replace').splitlines():
            event = _decode_line(line)
            if event.get('request_id') == request_id:
                events.append(event)
            elif event.get('event') in _STOP_EVENTS:
                stop_events.append(event)
    if not events:
        return Explanation(())
    events.sort(key=_timestamp)
    cause = f'cause: {_describe_cause(events)}'
    events.extend(_find_stop(events[-1], stop_events))
    events.sort(key=_timestamp)
    return Explanation((*(_format_event(event) for event in events), cause))


def _find_stop(
    last: dict[str, Any], stop_events: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the lines of the stop during which a request has ended."""
    if last.get('stopping_for_ms') is None:
        return []
    found: list[dict[str, Any]] = []
    for event in sorted(stop_events, key=_timestamp):
        if event.get('node') != last.get('node'):
            continue
        if event.get('event') == _STOP_BEGINS:
            if _timestamp(event) > _timestamp(last):
                break
            found.clear()
        found.append(event)
    return found


def _decode_line(line: str) -> dict[str, Any]:
    start = line.find('{')
    if start < 0:
        return {}
    decoded = parse_json(line[start:], dict[str, Any], ErrorKind.BAD_REQUEST)
    return {} if isinstance(decoded, Failure) else decoded


def _timestamp(event: dict[str, Any]) -> str:
    return str(event.get('time', ''))


def _format_event(event: dict[str, Any]) -> str:
    fields = [
        f'{name}={value}'
        for name, value in event.items()
        if name not in _OMITTED_FIELDS and value not in (None, [], '')
    ]
    return f'{_timestamp(event)} {event.get("event")} {" ".join(fields)}'


def _describe_cause(events: list[dict[str, Any]]) -> str:
    """Return the outcome, its reason and what to check next."""
    last = events[-1]
    if last.get('event') == 'attempt_done':
        return 'served'
    cuts = [event for event in events if event.get('event') == 'request_cut']
    if cuts:
        return _describe_cut(cuts[-1])
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
    advice = {
        error_kind.value: text for error_kind, text in _ADVICE_BY_KIND.items()
    }
    return (
        f'{kind}: {reason}{_describe_stop(last)}.'
        f' Look at {advice.get(kind, "the lines above")}'
    )


def _describe_cut(event: dict[str, Any]) -> str:
    """Describe a request that was still running when the process ended."""
    if event.get('answer_begun'):
        outcome = 'after its answer had begun'
    elif event.get('sent'):
        outcome = 'after it was sent to an endpoint; it may have run'
    else:
        outcome = 'before it was sent to an endpoint; it has not run'
    return (
        f'the end of the process cut the request {event.get("age_ms")} ms'
        f' after its arrival{_describe_stop(event)}, {outcome}.'
        f' It was expected to take {event.get("predicted_ms")} ms. Look at'
        f' shutdown_started and drained of this entry, and at shutdown_ms'
    )


def _describe_stop(event: dict[str, Any]) -> str:
    stopping_for_ms = event.get('stopping_for_ms')
    if stopping_for_ms is None:
        return ''
    return f', {stopping_for_ms} ms after the signal to stop'
