"""Responses to callers of plain services, and the outcomes of claims."""

from typing import Final

from masticwind.entry.claim_records import (
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    body_digest,
)
from masticwind.entry.claims import ClaimOutcome
from masticwind.entry.outcomes import format_digest
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from masticwind.protocol.messages import CallResult
from masticwind.web import Response

NO_AGENT_RETRY_AFTER_MS: Final = 1000
# Of a larger response body only the digest is recorded.
MAX_RECORDED_BYTES: Final = 256


def no_agent_failure() -> Failure:
    """Return the failure for a call that no agent can take."""
    return Failure(
        kind=ErrorKind.NO_CAPACITY,
        reason='no endpoint of the service can take the call',
        retry_after_ms=NO_AGENT_RETRY_AFTER_MS,
    )


def failure_of_attempts(last: Failure, *, may_have_run: bool) -> Failure:
    """Return the failure of a call from the failure of its last attempt.

    It must not say "not run" if an earlier attempt may have run.
    """
    if may_have_run and guarantees_not_run(last.kind):
        return Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=f'an attempt may have run; the last one: {last.reason}',
        )
    return last


def service_response(result: CallResult) -> Response:
    """Return the HTTP response for a service's result."""
    return Response(
        result.status,
        result.body,
        result.content_type.encode('latin-1'),
    )


def claim_outcome(outcome: CallResult | Failure) -> ClaimOutcome:
    """Return the outcome to record for a claimed call."""
    if isinstance(outcome, Failure):
        if guarantees_not_run(outcome.kind):
            return ClaimOutcome(state=ClaimState.NOT_RUN)
        if outcome.kind is ErrorKind.FAILED_AFTER_START:
            return ClaimOutcome(state=ClaimState.FAILED)
        return ClaimOutcome(state=ClaimState.UNKNOWN)
    is_stored = len(outcome.body) <= MAX_RECORDED_BYTES
    return ClaimOutcome(
        state=ClaimState.DONE,
        status=outcome.status,
        body_digest=body_digest(outcome.body),
        content_type=outcome.content_type if is_stored else '',
        body=outcome.body if is_stored else b'',
    )


def response_from_record(
    record: ClaimRecord,
    request: ClaimRequest,
) -> Response | Failure:
    """Return the response to a call whose key is already claimed."""
    if record.call_digest != request.call_digest:
        return Failure(
            kind=ErrorKind.KEY_REUSED,
            reason='the idempotency key was used for a different call',
        )
    if record.state is ClaimState.DONE:
        if record.body_digest == body_digest(record.body):
            return Response(
                record.status,
                record.body,
                record.content_type.encode('latin-1'),
            )
        return Failure(
            kind=ErrorKind.DUPLICATE,
            reason=f'completed with status {record.status} and body '
            f'{format_digest(record.body_digest)}, which is not stored',
        )
    if record.state is ClaimState.CLAIMED:
        return Failure(
            kind=ErrorKind.DUPLICATE,
            reason='the call is already claimed and may still run',
        )
    if record.state is ClaimState.FAILED:
        return Failure(kind=ErrorKind.FAILED_AFTER_START, reason='failed')
    return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason='outcome unknown')
