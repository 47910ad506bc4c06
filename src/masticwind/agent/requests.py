"""State of a request at its agent."""

import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, Literal

import anyio

from masticwind.budget import Budget
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import (
    MAX_OUTPUT_TOKENS_PER_MESSAGE,
    Accepted,
    End,
    Offer,
    Output,
)

RequestState = Literal['receiving', 'queued', 'running', 'ended']
RequestKey = tuple[str, int]

_arrivals: Final = itertools.count()


@dataclass(slots=True, eq=False)
class AgentRequest:
    """An accepted offer with its output so far and its connection.

    `base_offset` counts the tokens that were delivered before this agent
    adopted the request; `output` holds those after them. `submission` is part
    of the request's id at the engine and changes whenever the request is
    submitted again, so that a late stream of an earlier submission is not
    mistaken for the current one. `prefilled_tokens` are expected to be in the
    engine's prefix cache; `evicted_tokens` were evicted from it and had to be
    computed again. `computed_at_last_output` is the value of
    `Rates.computed_tokens` at the last output. `reached_engine` is set once
    the engine may have done work for the request, and `left_engine` once its
    run has ended.
    """

    offer: Offer
    budget: Budget
    channel: Channel
    body: bytearray = field(default_factory=bytearray)
    state: RequestState = 'receiving'
    output: list[str] = field(default_factory=list)
    end: End | None = None
    started: bool = False
    detached_at: float | None = None
    ended_at: float = 0
    arrived_at: float = field(default_factory=time.monotonic)
    queued_at: float = 0
    arrival_number: int = field(default_factory=lambda: next(_arrivals))
    base_offset: int = 0
    submission: int = 0
    estimated_cached_tokens: int = 0
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    evicted_tokens: int = 0
    evictions: int = 0
    prefilling: bool = False
    preempted: bool = False
    adopted_engine_id: str = ''
    uses_lease: bool = False
    reached_engine: bool = False
    in_prefill_step: bool = False
    prefill_started_at: float = 0
    computed_at_last_output: int = 0
    last_token_at: float = 0
    cancel_scope: anyio.CancelScope | None = None
    left_engine: anyio.Event = field(default_factory=anyio.Event)

    @property
    def key(self) -> RequestKey:
        """Request id and attempt."""
        return self.offer.request_id, self.offer.attempt

    @property
    def memory_tokens(self) -> int:
        """Maximum tokens of engine memory that the request needs.

        A prompt share needs none: its lease has reserved the memory.
        """
        if self.uses_lease:
            return 0
        return self.offer.prompt_tokens + self.offer.max_tokens

    @property
    def uncached_tokens(self) -> int:
        """Prompt tokens that the engine still has to compute."""
        known = max(self.estimated_cached_tokens, self.prefilled_tokens)
        return max(1, self.offer.prompt_tokens - known)

    @property
    def generated_tokens(self) -> int:
        """Tokens generated so far, including those before an adoption."""
        return self.base_offset + len(self.output)

    @property
    def engine_id(self) -> str:
        """The id of the current submission at the engine."""
        if self.adopted_engine_id:
            return self.adopted_engine_id
        submission = (
            f'p{self.submission}'
            if self.in_prefill_step
            else f'{self.submission}'
        )
        return f'{self.offer.request_id}.{self.offer.attempt}.{submission}'

    @property
    def holds_share(self) -> bool:
        """Whether a prompt share is only computed and held, not generated."""
        return bool(self.offer.share_of) and not self.offer.max_tokens

    @property
    def imported_handles(self) -> tuple[str, ...]:
        """Cache handles of the preceding shares of the prompt."""
        return tuple(
            handle for handle in self.offer.share_of.split() if handle != '-'
        )

    def send_output(self, tokens: Sequence[str]) -> None:
        """Append generated tokens and send them to the entry."""
        offset = self.generated_tokens
        self.output.extend(tokens)
        self.channel.send(Output(*self.key, offset, tuple(tokens)))

    def report_silence(self) -> None:
        """Tell the entry that the engine has been silent for a while."""
        self.channel.send(
            Output(*self.key, self.generated_tokens, (), silent=True)
        )

    def finish(self, end: End) -> None:
        """Record the end and send it to the entry."""
        self.end = end
        self.state = 'ended'
        self.ended_at = time.monotonic()
        self.channel.send(end)

    def prepare_requeue(self) -> None:
        """Reset the state for another submission after a preemption."""
        self.preempted = False
        self.in_prefill_step = False
        self.submission += 1

    def attach(self, channel: Channel, offset: int) -> None:
        """Continue on another connection, from `offset` tokens on.

        A delayed resume on an older connection is ignored: the entry no
        longer reads from that connection.
        """
        if channel.number < self.channel.number:
            return
        self.channel = channel
        self.detached_at = None
        if self.state == 'receiving':
            channel.send(Accepted(*self.key, body_received=len(self.body)))
        first = max(offset, self.base_offset)
        step = MAX_OUTPUT_TOKENS_PER_MESSAGE
        for start in range(first, self.base_offset + len(self.output), step):
            index = start - self.base_offset
            tokens = tuple(self.output[index : index + step])
            channel.send(Output(*self.key, start, tokens))
        if self.end is not None:
            channel.send(self.end)
