"""Callers of a soak, which check every answer.

A caller checks an answer against its request only. After the run, the
findings are compared with what the endpoints executed.
"""

import itertools
import math
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import anyio

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.soak.environment import (
    HOST,
    PERMANENT_KEY,
    STREAM_EVENTS,
    ApiKeys,
    EntryProcess,
    ExecutionCounts,
)

TIME_BUDGET_MS: Final = 3000
# A request without an answer for this long after its time budget is over
# counts as unanswered.
ANSWER_GRACE_S: Final = 0.7
MAX_REQUEST_INTERVAL_S: Final = 0.05
REQUEST_KINDS: Final = ('order', 'read', 'chat')
# Share of requests that use a rotated API key, and the number of versions from
# which the key is chosen.
ROTATED_KEY_SHARE: Final = 0.25
ROTATED_KEY_VERSIONS: Final = 12
# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Findings:
    """Violated guarantees and the number of answers of each kind.

    After `fault_free_since` there are no faults and their effects must be
    over: each request with a valid API key must be served and run only once.
    """

    violations: list[str] = field(default_factory=list)
    answer_counts: Counter[str] = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    order_ids: set[str] = field(default_factory=set)
    served_count: int = 0
    fault_free_since: float = math.inf
    fault_free_ids: set[str] = field(default_factory=set)

    def check_executions(self, executions: ExecutionCounts) -> None:
        """Compare the answers with what the endpoints executed."""
        for request_id, count in executions.by_request_id.items():
            must_run_once = (
                request_id in self.order_ids
                or request_id in self.fault_free_ids
            )
            if must_run_once and count > 1:
                self.violations.append(f'{request_id} ran {count} times')
            if request_id in self.refused_ids:
                self.violations.append(f'{request_id} was refused and ran')


class SequentialCaller:
    """Sends random requests to one entry, one at a time."""

    def __init__(
        self,
        name: str,
        seed: int,
        findings: Findings,
        keys: ApiKeys,
    ) -> None:
        self._name: Final = name
        self._keys: Final = keys
        self._random: Final = random.Random(f'{seed}-{name}')
        self._sequence: Final = itertools.count(1)
        self._findings: Final = findings

    async def run(self, entry: EntryProcess) -> None:
        """Send until cancelled; reconnect when the entry is restarted."""
        url = ''
        client = HttpClient('http://127.0.0.1:1')
        while True:
            if not entry.url:
                await anyio.sleep(MAX_REQUEST_INTERVAL_S)
                continue
            if entry.url != url:
                await client.close()
                url = entry.url
                client = HttpClient(url)
            await self._send(client)
            await anyio.sleep(self._random.uniform(0, MAX_REQUEST_INTERVAL_S))

    async def _send(self, client: HttpClient) -> None:
        kind = self._random.choice(REQUEST_KINDS)
        request_id = f'{self._name}-{next(self._sequence)}'
        if kind == 'order':
            self._findings.order_ids.add(request_id)
        key = PERMANENT_KEY
        if self._random.random() < ROTATED_KEY_SHARE:
            key = self._keys.rotated_key(
                self._random.randrange(ROTATED_KEY_VERSIONS)
            )
        started = time.monotonic()
        is_key_expired = self._keys.is_expired(key, started)
        is_fault_free = (
            key in self._keys.valid_keys
            and started > self._findings.fault_free_since
        )
        if is_fault_free:
            self._findings.fault_free_ids.add(request_id)
        answer = await client.request(
            'POST',
            f'/{kind}/x',
            timeout_s=TIME_BUDGET_MS / 1000 + ANSWER_GRACE_S,
            body=b'soak',
            headers=_headers(kind, request_id, key),
        )
        is_served = isinstance(answer, HttpAnswer) and answer.status == 200
        if is_key_expired and is_served:
            self._findings.violations.append(f'{request_id} served with {key}')
        if is_fault_free and not is_served:
            self._findings.violations.append(
                f'{request_id} not served without faults: {answer}'
            )
        late_s = time.monotonic() - started - TIME_BUDGET_MS / 1000
        self._record_answer(kind, request_id, answer, late_s)

    def _record_answer(
        self,
        kind: str,
        request_id: str,
        answer: HttpAnswer | Failure,
        late_s: float,
    ) -> None:
        findings = self._findings
        if isinstance(answer, Failure):
            findings.answer_counts[f'{kind} {answer.kind.value}'] += 1
            # Without a connection, this says nothing about the entry.
            if (
                late_s >= ANSWER_GRACE_S
                and answer.kind is not ErrorKind.NO_CAPACITY
            ):
                findings.answer_counts[f'{kind} unanswered'] += 1
            return
        findings.answer_counts[f'{kind} {answer.status}'] += 1
        if answer.status in NOT_RUN_STATUSES:
            findings.refused_ids.add(request_id)
            return
        if answer.status != 200:
            return
        findings.served_count += 1
        if answer.body != _expected_body(kind, request_id):
            findings.violations.append(
                f'{request_id} got {answer.body[:80]!r} as a complete answer'
            )


def _headers(
    kind: str,
    request_id: str,
    key: str,
) -> tuple[tuple[bytes, bytes], ...]:
    headers = [
        (b'Host', HOST.encode()),
        (b'X-Attempt-Id', request_id.encode()),
        (b'X-Deadline-Ms', str(TIME_BUDGET_MS).encode()),
        (b'Authorization', f'Bearer {key}'.encode()),
    ]
    if kind == 'chat':
        headers.append((b'X-Token-Counts', b'900,300'))
    return tuple(headers)


def _expected_body(kind: str, request_id: str) -> bytes:
    if kind != 'chat':
        return f'body of {request_id}'.encode()
    events = [
        f'id: {number}\ndata: {request_id}\n\n'
        for number in range(1, STREAM_EVENTS + 1)
    ]
    return ''.join(events).encode()
