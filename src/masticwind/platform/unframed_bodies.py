"""Bodies that end with their connection, and copies of the answer in them.

An endpoint can write an answer twice. If its length is not declared, the
second one would be read as a part of the body.
"""

import re
from collections.abc import AsyncIterator, Iterator
from typing import Final

from masticwind.httpclient import BrokenStreamError

# A copy's head up to its id is shorter than this.
MAX_HEAD_BYTES: Final = 8192
_HEADER_LINES: Final = re.compile(rb'(?:\r\n[!-9;-~]+:[^\r\n]*(?=\r\n))*+')
_CUT_OFF_LINE: Final = re.compile(rb'\r\n[!-9;-~]*(?::[^\r\n]*)?\r?')
_LINE_ENDS: Final = frozenset((b'', b'\r'))


async def stop_at_copy(
    chunks: AsyncIterator[bytes], status: int, request_id: str
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; raise `BrokenStreamError` at a copy.

    A copy has the status and the id of the request, or is cut off by the end
    of the body before its id.
    """
    status_line = re.compile(rb'HTTP/1\.[01] %d[^\r\n]*' % status)
    name = re.escape(request_id.encode('latin-1'))
    id_line = re.compile(rb'\r\n(?i:x-attempt-id): *%b *(?=\r\n)' % name)
    tail = b''
    async for chunk in chunks:
        tail = tail[-MAX_HEAD_BYTES:] + chunk
        for _, begin, end in _find_heads(status_line, tail):
            # The line end behind the last header is included.
            if id_line.search(tail, begin, end + len(b'\r\n')):
                raise BrokenStreamError('the answer was written twice')
        yield chunk
    tail = tail[-MAX_HEAD_BYTES:]
    for line_end, _, end in _find_heads(status_line, tail):
        if tail[line_end:] in _LINE_ENDS or _CUT_OFF_LINE.fullmatch(tail, end):
            raise BrokenStreamError('the answer was written twice, cut off')


def _find_heads(
    status_line: re.Pattern[bytes], content: bytes
) -> Iterator[tuple[int, int, int]]:
    """Return the ends of the status lines, and the spans of their headers.

    Each line is searched once, as headers are skipped that follow a status
    line: a head that begins within them ends where they end.
    """
    begin = 0
    while match := status_line.search(content, begin):
        headers = _HEADER_LINES.match(content, match.end())
        begin = headers.end() if headers else match.end()
        yield match.end(), match.end(), begin
