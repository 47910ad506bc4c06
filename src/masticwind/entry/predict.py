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
MIN_REPORT_DELAY_S: Final = 0.05
CORRECTION_EWMA_WEIGHT: Final = 0.1
# Bounds one observation, so that a paused process does not spoil the rate.
MAX_CORRECTION: Final = 8.0
MIN_CORRECTION: Final = 0.125
# Shorter prefills measure the overhead of a hop rather than the rate.
MIN_OBSERVED_TOKENS: Final = 2048
# An agent lets a long prompt pass others that have at least twice its work.
OVERTAKE_WORK_RATIO: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """What a router needs to know of a request."""

    model: str
    prompt_tokens: int
    max_tokens: int
    paid: bool
    prefix_hashes: tuple[int, ...]
    timeout_ms: int


@dataclass(slots=True, eq=False)
class SendRecord:
    """A send that has produced no first token yet; times in seconds."""

    prefill_tokens: int
    paid: bool
    sent_at: float
    uncorrected_s: float


@dataclass(slots=True, eq=False)
class _AgentState:
    correction: float = 1.0
    prefilling: list[SendRecord] = field(default_factory=list)
    unfinished: list[SendRecord] = field(default_factory=list)


class Predictor:
    """Owns this entry's pending sends and its correction of each rate."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg
        self._states: Final = WeakKeyDictionary[AgentLink, _AgentState]()

    def predict_ttft_s(
        self, link: AgentLink, tokens: int, *, paid: bool
    ) -> float:
        """Return the predicted seconds to the first token.

        `tokens` is the uncached part of the prompt.
        """
        ahead = self.prefill_tokens_ahead(link, tokens, paid=paid)
        correction = self._state(link).correction
        if not ahead:
            # Otherwise an idle endpoint with a bad past would get no work
            # and could not correct its rate.
            correction = min(1.0, correction)
        return self._uncorrected_s(link, ahead + tokens) * correction

    def has_measured_rate(self, link: AgentLink) -> bool:
        """Tell whether predictions rest on a rate that the agent measured.

        An agent reports zero until its engine has prefilled enough to
        measure; predictions then rest on the assumed rate of the settings.
        """
        load = link.reported_load
        return load is not None and load.prefill_tokens_per_s > 0

    def prefill_tokens_ahead(
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
            one for one in self._state(link).prefilling if one.paid or not paid
        ]
        short = [
            one for one in pending if not self._is_long(one.prefill_tokens)
        ]
        own = sum(one.prefill_tokens for one in short)
        load = link.reported_load
        if load is None:
            return sum(one.prefill_tokens for one in pending)
        reported = load.paid_work_tokens
        if not paid:
            reported += load.free_work_tokens
        unseen = _not_yet_reported(link, pending)
        reported += sum(
            one.prefill_tokens
            for one in unseen
            if not self._is_long(one.prefill_tokens)
        )
        long = [
            one.prefill_tokens
            for one in unseen
            if self._is_long(one.prefill_tokens)
        ]
        long_ahead = sum(
            left
            for left in (*load.paid_long_tokens, *long)
            if not paid or self._waits_behind(tokens, left)
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
        unseen = _not_yet_reported(link, self._state(link).unfinished)
        return max(0, link.reported_load.slots - len(unseen))

    def record_send(
        self, link: AgentLink, tokens: int, *, paid: bool
    ) -> SendRecord:
        """Note a send; pass the result to `ended` in every case."""
        work = self.prefill_tokens_ahead(link, tokens, paid=paid) + tokens
        send = SendRecord(
            tokens,
            paid,
            time.monotonic(),
            self._uncorrected_s(link, work),
        )
        track = self._state(link)
        track.prefilling.append(send)
        track.unfinished.append(send)
        return send

    def record_first_token(self, link: AgentLink, send: SendRecord) -> None:
        """Note that a send has produced its first token, and learn."""
        track = self._state(link)
        if send not in track.prefilling:
            return
        track.prefilling.remove(send)
        if send.prefill_tokens < MIN_OBSERVED_TOKENS:
            return
        ratio = (time.monotonic() - send.sent_at) / send.uncorrected_s
        ratio = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio))
        track.correction += CORRECTION_EWMA_WEIGHT * (ratio - track.correction)

    def record_end(self, link: AgentLink, send: SendRecord) -> None:
        """Forget a send that has ended in any way."""
        track = self._state(link)
        track.unfinished.remove(send)
        if send in track.prefilling:
            track.prefilling.remove(send)

    def _is_long(self, tokens: int) -> bool:
        return tokens >= self._cfg.long_prompt_tokens

    def _waits_behind(self, tokens: int, left: int) -> bool:
        """Tell whether `tokens` wait for a long prompt with `left` tokens."""
        return self._is_long(tokens) and tokens * OVERTAKE_WORK_RATIO > left

    def _uncorrected_s(self, link: AgentLink, tokens: int) -> float:
        load = link.reported_load
        rate = float(self._cfg.prefill_tokens_per_s)
        running = 0
        if load is not None:
            rate = load.prefill_tokens_per_s or rate
            running = load.running
        batch_ms = running * self._cfg.batch_cost_ms
        return tokens / rate + batch_ms / MS_PER_S

    def _state(self, link: AgentLink) -> _AgentState:
        track = self._states.get(link)
        if track is None:
            track = _AgentState()
            self._states[link] = track
        return track


def _not_yet_reported(
    link: AgentLink,
    pending: Sequence[SendRecord],
) -> list[SendRecord]:
    """Return the sends that the last heartbeat cannot show."""
    horizon = link.load_received_at - MIN_REPORT_DELAY_S
    return [one for one in pending if one.sent_at > horizon]
