"""Carries one request from its admission to its true answer.

A request is sent once more only if that cannot make it run twice: it was
not sent, its endpoint says that it did not run, or it may be repeated. A
stream that may be resumed goes on after its last whole event.
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.admission import AdmittedRequest, RequestProgress
from masticwind.serving.attempt import (
    ANSWER_MARGIN_MS,
    AttemptContext,
    attempt,
    attempt_limits,
)
from masticwind.serving.bounds import ColdEndpointLimiter, RetryBudget
from masticwind.serving.directory import Directory, Operations
from masticwind.serving.health import Health
from masticwind.serving.link import CallerAnswer, EndpointLink
from masticwind.serving.load_table import LoadTable
from masticwind.serving.model import Endpoint
from masticwind.serving.placement import (
    Deferral,
    Placement,
    PlacementQuery,
    Placer,
)
from masticwind.serving.reach import Reach
from masticwind.serving.settings import LiveSettings
from masticwind.serving.telemetry import Telemetry, size_of

# A whole answer may take this many times its predicted time.
TOTAL_TIME_MARGIN: Final = 1.5
# Failures after which an endpoint is left alone for a while.
_BROKEN_CONNECTION_KINDS: Final = frozenset(
    (
        ErrorKind.NO_CAPACITY,
        ErrorKind.FAILED_AFTER_START,
        ErrorKind.OUTCOME_UNKNOWN,
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayDependencies:
    """What the relay works with."""

    settings: LiveSettings
    directory: Directory
    operations: Operations
    health: Health
    reach: Reach
    load_table: LoadTable
    call_placer: Placer
    prompt_placer: Placer
    link: EndpointLink
    retry_budget: RetryBudget
    cold_limiter: ColdEndpointLimiter
    telemetry: Telemetry


class Relay:
    """Sends admitted requests and passes their answers on."""

    def __init__(self, parts: RelayDependencies) -> None:
        self._parts: Final = parts

    async def serve(
        self,
        admitted: AdmittedRequest,
        answer: CallerAnswer,
    ) -> Failure | None:
        """Serve a request; a `Failure` is still to be answered.

        If the answer has begun, a `Failure` means that it must break off.
        """
        parts = self._parts
        parts.retry_budget.record_request(admitted.service.name)
        progress = RequestProgress(last_event_id=admitted.req.resume_after)
        while True:
            placement = await self._place_in_time(admitted, progress)
            if isinstance(placement, Failure):
                return progress.final_failure(placement)
            failure = await self._attempt(admitted, placement, progress, answer)
            self._count(admitted, progress, failure)
            if failure is None:
                parts.health.succeeded(placement.lead.identity)
                parts.reach.answered(placement.lead)
                return None
            await self._note_failure(placement.lead, failure, progress)
            if not self._may_send_again(admitted, progress):
                return progress.final_failure(failure)

    def _count(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        failure: Failure | None,
    ) -> None:
        telemetry = self._parts.telemetry
        if failure is not None:
            telemetry.attempts.labels(failure.kind.value).inc()
            return
        telemetry.attempts.labels('served').inc()
        first_ms = progress.first_event_ms or progress.elapsed_ms()
        size = size_of(admitted.prompt_tokens)
        telemetry.first_event.labels(size).observe(first_ms / MS_PER_S)

    async def _place_in_time(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> Placement | Failure:
        deferred_ms = 0.0
        while True:
            placement = self._place(admitted, progress)
            if not isinstance(placement, Deferral):
                break
            self._log_placement(admitted, placement, deferred_ms)
            if not deferred_ms:
                self._parts.telemetry.deferrals.inc()
            deferred_ms += placement.wait_ms
            await anyio.sleep(placement.wait_ms / MS_PER_S)
        self._log_placement(admitted, placement, deferred_ms)
        if _ends_too_late(admitted, placement):
            return Failure(
                kind=ErrorKind.DRAINING,
                reason='shutting down',
                retry_after_ms=1,
            )
        return placement

    def _log_placement(
        self,
        admitted: AdmittedRequest,
        placement: Placement | Deferral | Failure,
        deferred_ms: float,
    ) -> None:
        """Log a refusal, the first deferral, and what ends deferrals."""
        log = logger.bind(
            request_id=admitted.req.request_id,
            prompt=admitted.prompt_tokens,
            left_ms=round(admitted.remaining_s() * MS_PER_S),
        )
        if isinstance(placement, Failure):
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

    def _place(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> Placement | Deferral | Failure:
        parts = self._parts
        left_ms = admitted.remaining_s() * MS_PER_S
        if left_ms <= ANSWER_MARGIN_MS:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='no time is left',
            )
        candidates, helpers = self._candidates(admitted, progress)
        progress.candidate_count = len(candidates)
        query = PlacementQuery(
            request_id=admitted.req.request_id,
            service=admitted.service,
            candidates=candidates,
            helpers=helpers,
            jobs_by_endpoint=parts.load_table.jobs_by_endpoint(),
            now=parts.load_table.clock(),
            zone=parts.settings.zone,
            tokens=admitted.req.tokens,
            remaining_ms=left_ms,
            first_event_target_ms=_aim_left_ms(admitted, progress),
            event_gap_target_ms=admitted.route.event_gap_target_ms,
            failure_shares=parts.health.shares((*candidates, *helpers)),
        )
        if admitted.service.engine is None or admitted.req.tokens is None:
            return parts.call_placer.place(query)
        return parts.prompt_placer.place(query)

    def _candidates(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the endpoints that may run the request, and others that may
        only help to read its prompt.

        Endpoints that fail or cannot be reached are used only where no other
        one is left. A part of a prompt is no request, so the rate of a cold
        endpoint does not count it.
        """
        cold = self._parts.cold_limiter
        cold_per_s = admitted.service.cold_per_s
        usable: list[Endpoint] = []
        sound: list[Endpoint] = []
        limited: list[Endpoint] = []
        for endpoint in self._parts.directory.endpoints(admitted.service.name):
            if not self._allowed(admitted, progress, endpoint):
                continue
            if cold.allows(endpoint.identity, cold_per_s):
                usable.append(endpoint)
                if self._sound(endpoint):
                    sound.append(endpoint)
            else:
                limited.append(endpoint)
        if usable:
            helpers = [one for one in limited if self._sound(one)]
            return sound or usable, helpers
        in_need = [
            one
            for one in limited
            if cold.allows_last_resort(one.identity, cold_per_s)
        ]
        return in_need, []

    def _allowed(
        self,
        admitted: AdmittedRequest,
        progress: RequestProgress,
        endpoint: Endpoint,
    ) -> bool:
        parts = self._parts
        if endpoint.zone in parts.operations.zones_out:
            return False
        if endpoint.identity in progress.excluded_endpoints:
            return False
        return self._at_home(admitted, endpoint)

    def _sound(self, endpoint: Endpoint) -> bool:
        parts = self._parts
        if parts.reach.out(endpoint.zone):
            return False
        return not parts.health.out(endpoint.identity)

    def _at_home(self, admitted: AdmittedRequest, endpoint: Endpoint) -> bool:
        region = self._parts.settings.region_of(endpoint.zone)
        for homes in (admitted.route.home_regions, admitted.team.home_regions):
            if homes and region not in homes:
                return False
        return True

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        placement: Placement,
        progress: RequestProgress,
        answer: CallerAnswer,
    ) -> Failure | None:
        parts = self._parts
        another = self._another(admitted, progress)
        limits = attempt_limits(admitted, placement, another=another)
        progress.attempts += 1
        parts.cold_limiter.record_request(placement.lead.identity)
        parts.reach.sent(placement.lead)
        numbers = parts.load_table.add(placement.jobs)
        trial = AttemptContext(
            admitted=admitted,
            placement=placement,
            progress=progress,
            answer=answer,
            limits=limits,
            may_retry_elsewhere=another,
            on_event=partial(self._on_event, placement.lead, numbers),
        )
        try:
            return await attempt(parts.link, trial)
        finally:
            parts.load_table.remove(numbers)

    def _on_event(self, lead: Endpoint, numbers: Iterable[int]) -> None:
        self._parts.load_table.record_first_token(numbers)
        self._parts.reach.answered(lead)

    def _another(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> bool:
        """Tell whether the request may be sent to one more endpoint after
        the one that it is being sent to.
        """
        if not progress.may_retry_after_current(admitted):
            return False
        return self._parts.retry_budget.remaining(admitted.service.name) >= 1

    async def _note_failure(
        self,
        lead: Endpoint,
        failure: Failure,
        progress: RequestProgress,
    ) -> None:
        """Take over what a failed attempt says of the request and endpoint."""
        parts = self._parts
        at_fault = progress.record_failure(lead, failure)
        if failure.silent:
            parts.reach.silent(at_fault)
        else:
            parts.reach.answered(at_fault)
        if failure.kind is ErrorKind.REVOKED:
            parts.directory.remove(at_fault.identity, 'its address has another')
            await parts.link.forget(at_fault)
        elif failure.kind is not ErrorKind.OVERLOADED:
            parts.health.failed(
                at_fault.identity,
                failure.reason,
                broken=failure.kind in _BROKEN_CONNECTION_KINDS,
            )

    def _may_send_again(
        self, admitted: AdmittedRequest, progress: RequestProgress
    ) -> bool:
        if not progress.may_retry(admitted):
            return False
        if admitted.remaining_s() * MS_PER_S <= ANSWER_MARGIN_MS:
            return False
        if self._parts.retry_budget.try_acquire(admitted.service.name):
            return True
        logger.bind(
            request_id=admitted.req.request_id,
            service=admitted.service.name,
        ).info('repeat_budget_spent')
        return False


def _aim_left_ms(admitted: AdmittedRequest, progress: RequestProgress) -> float:
    """Return what is left of the aim; zero where there is none any more.

    A request that has been sent before goes on wherever that is quickest.
    """
    aim_ms = admitted.route.first_event_target_ms
    if not aim_ms or progress.attempts:
        return 0.0
    return max(1.0, aim_ms - progress.elapsed_ms())


def _ends_too_late(
    admitted: AdmittedRequest, placement: Placement | Failure
) -> bool:
    if isinstance(placement, Failure):
        return False
    whole_s = placement.total_ms * TOTAL_TIME_MARGIN / MS_PER_S
    return time.monotonic() + whole_s > admitted.process_ends_at
