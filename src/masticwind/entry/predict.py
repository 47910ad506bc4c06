"""Predicted time to first token of each endpoint, as this entry sees it.

A heartbeat shows an agent's load late. The sends of this entry that the last
heartbeat cannot show yet are added to it, and the prefill rate that the
agent reports is corrected by the times that this entry observes.
"""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final
from weakref import WeakKeyDictionary

from masticwind.budget import MS_PER_S
from masticwind.entry.agent_pool import AgentLink
from masticwind.settings import EntrySettings

# A heartbeat that arrives sooner after a send may have left before the offer
# arrived; longer than the round trip between two availability zones.
VISIBLE_AFTER_S: Final = 0.05
LEARNING_RATE: Final = 0.1
# Bounds one observation, so that a paused process does not spoil the rate.
MAX_CORRECTION: Final = 8.0
MIN_CORRECTION: Final = 0.125
# Shorter prefills measure the overhead of a hop rather than the rate.
MIN_OBSERVED_TOKENS: Final = 2048
# An agent lets a long prompt pass others that have at least twice its work.
PASSED_FACTOR: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """What a router needs to know of a request."""

    model: str
    prompt_tokens: int
    max_tokens: int
    paid: bool
    prefix: tuple[int, ...]
    timeout_ms: int


@dataclass(slots=True, eq=False)
class PendingSend:
    """A send that has produced no first token yet; times in seconds."""

    tokens: int
    paid: bool
    sent_at: float
    base_s: float


@dataclass(slots=True, eq=False)
class _Track:
    correction: float = 1.0
    pending: list[PendingSend] = field(default_factory=list)
    running: list[PendingSend] = field(default_factory=list)


class Predictor:
    """Owns this entry's pending sends and its correction of each rate."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg
        self._tracks: Final = WeakKeyDictionary[AgentLink, _Track]()

    def predict_s(self, link: AgentLink, tokens: int, *, paid: bool) -> float:
        """Return the predicted seconds to the first token.

        `tokens` is the uncached part of the prompt.
        """
        ahead = self.work_ahead(link, tokens, paid=paid)
        correction = self._track(link).correction
        if not ahead:
            # Otherwise an idle endpoint with a bad past would get no work
            # and could not correct its rate.
            correction = min(1.0, correction)
        return self._base_s(link, ahead + tokens) * correction

    def rate_known(self, link: AgentLink) -> bool:
        """Tell whether predictions rest on a rate that the agent measured.

        An agent reports zero until its engine has prefilled enough to
        measure; predictions then rest on the assumed rate of the settings.
        """
        load = link.reported_load
        return load is not None and load.prefill_tokens_per_s > 0

    def work_ahead(
        self,
        link: AgentLink,
        tokens: int = 0,
        *,
        paid: bool,
    ) -> int:
        """Return the prefill tokens that `tokens` more would wait for.

        Paid requests wait for paid work only, free requests for all. Short
        prompts run between the steps of long ones, and a long prompt passes
        those that have far more left.
        """
        pending = [
            one for one in self._track(link).pending if one.paid or not paid
        ]
        short = [one for one in pending if not self._is_long(one.tokens)]
        own = sum(one.tokens for one in short)
        load = link.reported_load
        if load is None:
            return sum(one.tokens for one in pending)
        reported = load.paid_work_tokens
        if not paid:
            reported += load.free_work_tokens
        unseen = _unseen(link, pending)
        reported += sum(
            one.tokens for one in unseen if not self._is_long(one.tokens)
        )
        long = [one.tokens for one in unseen if self._is_long(one.tokens)]
        long_ahead = sum(
            left
            for left in (*load.paid_long_tokens, *long)
            if not paid or self._waits_for(tokens, left)
        )
        # Own sends are a lower bound for an agent that reports its queue
        # but not what its engine still prefills.
        return max(own, reported) + long_ahead

    def free_slots(self, link: AgentLink) -> int:
        """Return the reported slots minus the sends not reported yet.

        Sends count until they have ended, not only until the first token.
        """
        if link.reported_load is None:
            return 0
        # A request that has ended has given its slot back.
        unseen = _unseen(link, self._track(link).running)
        return max(0, link.reported_load.slots - len(unseen))

    def sent(self, link: AgentLink, tokens: int, *, paid: bool) -> PendingSend:
        """Note a send; pass the result to `ended` in every case."""
        work = self.work_ahead(link, tokens, paid=paid) + tokens
        send = PendingSend(
            tokens,
            paid,
            time.monotonic(),
            self._base_s(link, work),
        )
        track = self._track(link)
        track.pending.append(send)
        track.running.append(send)
        return send

    def first_token(self, link: AgentLink, send: PendingSend) -> None:
        """Note that a send has produced its first token, and learn."""
        track = self._track(link)
        if send not in track.pending:
            return
        track.pending.remove(send)
        if send.tokens < MIN_OBSERVED_TOKENS:
            return
        ratio = (time.monotonic() - send.sent_at) / send.base_s
        ratio = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio))
        track.correction += LEARNING_RATE * (ratio - track.correction)

    def ended(self, link: AgentLink, send: PendingSend) -> None:
        """Forget a send that has ended in any way."""
        track = self._track(link)
        track.running.remove(send)
        if send in track.pending:
            track.pending.remove(send)

    def _is_long(self, tokens: int) -> bool:
        return tokens >= self._cfg.long_prompt_tokens

    def _waits_for(self, tokens: int, left: int) -> bool:
        """Tell whether `tokens` wait for a long prompt with `left` tokens."""
        return self._is_long(tokens) and tokens * PASSED_FACTOR > left

    def _base_s(self, link: AgentLink, tokens: int) -> float:
        load = link.reported_load
        rate = float(self._cfg.prefill_tokens_per_s)
        running = 0
        if load is not None:
            rate = load.prefill_tokens_per_s or rate
            running = load.running
        batch_ms = running * self._cfg.batch_cost_ms
        return tokens / rate + batch_ms / MS_PER_S

    def _track(self, link: AgentLink) -> _Track:
        track = self._tracks.get(link)
        if track is None:
            track = _Track()
            self._tracks[link] = track
        return track


def _unseen(
    link: AgentLink,
    pending: Sequence[PendingSend],
) -> list[PendingSend]:
    """Return the sends that the last heartbeat cannot show."""
    horizon = link.load_received_at - VISIBLE_AFTER_S
    return [one for one in pending if one.sent_at > horizon]
