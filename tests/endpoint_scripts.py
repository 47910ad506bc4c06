"""Scripts with which a raw endpoint sends faulty answers."""

import anyio

from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)


async def answer_wrong_endpoint(
    _req: ReceivedRequest, conn: RawConnection
) -> None:
    """Answer 421, as if another endpoint now had this address."""
    await conn.write(
        b'HTTP/1.1 421 Misdirected\r\nX-Instance-Id: i-9\r\n'
        b'Content-Length: 0\r\n\r\n'
    )


async def close_without_answer(
    _req: ReceivedRequest, conn: RawConnection
) -> None:
    """Close the connection without an answer."""
    await conn.close()


async def truncate_body(req: ReceivedRequest, conn: RawConnection) -> None:
    """Close the connection within the body."""
    await conn.write(encode_head(req, 200, ('Content-Length: 50',)))
    await conn.write(b'half')
    await conn.close()


async def answer_other_request(
    _req: ReceivedRequest, conn: RawConnection
) -> None:
    """Answer with the request id of another request."""
    await conn.write(
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n'
        b'Content-Length: 5\r\n\r\nother'
    )


async def send_invalid_http(_req: ReceivedRequest, conn: RawConnection) -> None:
    """Send bytes that are not HTTP."""
    await conn.write(b'\x15\x03\x01 nothing known\r\n\r\n')
    await conn.close()


async def refuse(req: ReceivedRequest, conn: RawConnection) -> None:
    """Refuse a request, which has not run."""
    await conn.write(
        encode_head(req, 503, ('X-Not-Executed: 1', 'Content-Length: 0'))
    )


async def stay_silent(_req: ReceivedRequest, _conn: RawConnection) -> None:
    """Write nothing and keep the connection."""
    await anyio.sleep_forever()
