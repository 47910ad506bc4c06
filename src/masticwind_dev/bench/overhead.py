"""Measures the cost of an entry: latency, requests per second, memory."""

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
from masticwind_dev.bench.experiment_fleet import (
    FleetSpec,
    RunningFleet,
    run_fleet,
)
from masticwind_dev.bench.summary import percentiles

RATE_PER_S: Final = 200
DURATION_S: Final = 10
WARM_UP_S: Final = 1
CLIENT_COUNT: Final = 64
WARM_UP_REQUESTS: Final = 600
LARGE_PROMPT_COUNT: Final = 50
FAST_PREFILL_TOKENS_PER_S: Final = 20_000_000
FAST_CHUNK_TOKENS: Final = 131_072
LARGE_PROMPT_TOKENS: Final = 1_000_000
BYTES_PER_TOKEN: Final = 4
TIMEOUT_S: Final = 300
PROMPT: Final = 'How long must the second coat cure? ' * 100
OK_STATUS: Final = 200

SendRequest = Callable[[int], Awaitable[bool]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Overhead:
    """Latencies of requests to an engine and through one entry."""

    direct_ms: dict[str, float]
    entry_ms: dict[str, float]
    added_p50_ms: float
    added_p99_ms: float
    failed: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Throughput:
    """Requests per second of one entry with a fixed number of callers.

    `requests_per_s_at_limit` is the rate at 90% of one core.
    """

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
    """Run all three measurements; the result can be encoded as JSON."""
    async with _run_single_entry(decode_ms=2, engines=4) as running:
        await _warm_up(running)
        overhead = await _measure_latency(running)
        throughput = await _measure_throughput(running)
    async with _run_single_entry(
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
async def _run_single_entry(**spec_fields: Any) -> AsyncIterator[RunningFleet]:
    # Fast engines: if they were the bottleneck, the figures would show how
    # requests are spread over engines and not what the entry adds.
    shape = FleetSpec(
        entries=1,
        services=1,
        prefill_tokens_per_s=FAST_PREFILL_TOKENS_PER_S,
        chunk_tokens=FAST_CHUNK_TOKENS,
        **spec_fields,
    )
    async with run_fleet(shape) as running:
        yield running


async def _warm_up(running: RunningFleet) -> None:
    """Serve enough requests to end the slow start of every engine."""
    client = HttpClient(running.urls[0])
    async with anyio.create_task_group() as tasks:
        for _ in range(WARM_UP_REQUESTS):
            tasks.start_soon(_request_entry, client, PROMPT)
            await anyio.sleep(1 / RATE_PER_S)
    await client.close()


async def _measure_latency(running: RunningFleet) -> Overhead:
    engines = [
        HttpClient(engine.url) for engine in running.fleet.engines.values()
    ]
    entry = HttpClient(running.urls[0])

    async def request_engine(number: int) -> bool:
        client = engines[number % len(engines)]
        return _is_ok(
            await client.request(
                'POST',
                '/v1/generate',
                timeout_s=TIMEOUT_S,
                body=_engine_body(number),
            )
        )

    async def request_through_entry(number: int) -> bool:
        return await _request_entry(entry, PROMPT)

    # Alternating the two evens out other load on the machine.
    direct_ms: list[float] = []
    entry_ms: list[float] = []
    failed = 0
    for _ in range(2):
        failed += await _open_loop(request_engine, direct_ms)
        failed += await _open_loop(request_through_entry, entry_ms)
    direct, through_entry = percentiles(direct_ms), percentiles(entry_ms)
    return Overhead(
        direct_ms=asdict(direct),
        entry_ms=asdict(through_entry),
        added_p50_ms=through_entry.p50 - direct.p50,
        added_p99_ms=through_entry.p99 - direct.p99,
        failed=failed,
    )


async def _open_loop(send: SendRequest, times_ms: list[float]) -> int:
    failed_numbers: list[int] = []
    started = time.monotonic()

    async def send_one(number: int, due_at: float, is_measured: bool) -> None:
        if not await send(number):
            failed_numbers.append(number)
        if is_measured:
            times_ms.append((time.monotonic() - due_at) * MS_PER_S)

    async with anyio.create_task_group() as tasks:
        for number in range(RATE_PER_S * DURATION_S):
            due_at = started + number / RATE_PER_S
            await anyio.sleep(max(0, due_at - time.monotonic()))
            is_measured = number >= RATE_PER_S * WARM_UP_S
            tasks.start_soon(send_one, number, due_at, is_measured)
    return len(failed_numbers)


async def _measure_throughput(running: RunningFleet) -> Throughput:
    entry = running.fleet.entries['entry-0']
    client = HttpClient(entry.url)
    process = psutil.Process(entry.popen.pid)
    done: list[bool] = []
    end_at = time.monotonic() + DURATION_S

    async def send_until_end() -> None:
        while time.monotonic() < end_at:
            done.append(await _request_entry(client, PROMPT))

    cpu_before, started = _read_cpu_s(process), time.monotonic()
    async with anyio.create_task_group() as tasks:
        for _ in range(CLIENT_COUNT):
            tasks.start_soon(send_until_end)
    elapsed_s = time.monotonic() - started
    cpu_s = _read_cpu_s(process) - cpu_before
    per_request_s = cpu_s / len(done)
    return Throughput(
        requests_per_s=len(done) / elapsed_s,
        entry_cpu_share=cpu_s / elapsed_s,
        cpu_ms_per_request=per_request_s * MS_PER_S,
        requests_per_s_at_limit=0.9 / per_request_s,
        failed=done.count(False),
    )


async def _measure_memory(running: RunningFleet) -> LargeMemory:
    entry = running.fleet.entries['entry-0']
    client = HttpClient(entry.url, max_connections=LARGE_PROMPT_COUNT)
    process = psutil.Process(entry.popen.pid)
    before_bytes = process.memory_info().rss
    peak_bytes = before_bytes
    prompt = 'lime ' * (LARGE_PROMPT_TOKENS * BYTES_PER_TOKEN // 5)
    done: list[bool] = []
    started: list[int] = []

    async def send_one(number: int) -> None:
        started.append(number)
        done.append(await _request_entry(client, f'{number} {prompt}'))

    in_flight_peak = 0
    async with anyio.create_task_group() as tasks:
        for number in range(LARGE_PROMPT_COUNT):
            tasks.start_soon(send_one, number)
        while len(done) < LARGE_PROMPT_COUNT:
            peak_bytes = max(peak_bytes, process.memory_info().rss)
            in_flight_peak = max(in_flight_peak, len(started) - len(done))
            await anyio.sleep(0.02)
    return LargeMemory(
        prompts=LARGE_PROMPT_COUNT,
        prompt_tokens=LARGE_PROMPT_TOKENS,
        in_flight_peak=in_flight_peak,
        before_bytes=before_bytes,
        peak_bytes=peak_bytes,
        completed=done.count(True),
    )


async def _request_entry(client: HttpClient, prompt: str) -> bool:
    return _is_ok(
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


def _is_ok(response: object) -> bool:
    return isinstance(response, HttpAnswer) and response.status == OK_STATUS


def _read_cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
