"""Costs of running a part of a prompt's prefill on an engine.

A long prefill widens the token gaps of the engine's streams and delays every
prompt that waits there. Costs are expressed as waiting time in milliseconds;
the value that other requests lose is counted in prompt tokens.
"""

from dataclasses import dataclass
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.costs.latency_model import (
    EngineLoad,
    EngineTimes,
    PrefillWork,
    engine_times,
    first_token_ms,
    max_token_gap_ms,
    prefill_ms,
)
from masticwind.serving.model import Endpoint, EngineProfile
from masticwind.serving.placement.load_table import Job, engine_load
from masticwind.serving.placement.placer import PlacementQuery

# Share of a target or deadline that a predicted time may use; the rest covers
# prediction errors.
USABLE_TARGET_SHARE: Final = 0.85
# Value of an answer that misses its target, as a share of the full value;
# callers credit a late answer with about this much.
LATE_VALUE_SHARE: Final = 0.25
# Streams with an event gap target of at most this miss it while their engine
# runs a long prefill.
SENSITIVE_GAP_MS: Final = 300.0
# Cost of the first gap-sensitive stream on an engine. It gathers such streams
# on few engines and leaves the others free for long prefills.
SPREAD_COST_MS: Final = 150.0
# Slots kept free for placements of other entries that are not known here yet,
# and the cost of using each of them.
SPARE_SLOTS: Final = 2
SLOT_SHORTAGE_COST_MS: Final = 150.0
# Cost of an endpoint whose requests all fail, scaled by its failure share.
FAILURE_COST_MS: Final = 400.0
# A round trip between availability zones, rounded up.
OTHER_ZONE_COST_MS: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """State of an engine, as known at the time of a placement.

    `slot_requests` counts the requests that hold a slot or wait for one, and
    `slot_wait_ms` is the wait of one more request. `free_tokens` is the free
    KV cache. `has_gap_sensitive_stream` says that a stream here has an event
    gap target of at most `SENSITIVE_GAP_MS`. `penalty_ms` is the part of the
    cost that does not depend on the prefill. An engine that may not lead can
    only prefill parts of prompts for others. `start_wait_ms` is the wait for a
    permit if the engine limits its requests, or for the end of a pause that it
    has asked for; such an engine prefills nothing for others. `speed_factor` is
    how much longer it takes than its profile says.
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
    may_help: bool = True
    start_wait_ms: float = 0
    speed_factor: float = 1.0

    @property
    def target_factor(self) -> float:
        """The factor of predicted times, by which requests are refused.

        That of an idle engine is at most 1, so that no request is refused
        which the engine could serve if it is faster than it seemed.
        """
        return self.speed_factor if self.jobs else min(1.0, self.speed_factor)


def build_engine_view(
    query: PlacementQuery,
    profile: EngineProfile,
    endpoint: Endpoint,
    *,
    may_lead: bool = True,
) -> EngineView:
    """Collect the state of an engine from its known jobs."""
    jobs = tuple(query.jobs_by_endpoint.get(endpoint.identity, ()))
    load = engine_load(jobs, query.now)
    slot_requests = sum(1 for job in jobs if job.context_tokens)
    has_gap_sensitive_stream = any(
        is_gap_sensitive(job.event_gap_target_ms) for job in jobs
    )
    held_tokens = sum(job.held_tokens for job in jobs)
    penalty_ms = (
        query.failure_shares.get(endpoint.identity, 0) * FAILURE_COST_MS
    )
    if endpoint.zone != query.zone:
        penalty_ms += OTHER_ZONE_COST_MS
    start_wait_ms = query.wait_ms(endpoint.identity)
    excess_requests = slot_requests - profile.slots + SPARE_SLOTS
    if excess_requests >= 0:
        penalty_ms += SLOT_SHORTAGE_COST_MS * (excess_requests + 1)
    if (
        is_gap_sensitive(query.event_gap_target_ms)
        and not has_gap_sensitive_stream
    ):
        penalty_ms += SPREAD_COST_MS
    return EngineView(
        endpoint=endpoint,
        load=load,
        times=engine_times(profile, load),
        jobs=jobs,
        slot_requests=slot_requests,
        slot_wait_ms=max(
            start_wait_ms,
            query.costs.slot_wait_ms(jobs, profile.slots, query.now),
        ),
        # Several entries can overcommit an engine, which then preempts.
        free_tokens=max(0, profile.kv_cache_tokens - held_tokens),
        has_gap_sensitive_stream=has_gap_sensitive_stream,
        penalty_ms=penalty_ms,
        may_lead=may_lead,
        may_help=query.may_help(endpoint.identity),
        start_wait_ms=start_wait_ms,
        speed_factor=query.costs.speed_factor(endpoint.identity),
    )


def is_gap_sensitive(gap_ms: float) -> bool:
    """Tell whether a long prefill makes a stream miss its gap target."""
    return 0 < gap_ms <= SENSITIVE_GAP_MS


def free_tokens_of(engine: EngineView) -> int:
    """Return an engine's free KV cache, as a sort key."""
    return engine.free_tokens


def engine_cost_ms(
    query: PlacementQuery,
    profile: EngineProfile,
    engine: EngineView,
    prefill: PrefillWork,
) -> float:
    """Return the cost of one part of a prefill on an engine.

    Losses of other requests count as one millisecond for each token.
    """
    first_ms = first_token_ms(profile, engine.times, prefill)
    total_ms = first_ms * engine.speed_factor
    if not engine.jobs and engine.speed_factor > 1:
        # An idle engine that seems slow is preferred to a late answer.
        usable_ms = query.first_event_target_ms * USABLE_TARGET_SHARE
        total_ms = min(total_ms, max(first_ms, usable_ms))
    total_ms += engine.penalty_ms + engine.slot_wait_ms
    if engine.jobs:
        total_ms += sum(losses(query, profile, engine, prefill).values())
    return total_ms


def helper_prefill_ms(
    profile: EngineProfile, engine: EngineView, prefill: PrefillWork
) -> float:
    """Return the time until a helper has prefilled its part.

    Engines run such parts before their own prompts, but not before the end
    of the running iteration.
    """
    times = engine.times
    running_ms = (
        times.pending_prefill_ms / 2 if times.decode_iteration_ms else 0.0
    )
    first_ms = first_token_ms(profile, times.without_pending_prefill(), prefill)
    return (running_ms + first_ms) * engine.target_factor


def losses(
    query: PlacementQuery,
    profile: EngineProfile,
    engine: EngineView,
    prefill: PrefillWork,
) -> dict[str, float]:
    """Return the value in prompt tokens that each other request of the
    engine loses to this prefill, by request id.

    A decoding request loses if the token gap exceeds its target, and a
    waiting one if the delay makes its first token late. A request that is
    late already loses nothing more.
    """
    gap_ms = max_token_gap_ms(profile, engine.times, prefill)
    gap_ms *= engine.speed_factor
    prefill_s = prefill_ms(profile, prefill) * engine.speed_factor / MS_PER_S
    lost_tokens: dict[str, float] = {}
    for job in engine.jobs:
        if job.decoding:
            misses_target = (
                0 < job.event_gap_target_ms * USABLE_TARGET_SHARE < gap_ms
            )
        else:
            first_at = max(query.now, job.first_token_at)
            misses_target = (
                first_at <= job.first_token_due_at < first_at + prefill_s
            )
        if misses_target:
            lost_tokens[job.request_id] = job.value_tokens * (
                1 - LATE_VALUE_SHARE
            )
    return lost_tokens
