"""What one entry costs: added latency, requests a second, memory."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from typing import Any, Final

import anyio
import msgspec
import psutil

from masticwind.budget import MS_PER_S
from masticwind.httpclient import HttpAnswer, HttpClient
from masticwind_dev.bench.arena import Arena, RunningArena, running_arena
from masticwind_dev.bench.summary import percentiles

RATE_PER_S: Final = 200
DURATION_S: Final = 10
WARM_UP_S: Final = 1
CONCURRENCY: Final = 64
WARM_UP_REQUESTS: Final = 600
LARGE_PROMPTS: Final = 50
FAST_PREFILL_TOKENS_PER_S: Final = 20_000_000
FAST_CHUNK_TOKENS: Final = 131_072
LARGE_TOKENS: Final = 1_000_000
BYTES_PER_TOKEN: Final = 4
TIMEOUT_S: Final = 300
PROMPT: Final = 'How long must the second coat cure? ' * 100
OK_STATUS: Final = 200

Ask = Callable[[int], Awaitable[bool]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Overhead:
    """Latencies in milliseconds, directly and through one entry."""

    direct_ms: dict[str, float]
    entry_ms: dict[str, float]
    added_p50_ms: float
    added_p99_ms: float
    failed: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Throughput:
    """Requests a second of one entry under a closed loop."""

    requests_per_s: float
    entry_cpu_share: float
    cpu_ms_per_request: float
    requests_per_s_at_limit: float
    failed: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LargeMemory:
    """Memory of one entry while many large prompts are in flight."""

    prompts: int
    prompt_tokens: int
    in_flight_peak: int
    before_bytes: int
    peak_bytes: int
    completed: int


async def measure_overhead() -> dict[str, Any]:
    """Run all three measurements; return plain data."""
    async with _single_entry(decode_ms=2, engines=4) as running:
        await _warm_up(running)
        overhead = await _measure_latency(running)
        throughput = await _measure_throughput(running)
    async with _single_entry(
        decode_ms=2,
        engines=4,
        memory_tokens=20_000_000,
        bytes_per_token=4,
    ) as running:
        memory = await _measure_memory(running)
    return {
        'overhead': asdict(overhead),
        'throughput': asdict(throughput),
        'memory': asdict(memory),
    }


@asynccontextmanager
async def _single_entry(**arena: Any) -> AsyncIterator[RunningArena]:
    # The engines must not be the bottleneck: otherwise the figures show how
    # requests are spread over them and not what the entry adds.
    shape = Arena(
        entries=1,
        services=1,
        prefill_tokens_per_s=FAST_PREFILL_TOKENS_PER_S,
        chunk_tokens=FAST_CHUNK_TOKENS,
        **arena,
    )
    async with running_arena(shape) as running:
        yield running


async def _warm_up(running: RunningArena) -> None:
    """Serve enough requests to end every engine's slow start."""
    client = HttpClient(running.urls[0])
    async with anyio.create_task_group() as tasks:
        for _ in range(WARM_UP_REQUESTS):
            tasks.start_soon(_ask_entry, client, PROMPT)
            await anyio.sleep(1 / RATE_PER_S)
    await client.close()


async def _measure_latency(running: RunningArena) -> Overhead:
    engines = [HttpClient(one.url) for one in running.fleet.engines.values()]
    entry = HttpClient(running.urls[0])

    async def direct(number: int) -> bool:
        client = engines[number % len(engines)]
        return _ok(
            await client.request(
                'POST',
                '/v1/generate',
                timeout_s=TIMEOUT_S,
                body=_engine_body(number),
            )
        )

    async def through_entry(number: int) -> bool:
        return await _ask_entry(entry, PROMPT)

    # Alternating halves even out what else the machine does.
    direct_ms: list[float] = []
    entry_ms: list[float] = []
    failed = 0
    for _ in range(2):
        failed += await _open_loop(direct, direct_ms)
        failed += await _open_loop(through_entry, entry_ms)
    first, second = percentiles(direct_ms), percentiles(entry_ms)
    return Overhead(
        direct_ms=asdict(first),
        entry_ms=asdict(second),
        added_p50_ms=second.p50 - first.p50,
        added_p99_ms=second.p99 - first.p99,
        failed=failed,
    )


async def _open_loop(ask: Ask, times_ms: list[float]) -> int:
    failures: list[int] = []
    started = time.monotonic()

    async def one(number: int, due: float, warm: bool) -> None:
        if not await ask(number):
            failures.append(number)
        if warm:
            times_ms.append((time.monotonic() - due) * MS_PER_S)

    async with anyio.create_task_group() as tasks:
        for number in range(RATE_PER_S * DURATION_S):
            due = started + number / RATE_PER_S
            await anyio.sleep(max(0, due - time.monotonic()))
            warm = number >= RATE_PER_S * WARM_UP_S
            tasks.start_soon(one, number, due, warm)
    return len(failures)


async def _measure_throughput(running: RunningArena) -> Throughput:
    entry = running.fleet.entries['entry-0']
    client = HttpClient(entry.url)
    process = psutil.Process(entry.popen.pid)
    done: list[bool] = []
    until = time.monotonic() + DURATION_S

    async def loop() -> None:
        while time.monotonic() < until:
            done.append(await _ask_entry(client, PROMPT))

    cpu_before, started = _cpu_s(process), time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(CONCURRENCY):
            tasks.start_soon(loop)
    spent_s = time.monotonic() - started
    cpu_s = _cpu_s(process) - cpu_before
    per_request_s = cpu_s / len(done)
    return Throughput(
        requests_per_s=len(done) / spent_s,
        entry_cpu_share=cpu_s / spent_s,
        cpu_ms_per_request=per_request_s * MS_PER_S,
        requests_per_s_at_limit=0.9 / per_request_s,
        failed=done.count(False),
    )


async def _measure_memory(running: RunningArena) -> LargeMemory:
    entry = running.fleet.entries['entry-0']
    client = HttpClient(entry.url, max_connections=LARGE_PROMPTS)
    process = psutil.Process(entry.popen.pid)
    before = process.memory_info().rss
    peak = before
    prompt = 'lime ' * (LARGE_TOKENS * BYTES_PER_TOKEN // 5)
    done: list[bool] = []
    started: list[int] = []

    async def one(number: int) -> None:
        started.append(number)
        done.append(await _ask_entry(client, f'{number} {prompt}'))

    in_flight_peak = 0
    async with anyio.create_task_group() as tasks:
        for number in range(LARGE_PROMPTS):
            tasks.start_soon(one, number)
        while len(done) < LARGE_PROMPTS:
            peak = max(peak, process.memory_info().rss)
            in_flight_peak = max(in_flight_peak, len(started) - len(done))
            await anyio.sleep(0.02)
    return LargeMemory(
        prompts=LARGE_PROMPTS,
        prompt_tokens=LARGE_TOKENS,
        in_flight_peak=in_flight_peak,
        before_bytes=before,
        peak_bytes=peak,
        completed=done.count(True),
    )


async def _ask_entry(client: HttpClient, prompt: str) -> bool:
    return _ok(
        await client.request(
            'POST',
            '/v1/chat/completions',
            timeout_s=TIMEOUT_S,
            body=msgspec.json.encode(
                {
                    'model': 'standard',
                    'messages': [{'role': 'user', 'content': prompt}],
                    'max_tokens': 4,
                }
            ),
            headers=[
                (b'authorization', b'Bearer paid-0'),
                (b'x-request-timeout-ms', b'300000'),
            ],
        )
    )


def _engine_body(number: int) -> bytes:
    return msgspec.json.encode(
        {
            'id': f'direct-{number}-{time.monotonic_ns()}',
            'model': 'standard',
            'prompt': PROMPT,
            'prompt_tokens': len(PROMPT),
            'max_tokens': 4,
        }
    )


def _ok(answer: object) -> bool:
    return isinstance(answer, HttpAnswer) and answer.status == OK_STATUS


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
