"""Decodes a large JSON document without holding the interpreter lock.

A decoder in C holds the lock for its whole call, so that the other threads
stop meanwhile: for 9 MB, 50 to 110 ms. This reader takes the outer objects
apart itself and calls the decoder once for each item within. The scanner of the
standard library only finds the end of an item.
"""

import json
import re
from typing import Final, NoReturn

import msgspec

# Of the document itself, and of its sections.
OUTER_LEVELS: Final = 2
_SCANNER: Final = json.JSONDecoder()
_SPACE: Final = re.compile(r'[ \t\n\r]*')


def decode_by_item(body: bytes | bytearray) -> object:
    """Return the content of a JSON document.

    Raises `ValueError` or `msgspec.DecodeError` if the document is not JSON,
    and `RecursionError` if it is nested too deeply.

    >>> decode_by_item(b'{"teams": {"crews": {"tier": "paid"}}}')
    {'teams': {'crews': {'tier': 'paid'}}}
    """
    reader = _Reader(body.decode())
    content = reader.read_value(OUTER_LEVELS)
    reader.expect_end()
    return content


class _Reader:
    """A position in a JSON text."""

    def __init__(self, text: str) -> None:
        self._text: Final = text
        self._position = 0
        self._skip_space()

    def read_value(self, levels: int) -> object:
        """Read the next value; take objects apart down to `levels`."""
        if levels and self._next_character() == '{':
            return self._read_object(levels)
        end = _SCANNER.raw_decode(self._text, self._position)[1]
        content = msgspec.json.decode(self._text[self._position : end])
        self._position = end
        self._skip_space()
        return content

    def expect_end(self) -> None:
        """Raise `ValueError` if something follows."""
        if self._position != len(self._text):
            self._raise_unexpected()

    def _read_object(self, levels: int) -> dict[str, object]:
        members: dict[str, object] = {}
        self._expect('{')
        if self._next_character() == '}':
            self._expect('}')
            return members
        while True:
            name = self.read_value(0)
            if not isinstance(name, str):
                self._raise_unexpected()
            self._expect(':')
            members[name] = self.read_value(levels - 1)
            if self._next_character() != ',':
                break
            self._expect(',')
        self._expect('}')
        return members

    def _next_character(self) -> str:
        return self._text[self._position : self._position + 1]

    def _expect(self, character: str) -> None:
        if self._next_character() != character:
            self._raise_unexpected()
        self._position += 1
        self._skip_space()

    def _skip_space(self) -> None:
        match = _SPACE.match(self._text, self._position)
        if match is not None:
            self._position = match.end()

    def _raise_unexpected(self) -> NoReturn:
        raise ValueError(f'expected JSON at character {self._position}')
