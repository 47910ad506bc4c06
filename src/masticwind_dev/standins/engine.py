"""Stand-in for a language model engine.

It models what decides latency: one loop of batched iterations, each of which
prefills a bounded chunk of prompt tokens in order of priority and generates
one token for every running stream; bounded memory shared by streams, held
caches and a prefix cache; a cold start that fails under more than its
capacity; a load report and cache events that lag, the latter with gaps.
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

NDJSON: Final = b'application/x-ndjson'
KEEP_ALIVE_S: Final = 1.0


@dataclass(slots=True)
class EngineModel:
    """Speed, memory and faults of the stand-in.

    `chunk_tokens` bounds the prefill work of one iteration. `cold_requests`
    served requests end a cold start.
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
    arrival: int
    prefill_left: int
    prefill_only: bool
    cached_tokens: int
    prompt_bytes: int
    hold_as: str = ''
    output: list[str] = field(default_factory=list)
    state: str = 'waiting'
    error: str = ''
    wake: anyio.Event = field(default_factory=anyio.Event)

    def memory_tokens(self) -> int:
        if self.state == 'waiting' or self.error:
            return 0
        return self.prompt_tokens + len(self.output)

    def notify(self) -> None:
        self.wake.set()
        self.wake = anyio.Event()


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
        self._cold_left = model.cold_requests if model.cold else 0
        self._streams: Final[dict[str, _Stream]] = {}
        self._held: Final[dict[str, int]] = {}
        self._cache: Final[OrderedDict[int, int]] = OrderedDict()
        self._arrivals: Final = itertools.count()
        self._random: Final = random.Random(model.seed)
        self._events: Final = deque[tuple[float, int, int, bool]](
            maxlen=100_000
        )
        self._event_number: Final = itertools.count(1)
        self._reports: Final = deque[tuple[float, EngineReport]]()
        self._fencing = 0
        self._work = anyio.Event()
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
                ('POST', '/v1/cache/drop'): self._drop,
                ('POST', '/v1/orders'): self._order,
                ('POST', '/control'): self._control,
                ('GET', '/state'): self._state,
            }
        )

    @property
    def cold(self) -> bool:
        """Whether the engine is in a cold start."""
        return self._cold_left > 0

    def used_memory_tokens(self) -> int:
        """Return the tokens held by streams and held caches."""
        streams = sum(one.memory_tokens() for one in self._streams.values())
        return streams + sum(self._held.values())

    def restart(self) -> None:
        """Lose all streams and caches, as when the engine's process dies."""
        self._fail_all('engine restarted')
        self._streams.clear()
        self._held.clear()
        self._cache.clear()
        self.boot_id = f'boot-{time.time_ns()}'

    def begin_cold_start(self) -> None:
        """Start a cold start, unannounced."""
        self._cold_left = self.model.cold_requests

    async def run(self) -> None:
        """Run iterations until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._record_reports)
            while True:
                if not self._streams:
                    self._work = anyio.Event()
                    await self._work.wait()
                started = time.monotonic()
                duration = self._iterate()
                spent = time.monotonic() - started
                await anyio.sleep(max(0, duration - spent))
                self._finish_iteration()

    def _iterate(self) -> float:
        """Do the work of one iteration; return its duration in seconds."""
        self._admit_waiting()
        budget = self.model.chunk_tokens
        prefilled = 0
        for stream in self._by_urgency('prefill'):
            part = min(budget - prefilled, stream.prefill_left)
            stream.prefill_left -= part
            prefilled += part
            if prefilled >= budget:
                break
        decoding = any(one.state == 'decode' for one in self._streams.values())
        duration = prefilled / self.model.prefill_tokens_per_s
        if decoding or not prefilled:
            duration += self.model.decode_ms / MS_PER_S
        if self.cold:
            return duration * self.model.cold_slowdown
        return duration

    def _finish_iteration(self) -> None:
        for stream in list(self._streams.values()):
            if stream.state == 'decode':
                stream.output.append(
                    answer_token(stream.digest, len(stream.output)),
                )
                if len(stream.output) >= stream.max_tokens:
                    self._end(stream)
                stream.notify()
            elif stream.state == 'prefill' and stream.prefill_left <= 0:
                self._end_prefill(stream)

    def _end_prefill(self, stream: _Stream) -> None:
        if stream.hold_as:
            self._held[stream.hold_as] = stream.prompt_tokens
            self._streams.pop(stream.request_id, None)
        self._remember(stream.blocks)
        if stream.prefill_only:
            self._end(stream)
        else:
            stream.state = 'decode'
        stream.notify()

    def _end(self, stream: _Stream) -> None:
        stream.state = 'done'
        if self._cold_left:
            self._cold_left -= 1

    def _admit_waiting(self) -> None:
        active = sum(
            one.state in ('prefill', 'decode') for one in self._streams.values()
        )
        used = self.used_memory_tokens()
        for stream in self._by_urgency('waiting'):
            need = stream.prompt_tokens + stream.max_tokens
            if active >= self.model.max_batch:
                break
            if used + need > self.model.memory_tokens:
                continue
            stream.state = 'prefill'
            stream.cached_tokens = self._cached_tokens(stream)
            stream.prefill_left = stream.prompt_tokens - stream.cached_tokens
            active += 1
            used += stream.prompt_tokens
        self._shrink_cache()

    def _by_urgency(self, state: str) -> list[_Stream]:
        return sorted(
            (one for one in self._streams.values() if one.state == state),
            key=lambda one: (one.priority, one.arrival),
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
        # At least one token is computed, as in real engines.
        return min(int(count * per_block), stream.prompt_tokens - 1)

    def _remember(self, blocks: Iterable[int]) -> None:
        for block in blocks:
            if block not in self._cache:
                self._emit_event(block, added=True)
            self._cache[block] = BLOCK_BYTES // 4
            self._cache.move_to_end(block)
        self._shrink_cache()

    def _shrink_cache(self) -> None:
        room = self.model.memory_tokens - self.used_memory_tokens()
        limit = min(room, self.model.memory_tokens * self.model.cache_share)
        tokens_per_block = BLOCK_BYTES // 4
        while self._cache and len(self._cache) * tokens_per_block > limit:
            block, _tokens = self._cache.popitem(last=False)
            self._emit_event(block, added=False)

    def _emit_event(self, block: int, *, added: bool) -> None:
        number = next(self._event_number)
        if self._random.random() < self.model.event_gap_share:
            return
        self._events.append((time.monotonic(), number, block, added))

    async def _record_reports(self) -> None:
        while True:
            now = time.monotonic()
            self._reports.append((now, self._fresh_report()))
            horizon = now - self.model.report_lag_ms / MS_PER_S
            while len(self._reports) > 1 and self._reports[1][0] <= horizon:
                self._reports.popleft()
            await anyio.sleep(0.05)

    def _fresh_report(self) -> EngineReport:
        states = [one.state for one in self._streams.values()]
        return EngineReport(
            boot_id=self.boot_id,
            models=self.model.models,
            cold=self.cold and self.model.announces_cold,
            running=sum(state != 'waiting' for state in states),
            waiting=states.count('waiting'),
            memory_total_tokens=self.model.memory_tokens,
            memory_used_tokens=self.used_memory_tokens(),
            cache_tokens=len(self._cache) * (BLOCK_BYTES // 4),
        )

    async def _generate(self, req: StandinRequest) -> Response | None:
        wanted = req.json()
        if self.model.mute:
            await anyio.sleep_forever()
        stream = self._streams.get(wanted['id'])
        if stream is None:
            refused = self._refusal(wanted)
            if refused is not None:
                return refused
            stream = self._open_stream(_generate_body(wanted))
        await self._write_stream(req, stream, wanted.get('resume_offset', 0))
        return None

    def _refusal(self, wanted: dict[str, object]) -> Response | None:
        if wanted.get('resume_offset', 0):
            return json_response(404, {'error': 'no such stream'})
        if wanted['model'] not in self.model.models:
            return json_response(404, {'error': 'model not loaded'})
        active = sum(one.state != 'done' for one in self._streams.values())
        if self.cold and active >= self.model.cold_capacity:
            self.offers_over_capacity += 1
            self._fail_all('overload in cold start')
            return json_response(500, {'error': 'overload in cold start'})
        body = _generate_body(wanted)
        need = body.prompt_tokens + body.max_tokens
        if need > self.model.memory_tokens:
            return json_response(507, {'error': 'prompt exceeds memory'})
        return None

    def _fail_all(self, reason: str) -> None:
        self.failures += 1
        self._cold_left = self.model.cold_requests
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
        seed = _seed_of(body.imported)
        stream = _Stream(
            request_id=body.id,
            digest=prompt_digest(prompt, seed),
            blocks=() if seed else prefix_hashes(prompt),
            prompt_tokens=prompt_tokens,
            max_tokens=0 if body.prefill_only else body.max_tokens,
            priority=body.priority,
            arrival=next(self._arrivals),
            prefill_left=prompt_tokens,
            prefill_only=body.prefill_only,
            cached_tokens=0,
            prompt_bytes=max(1, len(prompt)),
        )
        self._streams[body.id] = stream
        if not body.prefill_only:
            self.executed.append(body.id)
            self.executed_prompts.add(stream.digest)
        self._work.set()
        return stream

    async def _write_stream(
        self,
        req: StandinRequest,
        stream: _Stream,
        sent: int,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, req, tasks.cancel_scope)
            await self._write_lines(req, stream, sent)
            tasks.cancel_scope.cancel()

    async def _write_lines(
        self,
        req: StandinRequest,
        stream: _Stream,
        sent: int,
    ) -> None:
        await req.send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', NDJSON)],
            }
        )
        while True:
            wake = stream.wake
            if len(stream.output) > sent:
                new = stream.output[sent:]
                await _write_line(
                    req,
                    {
                        'offset': sent,
                        'tokens': new,
                        'cached_tokens': stream.cached_tokens,
                    },
                )
                sent += len(new)
                continue
            if stream.state == 'done':
                break
            with anyio.move_on_after(KEEP_ALIVE_S):
                await wake.wait()
            if not wake.is_set():
                await _write_text(req, b'\n')
        await self._write_end(req, stream)

    async def _write_end(self, req: StandinRequest, stream: _Stream) -> None:
        last: dict[str, object] = {'end': True, 'count': len(stream.output)}
        if stream.error:
            last = {'error': stream.error}
        last['cached_tokens'] = stream.cached_tokens
        await _write_line(req, last)
        # A stream without a reader stays until a resume or a cancel. A
        # reader that has the last line may leave at once.
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
                    request_id=one.request_id,
                    offset=len(one.output),
                    memory_tokens=one.memory_tokens(),
                )
                for one in self._streams.values()
            ],
        )

    async def _report(self, _req: StandinRequest) -> Response:
        recorded, report = self._reports[0]
        content = asdict(report)
        content['age_ms'] = int((time.monotonic() - recorded) * MS_PER_S)
        return json_response(200, content)

    async def _cache_events(self, req: StandinRequest) -> Response:
        after = req.query_int('after')
        horizon = time.monotonic() - self.model.event_lag_ms / MS_PER_S
        chosen = [
            event
            for event in self._events
            if event[1] > after and event[0] <= horizon
        ]
        return json_response(
            200,
            CacheEvents(
                first=chosen[0][1] if chosen else after,
                last=chosen[-1][1] if chosen else after,
                added=tuple(event[2] for event in chosen if event[3]),
                removed=tuple(event[2] for event in chosen if not event[3]),
            ),
        )

    async def _list_held(self, _req: StandinRequest) -> Response:
        return json_response(200, self._held)

    async def _hold(self, req: StandinRequest) -> Response:
        wanted = req.json()
        tokens = wanted['tokens']
        if self.used_memory_tokens() + tokens > self.model.memory_tokens:
            return json_response(507, {'error': 'no memory'})
        body = _Generate(
            id=wanted['id'],
            model=wanted['model'],
            prompt=wanted.get('prompt', ''),
            prompt_bytes=b64decode(wanted.get('prompt_bytes', '')),
            prompt_tokens=tokens,
            max_tokens=0,
            imported=tuple(wanted.get('imported', ())),
        )
        stream = self._open_stream(body)
        handle = f'{body.id}:{len(body.imported)}:{stream.digest:x}'
        stream.prefill_only = True
        stream.hold_as = handle
        while stream.state != 'done':
            await stream.wake.wait()
        self._streams.pop(stream.request_id, None)
        if stream.error:
            return json_response(500, {'error': stream.error})
        return json_response(200, {'handle': handle})

    async def _import(self, req: StandinRequest) -> Response:
        self._held.setdefault(req.json()['handle'], 0)
        return json_response(200, {})

    async def _drop(self, req: StandinRequest) -> Response:
        self._held.pop(req.json()['handle'], None)
        return json_response(200, {})

    async def _order(self, req: StandinRequest) -> Response:
        wanted = req.json()
        if self.model.checks_fencing and wanted['fencing'] < self._fencing:
            return json_response(409, {'error': 'old fencing token'})
        self._fencing = max(self._fencing, wanted['fencing'])
        self.orders.append({**wanted, 'at_s': time.monotonic()})
        loaded = set(self.model.models)
        if wanted['action'] == 'load_model':
            loaded.add(wanted['model'])
            self.begin_cold_start()
        elif wanted['action'] == 'unload_model':
            loaded.discard(wanted['model'])
        self.model.models = tuple(sorted(loaded))
        return json_response(200, {})

    async def _control(self, req: StandinRequest) -> Response:
        wanted = req.json()
        if wanted.pop('turn_cold', False):
            self.begin_cold_start()
        if wanted.pop('restart', False):
            self.restart()
        if wanted.pop('fail_all', False):
            self._fail_all('engine failed')
        for name, value in wanted.items():
            setattr(self.model, name, value)
        return json_response(200, {})

    async def _state(self, _req: StandinRequest) -> Response:
        return json_response(
            200,
            {
                'cold': self.cold,
                'memory_used_tokens': self.used_memory_tokens(),
                'streams': list(self._streams),
                'held': self._held,
                'executed': self.executed,
                'orders': self.orders,
                'offers_over_capacity': self.offers_over_capacity,
                'failures': self.failures,
            },
        )


def _generate_body(wanted: object) -> _Generate:
    return msgspec.convert(wanted, type=_Generate, builtin_types=())


def _seed_of(imported: Iterable[str]) -> int:
    """Return the digest that the last imported handle carries."""
    seed = 0
    for handle in imported:
        seed = int(handle.rsplit(':', 1)[1], 16)
    return seed


async def _cancel_on_disconnect(
    req: StandinRequest,
    scope: anyio.CancelScope,
) -> None:
    while True:
        message = await req.receive()
        if message['type'] == 'http.disconnect':
            scope.cancel()
            return


async def _write_line(req: StandinRequest, content: dict[str, object]) -> None:
    await _write_text(req, b'%b\n' % msgspec.json.encode(content))


async def _write_text(req: StandinRequest, text: bytes) -> None:
    await req.send(
        {'type': 'http.response.body', 'body': text, 'more_body': True},
    )
