"""Measures short requests beside long ones at one engine stand-in.

The same arrivals run in four ways: the short requests alone, everything
through the agent, everything with engine priorities alone, and everything
without any bound. Run it with

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
MAX_MS: Final = 600_000
# A full chunk and one decode step give the engine's rate under load.
LOAD: Final = 0.8
LONG_SHARE: Final = 0.5
SHORT_TOKENS: Final = (1000, 4000)
LONG_TOKENS: Final = (50_000, 350_000)
SHORT_OUTPUT: Final = 16
SHORT_TIMEOUT_MS: Final = 10_000
LONG_TIMEOUT_MS: Final = 30_000
WARM_REQUESTS: Final = 200
BYTES_PER_TOKEN: Final = 4

cli = cyclopts.App(name='short-beside-long', help=__doc__)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the workload; `at` in seconds from the start."""

    name: str
    at: float
    tokens: int
    long: bool


@dataclass(slots=True)
class Result:
    """Times to first token in ms, and what became of the requests."""

    short_ms: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_MS, 3),
    )
    long_ms: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_MS, 3),
    )
    shorts: int = 0
    shorts_done: int = 0
    longs: int = 0
    longs_done: int = 0

    def first_token(self, arrival: Arrival, seconds: float) -> None:
        """Record a time to first token."""
        histogram = self.long_ms if arrival.long else self.short_ms
        histogram.record_value(max(1, round(seconds * MS_PER_S)))

    def ended(self, arrival: Arrival, *, done: bool) -> None:
        """Record an end."""
        if arrival.long:
            self.longs += 1
            self.longs_done += done
        else:
            self.shorts += 1
            self.shorts_done += done

    def row(self, mode: Mode) -> str:
        """Return a table row."""
        short, long_ms = self.short_ms, self.long_ms
        return (
            f'| {mode} | {short.get_value_at_percentile(50)}'
            f' | {short.get_value_at_percentile(95)}'
            f' | {self.shorts_done}/{self.shorts}'
            f' | {long_ms.get_value_at_percentile(95)}'
            f' | {self.longs_done}/{self.longs} |'
        )


class _Waiter(Channel):
    """The entry's end of one request."""

    def __init__(self) -> None:
        self.first: float | None = None
        self.done = False
        self.over = anyio.Event()

    def send(self, message: Message) -> bool:
        if isinstance(message, Output) and self.first is None:
            self.first = anyio.current_time()
        if isinstance(message, End | Refused):
            self.done = not message.kind
            self.over.set()
        return True


def arrivals(seed: int, seconds: float, model: EngineModel) -> list[Arrival]:
    """Return Poisson arrivals of both lengths at 80% load."""
    rng = random.Random(seed)
    rate = LOAD * _full_rate(model)
    found: list[Arrival] = []
    for kind, sizes, share in (
        ('short', SHORT_TOKENS, 1 - LONG_SHARE),
        ('long', LONG_TOKENS, LONG_SHARE),
    ):
        per_s = rate * share / (sum(sizes) / 2)
        at = rng.expovariate(per_s)
        while at < seconds:
            name = f'{kind}-{len(found)}'
            tokens = rng.randint(*sizes)
            found.append(Arrival(name, at, tokens, kind == 'long'))
            at += rng.expovariate(per_s)
    return sorted(found, key=lambda one: one.at)


@dataclass(frozen=True, slots=True)
class _Bed:
    engine: HttpEngine
    executor: Executor
    outcome: Result

    async def through_agent(self, arrival: Arrival) -> None:
        channel = _Waiter()
        started = anyio.current_time()
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
                max_tokens=SHORT_OUTPUT,
                timeout_ms=_timeout_ms(arrival),
                generation=1,
                body_bytes=len(body),
                body=body,
            ),
        )
        await channel.over.wait()
        if channel.first is not None:
            self.outcome.first_token(arrival, channel.first - started)
        self.outcome.ended(arrival, done=channel.done)

    async def directly(self, arrival: Arrival, priority: int) -> None:
        started = anyio.current_time()
        done = False
        req = EngineRequest(
            request_id=f'{arrival.name}.0.0',
            model='standard',
            prompt=_body(arrival),
            prompt_tokens=arrival.tokens,
            max_tokens=SHORT_OUTPUT,
            priority=priority,
        )
        with anyio.move_on_after(_timeout_ms(arrival) / MS_PER_S):
            done = await self._read(arrival, req, started)
        if not done:
            await self.engine.cancel(req.request_id)
        self.outcome.ended(arrival, done=done)

    async def _read(
        self,
        arrival: Arrival,
        req: EngineRequest,
        started: float,
    ) -> bool:
        async with self.engine.generate(req) as events:
            async for event in events:
                if isinstance(event, Done):
                    return True
                if isinstance(event, Failure):
                    print(f'{arrival.name}: {event.reason}')
                    return False
                if not event.offset:
                    spent = anyio.current_time() - started
                    self.outcome.first_token(arrival, spent)
        return False


@asynccontextmanager
async def _bed() -> AsyncIterator[_Bed]:
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
        for _ in range(WARM_REQUESTS):
            executor.ramp.record_completion()
        yield _Bed(engine, executor, Result())
        tasks.cancel_scope.cancel()


async def measure(mode: Mode, work: list[Arrival]) -> Result:
    """Run the workload in one way."""
    async with _bed() as bed:
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for arrival in work:
                if arrival.long and mode == 'alone':
                    continue
                await anyio.sleep_until(started + arrival.at)
                if mode in ('alone', 'agent'):
                    tasks.start_soon(bed.through_agent, arrival)
                    continue
                prefers_short = mode == 'priorities' and arrival.long
                tasks.start_soon(bed.directly, arrival, int(prefers_short))
        return bed.outcome


def _full_rate(model: EngineModel) -> float:
    prefill_s = model.chunk_tokens / model.prefill_tokens_per_s
    return model.chunk_tokens / (prefill_s + model.decode_ms / MS_PER_S)


def _body(arrival: Arrival) -> bytes:
    text = f'{arrival.name} '
    return text.ljust(arrival.tokens * BYTES_PER_TOKEN, 'x').encode()


def _timeout_ms(arrival: Arrival) -> int:
    return LONG_TIMEOUT_MS if arrival.long else SHORT_TIMEOUT_MS


@cli.default
def main(seed: int = 1, seconds: float = 30, mode: str = '') -> None:
    """Run all ways one after another, or one, and print a table."""
    work = arrivals(seed, seconds, EngineModel())
    print('| way | short p50 ms | short p95 ms | shorts done', end='')
    print(' | long p95 ms | longs done |')
    print('|---|---|---|---|---|---|')
    for one in MODES:
        if mode in ('', one):
            print(anyio.run(measure, one, work).row(one), flush=True)


if __name__ == '__main__':
    cli()
