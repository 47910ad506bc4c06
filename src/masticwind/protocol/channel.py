"""One authenticated inner connection.

A channel has a bounded outgoing queue for control messages and one for bulk
messages. Control goes first, so that a prompt of several megabytes delays no
heartbeat and no offer. The reading side is an async iterator in the task of
the connection's owner.

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(channel.write_loop)
        async for message in channel:
            await handle(message)
"""

import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Final, TypeVar

import anyio
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed, WebSocketException

from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.codec import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    MAX_MESSAGES_PER_FRAME,
    decode_frame,
    encode_frame,
)
from masticwind.protocol.handshake import Side, check_proof, make_proof
from masticwind.protocol.messages import AnyMessage, Body, Hello, Message, Proof
from masticwind.settings import PeerSettings

# A peer that does not read for this many messages is treated as lost.
MAX_CONTROL_QUEUE: Final = 65_536
BULK_QUEUE: Final = 4
MS_PER_S: Final = 1000

_Kind = TypeVar('_Kind', bound=Message)


class Channel:
    """An authenticated connection to the process that `peer` describes."""

    def __init__(self, conn: Connection, peer: Hello) -> None:
        self.peer: Final = peer
        self.last_received = time.monotonic()
        self.bytes_in = 0
        self.bytes_out = 0
        self._conn: Final = conn
        self._control: Final = deque[Message]()
        self._bulk: Final = deque[Message]()
        self._wake = anyio.Event()
        self._room = anyio.Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self._closed

    def send(self, message: Message) -> bool:
        """Queue a control message; false if the connection is closed."""
        if self._closed:
            return False
        if len(self._control) >= MAX_CONTROL_QUEUE:
            self.abort()
            return False
        self._control.append(message)
        self._wake.set()
        return True

    async def send_bulk(self, message: Body) -> bool:
        """Queue a body chunk and wait while the bulk queue is full."""
        while len(self._bulk) >= BULK_QUEUE and not self._closed:
            self._room = anyio.Event()
            await self._room.wait()
        if self._closed:
            return False
        self._bulk.append(message)
        self._wake.set()
        return True

    async def write_loop(self) -> None:
        """Write queued messages until the connection closes."""
        try:
            while not self._closed:
                await self._wake.wait()
                self._wake = anyio.Event()
                await self._write_pending()
        except (ConnectionClosed, OSError):
            self._mark_closed()

    async def __aiter__(self) -> AsyncIterator[AnyMessage]:
        """Yield messages until the connection closes or breaks the rules."""
        try:
            async for frame in self._conn:
                self.last_received = time.monotonic()
                if not isinstance(frame, bytes):
                    break
                self.bytes_in += len(frame)
                messages = decode_frame(frame)
                if isinstance(messages, Failure):
                    break
                for message in messages:
                    yield message
        except (ConnectionClosed, WebSocketException, OSError):
            return
        finally:
            self._mark_closed()

    def silent_s(self) -> float:
        """Return the seconds since the last frame from the peer."""
        return time.monotonic() - self.last_received

    def abort(self) -> None:
        """Close at once, without a closing handshake.

        A silent connection would answer no closing handshake.
        """
        self._mark_closed()
        self._conn.transport.abort()

    async def close(self) -> None:
        """Close in order: what is queued is written first."""
        try:
            await self._write_pending()
            await self._conn.close()
        except (ConnectionClosed, OSError):
            self._mark_closed()
        self._mark_closed()

    async def _write_pending(self) -> None:
        while self._control or self._bulk:
            batch: list[Message] = []
            while self._control and len(batch) < MAX_MESSAGES_PER_FRAME:
                batch.append(self._control.popleft())
            if not batch:
                batch.append(self._bulk.popleft())
                self._room.set()
            for frame in _frames(batch):
                self.bytes_out += len(frame)
                await self._conn.send(frame)

    def _mark_closed(self) -> None:
        self._closed = True
        self._wake.set()
        self._room.set()


def _frames(batch: list[Message]) -> list[bytes]:
    frame = encode_frame(batch)
    if len(frame) <= MAX_FRAME_BYTES or len(batch) == 1:
        return [frame]
    half = len(batch) // 2
    return [*_frames(batch[:half]), *_frames(batch[half:])]


async def authenticate(
    conn: Connection,
    own: Hello,
    cfg: PeerSettings,
    side: Side,
) -> Channel | Failure:
    """Run the handshake as `side` and return the open channel.

    Returns a `Failure` of kind `unauthenticated` if the peer does not prove
    a valid secret, and of kind `timed_out` if it does not answer within the
    connect timeout.
    """
    with anyio.move_on_after(cfg.connect_timeout_ms / MS_PER_S):
        try:
            return await _authenticate(conn, own, cfg, side)
        except (ConnectionClosed, OSError):
            return Failure(
                kind=ErrorKind.UNAUTHENTICATED,
                reason='peer closed',
            )
    return Failure(kind=ErrorKind.TIMED_OUT, reason='handshake timed out')


async def _authenticate(
    conn: Connection,
    own: Hello,
    cfg: PeerSettings,
    side: Side,
) -> Channel | Failure:
    if side == 'dialer':
        await conn.send(encode_frame([own]))
    peer = await _receive(conn, Hello)
    if peer is None:
        return Failure(kind=ErrorKind.UNAUTHENTICATED, reason='no hello')
    if side == 'listener':
        await conn.send(encode_frame([own]))
    dialer, listener = (own, peer) if side == 'dialer' else (peer, own)
    other: Side = 'listener' if side == 'dialer' else 'dialer'
    # The dialer proves itself first; the listener then signs with the
    # secret that the dialer used, which both are known to hold.
    if side == 'dialer':
        own_proof = make_proof(cfg.secrets[0], side, dialer, listener)
        await conn.send(encode_frame([own_proof]))
    proof = await _receive(conn, Proof)
    secret = (
        ''
        if proof is None
        else check_proof(
            proof,
            cfg.secrets,
            other,
            dialer,
            listener,
        )
    )
    if not secret:
        return Failure(kind=ErrorKind.UNAUTHENTICATED, reason='bad proof')
    if side == 'listener':
        own_proof = make_proof(secret, side, dialer, listener)
        await conn.send(encode_frame([own_proof]))
    return Channel(conn, peer)


async def _receive(conn: Connection, kind: type[_Kind]) -> _Kind | None:
    frame = await conn.recv()
    if not isinstance(frame, bytes) or len(frame) > MAX_HANDSHAKE_BYTES:
        return None
    messages = decode_frame(frame)
    if isinstance(messages, Failure) or len(messages) != 1:
        return None
    message = messages[0]
    return message if isinstance(message, kind) else None
