"""Simple ways of placing, which the placers are compared with."""

import itertools
import random
from typing import Final

from masticwind.errors import Failure
from masticwind.serving.load import Job
from masticwind.serving.model import Endpoint
from masticwind.serving.passes import Reading
from masticwind.serving.placement import (
    Placement,
    Placer,
    Query,
    no_candidates,
)


class RoundRobin(Placer):
    """Takes the endpoints in turn."""

    def __init__(self) -> None:
        self._turns: Final = itertools.count()

    def place(self, query: Query) -> Placement | Failure:
        """Choose the next one."""
        if not query.candidates:
            return no_candidates()
        turn = next(self._turns) % len(query.candidates)
        return _alone(query, query.candidates[turn])


class LeastOutstanding(Placer):
    """Takes the endpoint with the fewest requests."""

    def place(self, query: Query) -> Placement | Failure:
        """Choose the emptiest one."""
        if not query.candidates:
            return no_candidates()
        best = min(
            query.candidates,
            key=lambda one: len(query.jobs.get(one.identity, ())),
        )
        return _alone(query, best)


def round_robin(_chance: random.Random) -> Placer:
    """Make a placer that draws nothing."""
    return RoundRobin()


def least_outstanding(_chance: random.Random) -> Placer:
    """Make a placer that draws nothing."""
    return LeastOutstanding()


def _alone(query: Query, endpoint: Endpoint) -> Placement:
    job = Job(
        number=0,
        request=query.request,
        endpoint=endpoint.identity,
        reading=Reading(0, 0),
        context=1,
        memory=0,
        started=query.now,
        first_at=query.now,
        end_at=query.now,
    )
    return Placement(
        lead=endpoint, shares=(), jobs=(job,), first_ms=0, whole_ms=0
    )
