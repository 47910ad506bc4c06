"""One attempt: sends a request to an endpoint and relays its answer."""

import math
import time
from dataclasses import replace
from functools import partial
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.httpclient import BrokenStreamError
from masticwind.send_gate import SendCheck
from masticwind.serving.admission.requests import AdmittedRequest
from masticwind.serving.answer_relay import relay_answer
from masticwind.serving.attempt_context import (
    AttemptContext,
)
from masticwind.serving.endpoint_limits import Permit
from masticwind.serving.event_relay import relay_events
from masticwind.serving.interfaces import (
    Attempt,
    AttemptLimits,
    EndpointClient,
    EndpointNotice,
    PrefillHelper,
    Reply,
    Verdict,
)
from masticwind.serving.model import RouteKind
from masticwind.serving.placement.placer import Placement
from masticwind.serving.reservations import (
    OrderWatch,
    ReservationFailure,
    hold_reservations,
)
from masticwind.serving.silence_timer import SilenceTimer

# Connecting within a region takes a few milliseconds.
CONNECT_TIMEOUT_S: Final = 0.4
# Time for the answer to reach the caller before the deadline.
ANSWER_MARGIN_MS: Final = 10
# Time without a first event after which another endpoint is tried, as a
# multiple of its predicted time.
FIRST_EVENT_PREDICTION_FACTOR: Final = 3.0
MIN_FIRST_EVENT_TIMEOUT_S: Final = 0.8
# The same time is at least this multiple of the first event target: an
# earlier retry of a long prefill would miss the target as well, and callers
# wait for four times the target.
FIRST_EVENT_TARGET_FACTOR: Final = 2.0
# The same between events, as a multiple of the event gap target.
EVENT_GAP_TIMEOUT_FACTOR: Final = 4.0
MIN_EVENT_GAP_TIMEOUT_S: Final = 1.2
# Range of the priorities that endpoints accept.
MOST_URGENT_PRIORITY: Final = 0
LEAST_URGENT_PRIORITY: Final = 9


def attempt_limits(
    admitted: AdmittedRequest, placement: Placement
) -> AttemptLimits:
    """Return the time limits of an attempt."""
    remaining_s = admitted.remaining_s()
    route = admitted.route
    first_event_timeout_s = max(
        MIN_FIRST_EVENT_TIMEOUT_S,
        placement.first_event_ms * FIRST_EVENT_PREDICTION_FACTOR / MS_PER_S,
        route.first_event_target_ms * FIRST_EVENT_TARGET_FACTOR / MS_PER_S,
    )
    event_gap_timeout_s = max(
        MIN_EVENT_GAP_TIMEOUT_S,
        route.event_gap_target_ms * EVENT_GAP_TIMEOUT_FACTOR / MS_PER_S,
    )
    return AttemptLimits(
        connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
        head_timeout_s=first_event_timeout_s,
        idle_timeout_s=event_gap_timeout_s,
        total_timeout_s=remaining_s,
    )


async def run_attempt(
    endpoint_client: EndpointClient, context: AttemptContext
) -> Failure | None:
    """Run an attempt; None means that the answer has been sent.

    A failure of kind `quarantined` means that the attempt was recalled.
    """
    admitted = context.admitted
    log = logger.bind(
        request_id=admitted.req.request_id,
        endpoint=context.placement.lead.identity,
        attempt=context.number,
    )
    sent_at = time.monotonic()
    outcome: Failure | None = Failure(
        kind=ErrorKind.QUARANTINED,
        reason='prompts like this one have crashed engines meanwhile',
    )
    scope = anyio.CancelScope()
    context.state.scope = scope
    try:
        with (
            anyio.fail_after(admitted.remaining_s()),
            scope,
        ):
            outcome = await _send(endpoint_client, context)
    except TimeoutError:
        outcome = Failure(
            kind=ErrorKind.TIMED_OUT,
            reason='the endpoint did not finish before the deadline',
            silent=context.state.has_silent_endpoint,
        )
    if context.state.expired:
        outcome = Failure(
            kind=ErrorKind.TIMED_OUT,
            reason='silent for too long to hold memory of other endpoints',
            silent=True,
        )
    log = log.bind(
        took_ms=round((time.monotonic() - sent_at) * MS_PER_S),
        events=context.progress.event_count,
        answer_begun=context.state.answer_begun,
        last_event_ms_ago=context.progress.silence_ms(),
        buffered_bytes=context.byte_budget.used_bytes,
        **_reply_fields(context.state.reply),
    )
    if outcome is None:
        log.bind(
            first_ms=context.progress.first_event_ms,
            pause_ms=round(context.progress.max_event_gap_s * MS_PER_S),
        ).info('attempt_done')
        return None
    log.bind(
        kind=outcome.kind.value,
        reason=outcome.reason,
        silent=outcome.silent,
        config_version=admitted.config_version,
    ).info('attempt_failed')
    return outcome


async def _send(
    endpoint_client: EndpointClient, context: AttemptContext
) -> Failure | None:
    request_id = context.admitted.req.request_id
    async with hold_reservations(
        endpoint_client,
        context.placement,
        request_id,
        OrderWatch(context.find_obstacle, context.on_order_reply),
    ) as helpers:
        if isinstance(helpers, ReservationFailure):
            if helpers.held_back:
                context.state.held_back = True
            else:
                context.state.at_fault = helpers.endpoint
            return helpers.failure
        request = _build_attempt(context, helpers)
        outcome = await _exchange(endpoint_client, context, request)
        if context.state.unasked and context.acquire_resend():
            context.state.forget_answer()
            request = replace(_build_attempt(context, helpers), repeated=True)
            repeated = await _exchange(endpoint_client, context, request)
            # The first transmission may have run, whatever became of the
            # second one.
            if repeated is not None and guarantees_not_run(repeated.kind):
                context.state.unverified = True
            else:
                outcome = repeated
        return outcome


async def _exchange(
    endpoint_client: EndpointClient, context: AttemptContext, request: Attempt
) -> Failure | None:
    """Send a request and relay its answer."""
    with SilenceTimer(context) as timer:
        timer.start(context.limits.head_timeout_s)
        async with endpoint_client.send(request, context.limits) as reply:
            timer.stop()
            context.state.unasked = reply.unasked
            if isinstance(reply, Failure):
                return reply
            context.state.answer_begun = True
            context.state.reply = reply
            context.on_answer(reply.notice)
            return await _receive_or_fail(context, reply)


def _build_attempt(
    context: AttemptContext, helpers: tuple[PrefillHelper, ...]
) -> Attempt:
    admitted = context.admitted
    remaining_ms = int(admitted.remaining_s() * MS_PER_S) - ANSWER_MARGIN_MS
    return Attempt(
        req=admitted.req,
        endpoint=context.placement.lead,
        team=admitted.team.name,
        time_limit_ms=max(1, remaining_ms),
        priority=min(
            LEAST_URGENT_PRIORITY, max(MOST_URGENT_PRIORITY, admitted.priority)
        ),
        at_most_once=not admitted.route.repeatable,
        resume_after=context.progress.last_event_id,
        helpers=helpers,
        repeated=context.number > 1,
        send_check=SendCheck(
            partial(_find_obstacle, context),
            partial(_record_sent, context, helpers),
        ),
    )


def _find_obstacle(context: AttemptContext) -> str:
    obstacle = context.find_obstacle()
    context.state.held_back = bool(obstacle) and not context.state.is_sent
    return obstacle


def _record_sent(
    context: AttemptContext, helpers: tuple[PrefillHelper, ...]
) -> None:
    repeated = context.state.is_sent or context.number > 1
    context.progress.is_sent = True
    context.state.is_sent = True
    if context.state.silent:
        # It has waited so long that a successor may be running.
        context.progress.record_possible_run(context.placement.lead)
    admitted = context.admitted
    logger.bind(
        request_id=admitted.req.request_id,
        endpoint=context.placement.lead.identity,
        attempt=context.number,
        route=admitted.route.name,
        config_version=admitted.config_version,
        config_age_s=round(admitted.config_age_s, 3),
        team=admitted.team.name,
        prompt=admitted.prompt_tokens,
        parts=admitted.req.prompt_parts,
        helpers=[helper.endpoint.identity for helper in helpers],
        predicted_ms=round(context.placement.first_event_ms),
        whole_ms=round(context.placement.total_ms),
        left_ms=round(admitted.remaining_s() * MS_PER_S),
        repeated=repeated,
        resume_after=context.progress.last_event_id,
        **_permit_fields(context.permit),
    ).info('attempt_sent')


def _permit_fields(permit: Permit | None) -> dict[str, object]:
    """Return what the entry knew of the endpoint's limit, for the logs."""
    if permit is None:
        return {}
    return {
        'limit_per_s': permit.limit.rate_per_s,
        'limit_age_s': round(permit.known_for_s, 3),
        'limit_source': permit.source,
        'permit_wait_ms': round(permit.waited_ms),
    }


def _reply_fields(reply: Reply | None) -> dict[str, object]:
    """Return which answer has been received, for the logs."""
    if reply is None:
        return {}
    return {
        'status': reply.status,
        'seal': reply.seal,
        'fresh_connection': reply.fresh,
        **_notice_fields(reply.notice),
    }


def _notice_fields(notice: EndpointNotice | None) -> dict[str, object]:
    """Return what an answer said about its endpoint, for the logs."""
    if notice is None:
        return {}
    fields: dict[str, object] = {}
    if notice.rate_limit is not None and not math.isinf(notice.rate_limit):
        fields['named_limit_per_s'] = notice.rate_limit
    if notice.leaving:
        fields['named_leaving'] = True
    if notice.pause_s:
        fields['named_pause_s'] = notice.pause_s
    return fields


async def _receive_or_fail(
    context: AttemptContext, reply: Reply
) -> Failure | None:
    # The exception must not reach the task group that renews reservations,
    # which would wrap it in an exception group.
    try:
        return await _receive(context, reply)
    except BrokenStreamError as exc:
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'the connection broke during the answer: {exc}',
        )


async def _receive(context: AttemptContext, reply: Reply) -> Failure | None:
    at_fault = reply.at_fault or context.placement.lead
    if reply.verdict is Verdict.WRONG_ENDPOINT:
        context.state.at_fault = at_fault
        return Failure(
            kind=ErrorKind.REVOKED,
            reason=f'{at_fault.address} is not {at_fault.identity} any more',
        )
    if reply.verdict is Verdict.NOT_RUN:
        context.state.at_fault = at_fault
        return Failure(
            kind=ErrorKind.OVERLOADED,
            reason=f'{at_fault.identity} refused with status {reply.status}',
        )
    if reply.verdict is Verdict.UNVERIFIED:
        context.state.unverified = True
        return Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'the answer is not for this request ({reply.status})',
        )
    if context.admitted.route.kind is RouteKind.STREAM and reply.success:
        return await relay_events(context, reply)
    return await relay_answer(context, reply)
