"""What requests cost an engine, beyond what its profile says.

A placement asks a `CostModel` where the profile of the engines alone cannot
tell: how long the requests in progress will go on, and how fast an engine is.
"""

import abc
from collections.abc import Sequence
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.model import TokenCounts
from masticwind.serving.placement.load_table import Job

# Expected remaining time of a request that has exceeded its predicted end.
OVERDUE_REMAINING_S: Final = 0.3


class CostModel(abc.ABC):
    """Predicts what requests cost."""

    @abc.abstractmethod
    def slot_wait_ms(
        self, jobs: Sequence[Job], slots: int, now: float
    ) -> float:
        """Return the wait for a slot of an engine that has these jobs.

        `now` is the time of the load table's clock. Helpers take no slot.
        """

    @abc.abstractmethod
    def speed_factor(self, endpoint: str) -> float:
        """Return how much longer an endpoint takes than its profile says."""

    @abc.abstractmethod
    def expected_output(
        self, tokens: TokenCounts, route_key: int, team_key: int
    ) -> int:
        """Return the number of output tokens to plan with."""

    @abc.abstractmethod
    def forget(self, endpoint: str) -> None:
        """Discard what is known of an endpoint that is gone."""


class StaticCostModel(CostModel):
    """Takes every prediction for true."""

    def slot_wait_ms(
        self, jobs: Sequence[Job], slots: int, now: float
    ) -> float:
        """Return the wait until enough jobs reach their predicted ends."""
        end_times = sorted(
            max(job.end_at, now + OVERDUE_REMAINING_S)
            for job in jobs
            if job.context_tokens
        )
        queued = len(end_times) - slots
        if queued < 0:
            return 0.0
        return (end_times[queued] - now) * MS_PER_S

    def speed_factor(self, endpoint: str) -> float:
        """Return that each endpoint is as fast as its profile says."""
        return 1.0

    def forget(self, endpoint: str) -> None:
        """Do nothing, since nothing is known of an endpoint."""

    def expected_output(
        self, tokens: TokenCounts, route_key: int, team_key: int
    ) -> int:
        """Return the number of tokens that the caller expects."""
        return tokens.expected_output


STATIC_COSTS: Final = StaticCostModel()
