"""Chooses the endpoints of a request.

Testable without a network: everything that a choice depends on is in the
`PlacementQuery`. Each `Placer` says which load it answers.
"""

import abc
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.latency_model import PrefillWork
from masticwind.serving.load_table import Job
from masticwind.serving.model import Endpoint, Service, TokenCounts

# Expected time of a plain call, for the queue of a plain service.
EXPECTED_CALL_MS: Final = 40.0
# What a call to another zone costs, as a share of a slot.
OTHER_ZONE_COST_SLOTS: Final = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """What a placement is decided on.

    Each of `candidates` may run the request; `helpers` may only read a part
    of its prompt. `failure_shares` are recent shares of failures by endpoint;
    `now` is the time of the load board. `first_event_target_ms` is the time to the
    first event that the route aims for, and `event_gap_target_ms` its longest pause in
    time.
    """

    request_id: str
    service: Service
    candidates: Sequence[Endpoint]
    helpers: Sequence[Endpoint] = ()
    jobs_by_endpoint: Mapping[str, Sequence[Job]]
    now: float
    zone: str
    tokens: TokenCounts | None = None
    remaining_ms: float = math.inf
    first_event_target_ms: float = 0
    event_gap_target_ms: float = 0
    failure_shares: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class HelperPlacement:
    """An endpoint that reads a part of a prompt for another one.

    `reserved_tokens` is the memory that is reserved there for the part;
    zero leaves it with the leading endpoint.
    """

    endpoint: Endpoint
    reserved_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where a request goes: the leading endpoint and those that help read.

    `jobs` are what the request adds to the load board. `first_event_ms` and
    `total_ms` are the predicted times to the first event and to the end.
    """

    lead: Endpoint
    helpers: tuple[HelperPlacement, ...]
    jobs: tuple[Job, ...]
    first_event_ms: float
    total_ms: float


@dataclass(frozen=True, slots=True)
class Deferral:
    """The request is served better if it is placed a little later."""

    wait_ms: float
    reason: str


class Placer(abc.ABC):
    """A way of choosing endpoints."""

    @abc.abstractmethod
    def place(self, query: PlacementQuery) -> Placement | Deferral | Failure:
        """Choose; a `Failure` says that the request cannot be served."""


class CallPlacer(Placer):
    """Takes the endpoint with the most free slots.

    Answers the load of short plain calls of about equal length, for which
    the number of running calls predicts the wait well enough.
    """

    def place(self, query: PlacementQuery) -> Placement | Failure:
        """Choose the emptiest, in this zone where that costs nothing."""
        best: Endpoint | None = None
        best_cost = math.inf
        for endpoint in query.candidates:
            cost = _call_cost(query, endpoint)
            if cost < best_cost:
                best, best_cost = endpoint, cost
        if best is None:
            return no_candidates()
        running = len(query.jobs_by_endpoint.get(best.identity, ()))
        wait_ms = EXPECTED_CALL_MS * (1 + running // max(1, best.slots))
        job = Job(
            job_id=0,
            request_id=query.request_id,
            endpoint_id=best.identity,
            prefill=PrefillWork(0, 0),
            context_tokens=1,
            held_tokens=0,
            started_at=query.now,
            first_token_at=query.now + wait_ms / MS_PER_S,
            end_at=query.now + wait_ms / MS_PER_S,
        )
        return Placement(
            lead=best,
            helpers=(),
            jobs=(job,),
            first_event_ms=wait_ms,
            total_ms=wait_ms,
        )


def no_candidates() -> Failure:
    """Return the refusal where no endpoint may be used."""
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason='no endpoint may be used',
    )


def _call_cost(query: PlacementQuery, endpoint: Endpoint) -> float:
    running = len(query.jobs_by_endpoint.get(endpoint.identity, ()))
    cost = (running + 1) / max(1, endpoint.slots)
    cost += query.failure_shares.get(endpoint.identity, 0)
    if endpoint.zone != query.zone:
        cost += OTHER_ZONE_COST_SLOTS
    return cost
