"""Engines that work in passes, as a discrete-event model.

The model follows what was observed of the platform's engines: a pass with
writers makes `stride` tokens for each and reads up to `stride` chunks; parts
for other engines are read before own prompts, the newest first; a request
that arrives waits for the running pass.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.latency_model import (
    PrefillWork,
    decode_iteration_ms,
    prefill_ms,
)
from masticwind.serving.model import EngineProfile

_DONE_TOKENS: Final = 1e-6


class Clock:
    """Simulated time in seconds, and what is to happen when."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order: Final = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Call later."""
        heapq.heappush(self._queue, (when, next(self._order), call))

    def run(self) -> None:
        """Play until nothing is left to happen."""
        while self._queue:
            when, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            call()


@dataclass(slots=True, eq=False)
class Played:
    """A request at the engines, with what its caller sees."""

    lead_engine: 'PlayedEngine'
    context: int
    passes_left: int
    parts_left: int
    arrived: float
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    first_at: float = 0
    event_at: float = 0
    longest_pause_s: float = 0
    ended_at: float = 0


@dataclass(slots=True, eq=False)
class _Part:
    request: Played
    reading: PrefillWork


@dataclass(slots=True, eq=False)
class PlayedEngine:
    """One engine."""

    speed: EngineProfile
    clock: Clock
    queued: list[_Part] = field(default_factory=list)
    own: list[_Part] = field(default_factory=list)
    helping: list[_Part] = field(default_factory=list)
    writers: list[Played] = field(default_factory=list)
    busy: bool = False

    def lead(self, request: Played, reading: PrefillWork) -> None:
        """Take a request that this engine leads."""
        self.queued.append(_Part(request, reading))
        self._wake()

    def help(self, request: Played, reading: PrefillWork) -> None:
        """Read a part for another engine."""
        self.helping.insert(0, _Part(request, reading))
        self._wake()

    def part_done(self, request: Played) -> None:
        """A part of a request that this engine leads has been read."""
        request.parts_left -= 1
        if request.parts_left:
            return
        now = self.clock.now
        request.first_at = now
        request.event_at = now
        request.on_first()
        request.passes_left -= 1
        if request.passes_left <= 0:
            self._end(request)
            return
        self.writers.append(request)
        self._wake()

    def _wake(self) -> None:
        if self.busy:
            return
        self._admit()
        if self.own or self.helping or self.writers:
            self.busy = True
            self._pass()

    def _admit(self) -> None:
        while self.queued:
            if len(self.own) + len(self.writers) >= self.speed.slots:
                return
            self.own.append(self.queued.pop(0))

    def _pass(self) -> None:
        self._admit()
        chunks = self.speed.steps_per_iteration if self.writers else 1
        room: float = chunks * self.speed.prefill_chunk_tokens
        took_ms = 0.0
        finished: list[_Part] = []
        for part in (*self.helping, *self.own):
            if room <= 0 or part.reading.tokens <= _DONE_TOKENS:
                continue
            share = min(1.0, room / part.reading.tokens)
            read = part.reading.scaled(share)
            took_ms += prefill_ms(self.speed, read)
            room -= read.tokens
            part.reading = part.reading.scaled(1 - share)
            if part.reading.tokens <= _DONE_TOKENS:
                finished.append(part)
        writers = list(self.writers)
        if writers:
            contexts = tuple(writer.context for writer in writers)
            took_ms += decode_iteration_ms(self.speed, contexts)
        else:
            took_ms += self.speed.step_ms
        self.clock.at(
            self.clock.now + took_ms / MS_PER_S,
            lambda: self._passed(finished, writers),
        )

    def _passed(self, finished: list[_Part], writers: list[Played]) -> None:
        now = self.clock.now
        for writer in writers:
            pause_s = now - writer.event_at
            writer.longest_pause_s = max(writer.longest_pause_s, pause_s)
            writer.event_at = now
            writer.passes_left -= 1
            if writer.passes_left <= 0:
                self.writers.remove(writer)
                self._end(writer)
        for done in finished:
            if done in self.helping:
                self.helping.remove(done)
            # The slot is kept until the request has its first token.
            done.request.lead_engine.part_done(done.request)
        self.own = [part for part in self.own if part.request.parts_left]
        self.busy = False
        self._wake()

    def _end(self, request: Played) -> None:
        request.ended_at = self.clock.now
        request.on_end()
