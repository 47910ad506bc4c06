"""Encodes and decodes the headers of the platform's requests and answers.

Header names are in lower case.
"""

import math
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final

from masticwind.budget import MS_PER_S, Budget
from masticwind.errors import ERROR_RESPONSES, ErrorKind, Failure
from masticwind.serving.edge import CallerCodec
from masticwind.serving.interfaces import Attempt, Verdict
from masticwind.serving.model import CallerRequest, Headers, TokenCounts
from masticwind.web import Response, Scope, json_response, request_target

REQUEST_ID_HEADER: Final = b'x-attempt-id'
# The remaining time in milliseconds, not a point in time.
TIME_LEFT_MS_HEADER: Final = b'x-deadline-ms'
LAST_EVENT_ID_HEADER: Final = b'last-event-id'
TOKEN_COUNTS_HEADER: Final = b'x-token-counts'
PROMPT_PARTS_HEADER: Final = b'x-prompt-prefix'
LENGTH_HINT_HEADER: Final = b'x-length-hint'
AUTHORIZATION_HEADER: Final = b'authorization'
BEARER_PREFIX: Final = 'bearer '
TEAM_HEADER: Final = b'x-tenant'
EXPECTED_IDENTITY_HEADER: Final = b'x-expect-instance'
URGENCY_HEADER: Final = b'x-urgency'
HELPERS_HEADER: Final = b'x-helpers'
SEAL_HEADER: Final = 'x-server-seal'
NOT_RUN_HEADER: Final = 'x-not-executed'
AT_FAULT_HEADER: Final = 'at-server'
_REFUSAL_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
_FINAL_STATUS_CLASSES: Final = frozenset('2345')
# Values with control characters, other than tabs, cannot be passed on.
_CONTROLS: Final = bytes({*range(ord(' ')), ord('\x7f')} - {ord('\t')})
_CONTROLS_TO_SPACES: Final = bytes.maketrans(_CONTROLS, b' ' * len(_CONTROLS))
# Time limit of a request without the header for the remaining time.
DEFAULT_TIMEOUT_MS: Final = 60_000
# Larger counts would overflow when the time of a prompt is predicted.
MAX_TOKENS: Final = 1_000_000_000

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
# Headers that belong to a request whatever the connection options name.
_END_TO_END_HEADERS: Final = frozenset(
    (
        b'host',
        b'x-model',
        REQUEST_ID_HEADER,
        TOKEN_COUNTS_HEADER,
        PROMPT_PARTS_HEADER,
        LENGTH_HINT_HEADER,
    )
)
# Headers that the entry sets itself; those of the caller are dropped.
_OVERWRITTEN_HEADERS: Final = frozenset(
    (
        TIME_LEFT_MS_HEADER,
        LAST_EVENT_ID_HEADER,
        AUTHORIZATION_HEADER,
        TEAM_HEADER,
        EXPECTED_IDENTITY_HEADER,
        URGENCY_HEADER,
        HELPERS_HEADER,
    )
)


class PlatformCodec(CallerCodec):
    """Decodes callers' requests and encodes failures for the platform."""

    def decode(self, scope: Scope) -> CallerRequest | Failure:
        """Decode the head of a request."""
        headers = dict(scope['headers'])
        try:
            return _decode_request(scope, headers)
        except ValueError as exc:
            return Failure(
                kind=ErrorKind.BAD_REQUEST,
                reason=f'a header cannot be decoded: {exc}',
            )

    def encode(self, failure: Failure) -> Response:
        """Encode a failure; `Retry-After` may have a fraction of a second."""
        answer = ERROR_RESPONSES[failure.kind]
        headers: list[tuple[bytes, bytes]] = []
        if failure.retry_after_ms:
            seconds = failure.retry_after_ms / MS_PER_S
            headers.append((b'retry-after', f'{seconds:.3f}'.encode()))
        return json_response(
            answer.status,
            {'error': {'kind': failure.kind, 'message': failure.reason}},
            headers=tuple(headers),
        )


def encode_attempt(attempt: Attempt) -> list[tuple[bytes, bytes]]:
    """Return the headers of the request that an attempt sends."""
    req = attempt.req
    headers = [
        *req.forwarded_headers,
        (EXPECTED_IDENTITY_HEADER, attempt.endpoint.identity.encode()),
    ]
    if attempt.time_limit_ms is not None:
        headers.append(
            (TIME_LEFT_MS_HEADER, str(attempt.time_limit_ms).encode())
        )
    if attempt.team:
        headers.append((TEAM_HEADER, attempt.team.encode()))
    if attempt.resume_after is not None:
        headers.append(
            (LAST_EVENT_ID_HEADER, str(attempt.resume_after).encode())
        )
    if req.tokens is not None:
        headers.append((URGENCY_HEADER, str(attempt.priority).encode()))
    if attempt.helpers:
        helper_names: list[str] = []
        for helper in attempt.helpers:
            suffix = (
                f'/{helper.reservation_id}' if helper.reservation_id else ''
            )
            helper_names.append(f'{helper.endpoint.address}{suffix}')
        headers.append((HELPERS_HEADER, ','.join(helper_names).encode()))
    return headers


def classify_answer(
    req: CallerRequest,
    status: int,
    headers: dict[str, str],
    *,
    fresh_connection: bool,
) -> Verdict:
    """Return what an answer proves about the request.

    An endpoint can write an earlier answer once more on a kept connection. So
    an answer must have the id of the request, unless it is the first one on
    its connection and refuses the request.
    """
    answers_request = names_request(req, headers) or (
        fresh_connection and REQUEST_ID_HEADER.decode() not in headers
    )
    if not answers_request:
        return Verdict.UNVERIFIED
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Verdict.WRONG_ENDPOINT
    if NOT_RUN_HEADER in headers:
        return Verdict.NOT_RUN
    if not names_request(req, headers):
        return Verdict.UNVERIFIED
    success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
    if success and (
        SEAL_HEADER not in headers or 'content-encoding' in headers
    ):
        return Verdict.UNVERIFIED
    if str(status)[:1] not in _FINAL_STATUS_CLASSES:
        return Verdict.UNVERIFIED
    if status in _REFUSAL_STATUSES:
        # Without `NOT_RUN_HEADER`, such a status does not prove that the
        # request did not run.
        return Verdict.UNVERIFIED
    return Verdict.RAN


def names_request(req: CallerRequest, headers: dict[str, str]) -> bool:
    """Tell whether an answer has the id of a request."""
    return headers.get(REQUEST_ID_HEADER.decode()) == req.request_id


def has_one_identity(raw: Iterable[tuple[bytes, bytes]]) -> bool:
    """Tell whether no id of a request and no seal is repeated."""
    names = [name.lower() for name, _ in raw]
    return (
        names.count(REQUEST_ID_HEADER) <= 1
        and names.count(SEAL_HEADER.encode()) <= 1
    )


def end_to_end_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of an answer that are passed on to the caller."""
    forwarded: list[tuple[bytes, bytes]] = []
    for name, text in raw:
        if name.lower() not in _HOP_BY_HOP_HEADERS:
            forwarded.append((name, text.translate(_CONTROLS_TO_SPACES)))
    return tuple(forwarded)


def _decode_request(scope: Scope, headers: dict[bytes, bytes]) -> CallerRequest:
    time_left = headers.get(TIME_LEFT_MS_HEADER)
    last_event_id = headers.get(LAST_EVENT_ID_HEADER, b'').strip()
    # A fractional or negative time is accepted.
    timeout_ms = float(time_left) if time_left else DEFAULT_TIMEOUT_MS
    if not math.isfinite(timeout_ms):
        raise ValueError(f'{timeout_ms} is not a valid time')
    return CallerRequest(
        request_id=headers.get(REQUEST_ID_HEADER, b'').decode('latin-1'),
        method=scope['method'],
        target=request_target(scope),
        host=headers.get(b'host', b'').decode('latin-1').partition(':')[0],
        path=scope['path'],
        forwarded_headers=_forwarded_headers(scope['headers']),
        budget=Budget.from_ms(timeout_ms),
        api_key=_parse_bearer_token(
            headers.get(AUTHORIZATION_HEADER, b'').decode('latin-1')
        ),
        tokens=_parse_token_counts(headers),
        prompt_parts=_parse_prompt_parts(headers),
        resume_after=int(last_event_id) if last_event_id.isdigit() else None,
    )


def _forwarded_headers(headers: list[Any]) -> Headers:
    connection_options = set[bytes]()
    for name, text in headers:
        if name == b'connection':
            connection_options.update(
                part.strip().lower() for part in text.split(b',')
            )
    connection_options -= _END_TO_END_HEADERS
    forwarded: list[tuple[bytes, bytes]] = []
    for name, text in headers:
        if (
            name in _HOP_BY_HOP_HEADERS
            or name in _OVERWRITTEN_HEADERS
            or name in connection_options
        ):
            continue
        forwarded.append((name, text))
    return tuple(forwarded)


def _parse_bearer_token(text: str) -> str:
    if text[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ''
    return text[len(BEARER_PREFIX) :].strip()


def _parse_prompt_parts(headers: dict[bytes, bytes]) -> tuple[str, ...]:
    """Return the ids of a list such as `5c1e07a2:800,91bd3f06:410`."""
    text = headers.get(PROMPT_PARTS_HEADER, b'').decode('latin-1')
    part_ids: list[str] = []
    for entry in text.split(','):
        part_id = entry.partition(':')[0].strip()
        if part_id:
            part_ids.append(part_id)
    return tuple(part_ids)


def _parse_token_counts(headers: dict[bytes, bytes]) -> TokenCounts | None:
    counts = headers.get(TOKEN_COUNTS_HEADER)
    if counts is None:
        return None
    prompt, _, output = counts.partition(b',')
    max_output = int(output or 0)
    if max(int(prompt), max_output) > MAX_TOKENS:
        raise ValueError(f'over {MAX_TOKENS} tokens')
    hint = headers.get(LENGTH_HINT_HEADER, b'')
    expected = int(hint) if hint.isdigit() else max_output
    return TokenCounts(
        prompt=int(prompt),
        max_output=max_output,
        expected_output=min(max_output, expected) or max_output,
    )
