"""Decodes long JSON strings in pieces.

The JSON decoder holds the interpreter lock during a call. A string of many
megabytes is therefore decoded in pieces, which are split neither within an
escape sequence nor within a UTF-8 character.
"""

import re
from typing import Final

import msgspec

PIECE_BYTES: Final = 262_144
# The longest escape sequence, a surrogate pair, has 12 bytes, so that a split
# after 12 bytes without a backslash is outside of any escape sequence.
_NO_ESCAPE: Final = re.compile(rb'[^\\]{12}')
_COMPLETE_CHARACTERS: Final = re.compile(
    rb'(?:[^\\]|\\u[dD][89abAB][^\\]{2}\\u[^\\]{4}'
    rb'|\\u(?![dD][89abAB])[^\\]{4}|\\[^u])*',
)
# Length of the end of a piece that is searched for such a split. If there is
# none, the piece is parsed from its start.
_SEARCH_WINDOW_BYTES: Final = 1024
_CONTINUATION_MASK: Final = 0xC0
_CONTINUATION_BITS: Final = 0x80
QUOTE: Final = b'"'


def append_json_string(output: bytearray, raw: memoryview) -> None:
    """Append the decoded UTF-8 bytes of a JSON string with its quotes.

    Raises `msgspec.DecodeError` for an invalid string.
    """
    start, end = 1, len(raw) - 1
    while start < end:
        piece = bytes(raw[start : min(end, start + PIECE_BYTES)])
        if start + len(piece) < end:
            piece = piece[: safe_split_index(piece)]
        text = msgspec.json.decode(QUOTE + piece + QUOTE, type=str)
        output.extend(text.encode())
        start += len(piece)


def safe_split_index(piece: bytes) -> int:
    """Return where to end a piece that is not the last of its string."""
    search_start = max(0, len(piece) - _SEARCH_WINDOW_BYTES)
    split = 0
    for match in _NO_ESCAPE.finditer(piece, search_start):
        split = match.end()
    if not split:
        complete = _COMPLETE_CHARACTERS.match(piece)
        split = 0 if complete is None else complete.end()
    if not split:
        return len(piece)
    return _character_start(piece, split)


def _character_start(piece: bytes, split: int) -> int:
    """Move a split to the start of the UTF-8 character that it is within."""
    start = split
    while start > 1 and start < len(piece) and _is_continuation(piece[start]):
        start -= 1
    if start == len(piece):
        # The last character may continue in the next piece.
        start -= 1
        while start > 1 and _is_continuation(piece[start]):
            start -= 1
        if piece[start] < _CONTINUATION_BITS:
            start = split
    return start


def _is_continuation(byte: int) -> bool:
    return byte & _CONTINUATION_MASK == _CONTINUATION_BITS
