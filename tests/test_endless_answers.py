"""Engines and callers that send without end to a real entry process."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Final

import anyio
import pytest
from anyio.abc import TaskGroup

from masticwind.memory_shares import BUFFERS_SHARE
from masticwind_dev.standins.raw_endpoint import (
    RawConnection,
    ReceivedRequest,
    encode_head,
)
from tests.stopping_entry import (
    StoppingEntry,
    call_head,
    connect,
    running_stopping_entry,
    stream_head,
)

pytestmark = pytest.mark.anyio

# The smallest machine of an entry.
MACHINE_MB: Final = 232
# What buffers may add to the memory of an idle entry process.
MAX_GROWTH_MB: Final = MACHINE_MB / 4
KB_PER_MB: Final = 1024
CALLERS: Final = 150
SLOTS: Final = 200
PIECE_BYTES: Final = 65_536
HELD_S: Final = 2.5
# Of a request whose own engine is sound.
SOUND_ANSWER_S: Final = 2.0
RECEIVE_BUFFER: Final = 4096
# The longest body that is allowed.
BODY_BYTES: Final = 4_194_304


@dataclass(slots=True)
class EndlessAnswer:
    """Sends a start, and then the same bytes until the connection breaks."""

    start: bytes
    repeated: bytes
    headed: bool = True
    open_connections: int = 0
    connections: int = 0

    async def __call__(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request."""
        piece = self.repeated * (PIECE_BYTES // len(self.repeated))
        head = encode_head(req, 200, ())[:-2] if self.headed else b''
        self.connections += 1
        self.open_connections += 1
        try:
            await conn.write(head + self.start)
            while True:
                await conn.write(piece)
        finally:
            self.open_connections -= 1


CHUNKED: Final = b'Transfer-Encoding: chunked\r\n\r\n'
EVENTS: Final = b'Content-Type: text/event-stream\r\n\r\n'
FORMS: Final = MappingProxyType(
    {
        'no-head': (b'', b'x', False),
        'header': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x', False),
        'headers': (b'HTTP/1.1 200 OK\r\n', b'X-Name: y\r\n', False),
        'informational': (b'', b'HTTP/1.1 100 Continue\r\n\r\n', False),
        'unframed-body': (b'\r\n', b'x', True),
        'chunks': (CHUNKED, b'3e8\r\n%b\r\n' % (b'x' * 1000), True),
        'small-chunks': (CHUNKED, b'1\r\nx\r\n', True),
        'long-body': (b'Content-Length: 99999999999\r\n\r\n', b'x', True),
        'chunk-extension': (b'%b1;' % CHUNKED, b'x', True),
        'trailers': (b'%b0\r\n' % CHUNKED, b'X-Name: y\r\n', True),
        'event-line': (b'%bid: 1\ndata: ' % EVENTS, b'x', True),
        'comments': (EVENTS, b': x\n', True),
        'whole-comments': (EVENTS, b': x\n\n', True),
    }
)
STREAM_FORMS: Final = ('event-line', 'comments', 'whole-comments')


def _peak_mb(entry: StoppingEntry) -> float:
    """Return the peak of the resident memory of the entry process."""
    status = Path(f'/proc/{entry.process.pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmHWM:')
    )
    return int(line.split()[1]) / KB_PER_MB


async def _call_without_reading(entry: StoppingEntry, head: bytes) -> None:
    async with await connect(entry.port, RECEIVE_BUFFER) as conn:
        await conn.send(head)
        await anyio.sleep(HELD_S)


@asynccontextmanager
async def _held_callers(
    entry: StoppingEntry, *, streams: bool
) -> AsyncIterator[TaskGroup]:
    """Run callers that do not read, until they close."""
    head = stream_head if streams else call_head
    async with anyio.create_task_group() as callers:
        for number in range(CALLERS):
            callers.start_soon(
                _call_without_reading, entry, head(f'faulty-{number}')
            )
        yield callers


@pytest.mark.parametrize('form', FORMS)
async def test_memory_is_bounded_while_engines_send_without_end(
    form: str,
) -> None:
    """Guards against an entry that buffers answers without end until its
    machine has no memory left, or serves nobody else meanwhile.
    """
    answer = EndlessAnswer(*FORMS[form])
    streams = form in STREAM_FORMS
    sound_head = call_head if streams else stream_head
    async with running_stopping_entry(slots=SLOTS) as entry:
        entry.fault = answer
        entry.stream_s = 0.1
        idle_mb = _peak_mb(entry)
        slowest_s = 0.0
        async with _held_callers(entry, streams=streams):
            await anyio.sleep(0.1)
            for number in range(8):
                sent_at = time.monotonic()
                with anyio.fail_after(SOUND_ANSWER_S):
                    sound = await entry.request(sound_head(f'sound-{number}'))
                assert sound.status == 200
                assert sound.is_complete
                slowest_s = max(slowest_s, time.monotonic() - sent_at)
        growth_mb = _peak_mb(entry) - idle_mb
        with anyio.fail_after(3):
            while answer.open_connections:
                await anyio.sleep(0.02)
    print(
        f'{form}: {idle_mb:.0f} MB and {growth_mb:.0f} MB more, '
        f'sound answers within {slowest_s:.2f} s'
    )
    assert answer.connections
    assert growth_mb <= MAX_GROWTH_MB


async def _send_body(entry: StoppingEntry, request_id: str) -> None:
    """Send all but the end of a long body, as far as it is read."""
    head = call_head(request_id).replace(
        b'Content-Length: 0', b'Content-Length: %d' % BODY_BYTES
    )
    async with await entry.connect() as conn:
        with anyio.move_on_after(HELD_S), suppress(anyio.BrokenResourceError):
            await conn.send(head)
            for _ in range(BODY_BYTES // PIECE_BYTES - 1):
                await conn.send(b'x' * PIECE_BYTES)
            await anyio.sleep(HELD_S)


async def test_memory_is_bounded_while_callers_send_long_bodies() -> None:
    """Guards against callers that fill the memory with bodies, each of which
    is allowed.
    """
    async with running_stopping_entry(slots=SLOTS) as entry:
        idle_mb = _peak_mb(entry)
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(_send_body, entry, f'body-{number}')
            await anyio.sleep(0.5)
            with anyio.fail_after(SOUND_ANSWER_S):
                sound = await entry.request(call_head('sound'))
            assert sound.status == 200
        growth_mb = _peak_mb(entry) - idle_mb
        refused = [
            line
            for line in entry.log_lines('request_failed')
            if line['kind'] == 'overloaded'
        ]
        after = await entry.request(call_head('after'))
    print(f'bodies: {growth_mb:.0f} MB more, {len(refused)} refused')
    assert len(refused) > CALLERS / 2
    assert after.status == 200
    assert not any(one.startswith('body') for one in entry.received)
    assert growth_mb <= MAX_GROWTH_MB + MACHINE_MB * BUFFERS_SHARE
