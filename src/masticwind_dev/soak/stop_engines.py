"""Endpoints of a soak of planned stops, and what they are asked for.

A request names the duration and the size of its answer in its path, so that
callers know the complete answer. Endpoints may be slower than that.
"""

import json
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import TaskGroup

from masticwind.budget import MS_PER_S
from masticwind_dev.soak.stop_records import StopRecords
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)

EVENT_INTERVAL_MS: Final = 50
MIN_EVENTS: Final = 2


@dataclass(frozen=True, slots=True)
class Work:
    """What a request asks for; encoded in its path."""

    kind: str
    duration_ms: int
    body_bytes: int = 0

    @property
    def path(self) -> str:
        """Path of the request."""
        return f'/{self.kind}/{self.duration_ms}/{self.body_bytes}'

    @property
    def event_count(self) -> int:
        """Number of events of a streamed answer."""
        return max(MIN_EVENTS, self.duration_ms // EVENT_INTERVAL_MS)

    def expected_body(self, request_id: str) -> bytes:
        """Return the complete body of the answer."""
        if self.kind != 'chat':
            return f'body of {request_id}'.encode().ljust(self.body_bytes, b'.')
        events = [
            f'id: {number}\ndata: {request_id}\n\n'
            for number in range(1, self.event_count + 1)
        ]
        return ''.join(events).encode()


# Kind, duration and size, each behind a slash.
PATH_PARTS: Final = 3


def decode_work(path: str) -> Work:
    """Decode the path of a request."""
    _, kind, duration_ms, body_bytes = path.split('/')
    return Work(kind, int(duration_ms), int(body_bytes))


def is_for(identity: str, req: ReceivedRequest) -> bool:
    """Tell whether a request is for an endpoint of this run.

    An entry of another run may still know the port, and the same identity.
    """
    expected = req.headers.get('x-expect-instance', '')
    return expected == identity and req.target.count('/') == PATH_PARTS


@dataclass(frozen=True, slots=True)
class EngineBehaviour:
    """How slow an endpoint is, and the share of answers that it breaks off.

    It is silent for `silence_s` before the last event of some streams, a share
    of `silence_share`.
    """

    slowness: float = 1
    break_share: float = 0
    silence_s: float = 0
    silence_share: float = 1


class EngineObserver:
    """Sees the requests of endpoints, and may refuse them.

    This one refuses none and adds nothing to answers.
    """

    def record_request(self, endpoint: str, request_id: str) -> None:
        """Record that a request reaches an endpoint."""

    def refuse(self, endpoint: str, request_id: str) -> Sequence[str]:
        """Return the headers of a refusal, or none to run the request."""
        return ()

    def headers(self, endpoint: str) -> Sequence[str]:
        """Return additional headers of an answer."""
        return ()

    def record_answer(
        self, endpoint: str, request_id: str, headers: Sequence[str]
    ) -> None:
        """Record that an answer with these headers has been written."""

    def record_suspension(self, instance: str) -> None:
        """Record that a process of an entry is suspended."""


class StopEndpoint:
    """An endpoint stand-in that records each request it receives."""

    def __init__(
        self,
        name: str,
        service: str,
        records: StopRecords,
        behaviour: EngineBehaviour,
        observer: EngineObserver,
    ) -> None:
        self.name: Final = name
        self._generation = 0
        self._service: Final = service
        self._records: Final = records
        self._behaviour: Final = behaviour
        self._observer: Final = observer
        self._random: Final = random.Random(name)
        self._server: Final = RawEndpoint(self._answer)

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening."""
        await tasks.start(self._server.run)

    @property
    def identity(self) -> str:
        """Name of the process that serves now."""
        return f'{self.name}-{self._generation}'

    def replace_process(self) -> None:
        """Go on as another process at the same address."""
        self._generation += 1

    def registration(self, *, leaving: bool = False) -> bytes:
        """Return the encoded registration for the store."""
        return json.dumps(
            {
                'service': self._service,
                'addr': f'127.0.0.1:{self._server.port}',
                'zone': 'zone-a',
                'slots': 16,
                'state': 'draining' if leaving else 'ready',
                'born': self._generation + 1,
            }
        ).encode()

    async def _answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        identity = self.identity
        if not is_for(identity, req):
            head = ('X-Not-Executed: 1', 'Content-Length: 0')
            await conn.write(encode_head(req, 421, head))
            return
        request_id = req.headers['x-attempt-id']
        self._observer.record_request(identity, request_id)
        headers = tuple(self._observer.headers(identity))
        refusal = tuple(self._observer.refuse(identity, request_id))
        if refusal:
            head = ('X-Not-Executed: 1', 'Content-Length: 0')
            await conn.write(encode_head(req, 503, (*head, *refusal, *headers)))
            return
        execution = self._records.begin_execution(
            request_id, identity, time.monotonic()
        )
        breaks_off = self._random.random() < self._behaviour.break_share
        try:
            await self._run(req, conn, headers, breaks_off=breaks_off)
        finally:
            execution.ended_at = time.monotonic()
        if breaks_off:
            execution.broken_off = True
            await conn.close()
            return
        self._observer.record_answer(identity, request_id, headers)

    async def _run(
        self,
        req: ReceivedRequest,
        conn: RawConnection,
        headers: tuple[str, ...],
        *,
        breaks_off: bool,
    ) -> None:
        work = decode_work(req.target)
        if work.kind == 'chat':
            await conn.write(encode_stream_head(req, headers))
            await self._stream(req, conn, work, breaks_off=breaks_off)
            return
        await anyio.sleep(self._duration_s(work))
        if breaks_off:
            return
        body = work.expected_body(req.headers['x-attempt-id'])
        await conn.send_answer(req, body=body, headers=headers)

    async def _stream(
        self,
        req: ReceivedRequest,
        conn: RawConnection,
        work: Work,
        *,
        breaks_off: bool,
    ) -> None:
        request_id = req.headers['x-attempt-id']
        first_event = int(req.headers.get('last-event-id', '0')) + 1
        interval_s = self._duration_s(work) / work.event_count
        silence_s = self._draw_silence_s()
        for number in range(first_event, work.event_count + 1):
            if breaks_off and number > first_event:
                return
            if number == work.event_count:
                await anyio.sleep(silence_s)
            await conn.write(encode_event_chunk(number, request_id))
            await anyio.sleep(interval_s)
        await conn.write(LAST_CHUNK)

    def _draw_silence_s(self) -> float:
        behaviour = self._behaviour
        if not behaviour.silence_s:
            return 0
        if self._random.random() >= behaviour.silence_share:
            return 0
        return behaviour.silence_s

    def _duration_s(self, work: Work) -> float:
        return work.duration_ms * self._behaviour.slowness / MS_PER_S
