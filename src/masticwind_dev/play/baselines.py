"""Simple placers, as baselines for the predictive ones."""

import itertools
import random
from typing import Final

from masticwind.errors import Failure
from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.load_table import Job
from masticwind.serving.placement.placer import (
    Placement,
    PlacementQuery,
    Placer,
    no_endpoint_failure,
)


class RoundRobin(Placer):
    """Chooses the endpoints in turn."""

    def __init__(self) -> None:
        self._turn_counter: Final = itertools.count()

    def place(self, query: PlacementQuery) -> Placement | Failure:
        """Choose the next endpoint in turn."""
        if not query.candidates:
            return no_endpoint_failure()
        turn = next(self._turn_counter) % len(query.candidates)
        return _single_endpoint_placement(query, query.candidates[turn])


class LeastOutstanding(Placer):
    """Chooses the endpoint with the fewest jobs."""

    def place(self, query: PlacementQuery) -> Placement | Failure:
        """Choose the endpoint with the fewest jobs."""
        if not query.candidates:
            return no_endpoint_failure()
        best = min(
            query.candidates,
            key=lambda endpoint: len(
                query.jobs_by_endpoint.get(endpoint.identity, ())
            ),
        )
        return _single_endpoint_placement(query, best)


def round_robin(_rng: random.Random) -> Placer:
    """Return a placer, which needs no random numbers."""
    return RoundRobin()


def least_outstanding(_rng: random.Random) -> Placer:
    """Return a placer, which needs no random numbers."""
    return LeastOutstanding()


def _single_endpoint_placement(
    query: PlacementQuery, endpoint: Endpoint
) -> Placement:
    job = Job(
        job_id=0,
        request_id=query.request_id,
        endpoint_id=endpoint.identity,
        prefill=PrefillWork(0, 0),
        context_tokens=1,
        held_tokens=0,
        started_at=query.now,
        first_token_at=query.now,
        end_at=query.now,
    )
    return Placement(
        lead=endpoint, helpers=(), jobs=(job,), first_event_ms=0, total_ms=0
    )
