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
    LATE_CREDIT,
    MARGIN,
    EngineView,
    cost_ms,
    free_memory,
    is_sensitive,
    losses,
    part_ms,
)
from masticwind.serving.model import EngineSpeed, TokenCounts
from masticwind.serving.passes import (
    Reading,
    first_token_ms,
    read_ms,
    whole_prompt,
)
from masticwind.serving.placement import Query

# A token that is written counts as this many that are read, as on the
# users' sheets.
WRITTEN_WORTH: Final = 10
# The platform's engines take a list of at most this many helpers.
MAX_HELPERS: Final = 15
# Engines among which a plan chooses; three times as many as it can take.
SHORTLIST: Final = 48
# A part that takes less time than this gains nothing.
SMALLEST_PART_MS: Final = 12.0
# Callers give a stream up that has not begun after this many times its aim.
ABANDON_FACTOR: Final = 4.0
# Worth of an answer that its caller has probably given up.
ABANDONED_CREDIT: Final = 0.12
# A helper costs a message and a step more; a tie goes to fewer helpers.
HELPER_COST_MS: Final = 3.0
# A part that blocks its engine longer leaves this share of all engines free.
BLOCKING_MS: Final = 120.0
FREE_SHARE: Final = 0.2
# Slots that the streams on these engines fill.
FILLED_SHARE: Final = 0.75
# Memory that a reservation takes of what is free on its engine.
RESERVE_SHARE: Final = 0.9
# Memory that the leading engine keeps for a prompt beyond its memory: engines
# round to blocks and refuse a request that does not fit by a single one.
LEAD_SHARE: Final = 0.97
# Worth of a millisecond, as a share; far below that of being in time.
TIE_BREAK: Final = 1e-5


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The engines of a prompt, the leading one first.

    `lost` is what others lose, `gain` what remains of the request's worth.
    """

    engines: tuple[EngineView, ...]
    first_ms: float
    gain: float
    lost: float


def worth_of(tokens: TokenCounts) -> float:
    """Return the work that a caller gets, in tokens read."""
    return tokens.prompt + WRITTEN_WORTH * tokens.expected_output


def missing_memory(tokens: TokenCounts, lead: EngineView) -> int:
    """Return the tokens of memory that the leading engine lacks."""
    needed = tokens.prompt + tokens.max_output
    if needed <= lead.memory:
        return 0
    return needed - int(lead.memory * LEAD_SHARE)


def best_plan(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    engines: Sequence[EngineView],
) -> Plan | None:
    """Return the plan with the largest gain; None if no memory suffices."""
    best: Plan | None = None
    most = min(len(engines), most_parts(speed, tokens))
    # A long read leaves engines to sensitive streams.
    spare = len(engines) - _kept(speed, engines)
    smallest = whole_prompt(tokens.prompt).part(1 / most)
    shortlist = _shortlist(query, speed, engines, smallest)
    for parts in range(1, most + 1):
        if 1 < parts and spare < parts and _blocks(speed, tokens, parts):
            continue
        plan = _plan(query, speed, tokens, shortlist, parts)
        if plan is not None and (best is None or plan.gain > best.gain):
            best = plan
    return best


def most_parts(speed: EngineSpeed, tokens: TokenCounts) -> int:
    """Return in how many parts a prompt is read at most."""
    if not speed.joint:
        return 1
    whole_ms = read_ms(speed, whole_prompt(tokens.prompt))
    return max(1, min(MAX_HELPERS + 1, int(whole_ms / SMALLEST_PART_MS)))


def _blocks(speed: EngineSpeed, tokens: TokenCounts, parts: int) -> bool:
    """Tell whether one of so many parts blocks its engine for long."""
    part = whole_prompt(tokens.prompt).part(1 / parts)
    return read_ms(speed, part) > BLOCKING_MS


def _shortlist(
    query: Query,
    speed: EngineSpeed,
    engines: Sequence[EngineView],
    part: Reading,
) -> Sequence[EngineView]:
    """Return the engines that a plan can take, for any size of the fleet."""
    if len(engines) <= SHORTLIST:
        return engines
    ranked = heapq.nsmallest(
        SHORTLIST,
        engines,
        key=lambda one: cost_ms(query, speed, one, part),
    )
    if any(one.may_lead for one in ranked):
        return ranked
    leads = [one for one in engines if one.may_lead]
    return ranked + leads[:SHORTLIST]


def _plan(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
    engines: Sequence[EngineView],
    parts: int,
) -> Plan | None:
    part = whole_prompt(tokens.prompt).part(1 / parts)
    costs = {
        one.endpoint.identity: cost_ms(query, speed, one, part)
        for one in engines
    }
    ranked = sorted(engines, key=lambda one: costs[one.endpoint.identity])
    lead = _lead(tokens, ranked, parts)
    if lead is None:
        return None
    group = _group(ranked, lead, parts)
    first_ms = _first_ms(speed, group, part)
    lost = _lost(query, speed, group, part)
    # Among plans that serve everybody as well, the quicker one is better.
    wait_ms = first_ms + parts * HELPER_COST_MS
    wait_ms += max(costs[one.endpoint.identity] for one in group)
    credit = _credit(query, first_ms) - wait_ms * TIE_BREAK
    return Plan(
        engines=tuple(group),
        first_ms=first_ms,
        gain=worth_of(tokens) * credit - lost,
        lost=lost,
    )


def _kept(speed: EngineSpeed, engines: Sequence[EngineView]) -> int:
    """Return how many engines a long read leaves to sensitive streams."""
    streams = sum(
        is_sensitive(job.pause_ms) for engine in engines for job in engine.jobs
    )
    needed = math.ceil(streams / (speed.slots * FILLED_SHARE))
    return max(math.ceil(len(engines) * FREE_SHARE), needed)


def _lead(
    tokens: TokenCounts,
    ranked: Sequence[EngineView],
    parts: int,
) -> EngineView | None:
    """Return the leading engine: the best one that holds the memory."""
    needed = tokens.prompt + tokens.max_output
    for engine in ranked:
        if engine.may_lead and needed <= engine.memory:
            return engine
    leads = [one for one in ranked if one.may_lead]
    if parts == 1 or not leads:
        return None
    # The others of the group hold a part of the memory under reservations.
    lead = max(leads[:parts], key=free_memory)
    room = int(lead.memory * LEAD_SHARE)
    helpers = _group(ranked, lead, parts)[1:]
    room += sum(int(helper.memory * RESERVE_SHARE) for helper in helpers)
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
    speed: EngineSpeed,
    group: Sequence[EngineView],
    part: Reading,
) -> float:
    lead, *helpers = group
    first_ms = first_token_ms(speed, lead.times, part)
    for engine in helpers:
        first_ms = max(first_ms, part_ms(speed, engine, part))
    return first_ms + lead.slot_wait_ms


def _lost(
    query: Query,
    speed: EngineSpeed,
    group: Sequence[EngineView],
    part: Reading,
) -> float:
    lost: dict[str, float] = {}
    for engine in group:
        lost.update(losses(query, speed, engine, part))
    return sum(lost.values())


def _credit(query: Query, first_ms: float) -> float:
    aim_ms = query.first_answer_ms or query.left_ms
    if first_ms <= aim_ms * MARGIN:
        return 1.0
    if first_ms <= min(query.left_ms, aim_ms * ABANDON_FACTOR) * MARGIN:
        return LATE_CREDIT
    return ABANDONED_CREDIT
