"""A request at its agent."""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal

from masticwind.budget import Budget
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    MAX_OUTPUT_TOKENS_PER_MESSAGE,
    Accepted,
    End,
    Offer,
    Output,
)

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
        """Continue on another connection from `offset` tokens on.

        A late resume on an older connection than the present one is dropped;
        the output would otherwise go where nobody reads it.
        """
        if channel.number < self.channel.number:
            return
        self.channel = channel
        self.detached_at = None
        if self.state == 'receiving':
            channel.send(Accepted(*self.key, body_received=len(self.body)))
        step = MAX_OUTPUT_TOKENS_PER_MESSAGE
        for start in range(offset, len(self.output), step):
            part = tuple(self.output[start : start + step])
            channel.send(Output(*self.key, start, part))
        if self.end is not None:
            channel.send(self.end)
