"""Frames of the inner protocol: a CBOR array of messages.

One frame carries all messages that wait for a connection, up to a size, so
that many streams with a token each cost one frame and not one each.
"""

from collections.abc import Sequence
from typing import Final

import cbor2
import msgspec

from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.messages import AnyMessage, Message

MAX_FRAME_BYTES: Final = 1_048_576
MAX_HANDSHAKE_BYTES: Final = 4096
MAX_MESSAGES_PER_FRAME: Final = 512


def encode_frame(messages: Sequence[Message]) -> bytes:
    """Return the frame that carries `messages` in their order."""
    return cbor2.dumps(
        [
            msgspec.to_builtins(message, builtin_types=(bytes,))
            for message in messages
        ]
    )


def decode_frame(frame: bytes) -> list[AnyMessage] | Failure:
    """Return the messages of a frame.

    Returns a `Failure` of kind `bad_request` for anything that is not a
    frame of known messages with fields of the right types and ranges.
    """
    try:
        raw = cbor2.loads(frame)
    except (
        Exception
    ) as exc:  # cbor2 raises several unrelated types on bad input
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason=f'not CBOR: {type(exc).__name__}',
        )
    if not isinstance(raw, list) or len(raw) > MAX_MESSAGES_PER_FRAME:
        return Failure(
            kind=ErrorKind.BAD_REQUEST,
            reason='not an array of messages',
        )
    try:
        return msgspec.convert(raw, type=list[AnyMessage])
    except (msgspec.ValidationError, TypeError, RecursionError) as exc:
        return Failure(kind=ErrorKind.BAD_REQUEST, reason=str(exc))
