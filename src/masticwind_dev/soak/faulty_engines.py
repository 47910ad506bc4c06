"""Endpoints with faulty answers, in changing spans of time.

An endpoint is sound, writes bytes without end, writes earlier answers once
more before failures, or falls silent and goes on. It answers orders too.
"""

import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.budget import MS_PER_S
from masticwind_dev.soak.faulty_records import EndlessSpan, FaultyRecords, Run
from masticwind_dev.soak.stop_engines import Work, decode_work, is_for
from masticwind_dev.soak.stop_records import SERVER_ERROR
from masticwind_dev.standins.endless import (
    DRIPPING,
    FAST,
    EndlessForm,
    Rate,
    encode_endless,
)
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
)

ORDER_PATH: Final = '/-/order'
ORDER_ANSWER: Final = b'{"available":1000}'
SPAN_S: Final = (0.8, 3.0)
SILENCE_S: Final = (0.8, 1.6)
FAILURE_SHARES: Final = (0.35, 0.6)
COPY_SHARE: Final = 0.8
CUT_SHARE: Final = 0.7
ENDLESS_SHARE: Final = 0.7
# Copies of longer answers are cut off here.
MAX_COPY_BYTES: Final = 65_536


class Mode(StrEnum):
    """What an endpoint does in a span of time."""

    SOUND = 'sound'
    ENDLESS = 'endless'
    COPIES = 'copies'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class Behaviour:
    """The faults of one span of time."""

    mode: Mode = Mode.SOUND
    form: EndlessForm = EndlessForm.CHUNKS
    rate: Rate = FAST
    failure_share: float = 0


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The seed of a run, and what its endpoints do, one mode in each span."""

    seed: int
    modes: tuple[Mode, ...]
    forms: tuple[EndlessForm, ...] = tuple(EndlessForm)


def draw_behaviour(
    rng: random.Random, plan: FaultPlan, *, always_ends: bool
) -> Behaviour:
    """Draw the faults of a span of time."""
    mode = rng.choice(plan.modes)
    if always_ends and mode is Mode.ENDLESS:
        mode = Mode.SOUND
    return Behaviour(
        mode,
        rng.choice(plan.forms),
        rng.choice((FAST, FAST, DRIPPING)),
        rng.uniform(*FAILURE_SHARES),
    )


class FaultyEndpoint:
    """An endpoint whose answers are faulty in changing spans.

    One with `always_ends` writes no bytes without end, so that a service is
    never without an endpoint.
    """

    def __init__(
        self,
        name: str,
        service: str,
        records: FaultyRecords,
        plan: FaultPlan,
        *,
        always_ends: bool,
    ) -> None:
        self.identity: Final = name
        self._service: Final = service
        self._records: Final = records
        self._always_ends: Final = always_ends
        self._plan: Final = plan
        self._random: Final = random.Random(f'{plan.seed}-{name}')
        self._span_random: Final = random.Random(f'{plan.seed}-spans-{name}')
        self._server: Final = RawEndpoint(self._answer)
        self._behaviour = Behaviour()
        self._silent_until = 0.0
        self._run_count = 0
        # The last answer of each connection, by its number.
        self._last_answers: Final[dict[int, bytes]] = {}

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening."""
        await tasks.start(self._server.run)

    def registration(self) -> bytes:
        """Return the encoded registration for the store."""
        return json.dumps(
            {
                'service': self._service,
                'addr': f'127.0.0.1:{self._server.port}',
                'zone': 'zone-a',
                'slots': 16,
                'state': 'ready',
                'born': 1,
            }
        ).encode()

    async def change(self) -> None:
        """Change the faults again and again until cancelled."""
        while True:
            behaviour = draw_behaviour(
                self._span_random,
                self._plan,
                always_ends=self._always_ends,
            )
            span_s = self._span_random.uniform(*SPAN_S)
            if behaviour.mode is Mode.SILENT:
                span_s = self._span_random.uniform(*SILENCE_S)
                self._silent_until = time.monotonic() + span_s
            self._behaviour = behaviour
            await anyio.sleep(span_s)
            if behaviour.mode is Mode.SILENT:
                self._behaviour = Behaviour()
                await anyio.sleep(self._span_random.uniform(*SPAN_S))

    async def _answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        if req.target == ORDER_PATH:
            await self._answer_order(req, conn)
            return
        if not is_for(self.identity, req):
            head = ('X-Not-Executed: 1', 'Content-Length: 0')
            await conn.write(encode_head(req, 421, head))
            return
        self._run_count += 1
        run = Run(
            self.identity,
            time.monotonic(),
            seal=f'{self.identity}.{self._run_count}',
        )
        request_id = req.headers['x-attempt-id']
        self._records.runs.setdefault(request_id, []).append(run)
        self._records.executions.setdefault(request_id, []).append(run)
        try:
            await self._run(req, conn, run)
        finally:
            run.ended_at = time.monotonic()

    async def _answer_order(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        behaviour = self._behaviour
        if behaviour.mode is Mode.ENDLESS:
            lines = ('Content-Type: application/json',)
            await self._write_endless(conn, behaviour, lines, 'order')
        await self._end_silence()
        await conn.send_answer(req, body=ORDER_ANSWER)

    async def _run(
        self, req: ReceivedRequest, conn: RawConnection, run: Run
    ) -> None:
        behaviour = self._behaviour
        draw = self._random.random()
        if behaviour.mode is Mode.ENDLESS and draw < ENDLESS_SHARE:
            run.fault = f'endless {behaviour.form}'
            run.status = 200
            lines = _identify(req, run)
            subject = req.headers['x-attempt-id']
            await self._write_endless(conn, behaviour, lines, subject)
        run.status = 200
        if behaviour.mode is Mode.COPIES:
            if draw < behaviour.failure_share:
                run.status = SERVER_ERROR
            await self._write_copy(req, conn, run)
        written = bytearray()
        for pause_s, content in _answer_steps(req, run):
            await anyio.sleep(pause_s)
            await self._end_silence()
            await conn.write(content)
            written += content
        run.is_whole = True
        run.is_sound = not run.fault and run.status < SERVER_ERROR
        self._last_answers[req.connection_number] = bytes(written)

    async def _write_copy(
        self, req: ReceivedRequest, conn: RawConnection, run: Run
    ) -> None:
        """Write the last answer of a connection once more, or a part of it."""
        copy = self._last_answers.get(req.connection_number, b'')
        if not copy or self._random.random() >= COPY_SHARE:
            return
        copy = copy[:MAX_COPY_BYTES]
        if self._random.random() < CUT_SHARE:
            copy = copy[: self._random.randrange(1, len(copy) + 1)]
        run.fault = f'copy of {len(copy)} bytes'
        self._records.faults['copy'] += 1
        await conn.write(copy)

    async def _write_endless(
        self,
        conn: RawConnection,
        behaviour: Behaviour,
        lines: tuple[str, ...],
        subject: str,
    ) -> None:
        form = behaviour.form
        rate = DRIPPING if subject == 'order' else behaviour.rate
        begun_at = time.monotonic()
        name = 'order' if subject == 'order' else 'endless'
        self._records.faults[f'{name} {form}'] += 1
        try:
            await encode_endless(form, lines, rate).write(conn, rate)
        finally:
            self._records.endless.append(
                EndlessSpan(
                    self.identity, form, subject, begun_at, time.monotonic()
                )
            )

    async def _end_silence(self) -> None:
        while time.monotonic() < self._silent_until:
            await anyio.sleep(max(0, self._silent_until - time.monotonic()))


def _identify(req: ReceivedRequest, run: Run) -> tuple[str, ...]:
    """Return the header lines of a run."""
    request_id = req.headers['x-attempt-id']
    return (f'X-Attempt-Id: {request_id}', f'X-Server-Seal: {run.seal}')


def _encode_run_head(
    req: ReceivedRequest, run: Run, lines: tuple[str, ...]
) -> bytes:
    status_line = f'HTTP/1.1 {run.status} Answer'
    return '\r\n'.join(
        (status_line, *_identify(req, run), *lines, '', '')
    ).encode()


def _answer_steps(
    req: ReceivedRequest, run: Run
) -> Iterator[tuple[float, bytes]]:
    """Return what a run writes, with the time before each step."""
    work = decode_work(req.target)
    request_id = req.headers['x-attempt-id']
    duration_s = work.duration_ms / MS_PER_S
    if work.kind != 'chat' or run.status >= SERVER_ERROR:
        text = f'status {run.status} of {request_id} with {run.seal}'
        run.body = text.encode()
        length = f'Content-Length: {len(run.body)}'
        yield duration_s, _encode_run_head(req, run, (length,)) + run.body
        return
    run.body = work.expected_body(request_id)
    lines = ('Content-Type: text/event-stream', 'Transfer-Encoding: chunked')
    yield 0, _encode_run_head(req, run, lines)
    yield from _event_steps(req, work)


def _event_steps(
    req: ReceivedRequest, work: Work
) -> Iterator[tuple[float, bytes]]:
    first_event = int(req.headers.get('last-event-id', '0')) + 1
    interval_s = work.duration_ms / MS_PER_S / work.event_count
    for number in range(first_event, work.event_count + 1):
        request_id = req.headers['x-attempt-id']
        yield interval_s, encode_event_chunk(number, request_id)
    yield 0, LAST_CHUNK
