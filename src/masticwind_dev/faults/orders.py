"""Sends orders (non-repeatable calls) and queries their outcomes."""

import time
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.faults.callers import TOKEN

TIMEOUT_MS: Final = 6000
CLIENT_TIMEOUT_S: Final = 20.0
QUERY_TIMEOUT_S: Final = 5.0
ORDER_PATH: Final = '/v1/services/orders/orders'
CASE_PATH: Final = '/v1/services/orders/cases/1'


@dataclass(slots=True)
class OrderResult:
    """Answer to one order; `connection_error` tells why there was none."""

    key: str
    entry: str
    status: int = 0
    error: dict[str, Any] = field(default_factory=dict)
    connection_error: str = ''
    elapsed_s: float = 0

    @property
    def not_run(self) -> bool:
        """Whether the caller was told that the order did not run."""
        return self.error.get('run') == 'not_run'


async def send_order(entry: str, url: str, key: str) -> OrderResult:
    """Send an order to an entry and return the answer."""
    result = OrderResult(key, entry)
    started = time.monotonic()
    answer = await _request(url, 'POST', ORDER_PATH, key)
    result.elapsed_s = time.monotonic() - started
    if isinstance(answer, Failure):
        result.connection_error = answer.reason
        return result
    result.status = answer.status
    if answer.status != 200:
        result.error = msgspec.json.decode(answer.body).get('error', {})
    return result


async def is_read_served(url: str) -> bool:
    """Send a repeatable call and tell whether it was answered with 200."""
    answer = await _request(url, 'GET', CASE_PATH)
    return isinstance(answer, HttpAnswer) and answer.status == 200


async def query_outcome(url: str, key: str) -> str:
    """Return the state of an order, `absent`, or "" if the query failed."""
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
        timeout_s=CLIENT_TIMEOUT_S if method == 'POST' else QUERY_TIMEOUT_S,
        body=b'lime' if method == 'POST' else b'',
        headers=headers,
    )
    await client.close()
    return answer
