"""A discrete-event model of engines that batch requests in iterations.

The model follows the observed engines of the platform. An iteration that has
decoding requests yields `steps_per_iteration` tokens for each and prefills up
to as many chunks. Parts for other lead engines are prefilled before an
engine's own prompts, the newest first. A new request waits for the running
iteration.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.costs.latency_model import (
    PrefillWork,
    decode_iteration_ms,
    prefill_ms,
)
from masticwind.serving.model import EngineProfile

_MIN_REMAINING_TOKENS: Final = 1e-6


class SimulationClock:
    """Simulated time in seconds, and the queue of events."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence: Final = itertools.count()

    def schedule(self, time_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` at `time_s`."""
        heapq.heappush(self._events, (time_s, next(self._sequence), callback))

    def run(self) -> None:
        """Run all events in the order of their time."""
        while self._events:
            time_s, _, callback = heapq.heappop(self._events)
            self.now = max(self.now, time_s)
            callback()


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A request on the engines, with the latencies that its caller sees."""

    lead_engine: 'SimulatedEngine'
    context_tokens: int
    iterations_left: int
    prefill_parts_left: int
    started_at: float
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    first_token_at: float = 0
    last_event_at: float = 0
    longest_gap_s: float = 0
    ended_at: float = 0


@dataclass(slots=True, eq=False)
class _PrefillPart:
    request: SimulatedRequest
    remaining: PrefillWork


@dataclass(slots=True, eq=False)
class SimulatedEngine:
    """One engine.

    `lead_parts` are prefills of requests that this engine leads, and
    `helper_parts` those for other lead engines. `time_factor` is how much
    longer it takes than its profile says.
    """

    profile: EngineProfile
    clock: SimulationClock
    time_factor: float = 1.0
    queued: list[_PrefillPart] = field(default_factory=list)
    lead_parts: list[_PrefillPart] = field(default_factory=list)
    helper_parts: list[_PrefillPart] = field(default_factory=list)
    decoding: list[SimulatedRequest] = field(default_factory=list)
    busy: bool = False

    def add_request(
        self, request: SimulatedRequest, prefill: PrefillWork
    ) -> None:
        """Queue a request that this engine leads."""
        self.queued.append(_PrefillPart(request, prefill))
        self._start_if_idle()

    def add_helper_part(
        self, request: SimulatedRequest, prefill: PrefillWork
    ) -> None:
        """Add a part of a prefill for another lead engine."""
        self.helper_parts.insert(0, _PrefillPart(request, prefill))
        self._start_if_idle()

    def complete_part(self, request: SimulatedRequest) -> None:
        """Record the end of one part of the prefill of a request."""
        request.prefill_parts_left -= 1
        if request.prefill_parts_left:
            return
        now = self.clock.now
        request.first_token_at = now
        request.last_event_at = now
        request.on_first_token()
        request.iterations_left -= 1
        if request.iterations_left <= 0:
            self._complete_request(request)
            return
        self.decoding.append(request)
        self._start_if_idle()

    def _start_if_idle(self) -> None:
        if self.busy:
            return
        self._admit_queued()
        if self.lead_parts or self.helper_parts or self.decoding:
            self.busy = True
            self._start_iteration()

    def _admit_queued(self) -> None:
        while self.queued:
            if len(self.lead_parts) + len(self.decoding) >= self.profile.slots:
                return
            self.lead_parts.append(self.queued.pop(0))

    def _start_iteration(self) -> None:
        self._admit_queued()
        max_chunks = self.profile.steps_per_iteration if self.decoding else 1
        tokens_left: float = max_chunks * self.profile.prefill_chunk_tokens
        duration_ms = 0.0
        finished: list[_PrefillPart] = []
        for part in (*self.helper_parts, *self.lead_parts):
            if (
                tokens_left <= 0
                or part.remaining.tokens <= _MIN_REMAINING_TOKENS
            ):
                continue
            share = min(1.0, tokens_left / part.remaining.tokens)
            prefill = part.remaining.scaled(share)
            duration_ms += prefill_ms(self.profile, prefill)
            tokens_left -= prefill.tokens
            part.remaining = part.remaining.scaled(1 - share)
            if part.remaining.tokens <= _MIN_REMAINING_TOKENS:
                finished.append(part)
        decoding = list(self.decoding)
        if decoding:
            context_tokens = tuple(
                request.context_tokens for request in decoding
            )
            duration_ms += decode_iteration_ms(self.profile, context_tokens)
        else:
            duration_ms += self.profile.step_ms
        self.clock.schedule(
            self.clock.now + duration_ms * self.time_factor / MS_PER_S,
            lambda: self._complete_iteration(finished, decoding),
        )

    def _complete_iteration(
        self, finished: list[_PrefillPart], decoding: list[SimulatedRequest]
    ) -> None:
        now = self.clock.now
        for request in decoding:
            gap_s = now - request.last_event_at
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
            request.last_event_at = now
            request.iterations_left -= 1
            if request.iterations_left <= 0:
                self.decoding.remove(request)
                self._complete_request(request)
        for finished_part in finished:
            if finished_part in self.helper_parts:
                self.helper_parts.remove(finished_part)
            # The request holds its slot until its first token.
            finished_part.request.lead_engine.complete_part(
                finished_part.request
            )
        self.lead_parts = [
            part for part in self.lead_parts if part.request.prefill_parts_left
        ]
        self.busy = False
        self._start_if_idle()

    def _complete_request(self, request: SimulatedRequest) -> None:
        request.ended_at = self.clock.now
        request.on_end()
