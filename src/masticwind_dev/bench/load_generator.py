"""The open-loop load generator and the samples it records."""

import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.httpclient import BrokenStreamError, HttpClient
from masticwind_dev.bench.workload import PlannedRequest
from masticwind_dev.standins.answers import expected_answer

# Wait for an answer this long past the timeout, then count it as missing.
ANSWER_GRACE_S: Final = 5.0
MAX_CONNECTIONS: Final = 4096
DATA_PREFIX: Final = b'data: '


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Result of one request as its caller saw it.

    `kind` is the error kind, or empty for a complete answer. Times count
    from the planned arrival, so that a slow load generator can only make
    the figures worse.
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
        """Whether a complete answer came within the timeout."""
        return not self.kind and self.total_ms <= self.timeout_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadTarget:
    """Entries that receive the requests in turn, prompt seed and model."""

    urls: tuple[str, ...]
    seed: int = 1
    model: str = 'standard'


class LoadGenerator:
    """Sends a workload to the entries and collects samples."""

    def __init__(self, target: LoadTarget) -> None:
        self._target: Final = target
        self._clients: Final = [
            HttpClient(url, max_connections=MAX_CONNECTIONS)
            for url in target.urls
        ]
        self.samples: Final[list[Sample]] = []
        self.started_at = 0.0

    async def run(self, workload: Sequence[PlannedRequest]) -> list[Sample]:
        """Send each request at its arrival time; return when all have ended."""
        self.started_at = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for planned in workload:
                due_at = self.started_at + planned.at_s
                await anyio.sleep(max(0, due_at - time.monotonic()))
                tasks.start_soon(self._send, planned, due_at)
        for client in self._clients:
            await client.close()
        return self.samples

    async def _send(self, planned: PlannedRequest, due_at: float) -> None:
        reader = AnswerReader(due_at)
        timeout_s = planned.timeout_ms / MS_PER_S + ANSWER_GRACE_S
        with anyio.move_on_after(timeout_s):
            try:
                await self._request(planned, reader)
            except BrokenStreamError as exc:
                reader.kind = f'connection:{exc}'
        total_ms = (time.monotonic() - due_at) * MS_PER_S
        if not reader.ended and not reader.kind:
            reader.kind = 'no_answer'
        self.samples.append(
            Sample(
                number=planned.number,
                at_s=planned.at_s,
                tier=planned.tier,
                length_class=planned.length_class,
                tokens=planned.prompt_tokens,
                status=reader.status,
                kind=reader.kind,
                run=reader.run,
                first_token_ms=reader.first_token_ms,
                total_ms=total_ms,
                timeout_ms=planned.timeout_ms,
            )
        )

    async def _request(
        self,
        planned: PlannedRequest,
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
            expected = expected_answer(
                f'user: {prompt}\n'.encode(),
                planned.output_tokens,
            )
            reader.check_text(expected)


class AnswerReader:
    """Reads one streamed answer."""

    def __init__(self, due_at: float) -> None:
        self._due_at: Final = due_at
        self.status = 0
        self.kind = ''
        self.run = ''
        self.first_token_ms = 0.0
        self.ended = False
        self._texts: Final[list[str]] = []

    async def read(self, chunks: AsyncIterator[bytes]) -> None:
        """Read the response body to its end."""
        buffered = b''
        async for chunk in chunks:
            *lines, buffered = (buffered + chunk).split(b'\n')
            for line in lines:
                self._handle_line(line)
        if self.status != 200:
            error = msgspec.json.decode(buffered)['error']
            self.kind = error['kind']
            self.run = error['run']
            self.ended = True

    def check_text(self, expected: str) -> None:
        """Compare the received text with the expected answer."""
        if not self.ended:
            self.kind = 'truncated'
        elif ''.join(self._texts) != expected:
            self.kind = 'wrong_answer'

    def _handle_line(self, line: bytes) -> None:
        if line == b'data: [DONE]':
            self.ended = True
            return
        if not line.startswith(DATA_PREFIX):
            return
        event = msgspec.json.decode(line[len(DATA_PREFIX) :])
        error = event.get('error')
        if error is not None:
            self.kind = error['kind']
            return
        text = event['choices'][0]['delta'].get('content', '')
        if text and not self._texts:
            self.first_token_ms = (time.monotonic() - self._due_at) * MS_PER_S
        self._texts.append(text)
