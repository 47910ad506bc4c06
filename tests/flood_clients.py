"""A program whose connections send without end and read nothing.

It runs in a process of its own, so that it delays neither the store nor the
engines of a test:

    python -m tests.flood_clients few-unrouted 18081 5

`CROWDS` are floods of many connections, for settings with little memory.
"""

import contextlib
import random
import selectors
import socket
import struct
import sys
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final, Literal

from tests.scenarios import PAID_TOKEN
from tests.stopping_entry import call_head, stream_head

BLOCK_BYTES: Final = 65_536
CONNECT_PAUSE_S: Final = 0.02
HALF_CLOSED_S: Final = 1.0
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
# For how long a connection of a crowd stays open without sending or reading.
HELD_S: Final = 3.0
# Longer than the time of a flood.
SLOW_REQUEST_S: Final = 9.0
# What a caller sends ahead without being held by the entry.
AHEAD_BYTES: Final = 56_000
FEW: Final = 8
MANY: Final = 100
# More than the descriptors that the test leaves to the entry.
CROWD: Final = 500
# Half of the connections that a process with 1,400 descriptors allows.
LARGE: Final = 300


@dataclass(frozen=True, slots=True, kw_only=True)
class Flood:
    """What each of several connections sends.

    A connection sends `first` once and then `block` again and again. `end` is
    what it does after `end_after_bytes`: a connection that is held stays open
    for `HELD_S`. It waits for `pause_s` after each block.
    """

    block: bytes
    connections: int = FEW
    first: bytes = b''
    end: Literal['', 'close', 'reset', 'half', 'hold'] = ''
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


def _held(content: bytes) -> Flood:
    """Return a flood that sends once and then neither sends nor reads."""
    return Flood(
        first=content,
        block=b'',
        connections=LARGE,
        end='hold',
        end_after_bytes=len(content),
    )


def _body_head(length: int) -> bytes:
    return call_head('flood', '/read/a').replace(
        b'Content-Length: 0', b'Content-Length: %d' % length
    )


_SLOW_REQUEST = call_head('faulty', '/open/slow')
# What the engines of the test answer, see `tests/unread_answers.py`.
_LONG_ANSWERS = MappingProxyType(
    {
        f'unread-{form}': _held(call_head('faulty', f'/read/{form}'))
        for form in ('length', 'chunked', 'unframed')
    }
)
_CROWD: Final[Mapping[str, Flood]] = MappingProxyType(
    {
        'unrouted-ahead': Flood(block=_UNROUTED, connections=LARGE),
        'unrouted-ahead-1.0': Flood(
            block=_repeated(
                b'GET /nowhere HTTP/1.0\r\nhost: x\r\n'
                b'connection: keep-alive\r\n\r\n'
            ),
            connections=LARGE,
        ),
        'served-ahead': Flood(block=_SERVED, connections=LARGE),
        'ahead-of-a-slow-request': _held(
            _SLOW_REQUEST + _UNROUTED[:AHEAD_BYTES]
        ),
        **_LONG_ANSWERS,
        'unread-events': _held(stream_head('faulty')),
        'stopped-uploads': _held(_body_head(4_000_000) + b'x' * 200_000),
        'stopped-heads': _held(_HEAD_LINES + b'x-pad: abcdefgh\r\n' * 1200),
        'opened-and-closed': replace(
            FLOODS['opened-and-closed'], connections=LARGE
        ),
    }
)
CROWDS: Final[Mapping[str, tuple[Flood, ...]]] = MappingProxyType(
    {
        **{name: (flood,) for name, flood in _CROWD.items()},
        # A part of each, as many connections together.
        'all-together': tuple(
            replace(flood, connections=LARGE // len(_CROWD))
            for flood in _CROWD.values()
        ),
    }
)
# Of the product's own interface.
_PROMPT_HEAD = (
    f'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
    f'authorization: Bearer {PAID_TOKEN}\r\ncontent-length: 2000000\r\n\r\n'
).encode()
PROMPT_CROWDS: Final[Mapping[str, tuple[Flood, ...]]] = MappingProxyType(
    {'stopped-prompts': (_held(_PROMPT_HEAD + b'x' * 1_000_000),)}
)
ALL_CROWDS: Final[Mapping[str, tuple[Flood, ...]]] = MappingProxyType(
    {
        **{name: (flood,) for name, flood in FLOODS.items()},
        **CROWDS,
        **PROMPT_CROWDS,
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
        self._is_ending = False
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
        if self._is_ending:
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
        self._is_ending = False
        selector.register(self._sock, selectors.EVENT_WRITE, self)
        self.due_at = 0.0

    def _end(self, selector: selectors.BaseSelector) -> None:
        assert self._sock is not None
        if self._flood.end == 'half':
            self._sock.shutdown(socket.SHUT_WR)
            self._is_ending = True
            self._wait(selector, HALF_CLOSED_S)
            return
        if self._flood.end == 'hold':
            self._is_ending = True
            self._wait(selector, HELD_S)
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
        if self._sock is None or self._is_ending:
            self.act(selector)
        else:
            selector.register(self._sock, selectors.EVENT_WRITE, self)


def run_floods(floods: Iterable[Flood], port: int, seconds: float) -> None:
    """Send until the time is over; the connections end with the process."""
    selector = selectors.DefaultSelector()
    connections = [
        FloodConnection(flood, port)
        for flood in floods
        for _ in range(flood.connections)
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
    run_floods(ALL_CROWDS[sys.argv[1]], int(sys.argv[2]), float(sys.argv[3]))
