"""Requests of operators to one entry, and the output of their results."""

import os
import sys
from typing import Final, TypeVar

import msgspec

from masticwind.ctl.api_answer import decode_answer
from masticwind.ctl.exit_codes import exit_code
from masticwind.errors import Failure
from masticwind.httpclient import HttpClient

TIMEOUT_S: Final = 5.0

_Result = TypeVar('_Result')


async def request_json(
    url: str, method: str, path: str, result_type: type[_Result]
) -> _Result | Failure:
    """Make a request with the operators' token and decode its answer."""
    client = HttpClient(url)
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


def write_result(found: object, lines: list[str], *, as_json: bool) -> None:
    """Write lines for people, or the result as one JSON object."""
    text = '\n'.join(lines)
    if as_json:
        text = msgspec.json.encode(found).decode()
    sys.stdout.write(f'{text}\n' if text else '')


def report_failure(failure: Failure, *, as_json: bool) -> int:
    """Write a failure and return the exit code for it."""
    if as_json:
        write_result({'error': failure}, [], as_json=True)
    else:
        sys.stderr.write(f'{failure.reason}\n')
    return exit_code(failure)
