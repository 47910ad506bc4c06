"""Listening TCP sockets."""

import socket
from typing import Final

from masticwind.settings_file import Address

LISTEN_BACKLOG: Final = 2048


def listen_tcp(address: Address) -> socket.socket:
    """Return a listening socket for `address`.

    The protocol is explicit because asyncio disables Nagle's algorithm only on
    sockets with an explicit protocol; accepted sockets inherit it. Otherwise,
    small writes wait 40 ms for the peer's delayed acknowledgement.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(
        family,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
