"""Identity of this process in the protocol between peers."""

import secrets
from dataclasses import dataclass, field
from typing import Literal

from masticwind.protocol.handshake import new_nonce
from masticwind.protocol.messages import PROTOCOL_VERSION, Hello


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerIdentity:
    """Name, role and location; every start has a new `incarnation`."""

    role: Literal['entry', 'agent', 'ctl']
    name: str
    zone: str
    endpoint: str = ''
    incarnation: str = field(default_factory=lambda: secrets.token_hex(8))

    def hello(self, generation: int) -> Hello:
        """Return the `Hello` of one connection, with a new nonce."""
        return Hello(
            version=PROTOCOL_VERSION,
            role=self.role,
            node=self.name,
            zone=self.zone,
            incarnation=self.incarnation,
            nonce=new_nonce(),
            generation=generation,
            endpoint=self.endpoint,
        )
