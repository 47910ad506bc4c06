"""Reads chat-completions bodies and makes prompts of them.

A body may have several megabytes. Everything that walks over it runs on a
worker thread in small steps that release the interpreter, and only the
prompt's bytes are left afterwards.
"""

from dataclasses import dataclass
from typing import Annotated, Final, Literal

import anyio
import msgspec

from masticwind.entry.json_text import QUOTE, append_json_string
from masticwind.errors import ErrorKind, Failure
from masticwind.tokens import prefix_hashes
from masticwind.web import INLINE_DECODE_BYTES, Receive

MAX_REASON_CHARS: Final = 300
MAX_MODEL_CHARS: Final = 128
# The decoder holds the interpreter, so that more threads decode no faster
# but stall the event loop for longer.
MAX_DECODER_THREADS: Final = 1
# Bounds the objects that one call of the decoder makes.
MAX_MESSAGES: Final = 20_000


class TextPart(msgspec.Struct, tag_field='type', tag='text'):
    """A part of a message's content; only text is served."""

    text: msgspec.Raw


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: Literal[
        'system',
        'developer',
        'user',
        'assistant',
        'tool',
        'function',
    ]
    content: msgspec.Raw = msgspec.Raw(b'null')


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatBody(msgspec.Struct):
    """The fields of a chat-completions body that are used."""

    model: Annotated[str, msgspec.Meta(max_length=MAX_MODEL_CHARS)]
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatRequest:
    """A decoded body: its prompt and what else is used of it."""

    model: str
    prompt: bytes
    prefix: tuple[int, ...]
    max_tokens: int | None
    stream: bool
    include_usage: bool


class ChatBodyDecoder:
    """Bounds how many bodies are decoded at once."""

    def __init__(self) -> None:
        self._limiter: Final = anyio.CapacityLimiter(MAX_DECODER_THREADS)

    async def decode(self, body: bytearray | bytes) -> ChatRequest | Failure:
        """Decode and check a body, off the event loop if it is large.

        The caller must drop `body` to free it. Returns a `Failure` of kind
        `bad_request`.
        """
        if len(body) <= INLINE_DECODE_BYTES:
            return _decode(body)
        return await anyio.to_thread.run_sync(
            _decode,
            body,
            limiter=self._limiter,
        )


async def read_large_body(
    receive: Receive,
    limit_bytes: int,
    timeout_s: float,
) -> bytearray | Failure:
    """Read a request body into one buffer.

    Returns a `Failure` of kind `too_large`, `body_timeout` or `cancelled`.
    """
    body = bytearray()
    with anyio.move_on_after(timeout_s):
        while True:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return Failure(
                    kind=ErrorKind.CANCELLED,
                    reason='caller disconnected',
                )
            body += event.get('body', b'')
            if len(body) > limit_bytes:
                return Failure(
                    kind=ErrorKind.TOO_LARGE,
                    reason=f'the body is over {limit_bytes} bytes',
                )
            if not event.get('more_body'):
                return body
    return Failure(
        kind=ErrorKind.BODY_TIMEOUT,
        reason=f'the body did not arrive within {timeout_s:g} s',
    )


def _decode(body: bytearray | bytes) -> ChatRequest | Failure:
    # Inside a string the quotes would be escaped, so only keys match.
    if body.count(b'"role"') + body.count(b'"text"') > MAX_MESSAGES:
        return _invalid(f'over {MAX_MESSAGES} messages and parts')
    try:
        return _decode_checked(body)
    except (msgspec.DecodeError, UnicodeError) as exc:
        return _invalid(str(exc))


def _decode_checked(body: bytearray | bytes) -> ChatRequest:
    chat = msgspec.json.decode(body, type=ChatBody)
    options = chat.stream_options
    wanted = chat.max_completion_tokens
    prompt = bytearray()
    for message in chat.messages:
        prompt.extend(message.role.encode())
        prompt.extend(b': ')
        _append_content(prompt, message.content)
        prompt.extend(b'\n')
    whole = bytes(prompt)
    return ChatRequest(
        model=chat.model,
        prompt=whole,
        prefix=prefix_hashes(whole),
        max_tokens=chat.max_tokens if wanted is None else wanted,
        stream=bool(chat.stream),
        include_usage=options is not None and options.include_usage,
    )


def _append_content(prompt: bytearray, content: msgspec.Raw) -> None:
    raw = memoryview(content)
    if bytes(raw[:1]) == QUOTE:
        append_json_string(prompt, raw)
        return
    parts = msgspec.json.decode(raw, type=list[TextPart] | None)
    for part in parts or ():
        text = memoryview(part.text)
        if bytes(text[:1]) != QUOTE:
            raise msgspec.ValidationError('Expected `str` - at `$.text`')
        append_json_string(prompt, text)


def _invalid(reason: str) -> Failure:
    return Failure(
        kind=ErrorKind.BAD_REQUEST,
        reason=reason[:MAX_REASON_CHARS],
    )
