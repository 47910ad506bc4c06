"""Parses addresses that other processes have written to the store."""

import ipaddress
import re
from typing import Final

from masticwind.settings_file import Address

MAX_PORT: Final = 65_535
_ADDRESS: Final = re.compile('([0-9.]{7,15}):([0-9]{1,5})')


def parse_ip_address(text: str) -> Address:
    """Parse an IPv4 address with a port; raise `ValueError` for other text.

    Host names are not resolved, since that could block, and a port out of
    range would make each send raise `OverflowError`.

    >>> parse_ip_address('127.0.0.1:80').port
    80
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise ValueError('the address is not an IPv4 address with a port')
    host, port = match.groups()
    ipaddress.IPv4Address(host)
    if int(port) > MAX_PORT:
        raise ValueError(f'{port} is not a valid port')
    return Address(host=host, port=int(port))
