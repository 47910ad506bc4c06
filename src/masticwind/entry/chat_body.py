"""Reads and decodes chat-completions bodies and builds their prompts.

A body may have several megabytes. A large body is decoded on a worker thread
in small steps that release the interpreter lock, and of the body only the
bytes of the prompt are kept.
"""

from dataclasses import dataclass
from typing import Annotated, Final, Literal

import anyio
import msgspec

from masticwind.decoding import parse_with
from masticwind.entry.json_text import QUOTE, append_json_string
from masticwind.errors import ErrorKind, Failure
from masticwind.tokens import prefix_hashes
from masticwind.web import INLINE_DECODE_BYTES

MAX_MODEL_CHARS: Final = 128
# The decoder holds the interpreter lock, so that more threads decode no
# faster and stall the event loop for longer.
MAX_DECODER_THREADS: Final = 1
# Limits the number of objects that one call of the decoder creates.
MAX_MESSAGES_AND_PARTS: Final = 20_000


class TextPart(msgspec.Struct, tag_field='type', tag='text'):
    """A part of a message's content; only text is supported."""

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
    """Options of a streamed response."""

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
    """A decoded body: the prompt and the options that are supported."""

    model: str
    prompt: bytes
    prefix_hashes: tuple[int, ...]
    max_tokens: int | None
    stream: bool
    include_usage: bool


class ChatBodyDecoder:
    """Decodes bodies, a limited number of large ones at a time."""

    def __init__(self) -> None:
        self._limiter: Final = anyio.CapacityLimiter(MAX_DECODER_THREADS)

    async def decode(self, body: bytearray | bytes) -> ChatRequest | Failure:
        """Decode and check a body, off the event loop if it is large.

        The body's memory is freed only when the caller drops `body`. Returns
        a `Failure` of kind `bad_request` for an invalid body.
        """
        if len(body) <= INLINE_DECODE_BYTES:
            return _decode(body)
        return await anyio.to_thread.run_sync(
            _decode,
            body,
            limiter=self._limiter,
        )


def _decode(body: bytearray | bytes) -> ChatRequest | Failure:
    # Quotes in a string are escaped, so that text within a string cannot match.
    if body.count(b'"role"') + body.count(b'"text"') > MAX_MESSAGES_AND_PARTS:
        return _bad_request(f'over {MAX_MESSAGES_AND_PARTS} messages and parts')
    return parse_with(_parse_body, body, ErrorKind.BAD_REQUEST)


def _parse_body(body: bytearray | bytes) -> ChatRequest:
    chat = msgspec.json.decode(body, type=ChatBody)
    options = chat.stream_options
    limit = chat.max_completion_tokens
    prompt = bytearray()
    for message in chat.messages:
        prompt.extend(message.role.encode())
        prompt.extend(b': ')
        _append_content(prompt, message.content)
        prompt.extend(b'\n')
    prompt_bytes = bytes(prompt)
    return ChatRequest(
        model=chat.model,
        prompt=prompt_bytes,
        prefix_hashes=prefix_hashes(prompt_bytes),
        max_tokens=chat.max_tokens if limit is None else limit,
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


def _bad_request(reason: str) -> Failure:
    return Failure(kind=ErrorKind.BAD_REQUEST, reason=reason)
