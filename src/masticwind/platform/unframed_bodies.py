"""Bodies that end with their connection, and copies of the answer in them.

An endpoint can write an answer twice. If its length is not declared, the
second one would be read as a part of the body.
"""

import re
from collections.abc import AsyncIterator
from typing import Final

from masticwind.httpclient import BrokenStreamError

# A copy's head up to its id is shorter than this.
MAX_HEAD_BYTES: Final = 8192
_HEADER_LINES: Final = rb'(?:[!-9;-~]+:[^\r\n]*\r\n)*'


async def stop_at_copy(
    chunks: AsyncIterator[bytes], status: int, request_id: str
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; raise `BrokenStreamError` at a copy.

    A copy has the status and the id of the request, or is cut off by the end
    of the body before its id.
    """
    status_line = rb'HTTP/1\.[01] %d[^\r\n]*' % status
    head = rb'%b\r\n%b' % (status_line, _HEADER_LINES)
    name = re.escape(request_id.encode('latin-1'))
    copy = re.compile(rb'%b(?i:x-attempt-id): *%b *\r\n' % (head, name))
    cut_off = re.compile(
        rb'(?:%b\r?|%b[!-9;-~]*(?::[^\r\n]*)?\r?)\Z' % (status_line, head)
    )
    tail = b''
    async for chunk in chunks:
        tail = tail[-MAX_HEAD_BYTES:] + chunk
        if copy.search(tail):
            raise BrokenStreamError('the answer was written twice')
        yield chunk
    if cut_off.search(tail[-MAX_HEAD_BYTES:]):
        raise BrokenStreamError('the answer was written twice, cut off')
