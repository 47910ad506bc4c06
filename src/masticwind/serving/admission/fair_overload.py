"""Shares the room of a service among teams, priorities and returning callers.

Every entry decides by the jobs and the promises of all entries, as far as it
knows them. One that knows less sees more room, and refuses less.
"""

import copy
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from loguru import logger

from masticwind.serving.admission.fleet_load import FleetLoadReader
from masticwind.serving.admission.overload import (
    OverloadPolicy,
    PlannedRequest,
    Refuse,
    ServeLate,
    has_many_used_slots,
    late_reason,
)
from masticwind.serving.admission.return_promises import PromiseBook
from masticwind.serving.admission.return_schedule import (
    SAMPLE_INTERVAL_S,
    ReturnSchedule,
)
from masticwind.serving.admission.team_shares import TeamShares
from masticwind.serving.model import Endpoint, EngineProfile
from masticwind.serving.placement.engine_view import USABLE_TARGET_SHARE
from masticwind.serving.placement.placer import PlacementQuery

# Shares are computed at most this often.
SHARES_INTERVAL_S: Final = 0.05
# A team over its share waits for no slot for this time after a request of
# another team was late.
YIELD_S: Final = 1.0
# Callers give up on a stream without an event after the longest of these.
MIN_PATIENCE_MS: Final = 2000.0
PATIENCE_TARGETS: Final = 4.0
PATIENCE_GAPS: Final = 8.0
# Callers honour a hint up to this share of their remaining time, here without
# the time that the answer takes to reach them. Longest hint without a deadline.
HONOURED_SHARE: Final = 0.32
MAX_HINT_MS: Final = 10_000.0
# Engines with a free slot that are added to a sample without any. Several, so
# that the entries do not all choose the same one.
MAX_ADDED_ENGINES: Final = 4
# Hints without a promise lie in this last part of the honoured time.
HINT_SPREAD_SHARE: Final = 0.2

RecordDecision: TypeAlias = Callable[[str], None]


def _ignore_decision(_decision: str) -> None:
    """Record nothing."""


@dataclass(slots=True)
class _Contention:
    """The teams over their share in a service, and when that was computed.

    Another team's request was late at `contended_at`.
    """

    over_share: frozenset[int] = frozenset()
    computed_at: float = -math.inf
    contended_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class _Observed:
    """What the policy has seen of the demand and the teams."""

    shares: TeamShares = field(default_factory=TeamShares)
    schedule: ReturnSchedule = field(default_factory=ReturnSchedule)
    loads: FleetLoadReader = field(default_factory=FleetLoadReader)
    contentions: dict[str, _Contention] = field(default_factory=dict)


class FairOverload(OverloadPolicy):
    """Refuses first what has the weakest claim to the room that is left.

    A decision is recorded as `served_late`, `refused`, `returned` (a request
    that was promised room is served) or `refused_again`.
    """

    def __init__(
        self,
        promises: PromiseBook,
        record_decision: RecordDecision,
        rng: random.Random | None = None,
        shares: TeamShares | None = None,
        observed: _Observed | None = None,
    ) -> None:
        self._promises: Final = promises
        self._record_decision: Final = record_decision
        self._rng: Final = rng or random.Random()
        # A preview has a copy, and logs nothing.
        self._is_preview: Final = observed is not None
        self._observed: Final = observed or _Observed(shares or TeamShares())
        self._shares: Final = self._observed.shares
        self._schedule: Final = self._observed.schedule
        self._loads: Final = self._observed.loads
        self._contentions: Final = self._observed.contentions

    def preview(self) -> 'FairOverload':
        """Return a copy whose decisions change nothing and are not logged."""
        return FairOverload(
            self._promises.copy(),
            _ignore_decision,
            observed=copy.deepcopy(self._observed),
        )

    def extend_sample(
        self,
        query: PlacementQuery,
        profile: EngineProfile,
        sampled: Sequence[Endpoint],
    ) -> Sequence[Endpoint]:
        """Add some engines with a free slot if the sample has none."""
        if any(_has_free_slot(query, profile, one) for one in sampled):
            return sampled
        free = [
            endpoint
            for endpoint in query.candidates
            if _has_free_slot(query, profile, endpoint)
        ]
        added = self._rng.sample(free, min(MAX_ADDED_ENGINES, len(free)))
        return [*sampled, *added]

    def decide(self, planned: PlannedRequest) -> ServeLate | Refuse | None:
        """Decide by the claim of the request and the room that is left."""
        query = planned.query
        if planned.plan.first_token_ms > query.remaining_ms:
            return self._refuse_late(planned, '')
        if not query.first_event_target_ms:
            return None
        self._sample_demand(planned)
        if _has_free_place(planned):
            return None
        if not planned.is_late:
            if self._must_yield(planned):
                return self._refuse_late(planned, 'over its share')
            return None
        objection = self._find_objection(planned)
        if objection is None:
            return ServeLate()
        return self._refuse_late(planned, objection)

    def refuse(
        self, query: PlacementQuery, reason: str, excess_ms: float = 0
    ) -> Refuse:
        """Refuse a request without a promise: free slots say nothing about the
        memory that it needs, or about what others would lose.
        """
        return self._refuse(query, reason, None)

    def record_placement(self, planned: PlannedRequest) -> None:
        """Record a request that is served."""
        query = planned.query
        if not query.first_event_target_ms:
            return
        self._schedule.record(query.now, refused=False)
        if query.standing.returning:
            self._record_decision('returned')
            if not self._is_preview:
                logger.bind(
                    request_id=query.request_id,
                    first_event_ms=round(planned.plan.first_token_ms),
                ).info('return_served')
        elif planned.is_late:
            self._record_decision('served_late')

    def _sample_demand(self, planned: PlannedRequest) -> None:
        service = planned.query.service.name
        if not self._schedule.is_sample_due(service, planned.query.now):
            return
        load = self._loads.read(
            planned.query, planned.profile, SAMPLE_INTERVAL_S
        )
        self._schedule.sample(service, load)

    def _find_objection(self, planned: PlannedRequest) -> str | None:
        """Return why a late request is refused, None if it is served."""
        query = planned.query
        self._shares.record_late(query.team_key, query.now)
        load = self._loads.read(query, planned.profile, SHARES_INTERVAL_S)
        contention = self._contention(query)
        contention.over_share = self._shares.over_share(load)
        contention.computed_at = query.now
        is_over_share = self._is_over_share(query)
        if contention.over_share and not is_over_share:
            contention.contended_at = query.now
        if planned.plan.first_token_ms > _patience_ms(query):
            return 'its caller would give up'
        if query.standing.returning:
            return None
        if is_over_share:
            return 'over its share'
        if query.standing.priority > load.waiting_priority:
            return 'less urgent than requests that wait'
        if planned.plan.lost_tokens:
            return 'others would lose'
        if contention.over_share:
            return None
        if not planned.is_long and self._schedule.has_room(
            query.service.name, load
        ):
            return None
        return 'no room'

    def _must_yield(self, planned: PlannedRequest) -> bool:
        """Tell whether a request that is in time leaves its slot to others.

        It has to wait for a slot, its team had more than its share when the
        shares were last computed, and a request of another team was late since.
        """
        query = planned.query
        if query.standing.returning:
            return False
        if query.now - self._contention(query).contended_at > YIELD_S:
            return False
        return self._is_over_share(query)

    def _is_over_share(self, query: PlacementQuery) -> bool:
        contention = self._contention(query)
        if query.now - contention.computed_at > YIELD_S:
            return query.standing.over_share
        return (
            query.standing.over_share or query.team_key in contention.over_share
        )

    def _contention(self, query: PlacementQuery) -> _Contention:
        return self._contentions.setdefault(query.service.name, _Contention())

    def _refuse_late(self, planned: PlannedRequest, objection: str) -> Refuse:
        """Refuse a late request, and promise room to its caller if there will
        be any; a team over its share gets no promise.
        """
        query = planned.query
        reason = late_reason(planned)
        if objection:
            reason = f'{reason}: {objection}'
        wait_ms: float | None = None
        if not (query.standing.returning or self._is_over_share(query)):
            wait_ms = self._find_return_ms(planned)
        return self._refuse(query, reason, wait_ms)

    def _refuse(
        self, query: PlacementQuery, reason: str, wait_ms: float | None
    ) -> Refuse:
        """Refuse a request, with a promise of room after `wait_ms`."""
        honoured_ms = _honoured_ms(query)
        if not query.first_event_target_ms:
            # A further attempt of a request, or a search for its successor.
            return Refuse(reason, int(honoured_ms))
        self._schedule.record(query.now, refused=True)
        promised = wait_ms is not None
        if wait_ms is None:
            wait_ms = honoured_ms * (1 - self._rng.random() * HINT_SPREAD_SHARE)
        else:
            self._promises.promise(query.return_key, wait_ms)
        refusal = Refuse(reason, int(wait_ms))
        returning = query.standing.returning
        self._record_decision('refused_again' if returning else 'refused')
        if self._is_preview:
            return refusal
        logger.bind(
            request_id=query.request_id,
            reason=reason,
            returning=returning,
            team_over_share=self._is_over_share(query),
            retry_after_ms=refusal.retry_after_ms,
            promised=promised,
        ).info('overload_refused')
        return refusal

    def _find_return_ms(self, planned: PlannedRequest) -> float | None:
        """Return when there is room for the caller, None if it is unknown.

        A long prompt waits for prefills, of which slots tell nothing.
        """
        query = planned.query
        load = self._loads.last(query.service.name)
        if load is None or planned.is_long or not query.return_key:
            return None
        limit_ms = _honoured_ms(query)
        if planned.excess_ms > limit_ms:
            return None
        wait_ms = self._schedule.find_return_ms(
            query.service.name, load, self._promises.count(), limit_ms
        )
        if wait_ms is None:
            return None
        return max(wait_ms, planned.excess_ms)


def _has_free_slot(
    query: PlacementQuery, profile: EngineProfile, endpoint: Endpoint
) -> bool:
    if query.wait_ms(endpoint.identity):
        return False
    jobs = query.jobs_by_endpoint.get(endpoint.identity, ())
    if len(jobs) < profile.slots:
        return True
    # Helper jobs hold no slot.
    return sum(job.context_tokens > 0 for job in jobs) < profile.slots


def _has_free_place(planned: PlannedRequest) -> bool:
    """Tell whether one of the engines would begin with the request at once:
    it has a slot, and no other prompt to prefill first.

    A long prompt needs several engines: it has a place while few slots are in
    use.
    """
    if planned.is_long:
        return not has_many_used_slots(planned)
    return any(
        engine.may_lead
        and not engine.start_wait_ms
        and engine.slot_requests < planned.profile.slots
        and not engine.load.pending_prefill.tokens
        for engine in planned.engines
    )


def _patience_ms(query: PlacementQuery) -> float:
    """Return how late a first event may come, by its prediction."""
    patience_ms = max(
        MIN_PATIENCE_MS,
        PATIENCE_TARGETS * query.first_event_target_ms,
        PATIENCE_GAPS * query.event_gap_target_ms,
    )
    return min(patience_ms, query.remaining_ms) * USABLE_TARGET_SHARE


def _honoured_ms(query: PlacementQuery) -> float:
    """Return the longest hint that the caller honours."""
    return min(MAX_HINT_MS, query.remaining_ms * HONOURED_SHARE)
