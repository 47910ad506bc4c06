"""The choice of an agent for a request."""

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

# Endpoints closer than the delay between zones count as equal.
ZONE_TOLERANCE_S: Final = 0.001
# An endpoint for prompts of another length must be better by this much: the
# prompts that will arrive there later are slowed down too.
SPILL_FACTOR: Final = 2.0
SPILL_S: Final = 0.05


class RoutingView:
    """What this entry believes of the endpoints' work and caches."""

    def __init__(self, cfg: EntrySettings, affinity: AffinityIndex) -> None:
        self.predictor: Final = Predictor(cfg)
        self.affinity: Final = affinity

    def held_blocks(self, job: Job) -> Mapping[str, int]:
        """Return the leading blocks that each agent may hold, by node."""
        return self.affinity.leading_blocks(job.prefix)

    def predict_s(
        self,
        job: Job,
        link: AgentLink,
        held: Mapping[str, int],
    ) -> float:
        """Return the predicted seconds to the first token."""
        return self.predictor.predict_s(
            link,
            uncached_tokens(job, held.get(link.instance.node, 0)),
            paid=job.paid,
        )

    def rate_known(self, link: AgentLink) -> bool:
        """Tell whether predictions for an endpoint rest on a measurement."""
        return self.predictor.rate_known(link)


def uncached_tokens(job: Job, blocks: int) -> int:
    """Return the tokens to prefill when leading blocks are cached."""
    # The rest behind the last whole block is never cached.
    return job.prompt_tokens - job.prompt_tokens * blocks // (
        len(job.prefix) + 1
    )


class Router(abc.ABC):
    """Orders candidates; callers pass only agents that may get work."""

    @abc.abstractmethod
    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose one of `links`, which is not empty."""


class RoundRobinRouter(Router):
    """Takes the candidates in turn."""

    def __init__(self) -> None:
        self._turn: Final = itertools.count()

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose the next candidate in turn."""
        return links[next(self._turn) % len(links)]


class RandomRouter(Router):
    """Takes any candidate."""

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose a random candidate."""
        return random.choice(links)


class LeastOutstandingRouter(Router):
    """Takes the candidate with the fewest requests of this entry."""

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose the least busy candidate."""
        return min(links, key=lambda link: link.outstanding_requests)


class PredictedRouter(Router):
    """Takes the candidate with the least predicted time to first token."""

    def __init__(self, cfg: EntrySettings, view: RoutingView) -> None:
        self._cfg: Final = cfg
        self._view: Final = view
        self._lengths: Final = make_length_policy(cfg)

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose among a bounded sample and the holders of the prefix.

        A candidate in another availability zone must be better by more
        than the configured share of the prediction and a millisecond.
        """
        held = self._view.held_blocks(job)
        preferred = self._lengths.narrow(job, links)
        scored = [
            (self._cost_s(job, link, held, preferred), link)
            for link in self._sample(links, held, preferred)
        ]
        least, best = min(scored, key=itemgetter(0))
        limit = least * (1 + self._cfg.zone_tolerance) + ZONE_TOLERANCE_S
        local = [
            one
            for one in scored
            if one[0] <= limit and one[1].instance.zone == self._cfg.zone
        ]
        if local:
            return min(local, key=itemgetter(0))[1]
        return best

    def _sample(
        self,
        links: Sequence[AgentLink],
        held: Mapping[str, int],
        preferred: Sequence[AgentLink],
    ) -> Collection[AgentLink]:
        limit = self._cfg.sample_size
        sample = random.sample(preferred, min(len(preferred), limit))
        if self._lengths.soft:
            sample += random.sample(links, min(len(links), limit))
        holders = heapq.nlargest(
            self._cfg.sample_size,
            (link for link in links if link.instance.node in held),
            key=lambda link: held[link.instance.node],
        )
        return {*sample, *holders}

    def _cost_s(
        self,
        job: Job,
        link: AgentLink,
        held: Mapping[str, int],
        preferred: Sequence[AgentLink],
    ) -> float:
        cost_s = self._view.predict_s(job, link, held)
        if self._lengths.soft and link not in preferred:
            return cost_s * SPILL_FACTOR + SPILL_S
        return cost_s


def make_router(cfg: EntrySettings, view: RoutingView) -> Router:
    """Return the router that the settings name."""
    if cfg.routing == 'round_robin':
        return RoundRobinRouter()
    if cfg.routing == 'random':
        return RandomRouter()
    if cfg.routing == 'least_outstanding':
        return LeastOutstandingRouter()
    return PredictedRouter(cfg, view)
