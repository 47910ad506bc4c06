"""Sends bytes to an entry, and takes its answers apart."""

from collections.abc import Sequence
from typing import Final

import anyio
import h11
from anyio.abc import SocketStream

PIECE_INTERVAL_S: Final = 0.003
ANSWER_TIMEOUT_S: Final = 5.0
Answer = tuple[int, bytes]


async def exchange(port: int, pieces: Sequence[bytes]) -> bytes:
    """Send each piece; return what is received until the server closes."""
    stream = await anyio.connect_tcp('127.0.0.1', port)
    async with stream:
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            await _send_until_closed(stream, pieces)
            return await _receive_until_closed(stream)


def parse_answers(received: bytes) -> list[Answer]:
    """Return the status and body of each answer, other than status 100."""
    answers: list[Answer] = []
    while received:
        answer, received = _parse_answer(received)
        answers.append(answer)
    return answers


async def _send_until_closed(
    stream: SocketStream, pieces: Sequence[bytes]
) -> None:
    for piece in pieces:
        try:
            await stream.send(piece)
        except anyio.BrokenResourceError:
            return
        await anyio.sleep(PIECE_INTERVAL_S)


async def _receive_until_closed(stream: SocketStream) -> bytes:
    received = b''
    while True:
        try:
            received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


def _parse_answer(received: bytes) -> tuple[Answer, bytes]:
    """Return the first answer, and what follows it."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method='GET', target='/', headers=[('host', '')]))
    conn.receive_data(received)
    status = 0
    body = b''
    event = conn.next_event()
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            assert isinstance(event, h11.InformationalResponse)
        event = conn.next_event()
    return (status, body), conn.trailing_data[0]
