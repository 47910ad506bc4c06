"""Callers of the model cells; each sends one streaming chat request."""

import time
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import msgspec

from masticwind.errors import Failure
from masticwind.httpclient import BrokenStreamError, HttpClient, HttpStream
from masticwind_dev.standins.answers import expected_answer

TIMEOUT_MS: Final = 12_000
CLIENT_TIMEOUT_S: Final = 30.0
MAX_TOKENS: Final = 60
TOKEN: Final = 'matrix-token'


@dataclass(slots=True)
class ChatResult:
    """Response to one chat request.

    `completed` tells whether the final `[DONE]` event arrived, `disconnected`
    whether the caller closed the connection, and `connection_error` why the
    connection failed.
    """

    entry: str
    expected_text: str
    text: str = ''
    token_count: int = 0
    status: int = 0
    error: dict[str, Any] = field(default_factory=dict)
    completed: bool = False
    disconnected: bool = False
    connection_error: str = ''
    elapsed_s: float = 0


class StreamingCaller:
    """Sends one streaming chat request to one entry."""

    def __init__(self, entry: str, url: str, text: str) -> None:
        self.cancel_scope: Final = anyio.CancelScope()
        self.result: Final = ChatResult(
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
        """Send the request and read the stream until it ends."""
        started = time.monotonic()
        client = HttpClient(self._url)
        with self.cancel_scope, anyio.move_on_after(CLIENT_TIMEOUT_S):
            try:
                await self._send_request(client)
            except BrokenStreamError as exc:
                self.result.connection_error = str(exc)
        self.result.elapsed_s = time.monotonic() - started
        with anyio.CancelScope(shield=True):
            await client.close()

    def disconnect(self) -> None:
        """Close the connection without waiting for the answer."""
        self.result.disconnected = True
        self.cancel_scope.cancel()

    async def _send_request(self, client: HttpClient) -> None:
        headers = [
            (b'authorization', f'Bearer {TOKEN}'.encode()),
            (b'x-request-timeout-ms', str(TIMEOUT_MS).encode()),
        ]
        async with client.stream(
            'POST',
            '/v1/chat/completions',
            timeout_s=CLIENT_TIMEOUT_S,
            body=self._body,
            headers=headers,
        ) as answer:
            if isinstance(answer, Failure):
                self.result.connection_error = answer.reason
                return
            await self._read_stream(answer)

    async def _read_stream(self, answer: HttpStream) -> None:
        self.result.status = answer.status
        buffered = b''
        async for chunk in answer.chunks:
            buffered += chunk
            if answer.status != 200:
                continue
            *events, buffered = buffered.split(b'\n\n')
            for event in events:
                self._apply_event(event.removeprefix(b'data: '))
        if answer.status != 200:
            self.result.error = msgspec.json.decode(buffered)['error']

    def _apply_event(self, event: bytes) -> None:
        if event == b'[DONE]':
            self.result.completed = True
            return
        content = msgspec.json.decode(event)
        error = content.get('error')
        if error:
            self.result.error = error
            return
        choice = content['choices'][0]
        delta = '' if choice['finish_reason'] else choice['delta']['content']
        self.result.text += delta
        self.result.token_count += delta.count(' ')
