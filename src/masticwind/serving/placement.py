"""Chooses the endpoints of a request.

Testable without a network: everything that a choice depends on is in the
`Query`. Each `Placer` says which load it answers.
"""

import abc
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.load import Job
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.passes import Reading

# Expected time of a plain call, for the queue of a plain service.
CALL_MS: Final = 40.0
# What a call to another zone costs, as a share of a slot.
OTHER_ZONE_COST: Final = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """What a placement is decided on.

    Each of `candidates` may run the request; `helpers` may only read a part
    of its prompt. `failure_shares` are recent shares of failures by endpoint;
    `now` is the time of the load board. `first_answer_ms` is the time to the
    first event that the route aims for, and `pause_ms` its longest pause in
    time.
    """

    request: str
    service: Service
    candidates: Sequence[Endpoint]
    helpers: Sequence[Endpoint] = ()
    jobs: Mapping[str, Sequence[Job]]
    now: float
    zone: str
    tokens: TokenCounts | None = None
    left_ms: float = math.inf
    first_answer_ms: float = 0
    pause_ms: float = 0
    failure_shares: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """An endpoint that reads a part of a prompt for another one.

    `reserved_tokens` is the memory that is reserved there for the part;
    zero leaves it with the leading endpoint.
    """

    endpoint: Endpoint
    reserved_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where a request goes: the leading endpoint and those that help read.

    `jobs` are what the request adds to the load board. `first_ms` and
    `whole_ms` are the predicted times to the first event and to the end.
    """

    lead: Endpoint
    shares: tuple[Share, ...]
    jobs: tuple[Job, ...]
    first_ms: float
    whole_ms: float


@dataclass(frozen=True, slots=True)
class Deferral:
    """The request is served better if it is placed a little later."""

    wait_ms: float
    reason: str


class Placer(abc.ABC):
    """A way of choosing endpoints."""

    @abc.abstractmethod
    def place(self, query: Query) -> Placement | Deferral | Failure:
        """Choose; a `Failure` says that the request cannot be served."""


class CallPlacer(Placer):
    """Takes the endpoint with the most free slots.

    Answers the load of short plain calls of about equal length, for which
    the number of running calls predicts the wait well enough.
    """

    def place(self, query: Query) -> Placement | Failure:
        """Choose the emptiest, in this zone where that costs nothing."""
        best: Endpoint | None = None
        best_cost = math.inf
        for endpoint in query.candidates:
            cost = _call_cost(query, endpoint)
            if cost < best_cost:
                best, best_cost = endpoint, cost
        if best is None:
            return no_candidates()
        running = len(query.jobs.get(best.identity, ()))
        wait_ms = CALL_MS * (1 + running // max(1, best.slots))
        job = Job(
            number=0,
            request=query.request,
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
            shares=(),
            jobs=(job,),
            first_ms=wait_ms,
            whole_ms=wait_ms,
        )


def no_candidates() -> Failure:
    """Return the refusal where no endpoint may be used."""
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason='no endpoint may be used',
    )


def _call_cost(query: Query, endpoint: Endpoint) -> float:
    running = len(query.jobs.get(endpoint.identity, ()))
    cost = (running + 1) / max(1, endpoint.slots)
    cost += query.failure_shares.get(endpoint.identity, 0)
    if endpoint.zone != query.zone:
        cost += OTHER_ZONE_COST
    return cost
