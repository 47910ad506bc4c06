"""Reading of chat-completions bodies."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.entry import json_text
from masticwind.entry.chat_body import (
    MAX_MESSAGES_AND_PARTS,
    ChatBodyDecoder,
    ChatRequest,
    read_large_body,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.web import INLINE_DECODE_BYTES

BACKSLASH = 0x5C
ESCAPE = bytes((BACKSLASH, ord('u')))

pytestmark = pytest.mark.anyio


def _body(*contents: Any, **more: Any) -> bytes:
    return msgspec.json.encode(
        {
            'model': 'standard',
            'messages': [{'role': 'user', 'content': one} for one in contents],
            **more,
        }
    )


async def _prepared(body: bytes) -> ChatRequest:
    outcome = await ChatBodyDecoder().decode(body)
    assert isinstance(outcome, ChatRequest), outcome
    return outcome


async def test_content_shapes() -> None:
    """Guards against refusing the usual shapes of a message."""
    parts = [{'type': 'text', 'text': 'b'}, {'type': 'text', 'text': 'ö'}]
    body = _body('a', parts, None, [])
    prepared = await _prepared(body)
    assert prepared.prompt == 'user: a\nuser: bö\nuser: \nuser: \n'.encode()


async def test_roles_and_missing_content() -> None:
    """Guards against refusing roles that clients send."""
    roles = ('system', 'developer', 'user', 'assistant', 'tool')
    prepared = await _prepared(
        msgspec.json.encode(
            {'model': 'm', 'messages': [{'role': role} for role in roles]}
        )
    )
    assert prepared.prompt == b''.join(
        b'%b: \n' % one.encode() for one in roles
    )


async def test_options() -> None:
    """Guards against options that are read wrongly, and extra fields."""
    prepared = await _prepared(
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
    assert prepared.max_tokens == 7
    assert prepared.stream
    assert prepared.include_usage
    plain = await _prepared(_body('a', stream=None, stream_options=None))
    assert (plain.max_tokens, plain.stream) == (None, False)


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
    """Guards against a crash or a guess for a body that cannot be served."""
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
    size=st.integers(16, 40),
)
def test_pieces_decode_like_the_whole(
    text: str,
    escaped: bool,
    size: int,
) -> None:
    """Guards against cuts within an escape sequence or a character."""
    raw = msgspec.json.encode(text)
    if escaped:
        units = text.encode('utf-16-be')
        pairs = zip(units[::2], units[1::2], strict=True)
        raw = b'"%b"' % b''.join(
            b'%b%02x%02x' % (ESCAPE, *pair) for pair in pairs
        )
    target = bytearray()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(json_text, 'PIECE_BYTES', size)
        json_text.append_json_string(target, memoryview(raw))
    assert target.decode() == text


async def test_large_body_is_the_same_as_a_small_one() -> None:
    """Guards against a difference between the two ways of decoding."""
    text = 'zeile "ä"\n\U0001f600' * 50_000
    prepared = await _prepared(_body(text, 'x'))
    assert prepared.prompt == f'user: {text}\nuser: x\n'.encode()


async def test_body_over_the_limit_stops_being_read() -> None:
    """Guards against memory for a body that will be refused."""
    events = [
        {'type': 'http.request', 'body': b'x' * 600, 'more_body': True},
        {'type': 'http.request', 'body': b'x' * 600, 'more_body': True},
    ]

    async def receive() -> dict[str, Any]:
        return events.pop(0)

    outcome = await read_large_body(receive, 1000, 5)
    assert isinstance(outcome, Failure)
    assert outcome.kind is ErrorKind.TOO_LARGE
