"""Headers of the platform's requests and answers.

Each header is decoded here once. The names are in lower case.
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
from masticwind.web import Response, Scope, json_response

REQUEST_ID: Final = b'x-attempt-id'
# Milliseconds that are left, not a point in time.
TIME_LEFT: Final = b'x-deadline-ms'
LAST_EVENT: Final = b'last-event-id'
TOKENS: Final = b'x-token-counts'
LENGTH_HINT: Final = b'x-length-hint'
KEY: Final = b'authorization'
SCHEME: Final = 'bearer '
TEAM: Final = b'x-tenant'
EXPECT_IDENTITY: Final = b'x-expect-instance'
URGENCY: Final = b'x-urgency'
HELPERS: Final = b'x-helpers'
SEAL: Final = 'x-server-seal'
NOT_RUN: Final = 'x-not-executed'
AT_FAULT: Final = 'at-server'
_REFUSED: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
# A caller may wait this long for a request that names no time.
DEFAULT_TIMEOUT_MS: Final = 60_000

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_HOP: Final = frozenset(
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
# Headers that this side sets itself, whatever the caller sent.
_OWN: Final = frozenset(
    (TIME_LEFT, LAST_EVENT, KEY, TEAM, EXPECT_IDENTITY, URGENCY, HELPERS)
)


class PlatformCodec(CallerCodec):
    """The platform's form of callers' requests."""

    def decode(self, scope: Scope) -> CallerRequest | Failure:
        """Decode the head of a request."""
        found = dict(scope['headers'])
        try:
            return _decode(scope, found)
        except ValueError as exc:
            return Failure(
                kind=ErrorKind.BAD_REQUEST,
                reason=f'a header cannot be read: {exc}',
            )

    def encode(self, failure: Failure) -> Response:
        """Encode a failure; `Retry-After` may have fractions here."""
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
    """Return the headers with which an attempt goes to its endpoint."""
    req = attempt.req
    headers = [
        *req.forwarded_headers,
        (EXPECT_IDENTITY, attempt.endpoint.identity.encode()),
    ]
    if attempt.time_limit_ms is not None:
        headers.append((TIME_LEFT, str(attempt.time_limit_ms).encode()))
    if attempt.team:
        headers.append((TEAM, attempt.team.encode()))
    if attempt.resume_after is not None:
        headers.append((LAST_EVENT, str(attempt.resume_after).encode()))
    if req.tokens is not None:
        headers.append((URGENCY, str(attempt.priority).encode()))
    if attempt.helpers:
        named: list[str] = []
        for helper in attempt.helpers:
            suffix = (
                f'/{helper.reservation_id}' if helper.reservation_id else ''
            )
            named.append(f'{helper.endpoint.address}{suffix}')
        headers.append((HELPERS, ','.join(named).encode()))
    return headers


def verdict_of(
    req: CallerRequest,
    status: int,
    headers: dict[str, str],
) -> Verdict:
    """Tell what an answer says of the request it should belong to."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return Verdict.WRONG_ENDPOINT
    if NOT_RUN in headers:
        return Verdict.NOT_RUN
    if headers.get(REQUEST_ID.decode()) != req.request_id:
        return Verdict.UNVERIFIED
    success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
    if success and (SEAL not in headers or 'content-encoding' in headers):
        return Verdict.UNVERIFIED
    if status in _REFUSED:
        # Without the header, such a status does not say that nothing ran.
        return Verdict.UNVERIFIED
    return Verdict.RAN


def answer_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of an answer that the caller gets."""
    kept: list[tuple[bytes, bytes]] = []
    for name, text in raw:
        if name.lower() not in _HOP:
            kept.append((name, text))
    return tuple(kept)


def _decode(scope: Scope, found: dict[bytes, bytes]) -> CallerRequest:
    time_left = found.get(TIME_LEFT)
    last = found.get(LAST_EVENT, b'').strip()
    target: bytes = scope['raw_path']
    if scope['query_string']:
        target = b'%b?%b' % (target, scope['query_string'])
    # A fractional or negative time is no reason to refuse a request.
    timeout_ms = float(time_left) if time_left else DEFAULT_TIMEOUT_MS
    if not math.isfinite(timeout_ms):
        raise ValueError(f'{timeout_ms} is no time')
    return CallerRequest(
        request_id=found.get(REQUEST_ID, b'').decode('latin-1'),
        method=scope['method'],
        target=target,
        host=found.get(b'host', b'').decode('latin-1').partition(':')[0],
        path=scope['path'],
        forwarded_headers=_forwarded(scope['headers']),
        budget=Budget.from_ms(timeout_ms),
        api_key=_key(found.get(KEY, b'').decode('latin-1')),
        tokens=_tokens(found),
        resume_after=int(last) if last.isdigit() else None,
    )


def _forwarded(headers: list[Any]) -> Headers:
    named = set[bytes]()
    for name, text in headers:
        if name == b'connection':
            named.update(part.strip().lower() for part in text.split(b','))
    kept: list[tuple[bytes, bytes]] = []
    for name, text in headers:
        if name in _HOP or name in _OWN or name in named:
            continue
        kept.append((name, text))
    return tuple(kept)


def _key(text: str) -> str:
    if text[: len(SCHEME)].lower() != SCHEME:
        return ''
    return text[len(SCHEME) :].strip()


def _tokens(found: dict[bytes, bytes]) -> TokenCounts | None:
    counts = found.get(TOKENS)
    if counts is None:
        return None
    prompt, _, output = counts.partition(b',')
    most = int(output or 0)
    hint = found.get(LENGTH_HINT, b'')
    expected = int(hint) if hint.isdigit() else most
    return TokenCounts(
        prompt=int(prompt),
        max_output=most,
        expected_output=min(most, expected) or most,
    )
