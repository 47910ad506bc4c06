"""Plans for one prompt: which engines read it, and what that gains.

A plan's gain is the worth of the request, less if it will be late, and less
what others lose. Worth is counted in tokens read.
"""

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from masticwind.serving.engine_view import (
    LATE_VALUE_SHARE,
    PREDICTION_MARGIN,
    EngineView,
    cost_ms,
    free_memory,
    is_gap_sensitive,
    losses,
    part_ms,
)
from masticwind.serving.latency_model import (
    PrefillWork,
    first_token_ms,
    full_prefill,
    prefill_ms,
)
from masticwind.serving.model import EngineProfile, TokenCounts
from masticwind.serving.placement import PlacementQuery

# A token that is written counts as this many that are read, as on the
# users' sheets.
OUTPUT_TOKEN_VALUE: Final = 10
# The platform's engines take a list of at most this many helpers.
MAX_HELPERS: Final = 15
# Engines among which a plan chooses; three times as many as it can take.
SHORTLIST_SIZE: Final = 48
# A part that takes less time than this gains nothing.
MIN_PART_MS: Final = 12.0
# Callers give a stream up that has not begun after this many times its aim.
ABANDON_TARGET_FACTOR: Final = 4.0
# Worth of an answer that its caller has probably given up.
ABANDONED_VALUE_SHARE: Final = 0.12
# A helper costs a message and a step more; a tie goes to fewer helpers.
HELPER_COST_MS: Final = 3.0
# A part that blocks its engine longer leaves this share of all engines free.
BLOCKING_PREFILL_MS: Final = 120.0
UNBLOCKED_ENGINE_SHARE: Final = 0.2
# Slots that the streams on these engines fill.
STREAM_SLOT_SHARE: Final = 0.75
# Memory that a reservation takes of what is free on its engine.
RESERVABLE_MEMORY_SHARE: Final = 0.9
# Memory that the leading engine keeps for a prompt beyond its memory: engines
# round to blocks and refuse a request that does not fit by a single one.
LEAD_MEMORY_SHARE: Final = 0.97
# Worth of a millisecond, as a share; far below that of being in time.
VALUE_SHARE_PER_MS: Final = 1e-5


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The engines of a prompt, the leading one first.

    `lost_tokens` is what others lose, `net_value_tokens` what remains of the request's worth.
    """

    engines: tuple[EngineView, ...]
    first_token_ms: float
    net_value_tokens: float
    lost_tokens: float


def request_value(tokens: TokenCounts) -> float:
    """Return the work that a caller gets, in tokens read."""
    return tokens.prompt + OUTPUT_TOKEN_VALUE * tokens.expected_output


def missing_tokens(tokens: TokenCounts, lead: EngineView) -> int:
    """Return the tokens of memory that the leading engine lacks."""
    needed = tokens.prompt + tokens.max_output
    if needed <= lead.free_tokens:
        return 0
    return needed - int(lead.free_tokens * LEAD_MEMORY_SHARE)


def best_plan(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    engines: Sequence[EngineView],
) -> Plan | None:
    """Return the plan with the largest gain; None if no memory suffices."""
    best: Plan | None = None
    most = min(len(engines), max_parts(profile, tokens))
    # A long read leaves engines to sensitive streams.
    spare = len(engines) - _kept(profile, engines)
    smallest = full_prefill(tokens.prompt).scaled(1 / most)
    shortlist = _shortlist(query, profile, engines, smallest)
    for parts in range(1, most + 1):
        if 1 < parts and spare < parts and _blocks(profile, tokens, parts):
            continue
        plan = _plan(query, profile, tokens, shortlist, parts)
        if plan is not None and (
            best is None or plan.net_value_tokens > best.net_value_tokens
        ):
            best = plan
    return best


def max_parts(profile: EngineProfile, tokens: TokenCounts) -> int:
    """Return in how many parts a prompt is read at most."""
    if not profile.distributed_prefill:
        return 1
    whole_ms = prefill_ms(profile, full_prefill(tokens.prompt))
    return max(1, min(MAX_HELPERS + 1, int(whole_ms / MIN_PART_MS)))


def _blocks(profile: EngineProfile, tokens: TokenCounts, parts: int) -> bool:
    """Tell whether one of so many parts blocks its engine for long."""
    part = full_prefill(tokens.prompt).scaled(1 / parts)
    return prefill_ms(profile, part) > BLOCKING_PREFILL_MS


def _shortlist(
    query: PlacementQuery,
    profile: EngineProfile,
    engines: Sequence[EngineView],
    part: PrefillWork,
) -> Sequence[EngineView]:
    """Return the engines that a plan can take, for any size of the fleet."""
    if len(engines) <= SHORTLIST_SIZE:
        return engines
    ranked = heapq.nsmallest(
        SHORTLIST_SIZE,
        engines,
        key=lambda one: cost_ms(query, profile, one, part),
    )
    if any(one.may_lead for one in ranked):
        return ranked
    lead_candidates = [one for one in engines if one.may_lead]
    return ranked + lead_candidates[:SHORTLIST_SIZE]


def _plan(
    query: PlacementQuery,
    profile: EngineProfile,
    tokens: TokenCounts,
    engines: Sequence[EngineView],
    parts: int,
) -> Plan | None:
    part = full_prefill(tokens.prompt).scaled(1 / parts)
    costs = {
        one.endpoint.identity: cost_ms(query, profile, one, part)
        for one in engines
    }
    ranked = sorted(engines, key=lambda one: costs[one.endpoint.identity])
    lead = _lead(tokens, ranked, parts)
    if lead is None:
        return None
    group = _group(ranked, lead, parts)
    first_ms = _first_ms(profile, group, part)
    lost = _lost(query, profile, group, part)
    # Among plans that serve everybody as well, the quicker one is better.
    wait_ms = first_ms + parts * HELPER_COST_MS
    wait_ms += max(costs[one.endpoint.identity] for one in group)
    credit = _credit(query, first_ms) - wait_ms * VALUE_SHARE_PER_MS
    return Plan(
        engines=tuple(group),
        first_token_ms=first_ms,
        net_value_tokens=request_value(tokens) * credit - lost,
        lost_tokens=lost,
    )


def _kept(profile: EngineProfile, engines: Sequence[EngineView]) -> int:
    """Return how many engines a long read leaves to sensitive streams."""
    streams = sum(
        is_gap_sensitive(job.event_gap_target_ms)
        for engine in engines
        for job in engine.jobs
    )
    needed = math.ceil(streams / (profile.slots * STREAM_SLOT_SHARE))
    return max(math.ceil(len(engines) * UNBLOCKED_ENGINE_SHARE), needed)


def _lead(
    tokens: TokenCounts,
    ranked: Sequence[EngineView],
    parts: int,
) -> EngineView | None:
    """Return the leading engine: the best one that holds the memory."""
    needed = tokens.prompt + tokens.max_output
    for engine in ranked:
        if engine.may_lead and needed <= engine.free_tokens:
            return engine
    lead_candidates = [one for one in ranked if one.may_lead]
    if parts == 1 or not lead_candidates:
        return None
    # The others of the group hold a part of the memory under reservations.
    lead = max(lead_candidates[:parts], key=free_memory)
    room = int(lead.free_tokens * LEAD_MEMORY_SHARE)
    helpers = _group(ranked, lead, parts)[1:]
    room += sum(
        int(helper.free_tokens * RESERVABLE_MEMORY_SHARE) for helper in helpers
    )
    return lead if needed <= room else None


def _group(
    ranked: Sequence[EngineView],
    lead: EngineView,
    parts: int,
) -> list[EngineView]:
    """Return the leading engine and the best ones beside it."""
    helpers = [one for one in ranked if one is not lead]
    return [lead, *helpers[: parts - 1]]


def _first_ms(
    profile: EngineProfile,
    group: Sequence[EngineView],
    part: PrefillWork,
) -> float:
    lead, *helpers = group
    first_ms = first_token_ms(profile, lead.times, part)
    for engine in helpers:
        first_ms = max(first_ms, part_ms(profile, engine, part))
    return first_ms + lead.slot_wait_ms


def _lost(
    query: PlacementQuery,
    profile: EngineProfile,
    group: Sequence[EngineView],
    part: PrefillWork,
) -> float:
    lost: dict[str, float] = {}
    for engine in group:
        lost.update(losses(query, profile, engine, part))
    return sum(lost.values())


def _credit(query: PlacementQuery, first_ms: float) -> float:
    aim_ms = query.first_event_target_ms or query.remaining_ms
    if first_ms <= aim_ms * PREDICTION_MARGIN:
        return 1.0
    if (
        first_ms
        <= min(query.remaining_ms, aim_ms * ABANDON_TARGET_FACTOR)
        * PREDICTION_MARGIN
    ):
        return LATE_VALUE_SHARE
    return ABANDONED_VALUE_SHARE
