"""A request at its agent."""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from masticwind.budget import Budget
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import End, Offer, Output

State = Literal['receiving', 'queued', 'running', 'ended']
RequestKey = tuple[str, int]


@dataclass(slots=True, eq=False)
class AgentRequest:
    """An accepted offer, its output so far and the connection it goes to."""

    offer: Offer
    budget: Budget
    channel: Channel
    body: bytearray = field(default_factory=bytearray)
    state: State = 'receiving'
    output: list[str] = field(default_factory=list)
    end: End | None = None
    started: bool = False
    detached_at: float | None = None
    ended_at: float = 0
    arrived_at: float = field(default_factory=time.monotonic)

    @property
    def key(self) -> RequestKey:
        """Request id and attempt."""
        return self.offer.request_id, self.offer.attempt

    @property
    def memory_tokens(self) -> int:
        """Tokens of engine memory that the request needs at most."""
        return self.offer.prompt_tokens + self.offer.max_tokens

    def emit(self, tokens: Sequence[str]) -> None:
        """Append generated tokens and send them to the entry."""
        offset = len(self.output)
        self.output.extend(tokens)
        self.channel.send(Output(*self.key, offset, tuple(tokens)))

    def finish(self, end: End) -> None:
        """Record the end and send it to the entry."""
        self.end = end
        self.state = 'ended'
        self.ended_at = time.monotonic()
        self.channel.send(end)

    def attach(self, channel: Channel, offset: int) -> None:
        """Continue on another connection from `offset` tokens on."""
        self.channel = channel
        self.detached_at = None
        missing = tuple(self.output[offset:])
        if missing:
            channel.send(Output(*self.key, offset, missing))
        if self.end is not None:
            channel.send(self.end)
