"""The open-loop load generator and what it records of each request."""

import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.httpclient import BrokenStreamError, HttpClient
from masticwind_dev.bench.workload import Planned
from masticwind_dev.standins.answers import expected_answer

# Beyond its time budget a request is counted as lost, not waited for.
ANSWER_GRACE_S: Final = 5.0
MAX_CONNECTIONS: Final = 4096
DATA: Final = b'data: '


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """What a caller saw of one request; times in milliseconds.

    `kind` is empty for a whole answer and else the error kind. Time to
    first token counts from the planned arrival, so that a slow generator
    makes the figures worse and never better.
    """

    number: int
    at_s: float
    tier: str
    length_class: str
    tokens: int
    status: int
    kind: str
    run: str
    first_token_ms: float
    total_ms: float
    timeout_ms: int

    @property
    def served(self) -> bool:
        """Completed whole within its time budget."""
        return not self.kind and self.total_ms <= self.timeout_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Where load goes: entries in turn, and how to sign in."""

    urls: tuple[str, ...]
    seed: int = 1
    model: str = 'standard'


class LoadGenerator:
    """Sends a workload to the entries and collects samples."""

    def __init__(self, target: Target) -> None:
        self._target: Final = target
        self._clients: Final = [
            HttpClient(url, max_connections=MAX_CONNECTIONS)
            for url in target.urls
        ]
        self.samples: Final[list[Sample]] = []
        self.started = 0.0

    async def run(self, workload: Sequence[Planned]) -> list[Sample]:
        """Send every request at its time; return when all have ended."""
        self.started = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for planned in workload:
                due = self.started + planned.at_s
                await anyio.sleep(max(0, due - time.monotonic()))
                tasks.start_soon(self._send, planned, due)
        for client in self._clients:
            await client.close()
        return self.samples

    async def _send(self, planned: Planned, due: float) -> None:
        reader = AnswerReader(due)
        limit_s = planned.timeout_ms / MS_PER_S + ANSWER_GRACE_S
        with anyio.move_on_after(limit_s):
            try:
                await self._exchange(planned, reader)
            except BrokenStreamError as exc:
                reader.kind = f'connection:{exc}'
        total_ms = (time.monotonic() - due) * MS_PER_S
        if not reader.ended and not reader.kind:
            reader.kind = 'no_answer'
        self.samples.append(
            Sample(
                number=planned.number,
                at_s=planned.at_s,
                tier=planned.tier,
                length_class=planned.length_class,
                tokens=planned.tokens,
                status=reader.status,
                kind=reader.kind,
                run=reader.run,
                first_token_ms=reader.first_token_ms,
                total_ms=total_ms,
                timeout_ms=planned.timeout_ms,
            )
        )

    async def _exchange(
        self,
        planned: Planned,
        reader: 'AnswerReader',
    ) -> None:
        target = self._target
        prompt = planned.prompt(target.seed)
        body = msgspec.json.encode(
            {
                'model': target.model,
                'messages': [{'role': 'user', 'content': prompt}],
                'max_tokens': planned.output_tokens,
                'stream': True,
            }
        )
        client = self._clients[planned.number % len(self._clients)]
        async with client.stream(
            'POST',
            '/v1/chat/completions',
            timeout_s=planned.timeout_ms / MS_PER_S + ANSWER_GRACE_S,
            body=body,
            headers=[
                (b'authorization', f'Bearer {planned.team}'.encode()),
                (b'x-request-timeout-ms', str(planned.timeout_ms).encode()),
            ],
        ) as stream:
            if isinstance(stream, Failure):
                reader.kind = f'connection:{stream.reason}'
                return
            reader.status = stream.status
            await reader.read(stream.chunks)
        if not reader.kind:
            whole = expected_answer(
                f'user: {prompt}\n'.encode(),
                planned.output_tokens,
            )
            reader.check(whole)


class AnswerReader:
    """Reads one streamed answer."""

    def __init__(self, due: float) -> None:
        self._due: Final = due
        self.status = 0
        self.kind = ''
        self.run = ''
        self.first_token_ms = 0.0
        self.ended = False
        self._texts: Final[list[str]] = []

    async def read(self, chunks: AsyncIterator[bytes]) -> None:
        """Read the body to its end."""
        rest = b''
        async for chunk in chunks:
            *lines, rest = (rest + chunk).split(b'\n')
            for line in lines:
                self._take(line)
        if self.status != 200:
            error = msgspec.json.decode(rest)['error']
            self.kind = error['kind']
            self.run = error['run']
            self.ended = True

    def check(self, whole: str) -> None:
        """Compare the text with the whole expected answer."""
        if not self.ended:
            self.kind = 'truncated'
        elif ''.join(self._texts) != whole:
            self.kind = 'wrong_answer'

    def _take(self, line: bytes) -> None:
        if line == b'data: [DONE]':
            self.ended = True
            return
        if not line.startswith(DATA):
            return
        event = msgspec.json.decode(line[len(DATA) :])
        error = event.get('error')
        if error is not None:
            self.kind = error['kind']
            return
        text = event['choices'][0]['delta'].get('content', '')
        if text and not self._texts:
            self.first_token_ms = (time.monotonic() - self._due) * MS_PER_S
        self._texts.append(text)
