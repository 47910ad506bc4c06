"""HTTP client for the platform's endpoints: requests and reservations."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Final

import msgspec

from masticwind.errors import ErrorKind, Failure
from masticwind.http_calls import CallLimits
from masticwind.httpclient import (
    ConnectResult,
    HttpClient,
    HttpStream,
    RequestTimeouts,
)
from masticwind.platform.endpoint_notices import decode_notice
from masticwind.platform.headers import (
    AT_FAULT_HEADER,
    SEAL_HEADER,
    classify_answer,
    encode_attempt,
    end_to_end_headers,
    has_one_identity,
    names_request,
)
from masticwind.platform.unframed_bodies import stop_at_copy
from masticwind.send_gate import SendOptions
from masticwind.serving.interfaces import (
    Attempt,
    AttemptLimits,
    EndpointClient,
    OrderReply,
    Reply,
    Verdict,
)
from masticwind.serving.model import Endpoint

# An endpoint that announces no idle timeout may close an idle connection in
# less than a second.
KEEP_ALIVE_S: Final = 0.5
ORDER_TIMEOUT_S: Final = 0.4
# An answer to an order has a few numbers.
MAX_ORDER_ANSWER_BYTES: Final = 16_384
# For each endpoint. The slots of an endpoint, not its connections, limit how
# many requests run.
MAX_CONNECTIONS: Final = 48
EVENT_STREAM_TYPE: Final = 'text/event-stream'
_FRAMING_HEADERS: Final = frozenset(('content-length', 'transfer-encoding'))


class _Order(msgspec.Struct, omit_defaults=True):
    op: str
    id: str
    tokens: int = 0
    hold_ms: int = 0


class PlatformEndpointClient(EndpointClient):
    """Keeps one HTTP client for each endpoint address."""

    def __init__(self) -> None:
        self._clients: Final[dict[str, HttpClient]] = {}

    @asynccontextmanager
    async def send(
        self,
        attempt: Attempt,
        limits: AttemptLimits,
    ) -> AsyncIterator[Reply | Failure]:
        """Send an attempt and yield the head of the answer."""
        req = attempt.req
        client = self._client_for(attempt.endpoint)
        async with client.stream(
            req.method,
            req.target,
            timeout_s=RequestTimeouts(
                connect_s=limits.connect_timeout_s,
                read_s=limits.total_timeout_s,
            ),
            body=req.body,
            headers=encode_attempt(attempt),
            options=SendOptions(
                fresh=attempt.at_most_once or attempt.repeated,
                check=attempt.send_check,
            ),
        ) as answer:
            if isinstance(answer, Failure):
                if answer.unasked:
                    await client.pause_reuse()
                yield answer
                return
            reply = _to_reply(attempt, answer)
            if reply.unasked:
                await client.pause_reuse()
            # A second copy of a refusal could arrive as the answer to a
            # repetition of the request, which has the same id.
            answer.reusable = reply.verdict is Verdict.RAN
            yield reply

    async def reserve(
        self,
        endpoint: Endpoint,
        reservation_id: str,
        tokens: int,
        hold_ms: int,
    ) -> OrderReply:
        """Reserve memory; fails at once if it is not available."""
        return await self._send_order(
            endpoint,
            _Order('reserve', reservation_id, tokens, hold_ms),
        )

    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> OrderReply:
        """End a reservation."""
        return await self._send_order(
            endpoint, _Order('release', reservation_id)
        )

    async def try_connect(self, endpoint: Endpoint) -> ConnectResult:
        """Open a connection and close it at once."""
        return await self._client_for(endpoint).try_connect(ORDER_TIMEOUT_S)

    async def close_idle(self, endpoint: Endpoint) -> None:
        """Close the connections to an endpoint and drop its client.

        Another endpoint may have its address now, so requests in progress go
        on. Their client stays, so that its limit on connections holds.
        """
        client = self._clients.get(endpoint.address)
        if client is not None and await client.close_idle():
            self._clients.pop(endpoint.address, None)

    async def _send_order(
        self, endpoint: Endpoint, order: _Order
    ) -> OrderReply:
        # Requests may use all connections of the endpoint's client.
        client = HttpClient(f'http://{endpoint.address}', max_connections=1)
        answer = await client.request(
            'POST',
            '/-/order',
            timeout_s=CallLimits(ORDER_TIMEOUT_S, MAX_ORDER_ANSWER_BYTES),
            body=msgspec.json.encode(order),
            headers=(
                (b'content-type', b'application/json'),
                (b'host', endpoint.address.encode()),
                (b'x-expect-instance', endpoint.identity.encode()),
            ),
            # Answers to orders have no id.
            single_use=True,
        )
        if isinstance(answer, Failure):
            return OrderReply(failure=answer)
        # No earlier request was sent on the connection, and an endpoint with
        # another identity answers 421.
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        notice = None
        if not misdirected:
            notice = decode_notice(answer.status, answer.raw_headers)
        if answer.status == HTTPStatus.OK:
            return OrderReply(notice=notice)
        failure = Failure(
            kind=ErrorKind.REVOKED if misdirected else ErrorKind.CONFLICT,
            reason=f'{order.op} was answered with status {answer.status}',
        )
        return OrderReply(failure=failure, notice=notice)

    def _client_for(self, endpoint: Endpoint) -> HttpClient:
        client = self._clients.get(endpoint.address)
        if client is None:
            client = HttpClient(
                f'http://{endpoint.address}',
                MAX_CONNECTIONS,
                KEEP_ALIVE_S,
            )
            self._clients[endpoint.address] = client
        return client


def _to_reply(attempt: Attempt, answer: HttpStream) -> Reply:
    one_head = not answer.joined and has_one_identity(answer.raw_headers)
    verdict = Verdict.UNVERIFIED
    if one_head:
        verdict = classify_answer(
            attempt.req,
            answer.status,
            answer.headers,
            fresh_connection=answer.fresh,
        )
    has_id = one_head and names_request(attempt.req, answer.headers)
    # Only the endpoint itself may speak for itself. It may refuse a request
    # without the proof that it has not run.
    proven = has_id and (
        verdict in {Verdict.RAN, Verdict.NOT_RUN}
        or answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    )
    framed = not _FRAMING_HEADERS.isdisjoint(answer.headers)
    chunks = answer.chunks
    if not framed:
        chunks = stop_at_copy(chunks, answer.status, attempt.req.request_id)
    return Reply(
        status=answer.status,
        verdict=verdict,
        headers=end_to_end_headers(answer.raw_headers),
        chunks=chunks,
        is_event_stream=_is_event_stream(answer),
        framed=framed,
        at_fault=_find_at_fault(
            attempt, answer.headers.get(AT_FAULT_HEADER, '')
        ),
        notice=(
            decode_notice(answer.status, answer.raw_headers) if proven else None
        ),
        seal=answer.headers.get(SEAL_HEADER, ''),
        fresh=answer.fresh,
        unasked=not (has_id or answer.fresh),
        length=_body_length(answer.headers),
    )


def _body_length(headers: dict[str, str]) -> int | None:
    """Return the length of a body, which the HTTP parser has checked."""
    if 'transfer-encoding' in headers or 'content-length' not in headers:
        return None
    return int(headers['content-length'])


def _is_event_stream(answer: HttpStream) -> bool:
    media_type = answer.headers.get('content-type', '').partition(';')[0]
    return media_type.strip().lower() == EVENT_STREAM_TYPE


def _find_at_fault(
    attempt: Attempt, identity_or_address: str
) -> Endpoint | None:
    """Return the endpoint of the attempt that an answer blames for a refusal.

    The answer names it by its identity or its address.
    """
    helpers = (helper.endpoint for helper in attempt.helpers)
    for endpoint in (attempt.endpoint, *helpers):
        if identity_or_address in {endpoint.identity, endpoint.address}:
            return endpoint
    return None
