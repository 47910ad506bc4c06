"""Long answers of stand-in engines, in each of the framings of HTTP/1.1."""

from typing import Final

import anyio

from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)
from tests.flood_clients import SLOW_REQUEST_S

ANSWER_BYTES: Final = 1_000_000
PIECE_BYTES: Final = 10_000
EVENT_PIECES: Final = ANSWER_BYTES // PIECE_BYTES
_PIECE: Final = b'x' * PIECE_BYTES


async def answer_at_length(req: ReceivedRequest, conn: RawConnection) -> None:
    """Answer with 1 MB, framed as the last part of the path says.

    A path that ends with `slow` gets a short answer after `SLOW_REQUEST_S`.
    """
    form = req.target.rpartition('/')[2]
    if form == 'slow':
        await anyio.sleep(SLOW_REQUEST_S)
        await conn.send_answer(req)
    elif form == 'chunked':
        await conn.write(encode_head(req, 200, ('Transfer-Encoding: chunked',)))
        for _ in range(EVENT_PIECES):
            await conn.write(b'%x\r\n%b\r\n' % (PIECE_BYTES, _PIECE))
        await conn.write(LAST_CHUNK)
    elif form == 'unframed':
        await conn.write(encode_head(req, 200, ('Connection: close',)))
        for _ in range(EVENT_PIECES):
            await conn.write(_PIECE)
        await conn.close()
    elif form == 'length':
        await conn.send_answer(req, body=_PIECE * EVENT_PIECES)
    else:
        await _send_events(req, conn)


async def _send_events(req: ReceivedRequest, conn: RawConnection) -> None:
    await conn.write(encode_stream_head(req))
    for number in range(EVENT_PIECES):
        await conn.write(encode_event_chunk(number + 1, _PIECE.decode()))
    await conn.write(LAST_CHUNK)
