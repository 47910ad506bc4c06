"""Reading and decoding of chat-completions bodies."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.byte_budget import ByteBudget
from masticwind.entry import json_text
from masticwind.entry.chat_body import (
    MAX_MESSAGES_AND_PARTS,
    ChatBodyDecoder,
    ChatRequest,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.memory_shares import BYTES_PER_MB
from masticwind.web import INLINE_DECODE_BYTES, read_large_body

BACKSLASH = 0x5C
ESCAPE = bytes((BACKSLASH, ord('u')))

pytestmark = pytest.mark.anyio


def _body(*contents: Any, **fields: Any) -> bytes:
    return msgspec.json.encode(
        {
            'model': 'standard',
            'messages': [
                {'role': 'user', 'content': content} for content in contents
            ],
            **fields,
        }
    )


async def _decode(body: bytes) -> ChatRequest:
    outcome = await ChatBodyDecoder().decode(body)
    assert isinstance(outcome, ChatRequest), outcome
    return outcome


async def test_content_may_be_text_parts_null_or_empty() -> None:
    """Guards against refusing a form of message content that clients send."""
    parts = [{'type': 'text', 'text': 'b'}, {'type': 'text', 'text': 'ö'}]
    body = _body('a', parts, None, [])
    chat = await _decode(body)
    assert chat.prompt == 'user: a\nuser: bö\nuser: \nuser: \n'.encode()


async def test_all_roles_without_content_are_accepted() -> None:
    """Guards against refusing a role that clients send.

    The messages have no content, which clients may omit.
    """
    roles = ('system', 'developer', 'user', 'assistant', 'tool')
    chat = await _decode(
        msgspec.json.encode(
            {'model': 'm', 'messages': [{'role': role} for role in roles]}
        )
    )
    assert chat.prompt == b''.join(b'%b: \n' % role.encode() for role in roles)


async def test_options_are_decoded_and_unknown_fields_ignored() -> None:
    """Guards against misreading options and against refusing other fields."""
    chat = await _decode(
        _body(
            'a',
            max_tokens=5,
            max_completion_tokens=7,
            stream=True,
            stream_options={'include_usage': True, 'more': 1},
            temperature=0.5,
            tools=[{'a': [1, 2, {}]}],
        )
    )
    assert chat.max_tokens == 7
    assert chat.stream
    assert chat.include_usage
    defaults = await _decode(_body('a', stream=None, stream_options=None))
    assert (defaults.max_tokens, defaults.stream) == (None, False)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'"x"',
        b'\xff\xfe',
        _body(),
        _body(5),
        _body([{'type': 'text', 'text': 5}]),
        _body([{'type': 'image_url', 'image_url': {}}]),
        _body('a', max_tokens='x'),
        _body('?').replace(b'?', b'%bd800' % ESCAPE),
        b'{"model":"m","messages":[{"role":"king","content":""}]}',
        _body(*('x' for _ in range(MAX_MESSAGES_AND_PARTS + 1))),
        _body('x' * INLINE_DECODE_BYTES)[:-1],
    ],
)
async def test_invalid_bodies_are_refused(body: bytes) -> None:
    """Guards against a crash for an invalid body, or against serving it."""
    outcome = await ChatBodyDecoder().decode(body)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.BAD_REQUEST


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    text=st.text(
        st.sampled_from([*'a"/uédD8€\U0001f600\n\x00', chr(BACKSLASH)]),
        max_size=200,
    ),
    escaped=st.booleans(),
    piece_bytes=st.integers(16, 40),
)
def test_string_decoded_in_pieces_is_unchanged(
    text: str,
    escaped: bool,
    piece_bytes: int,
) -> None:
    """Guards against splitting an escape sequence or a UTF-8 character."""
    raw = msgspec.json.encode(text)
    if escaped:
        units = text.encode('utf-16-be')
        pairs = zip(units[::2], units[1::2], strict=True)
        raw = b'"%b"' % b''.join(
            b'%b%02x%02x' % (ESCAPE, *pair) for pair in pairs
        )
    output = bytearray()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_text, 'PIECE_BYTES', piece_bytes)
        json_text.append_json_string(output, memoryview(raw))
    assert output.decode() == text


async def test_large_body_is_decoded_like_a_small_one() -> None:
    """Guards against a difference between inline and threaded decoding.

    A large body is decoded on a worker thread and its strings in pieces.
    """
    text = 'zeile "ä"\n\U0001f600' * 50_000
    chat = await _decode(_body(text, 'x'))
    assert chat.prompt == f'user: {text}\nuser: x\n'.encode()


async def test_reading_stops_at_the_body_size_limit() -> None:
    """Guards against keeping a body in memory that is over the limit."""
    events = [
        {'type': 'http.request', 'body': b'x' * 600, 'more_body': True},
        {'type': 'http.request', 'body': b'x' * 600, 'more_body': True},
    ]

    async def receive() -> dict[str, Any]:
        return events.pop(0)

    outcome = await read_large_body(receive, 1000, 5)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.TOO_LARGE


async def test_reading_stops_if_the_process_has_no_memory() -> None:
    """Guards against callers whose bodies, each within the limit, together
    take the memory of the machine.
    """
    budget = ByteBudget(1, share=1000 / BYTES_PER_MB)
    event = {'type': 'http.request', 'body': b'x' * 600, 'more_body': True}

    async def receive() -> dict[str, Any]:
        return event

    with budget.open_buffer() as buffer:
        outcome = await read_large_body(receive, 10_000, 5, buffer)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.OVERLOADED
    assert outcome.retry_after_ms
    assert not budget.used_bytes
