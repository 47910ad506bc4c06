"""Decisions on prompts that would miss their first event target.

A policy decides on a plan, before anything is sent, so that a refusal
guarantees that the request has not run. It also chooses when the callers that
it refuses are to come back.
"""

import abc
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.costs.latency_model import full_prefill, prefill_ms
from masticwind.serving.model import Endpoint, EngineProfile
from masticwind.serving.placement.engine_view import (
    USABLE_TARGET_SHARE,
    EngineView,
)
from masticwind.serving.placement.placer import (
    PlacementQuery,
    spread_retry_after_ms,
)
from masticwind.serving.placement.plans import BLOCKING_PREFILL_MS, Plan

# Once this share of all slots is in use, requests that would miss their target
# are refused instead of queued.
OVERLOAD_SLOT_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedRequest:
    """A request, its best plan, and the engines that were considered."""

    query: PlacementQuery
    profile: EngineProfile
    engines: Sequence[EngineView]
    plan: Plan

    @property
    def is_late(self) -> bool:
        """Whether the request would miss its first event target."""
        target_ms = self.query.first_event_target_ms * USABLE_TARGET_SHARE
        return 0 < target_ms < self.plan.first_token_ms

    @property
    def is_long(self) -> bool:
        """Whether the prefill of the prompt would occupy an engine for long.

        Such a prompt waits for prefills rather than for a slot.
        """
        tokens = self.query.tokens
        if tokens is None:
            return False
        full_prefill_ms = prefill_ms(self.profile, full_prefill(tokens.prompt))
        return full_prefill_ms > BLOCKING_PREFILL_MS

    @property
    def excess_ms(self) -> float:
        """The time by which the request would miss its target."""
        target_ms = self.query.first_event_target_ms * USABLE_TARGET_SHARE
        return self.plan.first_token_ms - target_ms


@dataclass(frozen=True, slots=True)
class ServeLate:
    """The request is sent at once, though it will be late."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused; its caller may come back after a time."""

    reason: str
    retry_after_ms: int

    @property
    def failure(self) -> Failure:
        """The refusal as an error."""
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=self.reason,
            retry_after_ms=self.retry_after_ms,
        )


class OverloadPolicy(abc.ABC):
    """Decides which requests are refused when there is no room for all."""

    @abc.abstractmethod
    def extend_sample(
        self,
        query: PlacementQuery,
        profile: EngineProfile,
        sampled: Sequence[Endpoint],
    ) -> Sequence[Endpoint]:
        """Return the engines to plan with, among them the `sampled` ones."""

    @abc.abstractmethod
    def decide(self, planned: PlannedRequest) -> ServeLate | Refuse | None:
        """Decide on a request; None places it by its plan, or defers it."""

    @abc.abstractmethod
    def refuse(
        self, query: PlacementQuery, reason: str, excess_ms: float = 0
    ) -> Refuse:
        """Refuse a request that cannot be placed.

        It may be possible in `excess_ms`.
        """

    @abc.abstractmethod
    def preview(self) -> 'OverloadPolicy':
        """Return a policy that decides alike, and whose decisions have no
        effect on later ones.
        """

    @abc.abstractmethod
    def record_placement(self, planned: PlannedRequest) -> None:
        """Record that a request is placed by its plan."""


class RefuseLate(OverloadPolicy):
    """Refuses late requests as soon as many slots are in use.

    A queue would make all later requests late as well. A refused caller
    retries, while admitted ones are served in time.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng: Final = rng or random.Random()

    def extend_sample(
        self,
        query: PlacementQuery,
        profile: EngineProfile,
        sampled: Sequence[Endpoint],
    ) -> Sequence[Endpoint]:
        """Return the sample: a refusal does not look at other engines."""
        return sampled

    def decide(self, planned: PlannedRequest) -> Refuse | None:
        """Refuse a late request while half of the slots are in use."""
        if not _overloaded(planned):
            return None
        return self.refuse(
            planned.query, late_reason(planned), planned.excess_ms
        )

    def refuse(
        self, query: PlacementQuery, reason: str, excess_ms: float = 0
    ) -> Refuse:
        """Refuse a request; its caller retries within a few seconds."""
        return Refuse(reason, spread_retry_after_ms(excess_ms, self._rng))

    def preview(self) -> 'RefuseLate':
        """Return this policy, which keeps no state."""
        return self

    def record_placement(self, planned: PlannedRequest) -> None:
        """Ignore placements, on which no decision depends."""


def late_reason(planned: PlannedRequest) -> str:
    """Return why a request is late."""
    return f'the first token would take {planned.plan.first_token_ms:.0f} ms'


def _overloaded(planned: PlannedRequest) -> bool:
    """Tell whether to refuse a request instead of queueing it."""
    if planned.plan.first_token_ms > planned.query.remaining_ms:
        return True
    return planned.is_late and has_many_used_slots(planned)


def has_many_used_slots(planned: PlannedRequest) -> bool:
    """Tell whether half of the slots are in use."""
    # Engines that take no request now have no slot for it.
    engines = [engine for engine in planned.engines if not engine.start_wait_ms]
    slots = planned.profile.slots * len(engines)
    used_slots = sum(
        min(engine.slot_requests, planned.profile.slots) for engine in engines
    )
    return used_slots >= slots * OVERLOAD_SLOT_SHARE
