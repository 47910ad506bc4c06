"""Answers that an endpoint writes before it has read a long body."""

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from itertools import product
from typing import Final

import anyio

from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    Script,
    encode_event,
)
from tests.entry_harness import answer_completely, answer_with_events

Ending = Callable[[RawConnection], Awaitable[None]]

# The first fits into the buffers of the kernel, the second does not, so that
# the sender waits in the middle of it.
BUFFERED_BYTES: Final = 300_000
LONG_BYTES: Final = 4_000_000
CUTS: Final = ('in the head', 'after the head', 'in the body')
FRAMINGS: Final = ('Content-Length: 400', 'Transfer-Encoding: chunked', '')
DELAYS_S: Final = (0, 0.01, 0.2)
# Time in which a FIN arrives before the reset that follows it.
FIN_S: Final = 0.02


async def reset(conn: RawConnection) -> None:
    """Reset the connection."""
    await conn.reset()


async def finish_then_reset(conn: RawConnection) -> None:
    """Send a FIN, then reset the connection as the upload goes on."""
    await conn.stream.send_eof()
    await anyio.sleep(FIN_S)
    await conn.reset()


@dataclass(frozen=True, slots=True)
class EarlyAnswer:
    """An answer that ends too early."""

    framing: str
    cut: str
    delay_s: float
    end: Ending
    part: bytes = b''

    async def __call__(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request."""
        content = encode_early_head(req, self.framing)
        if self.cut == 'in the head':
            content = content[:-2]
        elif self.cut == 'in the body':
            last = int(req.headers.get('last-event-id', '0'))
            part = self.part or encode_event(last + 1)
            if 'chunked' in self.framing:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            content += part
        await conn.write(content)
        await anyio.sleep(self.delay_s)
        await self.end(conn)


def encode_early_head(req: ReceivedRequest, framing: str) -> bytes:
    """Return the head of an answer that may be one to any kind of request."""
    lines = (
        'HTTP/1.1 200 OK',
        f'X-Attempt-Id: {req.headers.get("x-attempt-id", "")}',
        'X-Server-Seal: s',
        'Content-Type: text/event-stream',
        *filter(None, (framing,)),
    )
    return '\r\n'.join((*lines, '', '')).encode()


def early_answers(end: Ending, part: bytes = b'') -> Iterator[EarlyAnswer]:
    """Return answers that end too early, in each way."""
    for framing, cut, delay_s in product(FRAMINGS, CUTS, DELAYS_S):
        yield EarlyAnswer(framing, cut, delay_s, end, part)


def has_body(req: ReceivedRequest) -> bool:
    """Tell whether a request has a body, which is not read yet."""
    return int(req.headers.get('content-length', '0')) > 0


class EarlyEndpoint(RawEndpoint):
    """Answers requests with a body by `answer`, before it reads the body."""

    def __init__(self) -> None:
        super().__init__(self._answer, has_body)
        self.answer: Script = answer_completely

    async def _answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        await (self.answer if has_body(req) else answer_soundly)(req, conn)


async def answer_soundly(req: ReceivedRequest, conn: RawConnection) -> None:
    """Answer completely; prompts are streamed."""
    is_prompt = 'x-token-counts' in req.headers
    await (answer_with_events if is_prompt else answer_completely)(req, conn)
