"""The commands for parts of prompts that entries hold.

masticwind-ctl held list --entry 10.1.0.40:9464
masticwind-ctl held release 91bd3f06 --entry 10.1.0.40:9464
"""

import os
import sys
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote

import anyio
import cyclopts
import msgspec

from masticwind.errors import Failure
from masticwind.httpclient import HttpClient

TIMEOUT_S: Final = 5.0
EXIT_DONE: Final = 0
EXIT_REFUSED: Final = 3

held_app = cyclopts.App(
    name='held',
    help='List and release parts of prompts under which engines crashed.',
)


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
def release(part: str, *, entry: str) -> int:
    """Release PART in all entries; needs MASTICWIND_TOKEN.

    Parameters
    ----------
    part
        A part of prompts, or a whole prompt, as listed.
    entry
        Host and metrics port of an entry.
    """
    return anyio.run(_release, part, entry)


async def _list_held(entry: str, json: bool) -> int:
    found = await _request('GET', entry, '/held')
    if isinstance(found, Failure):
        return _report(found.reason)
    if json:
        sys.stdout.write(f'{msgspec.json.encode(found).decode()}\n')
        return EXIT_DONE
    for held in found['held']:
        sys.stdout.write(f'{_format_held(held)}\n')
    return EXIT_DONE


async def _release(part: str, entry: str) -> int:
    path = f'/held/release?part={quote(part, safe="")}'
    released = await _request('POST', entry, path)
    if isinstance(released, Failure):
        return _report(released.reason)
    sys.stdout.write(f'released {part}\n')
    return EXIT_DONE


async def _request(
    method: str, entry: str, path: str
) -> dict[str, Any] | Failure:
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
    content = msgspec.json.decode(answer.body, type=dict[str, Any])
    if answer.status == HTTPStatus.OK:
        return content
    error = msgspec.convert(content['error'], dict[str, Any])
    return Failure(kind=error['kind'], reason=error['message'])


def _format_held(held: dict[str, Any]) -> str:
    others = [part for part in held['common_parts'] if part != held['part']]
    together = f' together with {", ".join(others)}' if others else ''
    return (
        f'{held["part"]}{together}: {held["crashes"]} crashes, the first'
        f' {held["since_s"]:.0f} s ago; held for {held["left_s"]:.0f} s more;'
        f' endpoints {", ".join(held["endpoints"])}'
    )


def _report(reason: str) -> int:
    sys.stderr.write(f'{reason}\n')
    return EXIT_REFUSED
