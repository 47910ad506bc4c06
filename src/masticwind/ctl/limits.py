"""The command for endpoints that limit their requests, leave or pause.

masticwind-ctl limits --entry 10.1.0.40:9464
"""

from typing import Any

import anyio
import cyclopts
import msgspec

from masticwind.ctl.entry_request import (
    report_failure,
    request_json,
    write_result,
)
from masticwind.ctl.exit_codes import EXIT_DONE
from masticwind.errors import Failure

limits_app = cyclopts.App(
    name='limits',
    help='List the endpoints that limit their requests, leave or pause.',
)


class _Listing(msgspec.Struct, frozen=True):
    limits: list[dict[str, Any]]
    leaving: list[dict[str, Any]] = []
    pauses: list[dict[str, Any]] = []


@limits_app.default
def list_limits(*, entry: str, json: bool = False) -> int:
    """List the limits that an entry of direct serving obeys, and the endpoints
    that have told it that they leave or want a pause.

    Parameters
    ----------
    entry
        Host and metrics port of the entry.
    json
        Print one JSON object.
    """
    return anyio.run(_list_limits, entry, json)


async def _list_limits(entry: str, as_json: bool) -> int:
    found = await request_json(f'http://{entry}', 'GET', '/limits', _Listing)
    if isinstance(found, Failure):
        return report_failure(found, as_json=as_json)
    lines = [_format_limit(limit) for limit in found.limits]
    lines.extend(_format_leaving(leaving) for leaving in found.leaving)
    lines.extend(_format_pause(pause) for pause in found.pauses)
    write_result(found, lines, as_json=as_json)
    return EXIT_DONE


def _format_limit(limit: dict[str, Any]) -> str:
    granter = limit['authority'].partition('/')[0] or 'no entry yet'
    return (
        f'{limit["endpoint"]}: {limit["limit_per_s"]} requests a second for'
        f' {limit["age_s"]:.0f} s, known from {limit["source"]}; permits are'
        f' granted by {granter}'
    )


def _format_leaving(leaving: dict[str, Any]) -> str:
    return (
        f'{leaving["endpoint"]}: leaving for {leaving["age_s"]:.0f} s, known'
        ' from its answer'
    )


def _format_pause(pause: dict[str, Any]) -> str:
    left_s = pause['left_s']
    rest = f'{left_s:.1f} s left' if left_s else 'over, and it is being tried'
    return (
        f'{pause["endpoint"]}: pause of {pause["pause_s"]} s for'
        f' {pause["age_s"]:.0f} s, known from its answer; {rest}'
    )
