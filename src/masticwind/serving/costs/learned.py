"""Predicts what requests cost from the jobs that the entries have run."""

import time
from collections.abc import Callable, Sequence
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.costs.durations import LearnedDurations
from masticwind.serving.costs.model import CostModel
from masticwind.serving.costs.slot_waits import (
    MIN_PREDICTED_S,
    running_job,
    wait_for_ends_s,
)
from masticwind.serving.model import TokenCounts
from masticwind.serving.placement.load_table import Job, JobObserver


class LearnedCostModel(CostModel, JobObserver):
    """Learns from the jobs of all entries how long jobs take.

    Only jobs that have decoded and whose requests were served are learned
    from, and only the part of a request that its lead endpoint runs.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._durations: Final = LearnedDurations(clock)

    def slot_wait_ms(
        self, jobs: Sequence[Job], slots: int, now: float
    ) -> float:
        """Return the likely wait until enough jobs have ended."""
        lead_jobs = [job for job in jobs if job.context_tokens]
        queued = len(lead_jobs) - slots
        if queued < 0:
            return 0.0
        table_of = self._durations.table_of
        running = [running_job(job, table_of(job), now) for job in lead_jobs]
        return wait_for_ends_s(running, queued + 1) * MS_PER_S

    def speed_factor(self, endpoint: str) -> float:
        """Return that each endpoint is as fast as its profile says."""
        return 1.0

    def expected_output(
        self, tokens: TokenCounts, route_key: int, team_key: int
    ) -> int:
        """Return the number of tokens that the caller expects."""
        return tokens.expected_output

    def begin(self, entry: str, job: Job) -> None:
        """Learn nothing yet."""

    def record_first_token(self, entry: str, job: Job, now: float) -> None:
        """Learn nothing yet."""

    def end(self, entry: str, job: Job, now: float, *, completed: bool) -> None:
        """Learn from a job that was served."""
        if not completed or not job.decoding or not job.context_tokens:
            return
        predicted_s = max(MIN_PREDICTED_S, job.end_at - job.started_at)
        self._durations.record(job, (now - job.started_at) / predicted_s)

    def key_count(self) -> int:
        """Return the number of routes and teams with learned durations."""
        return self._durations.count()
