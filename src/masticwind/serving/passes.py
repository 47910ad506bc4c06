"""Predicts an engine's times from its figures and its work.

An engine works in passes. In a pass it makes `stride` tokens for each
writing request and reads at most `stride` chunks of prompts, so a long
prompt holds up the writers beside it, and a request that arrives waits for
the pass that is running. Nothing here knows of a network or of time passing.

    state = EngineState(contexts=(5000, 12_000), waiting=Reading(4000, 8))
    times = times_of(speed, state)
    delay_ms = first_token_ms(speed, times, Reading(5000, 12.5))
"""

import math
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.model import EngineSpeed

TOKENS_PER_K: Final = 1000
PAIRS_PER_M: Final = 1_000_000
# Part of a pass that goes by before a new request is read, and in which its
# first event is put together.
RUNNING_PASS: Final = 0.85


@dataclass(frozen=True, slots=True)
class Reading:
    """Prompt tokens to read, with their share of the pairs in millions."""

    tokens: float
    pairs_m: float

    def part(self, share: float) -> 'Reading':
        """Return a share of this reading."""
        return Reading(self.tokens * share, self.pairs_m * share)

    def plus(self, other: 'Reading') -> 'Reading':
        """Return both readings as one."""
        return Reading(
            self.tokens + other.tokens,
            self.pairs_m + other.pairs_m,
        )


NOTHING: Final = Reading(0, 0)


def whole_prompt(tokens: int) -> Reading:
    """Return the reading of a prompt that nobody has begun to read."""
    return Reading(tokens, tokens * tokens / 2 / PAIRS_PER_M)


@dataclass(frozen=True, slots=True)
class EngineState:
    """Work of an engine: context sizes of its writers, and its reading."""

    contexts: tuple[int, ...] = ()
    waiting: Reading = field(default=NOTHING)


def read_ms(speed: EngineSpeed, reading: Reading) -> float:
    """Return the time for reading alone."""
    linear = reading.tokens / speed.tokens_per_s * MS_PER_S
    return linear + reading.pairs_m * speed.pairs_ms_per_m


def write_pass_ms(speed: EngineSpeed, contexts: tuple[int, ...]) -> float:
    """Return the time of one pass's steps with these writers."""
    step_ms = speed.step_ms + len(contexts) * speed.per_seq_ms
    step_ms += sum(contexts) / TOKENS_PER_K * speed.context_ms_per_k
    return step_ms * speed.stride


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """What an engine's work takes, summed up once for many predictions.

    `waiting_ms` is the time for reading `waiting_tokens`, and `write_ms` that
    of one pass's steps with the present writers; zero means that nobody
    writes.
    """

    waiting_tokens: float = 0
    waiting_ms: float = 0
    write_ms: float = 0

    def without_waiting(self) -> 'EngineTimes':
        """Return the times of the writers alone."""
        return EngineTimes(write_ms=self.write_ms)


def times_of(speed: EngineSpeed, state: EngineState) -> EngineTimes:
    """Sum up what an engine's work takes."""
    write_ms = 0.0
    if state.contexts:
        write_ms = write_pass_ms(speed, state.contexts)
    return EngineTimes(
        state.waiting.tokens,
        read_ms(speed, state.waiting),
        write_ms,
    )


def first_token_ms(
    speed: EngineSpeed,
    times: EngineTimes,
    own: Reading,
) -> float:
    """Return the time until a new request's first token.

    What waits is read before it. Beside writers, the request waits for the
    rest of the running pass and gets its token with the steps of its own.
    """
    tokens = times.waiting_tokens + own.tokens
    chunks = math.ceil(tokens / speed.chunk_tokens)
    delay_ms = times.waiting_ms + read_ms(speed, own)
    if not times.write_ms:
        return delay_ms + chunks * speed.step_ms
    passes = math.ceil(chunks / speed.stride)
    return delay_ms + (passes + RUNNING_PASS) * times.write_ms


def longest_pause_ms(
    speed: EngineSpeed,
    times: EngineTimes,
    own: Reading,
) -> float:
    """Return the longest time between two tokens of the engine's writers
    while it reads `own` beside what waits.
    """
    tokens = times.waiting_tokens + own.tokens
    reading_ms = times.waiting_ms + read_ms(speed, own)
    most = speed.chunk_tokens * speed.stride
    if tokens > most:
        reading_ms *= most / tokens
    write_ms = times.write_ms or write_pass_ms(speed, ())
    return reading_ms + write_ms
