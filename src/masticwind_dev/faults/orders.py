"""Callers of non-repeatable calls, and what each of them received."""

import time
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.faults.callers import TOKEN

TIMEOUT_MS: Final = 6000
MAX_WAIT_S: Final = 20.0
QUERY_WAIT_S: Final = 5.0
ORDER_PATH: Final = '/v1/services/orders/orders'
CASE_PATH: Final = '/v1/services/orders/cases/1'


@dataclass(slots=True)
class OrderAnswer:
    """What one caller got; `broken` tells why there was no answer."""

    key: str
    entry: str
    status: int = 0
    error: dict[str, Any] = field(default_factory=dict)
    broken: str = ''
    spent_s: float = 0

    @property
    def not_run(self) -> bool:
        """Whether the caller was told that the order did not run."""
        return self.error.get('run') == 'not_run'


async def send_order(entry: str, url: str, key: str) -> OrderAnswer:
    """Send one order to one entry and take the answer."""
    got = OrderAnswer(key, entry)
    started = time.monotonic()
    answer = await _request(url, 'POST', ORDER_PATH, key)
    got.spent_s = time.monotonic() - started
    if isinstance(answer, Failure):
        got.broken = answer.reason
        return got
    got.status = answer.status
    if answer.status != 200:
        got.error = msgspec.json.decode(answer.body).get('error', {})
    return got


async def read_case(url: str) -> bool:
    """Make a repeatable call; tell whether it was served."""
    answer = await _request(url, 'GET', CASE_PATH)
    return isinstance(answer, HttpAnswer) and answer.status == 200


async def query_outcome(url: str, key: str) -> str:
    """Return the state of an order, `absent`, or nothing if not known."""
    answer = await _request(url, 'GET', f'/v1/requests/{key}')
    if isinstance(answer, Failure):
        return ''
    if answer.status == 404:
        return 'absent'
    if answer.status != 200:
        return ''
    return str(msgspec.json.decode(answer.body)['state'])


async def _request(
    url: str,
    method: str,
    path: str,
    key: str = '',
) -> HttpAnswer | Failure:
    client = HttpClient(url)
    headers = [(b'authorization', f'Bearer {TOKEN}'.encode())]
    if key:
        headers.append((b'idempotency-key', key.encode()))
        headers.append((b'x-request-timeout-ms', str(TIMEOUT_MS).encode()))
    answer = await client.request(
        method,
        path,
        timeout_s=MAX_WAIT_S if method == 'POST' else QUERY_WAIT_S,
        body=b'lime' if method == 'POST' else b'',
        headers=headers,
    )
    await client.close()
    return answer
