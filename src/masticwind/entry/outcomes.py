"""Outcomes of requests, which the team that made them can read.

The outcome of a non-repeatable call is stored with its claim and can be read
at any entry. The outcomes of other requests are kept in the memory of the
entry that served them, up to a maximum number.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, Literal

from masticwind.budget import MS_PER_S
from masticwind.engines.base import Done
from masticwind.entry.claim_records import (
    ClaimRecord,
    ClaimState,
    body_digest,
    claim_key,
)
from masticwind.entry.claims import Claims
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.web import Response, json_response

MAX_RECENT_OUTCOMES: Final = 20_000
# Allows for the clock difference of writer and reader and for the delay of
# the outcome's write, before a claim without outcome counts as unknown.
CLAIM_RUNNING_GRACE_S: Final = 5

RequestState = Literal['running', 'done', 'failed', 'not_run', 'unknown']


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOutcome:
    """The outcome of one request, as reported to its team."""

    state: RequestState
    status: int = 0
    kind: str = ''
    body_digest: str = ''
    content_type: str = ''
    body: str | None = None


class RecentOutcomes:
    """The latest outcomes of this entry's repeatable requests."""

    def __init__(self) -> None:
        self._outcomes: Final = OrderedDict[tuple[str, str], RequestOutcome]()

    def record_start(self, team: str, request_id: str) -> None:
        """Record a request that has started."""
        self._put(team, request_id, RequestOutcome(state='running'))

    def record_end(
        self,
        team: str,
        request_id: str,
        outcome: Done | Failure | RequestOutcome,
    ) -> None:
        """Record how a request ended."""
        if isinstance(outcome, Failure):
            outcome = RequestOutcome(
                state=_failure_state(outcome.kind),
                kind=outcome.kind,
            )
        elif isinstance(outcome, Done):
            outcome = RequestOutcome(state='done', status=HTTPStatus.OK)
        self._put(team, request_id, outcome)

    def record_disconnect(self, team: str, request_id: str) -> None:
        """Record that the caller disconnected before the request ended."""
        outcome = self.find(team, request_id)
        if outcome is not None and outcome.state == 'running':
            self._put(
                team,
                request_id,
                RequestOutcome(state='unknown', kind=ErrorKind.CANCELLED),
            )

    def find(self, team: str, request_id: str) -> RequestOutcome | None:
        """Return the outcome of a team's request, if it is still kept."""
        return self._outcomes.get((team, request_id))

    def _put(self, team: str, request_id: str, outcome: RequestOutcome) -> None:
        self._outcomes[team, request_id] = outcome
        self._outcomes.move_to_end((team, request_id))
        if len(self._outcomes) > MAX_RECENT_OUTCOMES:
            self._outcomes.popitem(last=False)


async def outcome_response(
    recent: RecentOutcomes,
    claims: Claims,
    team: str,
    request_id: str,
) -> Response | Failure:
    """Return the response to `GET /v1/requests/{id}`.

    Returns a `Failure` of kind `not_found` for an unknown request and for
    one of another team, and of kind `platform_down` if the claim cannot be
    read.
    """
    outcome = recent.find(team, request_id)
    if outcome is None:
        record = await claims.find(claim_key(team, request_id))
        if isinstance(record, Failure):
            return record
        if record is None:
            return Failure(kind=ErrorKind.NOT_FOUND, reason='no such request')
        outcome = _outcome_of_claim(record)
    return json_response(
        HTTPStatus.OK,
        {
            'id': request_id,
            'state': outcome.state,
            'status': outcome.status or None,
            'kind': outcome.kind or None,
            'body_digest': outcome.body_digest or None,
            'content_type': outcome.content_type or None,
            'body': outcome.body,
        },
    )


def format_digest(digest: bytes) -> str:
    """Return the text form of a body digest; empty without a digest."""
    return f'blake2b-128:{digest.hex()}' if digest else ''


def _failure_state(kind: ErrorKind) -> RequestState:
    if guarantees_not_run(kind):
        return 'not_run'
    if kind in {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TIMED_OUT}:
        return 'unknown'
    return 'failed'


def _outcome_of_claim(record: ClaimRecord) -> RequestOutcome:
    is_stored = record.body_digest == body_digest(record.body)
    return RequestOutcome(
        state=_claim_state(record),
        status=record.status,
        body_digest=format_digest(record.body_digest),
        content_type=record.content_type,
        body=record.body.decode(errors='replace') if is_stored else None,
    )


def _claim_state(record: ClaimRecord) -> RequestState:
    if record.state is ClaimState.DONE:
        return 'done'
    if record.state is ClaimState.FAILED:
        return 'failed'
    if record.state is ClaimState.NOT_RUN:
        return 'not_run'
    if record.state is ClaimState.CLAIMED:
        age_s = time.time() - record.claimed_at_s
        if age_s <= record.timeout_ms / MS_PER_S + CLAIM_RUNNING_GRACE_S:
            return 'running'
    return 'unknown'
