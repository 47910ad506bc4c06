"""Places a request: chooses the endpoints that may run it, and waits for them.

A placement that is made here may be used at once: its lead has granted a
permit if it needs one, and does not pause.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
    draining_failure,
)
from masticwind.serving.admission.return_promises import (
    PromiseBook,
    find_standing,
)
from masticwind.serving.attempt import ANSWER_MARGIN_MS
from masticwind.serving.attempt_context import AttemptState
from masticwind.serving.costs.completion_times import CompletionTimes
from masticwind.serving.endpoint_limits import Permit
from masticwind.serving.fingerprints import short_key
from masticwind.serving.known_calls import known_fingerprint
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.availability import (
    Availability,
    wait_or_refuse,
)
from masticwind.serving.placement.candidates import CandidateFinder
from masticwind.serving.placement.placer import (
    Deferral,
    Placement,
    PlacementQuery,
    Placer,
    waiting_failure,
)
from masticwind.serving.relay_dependencies import RelayDependencies

# Denied permits of one request, each of which takes a message to another entry.
MAX_PERMIT_DENIALS: Final = 3
# A sound endpoint may fall silent for this time and go on.
SOUND_SILENCE_S: Final = 1.6


@dataclass(frozen=True, slots=True)
class PermittedPlacement:
    """A placement that may be used, with the permit that its lead needs.

    As a `last_resort`, the lead may be leaving.
    """

    placement: Placement
    permit: Permit | None = None
    last_resort: bool = False
    state: AttemptState = field(default_factory=AttemptState)


class RequestPlacer:
    """Places requests on the endpoints that this entry knows."""

    def __init__(
        self, deps: RelayDependencies, completion_times: CompletionTimes
    ) -> None:
        self._deps: Final = deps
        self._completion_times: Final = completion_times
        self._candidates: Final = CandidateFinder(deps)

    async def place(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> PermittedPlacement | Failure:
        """Place a request, and get a permit if its endpoint needs one.

        A denied permit, or a wait for it or for the end of a pause, leads to
        another placement, which may choose another endpoint.
        """
        limits = self._deps.limit_link.limits
        notices = self._deps.notices
        while True:
            placement = await self._place_with_deferrals(admitted, progress)
            if isinstance(placement, Failure):
                return placement
            pause_ms = notices.wait_ms(placement.lead, admitted.priority)
            if pause_ms:
                await anyio.sleep(pause_ms / MS_PER_S)
                continue
            last_resort = notices.is_leaving(placement.lead)
            if limits.find(placement.lead) is None:
                return PermittedPlacement(placement, last_resort=last_resort)
            permit = await self._deps.limit_link.acquire(
                placement.lead,
                self._max_permit_wait_s(admitted, progress, placement),
                admitted.priority,
            )
            outcome = 'denied' if permit is None else 'granted'
            self._deps.telemetry.permits.labels(outcome).inc()
            if permit is not None and self._candidates.is_still_usable(
                admitted, progress, placement.lead
            ):
                return PermittedPlacement(placement, permit, last_resort)
            progress.denied_endpoints.add(placement.lead.identity)

    def outlasts_process(
        self,
        admitted: AdmittedRequest,
        predicted_ms: float,
        *,
        may_have_run: bool = False,
    ) -> bool:
        """Tell whether a request may still run when this process ends.

        One that arrives after the load balancer has stopped sending gets no
        benefit of the doubt, and must leave room for a silence of its endpoint:
        it reaches another entry as soon as it is refused.
        One that may have run can't be taken by another entry any more, so that
        a refusal is no better for its caller than an attempt that may be cut.
        """
        lifetime = self._deps.lifetime
        remaining_s = lifetime.remaining_s()
        if math.isinf(remaining_s):
            return False
        service = admitted.service.name
        if lifetime.arrivals_over and not may_have_run:
            total_s = self._completion_times.cautious_s(service, predicted_ms)
            total_s += SOUND_SILENCE_S
        else:
            total_s = self._completion_times.usual_s(service, predicted_ms)
        outlasts = min(total_s, admitted.remaining_s()) > remaining_s
        if outlasts:
            logger.bind(
                request_id=admitted.req.request_id,
                stopping_for_ms=lifetime.stopping_for_ms(),
                left_ms=round(remaining_s * MS_PER_S),
                predicted_ms=round(predicted_ms),
                expected_s=round(total_s, 3)
                if math.isfinite(total_s)
                else None,
            ).info('request_outlasts_process')
        return outlasts

    def find_obstacle(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        permitted: PermittedPlacement,
    ) -> str:
        """Return why a placed request must be placed again, or ''."""
        if self.outlasts_process(
            admitted,
            permitted.placement.total_ms,
            may_have_run=bool(progress.may_have_run_at),
        ):
            return 'shutting down'
        limits = self._deps.limit_link.limits
        if permitted.permit is None and limits.find(permitted.placement.lead):
            return 'the endpoint has begun to limit its requests'
        lead = permitted.placement.lead
        obstacle = self._deps.notices.find_obstacle(
            lead, last_resort=permitted.last_resort
        )
        obstacle = obstacle or self._find_registered_obstacle(lead)
        for helper in permitted.placement.helpers:
            obstacle = (
                obstacle
                or self._deps.notices.find_obstacle(helper.endpoint)
                or self._find_registered_obstacle(helper.endpoint)
            )
        return obstacle

    def placer_for(self, admitted: AdmittedRequest) -> Placer:
        """Return the placer of a request, by what it asks for."""
        if admitted.service.engine is None or admitted.req.tokens is None:
            return self._deps.call_placer
        return self._deps.prompt_placer

    def preview_query(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> PlacementQuery:
        """Collect what a placement depends on; no promise is used up."""
        promises = self._deps.promises
        return self._build_query(
            admitted, progress, None if promises is None else promises.copy()
        )

    def _find_registered_obstacle(self, endpoint: Endpoint) -> str:
        """Return why an endpoint must not be used by the store's data."""
        deps = self._deps
        if not deps.directory.accepts_work(endpoint):
            return f'{endpoint.identity} accepts no new work'
        if endpoint.zone in deps.operator_state.evacuated_zones:
            return f'zone {endpoint.zone} is evacuated'
        return ''

    def _max_permit_wait_s(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        placement: Placement,
    ) -> float:
        """Return the wait for a permit with which the first event is in time,
        or the wait that the placement has accepted if that is longer.
        """
        known_ms = self._deps.limit_link.limits.wait_ms(placement.lead)
        remaining_ms = admitted.remaining_s() * MS_PER_S
        target_ms = _remaining_target_ms(admitted, progress) or remaining_ms
        slack_ms = target_ms - max(0.0, placement.first_event_ms - known_ms)
        wait_s = min(remaining_ms, max(known_ms, slack_ms)) / MS_PER_S
        return min(wait_s, self._deps.lifetime.remaining_s())

    async def _place_with_deferrals(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> Placement | Failure:
        deferred_ms = 0.0
        while True:
            placement = self._place_once(admitted, progress)
            available = self._first_available(admitted, progress, placement)
            if available is not None:
                placement = wait_or_refuse(admitted, available, deferred_ms)
            if not isinstance(placement, Deferral):
                break
            if placement.wait_ms / MS_PER_S > self._deps.lifetime.remaining_s():
                placement = draining_failure()
                break
            self._log_placement(admitted, progress, placement, deferred_ms)
            if not deferred_ms:
                self._deps.telemetry.deferrals.inc()
            deferred_ms += placement.wait_ms
            await anyio.sleep(placement.wait_ms / MS_PER_S)
            if available is not None:
                progress.readmit(available.endpoint.identity)
        self._log_placement(admitted, progress, placement, deferred_ms)
        if not isinstance(placement, Failure) and self.outlasts_process(
            admitted,
            placement.total_ms,
            may_have_run=bool(progress.may_have_run_at),
        ):
            return draining_failure()
        return placement

    def _first_available(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        placement: Placement | Deferral | Failure,
    ) -> Availability | None:
        """Return when a request for which there is no endpoint may get one."""
        if (
            self._deps.news.enabled
            and isinstance(placement, Failure)
            and placement.kind is ErrorKind.NO_CAPACITY
        ):
            return self._candidates.first_available(admitted, progress)
        return None

    def _log_placement(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        placement: Placement | Deferral | Failure,
        deferred_ms: float,
    ) -> None:
        """Log a new kind of refusal, and the first and the last deferral."""
        log = logger.bind(
            request_id=admitted.req.request_id,
            prompt=admitted.prompt_tokens,
            left_ms=round(admitted.remaining_s() * MS_PER_S),
        )
        if isinstance(placement, Failure):
            if placement.kind is progress.last_refusal:
                # The search for a successor of a silent attempt goes on.
                return
            progress.last_refusal = placement.kind
            log.bind(
                kind=placement.kind.value,
                reason=placement.reason,
                deferred_ms=round(deferred_ms),
            ).info('placement_refused')
        elif isinstance(placement, Deferral):
            if not deferred_ms:
                log.bind(reason=placement.reason).info('placement_deferred')
        elif deferred_ms:
            log.bind(deferred_ms=round(deferred_ms)).info('placement_resumed')

    def _place_once(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> Placement | Deferral | Failure:
        deps = self._deps
        remaining_ms = admitted.remaining_s() * MS_PER_S
        if remaining_ms <= ANSWER_MARGIN_MS:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='the deadline has passed or is too close',
            )
        rejection = deps.quarantine.check(
            known_fingerprint(admitted, progress, deps.quarantine),
            admitted.req.request_id,
        )
        if rejection is not None:
            return rejection
        query = self._build_query(admitted, progress, deps.promises)
        restricted = {*query.permit_waits_ms, *query.pause_waits_ms}
        if restricted and not query.candidates:
            return waiting_failure(query, min(restricted, key=query.wait_ms))
        return self.placer_for(admitted).place(query)

    def _build_query(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        promises: PromiseBook | None,
    ) -> PlacementQuery:
        """Collect what a placement of a request depends on."""
        deps = self._deps
        remaining_ms = admitted.remaining_s() * MS_PER_S
        candidates, helpers = self._candidates.find(admitted, progress)
        permit_waits_ms = self._candidates.permit_waits_ms(admitted)
        pause_waits_ms = self._candidates.pause_waits_ms(admitted, progress)
        candidates = [
            endpoint
            for endpoint in candidates
            if permit_waits_ms.get(endpoint.identity, 0) <= remaining_ms
            and pause_waits_ms.get(endpoint.identity, 0) <= remaining_ms
            and _may_need_permit(progress, endpoint, permit_waits_ms)
        ]
        last_resort = not candidates
        if last_resort:
            candidates = self._candidates.find_leaving(admitted, progress)
        progress.candidate_count = len(candidates)
        return PlacementQuery(
            request_id=admitted.req.request_id,
            service=admitted.service,
            candidates=candidates,
            helpers=[
                helper
                for helper in helpers
                if helper.identity not in permit_waits_ms
                and helper.identity not in pause_waits_ms
            ],
            jobs_by_endpoint=deps.load_table.jobs_by_endpoint(),
            now=deps.load_table.clock(),
            zone=deps.settings.zone,
            tokens=admitted.req.tokens,
            remaining_ms=remaining_ms,
            first_event_target_ms=_remaining_target_ms(admitted, progress),
            event_gap_target_ms=admitted.route.event_gap_target_ms,
            failure_shares=deps.health.failure_shares((*candidates, *helpers)),
            permit_waits_ms=permit_waits_ms,
            pause_waits_ms=pause_waits_ms,
            last_resort=last_resort,
            barred_helpers=deps.helper_faults.barred_helpers(),
            cut_zone_pairs=deps.helper_faults.cut_zone_pairs()
            | progress.cut_zone_pairs,
            route_key=short_key(admitted.route.name),
            team_key=short_key(admitted.team.name),
            costs=deps.costs,
            standing=find_standing(admitted, progress, promises),
            return_key=progress.return_key,
        )


def _may_need_permit(
    progress: RequestProgress,
    endpoint: Endpoint,
    permit_waits_ms: Mapping[str, float],
) -> bool:
    """Tell whether to try an endpoint, which may need a permit."""
    if endpoint.identity not in permit_waits_ms:
        return True
    if len(progress.denied_endpoints) >= MAX_PERMIT_DENIALS:
        return False
    return endpoint.identity not in progress.denied_endpoints


def _remaining_target_ms(
    admitted: AdmittedRequest, progress: RequestProgress
) -> float:
    """Return the remaining time to the first event target, zero for none.

    A retry has no target, so that it is placed where it is fastest.
    """
    target_ms = admitted.route.first_event_target_ms
    if not target_ms or progress.attempts:
        return 0.0
    return max(1.0, target_ms - progress.elapsed_ms())
