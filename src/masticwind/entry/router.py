"""Chooses the agent that a request is sent to."""

import abc
import heapq
import itertools
import random
from collections.abc import Collection, Mapping, Sequence
from operator import itemgetter
from typing import Final

from masticwind.entry.affinity import AffinityIndex
from masticwind.entry.agent_pool import AgentLink
from masticwind.entry.length_policy import make_length_policy
from masticwind.entry.predict import Job, Predictor
from masticwind.settings import EntrySettings

# Predictions that differ by less than the network delay between availability
# zones count as equal.
ZONE_TOLERANCE_S: Final = 0.001
# Penalty of an endpoint that is preferred for prompts of another length: the
# prompt would also slow down those that arrive there later.
OTHER_LENGTH_PENALTY_FACTOR: Final = 2.0
OTHER_LENGTH_PENALTY_S: Final = 0.05


class RoutingView:
    """This entry's estimates of the load and caches of the endpoints."""

    def __init__(self, cfg: EntrySettings, affinity: AffinityIndex) -> None:
        self.predictor: Final = Predictor(cfg)
        self.affinity: Final = affinity

    def cached_block_counts(self, job: Job) -> Mapping[str, int]:
        """Return how many leading blocks each agent may have cached."""
        return self.affinity.leading_block_counts(job.prefix_hashes)

    def predict_ttft_s(
        self,
        job: Job,
        link: AgentLink,
        cached_blocks: Mapping[str, int],
    ) -> float:
        """Return the predicted seconds to the first token."""
        return self.predictor.predict_ttft_s(
            link,
            uncached_prompt_tokens(
                job, cached_blocks.get(link.instance.node, 0)
            ),
            paid=job.paid,
        )

    def has_measured_rate(self, link: AgentLink) -> bool:
        """Whether the agent has reported a measured prefill rate."""
        return self.predictor.has_measured_rate(link)


def uncached_prompt_tokens(job: Job, cached_blocks: int) -> int:
    """Return the tokens to prefill when leading blocks are cached."""
    # Tokens after the last whole block are never cached.
    return job.prompt_tokens - job.prompt_tokens * cached_blocks // (
        len(job.prefix_hashes) + 1
    )


class Router(abc.ABC):
    """Chooses among candidate agents, all of which may serve the request."""

    @abc.abstractmethod
    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose one of `links`, which is not empty."""


class RoundRobinRouter(Router):
    """Chooses the candidates in turn."""

    def __init__(self) -> None:
        self._next_index: Final = itertools.count()

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose the next candidate in turn."""
        return links[next(self._next_index) % len(links)]


class RandomRouter(Router):
    """Chooses at random."""

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose a random candidate."""
        return random.choice(links)


class LeastOutstandingRouter(Router):
    """Chooses the candidate with the fewest requests of this entry."""

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose the candidate with the fewest outstanding requests."""
        return min(links, key=lambda link: link.outstanding_requests)


class PredictedRouter(Router):
    """Chooses the candidate with the least predicted time to first token."""

    def __init__(self, cfg: EntrySettings, view: RoutingView) -> None:
        self._cfg: Final = cfg
        self._view: Final = view
        self._length_policy: Final = make_length_policy(cfg)

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose among a random sample and the holders of the prefix.

        A candidate in another availability zone must beat those of the
        entry's own zone by more than the configured fraction of the
        prediction plus `ZONE_TOLERANCE_S`.
        """
        cached_blocks = self._view.cached_block_counts(job)
        preferred = self._length_policy.select(job, links)
        scored = [
            (self._cost_s(job, link, cached_blocks, preferred), link)
            for link in self._sample(links, cached_blocks, preferred)
        ]
        least_s, best = min(scored, key=itemgetter(0))
        limit_s = least_s * (1 + self._cfg.zone_tolerance) + ZONE_TOLERANCE_S
        local = [
            candidate
            for candidate in scored
            if candidate[0] <= limit_s
            and candidate[1].instance.zone == self._cfg.zone
        ]
        if local:
            return min(local, key=itemgetter(0))[1]
        return best

    def _sample(
        self,
        links: Sequence[AgentLink],
        cached_blocks: Mapping[str, int],
        preferred: Sequence[AgentLink],
    ) -> Collection[AgentLink]:
        limit = self._cfg.sample_size
        sample = random.sample(preferred, min(len(preferred), limit))
        if self._length_policy.is_preference:
            sample += random.sample(links, min(len(links), limit))
        holders = heapq.nlargest(
            self._cfg.sample_size,
            (link for link in links if link.instance.node in cached_blocks),
            key=lambda link: cached_blocks[link.instance.node],
        )
        return {*sample, *holders}

    def _cost_s(
        self,
        job: Job,
        link: AgentLink,
        cached_blocks: Mapping[str, int],
        preferred: Sequence[AgentLink],
    ) -> float:
        cost_s = self._view.predict_ttft_s(job, link, cached_blocks)
        if self._length_policy.is_preference and link not in preferred:
            return cost_s * OTHER_LENGTH_PENALTY_FACTOR + OTHER_LENGTH_PENALTY_S
        return cost_s


def make_router(cfg: EntrySettings, view: RoutingView) -> Router:
    """Return the router for the `routing` setting."""
    if cfg.routing == 'round_robin':
        return RoundRobinRouter()
    if cfg.routing == 'random':
        return RandomRouter()
    if cfg.routing == 'least_outstanding':
        return LeastOutstandingRouter()
    return PredictedRouter(cfg, view)
