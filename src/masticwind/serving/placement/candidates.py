"""Finds the endpoints that may get a request, or the first one that will.

The rules of the operators and the endpoints decide which ones may. What is
known of their health only decides which ones are used while there are others.
"""

import math
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
)
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.availability import Availability
from masticwind.serving.relay_dependencies import RelayDependencies


class CandidateFinder:
    """Finds candidates among the endpoints that this entry knows."""

    def __init__(self, deps: RelayDependencies) -> None:
        self._deps: Final = deps

    def is_still_usable(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        endpoint: Endpoint,
    ) -> bool:
        """Tell whether an endpoint may get a request that has waited."""
        service = admitted.service
        notices = self._deps.notices
        if notices.find_obstacle(endpoint, last_resort=True):
            return False
        if notices.wait_ms(endpoint, admitted.priority):
            return False
        return (
            self._deps.directory.is_usable(endpoint)
            and self._is_eligible(admitted, progress, endpoint)
            and self._deps.cold_limiter.allows_last_resort(
                endpoint.identity, service.cold_per_s
            )
        )

    def permit_waits_ms(self, admitted: AdmittedRequest) -> dict[str, float]:
        """Return the waits for permits of the endpoints that need them."""
        limits = self._deps.limit_link.limits
        if not limits.count():
            return {}
        return {
            endpoint.identity: limits.wait_ms(endpoint)
            for endpoint in self._deps.directory.endpoints(
                admitted.service.name
            )
            if limits.find(endpoint) is not None
            and not self._deps.notices.is_leaving(endpoint)
        }

    def pause_waits_ms(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> dict[str, float]:
        """Return the waits for the endpoints that pause or return from it."""
        notices = self._deps.notices
        if notices.is_empty():
            return {}
        waits_ms = {
            endpoint.identity: notices.wait_ms(endpoint, admitted.priority)
            for endpoint in self._deps.directory.endpoints(
                admitted.service.name
            )
            if notices.is_returning(endpoint)
            and not notices.is_leaving(endpoint)
        }
        if any(waits_ms.values()):
            self._count_passed_over(progress, 'pause')
        return waits_ms

    def find_leaving(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> list[Endpoint]:
        """Return leaving endpoints for a request that has no other one.

        They may end under it, so it must be one that may be repeated.
        """
        if not admitted.route.repeatable or self._deps.notices.is_empty():
            return []
        return [
            endpoint
            for endpoint in self._deps.directory.endpoints(
                admitted.service.name
            )
            if self._deps.notices.is_last_resort(endpoint)
            and self.is_still_usable(admitted, progress, endpoint)
        ]

    def find(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the endpoints that may run the request, and further ones that
        may only prefill a part of its prompt.

        Endpoints that fail or cannot be reached are used only if there are no
        others, and replaced ones only if there are no failing ones either.
        Prefilling a part of a prompt does not count as a request, so the rate
        limit of cold endpoints does not apply to it.
        """
        cold_limiter = self._deps.cold_limiter
        cold_per_s = admitted.service.cold_per_s
        usable: list[Endpoint] = []
        healthy: list[Endpoint] = []
        rate_limited: list[Endpoint] = []
        for endpoint in self._deps.directory.endpoints(admitted.service.name):
            if not self._is_eligible(admitted, progress, endpoint):
                continue
            if self._deps.notices.is_leaving(endpoint):
                self._count_passed_over(progress, 'leaving')
                continue
            if cold_limiter.allows(endpoint.identity, cold_per_s):
                usable.append(endpoint)
                if self._is_healthy(endpoint):
                    healthy.append(endpoint)
            else:
                rate_limited.append(endpoint)
        helpers = [
            helper for helper in rate_limited if self._is_healthy(helper)
        ]
        preferred = healthy or self._not_replaced(usable)
        if preferred:
            return preferred, helpers
        last_resort = [
            candidate
            for candidate in rate_limited
            if cold_limiter.allows_last_resort(candidate.identity, cold_per_s)
        ]
        preferred = self._not_replaced(last_resort)
        if usable and not preferred:
            return usable, helpers
        return preferred or last_resort, []

    def first_available(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> Availability | None:
        """Return the first endpoint that a request without one may get.

        It is known of endpoints that are left out after a failed connection,
        and of those whose rate is limited since they may be cold. Permits and
        pauses have failures of their own.
        """
        soonest: Availability | None = None
        for endpoint in self._deps.directory.endpoints(admitted.service.name):
            wait_s = self._available_in_s(admitted, progress, endpoint)
            wait_ms = wait_s * MS_PER_S
            if math.isinf(wait_ms):
                continue
            if soonest is None or wait_ms < soonest.wait_ms:
                soonest = Availability(endpoint, wait_ms)
        return soonest

    def _available_in_s(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        endpoint: Endpoint,
    ) -> float:
        """Return the time until an endpoint may get a request, if known."""
        deps = self._deps
        if endpoint.identity in progress.may_have_run_at:
            return math.inf
        if not self._is_permitted(admitted, endpoint):
            return math.inf
        if (
            deps.notices.is_leaving(endpoint)
            or deps.notices.is_returning(endpoint)
            or deps.limit_link.limits.find(endpoint) is not None
        ):
            return math.inf
        wait_s = deps.cold_limiter.available_in_s(
            endpoint.identity, admitted.service.cold_per_s
        )
        if endpoint.identity not in progress.excluded_endpoints:
            return wait_s
        if endpoint.identity not in progress.unreached_endpoints:
            # An attempt there may still wait for its connection.
            return math.inf
        excluded_s = deps.health.excluded_for_s(endpoint.identity)
        return max(wait_s, excluded_s) if excluded_s else math.inf

    def _not_replaced(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Leave out replaced endpoints."""
        reported = self._deps.news.reported
        return [
            endpoint
            for endpoint in endpoints
            if not reported.is_replaced(endpoint)
        ]

    def _is_eligible(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        endpoint: Endpoint,
    ) -> bool:
        if endpoint.identity in progress.excluded_endpoints:
            return False
        return self._is_permitted(admitted, endpoint)

    def _is_permitted(
        self, admitted: AdmittedRequest, endpoint: Endpoint
    ) -> bool:
        """Tell whether the operators allow the request at an endpoint."""
        if endpoint.zone in self._deps.operator_state.evacuated_zones:
            return False
        return self._in_home_region(admitted, endpoint)

    def _is_healthy(self, endpoint: Endpoint) -> bool:
        deps = self._deps
        if deps.reach.is_excluded(endpoint.zone):
            return False
        if deps.news.reported.is_replaced(endpoint):
            return False
        return not deps.health.is_excluded(endpoint.identity)

    def _in_home_region(
        self, admitted: AdmittedRequest, endpoint: Endpoint
    ) -> bool:
        region = self._deps.settings.region_of(endpoint.zone)
        for home_regions in (
            admitted.route.home_regions,
            admitted.team.home_regions,
        ):
            if home_regions and region not in home_regions:
                return False
        return True

    def _count_passed_over(self, progress: RequestProgress, cause: str) -> None:
        """Count a request once for each cause."""
        if cause not in progress.passed_over_for:
            progress.passed_over_for.add(cause)
            self._deps.telemetry.passed_over.labels(cause).inc()
