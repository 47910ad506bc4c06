"""The transports of callers' connections, and how these are closed.

A kernel that closes a connection with unread bytes resets it, and the reset
discards what the caller has not yet received. This module owns every close of
a caller's connection, so that written answers arrive.
"""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Iterable
from contextlib import suppress
from typing import Any, Final

# A closed connection is aborted if its caller has not received everything
# within this time.
DELIVERY_TIMEOUT_S: Final = 60.0
# The time for which a caller that has received everything may go on sending.
LINGER_TIMEOUT_S: Final = 2.0
MAX_DISCARDED_BYTES: Final = 524_288
LINGER_POLL_INTERVAL_S: Final = 0.05
COUNT_FORMAT: Final = 'i'
# Receive buffers of the kernel for a caller's connection. All connections have
# a narrow one. A wide one lets a body arrive at a fair rate over a long way: at
# 100 ms, a narrow one passes 120 KB/s.
NARROW_BUFFER_BYTES: Final = 8192
WIDE_BUFFER_BYTES: Final = 65_536
# The kernel keeps up to twice the size of a receive buffer.
KEPT_BY_NARROW_BYTES: Final = 2 * NARROW_BUFFER_BYTES
KEPT_BY_WIDE_BYTES: Final = 2 * WIDE_BUFFER_BYTES


class CallerTransport(asyncio.Transport):
    """A transport whose `close` does not discard what has been written.

    `close` ends the sending side once everything has been written, and reads
    and discards what the caller still sends. The connection ends when the
    caller closes it or has had the time to read, whichever comes first.

    Example: a caller sends a body of 2 MB and gets 413 after 1 MB. It reads
    the answer after its last byte, which `close` has discarded.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__()
        self._transport: Final = transport
        self._loop: Final = loop
        self._is_lingering = False
        self._closed_at = 0.0
        self._delivered_at: float | None = None
        self._discarded_bytes = 0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the kernel has bytes of the caller that were not read."""
        return bool(self._count(termios.FIONREAD))

    @property
    def is_delivered(self) -> bool:
        """Whether the caller's host has received everything written."""
        if self._transport.get_write_buffer_size():
            return False
        return not self._count(termios.TIOCOUTQ)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Whether nothing more can be written."""
        return self._is_lingering or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection once the caller has received everything."""
        if self.is_closing():
            return
        self._is_lingering = True
        self._closed_at = self._loop.time()
        self._transport.resume_reading()
        self._transport.write_eof()
        self._wait_for_caller()

    def close_unread(self) -> None:
        """Close the connection at once, without reading more.

        The caller can tell that what it still sends has not been read.
        """
        self._transport.close()

    def widen_receive_buffer(self) -> None:
        """Let the kernel keep more of what the caller sends.

        There is no way back: with a buffer that is made smaller, the kernel
        receives a few bytes at a time.
        """
        sock = self._transport.get_extra_info('socket')
        # Where the system refuses, its own limit holds.
        with suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, WIDE_BUFFER_BYTES
            )
            # Some kernels keep to the window of the first buffer otherwise.
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, WIDE_BUFFER_BYTES
            )

    def abort(self) -> None:
        """Close the connection and discard what has not been sent."""
        self._transport.abort()

    def discard(self, size: int) -> None:
        """Count bytes that arrived after `close`."""
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._transport.pause_reading()

    def pause_reading(self) -> None:
        """Stop reading, except what is discarded."""
        if not self.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if not self.is_closing():
            self._transport.resume_reading()

    def is_reading(self) -> bool:
        """Whether the transport reads."""
        return self._transport.is_reading()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes; nothing after `close`."""
        if not self._is_lingering:
            self._transport.write(data)

    def writelines(
        self, list_of_data: Iterable[bytes | bytearray | memoryview]
    ) -> None:
        """Write several parts; nothing after `close`."""
        self.write(b''.join(list_of_data))

    def can_write_eof(self) -> bool:
        """Return that `close` ends the sending side instead."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return how many bytes wait to be written."""
        return self._transport.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set the sizes at which the protocol pauses and resumes."""
        self._transport.set_write_buffer_limits(high, low)

    def _wait_for_caller(self) -> None:
        if self._transport.is_closing():
            return
        now = self._loop.time()
        if self._delivered_at is None and self.is_delivered:
            self._delivered_at = now
        if self._delivered_at is None:
            if now - self._closed_at >= DELIVERY_TIMEOUT_S:
                self._transport.abort()
                return
        elif (
            now - self._delivered_at >= LINGER_TIMEOUT_S
            or self._discarded_bytes > MAX_DISCARDED_BYTES
        ):
            self._transport.close()
            return
        self._loop.call_later(LINGER_POLL_INTERVAL_S, self._wait_for_caller)

    def _count(self, queue: int) -> int:
        # The descriptor may belong to another socket after the close.
        if self._transport.is_closing():
            return 0
        sock = self._transport.get_extra_info('socket')
        count = bytes(struct.calcsize(COUNT_FORMAT))
        count = fcntl.ioctl(sock.fileno(), queue, count)
        return int(struct.unpack(COUNT_FORMAT, count)[0])
