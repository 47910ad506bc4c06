"""Ports for processes that a test or a soak starts later.

A port that the kernel chose may go to another process before it is bound
again, so these come from below the range from which it chooses.
"""

import secrets
import socket
from contextlib import closing
from typing import Final

PORTS: Final = range(12_000, 32_000)


def free_tcp_port() -> int:
    """Return a TCP port of the loopback interface that is not in use."""
    return _free_port(socket.SOCK_STREAM)


def free_udp_port() -> int:
    """Return a UDP port of the loopback interface that is not in use."""
    return _free_port(socket.SOCK_DGRAM)


def _free_port(kind: socket.SocketKind) -> int:
    while True:
        port = secrets.choice(PORTS)
        with closing(socket.socket(socket.AF_INET, kind)) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
