"""How favourable an engine is for a part of a prompt, and who loses by it.

Answers the load of long reads beside streams: a part adds its time to the
pauses of the engine's streams and to everything that waits to be read.
"""

from dataclasses import dataclass
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.latency_model import (
    EngineLoad,
    EngineTimes,
    PrefillWork,
    engine_times,
    first_token_ms,
    max_token_gap_ms,
    prefill_ms,
)
from masticwind.serving.load_table import Job, engine_load
from masticwind.serving.model import Endpoint, EngineProfile
from masticwind.serving.placement import PlacementQuery

# Part of a time limit that a prediction may use up.
PREDICTION_MARGIN: Final = 0.85
# Worth of an answer after its aim, as a share; about that of the sheets.
LATE_VALUE_SHARE: Final = 0.25
# Streams that stand pauses up to this are held up by a long read.
SENSITIVE_GAP_MS: Final = 300.0
# Opening a further engine for short prompts costs as much as this wait.
SPREAD_COST_MS: Final = 150.0
# Slots that are left for what other entries are placing right now, and the
# cost of each one that is taken all the same.
SPARE_SLOTS: Final = 2
SLOT_SHORTAGE_COST_MS: Final = 150.0
# Cost of an endpoint that fails everything.
FAILURE_COST_MS: Final = 400.0
# Two crossings between availability zones, rounded up.
OTHER_ZONE_COST_MS: Final = 2.0
# A request that has outlived its prediction ends within about this time.
OVERDUE_REMAINING_S: Final = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """An engine as a placement sees it.

    `slot_requests` counts the requests that hold or await a slot, `slot_wait_ms` is
    the time until one more request gets a slot; `free_tokens` is what is free, in
    tokens. `has_gap_sensitive_stream` says that a stream here notices a pause of
    `SENSITIVE_GAP_MS`. `penalty_ms` is what makes the engine unfavourable
    whatever it reads, as a wait. Without `may_lead` it only reads parts.
    """

    endpoint: Endpoint
    load: EngineLoad
    times: EngineTimes
    jobs: tuple[Job, ...]
    slot_requests: int
    slot_wait_ms: float
    free_tokens: int
    has_gap_sensitive_stream: bool
    penalty_ms: float
    may_lead: bool = True


def build_engine_view(
    query: PlacementQuery,
    profile: EngineProfile,
    endpoint: Endpoint,
    *,
    may_lead: bool = True,
) -> EngineView:
    """Sum up what is known of an engine."""
    jobs = tuple(query.jobs_by_endpoint.get(endpoint.identity, ()))
    state = engine_load(jobs, query.now)
    slot_requests = sum(1 for job in jobs if job.context_tokens)
    sensitive = any(is_gap_sensitive(job.event_gap_target_ms) for job in jobs)
    used = sum(job.held_tokens for job in jobs)
    extra_ms = query.failure_shares.get(endpoint.identity, 0) * FAILURE_COST_MS
    if endpoint.zone != query.zone:
        extra_ms += OTHER_ZONE_COST_MS
    taken = slot_requests - profile.slots + SPARE_SLOTS
    if taken >= 0:
        extra_ms += SLOT_SHORTAGE_COST_MS * (taken + 1)
    if is_gap_sensitive(query.event_gap_target_ms) and not sensitive:
        extra_ms += SPREAD_COST_MS
    return EngineView(
        endpoint=endpoint,
        load=state,
        times=engine_times(profile, state),
        jobs=jobs,
        slot_requests=slot_requests,
        slot_wait_ms=_slot_wait_ms(query, profile, jobs, slot_requests),
        # Engines preempt where more was placed than they hold.
        free_tokens=max(0, profile.kv_cache_tokens - used),
        has_gap_sensitive_stream=sensitive,
        penalty_ms=extra_ms,
        may_lead=may_lead,
    )


def is_gap_sensitive(pause_ms: float) -> bool:
    """Tell whether a stream notices the pauses of a long read."""
    return 0 < pause_ms <= SENSITIVE_GAP_MS


def free_memory(engine: EngineView) -> int:
    """Return an engine's free memory, as a sort key."""
    return engine.free_tokens


def cost_ms(
    query: PlacementQuery,
    profile: EngineProfile,
    engine: EngineView,
    part: PrefillWork,
) -> float:
    """Return how unfavourable an engine is for one part, as a wait."""
    cost = first_token_ms(profile, engine.times, part)
    cost += engine.penalty_ms + engine.slot_wait_ms
    if engine.jobs:
        cost += sum(losses(query, profile, engine, part).values())
    return cost


def part_ms(
    profile: EngineProfile, engine: EngineView, part: PrefillWork
) -> float:
    """Return the time until an engine has read a part for another one.

    The part goes before what waits there, but not into a running pass.
    """
    times = engine.times
    running_ms = (
        times.pending_prefill_ms / 2 if times.decode_iteration_ms else 0.0
    )
    return running_ms + first_token_ms(
        profile, times.without_pending_prefill(), part
    )


def losses(
    query: PlacementQuery,
    profile: EngineProfile,
    engine: EngineView,
    part: PrefillWork,
) -> dict[str, float]:
    """Return what the engine's other requests lose by this part, in tokens.

    Writers lose by a long pause, and what is being read waits for the part.
    What is late already loses nothing more.
    """
    pause_ms = max_token_gap_ms(profile, engine.times, part)
    read_s = prefill_ms(profile, part) / MS_PER_S
    lost: dict[str, float] = {}
    for job in engine.jobs:
        if job.decoding:
            late = 0 < job.event_gap_target_ms * PREDICTION_MARGIN < pause_ms
        else:
            first_at = max(query.now, job.first_token_at)
            late = first_at <= job.first_token_due_at < first_at + read_s
        if late:
            lost[job.request_id] = job.value_tokens * (1 - LATE_VALUE_SHARE)
    return lost


def _slot_wait_ms(
    query: PlacementQuery,
    profile: EngineProfile,
    jobs: tuple[Job, ...],
    slot_requests: int,
) -> float:
    queued = slot_requests - profile.slots
    if queued < 0:
        return 0.0
    ends = sorted(
        max(job.end_at, query.now + OVERDUE_REMAINING_S)
        for job in jobs
        if job.context_tokens
    )
    return (ends[queued] - query.now) * MS_PER_S
