"""The decision whether a request can finish within its time budget.

The decision is taken at once and from the entry's own view; nothing waits at
the entry. A free request, and a request of a team that crowds others, may
use only a part of its time budget, so it is refused before the others are.
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

LEARNING_RATE: Final = 0.05
MIN_HINT_MS: Final = 100
MAX_HINT_MS: Final = 60_000


class StreamEstimate:
    """Learned time from the first token of a stream to its last."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._interval_s = cfg.token_interval_ms / MS_PER_S
        # Callers often ask for far more tokens than they get, so nothing is
        # assumed before streams were observed.
        self._output_share = 0.0

    def seconds(self, max_tokens: int) -> float:
        """Return the expected duration of a stream in seconds."""
        return max_tokens * self._output_share * self._interval_s

    def observe(self, count: int, max_tokens: int, seconds: float) -> None:
        """Learn from a whole stream of `count` tokens."""
        share = count / max(1, max_tokens)
        self._output_share += LEARNING_RATE * (share - self._output_share)
        if count > 1:
            interval_s = seconds / (count - 1)
            self._interval_s += LEARNING_RATE * (interval_s - self._interval_s)


@dataclass(frozen=True, slots=True)
class Ask:
    """What admission knows of one request; time in seconds."""

    team: str
    job: Job
    remaining_s: float


class Admission:
    """Admits a request to an endpoint or refuses it."""

    def __init__(
        self,
        cfg: EntrySettings,
        view: RoutingView,
        fair: WorkByTeam,
    ) -> None:
        self._cfg: Final = cfg
        self._view: Final = view
        self._fair: Final = fair
        self.streams: Final = StreamEstimate(cfg)

    def admit(
        self,
        ask: Ask,
        chosen: AgentLink,
        links: Sequence[AgentLink],
    ) -> AgentLink | Failure:
        """Return `chosen`, or another of `links` that can finish in time.

        Returns a `Failure` of kind `overloaded` if no candidate can; its
        hint is the predicted time until one could. An endpoint whose rate
        was not measured yet may be faster than assumed, so a request that
        only it could serve in time goes there, and its agent decides.
        """
        limit_s = self._limit_s(ask)
        held = self._view.held_blocks(ask.job)
        stream_s = self.streams.seconds(ask.job.max_tokens)
        if self._view.predict_s(ask.job, chosen, held) + stream_s <= limit_s:
            return chosen
        predicted = sorted(
            (
                (self._view.predict_s(ask.job, link, held), link)
                for link in links
            ),
            key=lambda one: one[0],
        )
        least_s, best = predicted[0]
        excess_s = least_s + stream_s - limit_s
        if excess_s <= 0:
            return best
        for _, link in predicted:
            # The length of streams does not depend on the prefill rate.
            if stream_s <= limit_s and not self._view.rate_known(link):
                return link
        hint_ms = round(excess_s * MS_PER_S)
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason='no endpoint can finish the request in its time budget',
            retry_after_ms=min(MAX_HINT_MS, max(MIN_HINT_MS, hint_ms)),
        )

    def _limit_s(self, ask: Ask) -> float:
        share = 1.0
        if not ask.job.paid:
            share = self._cfg.free_admission_share
        if self._fair.exceeds_fair_share(ask.team):
            share *= self._cfg.crowding_admission_share
        return ask.remaining_s * share
