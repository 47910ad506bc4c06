"""Predicts what requests cost from the jobs that the entries have run."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

from masticwind.budget import MS_PER_S
from masticwind.serving.costs.durations import LearnedDurations
from masticwind.serving.costs.engine_speeds import EngineSpeeds
from masticwind.serving.costs.job_factors import JobFactors, clip_factor
from masticwind.serving.costs.model import CostModel
from masticwind.serving.costs.slot_waits import (
    MIN_PREDICTED_S,
    running_job,
    wait_for_ends_s,
)
from masticwind.serving.model import TokenCounts
from masticwind.serving.placement.load_table import Job, JobObserver

# Jobs that are predicted to decode for less say little about the pace.
MIN_DECODE_S: Final = 0.3


@dataclass(frozen=True, slots=True, kw_only=True)
class PredictionError:
    """The actual duration of a job as a multiple of the prediction.

    `profile_ratio` is that of the prediction without what was learned.
    """

    context_tokens: int
    whole: bool
    ratio: float
    profile_ratio: float


ErrorRecorder: TypeAlias = Callable[[PredictionError], None]


def ignore_error(_error: PredictionError) -> None:
    """Record nothing."""


@dataclass(slots=True, eq=False)
class _Progress:
    """The predicted decode time of a job, and when it began to decode."""

    first_token_s: float
    decode_s: float
    decoding_since: float | None = None


class LearnedCostModel(CostModel, JobObserver):
    """Learns from the jobs of all entries how long jobs take.

    Only jobs that have decoded and whose requests were served are learned
    from, and only the part of a request that its lead endpoint runs.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        record_error: ErrorRecorder = ignore_error,
    ) -> None:
        self._record_error: Final = record_error
        self._durations: Final = LearnedDurations(clock)
        self._speeds: Final = EngineSpeeds(clock)
        self._output_lengths: Final = JobFactors()
        # Has the jobs of the load table, so it is no larger than that.
        self._progress: Final[dict[tuple[str, int], _Progress]] = {}

    def slot_wait_ms(
        self, jobs: Sequence[Job], slots: int, now: float
    ) -> float:
        """Return the likely wait until enough jobs have ended."""
        if len(jobs) < slots:
            return 0.0
        lead_jobs = [job for job in jobs if job.context_tokens]
        queued = len(lead_jobs) - slots
        if queued < 0:
            return 0.0
        table_of = self._durations.table_of
        running = [running_job(job, table_of(job), now) for job in lead_jobs]
        return wait_for_ends_s(running, queued + 1) * MS_PER_S

    def speed_factor(self, endpoint: str) -> float:
        """Return the factor of an endpoint, 1 without evidence."""
        return self._speeds.factor(endpoint)

    def expected_output(
        self, tokens: TokenCounts, route_key: int, team_key: int
    ) -> int:
        """Return the caller's estimate, corrected by that of other requests.

        A request does not get less than one token, nor more than its maximum.
        """
        factor = self._output_lengths.factor(route_key, team_key)
        expected = round(tokens.expected_output * factor)
        return max(1, min(tokens.max_output, expected))

    def forget(self, endpoint: str) -> None:
        """Discard what is known of an endpoint that is gone."""
        self._speeds.forget(endpoint)

    def begin(self, entry: str, job: Job) -> None:
        """Note the prediction of a job."""
        if not job.context_tokens:
            return
        self._progress[entry, job.job_id] = _Progress(
            max(MIN_PREDICTED_S, job.first_token_at - job.started_at),
            job.end_at - job.first_token_at,
        )

    def record_first_token(self, entry: str, job: Job, now: float) -> None:
        """Note that a job has begun to decode."""
        progress = self._progress.get((entry, job.job_id))
        if progress is None:
            return
        progress.decoding_since = now
        if not entry:
            ratio = (now - job.started_at) / progress.first_token_s
            self._record_error(
                PredictionError(
                    context_tokens=job.context_tokens,
                    whole=False,
                    ratio=ratio,
                    profile_ratio=ratio * job.speed_factor,
                )
            )

    def end(
        self, entry: str, job: Job, now: float, output_tokens: int | None
    ) -> None:
        """Learn from a job that was served."""
        progress = self._progress.pop((entry, job.job_id), None)
        if progress is None or output_tokens is None or not job.decoding:
            return
        predicted_s = max(MIN_PREDICTED_S, job.end_at - job.started_at)
        ratio = (now - job.started_at) / predicted_s
        self._durations.record(job, ratio)
        if not entry:
            correction = job.speed_factor * job.output_factor
            self._record_error(
                PredictionError(
                    context_tokens=job.context_tokens,
                    whole=True,
                    ratio=ratio,
                    profile_ratio=ratio * correction,
                )
            )
        output_ratio = 1.0
        if output_tokens and job.expected_output:
            output_ratio = clip_factor(output_tokens / job.expected_output)
            self._output_lengths.record(
                job.route_key, job.team_key, output_ratio * job.output_factor
            )
        self._learn_speed(job, progress, now, output_ratio)

    def key_count(self) -> int:
        """Return the number of routes and teams with learned durations."""
        return self._durations.count()

    def _learn_speed(
        self, job: Job, progress: _Progress, now: float, output_ratio: float
    ) -> None:
        """Learn from the time between the first token and the end.

        The prediction includes the factor that was known to the entry that
        placed the job, and the output that it expected.
        """
        if progress.decoding_since is None or progress.decode_s < MIN_DECODE_S:
            return
        expected_s = progress.decode_s * output_ratio
        ratio = (now - progress.decoding_since) / expected_s
        self._speeds.record(
            job.endpoint_id, job.route_key, ratio * job.speed_factor
        )
