"""Callers of the fault matrix, and what each of them received."""

import time
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import msgspec

from masticwind.errors import Failure
from masticwind.httpclient import BrokenStreamError, HttpClient, HttpStream
from masticwind_dev.standins.answers import expected_answer

TIMEOUT_MS: Final = 12_000
MAX_WAIT_S: Final = 30.0
MAX_TOKENS: Final = 60
TOKEN: Final = 'matrix-token'


@dataclass(slots=True)
class Received:
    """What one caller got; `broken` tells how its connection ended early."""

    entry: str
    expected: str
    text: str = ''
    tokens: int = 0
    status: int = 0
    error: dict[str, Any] = field(default_factory=dict)
    done: bool = False
    left: bool = False
    broken: str = ''
    spent_s: float = 0


class Caller:
    """Sends one streaming request to one entry."""

    def __init__(self, entry: str, url: str, text: str) -> None:
        self.scope: Final = anyio.CancelScope()
        self.got: Final = Received(
            entry,
            expected_answer(f'user: {text}\n'.encode(), MAX_TOKENS),
        )
        self._url: Final = url
        self._body: Final = msgspec.json.encode(
            {
                'model': 'standard',
                'messages': [{'role': 'user', 'content': text}],
                'max_tokens': MAX_TOKENS,
                'stream': True,
            }
        )

    async def run(self) -> None:
        """Send the request and take the answer, until it ends."""
        started = time.monotonic()
        client = HttpClient(self._url)
        with self.scope, anyio.move_on_after(MAX_WAIT_S):
            try:
                await self._receive(client)
            except BrokenStreamError as exc:
                self.got.broken = str(exc)
        self.got.spent_s = time.monotonic() - started
        with anyio.CancelScope(shield=True):
            await client.close()

    def leave(self) -> None:
        """Disconnect without waiting for the answer."""
        self.got.left = True
        self.scope.cancel()

    async def _receive(self, client: HttpClient) -> None:
        headers = [
            (b'authorization', f'Bearer {TOKEN}'.encode()),
            (b'x-request-timeout-ms', str(TIMEOUT_MS).encode()),
        ]
        async with client.stream(
            'POST',
            '/v1/chat/completions',
            timeout_s=MAX_WAIT_S,
            body=self._body,
            headers=headers,
        ) as answer:
            if isinstance(answer, Failure):
                self.got.broken = answer.reason
                return
            await self._read(answer)

    async def _read(self, answer: HttpStream) -> None:
        self.got.status = answer.status
        buffered = b''
        async for chunk in answer.chunks:
            buffered += chunk
            if answer.status != 200:
                continue
            *events, buffered = buffered.split(b'\n\n')
            for event in events:
                self._take(event.removeprefix(b'data: '))
        if answer.status != 200:
            self.got.error = msgspec.json.decode(buffered)['error']

    def _take(self, event: bytes) -> None:
        if event == b'[DONE]':
            self.got.done = True
            return
        content = msgspec.json.decode(event)
        error = content.get('error')
        if error:
            self.got.error = error
            return
        choice = content['choices'][0]
        delta = '' if choice['finish_reason'] else choice['delta']['content']
        self.got.text += delta
        self.got.tokens += delta.count(' ')
