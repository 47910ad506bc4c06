"""Frames of the inner protocol: a CBOR array of messages.

A frame carries all messages that are queued for a connection, up to a size
limit, so that one token each of many streams costs one frame in total.
"""

from collections.abc import Sequence
from functools import partial
from typing import Final

import cbor2
import msgspec

from masticwind.decoding import parse_with
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import AnyMessage, Message

MAX_FRAME_BYTES: Final = 1_048_576
MAX_HANDSHAKE_BYTES: Final = 4096
MAX_MESSAGES_PER_FRAME: Final = 512


def encode_frame(messages: Sequence[Message]) -> bytes:
    """Return a frame that carries `messages` in this order."""
    return cbor2.dumps(
        [
            msgspec.to_builtins(message, builtin_types=(bytes,))
            for message in messages
        ]
    )


def decode_frame(frame: bytes) -> list[AnyMessage] | Failure:
    """Return the messages of a frame.

    Returns a `Failure` of kind `bad_request` unless the frame is an array of
    known messages whose fields have valid types and ranges.
    """
    raw: object = parse_with(cbor2.loads, frame, ErrorKind.BAD_REQUEST)
    if isinstance(raw, Failure):
        return raw
    if not isinstance(raw, list) or len(raw) > MAX_MESSAGES_PER_FRAME:
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason='the frame is not an array of messages',
        )
    convert = partial(msgspec.convert, type=list[AnyMessage])
    return parse_with(convert, raw, ErrorKind.BAD_REQUEST)
