"""Callers of a soak of planned stops, on sockets of their own.

A caller keeps its connection until an answer announces its close, and goes on
until the process is gone. It records how each request ended: a complete
answer, a regular close, a reset, or none of these within its time budget.
"""

import itertools
import random
import socket
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from masticwind.budget import MS_PER_S
from masticwind_dev.soak.environment import HOST, PERMANENT_KEY
from masticwind_dev.soak.stop_engines import Work
from masticwind_dev.soak.stop_records import (
    SERVER_ERROR,
    Ending,
    Instance,
    SentRequest,
    StopRecords,
)

TIME_BUDGET_MS: Final = 10_000
ANSWER_GRACE_S: Final = 0.7
RECONNECT_INTERVAL_S: Final = 0.02
MAX_READ_BYTES: Final = 65_536
SLOW_RECEIVE_BUFFER_BYTES: Final = 65_536
SLOW_BODY_BYTES: Final = 600_000
# More than any whole answer has; the rest is read and dropped.
MAX_BODY_BYTES: Final = 2_000_000
MAX_READ_DELAY_S: Final = 1.0
MIN_DURATION_MS: Final = 50
PROMPT_TOKENS: Final = 900
# Parts into which the bytes of a request are split.
SPLIT_PARTS: Final = 3
PIPELINED_REQUESTS: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadShape:
    """The load of each caller of a run.

    Shares of requests: those that are sent in parts with pauses between them,
    and those that another one follows before their answer. Shares of
    connections: those that are silent after they were opened, and those whose
    caller asks for large answers and reads late.
    """

    callers: int = 8
    max_pause_s: float = 0.1
    max_duration_ms: int = 5000
    split_share: float = 0.1
    silent_share: float = 0.1
    pipelined_share: float = 0.05
    slow_share: float = 0.05
    max_split_pause_s: float = 1.0


@dataclass(slots=True)
class Exchange:
    """A request, its encoded bytes, and the parser of its answer.

    `read_delay_s` is the time between the head of the answer and the rest.
    """

    req: SentRequest
    work: Work
    sent_bytes: bytes
    parser: h11.Connection
    read_delay_s: float = 0
    body: bytearray = field(default_factory=bytearray)
    head: h11.Response | None = None

    @property
    def announces_close(self) -> bool:
        """Whether the answer says that its connection will be closed."""
        if self.head is None:
            return True
        return (b'connection', b'close') in self.head.headers


class PersistentCaller:
    """Sends random requests to one entry until cancelled."""

    def __init__(
        self,
        name: str,
        seed: int,
        records: StopRecords,
        shape: LoadShape,
    ) -> None:
        self._name: Final = name
        self._records: Final = records
        self._shape: Final = shape
        self._random: Final = random.Random(f'{seed}-{name}')
        self._sequence: Final = itertools.count(1)

    async def run_once(self, instance: Instance) -> None:
        """Open a connection and use it until it is closed."""
        try:
            stream = await anyio.connect_tcp('127.0.0.1', instance.port)
        except OSError:
            await anyio.sleep(RECONNECT_INTERVAL_S)
            return
        is_slow = self._random.random() < self._shape.slow_share
        async with stream:
            if is_slow:
                _limit_receive_buffer(stream)
            if self._random.random() < self._shape.silent_share:
                await self._pause(self._shape.max_split_pause_s)
            while await self._exchange_once(stream, instance, is_slow=is_slow):
                await self._pause(self._shape.max_pause_s)

    async def _exchange_once(
        self, stream: SocketStream, instance: Instance, *, is_slow: bool
    ) -> bool:
        """Send one or more requests; return whether the connection is kept."""
        count = 1
        if self._random.random() < self._shape.pipelined_share:
            count = PIPELINED_REQUESTS
        exchanges = [
            self._new_exchange(instance, is_slow=is_slow) for _ in range(count)
        ]
        # The answer may come before the end of a request that is sent slowly.
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, stream, exchanges)
            is_kept = await read_answers(stream, exchanges)
            if not is_kept:
                tasks.cancel_scope.cancel()
        return is_kept

    async def _send(
        self, stream: SocketStream, exchanges: Sequence[Exchange]
    ) -> None:
        for exchange in exchanges:
            try:
                await self._send_bytes(stream, exchange.sent_bytes)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            exchange.req.sent_at = time.monotonic()

    async def _send_bytes(self, stream: SocketStream, content: bytes) -> None:
        """Send a request, some of them in parts with pauses between them."""
        if self._random.random() >= self._shape.split_share:
            await stream.send(content)
            return
        cuts = sorted(
            self._random.randrange(1, len(content))
            for _ in range(SPLIT_PARTS - 1)
        )
        start = 0
        for cut in cuts:
            await stream.send(content[start:cut])
            await self._pause(self._shape.max_split_pause_s)
            start = cut
        await stream.send(content[start:])

    async def _pause(self, max_s: float) -> None:
        await anyio.sleep(self._random.uniform(0, max_s))

    def _new_exchange(self, instance: Instance, *, is_slow: bool) -> Exchange:
        request_id = f'{instance.name}.{self._name}.{next(self._sequence)}'
        exchange = new_exchange(
            request_id, instance, self._new_work(is_slow=is_slow)
        )
        if is_slow:
            exchange.read_delay_s = self._random.uniform(0, MAX_READ_DELAY_S)
        self._records.requests.append(exchange.req)
        return exchange

    def _new_work(self, *, is_slow: bool) -> Work:
        ratio = self._shape.max_duration_ms / MIN_DURATION_MS
        duration_ms = int(MIN_DURATION_MS * ratio ** self._random.random())
        if is_slow:
            return Work('read', duration_ms, SLOW_BODY_BYTES)
        kind = self._random.choice(('chat', 'chat', 'read', 'order'))
        return Work(kind, duration_ms)


def new_exchange(
    request_id: str,
    instance: Instance,
    work: Work,
    prompt_tokens: int = PROMPT_TOKENS,
) -> Exchange:
    """Return a request that is about to be sent, with its encoded bytes."""
    now = time.monotonic()
    req = SentRequest(
        request_id=request_id,
        kind=work.kind,
        instance=instance,
        begun_at=now,
        deadline_at=now + TIME_BUDGET_MS / MS_PER_S,
    )
    parser = h11.Connection(h11.CLIENT)
    content = _encode(req, work, prompt_tokens, parser)
    return Exchange(req, work, content, parser)


async def read_answers(
    stream: SocketStream, exchanges: Sequence[Exchange]
) -> bool:
    """Read the answers in order; return whether the connection is kept."""
    received = b''
    is_kept = True
    for exchange in exchanges:
        exchange.req.follows_close = not is_kept
        received = await _read_answer(stream, exchange, received)
        if exchange.req.ending in {Ending.TIMED_OUT, Ending.MALFORMED}:
            return False
        is_kept = is_kept and (
            exchange.req.ending is Ending.ANSWERED
            and not exchange.announces_close
        )
    return is_kept


async def _read_answer(
    stream: SocketStream, exchange: Exchange, received: bytes
) -> bytes:
    """Read one answer; return what was received beyond it."""
    req = exchange.req
    timeout_s = req.deadline_at + ANSWER_GRACE_S - time.monotonic()
    req.ending = Ending.TIMED_OUT
    with anyio.move_on_after(max(0, timeout_s)):
        try:
            req.ending = await _receive_answer(stream, exchange, received)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            req.ending = Ending.RESET
    req.ended_at = time.monotonic()
    if req.ending is not Ending.ANSWERED or exchange.head is None:
        return b''
    body = bytes(exchange.body)
    req.status = exchange.head.status_code
    req.is_body_right = body == exchange.work.expected_body(req.request_id)
    req.is_bare_error = (
        req.status == SERVER_ERROR and body == b'Internal Server Error'
    )
    return exchange.parser.trailing_data[0]


def _limit_receive_buffer(stream: SocketStream) -> None:
    # anyio raises one of these if the entry has already closed the connection.
    with suppress(OSError, AttributeError, anyio.TypedAttributeLookupError):
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
        )


async def _receive_answer(
    stream: SocketStream, exchange: Exchange, received: bytes
) -> Ending:
    parser = exchange.parser
    if received:
        parser.receive_data(received)
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return Ending.MALFORMED
        if event is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                return Ending.ANSWERED
            _record_part(exchange, event)
            if isinstance(event, h11.Response):
                await anyio.sleep(exchange.read_delay_s)
            continue
        try:
            parser.receive_data(await stream.receive(MAX_READ_BYTES))
        except anyio.EndOfStream:
            return Ending.CLOSED


def _record_part(exchange: Exchange, event: object) -> None:
    if isinstance(event, h11.Response):
        exchange.head = event
    elif isinstance(event, h11.Data) and len(exchange.body) < MAX_BODY_BYTES:
        exchange.body += event.data


def _encode(
    req: SentRequest, work: Work, prompt_tokens: int, parser: h11.Connection
) -> bytes:
    body = b'stop' * 8
    headers = [
        ('Host', HOST),
        ('X-Attempt-Id', req.request_id),
        ('X-Deadline-Ms', str(TIME_BUDGET_MS)),
        ('Authorization', f'Bearer {PERMANENT_KEY}'),
        ('Content-Length', str(len(body))),
    ]
    if work.kind == 'chat':
        counts = f'{prompt_tokens},{work.duration_ms}'
        headers.append(('X-Token-Counts', counts))
    head = parser.send(
        h11.Request(method='POST', target=work.path, headers=headers)
    )
    parts = (head, parser.send(h11.Data(data=body)))
    end = parser.send(h11.EndOfMessage())
    return b''.join(part for part in (*parts, end) if part)
