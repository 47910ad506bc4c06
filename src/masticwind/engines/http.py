"""HTTP clients of model engines and plain services.

The engine API is JSON over HTTP. Generated output is streamed as JSON lines;
the last line has the total number of tokens.

Answers have no id, so each generation and each call gets a connection of its
own: on a kept one, a late copy of an earlier answer could arrive.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Final, TypeVar

import anyio
import msgspec

from masticwind.decoding import parse_json
from masticwind.engines.base import (
    CacheEvents,
    Done,
    Engine,
    EngineEvent,
    EngineOrder,
    EngineReport,
    EngineRequest,
    RunningRequest,
    Service,
    ServiceRequest,
    ServiceResponse,
    Tokens,
)
from masticwind.errors import ErrorKind, Failure
from masticwind.http_calls import MAX_BODY_BYTES, CallLimits
from masticwind.httpclient import (
    BrokenStreamError,
    HttpAnswer,
    HttpClient,
    HttpStream,
)
from masticwind.send_gate import SendOptions

_Content = TypeVar('_Content')

CONTROL_TIMEOUT_S: Final = 2.0
# A healthy engine writes a line, possibly an empty one, within this time.
STREAM_READ_TIMEOUT_S: Final = 2.5
# A line that arrives in parts is complete within this time. It is longer than
# the time of a read, so that an engine that is silent is told apart.
LINE_TIMEOUT_S: Final = 5.0
# The response to a hold request arrives after its whole prefill.
HOLD_TIMEOUT_S: Final = 600.0
MAX_REASON_CHARS: Final = 200
MAX_LINE_BYTES: Final = 1_048_576
# A report names the models that the engine has loaded; an acknowledgement has
# a status and perhaps a reason.
MAX_REPORT_BYTES: Final = 262_144
MAX_ACKNOWLEDGEMENT_BYTES: Final = 16_384
_NO_CAPACITY_STATUSES: Final = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.INSUFFICIENT_STORAGE,
)


class _Line(msgspec.Struct):
    offset: int = 0
    tokens: tuple[str, ...] = ()
    end: bool = False
    count: int = 0
    cached_tokens: int = 0
    error: str = ''


class _GenerateBody(msgspec.Struct, omit_defaults=True):
    id: str
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    prefill_only: bool = False
    prefill_tokens: int = 0
    resume_offset: int = 0
    imported: tuple[str, ...] = ()
    # Replaces `prompt` if a prefix ends within a UTF-8 character.
    prompt_bytes: bytes = b''


class _HoldBody(msgspec.Struct, omit_defaults=True):
    id: str
    model: str
    tokens: int
    imported: tuple[str, ...]
    prompt: str = ''
    prompt_bytes: bytes = b''


class _Held(msgspec.Struct):
    handle: str


class HttpEngine(Engine):
    """HTTP client of a model engine."""

    def __init__(self, base_url: str) -> None:
        self._client: Final = HttpClient(base_url)

    @asynccontextmanager
    async def generate(
        self,
        req: EngineRequest,
    ) -> AsyncIterator[AsyncIterator[EngineEvent]]:
        async with self._client.stream(
            'POST',
            '/v1/generate',
            timeout_s=STREAM_READ_TIMEOUT_S,
            body=msgspec.json.encode(_generate_body(req)),
            options=SendOptions(fresh=True),
        ) as stream:
            if isinstance(stream, HttpStream):
                stream.reusable = False
            yield _read_events(stream)

    async def cancel(self, request_id: str) -> Failure | None:
        return await self._post('/v1/cancel', {'id': request_id})

    async def list_running(self) -> Sequence[RunningRequest] | Failure:
        return await self._get('/v1/running', list[RunningRequest])

    async def read_report(self) -> EngineReport | Failure:
        return await self._get('/v1/report', EngineReport, MAX_REPORT_BYTES)

    async def read_cache_events(self, after: int) -> CacheEvents | Failure:
        return await self._get(f'/v1/cache/events?after={after}', CacheEvents)

    async def export_cache(
        self,
        request_id: str,
        model: str,
        prompt: bytes,
        tokens: int,
        imported: tuple[str, ...] = (),
    ) -> str | Failure:
        response = await self._client.request(
            'POST',
            '/v1/cache/hold',
            timeout_s=CallLimits(HOLD_TIMEOUT_S, MAX_ACKNOWLEDGEMENT_BYTES),
            body=msgspec.json.encode(
                _HoldBody(
                    request_id,
                    model,
                    tokens,
                    imported,
                    *_prompt_fields(prompt),
                )
            ),
            single_use=True,
        )
        failure = _status_failure(response)
        if failure is not None:
            return failure
        assert isinstance(response, HttpAnswer)
        held = parse_json(response.body, _Held, ErrorKind.INTERNAL)
        return held if isinstance(held, Failure) else held.handle

    async def import_cache(self, handle: str) -> Failure | None:
        return await self._post('/v1/cache/import', {'handle': handle})

    async def drop_cache(self, handle: str) -> Failure | None:
        return await self._post('/v1/cache/drop', {'handle': handle})

    async def list_held_caches(self) -> dict[str, int] | Failure:
        return await self._get('/v1/cache/held', dict[str, int])

    async def send_order(self, order: EngineOrder) -> Failure | None:
        return await self._post('/v1/orders', order)

    async def _post(self, path: str, content: object) -> Failure | None:
        response = await self._client.request(
            'POST',
            path,
            timeout_s=CallLimits(CONTROL_TIMEOUT_S, MAX_ACKNOWLEDGEMENT_BYTES),
            body=msgspec.json.encode(content),
        )
        return _status_failure(response)

    async def _get(
        self,
        path: str,
        result_type: type[_Content],
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> _Content | Failure:
        response = await self._client.request(
            'GET',
            path,
            timeout_s=CallLimits(CONTROL_TIMEOUT_S, max_body_bytes),
        )
        failure = _status_failure(response)
        if failure is not None:
            return failure
        assert isinstance(response, HttpAnswer)
        return parse_json(response.body, result_type, ErrorKind.INTERNAL)


class HttpService(Service):
    """HTTP client of a plain service."""

    def __init__(self, base_url: str) -> None:
        self._client: Final = HttpClient(base_url)

    async def call(self, req: ServiceRequest) -> ServiceResponse | Failure:
        response = await self._client.request(
            req.method,
            req.path,
            timeout_s=req.timeout_s,
            body=req.body,
            headers=[
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in req.headers
            ],
            single_use=True,
        )
        if isinstance(response, Failure):
            return response
        return ServiceResponse(
            response.status,
            response.headers.get('content-type', ''),
            response.body,
        )

    async def healthy(self) -> bool:
        response = await self._client.request(
            'GET',
            '/health',
            timeout_s=CallLimits(CONTROL_TIMEOUT_S, MAX_ACKNOWLEDGEMENT_BYTES),
        )
        return (
            isinstance(response, HttpAnswer)
            and response.status == HTTPStatus.OK
        )


def _generate_body(req: EngineRequest) -> _GenerateBody:
    text, raw = _prompt_fields(req.prompt)
    return _GenerateBody(
        id=req.request_id,
        model=req.model,
        prompt=text,
        prompt_bytes=raw,
        prompt_tokens=req.prompt_tokens,
        max_tokens=req.max_tokens,
        priority=req.priority,
        prefill_only=req.prefill_only,
        prefill_tokens=req.prefill_tokens,
        resume_offset=req.resume_offset,
        imported=req.imported_handles,
    )


def _prompt_fields(prompt: bytes) -> tuple[str, bytes]:
    try:
        return prompt.decode(), b''
    except UnicodeDecodeError:
        return '', prompt


def _status_failure(response: HttpAnswer | Failure) -> Failure | None:
    if isinstance(response, Failure):
        return response
    if response.status == HTTPStatus.OK:
        return None
    text = response.body[:MAX_REASON_CHARS].decode(errors='replace')
    reason = f'status {response.status}: {text}'
    if response.status in _NO_CAPACITY_STATUSES:
        return Failure(kind=ErrorKind.NO_CAPACITY, reason=reason)
    if response.status == HTTPStatus.CONFLICT:
        return Failure(kind=ErrorKind.CONFLICT, reason=reason)
    return Failure(kind=ErrorKind.INTERNAL, reason=reason)


async def _read_events(
    stream: HttpStream | Failure,
) -> AsyncIterator[EngineEvent]:
    if isinstance(stream, Failure):
        yield stream
        return
    if stream.status in _NO_CAPACITY_STATUSES:
        yield Failure(
            kind=ErrorKind.NO_CAPACITY,
            reason=f'status {stream.status}',
        )
        return
    if stream.status != HTTPStatus.OK:
        yield Failure(
            kind=ErrorKind.FAILED_AFTER_START,
            reason=f'status {stream.status}',
        )
        return
    try:
        async for line in _read_lines(stream.chunks):
            # Empty lines are keep-alives.
            if not line:
                continue
            event = _parse_event(line)
            yield event
            if isinstance(event, Failure):
                return
    except BrokenStreamError as exc:
        yield Failure(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            reason=str(exc),
            silent=exc.silent,
        )
        return
    yield Failure(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        reason='the stream ended without an end marker',
    )


async def _read_lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Split a stream into lines, without a part that has no line end.

    Raises `BrokenStreamError` if a line is too long or takes too long.
    """
    partial_line = b''
    line_due_at = anyio.current_time() + LINE_TIMEOUT_S
    while True:
        chunk: bytes | None = None
        with anyio.CancelScope(deadline=line_due_at):
            chunk = await anext(chunks, b'')
        if chunk is None:
            raise BrokenStreamError(f'no line ended within {LINE_TIMEOUT_S} s')
        if not chunk:
            return
        *lines, partial_line = (partial_line + chunk).split(b'\n')
        if len(partial_line) > MAX_LINE_BYTES:
            raise BrokenStreamError(f'a line is over {MAX_LINE_BYTES} bytes')
        for line in lines:
            yield line
        if lines:
            line_due_at = anyio.current_time() + LINE_TIMEOUT_S


def _parse_event(raw_line: bytes) -> EngineEvent:
    line = parse_json(raw_line, _Line, ErrorKind.OUTCOME_UNKNOWN)
    if isinstance(line, Failure):
        return line
    if line.error:
        return Failure(kind=ErrorKind.FAILED_AFTER_START, reason=line.error)
    if line.end:
        return Done(line.count, line.cached_tokens)
    return Tokens(line.offset, line.tokens, line.cached_tokens)
