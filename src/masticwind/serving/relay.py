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
from masticwind.serving.attempt import (
    ANSWER_MARGIN_MS,
    Trial,
    attempt,
    limits_of,
)
from masticwind.serving.bounds import ColdRate, RepeatBudget
from masticwind.serving.directory import EndpointDirectory, OperatorState
from masticwind.serving.health import EndpointHealth
from masticwind.serving.interfaces import CallerAnswer, EndpointClient
from masticwind.serving.load import LoadBoard
from masticwind.serving.model import Endpoint
from masticwind.serving.placement import Deferral, Placement, Placer, Query
from masticwind.serving.reach import ZoneReachability
from masticwind.serving.settings import LiveSettings
from masticwind.serving.telemetry import Telemetry, prompt_size_label
from masticwind.serving.work import Admitted, Progress

# A whole answer may take this many times its predicted time.
WHOLE_MARGIN: Final = 1.5
# Failures after which an endpoint is left alone for a while.
_BROKEN: Final = frozenset(
    (
        ErrorKind.NO_CAPACITY,
        ErrorKind.FAILED_AFTER_START,
        ErrorKind.OUTCOME_UNKNOWN,
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayParts:
    """What the relay works with."""

    settings: LiveSettings
    directory: EndpointDirectory
    operations: OperatorState
    health: EndpointHealth
    reach: ZoneReachability
    board: LoadBoard
    calls: Placer
    prompts: Placer
    link: EndpointClient
    repeats: RepeatBudget
    cold: ColdRate
    telemetry: Telemetry


class Relay:
    """Sends admitted requests and passes their answers on."""

    def __init__(self, parts: RelayParts) -> None:
        self._parts: Final = parts

    async def serve(
        self,
        work: Admitted,
        answer: CallerAnswer,
    ) -> Failure | None:
        """Serve a request; a `Failure` is still to be answered.

        If the answer has begun, a `Failure` means that it must break off.
        """
        parts = self._parts
        parts.repeats.request(work.service.name)
        progress = Progress(last_event=work.req.resume_after)
        while True:
            placement = await self._place_in_time(work, progress)
            if isinstance(placement, Failure):
                return progress.final(placement)
            failure = await self._attempt(work, placement, progress, answer)
            self._count(work, progress, failure)
            if failure is None:
                parts.health.record_success(placement.lead.identity)
                parts.reach.record_answer(placement.lead)
                return None
            await self._note_failure(placement.lead, failure, progress)
            if not self._may_send_again(work, progress):
                return progress.final(failure)

    def _count(
        self,
        work: Admitted,
        progress: Progress,
        failure: Failure | None,
    ) -> None:
        telemetry = self._parts.telemetry
        if failure is not None:
            telemetry.attempts.labels(failure.kind.value).inc()
            return
        telemetry.attempts.labels('served').inc()
        first_ms = progress.first_ms or progress.elapsed_ms()
        size = prompt_size_label(work.prompt)
        telemetry.first_event.labels(size).observe(first_ms / MS_PER_S)

    async def _place_in_time(
        self,
        work: Admitted,
        progress: Progress,
    ) -> Placement | Failure:
        deferred_ms = 0.0
        while True:
            placement = self._place(work, progress)
            if not isinstance(placement, Deferral):
                break
            self._log_placement(work, placement, deferred_ms)
            if not deferred_ms:
                self._parts.telemetry.deferrals.inc()
            deferred_ms += placement.wait_ms
            await anyio.sleep(placement.wait_ms / MS_PER_S)
        self._log_placement(work, placement, deferred_ms)
        if _ends_too_late(work, placement):
            return Failure(
                kind=ErrorKind.DRAINING,
                reason='shutting down',
                retry_after_ms=1,
            )
        return placement

    def _log_placement(
        self,
        work: Admitted,
        placement: Placement | Deferral | Failure,
        deferred_ms: float,
    ) -> None:
        """Log a refusal, the first deferral, and what ends deferrals."""
        log = logger.bind(
            request_id=work.req.request_id,
            prompt=work.prompt,
            left_ms=round(work.left_s() * MS_PER_S),
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
        work: Admitted,
        progress: Progress,
    ) -> Placement | Deferral | Failure:
        parts = self._parts
        left_ms = work.left_s() * MS_PER_S
        if left_ms <= ANSWER_MARGIN_MS:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='no time is left',
            )
        candidates, helpers = self._candidates(work, progress)
        progress.candidates = len(candidates)
        query = Query(
            request=work.req.request_id,
            service=work.service,
            candidates=candidates,
            helpers=helpers,
            jobs=parts.board.jobs(),
            now=parts.board.clock(),
            zone=parts.settings.zone,
            tokens=work.req.tokens,
            left_ms=left_ms,
            first_answer_ms=_aim_left_ms(work, progress),
            pause_ms=work.route.pause_ms,
            failure_shares=parts.health.failure_shares((*candidates, *helpers)),
        )
        if work.service.speed is None or work.req.tokens is None:
            return parts.calls.place(query)
        return parts.prompts.place(query)

    def _candidates(
        self,
        work: Admitted,
        progress: Progress,
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return the endpoints that may run the request, and others that may
        only help to read its prompt.

        Endpoints that fail or cannot be reached are used only where no other
        one is left. A part of a prompt is no request, so the rate of a cold
        endpoint does not count it.
        """
        cold = self._parts.cold
        cold_per_s = work.service.cold_per_s
        usable: list[Endpoint] = []
        sound: list[Endpoint] = []
        limited: list[Endpoint] = []
        for endpoint in self._parts.directory.endpoints(work.service.name):
            if not self._allowed(work, progress, endpoint):
                continue
            if cold.free(endpoint.identity, cold_per_s):
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
            if cold.free_in_need(one.identity, cold_per_s)
        ]
        return in_need, []

    def _allowed(
        self,
        work: Admitted,
        progress: Progress,
        endpoint: Endpoint,
    ) -> bool:
        parts = self._parts
        if endpoint.zone in parts.operations.evacuated_zones:
            return False
        if endpoint.identity in progress.excluded:
            return False
        return self._at_home(work, endpoint)

    def _sound(self, endpoint: Endpoint) -> bool:
        parts = self._parts
        if parts.reach.is_excluded(endpoint.zone):
            return False
        return not parts.health.is_excluded(endpoint.identity)

    def _at_home(self, work: Admitted, endpoint: Endpoint) -> bool:
        region = self._parts.settings.region_of(endpoint.zone)
        for homes in (work.route.home_regions, work.team.home_regions):
            if homes and region not in homes:
                return False
        return True

    async def _attempt(
        self,
        work: Admitted,
        placement: Placement,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Failure | None:
        parts = self._parts
        another = self._another(work, progress)
        limits = limits_of(work, placement, another=another)
        progress.sendings += 1
        parts.cold.sent(placement.lead.identity)
        parts.reach.record_attempt(placement.lead)
        numbers = parts.board.add(placement.jobs)
        trial = Trial(
            work=work,
            placement=placement,
            progress=progress,
            answer=answer,
            limits=limits,
            another=another,
            on_event=partial(self._on_event, placement.lead, numbers),
        )
        try:
            return await attempt(parts.link, trial)
        finally:
            parts.board.remove(numbers)

    def _on_event(self, lead: Endpoint, numbers: Iterable[int]) -> None:
        self._parts.board.first_token(numbers)
        self._parts.reach.record_answer(lead)

    def _another(self, work: Admitted, progress: Progress) -> bool:
        """Tell whether the request may be sent to one more endpoint after
        the one that it is being sent to.
        """
        if not progress.may_ask_another(work):
            return False
        return self._parts.repeats.left(work.service.name) >= 1

    async def _note_failure(
        self,
        lead: Endpoint,
        failure: Failure,
        progress: Progress,
    ) -> None:
        """Take over what a failed attempt says of the request and endpoint."""
        parts = self._parts
        at_fault = progress.note_failure(lead, failure)
        if failure.silent:
            parts.reach.record_silence(at_fault)
        else:
            parts.reach.record_answer(at_fault)
        if failure.kind is ErrorKind.REVOKED:
            parts.directory.remove(at_fault.identity, 'its address has another')
            await parts.link.close_idle(at_fault)
        elif failure.kind is not ErrorKind.OVERLOADED:
            parts.health.record_failure(
                at_fault.identity,
                failure.reason,
                connection_failed=failure.kind in _BROKEN,
            )

    def _may_send_again(self, work: Admitted, progress: Progress) -> bool:
        if not progress.may_send_again(work):
            return False
        if work.left_s() * MS_PER_S <= ANSWER_MARGIN_MS:
            return False
        if self._parts.repeats.take(work.service.name):
            return True
        logger.bind(
            request_id=work.req.request_id,
            service=work.service.name,
        ).info('repeat_budget_spent')
        return False


def _aim_left_ms(work: Admitted, progress: Progress) -> float:
    """Return what is left of the aim; zero where there is none any more.

    A request that has been sent before goes on wherever that is quickest.
    """
    aim_ms = work.route.first_answer_ms
    if not aim_ms or progress.sendings:
        return 0.0
    return max(1.0, aim_ms - progress.elapsed_ms())


def _ends_too_late(work: Admitted, placement: Placement | Failure) -> bool:
    if isinstance(placement, Failure):
        return False
    whole_s = placement.whole_ms * WHOLE_MARGIN / MS_PER_S
    return time.monotonic() + whole_s > work.process_ends_at
