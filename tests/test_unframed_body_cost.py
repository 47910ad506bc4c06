"""What the search for a copy costs in a body without a length."""

import time
from collections.abc import AsyncIterator
from typing import Final

import pytest

from masticwind.http_limits import MAX_READ_BYTES
from masticwind.httpclient import BrokenStreamError
from masticwind.platform.unframed_bodies import stop_at_copy

pytestmark = pytest.mark.anyio

# What the tests of the event loop allow.
MAX_STALL_S: Final = 0.1


async def once(content: bytes) -> AsyncIterator[bytes]:
    """Return a body that is received in one read."""
    yield content


@pytest.mark.parametrize(
    'part',
    [
        b'HTTP/1.1 200 ',
        b'a:HTTP/1.1 200 \r\n',
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\n',
        b'X-Attempt-Id: r1\r\n',
        b'\r\n',
    ],
)
async def test_body_of_repeated_status_lines_does_not_stall_the_entry(
    part: bytes,
) -> None:
    """Guards against a search whose time grows with the square of a read."""
    content = part * (MAX_READ_BYTES // len(part))
    began_at = time.process_time()
    try:
        async for _ in stop_at_copy(once(content), 200, 'r1'):
            pass
    except BrokenStreamError:
        # The body may end like a copy that is cut off.
        pass
    assert time.process_time() - began_at < MAX_STALL_S
