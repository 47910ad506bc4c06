"""How favourable an engine is for a part of a prompt, and who loses by it.

Answers the load of long reads beside streams: a part adds its time to the
pauses of the engine's streams and to everything that waits to be read.
"""

from dataclasses import dataclass
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.load import Job, state_of
from masticwind.serving.model import Endpoint, EngineSpeed
from masticwind.serving.passes import (
    EngineState,
    EngineTimes,
    Reading,
    first_token_ms,
    longest_pause_ms,
    read_ms,
    times_of,
)
from masticwind.serving.placement import Query

# Part of a time limit that a prediction may use up.
MARGIN: Final = 0.85
# Worth of an answer after its aim, as a share; about that of the sheets.
LATE_CREDIT: Final = 0.25
# Streams that stand pauses up to this are held up by a long read.
SENSITIVE_PAUSE_MS: Final = 300.0
# Opening a further engine for short prompts costs as much as this wait.
SPREAD_COST_MS: Final = 150.0
# Slots that are left for what other entries are placing right now, and the
# cost of each one that is taken all the same.
SPARE_SLOTS: Final = 2
FULL_COST_MS: Final = 150.0
# Cost of an endpoint that fails everything.
SUSPECT_COST_MS: Final = 400.0
# Two crossings between availability zones, rounded up.
OTHER_ZONE_COST_MS: Final = 2.0
# A request that has outlived its prediction ends within about this time.
OVERDUE_END_S: Final = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """An engine as a placement sees it.

    `leads` counts the requests that hold or await a slot, `slot_wait_ms` is
    the time until one more request gets a slot; `memory` is what is free, in
    tokens. `sensitive` says that a stream here notices a pause of
    `SENSITIVE_PAUSE_MS`. `extra_ms` is what makes the engine unfavourable
    whatever it reads, as a wait. Without `may_lead` it only reads parts.
    """

    endpoint: Endpoint
    state: EngineState
    times: EngineTimes
    jobs: tuple[Job, ...]
    leads: int
    slot_wait_ms: float
    memory: int
    sensitive: bool
    extra_ms: float
    may_lead: bool = True


def view_engine(
    query: Query,
    speed: EngineSpeed,
    endpoint: Endpoint,
    *,
    may_lead: bool = True,
) -> EngineView:
    """Sum up what is known of an engine."""
    jobs = tuple(query.jobs.get(endpoint.identity, ()))
    state = state_of(jobs, query.now)
    leads = sum(1 for job in jobs if job.context)
    sensitive = any(is_sensitive(job.pause_ms) for job in jobs)
    used = sum(job.memory for job in jobs)
    extra_ms = query.failure_shares.get(endpoint.identity, 0) * SUSPECT_COST_MS
    if endpoint.zone != query.zone:
        extra_ms += OTHER_ZONE_COST_MS
    taken = leads - speed.slots + SPARE_SLOTS
    if taken >= 0:
        extra_ms += FULL_COST_MS * (taken + 1)
    if is_sensitive(query.pause_ms) and not sensitive:
        extra_ms += SPREAD_COST_MS
    return EngineView(
        endpoint=endpoint,
        state=state,
        times=times_of(speed, state),
        jobs=jobs,
        leads=leads,
        slot_wait_ms=_slot_wait_ms(query, speed, jobs, leads),
        # Engines preempt where more was placed than they hold.
        memory=max(0, speed.memory_tokens - used),
        sensitive=sensitive,
        extra_ms=extra_ms,
        may_lead=may_lead,
    )


def is_sensitive(pause_ms: float) -> bool:
    """Tell whether a stream notices the pauses of a long read."""
    return 0 < pause_ms <= SENSITIVE_PAUSE_MS


def free_memory(engine: EngineView) -> int:
    """Return an engine's free memory, as a sort key."""
    return engine.memory


def cost_ms(
    query: Query,
    speed: EngineSpeed,
    engine: EngineView,
    part: Reading,
) -> float:
    """Return how unfavourable an engine is for one part, as a wait."""
    cost = first_token_ms(speed, engine.times, part)
    cost += engine.extra_ms + engine.slot_wait_ms
    if engine.jobs:
        cost += sum(losses(query, speed, engine, part).values())
    return cost


def part_ms(speed: EngineSpeed, engine: EngineView, part: Reading) -> float:
    """Return the time until an engine has read a part for another one.

    The part goes before what waits there, but not into a running pass.
    """
    times = engine.times
    running_ms = times.waiting_ms / 2 if times.write_ms else 0.0
    return running_ms + first_token_ms(speed, times.without_waiting(), part)


def losses(
    query: Query,
    speed: EngineSpeed,
    engine: EngineView,
    part: Reading,
) -> dict[str, float]:
    """Return what the engine's other requests lose by this part, in tokens.

    Writers lose by a long pause, and what is being read waits for the part.
    What is late already loses nothing more.
    """
    pause_ms = longest_pause_ms(speed, engine.times, part)
    read_s = read_ms(speed, part) / MS_PER_S
    lost: dict[str, float] = {}
    for job in engine.jobs:
        if job.writing:
            late = 0 < job.pause_ms * MARGIN < pause_ms
        else:
            first_at = max(query.now, job.first_at)
            late = first_at <= job.due_at < first_at + read_s
        if late:
            lost[job.request] = job.worth * (1 - LATE_CREDIT)
    return lost


def _slot_wait_ms(
    query: Query,
    speed: EngineSpeed,
    jobs: tuple[Job, ...],
    leads: int,
) -> float:
    queued = leads - speed.slots
    if queued < 0:
        return 0.0
    ends = sorted(
        max(job.end_at, query.now + OVERDUE_END_S)
        for job in jobs
        if job.context
    )
    return (ends[queued] - query.now) * MS_PER_S
