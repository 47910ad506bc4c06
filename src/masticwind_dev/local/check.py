"""Sends requests to the local fleet and checks the responses."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

import anyio
import msgspec

from masticwind.config.store import ConfigStore
from masticwind.errors import Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind.store.http import HttpKeyValue
from masticwind_dev.local.fleet import Fleet
from masticwind_dev.local.sample import FREE_TOKEN, PAID_TOKEN, ZONES
from masticwind_dev.standins.answers import expected_answer

REQUEST_TIMEOUT_S: Final = 60.0
CONFIG_TIMEOUT_S: Final = 5.0
OUTPUT_TOKENS: Final = 8
BYTES_PER_TOKEN: Final = 4
PROMPT_LENGTHS_TOKENS: Final = (1_000, 20_000, 100_000, 1_000_000)
OK_STATUS: Final = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckResult:
    """The result of one check."""

    name: str
    passed: bool
    detail: str


async def run_checks(fleet: Fleet) -> Sequence[CheckResult]:
    """Check prompts of all lengths, a zone change and a repeated order."""
    entry = next(iter(fleet.entries.values()))
    client = HttpClient(f'http://127.0.0.1:{entry.port}')
    checks = [
        await _check_prompt(client, length) for length in PROMPT_LENGTHS_TOKENS
    ]
    checks.append(await _check_zone_change(fleet, client))
    checks.append(await _check_order(fleet, client))
    checks.append(
        await _check_prompt(client, PROMPT_LENGTHS_TOKENS[0], FREE_TOKEN)
    )
    await client.close()
    return checks


async def _check_prompt(
    client: HttpClient,
    tokens: int,
    token: str = PAID_TOKEN,
) -> CheckResult:
    line = f'reading {tokens} of case 12, humidity 48.5 %. '
    size_bytes = tokens * BYTES_PER_TOKEN
    text = (line * (size_bytes // len(line) + 1))[:size_bytes]
    started = anyio.current_time()
    answer = await client.request(
        'POST',
        '/v1/chat/completions',
        timeout_s=REQUEST_TIMEOUT_S,
        body=msgspec.json.encode(
            {
                'model': 'standard',
                'messages': [{'role': 'user', 'content': text}],
                'max_tokens': OUTPUT_TOKENS,
            }
        ),
        headers=[(b'authorization', f'Bearer {token}'.encode())],
    )
    elapsed_s = anyio.current_time() - started
    expected_text = expected_answer(f'user: {text}\n'.encode(), OUTPUT_TOKENS)
    return CheckResult(
        name=f'prompt of {tokens:,} tokens as {token}',
        passed=_response_text(answer) == expected_text,
        detail=f'{OUTPUT_TOKENS} tokens in {elapsed_s:.2f} s',
    )


async def _check_zone_change(
    fleet: Fleet,
    client: HttpClient,
) -> CheckResult:
    store = ConfigStore(HttpKeyValue(fleet.platform))
    entry = next(iter(fleet.entries.values()))
    config = entry.config.config
    zones = {
        **config.zones,
        ZONES[1]: replace(config.zones[ZONES[1]], in_service=False),
    }
    number = entry.config.number
    applied = await store.apply(replace(config, zones=zones), number, 'local')
    if isinstance(applied, Failure):
        return CheckResult(
            name='zone change',
            passed=False,
            detail=applied.reason,
        )
    started = anyio.current_time()
    with anyio.move_on_after(CONFIG_TIMEOUT_S):
        await entry.config.wait_for_newer(number)
    elapsed_s = anyio.current_time() - started
    served = await _check_prompt(client, PROMPT_LENGTHS_TOKENS[0])
    is_adopted = entry.config.number > number
    # The zone is restored, so that the whole fleet serves later requests.
    restored = await store.apply(config, number + 1, 'local')
    return CheckResult(
        name=f'{ZONES[1]} taken out of service and restored',
        passed=served.passed
        and is_adopted
        and not isinstance(restored, Failure),
        detail=f'adopted by the entry after {elapsed_s:.2f} s, still serving',
    )


async def _check_order(fleet: Fleet, client: HttpClient) -> CheckResult:
    answers = [await _send_order(client), await _send_order(client)]
    service = next(iter(fleet.services.values()))
    executed = [
        execution
        for execution in service.executions
        if execution.path == '/orders'
    ]
    first = answers[0]
    return CheckResult(
        name='order sent twice with one key',
        passed=len(executed) == 1
        and isinstance(first, HttpAnswer)
        and first.status == OK_STATUS,
        detail=f'executed {len(executed)} time(s)',
    )


async def _send_order(client: HttpClient) -> HttpAnswer | Failure:
    return await client.request(
        'POST',
        '/v1/services/orders/orders',
        timeout_s=REQUEST_TIMEOUT_S,
        body=b'{"case": 12, "order": "move to dry store"}',
        headers=[
            (b'authorization', f'Bearer {PAID_TOKEN}'.encode()),
            (b'idempotency-key', b'demo-order-1'),
        ],
    )


def _response_text(answer: HttpAnswer | Failure) -> str:
    if isinstance(answer, Failure) or answer.status != OK_STATUS:
        return ''
    decoded = msgspec.json.decode(answer.body)
    return str(decoded['choices'][0]['message']['content'])
