"""The choice of an agent for a request."""

import abc
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from masticwind.entry.peers import AgentLink
from masticwind.settings import EntrySettings


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """What a router needs to know of a request."""

    model: str
    prompt_tokens: int
    max_tokens: int
    paid: bool
    prefix: tuple[int, ...]
    timeout_ms: int


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
        return min(links, key=lambda link: link.outstanding)


class PredictedRouter(Router):
    """Takes the candidate with the least predicted time to first token."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg

    def choose(self, job: Job, links: Sequence[AgentLink]) -> AgentLink:
        """Choose by predicted prefill work among a bounded sample."""
        size = min(len(links), self._cfg.sample_size)
        return min(random.sample(links, size), key=_predicted_work)


def _predicted_work(link: AgentLink) -> int:
    load = link.load_view
    if load is None:
        return link.outstanding_tokens
    return max(link.outstanding_tokens, load.paid_work_tokens)


def make_router(cfg: EntrySettings) -> Router:
    """Return the router that the settings name."""
    if cfg.routing == 'round_robin':
        return RoundRobinRouter()
    if cfg.routing == 'random':
        return RandomRouter()
    if cfg.routing == 'least_outstanding':
        return LeastOutstandingRouter()
    return PredictedRouter(cfg)
