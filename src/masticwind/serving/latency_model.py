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
from masticwind.serving.model import EngineProfile

TOKENS_PER_K: Final = 1000
PAIRS_PER_M: Final = 1_000_000
# Part of a pass that goes by before a new request is read, and in which its
# first event is put together.
RUNNING_ITERATION_SHARE: Final = 0.85


@dataclass(frozen=True, slots=True)
class PrefillWork:
    """Prompt tokens to read, with their share of the pairs in millions."""

    tokens: float
    attention_pairs_m: float

    def scaled(self, share: float) -> 'PrefillWork':
        """Return a share of this reading."""
        return PrefillWork(self.tokens * share, self.attention_pairs_m * share)

    def plus(self, other: 'PrefillWork') -> 'PrefillWork':
        """Return both readings as one."""
        return PrefillWork(
            self.tokens + other.tokens,
            self.attention_pairs_m + other.attention_pairs_m,
        )


NO_PREFILL: Final = PrefillWork(0, 0)


def full_prefill(tokens: int) -> PrefillWork:
    """Return the reading of a prompt that nobody has begun to read."""
    return PrefillWork(tokens, tokens * tokens / 2 / PAIRS_PER_M)


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Work of an engine: context sizes of its writers, and its reading."""

    decode_context_tokens: tuple[int, ...] = ()
    pending_prefill: PrefillWork = field(default=NO_PREFILL)


def prefill_ms(profile: EngineProfile, reading: PrefillWork) -> float:
    """Return the time for reading alone."""
    linear = reading.tokens / profile.prefill_tokens_per_s * MS_PER_S
    return linear + reading.attention_pairs_m * profile.prefill_ms_per_m_pairs


def decode_iteration_ms(
    profile: EngineProfile, contexts: tuple[int, ...]
) -> float:
    """Return the time of one pass's steps with these writers."""
    step_ms = profile.step_ms + len(contexts) * profile.step_ms_per_request
    step_ms += sum(contexts) / TOKENS_PER_K * profile.step_ms_per_k_context
    return step_ms * profile.steps_per_iteration


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """What an engine's work takes, summed up once for many predictions.

    `pending_prefill_ms` is the time for reading `pending_prefill_tokens`, and `decode_iteration_ms` that
    of one pass's steps with the present writers; zero means that nobody
    writes.
    """

    pending_prefill_tokens: float = 0
    pending_prefill_ms: float = 0
    decode_iteration_ms: float = 0

    def without_pending_prefill(self) -> 'EngineTimes':
        """Return the times of the writers alone."""
        return EngineTimes(decode_iteration_ms=self.decode_iteration_ms)


def engine_times(profile: EngineProfile, state: EngineLoad) -> EngineTimes:
    """Sum up what an engine's work takes."""
    write_ms = 0.0
    if state.decode_context_tokens:
        write_ms = decode_iteration_ms(profile, state.decode_context_tokens)
    return EngineTimes(
        state.pending_prefill.tokens,
        prefill_ms(profile, state.pending_prefill),
        write_ms,
    )


def first_token_ms(
    profile: EngineProfile,
    times: EngineTimes,
    own: PrefillWork,
) -> float:
    """Return the time until a new request's first token.

    What waits is read before it. Beside writers, the request waits for the
    rest of the running pass and gets its token with the steps of its own.
    """
    tokens = times.pending_prefill_tokens + own.tokens
    chunks = math.ceil(tokens / profile.prefill_chunk_tokens)
    delay_ms = times.pending_prefill_ms + prefill_ms(profile, own)
    if not times.decode_iteration_ms:
        return delay_ms + chunks * profile.step_ms
    passes = math.ceil(chunks / profile.steps_per_iteration)
    return (
        delay_ms
        + (passes + RUNNING_ITERATION_SHARE) * times.decode_iteration_ms
    )


def max_token_gap_ms(
    profile: EngineProfile,
    times: EngineTimes,
    own: PrefillWork,
) -> float:
    """Return the longest time between two tokens of the engine's writers
    while it reads `own` beside what waits.
    """
    tokens = times.pending_prefill_tokens + own.tokens
    reading_ms = times.pending_prefill_ms + prefill_ms(profile, own)
    most = profile.prefill_chunk_tokens * profile.steps_per_iteration
    if tokens > most:
        reading_ms *= most / tokens
    write_ms = times.decode_iteration_ms or decode_iteration_ms(profile, ())
    return reading_ms + write_ms
