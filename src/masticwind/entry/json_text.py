"""Decodes long JSON strings in pieces.

The JSON decoder holds the interpreter for the whole of a call. A string of
many megabytes is therefore cut where no escape sequence and no character is
split, and decoded piece by piece.
"""

import re
from typing import Final

import msgspec

PIECE_BYTES: Final = 262_144
# A surrogate pair, the longest escape sequence, has 12 bytes.
_NO_ESCAPE: Final = re.compile(rb'[^\\]{12}')
_TOKENS: Final = re.compile(
    rb'(?:[^\\]|\\u[dD][89abAB][^\\]{2}\\u[^\\]{4}'
    rb'|\\u(?![dD][89abAB])[^\\]{4}|\\[^u])*',
)
# How far back a cut is looked for before the piece is read from its start.
_WINDOW_BYTES: Final = 1024
_CONTINUATION_MASK: Final = 0xC0
_CONTINUATION: Final = 0x80
QUOTE: Final = b'"'


def append_json_string(target: bytearray, raw: memoryview) -> None:
    """Append the UTF-8 of a JSON string, given with its quotes.

    Raises `msgspec.DecodeError` for a string that is not valid.
    """
    start, end = 1, len(raw) - 1
    while start < end:
        piece = bytes(raw[start : min(end, start + PIECE_BYTES)])
        if start + len(piece) < end:
            piece = piece[: safe_split_index(piece)]
        text = msgspec.json.decode(QUOTE + piece + QUOTE, type=str)
        target.extend(text.encode())
        start += len(piece)


def safe_split_index(piece: bytes) -> int:
    """Return where to end a piece that more of the string follows."""
    window = max(0, len(piece) - _WINDOW_BYTES)
    cut = 0
    for found in _NO_ESCAPE.finditer(piece, window):
        cut = found.end()
    if not cut:
        tokens = _TOKENS.match(piece)
        cut = 0 if tokens is None else tokens.end()
    if not cut:
        return len(piece)
    return _character_start(piece, cut)


def _character_start(piece: bytes, cut: int) -> int:
    """Move a cut in front of a character that it would split."""
    start = cut
    while start > 1 and start < len(piece) and _continues(piece[start]):
        start -= 1
    if start == len(piece):
        # The character before the end may go on in the next piece.
        start -= 1
        while start > 1 and _continues(piece[start]):
            start -= 1
        if piece[start] < _CONTINUATION:
            start = cut
    return start


def _continues(byte: int) -> bool:
    return byte & _CONTINUATION_MASK == _CONTINUATION
