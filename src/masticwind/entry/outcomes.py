"""Outcomes of requests, for the team that made them.

The outcome of a non-repeatable call is recorded with its claim and can be
read at any entry. Other requests have a bounded record in the memory of the
entry that served them.
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
from masticwind.errors import ErrorKind, Failure, not_run
from masticwind.web import Response, json_response

MAX_RECORDS: Final = 20_000
# Writer and reader stamp with different clocks, and an outcome is written
# with a delay; within this time a claim without outcome is still running.
RUNNING_GRACE_S: Final = 5

State = Literal['running', 'done', 'failed', 'not_run', 'unknown']


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a team is told of one request."""

    state: State
    status: int = 0
    kind: str = ''
    body_digest: str = ''
    content_type: str = ''
    body: str | None = None


class RecentOutcomes:
    """A bounded record of this entry's repeatable requests."""

    def __init__(self) -> None:
        self._outcomes: Final = OrderedDict[tuple[str, str], Outcome]()

    def start(self, team: str, request_id: str) -> None:
        """Note a request that is under way."""
        self._put(team, request_id, Outcome(state='running'))

    def finish(
        self,
        team: str,
        request_id: str,
        outcome: Done | Failure | Outcome,
    ) -> None:
        """Note how a request ended."""
        if isinstance(outcome, Failure):
            outcome = Outcome(state=_state(outcome.kind), kind=outcome.kind)
        elif isinstance(outcome, Done):
            outcome = Outcome(state='done', status=HTTPStatus.OK)
        self._put(team, request_id, outcome)

    def close(self, team: str, request_id: str) -> None:
        """Note that nobody waits for a request that has not ended."""
        outcome = self.find(team, request_id)
        if outcome is not None and outcome.state == 'running':
            self._put(
                team,
                request_id,
                Outcome(state='unknown', kind=ErrorKind.CANCELLED),
            )

    def find(self, team: str, request_id: str) -> Outcome | None:
        """Return what is known of a team's request."""
        return self._outcomes.get((team, request_id))

    def _put(self, team: str, request_id: str, outcome: Outcome) -> None:
        self._outcomes[team, request_id] = outcome
        self._outcomes.move_to_end((team, request_id))
        if len(self._outcomes) > MAX_RECORDS:
            self._outcomes.popitem(last=False)


async def outcome_response(
    log: RecentOutcomes,
    claims: Claims,
    team: str,
    request_id: str,
) -> Response | Failure:
    """Answer `GET /v1/requests/{id}`.

    Returns a `Failure` of kind `not_found` for an unknown request and for
    one of another team, and of kind `platform_down` if the claims cannot be
    read.
    """
    outcome = log.find(team, request_id)
    if outcome is None:
        record = await claims.find(claim_key(team, request_id))
        if isinstance(record, Failure):
            return record
        if record is None:
            return Failure(kind=ErrorKind.NOT_FOUND, reason='no such request')
        outcome = _of_claim(record)
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
    """Return a body digest as callers see it."""
    return f'blake2b-128:{digest.hex()}' if digest else ''


def _state(kind: ErrorKind) -> State:
    if not_run(kind):
        return 'not_run'
    if kind in {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TIMED_OUT}:
        return 'unknown'
    return 'failed'


def _of_claim(record: ClaimRecord) -> Outcome:
    kept = record.body_digest == body_digest(record.body)
    return Outcome(
        state=_claim_state(record),
        status=record.status,
        body_digest=format_digest(record.body_digest),
        content_type=record.content_type,
        body=record.body.decode(errors='replace') if kept else None,
    )


def _claim_state(record: ClaimRecord) -> State:
    if record.state is ClaimState.DONE:
        return 'done'
    if record.state is ClaimState.FAILED:
        return 'failed'
    if record.state is ClaimState.NOT_RUN:
        return 'not_run'
    if record.state is ClaimState.CLAIMED:
        age_s = time.time() - record.claimed_at_s
        if age_s <= record.timeout_ms / MS_PER_S + RUNNING_GRACE_S:
            return 'running'
    return 'unknown'
