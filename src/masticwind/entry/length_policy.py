"""Ways to keep long prompts and short ones apart among the endpoints."""

import abc
from collections.abc import Sequence
from typing import Final

from masticwind.entry.agent_pool import AgentLink
from masticwind.entry.predict import Job
from masticwind.settings import EntrySettings

# Weight of one request in the share of work that is long.
SHARE_LEARNING_RATE: Final = 0.05


class LengthPolicy(abc.ABC):
    """Narrows the candidates by the length of the prompt.

    With `soft`, the other candidates remain and only cost more.
    """

    soft = False

    @abc.abstractmethod
    def narrow(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return a part of `links` that is not empty."""


class LeastWork(LengthPolicy):
    """Leaves all candidates; the predicted time alone decides."""

    def narrow(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return all candidates."""
        return links


class SizeInterval(LengthPolicy):
    """Gives long prompts a fixed share of the endpoints."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg

    def narrow(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return the candidates of the prompt's interval."""
        long = job.prompt_tokens > self._cfg.long_prompt_tokens
        return _partition(links, self._cfg.long_endpoint_share, long=long)


class SizePreference(SizeInterval):
    """Prefers the endpoints of the prompt's interval.

    A fixed split alone would leave half of the fleet idle where all prompts
    are short.
    """

    soft = True


class DynamicPartition(LengthPolicy):
    """Gives long prompts the share of endpoints that their work needs."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg
        self._long_tokens = 0.0
        self._short_tokens = 0.0

    def narrow(
        self,
        job: Job,
        links: Sequence[AgentLink],
    ) -> Sequence[AgentLink]:
        """Return the candidates of the prompt's part."""
        long = job.prompt_tokens > self._cfg.long_prompt_tokens
        self._long_tokens *= 1 - SHARE_LEARNING_RATE
        self._short_tokens *= 1 - SHARE_LEARNING_RATE
        if long:
            self._long_tokens += job.prompt_tokens
        else:
            self._short_tokens += job.prompt_tokens
        total = self._long_tokens + self._short_tokens
        return _partition(links, self._long_tokens / total, long=long)


def _partition(
    links: Sequence[AgentLink],
    long_share: float,
    *,
    long: bool,
) -> Sequence[AgentLink]:
    """Split by node name, so that all entries split alike."""
    if len(links) < 2:
        return links
    ordered = sorted(links, key=lambda link: link.instance.node)
    # Short prompts are more numerous and get the odd endpoint.
    count = int(len(ordered) * long_share)
    count = min(len(ordered) - 1, max(1, count))
    return ordered[:count] if long else ordered[count:]


def make_length_policy(cfg: EntrySettings) -> LengthPolicy:
    """Return the policy that the settings name."""
    if cfg.length_policy == 'size_interval':
        return SizeInterval(cfg)
    if cfg.length_policy == 'size_preference':
        return SizePreference(cfg)
    if cfg.length_policy == 'dynamic_partition':
        return DynamicPartition(cfg)
    return LeastWork()
