"""Recognizes responses that the HTTP parser joins, and bytes between them.

A server can write an earlier response once more on a kept connection, and the
next response can cut it off. The HTTP parser reads both as one head: the
status of the earlier response with the headers and the body of the next one.
The status line of the next response is then within the reason phrase or
within a header:

    HTTP/1.1 200 HTTP/1.1 500 Error
"""

import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from operator import attrgetter
from typing import Final

import h11
import httpcore

from masticwind.http_limits import LimitedConnection

_STATUS_LINE: Final = re.compile(rb'HTTP/[0-9]\.[0-9] [0-9]{3}')
_CONTENT_LENGTH: Final = b'content-length'
_TRANSFER_ENCODING: Final = b'transfer-encoding'
_PROTOCOL: Final = attrgetter('_connection')
# Bytes that were received after the end of a response, in the same read.
_EXTRA_BYTES: Final = attrgetter('_h11_state.trailing_data')


def has_joined_head(response: httpcore.Response) -> bool:
    """Tell whether a head contains another head or contradictory lengths."""
    if _STATUS_LINE.search(response.extensions['reason_phrase']):
        return True
    names: list[bytes] = []
    for name, text in response.headers:
        if _STATUS_LINE.search(name) or _STATUS_LINE.search(text):
            return True
        names.append(name.lower())
    lengths = names.count(_CONTENT_LENGTH) + names.count(_TRANSFER_ENCODING)
    return lengths > 1


def has_extra_bytes(conn: LimitedConnection) -> bool:
    """Tell whether more than the response was read from an idle connection.

    They would be taken for the start of the next response.
    """
    protocol = _PROTOCOL(conn)
    if protocol is None:
        # Connecting has failed.
        return False
    extra, _ = _EXTRA_BYTES(protocol)
    return bool(extra) or conn.has_unread


class UnaskedBytesError(httpcore.RemoteProtocolError):
    """Bytes on a reused connection are no response."""


@asynccontextmanager
async def unasked_bytes(*, reused: bool) -> AsyncIterator[None]:
    """Raise `UnaskedBytesError` for bytes that cannot be parsed.

    On a reused connection, they may belong to an earlier response.
    """
    try:
        yield
    except httpcore.RemoteProtocolError as exc:
        # An early end of the connection has no cause.
        if reused and isinstance(exc.__cause__, h11.RemoteProtocolError):
            raise UnaskedBytesError(str(exc)) from exc
        raise
