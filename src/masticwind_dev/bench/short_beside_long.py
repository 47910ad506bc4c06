"""Measures short requests beside long ones at one engine stand-in.

The same arrivals run in four modes: only the short requests, all requests
through the agent, all requests sent to the engine with priorities, and all
requests sent to the engine without priorities or limits. Run it with

    python -m masticwind_dev.bench.short_beside_long --seed 1 --seconds 30
"""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Final, Literal

import anyio
import cyclopts
from hdrh.histogram import HdrHistogram

from masticwind.agent.executor import Executor, ExecutorDependencies
from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig
from masticwind.config.model import Configuration, Generation, Zone
from masticwind.engines.base import Done, EngineRequest
from masticwind.engines.http import HttpEngine
from masticwind.errors import Failure
from masticwind.protocol.channel import Channel
from masticwind.protocol.messages import End, Message, Offer, Output, Refused
from masticwind.settings import Address, AgentSettings, PeerSettings
from masticwind.web import WebServer
from masticwind_dev.standins.engine import EngineModel, EngineStandin

Mode = Literal['alone', 'agent', 'priorities', 'unbounded']
MODES: Final[tuple[Mode, ...]] = ('alone', 'agent', 'priorities', 'unbounded')
MAX_LATENCY_MS: Final = 600_000
# Relative to the prefill rate when each iteration runs a full chunk of prefill
# and one decode step.
LOAD_FACTOR: Final = 0.8
LONG_TOKEN_SHARE: Final = 0.5
SHORT_TOKENS_RANGE: Final = (1000, 4000)
LONG_TOKENS_RANGE: Final = (50_000, 350_000)
OUTPUT_TOKENS: Final = 16
SHORT_TIMEOUT_MS: Final = 10_000
LONG_TIMEOUT_MS: Final = 30_000
WARM_UP_REQUESTS: Final = 200
BYTES_PER_TOKEN: Final = 4

cli = cyclopts.App(name='short-beside-long', help=__doc__)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the workload; `at_s` is seconds since the start."""

    name: str
    at_s: float
    tokens: int
    is_long: bool


@dataclass(slots=True)
class ModeResult:
    """Times to first token, and counts of ended and completed requests."""

    short_ms: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_MS, 3),
    )
    long_ms: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_MS, 3),
    )
    short_count: int = 0
    short_done_count: int = 0
    long_count: int = 0
    long_done_count: int = 0

    def record_first_token(self, arrival: Arrival, elapsed_s: float) -> None:
        """Add a time to first token to the histogram of its length."""
        histogram = self.long_ms if arrival.is_long else self.short_ms
        histogram.record_value(max(1, round(elapsed_s * MS_PER_S)))

    def record_end(self, arrival: Arrival, *, done: bool) -> None:
        """Count an ended request, and whether it was completed."""
        if arrival.is_long:
            self.long_count += 1
            self.long_done_count += done
        else:
            self.short_count += 1
            self.short_done_count += done

    def format_row(self, mode: Mode) -> str:
        """Return a row of the Markdown table."""
        short, long_ms = self.short_ms, self.long_ms
        return (
            f'| {mode} | {short.get_value_at_percentile(50)}'
            f' | {short.get_value_at_percentile(95)}'
            f' | {self.short_done_count}/{self.short_count}'
            f' | {long_ms.get_value_at_percentile(95)}'
            f' | {self.long_done_count}/{self.long_count} |'
        )


class _RecordingChannel(Channel):
    """Channel to an entry that records the messages of one request."""

    def __init__(self) -> None:
        self.first_token_at: float | None = None
        self.done = False
        self.ended = anyio.Event()

    def send(self, message: Message) -> bool:
        if isinstance(message, Output) and self.first_token_at is None:
            self.first_token_at = anyio.current_time()
        if isinstance(message, End | Refused):
            self.done = not message.kind
            self.ended.set()
        return True


def plan_arrivals(
    seed: int, seconds: float, model: EngineModel
) -> list[Arrival]:
    """Return Poisson arrivals of short and long requests."""
    rng = random.Random(seed)
    tokens_per_s = LOAD_FACTOR * _prefill_rate_while_decoding(model)
    arrivals: list[Arrival] = []
    for kind, sizes, share in (
        ('short', SHORT_TOKENS_RANGE, 1 - LONG_TOKEN_SHARE),
        ('long', LONG_TOKENS_RANGE, LONG_TOKEN_SHARE),
    ):
        requests_per_s = tokens_per_s * share / (sum(sizes) / 2)
        at_s = rng.expovariate(requests_per_s)
        while at_s < seconds:
            name = f'{kind}-{len(arrivals)}'
            tokens = rng.randint(*sizes)
            arrivals.append(Arrival(name, at_s, tokens, kind == 'long'))
            at_s += rng.expovariate(requests_per_s)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


@dataclass(frozen=True, slots=True)
class _EngineHarness:
    engine: HttpEngine
    executor: Executor
    mode_result: ModeResult

    async def send_through_agent(self, arrival: Arrival) -> None:
        channel = _RecordingChannel()
        started_at = anyio.current_time()
        body = _body(arrival)
        self.executor.handle_offer(
            channel,
            Offer(
                arrival.name,
                0,
                team='team',
                paid=True,
                model='standard',
                prompt_tokens=arrival.tokens,
                max_tokens=OUTPUT_TOKENS,
                timeout_ms=_timeout_ms(arrival),
                generation=1,
                body_bytes=len(body),
                body=body,
            ),
        )
        await channel.ended.wait()
        if channel.first_token_at is not None:
            self.mode_result.record_first_token(
                arrival, channel.first_token_at - started_at
            )
        self.mode_result.record_end(arrival, done=channel.done)

    async def send_to_engine(self, arrival: Arrival, priority: int) -> None:
        started_at = anyio.current_time()
        done = False
        req = EngineRequest(
            request_id=f'{arrival.name}.0.0',
            model='standard',
            prompt=_body(arrival),
            prompt_tokens=arrival.tokens,
            max_tokens=OUTPUT_TOKENS,
            priority=priority,
        )
        with anyio.move_on_after(_timeout_ms(arrival) / MS_PER_S):
            done = await self._read_events(arrival, req, started_at)
        if not done:
            await self.engine.cancel(req.request_id)
        self.mode_result.record_end(arrival, done=done)

    async def _read_events(
        self,
        arrival: Arrival,
        req: EngineRequest,
        started_at: float,
    ) -> bool:
        async with self.engine.generate(req) as events:
            async for event in events:
                if isinstance(event, Done):
                    return True
                if isinstance(event, Failure):
                    print(f'{arrival.name}: {event.reason}')
                    return False
                if not event.offset:
                    elapsed_s = anyio.current_time() - started_at
                    self.mode_result.record_first_token(arrival, elapsed_s)
        return False


@asynccontextmanager
async def _engine_harness() -> AsyncIterator[_EngineHarness]:
    config = CurrentConfig()
    zones = {'zone-a': Zone(region='north')}
    config.adopt(Generation(number=1, config=Configuration(zones=zones)))
    async with anyio.create_task_group() as tasks:
        standin = EngineStandin(EngineModel())
        server = WebServer(standin.app, Address())
        tasks.start_soon(server.run)
        tasks.start_soon(standin.run)
        url = f'http://127.0.0.1:{server.port}'
        cfg = AgentSettings(
            node='agent-1',
            zone='zone-a',
            endpoint='e1',
            endpoint_url=url,
            peers=PeerSettings(secrets=('s',)),
        )
        engine = HttpEngine(url)
        executor = Executor(ExecutorDependencies(cfg, config, engine), tasks)
        tasks.start_soon(executor.run)
        while executor.availability.engine_report is None:
            await anyio.sleep(0.01)
        for _ in range(WARM_UP_REQUESTS):
            executor.ramp.record_completion()
        yield _EngineHarness(engine, executor, ModeResult())
        tasks.cancel_scope.cancel()


async def measure(mode: Mode, arrivals: list[Arrival]) -> ModeResult:
    """Run the workload in one mode."""
    async with _engine_harness() as harness:
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for arrival in arrivals:
                if arrival.is_long and mode == 'alone':
                    continue
                await anyio.sleep_until(started_at + arrival.at_s)
                if mode in ('alone', 'agent'):
                    tasks.start_soon(harness.send_through_agent, arrival)
                    continue
                is_low_priority = mode == 'priorities' and arrival.is_long
                tasks.start_soon(
                    harness.send_to_engine, arrival, int(is_low_priority)
                )
        return harness.mode_result


def _prefill_rate_while_decoding(model: EngineModel) -> float:
    prefill_s = model.chunk_tokens / model.prefill_tokens_per_s
    return model.chunk_tokens / (prefill_s + model.decode_ms / MS_PER_S)


def _body(arrival: Arrival) -> bytes:
    text = f'{arrival.name} '
    return text.ljust(arrival.tokens * BYTES_PER_TOKEN, 'x').encode()


def _timeout_ms(arrival: Arrival) -> int:
    return LONG_TIMEOUT_MS if arrival.is_long else SHORT_TIMEOUT_MS


@cli.default
def main(seed: int = 1, seconds: float = 30, mode: str = '') -> None:
    """Run one mode, or all one after another, and print a table."""
    arrivals = plan_arrivals(seed, seconds, EngineModel())
    print('| mode | short p50 ms | short p95 ms | short done', end='')
    print(' | long p95 ms | long done |')
    print('|---|---|---|---|---|---|')
    for selected in MODES:
        if mode in ('', selected):
            print(
                anyio.run(measure, selected, arrivals).format_row(selected),
                flush=True,
            )


if __name__ == '__main__':
    cli()
