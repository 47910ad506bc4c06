"""Callers of a soak: they keep connections and check every answer.

A caller knows only what it sent and what came back. What the endpoints ran
is compared afterwards.
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
from masticwind_dev.soak.world import EVENTS, HOST, KEY, Entry, Keys, Ran

BUDGET_MS: Final = 3000
# An answer later than this after the caller's time is over is held back.
LATE_S: Final = 0.7
PAUSE_S: Final = 0.05
KINDS: Final = ('order', 'read', 'chat')
# Share of requests with a key that is replaced from time to time, and how
# many versions ago it may have been.
PASSING_SHARE: Final = 0.25
OLDEST_KEY: Final = 12
# Statuses that promise that a request has not run.
NOT_RUN: Final = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Findings:
    """Broken promises, and how often each kind of answer came.

    Every request with the lasting key that is sent after `calm_at` must be
    served, once: nothing disturbs it, and nothing may be left of the faults.
    """

    broken: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    not_run: set[str] = field(default_factory=set)
    orders: set[str] = field(default_factory=set)
    served: int = 0
    calm_at: float = math.inf
    calm: set[str] = field(default_factory=set)

    def check_runs(self, ran: Ran) -> None:
        """Compare with what the endpoints ran."""
        for request_id, count in ran.counts.items():
            once = request_id in self.orders or request_id in self.calm
            if once and count > 1:
                self.broken.append(f'{request_id} ran {count} times')
            if request_id in self.not_run:
                self.broken.append(f'{request_id} was refused and ran')


class Caller:
    """Sends one request after the other to one entry."""

    def __init__(
        self,
        name: str,
        seed: int,
        findings: Findings,
        keys: Keys,
    ) -> None:
        self._name: Final = name
        self._keys: Final = keys
        self._random: Final = random.Random(f'{seed}-{name}')
        self._numbers: Final = itertools.count(1)
        self._findings: Final = findings

    async def run(self, entry: Entry) -> None:
        """Send until cancelled; a new process gets new connections."""
        url = ''
        client = HttpClient('http://127.0.0.1:1')
        while True:
            if not entry.url:
                await anyio.sleep(PAUSE_S)
                continue
            if entry.url != url:
                await client.close()
                url = entry.url
                client = HttpClient(url)
            await self._send(client)
            await anyio.sleep(self._random.uniform(0, PAUSE_S))

    async def _send(self, client: HttpClient) -> None:
        kind = self._random.choice(KINDS)
        request_id = f'{self._name}-{next(self._numbers)}'
        if kind == 'order':
            self._findings.orders.add(request_id)
        key = KEY
        if self._random.random() < PASSING_SHARE:
            key = self._keys.passing(self._random.randrange(OLDEST_KEY))
        started = time.monotonic()
        expired = self._keys.expired(key, started)
        calm = key == KEY and started > self._findings.calm_at
        if calm:
            self._findings.calm.add(request_id)
        answer = await client.request(
            'POST',
            f'/{kind}/x',
            timeout_s=BUDGET_MS / 1000 + LATE_S,
            body=b'soak',
            headers=_headers(kind, request_id, key),
        )
        served = isinstance(answer, HttpAnswer) and answer.status == 200
        if expired and served:
            self._findings.broken.append(f'{request_id} served with {key}')
        if calm and not served:
            self._findings.broken.append(
                f'{request_id} not served in a calm time: {answer}'
            )
        late_s = time.monotonic() - started - BUDGET_MS / 1000
        self._judge(kind, request_id, answer, late_s)

    def _judge(
        self,
        kind: str,
        request_id: str,
        answer: HttpAnswer | Failure,
        late_s: float,
    ) -> None:
        findings = self._findings
        if isinstance(answer, Failure):
            findings.answers[f'{kind} {answer.kind.value}'] += 1
            # A caller that was not even connected says nothing of the entry.
            if late_s >= LATE_S and answer.kind is not ErrorKind.NO_CAPACITY:
                findings.answers[f'{kind} unanswered'] += 1
            return
        findings.answers[f'{kind} {answer.status}'] += 1
        if answer.status in NOT_RUN:
            findings.not_run.add(request_id)
            return
        if answer.status != 200:
            return
        findings.served += 1
        if answer.body != _expected(kind, request_id):
            findings.broken.append(
                f'{request_id} got {answer.body[:80]!r} for a whole answer'
            )


def _headers(
    kind: str,
    request_id: str,
    key: str,
) -> tuple[tuple[bytes, bytes], ...]:
    headers = [
        (b'Host', HOST.encode()),
        (b'X-Attempt-Id', request_id.encode()),
        (b'X-Deadline-Ms', str(BUDGET_MS).encode()),
        (b'Authorization', f'Bearer {key}'.encode()),
    ]
    if kind == 'chat':
        headers.append((b'X-Token-Counts', b'900,300'))
    return tuple(headers)


def _expected(kind: str, request_id: str) -> bytes:
    if kind != 'chat':
        return f'body of {request_id}'.encode()
    events = [
        f'id: {number}\ndata: {request_id}\n\n'
        for number in range(1, EVENTS + 1)
    ]
    return ''.join(events).encode()
