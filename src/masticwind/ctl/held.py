"""The commands for parts of prompts that entries hold.

masticwind-ctl held list --entry 10.1.0.40:9464
masticwind-ctl held release 91bd3f06 --entry 10.1.0.40:9464
"""

import os
import sys
from typing import Any, Final, TypeVar
from urllib.parse import quote

import anyio
import cyclopts
import msgspec

from masticwind.ctl.api_answer import decode_answer
from masticwind.ctl.exit_codes import EXIT_DONE, exit_code
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient

TIMEOUT_S: Final = 5.0

_Result = TypeVar('_Result')

held_app = cyclopts.App(
    name='held',
    help='List and release parts of prompts under which engines crashed.',
)


class _Listing(msgspec.Struct, frozen=True):
    held: list[dict[str, Any]]


class _Released(msgspec.Struct, frozen=True):
    released: str


@held_app.command(name='list')
def list_held(*, entry: str, json: bool = False) -> int:
    """List the held parts, and since when they are held.

    Parameters
    ----------
    entry
        Host and metrics port of an entry.
    json
        Print one JSON object.
    """
    return anyio.run(_list_held, entry, json)


@held_app.command
def release(part: str, *, entry: str, json: bool = False) -> int:
    """Release PART in all entries; needs MASTICWIND_TOKEN.

    Parameters
    ----------
    part
        A part of prompts, or a whole prompt, as listed.
    entry
        Host and metrics port of an entry.
    json
        Print one JSON object.
    """
    return anyio.run(_release, part, entry, json)


async def _list_held(entry: str, json: bool) -> int:
    found = await _request('GET', entry, '/held', _Listing)
    if isinstance(found, Failure):
        return _report(found, json=json)
    _write(found, [_format_held(held) for held in found.held], json=json)
    return EXIT_DONE


async def _release(part: str, entry: str, json: bool) -> int:
    path = f'/held/release?part={quote(part, safe="")}'
    released = await _request('POST', entry, path, _Released)
    if isinstance(released, Failure):
        return _report(released, json=json)
    _write(released, [f'released {released.released}'], json=json)
    return EXIT_DONE


async def _request(
    method: str, entry: str, path: str, result_type: type[_Result]
) -> _Result | Failure:
    client = HttpClient(f'http://{entry}')
    headers: list[tuple[bytes, bytes]] = []
    token = os.environ.get('MASTICWIND_TOKEN', '')
    if token:
        headers.append((b'authorization', f'Bearer {token}'.encode()))
    answer = await client.request(
        method,
        path,
        timeout_s=TIMEOUT_S,
        headers=headers,
    )
    await client.close()
    if isinstance(answer, Failure):
        return answer
    return decode_answer(answer, result_type)


def _format_held(held: dict[str, Any]) -> str:
    others = [part for part in held['common_parts'] if part != held['part']]
    together = f' together with {", ".join(others)}' if others else ''
    return (
        f'{held["part"]}{together}: {held["crashes"]} crashes, the first'
        f' {held["since_s"]:.0f} s ago; held for {held["left_s"]:.0f} s more;'
        f' endpoints {", ".join(held["endpoints"])}'
    )


def _write(found: object, lines: list[str], *, json: bool) -> None:
    text = '\n'.join(lines)
    if json:
        text = msgspec.json.encode(found).decode()
    sys.stdout.write(f'{text}\n' if text else '')


def _report(failure: Failure, *, json: bool) -> int:
    if json:
        _write({'error': failure}, [], json=True)
    else:
        sys.stderr.write(f'{failure.reason}\n')
    return exit_code(failure)
