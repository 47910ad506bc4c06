"""Simple ways of placing, which the placers are compared with."""

import itertools
import random
from typing import Final

from masticwind.errors import Failure
from masticwind.serving.latency_model import PrefillWork
from masticwind.serving.load_table import Job
from masticwind.serving.model import Endpoint
from masticwind.serving.placement import (
    Placement,
    PlacementQuery,
    Placer,
    no_endpoint_failure,
)


class RoundRobin(Placer):
    """Takes the endpoints in turn."""

    def __init__(self) -> None:
        self._turns: Final = itertools.count()

    def place(self, query: PlacementQuery) -> Placement | Failure:
        """Choose the next one."""
        if not query.candidates:
            return no_endpoint_failure()
        turn = next(self._turns) % len(query.candidates)
        return _alone(query, query.candidates[turn])


class LeastOutstanding(Placer):
    """Takes the endpoint with the fewest requests."""

    def place(self, query: PlacementQuery) -> Placement | Failure:
        """Choose the emptiest one."""
        if not query.candidates:
            return no_endpoint_failure()
        best = min(
            query.candidates,
            key=lambda one: len(query.jobs_by_endpoint.get(one.identity, ())),
        )
        return _alone(query, best)


def round_robin(_chance: random.Random) -> Placer:
    """Make a placer that draws nothing."""
    return RoundRobin()


def least_outstanding(_chance: random.Random) -> Placer:
    """Make a placer that draws nothing."""
    return LeastOutstanding()


def _alone(query: PlacementQuery, endpoint: Endpoint) -> Placement:
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
