"""Chooses the endpoints of a request.

A placement depends only on its `PlacementQuery`, so it can be tested without a
network. Each `Placer` documents the workload for which it is made.
"""

import abc
import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.standing import DEFAULT_STANDING, Standing
from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.costs.model import STATIC_COSTS, CostModel
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.placement.helper_faults import ZonePair
from masticwind.serving.placement.load_table import Job

# Expected duration of a plain call; predicts the wait in a queue.
EXPECTED_CALL_MS: Final = 40.0
# Bounds of the retry hint for refused callers, and its jitter, which keeps
# them from returning at the same time.
MIN_RETRY_AFTER_MS: Final = 1000.0
MAX_RETRY_AFTER_MS: Final = 3000.0
RETRY_JITTER_SHARE: Final = 0.4
# A service may get new endpoints within a longer pause.
MAX_RETRY_AFTER_PAUSE_MS: Final = 30_000.0
# Cost of a call to another zone, added to the share of slots in use.
OTHER_ZONE_UTILIZATION_COST: Final = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """The input of a placement.

    Each of `candidates` may run the request; `helpers` may only prefill a
    part of its prompt. `failure_shares` has the recent share of failed
    requests by endpoint identity; `now` is the time of the load table's
    clock. `first_event_target_ms` is what remains of the route's target for
    the first event; zero means that there is no target. `permit_waits_ms` has
    the wait for a permit of each endpoint that limits its requests, and
    `pause_waits_ms` the wait for each endpoint that pauses or returns from a
    pause. With `last_resort`, the candidates are leaving. `barred_helpers`
    prefill no parts, and in `cut_zone_pairs` a lead of the first zone can use
    no helper of the second one. `costs` predicts what requests cost, and
    `standing` is what the request may ask for at overload. `return_key`
    recognizes the request if it comes back; zero if it cannot be.
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
    permit_waits_ms: Mapping[str, float] = field(default_factory=dict)
    pause_waits_ms: Mapping[str, float] = field(default_factory=dict)
    last_resort: bool = False
    route_key: int = 0
    team_key: int = 0
    barred_helpers: frozenset[str] = frozenset()
    cut_zone_pairs: frozenset[ZonePair] = frozenset()
    costs: CostModel = STATIC_COSTS
    standing: Standing = DEFAULT_STANDING
    return_key: int = 0

    def wait_ms(self, identity: str) -> float:
        """Return the time until an endpoint takes the request."""
        return max(
            self.permit_waits_ms.get(identity, 0),
            self.pause_waits_ms.get(identity, 0),
        )

    def may_help(self, identity: str) -> bool:
        """Tell whether an endpoint may prefill parts of prompts for others.

        It neither limits its requests, pauses nor leaves, and no lead has
        just refused a prompt because of it.
        """
        return not self.last_resort and not (
            identity in self.permit_waits_ms
            or identity in self.pause_waits_ms
            or identity in self.barred_helpers
        )

    def may_help_lead(self, lead: Endpoint, helper: Endpoint) -> bool:
        """Tell whether a lead can use a helper of this zone."""
        return (lead.zone, helper.zone) not in self.cut_zone_pairs


@dataclass(frozen=True, slots=True, kw_only=True)
class HelperPlacement:
    """An endpoint that prefills a part of a prompt for the lead endpoint.

    `reserved_tokens` is the KV cache to reserve there for the part; with zero,
    the lead endpoint holds it.
    """

    endpoint: Endpoint
    reserved_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The endpoints of a request: the lead and its helpers.

    `jobs` are the request's jobs for the load table. `first_event_ms` and
    `total_ms` are the predicted times to the first event and to the end.
    """

    lead: Endpoint
    helpers: tuple[HelperPlacement, ...]
    jobs: tuple[Job, ...]
    first_event_ms: float
    total_ms: float


@dataclass(frozen=True, slots=True)
class Deferral:
    """The request is to be placed again after `wait_ms`."""

    wait_ms: float
    reason: str


class Placer(abc.ABC):
    """A strategy for choosing endpoints."""

    def preview(self) -> 'Placer':
        """Return a placer that decides alike, and whose placements have no
        effect on later ones.
        """
        return self

    @abc.abstractmethod
    def place(self, query: PlacementQuery) -> Placement | Deferral | Failure:
        """Choose endpoints; a `Failure` refuses the request."""


class CallPlacer(Placer):
    """Chooses the endpoint with the lowest share of slots in use.

    For short plain calls of similar duration, where the number of running
    calls predicts the wait well enough.
    """

    def place(self, query: PlacementQuery) -> Placement | Failure:
        """Choose the least loaded endpoint; of equal ones, in this zone."""
        best: Endpoint | None = None
        best_cost = math.inf
        for endpoint in query.candidates:
            cost = _utilization_cost(query, endpoint)
            if cost < best_cost:
                best, best_cost = endpoint, cost
        if best is None:
            return no_endpoint_failure()
        start_wait_ms = query.wait_ms(best.identity)
        if start_wait_ms > _max_start_wait_ms(query):
            return waiting_failure(query, best.identity)
        running_calls = len(query.jobs_by_endpoint.get(best.identity, ()))
        wait_ms = EXPECTED_CALL_MS * (1 + running_calls // max(1, best.slots))
        wait_ms += start_wait_ms
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


def no_endpoint_failure() -> Failure:
    """Return the failure of a request that no endpoint may run."""
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason='no endpoint is available for this request',
    )


def waiting_failure(query: PlacementQuery, identity: str) -> Failure:
    """Return the failure of a request that no endpoint takes in time.

    `identity` is the best endpoint for it, which takes it first.
    """
    pause_wait_ms = query.pause_waits_ms.get(identity, 0)
    permit_wait_ms = query.permit_waits_ms.get(identity, 0)
    if permit_wait_ms >= pause_wait_ms:
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=(
                f'{identity} limits its requests, and its next permit is due in'
                f' {permit_wait_ms:.0f} ms'
            ),
            retry_after_ms=spread_retry_after_ms(permit_wait_ms),
        )
    return Failure(
        kind=ErrorKind.OVERLOADED,
        reason=(
            f'{identity} has asked for a pause and takes requests in'
            f' {pause_wait_ms:.0f} ms'
        ),
        retry_after_ms=_retry_after_pause_ms(pause_wait_ms),
    )


def spread_retry_after_ms(
    wait_ms: float, rng: random.Random | None = None
) -> int:
    """Return a retry hint that keeps callers from returning together."""
    uniform = random.uniform if rng is None else rng.uniform
    jitter_factor = uniform(1 - RETRY_JITTER_SHARE, 1 + RETRY_JITTER_SHARE)
    bounded_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
    return int(bounded_ms * jitter_factor)


def _retry_after_pause_ms(wait_ms: float) -> int:
    """Return a retry hint after the end of a pause, spread over time."""
    bounded_ms = min(MAX_RETRY_AFTER_PAUSE_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
    return int(bounded_ms * random.uniform(1, 1 + 2 * RETRY_JITTER_SHARE))


def _max_start_wait_ms(query: PlacementQuery) -> float:
    """Return how long a call may wait before it is sent: until its target, or
    for its remaining time without one.
    """
    target_ms = query.first_event_target_ms or query.remaining_ms
    return max(0.0, min(target_ms, query.remaining_ms) - EXPECTED_CALL_MS)


def _utilization_cost(query: PlacementQuery, endpoint: Endpoint) -> float:
    running_calls = len(query.jobs_by_endpoint.get(endpoint.identity, ()))
    cost = (running_calls + 1) / max(1, endpoint.slots)
    cost += query.failure_shares.get(endpoint.identity, 0)
    cost += query.wait_ms(endpoint.identity) / EXPECTED_CALL_MS
    if endpoint.zone != query.zone:
        cost += OTHER_ZONE_UTILIZATION_COST
    return cost
