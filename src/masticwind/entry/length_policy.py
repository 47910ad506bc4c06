"""Policies that separate long and short prompts among the endpoints."""

import abc
from collections.abc import Sequence
from typing import Final

from masticwind.entry.agent_pool import AgentLink
from masticwind.entry.predict import Job
from masticwind.settings import EntrySettings

# Each request decays the sums of earlier work by this fraction.
WORK_DECAY: Final = 0.05


class LengthPolicy(abc.ABC):
    """Selects candidates by the length of the prompt.

    Where `is_preference` is set, the other candidates may still be chosen,
    at a higher cost.
    """

    is_preference = False

    @abc.abstractmethod
    def select(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return a non-empty subset of `links`, which is not empty."""


class LeastWork(LengthPolicy):
    """Keeps all candidates; only the predicted time decides."""

    def select(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return all candidates."""
        return links


class SizeInterval(LengthPolicy):
    """Gives long prompts a fixed fraction of the endpoints."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg

    def select(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return the candidates for the prompt's size interval."""
        is_long = job.prompt_tokens > self._cfg.long_prompt_tokens
        return _partition(links, self._cfg.long_endpoint_share, is_long=is_long)


class SizePreference(SizeInterval):
    """Prefers the endpoints for the prompt's size interval.

    A strict split would leave half of the fleet idle while all prompts are
    short.
    """

    is_preference = True


class DynamicPartition(LengthPolicy):
    """Gives long prompts a fraction of endpoints equal to that of their work.

    Work is measured in prompt tokens, with exponential decay.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg
        self._long_tokens = 0.0
        self._short_tokens = 0.0

    def select(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return the candidates for prompts of this length."""
        is_long = job.prompt_tokens > self._cfg.long_prompt_tokens
        self._long_tokens *= 1 - WORK_DECAY
        self._short_tokens *= 1 - WORK_DECAY
        if is_long:
            self._long_tokens += job.prompt_tokens
        else:
            self._short_tokens += job.prompt_tokens
        total_tokens = self._long_tokens + self._short_tokens
        return _partition(
            links, self._long_tokens / total_tokens, is_long=is_long
        )


def _partition(
    links: Sequence[AgentLink],
    long_fraction: float,
    *,
    is_long: bool,
) -> Sequence[AgentLink]:
    """Return the part for long or short prompts.

    The split is by node name, so that all entries use the same one.
    """
    if len(links) < 2:
        return links
    ordered = sorted(links, key=lambda link: link.instance.node)
    # Rounded down: the short prompts, which are more numerous, get the rest.
    long_count = int(len(ordered) * long_fraction)
    long_count = min(len(ordered) - 1, max(1, long_count))
    return ordered[:long_count] if is_long else ordered[long_count:]


def make_length_policy(cfg: EntrySettings) -> LengthPolicy:
    """Return the policy for the `length_policy` setting."""
    if cfg.length_policy == 'size_interval':
        return SizeInterval(cfg)
    if cfg.length_policy == 'size_preference':
        return SizePreference(cfg)
    if cfg.length_policy == 'dynamic_partition':
        return DynamicPartition(cfg)
    return LeastWork()
