"""A program whose connections send without end and read nothing.

It runs in a process of its own, so that it delays neither the store nor the
engines of a test:

    python -m tests.flood_clients few-unrouted 18081 5
"""

import contextlib
import random
import selectors
import socket
import struct
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, Literal

from tests.stopping_entry import call_head, stream_head

BLOCK_BYTES: Final = 65_536
CONNECT_PAUSE_S: Final = 0.02
HALF_CLOSED_S: Final = 1.0
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
FEW: Final = 8
MANY: Final = 100
# More than the descriptors that the test leaves to the entry.
CROWD: Final = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class Flood:
    """What each of several connections sends.

    A connection sends `first` once and then `block` again and again. `end` is
    what it does after `end_after_bytes`. It waits for `pause_s` after each
    block.
    """

    block: bytes
    connections: int = FEW
    first: bytes = b''
    end: Literal['', 'close', 'reset', 'half'] = ''
    end_after_bytes: int = 0
    pause_s: float = 0.0


def _repeated(request: bytes) -> bytes:
    return request * (BLOCK_BYTES // len(request))


_UNROUTED = _repeated(b'GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n')
_WITHOUT_KEY = _repeated(
    b'GET /read/a HTTP/1.1\r\nhost: fleet.example\r\n'
    b'x-attempt-id: f\r\nx-deadline-ms: 9000\r\n\r\n'
)
_SERVED = _repeated(call_head('flood', '/read/a'))
_INTERNAL = _repeated(b'GET /-/readiness HTTP/1.1\r\nhost: x\r\n\r\n')
_CHUNKED_HEAD = call_head('flood', '/read/a').replace(
    b'Content-Length: 0', b'Transfer-Encoding: chunked'
)
_ONE_BYTE_CHUNKS = _repeated(b'1\r\nx\r\n')
_HEAD_LINES = b'GET /read/a HTTP/1.1\r\nhost: fleet.example\r\n'

FLOODS: Final[Mapping[str, Flood]] = MappingProxyType(
    {
        'few-unrouted': Flood(block=_UNROUTED),
        'many-unrouted': Flood(block=_UNROUTED, connections=MANY),
        'few-without-key': Flood(block=_WITHOUT_KEY),
        'many-without-key': Flood(block=_WITHOUT_KEY, connections=MANY),
        'few-served': Flood(block=_SERVED),
        'many-served': Flood(block=_SERVED, connections=MANY),
        'few-internal': Flood(block=_INTERNAL),
        'many-internal': Flood(block=_INTERNAL, connections=MANY),
        'streams': Flood(
            block=_repeated(stream_head('flood')), connections=MANY
        ),
        'opened-and-closed': Flood(
            block=_UNROUTED[:2000],
            connections=MANY,
            end='close',
            end_after_bytes=2000,
        ),
        'half-closed': Flood(
            block=_SERVED, connections=MANY, end='half', end_after_bytes=300_000
        ),
        'resets': Flood(
            block=_SERVED,
            connections=MANY,
            end='reset',
            end_after_bytes=300_000,
        ),
        'one-byte-chunks': Flood(
            first=_CHUNKED_HEAD, block=_ONE_BYTE_CHUNKS, connections=MANY
        ),
        'chunked-requests': Flood(
            block=_repeated(b'%b1\r\nx\r\n0\r\n\r\n' % _CHUNKED_HEAD),
            connections=MANY,
        ),
        'bodies': Flood(
            first=call_head('flood', '/read/a').replace(
                b'Content-Length: 0', b'Content-Length: 4000000'
            ),
            block=b'x' * 1000,
            connections=MANY,
            pause_s=0.05,
        ),
        'large-heads': Flood(
            first=_HEAD_LINES, block=b'x-pad: abcdefgh\r\n', connections=MANY
        ),
        'endless-heads': Flood(
            first=_HEAD_LINES,
            block=b'x-pad: a\r\n',
            connections=CROWD,
            pause_s=0.5,
        ),
    }
)


class FloodConnection:
    """One connection, which is opened again whenever it is closed."""

    def __init__(self, flood: Flood, port: int) -> None:
        self._flood: Final = flood
        self._port: Final = port
        self._sock: socket.socket | None = None
        self._unsent = memoryview(b'')
        self._sent_bytes = 0
        self._is_half_closed = False
        # Spreads the first connections.
        self.due_at = time.monotonic() + random.random() / 2

    def act(self, selector: selectors.BaseSelector) -> None:
        """Connect, or send as much as the system takes."""
        try:
            self._act(selector)
        except OSError:
            self._close(selector)

    def _act(self, selector: selectors.BaseSelector) -> None:
        if self._sock is None:
            self._open(selector)
            return
        if self._is_half_closed:
            self._close(selector)
            return
        if not self._unsent:
            self._unsent = memoryview(self._flood.block)
        with contextlib.suppress(BlockingIOError):
            sent_bytes = self._sock.send(self._unsent)
            self._sent_bytes += sent_bytes
            self._unsent = self._unsent[sent_bytes:]
        if not self._unsent and self._flood.pause_s:
            self._wait(selector, self._flood.pause_s)
        if self._flood.end and self._sent_bytes >= self._flood.end_after_bytes:
            self._end(selector)

    def _open(self, selector: selectors.BaseSelector) -> None:
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self._sock.connect(('127.0.0.1', self._port))
        self._unsent = memoryview(self._flood.first)
        self._sent_bytes = 0
        self._is_half_closed = False
        selector.register(self._sock, selectors.EVENT_WRITE, self)
        self.due_at = 0.0

    def _end(self, selector: selectors.BaseSelector) -> None:
        assert self._sock is not None
        if self._flood.end == 'half':
            self._sock.shutdown(socket.SHUT_WR)
            self._is_half_closed = True
            self._wait(selector, HALF_CLOSED_S)
            return
        if self._flood.end == 'reset':
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self._close(selector)

    def _wait(self, selector: selectors.BaseSelector, seconds: float) -> None:
        assert self._sock is not None
        selector.unregister(self._sock)
        self.due_at = time.monotonic() + seconds

    def _close(self, selector: selectors.BaseSelector) -> None:
        if self._sock is not None:
            with contextlib.suppress(KeyError, ValueError):
                selector.unregister(self._sock)
            self._sock.close()
        self._sock = None
        self.due_at = time.monotonic() + CONNECT_PAUSE_S

    def resume(self, selector: selectors.BaseSelector) -> None:
        """Go on after a wait."""
        self.due_at = 0.0
        if self._sock is None or self._is_half_closed:
            self.act(selector)
        else:
            selector.register(self._sock, selectors.EVENT_WRITE, self)


def run_flood(flood: Flood, port: int, seconds: float) -> None:
    """Send until the time is over; the connections end with the process."""
    selector = selectors.DefaultSelector()
    connections = [
        FloodConnection(flood, port) for _ in range(flood.connections)
    ]
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for key, _ in selector.select(CONNECT_PAUSE_S / 2):
            key.data.act(selector)
        now = time.monotonic()
        for conn in connections:
            if conn.due_at and conn.due_at <= now:
                conn.resume(selector)


if __name__ == '__main__':
    run_flood(FLOODS[sys.argv[1]], int(sys.argv[2]), float(sys.argv[3]))
