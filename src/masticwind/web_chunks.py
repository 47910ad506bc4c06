"""Finds slices of a chunked body that end before the next request begins."""

import re
from typing import Final

# Chunks that are parsed at once; a smaller slice costs more for each byte.
CHUNKS_PER_SLICE: Final = 64
LINE_END: Final = b'\n'
LINE_END_BYTES: Final = 2
HEXADECIMAL: Final = 16
# Longer sizes have leading zeros.
MAX_SIZE_CHARS: Final = 32
_SIZE: Final = re.compile(b'[0-9a-fA-F]+')


class ChunkSlices:
    """The place in one chunked body up to which slices have been found.

    Only the parser checks the body. This follows the sizes of the chunks, so
    that their content need not be searched. After the last chunk, and where a
    size is not understood, each slice is a line, with which any request ends.
    """

    def __init__(self) -> None:
        self._size_text = b''
        # What is missing of a chunk and the line end behind it.
        self._chunk_bytes = 0
        self._in_lines = False

    def find_end(self, content: bytes, begin: int) -> tuple[int, int]:
        """Return the end of the next slice, and the chunks that begin in it."""
        end = begin
        for count in range(CHUNKS_PER_SLICE):
            size = min(self._chunk_bytes, len(content) - end)
            self._chunk_bytes -= size
            end += size
            if end == len(content):
                return end, count
            end = self._end_line(content, end)
            if self._in_lines or not self._chunk_bytes:
                return end, count
        return end, CHUNKS_PER_SLICE

    def _end_line(self, content: bytes, begin: int) -> int:
        """Return the end of a line; read the size of a chunk from it."""
        found = content.find(LINE_END, begin)
        end = len(content) if found < 0 else found + 1
        if self._in_lines:
            return end
        self._size_text += content[begin : min(end, begin + MAX_SIZE_CHARS)]
        if found >= 0:
            self._begin_chunk()
        return end

    def _begin_chunk(self) -> None:
        digits = _SIZE.match(self._size_text[:MAX_SIZE_CHARS])
        size = int(digits[0], HEXADECIMAL) if digits else 0
        self._size_text = b''
        if size:
            self._chunk_bytes = size + LINE_END_BYTES
        else:
            self._in_lines = True
