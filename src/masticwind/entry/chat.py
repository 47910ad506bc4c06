"""The chat-completions interface towards callers."""

import secrets
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from masticwind.budget import Budget
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Model, Team, Tier
from masticwind.engines.base import Done, Tokens
from masticwind.entry.outcomes import RequestLog
from masticwind.entry.relay import ModelRequest, Relay
from masticwind.entry.router import Job
from masticwind.errors import ErrorKind, Failure
from masticwind.tokens import estimate_tokens, prefix_hashes
from masticwind.web import (
    INLINE_DECODE_BYTES,
    Receive,
    Response,
    Scope,
    Send,
    decode_json,
    header,
    json_response,
    send_response,
)

TIMEOUT_HEADER: Final = b'x-request-timeout-ms'
REQUEST_ID_BYTES: Final = 16
SSE_TYPE: Final = b'text/event-stream'


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """The fields of a chat-completions body that are used."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    stream: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """An authenticated team."""

    name: str
    team: Team
    tier: Tier


def read_timeout(scope: Scope, tier: Tier) -> int | Failure:
    """Return the caller's time budget in milliseconds.

    Returns a `Failure` of kind `timeout_out_of_range` for a value that is
    not a number from 1 to the tier's maximum.
    """
    text = header(scope, TIMEOUT_HEADER)
    if not text:
        return tier.default_timeout_ms
    if text.isascii() and text.isdigit():
        timeout_ms = int(text)
        if 1 <= timeout_ms <= tier.max_timeout_ms:
            return timeout_ms
    return Failure(
        kind=ErrorKind.TIMEOUT_OUT_OF_RANGE,
        reason=f'{TIMEOUT_HEADER.decode()} must be a number of milliseconds '
        f'from 1 to {tier.max_timeout_ms}',
    )


async def build_request(
    scope: Scope,
    body: bytes,
    caller: Caller,
    config: CurrentConfig,
) -> tuple[ModelRequest, ChatBody] | Failure:
    """Check a chat-completions body and make a model request of it."""
    timeout_ms = read_timeout(scope, caller.tier)
    if isinstance(timeout_ms, Failure):
        return timeout_ms
    budget = Budget.from_ms(timeout_ms)
    chat = await decode_json(body, ChatBody)
    if isinstance(chat, Failure):
        return chat
    model = config.config.models.get(chat.model)
    if model is None:
        return Failure(
            kind=ErrorKind.UNKNOWN_MODEL,
            reason=f'no model {chat.model}',
        )
    prompt, prefix = await _prepare(chat.messages)
    prompt_tokens = estimate_tokens(len(prompt), model.bytes_per_token)
    max_tokens = chat.max_tokens or model.default_output_tokens
    failure = _check_sizes(model, prompt_tokens, max_tokens)
    if failure is not None:
        return failure
    return ModelRequest(
        request_id=secrets.token_hex(REQUEST_ID_BYTES),
        team=caller.name,
        weight=caller.team.weight,
        prompt=prompt,
        budget=budget,
        job=Job(
            model=chat.model,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            paid=caller.tier.kind == 'paid',
            prefix=prefix,
            timeout_ms=timeout_ms,
        ),
    ), chat


def _check_sizes(
    model: Model,
    prompt_tokens: int,
    max_tokens: int,
) -> Failure | None:
    if prompt_tokens > model.max_prompt_tokens:
        return Failure(
            kind=ErrorKind.TOO_LARGE,
            reason=f'about {prompt_tokens} prompt tokens, '
            f'at most {model.max_prompt_tokens}',
        )
    if not 1 <= max_tokens <= model.max_output_tokens:
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason=f'max_tokens must be from 1 to {model.max_output_tokens}',
        )
    return None


async def _prepare(
    messages: list[ChatMessage],
) -> tuple[bytes, tuple[int, ...]]:
    size = sum(len(one.content) for one in messages)
    if size <= INLINE_DECODE_BYTES:
        return _prompt_of(messages)
    return await anyio.to_thread.run_sync(_prompt_of, messages)


def _prompt_of(messages: list[ChatMessage]) -> tuple[bytes, tuple[int, ...]]:
    text = ''.join(f'{one.role}: {one.content}\n' for one in messages)
    prompt = text.encode()
    return prompt, prefix_hashes(prompt)


class ChatStream:
    """Writes one answer, as server-sent events or as one object."""

    def __init__(
        self,
        send: Send,
        req: ModelRequest,
        *,
        stream: bool,
        log: RequestLog,
    ) -> None:
        self._send: Final = send
        self._req: Final = req
        self._stream: Final = stream
        self._log: Final = log
        self._created: Final = int(time.time())
        self._texts: Final[list[str]] = []
        self._opened = False

    async def emit(self, tokens: Tokens) -> None:
        """Take generated tokens."""
        text = ''.join(tokens.tokens)
        if not self._stream:
            self._texts.append(text)
            return
        await self._open()
        await self._event(self._chunk({'content': text}, None))

    async def finish(self, outcome: Done | Failure) -> Failure | None:
        """Write the end; return a failure that the caller must still see."""
        self._log.finish(self._req.team, self._req.request_id, outcome)
        if isinstance(outcome, Failure):
            if not self._opened:
                return outcome
            await self._event(
                {
                    'error': {
                        'kind': outcome.kind,
                        'message': outcome.reason,
                    }
                }
            )
            await self._send({'type': 'http.response.body', 'body': b''})
            return None
        if self._stream:
            await self._open()
            last = self._chunk({}, 'stop')
            last['usage'] = self._usage(outcome)
            await self._event(last)
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': b'data: [DONE]\n\n',
                }
            )
            return None
        await send_response(self._send, self._whole(outcome))
        return None

    def _whole(self, done: Done) -> Response:
        return json_response(
            HTTPStatus.OK,
            {
                'id': self._req.request_id,
                'object': 'chat.completion',
                'created': self._created,
                'model': self._req.job.model,
                'choices': [
                    {
                        'index': 0,
                        'message': {
                            'role': 'assistant',
                            'content': ''.join(self._texts),
                        },
                        'finish_reason': 'stop',
                    }
                ],
                'usage': self._usage(done),
            },
            headers=self._headers(),
        )

    def _usage(self, done: Done) -> dict[str, int]:
        prompt_tokens = self._req.job.prompt_tokens
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': done.count,
            'total_tokens': prompt_tokens + done.count,
            'cached_tokens': done.cached_tokens,
        }

    def _chunk(
        self,
        delta: dict[str, str],
        reason: str | None,
    ) -> dict[str, object]:
        return {
            'id': self._req.request_id,
            'object': 'chat.completion.chunk',
            'created': self._created,
            'model': self._req.job.model,
            'choices': [
                {'index': 0, 'delta': delta, 'finish_reason': reason},
            ],
        }

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b'x-request-id', self._req.request_id.encode()),)

    async def _open(self) -> None:
        if self._opened:
            return
        self._opened = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': HTTPStatus.OK,
                'headers': [
                    (b'content-type', SSE_TYPE),
                    (b'cache-control', b'no-cache'),
                    *self._headers(),
                ],
            }
        )

    async def _event(self, content: dict[str, object]) -> None:
        await self._send(
            {
                'type': 'http.response.body',
                'body': b'data: %b\n\n' % msgspec.json.encode(content),
                'more_body': True,
            }
        )


async def relay_until_gone(
    relay: Relay,
    req: ModelRequest,
    writer: ChatStream,
    receive: Receive,
) -> Failure | None:
    """Relay an answer; stop when the caller disconnects."""
    failure: Failure | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
        outcome = await relay.run(req, writer.emit)
        failure = await writer.finish(outcome)
        tasks.cancel_scope.cancel()
    return failure


async def _cancel_on_disconnect(
    receive: Receive,
    scope: anyio.CancelScope,
) -> None:
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            scope.cancel()
            return
