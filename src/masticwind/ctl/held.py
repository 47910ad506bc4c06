"""The commands for parts of prompts that entries hold.

masticwind-ctl held list --entry 10.1.0.40:9464
masticwind-ctl held release 91bd3f06 --entry 10.1.0.40:9464
masticwind-ctl held list --api http://10.1.0.50:8080
"""

from dataclasses import dataclass
from typing import Annotated, Any, Final, TypeVar
from urllib.parse import quote

import anyio
import cyclopts
import msgspec

from masticwind.ctl.entry_request import (
    report_failure,
    request_json,
    write_result,
)
from masticwind.ctl.exit_codes import EXIT_DONE
from masticwind.errors import ErrorKind, Failure

_Result = TypeVar('_Result')

held_app = cyclopts.App(
    name='held',
    help='List and release parts of prompts under which engines crashed.',
)


class _Listing(msgspec.Struct, frozen=True):
    held: list[dict[str, Any]]


class _Released(msgspec.Struct, frozen=True):
    released: str


@cyclopts.Parameter(name='*')
@dataclass(frozen=True, slots=True, kw_only=True)
class HeldOptions:
    """Options for the entry to ask and for the output.

    Parameters
    ----------
    entry
        Host and metrics port of an entry of direct serving.
    api
        Base URL of an entry with an administration API.
    json
        Print one JSON object.
    """

    entry: str = ''
    api: str = ''
    json: bool = False

    def url(self) -> str | Failure:
        """Return the URL of what the entry holds."""
        if self.api:
            return f'{self.api.rstrip("/")}/admin/v1/held'
        if self.entry:
            return f'http://{self.entry}/held'
        return Failure(
            kind=ErrorKind.BAD_REQUEST, reason='expected --entry or --api'
        )


Opts = Annotated[HeldOptions, cyclopts.Parameter(name='*')]
DEFAULT_OPTIONS: Final = HeldOptions()


@held_app.command(name='list')
def list_held(*, options: Opts = DEFAULT_OPTIONS) -> int:
    """List the held parts, and since when they are held.

    Entries with an administration API need MASTICWIND_TOKEN.
    """
    return anyio.run(_list_held, options)


@held_app.command
def release(part: str, *, options: Opts = DEFAULT_OPTIONS) -> int:
    """Release PART in all entries; needs MASTICWIND_TOKEN.

    Parameters
    ----------
    part
        A part of prompts, or a whole prompt, as listed.
    """
    return anyio.run(_release, part, options)


async def _list_held(options: HeldOptions) -> int:
    found = await _request('GET', options, '', _Listing)
    if isinstance(found, Failure):
        return report_failure(found, as_json=options.json)
    lines = [_format_held(held) for held in found.held]
    write_result(found, lines, as_json=options.json)
    return EXIT_DONE


async def _release(part: str, options: HeldOptions) -> int:
    path = f'/release?part={quote(part, safe="")}'
    released = await _request('POST', options, path, _Released)
    if isinstance(released, Failure):
        return report_failure(released, as_json=options.json)
    line = f'released {released.released}'
    write_result(released, [line], as_json=options.json)
    return EXIT_DONE


async def _request(
    method: str, options: HeldOptions, path: str, result_type: type[_Result]
) -> _Result | Failure:
    url = options.url()
    if isinstance(url, Failure):
        return url
    return await request_json(url, method, path, result_type)


def _format_held(held: dict[str, Any]) -> str:
    others = [part for part in held['common_parts'] if part != held['part']]
    together = f' together with {", ".join(others)}' if others else ''
    return (
        f'{held["part"]}{together}: {held["crashes"]} crashes, the first'
        f' {held["since_s"]:.0f} s ago; held for {held["left_s"]:.0f} s more;'
        f' endpoints {", ".join(held["endpoints"])}'
    )
