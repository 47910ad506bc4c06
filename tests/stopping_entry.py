"""A real entry process that is stopped while stand-in engines serve it."""

import math
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final

import anyio
import msgspec
import yaml
from anyio.abc import SocketStream, TaskGroup

from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.standins.metadata import MetadataStandin
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    RawEndpoint,
    ReceivedRequest,
    Script,
    encode_event,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)
from tests.entry_harness import (
    API_KEY,
    CALL_SERVICE,
    ENGINE_SERVICE,
    HOST,
    free_tcp_port,
    free_udp_port,
    registration_json,
    sample_config_document,
)

ROOT: Final = Path(__file__).parents[1]
START_TIMEOUT_S: Final = 20.0
EVENT_INTERVAL_S: Final = 0.05
READ_BYTES: Final = 65_536


@dataclass
class CallerAnswer:
    """What a caller has received on its connection until it was closed."""

    content: bytes = b''

    @property
    def status(self) -> int:
        """The status of the answer, zero without an answer."""
        if not self.content.startswith(b'HTTP/1.1 '):
            return 0
        return int(self.content.split(b' ', 2)[1])

    @property
    def is_complete(self) -> bool:
        """Whether the answer has arrived to its end."""
        head, separator, body = self.content.partition(b'\r\n\r\n')
        if not separator:
            return False
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                return len(body) == int(line.partition(b':')[2])
        return body.endswith(LAST_CHUNK)


@dataclass
class StoppingEntry:
    """The entry process, its store and its engines.

    Engines stream for `stream_s` and answer calls after `call_s`, both without
    the time of `silences`, during which they write nothing: each has its begin
    and its end on the monotonic clock. Streams that began before `broken_at`
    are broken off then. `stream_fields` are further header fields of streams,
    which end with their connection if they are not `framed`.
    Requests whose id begins with `faulty` are answered by `fault`. `program`
    has the arguments of the interpreter.
    """

    store: MetadataStandin
    store_port: int
    settings_path: Path
    log_path: Path
    port: int
    peer_port: int
    reserved_port: socket.socket
    popen: 'subprocess.Popen[bytes] | None' = None
    stream_s: float = 0.3
    call_s: float = 0.0
    silences: list[tuple[float, float]] = field(default_factory=list)
    broken_at: float = math.inf
    call_body: bytes = b'done'
    stream_fields: tuple[str, ...] = ()
    framed: bool = True
    received: list[str] = field(default_factory=list)
    fault: Script | None = None
    memory_mb: float = 232
    program: tuple[str, ...] = (str(ROOT / 'src/masticwind_platform.py'),)
    ready_port: int = 0
    metrics_port: int = 0

    @property
    def process(self) -> 'subprocess.Popen[bytes]':
        """The process, which has been started."""
        assert self.popen is not None
        return self.popen

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, *self.program],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'MASTICWIND_BOOT': str(self.settings_path)},
            )

    def write_settings(self, shutdown_ms: int) -> None:
        """Write the settings file."""
        document = {
            'node': 'entry-1',
            'zone': 'zone-a',
            'listen': f'127.0.0.1:{self.port}',
            'ready': f'127.0.0.1:{self.ready_port}',
            'metrics_port': self.metrics_port,
            'peer_port': self.peer_port,
            'memory_mb': self.memory_mb,
            'store': {'address': f'127.0.0.1:{self.store_port}'},
            'bounds': {'shutdown_ms': shutdown_ms},
        }
        self.settings_path.write_text(yaml.safe_dump(document))

    def signal(self, signum: int = signal.SIGTERM) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signum)

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of one event."""
        lines: list[dict[str, Any]] = []
        for line in self.log_path.read_bytes().splitlines():
            if line.startswith(b'{') and line.endswith(b'}'):
                fields = msgspec.json.decode(line)
                if fields.get('event') == event:
                    lines.append(fields)
        return lines

    async def wait_for_line(self, event: str, timeout_s: float = 10) -> None:
        """Wait until the entry has logged an event."""
        with anyio.fail_after(timeout_s):
            while not self.log_lines(event):
                await anyio.sleep(0.002)

    async def wait_for_exit(self, timeout_s: float = 10) -> int:
        """Wait for the end of the process and return its exit code."""
        with anyio.fail_after(timeout_s):
            while self.process.poll() is None:
                await anyio.sleep(0.01)
        return int(self.process.returncode)

    async def connect(self) -> SocketStream:
        """Open a connection to the entry."""
        return await connect(self.port)

    async def request(self, head: bytes, body: bytes = b'') -> CallerAnswer:
        """Send a request on a new connection and read its whole answer."""
        async with await self.connect() as conn:
            await conn.send(head + body)
            return await read_answer(conn)

    async def wait_until_served(self) -> None:
        """Wait until streams and calls are served."""
        with anyio.fail_after(START_TIMEOUT_S):
            while not await self._is_serving():
                await anyio.sleep(0.05)

    async def _is_serving(self) -> bool:
        for head in (stream_head('warm-s'), call_head('warm-c')):
            try:
                answer = await self.request(head)
            except OSError:
                return False
            if answer.status != 200:
                return False
        return True

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer a request as an engine."""
        request_id = req.headers['x-attempt-id']
        self.received.append(request_id)
        if self.fault is not None and request_id.startswith('faulty'):
            await self.fault(req, conn)
            return
        if 'x-token-counts' not in req.headers:
            await anyio.sleep(self.call_s)
            await anyio.sleep(self._silence_left_s())
            await conn.send_answer(req, body=self.call_body)
            return
        began_at = time.monotonic()
        ends_at = began_at + self.stream_s
        number = int(req.headers.get('last-event-id', '0'))
        await conn.write(self._stream_head(req))
        while time.monotonic() < ends_at:
            if began_at < self.broken_at <= time.monotonic():
                await conn.close()
                return
            silence_s = self._silence_left_s()
            ends_at += silence_s
            await anyio.sleep(silence_s)
            number += 1
            await conn.write(self._event(number))
            await anyio.sleep(EVENT_INTERVAL_S)
        if self.framed:
            await conn.write(LAST_CHUNK)
        else:
            await conn.close()

    def _stream_head(self, req: ReceivedRequest) -> bytes:
        if self.framed:
            return encode_stream_head(req, self.stream_fields)
        fields = ('Content-Type: text/event-stream', *self.stream_fields)
        return encode_head(req, 200, fields)

    def _event(self, number: int) -> bytes:
        if self.framed:
            return encode_event_chunk(number)
        return encode_event(number)

    def _silence_left_s(self) -> float:
        now = time.monotonic()
        left_s = 0.0
        for begins_at, ends_at in self.silences:
            if now >= begins_at:
                left_s = max(left_s, ends_at - now)
        return left_s


def _head(
    method: str, path: str, request_id: str, fields: tuple[str, ...]
) -> bytes:
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Attempt-Id: {request_id}',
        f'Authorization: Bearer {API_KEY}',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def stream_head(
    request_id: str,
    *,
    timeout_ms: int = 10_000,
    output_tokens: int = 200,
    content_length: int = 0,
) -> bytes:
    """Return the head of a request for a stream."""
    return _head(
        'POST',
        '/chat/a',
        request_id,
        (
            f'X-Deadline-Ms: {timeout_ms}',
            'X-Model: m',
            f'X-Token-Counts: 1000,{output_tokens}',
            'X-Prompt-Prefix: 5c1e07a2:1000',
            f'Content-Length: {content_length}',
        ),
    )


def call_head(
    request_id: str, path: str = '/order/a', timeout_ms: int = 10_000
) -> bytes:
    """Return the head of a call."""
    return _head(
        'POST',
        path,
        request_id,
        (f'X-Deadline-Ms: {timeout_ms}', 'Content-Length: 0'),
    )


async def connect(port: int, receive_buffer: int = 0) -> SocketStream:
    """Open a connection.

    `receive_buffer` is the size of its receive buffer in bytes, zero for the
    default.
    """
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.connect(('127.0.0.1', port))
    return await SocketStream.from_socket(sock)


async def read_answer(conn: SocketStream) -> CallerAnswer:
    """Read an answer until it is complete or the connection is closed."""
    answer = CallerAnswer()
    while not answer.is_complete:
        chunk = await receive_or_end(conn)
        if not chunk:
            break
        answer.content += chunk
    return answer


async def receive_or_end(
    conn: SocketStream, max_bytes: int = READ_BYTES
) -> bytes:
    """Receive bytes; b'' at the end of the connection."""
    try:
        return await conn.receive(max_bytes)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b''


@asynccontextmanager
async def running_stopping_entry(
    shutdown_ms: int = 8000,
    slots: int = 8,
    program: tuple[str, ...] = (),
    memory_mb: float = 232,
) -> AsyncIterator[StoppingEntry]:
    """Run an entry process that serves, and end it at the end of the test.

    `program` has other arguments of the interpreter. `memory_mb` is a setting
    of the entry.
    """
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    document = sample_config_document()
    for route in document['routes']:
        route['timeout_ms'] = 10_000
    store.write('op/config', msgspec.json.encode(document))
    with TemporaryDirectory(prefix='masticwind-stop-') as folder:
        async with anyio.create_task_group() as tasks:
            entry = await _prepare_entry(
                store, Path(folder), server.port, shutdown_ms, memory_mb
            )
            entry.program = program or entry.program
            await _start_engines(entry, tasks, slots)
            tasks.start_soon(server.run)
            entry.start()
            try:
                await entry.wait_until_served()
                yield entry
            finally:
                if entry.process.poll() is None:
                    entry.signal(signal.SIGCONT)
                    entry.process.kill()
                entry.process.wait(10)
                entry.reserved_port.close()
                tasks.cancel_scope.cancel()


async def _prepare_entry(
    store: MetadataStandin,
    folder: Path,
    store_port: int,
    shutdown_ms: int,
    memory_mb: float,
) -> StoppingEntry:
    # Stays bound, so that no other process gets the port before the entry.
    reserved_port = socket.socket()
    reserved_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved_port.bind(('127.0.0.1', 0))
    entry = StoppingEntry(
        store,
        store_port,
        folder / 'entry.yaml',
        folder / 'entry.log',
        reserved_port.getsockname()[1],
        await free_udp_port(),
        reserved_port,
        memory_mb=memory_mb,
        ready_port=await free_tcp_port(),
        metrics_port=await free_tcp_port(),
    )
    entry.write_settings(shutdown_ms)
    return entry


async def _start_engines(
    entry: StoppingEntry, tasks: TaskGroup, slots: int
) -> None:
    """Start two engines of each service."""
    for number, service in enumerate((CALL_SERVICE, ENGINE_SERVICE) * 2):
        engine = RawEndpoint(entry.answer)
        await tasks.start(engine.run)
        entry.store.write(
            f'servers/e-{number}',
            registration_json(engine.port, service, slots=slots),
        )
