"""Chooses the endpoints of a request from predictions.

Answers the load of prompts of very unlike lengths: thousands of short ones
beside few that keep an engine reading for seconds. Testable without a
network: everything it looks at is in the `Query`.
"""

import abc
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.load import Job, state_of
from masticwind.serving.model import Endpoint, EngineSpeed, Service, TokenCounts
from masticwind.serving.passes import (
    EngineState,
    Reading,
    first_token_ms,
    whole_prompt,
    write_pass_ms,
)

MS_PER_S: Final = 1000
# Expected time of a plain call, for the queue of a plain service.
CALL_MS: Final = 40.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """What a placement is decided on.

    `failure_shares` are recent shares of failures by endpoint; `now` is the
    time of the load board.
    """

    service: Service
    candidates: Sequence[Endpoint]
    jobs: Mapping[str, Sequence[Job]]
    now: float
    zone: str
    tokens: TokenCounts | None = None
    left_ms: float = math.inf
    failure_shares: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where a request goes: the leading endpoint and those that help read.

    `jobs` are what the request adds to the load board. `first_ms` and
    `whole_ms` are the predicted times to the first event and to the end.
    """

    lead: Endpoint
    helpers: tuple[Endpoint, ...]
    jobs: tuple[Job, ...]
    first_ms: float
    whole_ms: float
    reserved_tokens: int = 0


class Placer(abc.ABC):
    """A way of choosing endpoints."""

    @abc.abstractmethod
    def place(self, query: Query) -> Placement | Failure:
        """Choose; a `Failure` says that the request cannot be served."""


class PredictedPlacer(Placer):
    """Takes the endpoint with the earliest predicted first event."""

    def place(self, query: Query) -> Placement | Failure:
        """Choose the earliest."""
        if not query.candidates:
            return Failure(
                kind=ErrorKind.NO_CAPACITY,
                reason='no endpoint may be used',
            )
        speed = query.service.speed
        if speed is None or query.tokens is None:
            return _place_call(query)
        return _place_prompt(query, speed, query.tokens)


def _place_call(query: Query) -> Placement:
    best: Endpoint | None = None
    best_cost = math.inf
    for endpoint in query.candidates:
        running = len(query.jobs.get(endpoint.identity, ()))
        cost = (running + 1) / max(1, endpoint.slots)
        cost += query.failure_shares.get(endpoint.identity, 0)
        cost += 0 if endpoint.zone == query.zone else 0.05
        if cost < best_cost:
            best, best_cost = endpoint, cost
    assert best is not None
    running = len(query.jobs.get(best.identity, ()))
    wait_ms = CALL_MS * (1 + running // max(1, best.slots))
    job = Job(
        number=0,
        endpoint=best.identity,
        reading=Reading(0, 0),
        context=1,
        memory=0,
        started=query.now,
        first_at=query.now + wait_ms / MS_PER_S,
        end_at=query.now + wait_ms / MS_PER_S,
    )
    return Placement(
        lead=best,
        helpers=(),
        jobs=(job,),
        first_ms=wait_ms,
        whole_ms=wait_ms,
    )


def _place_prompt(
    query: Query,
    speed: EngineSpeed,
    tokens: TokenCounts,
) -> Placement | Failure:
    best: Endpoint | None = None
    best_ms = math.inf
    memory = tokens.prompt + tokens.expected_output
    own = whole_prompt(tokens.prompt)
    for endpoint in query.candidates:
        jobs = query.jobs.get(endpoint.identity, ())
        if sum(job.memory for job in jobs) + memory > speed.memory_tokens:
            continue
        state = state_of(jobs, query.now)
        first_ms = first_token_ms(speed, state, own)
        first_ms *= 1 + query.failure_shares.get(endpoint.identity, 0)
        if first_ms < best_ms:
            best, best_ms = endpoint, first_ms
    if best is None:
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason='no endpoint has the memory for this prompt',
            retry_after_ms=500,
        )
    state = state_of(query.jobs.get(best.identity, ()), query.now)
    whole_ms = best_ms + _write_ms(speed, state, tokens)
    job = Job(
        number=0,
        endpoint=best.identity,
        reading=own,
        context=tokens.prompt + tokens.expected_output // 2,
        memory=memory,
        started=query.now,
        first_at=query.now + best_ms / MS_PER_S,
        end_at=query.now + whole_ms / MS_PER_S,
    )
    return Placement(
        lead=best,
        helpers=(),
        jobs=(job,),
        first_ms=best_ms,
        whole_ms=whole_ms,
    )


def _write_ms(
    speed: EngineSpeed,
    state: EngineState,
    tokens: TokenCounts,
) -> float:
    passes = math.ceil(tokens.expected_output / speed.stride)
    return passes * write_pass_ms(speed, (*state.contexts, tokens.prompt))
