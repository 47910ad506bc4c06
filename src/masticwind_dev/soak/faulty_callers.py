"""Callers of a soak of faulty answers, on kept connections of their own."""

import itertools
import random
import time
from typing import Final

import anyio
from anyio.abc import SocketStream

from masticwind_dev.soak.callers import NOT_RUN_STATUSES
from masticwind_dev.soak.faulty_records import ROUTE_TIMEOUT_S, FaultyRecords
from masticwind_dev.soak.stop_callers import (
    RECONNECT_INTERVAL_S,
    Exchange,
    new_exchange,
    read_answers,
)
from masticwind_dev.soak.stop_engines import Work
from masticwind_dev.soak.stop_entries import StoppedEntry
from masticwind_dev.soak.stop_records import Ending, Instance

KINDS: Final = ('chat', 'read', 'read', 'order')
DURATION_MS: Final = (20, 400)
MAX_PAUSE_S: Final = 0.1
REFUSED_PAUSE_S: Final = 0.3
SHORT_PROMPT_TOKENS: Final = 900
# Needs memory that is reserved on another engine.
LONG_PROMPT_TOKENS: Final = 30_000
LONG_PROMPT_SHARE: Final = 0.1
# More of an answer is not kept once the answer has ended.
MAX_KEPT_BYTES: Final = 100_000


class FaultyCaller:
    """Sends random requests to one entry until cancelled."""

    def __init__(self, name: str, seed: int, records: FaultyRecords) -> None:
        self._name: Final = name
        self._records: Final = records
        self._random: Final = random.Random(f'{seed}-{name}')
        self._sequence: Final = itertools.count(1)

    async def run(self, entry: StoppedEntry) -> None:
        """Use one connection after the other."""
        while True:
            await anyio.sleep(RECONNECT_INTERVAL_S)
            if entry.instance is not None:
                await self._run_connection(entry.instance)

    async def _run_connection(self, instance: Instance) -> None:
        try:
            stream = await anyio.connect_tcp('127.0.0.1', instance.port)
        except OSError:
            return
        async with stream:
            while await self._exchange_once(stream, instance):
                await anyio.sleep(self._random.uniform(0, MAX_PAUSE_S))

    async def _exchange_once(
        self, stream: SocketStream, instance: Instance
    ) -> bool:
        """Send a request; return whether the connection is kept."""
        exchange = self._new_exchange(instance)
        req = exchange.req
        self._records.requests.append(req)
        self._records.exchanges.append(exchange)
        try:
            await stream.send(exchange.sent_bytes)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            req.ended_at = time.monotonic()
            req.ending = Ending.RESET
            return False
        req.sent_at = time.monotonic()
        # It waits longer than the route's timeout, so that late answers show.
        is_kept = await read_answers(stream, [exchange])
        req.deadline_at = req.begun_at + ROUTE_TIMEOUT_S
        if is_kept and exchange.parser.trailing_data[0]:
            self._records.extra_bytes.append(req.request_id)
        exchange.body = exchange.body[:MAX_KEPT_BYTES]
        if req.status in NOT_RUN_STATUSES:
            await anyio.sleep(self._random.uniform(0, REFUSED_PAUSE_S))
        return is_kept

    def _new_exchange(self, instance: Instance) -> Exchange:
        request_id = f'{instance.name}.{self._name}.{next(self._sequence)}'
        work = Work(
            self._random.choice(KINDS), self._random.randint(*DURATION_MS)
        )
        tokens = SHORT_PROMPT_TOKENS
        if self._random.random() < LONG_PROMPT_SHARE:
            tokens = LONG_PROMPT_TOKENS
        return new_exchange(request_id, instance, work, tokens)
