"""Predicts the time to first token (TTFT) of a request on each endpoint.

Heartbeats report an agent's load with a delay, so requests that this entry
sent too recently for the last heartbeat to include are added to the reported
load. The prediction is scaled by the ratio of observed to predicted times.
"""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final
from weakref import WeakKeyDictionary

from masticwind.budget import MS_PER_S
from masticwind.entry.agent_pool import AgentLink
from masticwind.settings import EntrySettings

# A heartbeat that arrives sooner than this after a request was sent may have
# been written before the agent received the request. Longer than the round
# trip between two availability zones.
MIN_REPORT_DELAY_S: Final = 0.05
TIME_FACTOR_EWMA_WEIGHT: Final = 0.1
# Bounds of one observation: the process may have been paused meanwhile.
MAX_TIME_FACTOR: Final = 8.0
MIN_TIME_FACTOR: Final = 0.125
# For shorter prompts, network overhead dominates the prefill time.
MIN_OBSERVED_TOKENS: Final = 2048
# An agent runs a long prompt ahead of others that have at least this many
# times as many tokens left: the inverse of the agent's `MAX_OVERTAKE_RATIO`.
OVERTAKE_WORK_RATIO: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """The size and class of a request, for routing and admission.

    `prefix_hashes` has one chained hash for each whole block of the prompt.
    """

    model: str
    prompt_tokens: int
    max_tokens: int
    paid: bool
    prefix_hashes: tuple[int, ...]
    timeout_ms: int


@dataclass(slots=True, eq=False)
class SendRecord:
    """A request sent to an agent; `sent_at` is on the monotonic clock.

    `uncorrected_s` is the predicted time to first token without the
    correction by observed times.
    """

    prefill_tokens: int
    paid: bool
    sent_at: float
    uncorrected_s: float


@dataclass(slots=True, eq=False)
class _AgentState:
    """Requests of this entry at one agent.

    `prefilling` holds those without a first token, `unfinished` all that
    have not ended.
    """

    time_factor: float = 1.0
    prefilling: list[SendRecord] = field(default_factory=list)
    unfinished: list[SendRecord] = field(default_factory=list)


class Predictor:
    """Owns the records of sent requests and the correction of each agent."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg: Final = cfg
        self._states: Final = WeakKeyDictionary[AgentLink, _AgentState]()

    def predict_ttft_s(
        self, link: AgentLink, tokens: int, *, paid: bool
    ) -> float:
        """Return the predicted seconds to the first token.

        `tokens` is the uncached part of the prompt.
        """
        tokens_ahead = self.prefill_tokens_ahead(link, tokens, paid=paid)
        time_factor = self._state(link).time_factor
        if not tokens_ahead:
            # An idle endpoint that was slow before must get requests, since
            # only new observations can lower its factor.
            time_factor = min(1.0, time_factor)
        return self._uncorrected_s(link, tokens_ahead + tokens) * time_factor

    def has_measured_rate(self, link: AgentLink) -> bool:
        """Whether the agent has reported a measured prefill rate.

        An agent reports zero until its engine has prefilled enough tokens
        for a measurement; until then the rate in the settings is assumed.
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
        """Return the prefill tokens queued ahead of a request of `tokens`.

        Paid requests wait for paid work only, free requests for all work.
        Short prompts run between the steps of long ones. A long prompt runs
        ahead of others with `OVERTAKE_WORK_RATIO` times its tokens left.
        """
        pending = [
            sent
            for sent in self._state(link).prefilling
            if sent.paid or not paid
        ]
        short = [
            sent for sent in pending if not self._is_long(sent.prefill_tokens)
        ]
        own_tokens = sum(sent.prefill_tokens for sent in short)
        load = link.reported_load
        if load is None:
            return sum(sent.prefill_tokens for sent in pending)
        reported_tokens = load.paid_work_tokens
        if not paid:
            reported_tokens += load.free_work_tokens
        unreported = _not_yet_reported(link, pending)
        reported_tokens += sum(
            sent.prefill_tokens
            for sent in unreported
            if not self._is_long(sent.prefill_tokens)
        )
        unreported_long = [
            sent.prefill_tokens
            for sent in unreported
            if self._is_long(sent.prefill_tokens)
        ]
        long_tokens_ahead = sum(
            left_tokens
            for left_tokens in (*load.paid_long_tokens, *unreported_long)
            if not paid or self._waits_behind(tokens, left_tokens)
        )
        # This entry's own requests are a lower bound, for agents that report
        # their queue but not what the engine is still prefilling.
        return max(own_tokens, reported_tokens) + long_tokens_ahead

    def free_slots(self, link: AgentLink) -> int:
        """Return the reported free slots minus requests not yet reported.

        A request occupies its slot until it ends, not only until the first
        token.
        """
        if link.reported_load is None:
            return 0
        # A request that has ended no longer occupies a slot.
        unreported = _not_yet_reported(link, self._state(link).unfinished)
        return max(0, link.reported_load.slots - len(unreported))

    def record_send(
        self, link: AgentLink, tokens: int, *, paid: bool
    ) -> SendRecord:
        """Record a sent request; always pass the result to `record_end`."""
        work_tokens = (
            self.prefill_tokens_ahead(link, tokens, paid=paid) + tokens
        )
        send = SendRecord(
            tokens,
            paid,
            time.monotonic(),
            self._uncorrected_s(link, work_tokens),
        )
        state = self._state(link)
        state.prefilling.append(send)
        state.unfinished.append(send)
        return send

    def record_first_token(self, link: AgentLink, send: SendRecord) -> None:
        """Record a first token and update the agent's time factor."""
        state = self._state(link)
        if send not in state.prefilling:
            return
        state.prefilling.remove(send)
        if send.prefill_tokens < MIN_OBSERVED_TOKENS:
            return
        ratio = (time.monotonic() - send.sent_at) / send.uncorrected_s
        ratio = min(MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, ratio))
        state.time_factor += TIME_FACTOR_EWMA_WEIGHT * (
            ratio - state.time_factor
        )

    def record_end(self, link: AgentLink, send: SendRecord) -> None:
        """Remove the record of a request that has ended, failed or not."""
        state = self._state(link)
        state.unfinished.remove(send)
        if send in state.prefilling:
            state.prefilling.remove(send)

    def _is_long(self, tokens: int) -> bool:
        return tokens >= self._cfg.long_prompt_tokens

    def _waits_behind(self, tokens: int, left_tokens: int) -> bool:
        """Whether a prompt waits for a long one with `left_tokens` left."""
        return (
            self._is_long(tokens) and tokens * OVERTAKE_WORK_RATIO > left_tokens
        )

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
        state = self._states.get(link)
        if state is None:
            state = _AgentState()
            self._states[link] = state
        return state


def _not_yet_reported(
    link: AgentLink,
    pending: Sequence[SendRecord],
) -> list[SendRecord]:
    """Return the requests that the last heartbeat may not include."""
    reported_until = link.load_received_at - MIN_REPORT_DELAY_S
    return [sent for sent in pending if sent.sent_at > reported_until]
