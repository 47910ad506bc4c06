"""Explains where a request would go now, and why, without sending it.

The decision is the placer's own. The endpoints are described by the same
predictions on which it is based.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from masticwind.errors import Failure
from masticwind.serving.costs.latency_model import (
    decode_iteration_ms,
    first_token_ms,
    full_prefill,
)
from masticwind.serving.model import Endpoint, EngineProfile, TokenCounts
from masticwind.serving.placement.engine_view import (
    USABLE_TARGET_SHARE,
    build_engine_view,
)
from masticwind.serving.placement.placer import (
    EXPECTED_CALL_MS,
    Deferral,
    Placement,
    PlacementQuery,
    Placer,
)

PLACED: Final = 'place'
DEFERRED: Final = 'wait'
REFUSED: Final = 'refuse'
LEAD: Final = 'lead'
HELPER: Final = 'helper'


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointExplanation:
    """What is known of one endpoint, and what it would take by itself.

    `role` is `lead`, `helper` or empty. Of `start_wait_ms` the larger one
    binds: the wait for a permit or for the end of a pause. `first_event_ms` and
    `finish_ms` are the predictions if the endpoint alone serves the request;
    for plain calls, the first one is the expected wait for the answer.
    """

    endpoint: str
    zone: str
    role: str
    running: int
    slots: int
    slot_wait_ms: int
    start_wait_ms: int
    free_tokens: int
    failure_share: float
    first_event_ms: int
    finish_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementExplanation:
    """A placement that was not made.

    `decision` is `place`, `wait` or `refuse`, and `reason` says why it is not
    `place`. `usable_target_ms` is the latest predicted first event that counts
    as in time; zero means that there is no target.
    """

    decision: str
    reason: str = ''
    lead: str = ''
    helpers: Sequence[str] = ()
    first_event_ms: int = 0
    total_ms: int = 0
    wait_ms: int = 0
    retry_after_ms: int = 0
    usable_target_ms: int = 0
    remaining_ms: int = 0
    endpoints: Sequence[EndpointExplanation] = ()


def explain_placement(
    query: PlacementQuery, placer: Placer
) -> PlacementExplanation:
    """Explain the placement of a request; nothing changes by this.

    The endpoints are ordered by their predicted first event.
    """
    decision = placer.place(query)
    endpoints = sorted(
        (
            _explain_endpoint(query, endpoint, decision)
            for endpoint in query.candidates
        ),
        key=_first_event_ms,
    )
    usable_target_ms = round(query.first_event_target_ms * USABLE_TARGET_SHARE)
    if isinstance(decision, Placement):
        return PlacementExplanation(
            decision=PLACED,
            lead=decision.lead.identity,
            helpers=tuple(
                helper.endpoint.identity for helper in decision.helpers
            ),
            first_event_ms=round(decision.first_event_ms),
            total_ms=round(decision.total_ms),
            usable_target_ms=usable_target_ms,
            remaining_ms=round(query.remaining_ms),
            endpoints=endpoints,
        )
    wait_ms = 0
    retry_after_ms = 0
    if isinstance(decision, Deferral):
        wait_ms = round(decision.wait_ms)
    else:
        retry_after_ms = decision.retry_after_ms
    return PlacementExplanation(
        decision=DEFERRED if wait_ms else REFUSED,
        reason=decision.reason,
        wait_ms=wait_ms,
        retry_after_ms=retry_after_ms,
        usable_target_ms=usable_target_ms,
        remaining_ms=round(query.remaining_ms),
        endpoints=endpoints,
    )


def _first_event_ms(explained: EndpointExplanation) -> int:
    return explained.first_event_ms


def _explain_endpoint(
    query: PlacementQuery,
    endpoint: Endpoint,
    decision: Placement | Deferral | Failure,
) -> EndpointExplanation:
    profile = query.service.engine
    failure_share = query.failure_shares.get(endpoint.identity, 0)
    start_wait_ms = query.wait_ms(endpoint.identity)
    if profile is None or query.tokens is None:
        running = len(query.jobs_by_endpoint.get(endpoint.identity, ()))
        call_ms = EXPECTED_CALL_MS * (1 + running // max(1, endpoint.slots))
        call_ms += start_wait_ms
        return EndpointExplanation(
            endpoint=endpoint.identity,
            zone=endpoint.zone,
            role=_role_of(endpoint, decision),
            running=running,
            slots=endpoint.slots,
            slot_wait_ms=0,
            start_wait_ms=round(start_wait_ms),
            free_tokens=0,
            failure_share=round(failure_share, 2),
            first_event_ms=round(call_ms),
            finish_ms=round(call_ms),
        )
    view = build_engine_view(query, profile, endpoint)
    first_ms = view.slot_wait_ms + first_token_ms(
        profile, view.times, full_prefill(query.tokens.prompt)
    )
    return EndpointExplanation(
        endpoint=endpoint.identity,
        zone=endpoint.zone,
        role=_role_of(endpoint, decision),
        running=view.slot_requests,
        slots=profile.slots,
        slot_wait_ms=round(view.slot_wait_ms),
        start_wait_ms=round(start_wait_ms),
        free_tokens=view.free_tokens,
        failure_share=round(failure_share, 2),
        first_event_ms=round(first_ms),
        finish_ms=round(
            first_ms
            + _decode_ms(profile, query.tokens, view.load.decode_context_tokens)
        ),
    )


def _decode_ms(
    profile: EngineProfile,
    tokens: TokenCounts,
    context_tokens: tuple[int, ...],
) -> float:
    steps_ms = decode_iteration_ms(profile, (*context_tokens, tokens.prompt))
    return tokens.expected_output / profile.steps_per_iteration * steps_ms


def _role_of(
    endpoint: Endpoint, decision: Placement | Deferral | Failure
) -> str:
    if not isinstance(decision, Placement):
        return ''
    if endpoint.identity == decision.lead.identity:
        return LEAD
    for helper in decision.helpers:
        if helper.endpoint.identity == endpoint.identity:
            return HELPER
    return ''
