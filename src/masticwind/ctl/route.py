"""The command that tells where a request would go now.

masticwind-ctl route --entry 10.1.0.40:9464 --route chat --prompt 5000 \\
    --output 400
"""

from dataclasses import dataclass
from typing import Annotated, Any, Final
from urllib.parse import urlencode

import anyio
import cyclopts
import msgspec

from masticwind.ctl.entry_request import (
    report_failure,
    request_json,
    write_result,
)
from masticwind.ctl.exit_codes import EXIT_DONE, EXIT_REFUSED
from masticwind.ctl.table import format_table
from masticwind.errors import Failure

ROUTE_PATH: Final = '/route'
PLACED: Final = 'place'
# Endpoints in the output for people; --json has all of them.
MAX_ROWS: Final = 12

route_app = cyclopts.App(
    name='route',
    help='Tell where a request would go now, and why, without sending it.',
)


class _Explanation(msgspec.Struct, frozen=True):
    decision: str
    reason: str
    service: str
    team: str
    lead: str
    helpers: list[str]
    first_event_ms: int
    total_ms: int
    wait_ms: int
    retry_after_ms: int
    usable_target_ms: int
    remaining_ms: int
    endpoints: list[dict[str, Any]]


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOptions:
    """The description of a request.

    Parameters
    ----------
    team
        Name of the team; its priority and its home regions count.
    prompt
        Tokens of the prompt; zero for a plain call.
    output
        Most tokens of the output.
    expected
        Tokens of the output that the caller expects; by default the most.
    parts
        Parts of the prompt, in order, separated by commas.
    deadline_ms
        Milliseconds until the caller's deadline; by default the route's limit.
    """

    team: str = ''
    prompt: int = 0
    output: int = 0
    expected: int = 0
    parts: str = ''
    deadline_ms: int = 0


DEFAULT_REQUEST: Final = RequestOptions()


@route_app.default
def show_route(
    *,
    entry: str,
    route: str,
    request: Annotated[
        RequestOptions, cyclopts.Parameter(name='*')
    ] = DEFAULT_REQUEST,
    json: bool = False,
) -> int:
    """Tell where an entry would send a request now.

    Exits with 0 if it would be sent or would wait for a better placement, and
    with 3 if it would be refused or the entry cannot tell.

    Parameters
    ----------
    entry
        Host and metrics port of the entry.
    route
        Name of the request's route in the configuration.
    json
        Print one JSON object.
    """
    return anyio.run(_show_route, entry, route, request, json)


async def _show_route(
    entry: str, route: str, request: RequestOptions, as_json: bool
) -> int:
    query = urlencode(
        {
            'route': route,
            'team': request.team,
            'prompt': request.prompt,
            'output': request.output,
            'expected': request.expected,
            'parts': request.parts,
            'deadline_ms': request.deadline_ms,
        }
    )
    found = await request_json(
        f'http://{entry}', 'GET', f'{ROUTE_PATH}?{query}', _Explanation
    )
    if isinstance(found, Failure):
        return report_failure(found, as_json=as_json)
    write_result(found, _format(found), as_json=as_json)
    return EXIT_REFUSED if found.retry_after_ms else EXIT_DONE


def _format(found: _Explanation) -> list[str]:
    lines = [_format_decision(found), _format_limits(found), '']
    header = (
        'ENDPOINT',
        'ZONE',
        'ROLE',
        'RUNNING',
        'SLOT WAIT',
        'START WAIT',
        'FAILURES',
        'FIRST EVENT',
        'END',
    )
    rows = [
        (
            row['endpoint'],
            row['zone'],
            row['role'] or '-',
            f'{row["running"]} of {row["slots"]}',
            f'{row["slot_wait_ms"]} ms',
            f'{row["start_wait_ms"]} ms',
            row['failure_share'],
            f'{row["first_event_ms"]} ms',
            f'{row["finish_ms"]} ms',
        )
        for row in found.endpoints[:MAX_ROWS]
    ]
    lines.extend(format_table(header, rows))
    left_out = len(found.endpoints) - len(rows)
    if left_out:
        lines.append(f'{left_out} further endpoints; --json has all of them')
    return lines


def _format_decision(found: _Explanation) -> str:
    if found.decision == PLACED:
        helpers = f' with {len(found.helpers)} helpers' if found.helpers else ''
        return (
            f'would be sent to {found.lead}{helpers}: first event in'
            f' {found.first_event_ms} ms, end in {found.total_ms} ms'
        )
    if found.wait_ms:
        return (
            f'would wait {found.wait_ms} ms for a better placement:'
            f' {found.reason}'
        )
    return (
        f'would be refused, to return after {found.retry_after_ms} ms:'
        f' {found.reason}'
    )


def _format_limits(found: _Explanation) -> str:
    target = 'no target'
    if found.usable_target_ms:
        target = f'first event in time up to {found.usable_target_ms} ms'
    return (
        f'service {found.service}, team {found.team or "-"}, {target},'
        f' {found.remaining_ms} ms left'
    )
