"""Stand-in for a language model engine.

It models what determines latency. Each iteration prefills a limited chunk of
prompt tokens in order of priority and generates one token for each running
stream. Streams, held caches and a prefix cache share a limited memory. During
a cold start, more requests than the cold capacity fail all requests. The load
report and the cache events lag, and some events are missing.
"""

import itertools
import random
import time
from base64 import b64decode
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Final

import anyio
import msgspec

from masticwind.budget import MS_PER_S
from masticwind.engines.base import CacheEvents, EngineReport, RunningRequest
from masticwind.tokens import BLOCK_BYTES, prefix_hashes
from masticwind.web import Response, json_response
from masticwind_dev.standins.answers import answer_token, prompt_digest
from masticwind_dev.standins.routes import Router, StandinRequest

NDJSON_TYPE: Final = b'application/x-ndjson'
KEEP_ALIVE_INTERVAL_S: Final = 1.0


@dataclass(slots=True)
class EngineModel:
    """Speed, memory and faults of the stand-in.

    `chunk_tokens` limits the prefill work of one iteration. A cold start
    ends after `cold_requests` served requests. A `mute` engine does not answer
    requests to generate.
    """

    models: tuple[str, ...] = ('standard',)
    prefill_tokens_per_s: float = 200_000
    decode_ms: float = 10
    chunk_tokens: int = 8192
    max_batch: int = 64
    memory_tokens: int = 1_500_000
    cache_share: float = 0.3
    cold: bool = False
    cold_capacity: int = 2
    cold_requests: int = 10
    cold_slowdown: float = 3
    announces_cold: bool = False
    report_lag_ms: int = 300
    event_lag_ms: int = 500
    event_gap_share: float = 0.02
    checks_fencing: bool = True
    mute: bool = False
    seed: int = 1


@dataclass(slots=True, eq=False)
class _Stream:
    request_id: str
    digest: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    arrival_number: int
    prefill_tokens_left: int
    prefill_only: bool
    cached_tokens: int
    prompt_bytes: int
    hold_handle: str = ''
    output: list[str] = field(default_factory=list)
    state: str = 'waiting'
    error: str = ''
    changed: anyio.Event = field(default_factory=anyio.Event)

    def memory_tokens(self) -> int:
        if self.state == 'waiting' or self.error:
            return 0
        return self.prompt_tokens + len(self.output)

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


class _Generate(msgspec.Struct):
    id: str
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    prefill_only: bool = False
    prefill_tokens: int = 0
    imported: tuple[str, ...] = ()
    prompt_bytes: bytes = b''


class EngineStandin:
    """State, iteration loop and HTTP interface of the stand-in."""

    def __init__(self, model: EngineModel) -> None:
        self.model = model
        self.boot_id = f'boot-{time.time_ns()}'
        self.overruns = 0
        self.offers_over_capacity = 0
        self.failures = 0
        self.executed: Final[list[str]] = []
        self.executed_prompts: Final[set[int]] = set()
        self.orders: Final[list[dict[str, object]]] = []
        self._cold_requests_left = model.cold_requests if model.cold else 0
        self._streams: Final[dict[str, _Stream]] = {}
        self._held_tokens: Final[dict[str, int]] = {}
        self._cache: Final[OrderedDict[int, int]] = OrderedDict()
        self._arrival_numbers: Final = itertools.count()
        self._random: Final = random.Random(model.seed)
        self._events: Final = deque[tuple[float, int, int, bool]](
            maxlen=100_000
        )
        self._event_numbers: Final = itertools.count(1)
        self._reports: Final = deque[tuple[float, EngineReport]]()
        self._fencing = 0
        self._streams_added = anyio.Event()
        self.app: Final = Router(
            {
                ('POST', '/v1/generate'): self._generate,
                ('POST', '/v1/cancel'): self._cancel,
                ('GET', '/v1/running'): self._running,
                ('GET', '/v1/report'): self._report,
                ('GET', '/v1/cache/events'): self._cache_events,
                ('GET', '/v1/cache/held'): self._list_held,
                ('POST', '/v1/cache/hold'): self._hold,
                ('POST', '/v1/cache/import'): self._import,
                ('POST', '/v1/cache/drop'): self._drop_held,
                ('POST', '/v1/orders'): self._execute_order,
                ('POST', '/control'): self._control,
                ('GET', '/state'): self._state,
            }
        )

    @property
    def is_cold(self) -> bool:
        """Whether the engine is in a cold start."""
        return self._cold_requests_left > 0

    def used_memory_tokens(self) -> int:
        """Return the memory of streams and held caches, in tokens."""
        streams = sum(
            stream.memory_tokens() for stream in self._streams.values()
        )
        return streams + sum(self._held_tokens.values())

    def restart(self) -> None:
        """Drop all streams and caches, as a restart of the process does."""
        self._fail_streams('engine restarted')
        self._streams.clear()
        self._held_tokens.clear()
        self._cache.clear()
        self.boot_id = f'boot-{time.time_ns()}'

    def begin_cold_start(self) -> None:
        """Begin a cold start without an announcement."""
        self._cold_requests_left = self.model.cold_requests

    async def run(self) -> None:
        """Run iterations until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._record_reports)
            while True:
                if not self._streams:
                    self._streams_added = anyio.Event()
                    await self._streams_added.wait()
                started_at_s = time.monotonic()
                duration_s = self._start_iteration()
                elapsed_s = time.monotonic() - started_at_s
                await anyio.sleep(max(0, duration_s - elapsed_s))
                self._finish_iteration()

    def _start_iteration(self) -> float:
        """Start an iteration; return its duration in seconds."""
        self._admit_waiting()
        budget_tokens = self.model.chunk_tokens
        prefilled_tokens = 0
        for stream in self._streams_by_priority('prefill'):
            prefill_tokens = min(
                budget_tokens - prefilled_tokens, stream.prefill_tokens_left
            )
            stream.prefill_tokens_left -= prefill_tokens
            prefilled_tokens += prefill_tokens
            if prefilled_tokens >= budget_tokens:
                break
        decoding = any(
            running.state == 'decode' for running in self._streams.values()
        )
        duration_s = prefilled_tokens / self.model.prefill_tokens_per_s
        if decoding or not prefilled_tokens:
            duration_s += self.model.decode_ms / MS_PER_S
        if self.is_cold:
            return duration_s * self.model.cold_slowdown
        return duration_s

    def _finish_iteration(self) -> None:
        for stream in list(self._streams.values()):
            if stream.state == 'decode':
                stream.output.append(
                    answer_token(stream.digest, len(stream.output)),
                )
                if len(stream.output) >= stream.max_tokens:
                    self._end_stream(stream)
                stream.notify()
            elif stream.state == 'prefill' and stream.prefill_tokens_left <= 0:
                self._end_prefill(stream)

    def _end_prefill(self, stream: _Stream) -> None:
        if stream.hold_handle:
            self._held_tokens[stream.hold_handle] = stream.prompt_tokens
            self._streams.pop(stream.request_id, None)
        self._add_to_cache(stream.blocks)
        if stream.prefill_only:
            self._end_stream(stream)
        else:
            stream.state = 'decode'
        stream.notify()

    def _end_stream(self, stream: _Stream) -> None:
        stream.state = 'done'
        if self._cold_requests_left:
            self._cold_requests_left -= 1

    def _admit_waiting(self) -> None:
        active_streams = sum(
            stream.state in ('prefill', 'decode')
            for stream in self._streams.values()
        )
        used_tokens = self.used_memory_tokens()
        for stream in self._streams_by_priority('waiting'):
            required_tokens = stream.prompt_tokens + stream.max_tokens
            if active_streams >= self.model.max_batch:
                break
            if used_tokens + required_tokens > self.model.memory_tokens:
                continue
            stream.state = 'prefill'
            stream.cached_tokens = self._cached_tokens(stream)
            stream.prefill_tokens_left = (
                stream.prompt_tokens - stream.cached_tokens
            )
            active_streams += 1
            used_tokens += stream.prompt_tokens
        self._evict_from_cache()

    def _streams_by_priority(self, state: str) -> list[_Stream]:
        return sorted(
            (
                stream
                for stream in self._streams.values()
                if stream.state == state
            ),
            key=lambda stream: (stream.priority, stream.arrival_number),
        )

    def _cached_tokens(self, stream: _Stream) -> int:
        count = 0
        for block in stream.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        if not count:
            return 0
        per_block = BLOCK_BYTES * stream.prompt_tokens / stream.prompt_bytes
        # Real engines compute at least one token, even if all are cached.
        return min(int(count * per_block), stream.prompt_tokens - 1)

    def _add_to_cache(self, blocks: Iterable[int]) -> None:
        for block in blocks:
            if block not in self._cache:
                self._emit_event(block, added=True)
            self._cache[block] = BLOCK_BYTES // 4
            self._cache.move_to_end(block)
        self._evict_from_cache()

    def _evict_from_cache(self) -> None:
        free_memory_tokens = (
            self.model.memory_tokens - self.used_memory_tokens()
        )
        max_cache_tokens = min(
            free_memory_tokens,
            self.model.memory_tokens * self.model.cache_share,
        )
        tokens_per_block = BLOCK_BYTES // 4
        while (
            self._cache
            and len(self._cache) * tokens_per_block > max_cache_tokens
        ):
            block, _tokens = self._cache.popitem(last=False)
            self._emit_event(block, added=False)

    def _emit_event(self, block: int, *, added: bool) -> None:
        number = next(self._event_numbers)
        if self._random.random() < self.model.event_gap_share:
            return
        self._events.append((time.monotonic(), number, block, added))

    async def _record_reports(self) -> None:
        while True:
            now = time.monotonic()
            self._reports.append((now, self._current_report()))
            horizon = now - self.model.report_lag_ms / MS_PER_S
            while len(self._reports) > 1 and self._reports[1][0] <= horizon:
                self._reports.popleft()
            await anyio.sleep(0.05)

    def _current_report(self) -> EngineReport:
        states = [stream.state for stream in self._streams.values()]
        return EngineReport(
            boot_id=self.boot_id,
            models=self.model.models,
            cold=self.is_cold and self.model.announces_cold,
            running=sum(state != 'waiting' for state in states),
            waiting=states.count('waiting'),
            memory_total_tokens=self.model.memory_tokens,
            memory_used_tokens=self.used_memory_tokens(),
            cache_tokens=len(self._cache) * (BLOCK_BYTES // 4),
        )

    async def _generate(self, req: StandinRequest) -> Response | None:
        fields = req.json()
        if self.model.mute:
            await anyio.sleep_forever()
        stream = self._streams.get(fields['id'])
        if stream is None:
            refusal = self._refuse(fields)
            if refusal is not None:
                return refusal
            stream = self._open_stream(_decode_generate_body(fields))
        await self._send_stream(req, stream, fields.get('resume_offset', 0))
        return None

    def _refuse(self, fields: dict[str, object]) -> Response | None:
        if fields.get('resume_offset', 0):
            return json_response(404, {'error': 'no such stream'})
        if fields['model'] not in self.model.models:
            return json_response(404, {'error': 'model not loaded'})
        active_streams = sum(
            stream.state != 'done' for stream in self._streams.values()
        )
        if self.is_cold and active_streams >= self.model.cold_capacity:
            self.offers_over_capacity += 1
            self._fail_streams('overload in cold start')
            return json_response(500, {'error': 'overload in cold start'})
        body = _decode_generate_body(fields)
        required_tokens = body.prompt_tokens + body.max_tokens
        if required_tokens > self.model.memory_tokens:
            return json_response(507, {'error': 'prompt exceeds memory'})
        return None

    def _fail_streams(self, reason: str) -> None:
        self.failures += 1
        self._cold_requests_left = self.model.cold_requests
        for stream in self._streams.values():
            if stream.state != 'done':
                stream.error = reason
                stream.state = 'done'
                stream.notify()

    def _open_stream(self, body: _Generate) -> _Stream:
        prompt = body.prompt.encode() or body.prompt_bytes
        prompt_tokens = body.prompt_tokens
        if body.prefill_only:
            share = body.prefill_tokens / body.prompt_tokens
            prompt = prompt[: int(len(prompt) * share)]
            prompt_tokens = body.prefill_tokens
        initial_digest = _last_imported_digest(body.imported)
        stream = _Stream(
            request_id=body.id,
            digest=prompt_digest(prompt, initial_digest),
            blocks=() if initial_digest else prefix_hashes(prompt),
            prompt_tokens=prompt_tokens,
            max_tokens=0 if body.prefill_only else body.max_tokens,
            priority=body.priority,
            arrival_number=next(self._arrival_numbers),
            prefill_tokens_left=prompt_tokens,
            prefill_only=body.prefill_only,
            cached_tokens=0,
            prompt_bytes=max(1, len(prompt)),
        )
        self._streams[body.id] = stream
        if not body.prefill_only:
            self.executed.append(body.id)
            self.executed_prompts.add(stream.digest)
        self._streams_added.set()
        return stream

    async def _send_stream(
        self,
        req: StandinRequest,
        stream: _Stream,
        sent_tokens: int,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, req, tasks.cancel_scope)
            await self._send_lines(req, stream, sent_tokens)
            tasks.cancel_scope.cancel()

    async def _send_lines(
        self,
        req: StandinRequest,
        stream: _Stream,
        sent_tokens: int,
    ) -> None:
        await req.send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', NDJSON_TYPE)],
            }
        )
        while True:
            changed = stream.changed
            if len(stream.output) > sent_tokens:
                new = stream.output[sent_tokens:]
                await _send_line(
                    req,
                    {
                        'offset': sent_tokens,
                        'tokens': new,
                        'cached_tokens': stream.cached_tokens,
                    },
                )
                sent_tokens += len(new)
                continue
            if stream.state == 'done':
                break
            with anyio.move_on_after(KEEP_ALIVE_INTERVAL_S):
                await changed.wait()
            if not changed.is_set():
                await _send_chunk(req, b'\n')
        await self._send_end(req, stream)

    async def _send_end(self, req: StandinRequest, stream: _Stream) -> None:
        end_line: dict[str, object] = {'end': True, 'count': len(stream.output)}
        if stream.error:
            end_line = {'error': stream.error}
        end_line['cached_tokens'] = stream.cached_tokens
        await _send_line(req, end_line)
        # A stream that nobody reads is kept until it is resumed or cancelled.
        # It is removed before the last chunk, since a reader may disconnect
        # as soon as it has the last line.
        self._streams.pop(stream.request_id, None)
        await req.send({'type': 'http.response.body', 'body': b''})

    async def _cancel(self, req: StandinRequest) -> Response:
        stream = self._streams.pop(req.json()['id'], None)
        if stream is not None:
            stream.error = 'cancelled'
            stream.state = 'done'
            stream.notify()
        return json_response(200, {})

    async def _running(self, _req: StandinRequest) -> Response:
        return json_response(
            200,
            [
                RunningRequest(
                    request_id=stream.request_id,
                    offset=len(stream.output),
                    memory_tokens=stream.memory_tokens(),
                )
                for stream in self._streams.values()
            ],
        )

    async def _report(self, _req: StandinRequest) -> Response:
        recorded_at_s, report = self._reports[0]
        content = asdict(report)
        content['age_ms'] = int((time.monotonic() - recorded_at_s) * MS_PER_S)
        return json_response(200, content)

    async def _cache_events(self, req: StandinRequest) -> Response:
        after = req.query_int('after')
        horizon = time.monotonic() - self.model.event_lag_ms / MS_PER_S
        visible_events = [
            event
            for event in self._events
            if event[1] > after and event[0] <= horizon
        ]
        return json_response(
            200,
            CacheEvents(
                first=visible_events[0][1] if visible_events else after,
                last=visible_events[-1][1] if visible_events else after,
                added=tuple(event[2] for event in visible_events if event[3]),
                removed=tuple(
                    event[2] for event in visible_events if not event[3]
                ),
            ),
        )

    async def _list_held(self, _req: StandinRequest) -> Response:
        return json_response(200, self._held_tokens)

    async def _hold(self, req: StandinRequest) -> Response:
        fields = req.json()
        tokens = fields['tokens']
        if self.used_memory_tokens() + tokens > self.model.memory_tokens:
            return json_response(507, {'error': 'no memory'})
        body = _Generate(
            id=fields['id'],
            model=fields['model'],
            prompt=fields.get('prompt', ''),
            prompt_bytes=b64decode(fields.get('prompt_bytes', '')),
            prompt_tokens=tokens,
            max_tokens=0,
            imported=tuple(fields.get('imported', ())),
        )
        stream = self._open_stream(body)
        handle = f'{body.id}:{len(body.imported)}:{stream.digest:x}'
        stream.prefill_only = True
        stream.hold_handle = handle
        while stream.state != 'done':
            await stream.changed.wait()
        self._streams.pop(stream.request_id, None)
        if stream.error:
            return json_response(500, {'error': stream.error})
        return json_response(200, {'handle': handle})

    async def _import(self, req: StandinRequest) -> Response:
        self._held_tokens.setdefault(req.json()['handle'], 0)
        return json_response(200, {})

    async def _drop_held(self, req: StandinRequest) -> Response:
        self._held_tokens.pop(req.json()['handle'], None)
        return json_response(200, {})

    async def _execute_order(self, req: StandinRequest) -> Response:
        fields = req.json()
        if self.model.checks_fencing and fields['fencing'] < self._fencing:
            return json_response(409, {'error': 'old fencing token'})
        self._fencing = max(self._fencing, fields['fencing'])
        self.orders.append({**fields, 'at_s': time.monotonic()})
        loaded = set(self.model.models)
        if fields['action'] == 'load_model':
            loaded.add(fields['model'])
            self.begin_cold_start()
        elif fields['action'] == 'unload_model':
            loaded.discard(fields['model'])
        self.model.models = tuple(sorted(loaded))
        return json_response(200, {})

    async def _control(self, req: StandinRequest) -> Response:
        fields = req.json()
        if fields.pop('turn_cold', False):
            self.begin_cold_start()
        if fields.pop('restart', False):
            self.restart()
        if fields.pop('fail_all', False):
            self._fail_streams('engine failed')
        for name, value in fields.items():
            setattr(self.model, name, value)
        return json_response(200, {})

    async def _state(self, _req: StandinRequest) -> Response:
        return json_response(
            200,
            {
                'cold': self.is_cold,
                'memory_used_tokens': self.used_memory_tokens(),
                'streams': list(self._streams),
                'held': self._held_tokens,
                'executed': self.executed,
                'orders': self.orders,
                'offers_over_capacity': self.offers_over_capacity,
                'failures': self.failures,
            },
        )


def _decode_generate_body(fields: object) -> _Generate:
    return msgspec.convert(fields, type=_Generate, builtin_types=())


def _last_imported_digest(imported: Iterable[str]) -> int:
    """Return the digest in the last imported handle, or 0 without one."""
    digest = 0
    for handle in imported:
        digest = int(handle.rsplit(':', 1)[1], 16)
    return digest


async def _cancel_on_disconnect(
    req: StandinRequest,
    scope: anyio.CancelScope,
) -> None:
    while True:
        message = await req.receive()
        if message['type'] == 'http.disconnect':
            scope.cancel()
            return


async def _send_line(req: StandinRequest, content: dict[str, object]) -> None:
    await _send_chunk(req, b'%b\n' % msgspec.json.encode(content))


async def _send_chunk(req: StandinRequest, text: bytes) -> None:
    await req.send(
        {'type': 'http.response.body', 'body': text, 'more_body': True},
    )
