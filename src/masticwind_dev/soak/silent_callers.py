"""Callers of a soak of silences; some of them leave before their answer."""

import itertools
import random
import time
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import SocketStream

from masticwind.budget import MS_PER_S
from masticwind_dev.soak.environment import EntryProcess
from masticwind_dev.soak.silent_records import SilentRecords
from masticwind_dev.soak.stop_callers import (
    RECONNECT_INTERVAL_S,
    Exchange,
    new_exchange,
    read_answers,
)
from masticwind_dev.soak.stop_engines import Work
from masticwind_dev.soak.stop_records import Ending, Instance

# Half of the streams are long enough to meet a silence.
LONG_STREAM_SHARE: Final = 0.5
LONG_STREAM_MS: Final = (1000, 3000)
MIN_DURATION_MS: Final = 50
BODY_BYTES: Final = 2000
BURST_S: Final = 1.0
BURST_PERIOD_S: Final = 3.0
KINDS: Final = ('chat', 'chat', 'chat', 'read', 'order')


@dataclass(frozen=True, slots=True, kw_only=True)
class SilentLoad:
    """The load of a run.

    Of the callers, `steady_callers` send all the time and the others in bursts,
    so that endpoints are at times free and at times full. `leave_share` is the
    share of requests whose caller closes its connection before the end.
    """

    callers: int = 8
    steady_callers: int = 4
    max_pause_s: float = 0.3
    leave_share: float = 0.08
    prompt_tokens: tuple[int, ...] = (900,)


class SilentCaller:
    """Sends random requests to one entry, on kept connections."""

    def __init__(
        self,
        number: int,
        seed: int,
        records: SilentRecords,
        load: SilentLoad,
    ) -> None:
        self._name: Final = f'c{number}'
        self._in_bursts: Final = number >= load.steady_callers
        self._records: Final = records
        self._load: Final = load
        self._random: Final = random.Random(f'{seed}-c{number}')
        self._sequence: Final = itertools.count(1)
        self._ends_at = 0.0

    async def run(self, entry: EntryProcess, ends_at: float) -> None:
        """Begin requests until `ends_at`."""
        self._ends_at = ends_at
        while time.monotonic() < ends_at:
            await anyio.sleep(RECONNECT_INTERVAL_S + self._pause_s())
            if entry.url:
                await self._run_connection(entry)

    async def _run_connection(self, entry: EntryProcess) -> None:
        port = int(entry.url.rpartition(':')[-1])
        instance = Instance(entry.name, entry.start_count, 0, port=port)
        try:
            stream = await anyio.connect_tcp('127.0.0.1', port)
        except OSError:
            return
        async with stream:
            while time.monotonic() < self._ends_at:
                if not await self._exchange_once(stream, instance):
                    return
                await anyio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return how long to wait before the next request."""
        pause_s = self._random.uniform(0, self._load.max_pause_s)
        if not self._in_bursts:
            return pause_s
        since_burst_s = (
            time.monotonic() - self._records.started_at
        ) % BURST_PERIOD_S
        if since_burst_s < BURST_S:
            return pause_s
        return BURST_PERIOD_S - since_burst_s

    async def _exchange_once(
        self, stream: SocketStream, instance: Instance
    ) -> bool:
        """Send a request; return whether the connection is kept."""
        work = self._new_work()
        request_id = f'{instance.name}.{self._name}.{next(self._sequence)}'
        leaves = self._random.random() < self._load.leave_share
        leave_s = self._random.uniform(0, work.duration_ms / MS_PER_S)
        exchange = new_exchange(
            request_id,
            instance,
            work,
            self._random.choice(self._load.prompt_tokens),
        )
        self._records.exchanges.append(exchange)
        try:
            await stream.send(exchange.sent_bytes)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            exchange.req.ended_at = time.monotonic()
            exchange.req.ending = Ending.RESET
            return False
        exchange.req.sent_at = time.monotonic()
        if not leaves:
            return await read_answers(stream, [exchange])
        return await self._leave_within(stream, exchange, leave_s)

    async def _leave_within(
        self, stream: SocketStream, exchange: Exchange, leave_s: float
    ) -> bool:
        with anyio.move_on_after(leave_s):
            return await read_answers(stream, [exchange])
        exchange.req.ended_at = time.monotonic()
        exchange.req.ending = Ending.LEFT
        return False

    def _new_work(self) -> Work:
        kind = self._random.choice(KINDS)
        ratio = LONG_STREAM_MS[0] / MIN_DURATION_MS
        duration_ms = int(MIN_DURATION_MS * ratio ** self._random.random())
        if kind != 'chat':
            return Work(kind, duration_ms, BODY_BYTES)
        if self._random.random() < LONG_STREAM_SHARE:
            duration_ms = self._random.randint(*LONG_STREAM_MS)
        return Work(kind, duration_ms)
