"""Bytes without end, in each part of an HTTP/1.1 answer."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import Final

import anyio

from masticwind_dev.standins.raw_endpoint import RawConnection

HUGE_LENGTH_BYTES: Final = 10**15


class EndlessForm(StrEnum):
    """The part of an answer that does not end."""

    BODY_WITHOUT_LENGTH = 'body_without_length'
    CHUNKS = 'chunks'
    HUGE_LENGTH = 'huge_length'
    INFORMATIONAL = 'informational'
    HEAD_LINES = 'head_lines'
    TRAILERS = 'trailers'
    CHUNK_EXTENSION = 'chunk_extension'
    EVENT_LINE = 'event_line'
    COMMENTS = 'comments'


@dataclass(frozen=True, slots=True)
class Rate:
    """How many bytes are written at once, and how often."""

    block_bytes: int
    interval_s: float


FAST: Final = Rate(65_536, 0.01)
DRIPPING: Final = Rate(64, 0.1)


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """What an answer begins with, and what is written again and again."""

    start: bytes
    block: bytes

    async def write(self, conn: RawConnection, rate: Rate) -> None:
        """Write until the reader closes the connection, which raises."""
        await conn.write(self.start)
        while True:
            await conn.write(self.block)
            await anyio.sleep(rate.interval_s)


def encode_endless(
    form: EndlessForm, lines: Sequence[str], rate: Rate
) -> EndlessAnswer:
    """Return an answer whose head has these header lines.

    For example, `encode_endless(EndlessForm.CHUNKS, lines, FAST)` begins with
    a head and goes on with chunks.
    """
    part = _PARTS[form]
    status_line = part.status_line
    head = _encode_head(status_line, *lines, *part.lines)
    if form is EndlessForm.INFORMATIONAL:
        return EndlessAnswer(b'', _repeat(_encode_head(status_line), rate))
    if form is EndlessForm.HEAD_LINES:
        head = head.removesuffix(CRLF)
    block = _repeat(part.block, rate)
    if form in _CHUNKED_BLOCKS:
        block = _encode_chunk(block)
    return EndlessAnswer(b''.join((head, part.start)), block)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Part:
    """The head, the start of the body, and what is repeated."""

    lines: tuple[str, ...] = ()
    start: bytes = b''
    block: bytes = b'x'
    status_line: str = 'HTTP/1.1 200 Answer'


CRLF: Final = b'\r\n'
_CHUNKED: Final = ('Transfer-Encoding: chunked',)
_EVENTS: Final = (*_CHUNKED, 'Content-Type: text/event-stream')
_PARTS: Final = MappingProxyType(
    {
        EndlessForm.BODY_WITHOUT_LENGTH: _Part(),
        EndlessForm.CHUNKS: _Part(lines=_CHUNKED),
        EndlessForm.HUGE_LENGTH: _Part(
            lines=(f'Content-Length: {HUGE_LENGTH_BYTES}',)
        ),
        EndlessForm.INFORMATIONAL: _Part(status_line='HTTP/1.1 102 Processing'),
        EndlessForm.HEAD_LINES: _Part(block=b'X-Line: more\r\n'),
        EndlessForm.TRAILERS: _Part(
            lines=_CHUNKED,
            start=b'1\r\nx\r\n0\r\n',
            block=b'X-Trailer: more\r\n',
        ),
        EndlessForm.CHUNK_EXTENSION: _Part(
            lines=_CHUNKED, start=b'1;extension='
        ),
        EndlessForm.EVENT_LINE: _Part(
            lines=_EVENTS, start=b'd\r\nid: 1\ndata: x\r\n'
        ),
        EndlessForm.COMMENTS: _Part(lines=_EVENTS, block=b': more\n\n'),
    }
)
_CHUNKED_BLOCKS: Final = frozenset(
    (EndlessForm.CHUNKS, EndlessForm.EVENT_LINE, EndlessForm.COMMENTS)
)


def _encode_head(*lines: str) -> bytes:
    return '\r\n'.join((*lines, '', '')).encode()


def _encode_chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


def _repeat(content: bytes, rate: Rate) -> bytes:
    """Return whole lines, about as many bytes as the rate names."""
    return content * max(1, rate.block_bytes // len(content))
