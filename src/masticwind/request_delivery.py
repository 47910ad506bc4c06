"""Tells whether a server has received a whole request.

The kernel keeps what it has not delivered yet, so a request that has been
written may still be on its way.
"""

import fcntl
import socket
import struct
import termios
from typing import Final

_INT: Final = struct.Struct('i')
# The first byte of `TCP_INFO` is the state of the connection.
_STATE_BYTES: Final = 1
# After a reset; a connection that only the server has ended is in another one.
_STATE_CLOSED: Final = 7


def is_delivered(sock: socket.socket) -> bool:
    """Tell whether the server's kernel has acknowledged all that was sent.

    Raises `ConnectionResetError` if the connection has been reset.
    """
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    tcp_info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _STATE_BYTES
    )
    if tcp_info[0] == _STATE_CLOSED:
        raise ConnectionResetError('reset before the request was received')
    return not _INT.unpack(queued)[0]
