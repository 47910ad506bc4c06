"""Endpoints of a soak of silences: they write nothing for a while and go on."""

import json
import random
import time
from collections.abc import Iterator
from typing import Final

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from masticwind_dev.faults.proxy import TcpProxy
from masticwind_dev.soak.environment import EndpointFaults
from masticwind_dev.soak.silent_records import SilentRecords, step_durations_s
from masticwind_dev.soak.stop_engines import Work, decode_work, is_for
from masticwind_dev.soak.stop_records import Execution
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)

# An endpoint goes on for this long at least before its next silence.
MIN_SOUND_S: Final = 1.0
SPLIT_EVENT_SHARE: Final = 0.2
# The steps of an answer that is broken off.
TRUNCATED_STEPS: Final = 2
NOT_EXECUTED: Final = ('X-Not-Executed: 1', 'Content-Length: 0')


class SilentEndpoint:
    """An endpoint stand-in behind a proxy that falls silent and goes on."""

    def __init__(
        self,
        name: str,
        service: str,
        records: SilentRecords,
        seed: int,
        slots: int,
    ) -> None:
        self.name: Final = name
        self.service: Final = service
        self.faults = EndpointFaults()
        self._records: Final = records
        self._random: Final = random.Random(f'{seed}-{name}')
        self._seed: Final = seed
        self._slots: Final = slots
        self._server: Final = RawEndpoint(self._answer)
        self._proxy: TcpProxy | None = None
        self._silent_until = 0.0

    @property
    def proxy(self) -> TcpProxy:
        """The proxy through which all entries reach this endpoint."""
        assert self._proxy is not None
        return self._proxy

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening and start the proxy."""
        await tasks.start(self._server.run)
        self._proxy = TcpProxy('127.0.0.1', self._server.port, self._seed)
        tasks.start_soon(self._proxy.run)

    def registration(self, *, leaving: bool = False) -> bytes:
        """Return the encoded registration for the store."""
        return json.dumps(
            {
                'service': self.service,
                'addr': f'127.0.0.1:{self.proxy.port}',
                'zone': 'zone-a',
                'slots': self._slots,
                'state': 'draining' if leaving else 'ready',
                'born': 1,
            }
        ).encode()

    def fall_silent(self, duration_s: float) -> None:
        """Write nothing for a while, unless the last silence is recent."""
        now = time.monotonic()
        if now < self._silent_until + MIN_SOUND_S:
            return
        self._silent_until = now + duration_s
        self._records.silences.add(self.name, now, self._silent_until)

    async def _answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        if not is_for(self.name, req):
            await conn.write(encode_head(req, 421, NOT_EXECUTED))
            return
        if self._random.random() < self.faults.refusal_share:
            await self._end_silence()
            await conn.write(encode_head(req, 503, NOT_EXECUTED))
            return
        execution = self._records.begin_execution(
            req.headers['x-attempt-id'], self.name, time.monotonic()
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_watch_close, conn, tasks.cancel_scope)
                await self._run(req, conn, execution)
                tasks.cancel_scope.cancel()
        finally:
            execution.ended_at = time.monotonic()

    async def _run(
        self, req: ReceivedRequest, conn: RawConnection, execution: Execution
    ) -> None:
        is_truncated = self._random.random() < self.faults.truncation_share
        work = decode_work(req.target)
        written = 0
        try:
            for duration_s, content in _answer_steps(req, work):
                await anyio.sleep(duration_s)
                await self._write(conn, content)
                written += 1
                if is_truncated and written == TRUNCATED_STEPS:
                    execution.broken_off = True
                    await conn.close()
                    return
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            conn.closed = True

    async def _write(self, conn: RawConnection, content: bytes) -> None:
        """Write bytes when the endpoint is not silent, sometimes in two."""
        if self._random.random() < SPLIT_EVENT_SHARE and len(content) > 1:
            cut = self._random.randrange(1, len(content))
            await self._end_silence()
            await conn.write(content[:cut])
            await checkpoint()
            content = content[cut:]
        await self._end_silence()
        await conn.write(content)

    async def _end_silence(self) -> None:
        while time.monotonic() < self._silent_until:
            await anyio.sleep(max(0, self._silent_until - time.monotonic()))


def _answer_steps(
    req: ReceivedRequest, work: Work
) -> Iterator[tuple[float, bytes]]:
    """Return what an endpoint writes, with the time before each step."""
    request_id = req.headers['x-attempt-id']
    durations_s = step_durations_s(work)
    if work.kind != 'chat':
        body = work.expected_body(request_id)
        middle = len(body) // 2
        head = encode_head(req, 200, (f'Content-Length: {len(body)}',))
        yield next(durations_s), head + body[:middle]
        yield next(durations_s), body[middle:]
        return
    yield 0, encode_stream_head(req)
    first_event = int(req.headers.get('last-event-id', '0')) + 1
    for number, duration_s in enumerate(durations_s, 1):
        if number >= first_event:
            yield duration_s, encode_event_chunk(number, request_id)
    yield 0, LAST_CHUNK


async def _watch_close(conn: RawConnection, scope: anyio.CancelScope) -> None:
    """End the work when the caller of an endpoint closes its connection."""
    try:
        received = await conn.stream.receive(1)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        conn.closed = True
        scope.cancel()
        return
    assert not received, 'a request came before the end of the last answer'
