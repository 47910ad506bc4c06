"""Admission control: can a request finish within its time budget?

The entry decides at once from its own estimates and queues nothing. Free
requests and requests of teams above their fair share must fit into a fraction
of their time budget, so under load they are refused before the others.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.entry.agent_pool import AgentLink
from masticwind.entry.limits import WorkByTeam
from masticwind.entry.predict import Job
from masticwind.entry.router import RoutingView
from masticwind.errors import ErrorKind, Failure
from masticwind.settings import EntrySettings

STREAM_EWMA_WEIGHT: Final = 0.05
MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 60_000


class StreamDurationEstimate:
    """Estimates the time from the first token of a stream to its last.

    Keeps moving averages of the time between tokens and of the fraction of
    `max_tokens` that streams generate.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self._interval_s = cfg.token_interval_ms / MS_PER_S
        # Requested maximums are often far above the real length, so the
        # estimate is zero until streams have been observed.
        self._output_fraction = 0.0

    def expected_s(self, max_tokens: int) -> float:
        """Return the expected duration of a stream."""
        return max_tokens * self._output_fraction * self._interval_s

    def observe(
        self, token_count: int, max_tokens: int, elapsed_s: float
    ) -> None:
        """Update the averages with a complete stream."""
        output_fraction = token_count / max(1, max_tokens)
        self._output_fraction += STREAM_EWMA_WEIGHT * (
            output_fraction - self._output_fraction
        )
        if token_count > 1:
            interval_s = elapsed_s / (token_count - 1)
            self._interval_s += STREAM_EWMA_WEIGHT * (
                interval_s - self._interval_s
            )


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request to admit; `remaining_s` is what its time budget has left."""

    team: str
    job: Job
    remaining_s: float


class Admission:
    """Admits a request to an endpoint or refuses it."""

    def __init__(
        self,
        cfg: EntrySettings,
        view: RoutingView,
        work_by_team: WorkByTeam,
    ) -> None:
        self._cfg: Final = cfg
        self._view: Final = view
        self._work_by_team: Final = work_by_team
        self.stream_duration: Final = StreamDurationEstimate(cfg)

    def admit(
        self,
        request: AdmissionRequest,
        chosen: AgentLink,
        links: Sequence[AgentLink],
    ) -> AgentLink | Failure:
        """Return `chosen`, or another of `links` that can finish in time.

        Returns a `Failure` of kind `overloaded` if no candidate can, with
        the predicted time until one could as `retry_after_ms`. An endpoint
        without a measured rate may be faster than assumed, so a request that
        no other endpoint can serve in time is sent there, and its agent
        decides.
        """
        limit_s = self._limit_s(request)
        cached_blocks = self._view.cached_block_counts(request.job)
        stream_s = self.stream_duration.expected_s(request.job.max_tokens)
        if (
            self._view.predict_ttft_s(request.job, chosen, cached_blocks)
            + stream_s
            <= limit_s
        ):
            return chosen
        predicted = sorted(
            (
                (
                    self._view.predict_ttft_s(request.job, link, cached_blocks),
                    link,
                )
                for link in links
            ),
            key=lambda candidate: candidate[0],
        )
        least_s, best = predicted[0]
        excess_s = least_s + stream_s - limit_s
        if excess_s <= 0:
            return best
        for _, link in predicted:
            # The duration of a stream does not depend on the prefill rate.
            if stream_s <= limit_s and not self._view.has_measured_rate(link):
                return link
        retry_after_ms = round(excess_s * MS_PER_S)
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason='no endpoint can finish the request in its time budget',
            retry_after_ms=min(
                MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, retry_after_ms)
            ),
        )

    def _limit_s(self, request: AdmissionRequest) -> float:
        budget_fraction = 1.0
        if not request.job.paid:
            budget_fraction = self._cfg.free_admission_share
        if self._work_by_team.exceeds_fair_share(request.team):
            budget_fraction *= self._cfg.crowding_admission_share
        return request.remaining_s * budget_fraction
