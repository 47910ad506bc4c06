"""One authenticated inner connection and its handshake.

A channel has a bounded send queue for control messages and one for bulk
messages. Control messages are sent first, so that a prompt of several
megabytes delays neither heartbeats nor offers. Received messages are read by
iterating over the channel in the task that owns the connection.

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(channel.write_loop)
        async for message in channel:
            await handle(message)
"""

import itertools
import time
from collections import deque
from collections.abc import AsyncIterator
from typing import Final, TypeVar

import anyio
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed, WebSocketException

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.protocol.codec import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_BYTES,
    MAX_MESSAGES_PER_FRAME,
    decode_frame,
    encode_frame,
)
from masticwind.protocol.handshake import (
    Side,
    find_proof_secret,
    make_proof,
    valid_secrets,
)
from masticwind.protocol.heartbeats import HeartbeatTracker
from masticwind.protocol.messages import (
    AnyMessage,
    Body,
    Heartbeat,
    Hello,
    Load,
    Message,
    Proof,
)
from masticwind.settings import PeerSettings

# A connection is aborted when more messages wait for a peer that does not read.
MAX_QUEUED_CONTROL_MESSAGES: Final = 65_536
# It is also aborted when the bodies in those messages exceed this total size.
MAX_QUEUED_BODY_BYTES: Final = 67_108_864
MAX_QUEUED_BULK_MESSAGES: Final = 4
FLUSH_POLL_INTERVAL_S: Final = 0.01

_Kind = TypeVar('_Kind', bound=Message)
_channel_numbers: Final = itertools.count(1)


class Channel:
    """An authenticated connection to the process that `peer` describes."""

    def __init__(self, conn: Connection, peer: Hello) -> None:
        self.peer: Final = peer
        # Later connections of this process have larger numbers.
        self.number: Final = next(_channel_numbers)
        self.last_received_at = time.monotonic()
        # Set when the connection is silent or closed.
        self.silent_event: Final = anyio.Event()
        self.bytes_in = 0
        self.bytes_out = 0
        self._conn: Final = conn
        self._control_queue: Final = deque[Message]()
        self._bulk_queue: Final = deque[Message]()
        self._queued_body_bytes = 0
        self._heartbeats: Final = HeartbeatTracker()
        self._message_queued = anyio.Event()
        self._bulk_space_freed = anyio.Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self._closed

    def send(self, message: Message) -> bool:
        """Queue a control message; false if the channel is closed."""
        if self._closed:
            return False
        self._queued_body_bytes += _body_size_bytes(message)
        if (
            len(self._control_queue) >= MAX_QUEUED_CONTROL_MESSAGES
            or self._queued_body_bytes > MAX_QUEUED_BODY_BYTES
        ):
            self.abort()
            return False
        self._control_queue.append(message)
        self._message_queued.set()
        return True

    async def send_bulk(self, message: Body) -> bool:
        """Queue a body chunk and wait while the bulk queue is full."""
        while (
            len(self._bulk_queue) >= MAX_QUEUED_BULK_MESSAGES
            and not self._closed
        ):
            await self._bulk_space_freed.wait()
        if self._closed:
            return False
        self._bulk_queue.append(message)
        self._message_queued.set()
        return True

    async def write_loop(self) -> None:
        """Write queued messages until the connection closes."""
        try:
            while not self._closed:
                await self._message_queued.wait()
                self._message_queued = anyio.Event()
                await self._write_queued()
        except (ConnectionClosed, OSError):
            self._mark_closed()

    async def __aiter__(self) -> AsyncIterator[AnyMessage]:
        """Yield messages until the connection closes or a frame is invalid."""
        try:
            async for frame in self._conn:
                self.last_received_at = time.monotonic()
                if not isinstance(frame, bytes):
                    break
                self.bytes_in += len(frame)
                messages = decode_frame(frame)
                if isinstance(messages, Failure):
                    break
                for message in messages:
                    self._record_heartbeat(message)
                    yield message
        except (ConnectionClosed, WebSocketException, OSError):
            return
        finally:
            self._mark_closed()

    def silent_s(self) -> float:
        """Return for how many seconds either direction has been silent.

        That is the time since the last frame from the peer or, if longer,
        since the oldest heartbeat that the peer has not echoed was sent.
        """
        now = time.monotonic()
        return max(
            now - self.last_received_at, self._heartbeats.oldest_unechoed_s(now)
        )

    def exclude_pause(self, paused_s: float) -> None:
        """Do not count a pause of this process as silence of the peer.

        What the peer sent during the pause may not have been read yet.
        """
        self.last_received_at = min(
            time.monotonic(), self.last_received_at + paused_s
        )
        self._heartbeats.exclude_pause(paused_s)

    def send_heartbeat(self, generation: int, load: Load | None) -> bool:
        """Queue a heartbeat; false if the channel is closed."""
        return self.send(self._heartbeats.next_heartbeat(generation, load))

    async def flush(self, generation: int, load: Load | None) -> bool:
        """Wait until the peer has read all control messages queued so far.

        False if the connection is lost first. Frames arrive in order, so the
        echo of a heartbeat confirms every control message before it.
        """
        sequence = self._heartbeats.last_sent_sequence + 1
        self.send_heartbeat(generation, load)
        while self._heartbeats.last_echoed_sequence < sequence:
            if self._closed:
                return False
            await anyio.sleep(FLUSH_POLL_INTERVAL_S)
        return True

    def stop_sending(self) -> None:
        """Refuse further sends, but keep reading frames that are in flight."""
        self._mark_closed()

    def abort(self) -> None:
        """Close at once, without a closing handshake.

        The peer of a silent connection would not answer the handshake.
        """
        self._mark_closed()
        self._conn.transport.abort()

    async def close(self) -> None:
        """Write the queued messages, then run the closing handshake."""
        try:
            await self._write_queued()
            await self._conn.close()
        except (ConnectionClosed, OSError):
            self._mark_closed()
        self._mark_closed()

    async def _write_queued(self) -> None:
        while self._control_queue or self._bulk_queue:
            batch: list[Message] = []
            while self._control_queue and len(batch) < MAX_MESSAGES_PER_FRAME:
                batch.append(self._control_queue.popleft())
                self._queued_body_bytes -= _body_size_bytes(batch[-1])
            if not batch:
                batch.append(self._bulk_queue.popleft())
                # Wakes every waiting sender: one that kept waiting on the
                # replaced event would never wake.
                self._bulk_space_freed.set()
                self._bulk_space_freed = anyio.Event()
            for frame in _split_into_frames(batch):
                self.bytes_out += len(frame)
                await self._conn.send(frame)

    def _record_heartbeat(self, message: AnyMessage) -> None:
        if isinstance(message, Heartbeat):
            self._heartbeats.record_received(message)

    def _mark_closed(self) -> None:
        self._closed = True
        self.silent_event.set()
        self._message_queued.set()
        self._bulk_space_freed.set()


def _body_size_bytes(message: Message) -> int:
    return len(getattr(message, 'body', b''))


def _split_into_frames(batch: list[Message]) -> list[bytes]:
    frame = encode_frame(batch)
    if len(frame) <= MAX_FRAME_BYTES or len(batch) == 1:
        return [frame]
    half = len(batch) // 2
    return [
        *_split_into_frames(batch[:half]),
        *_split_into_frames(batch[half:]),
    ]


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
                reason='the peer closed the connection',
            )
    return Failure(kind=ErrorKind.TIMED_OUT, reason='the handshake timed out')


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
        return Failure(
            kind=ErrorKind.UNAUTHENTICATED, reason='the peer sent no Hello'
        )
    if peer.nonce == own.nonce:
        return Failure(
            kind=ErrorKind.UNAUTHENTICATED, reason='the peer returned our Hello'
        )
    secrets = valid_secrets(cfg)
    if side == 'listener':
        await conn.send(encode_frame([own]))
    dialer, listener = (own, peer) if side == 'dialer' else (peer, own)
    peer_side: Side = 'listener' if side == 'dialer' else 'dialer'
    # The dialer sends its proof first. The listener signs its own with the
    # secret that the dialer used, because both sides hold that one.
    # Each side raises its frame limit before it sends its proof, because the
    # peer may send large frames right after the last handshake message.
    if side == 'dialer':
        _set_max_frame_size(conn, MAX_FRAME_BYTES)
        own_proof = make_proof(secrets[0], side, dialer, listener)
        await conn.send(encode_frame([own_proof]))
    proof = await _receive(conn, Proof)
    secret = (
        ''
        if proof is None
        else find_proof_secret(
            proof,
            secrets,
            peer_side,
            dialer,
            listener,
        )
    )
    if not secret:
        return Failure(
            kind=ErrorKind.UNAUTHENTICATED,
            reason='the peer sent no valid proof',
        )
    if side == 'listener':
        _set_max_frame_size(conn, MAX_FRAME_BYTES)
        own_proof = make_proof(secret, side, dialer, listener)
        await conn.send(encode_frame([own_proof]))
    return Channel(conn, peer)


def _set_max_frame_size(conn: Connection, max_frame_bytes: int) -> None:
    # websockets checks these attributes for each frame that it reads.
    conn.protocol.max_message_size = max_frame_bytes
    conn.protocol.max_fragment_size = max_frame_bytes


async def _receive(conn: Connection, kind: type[_Kind]) -> _Kind | None:
    frame = await conn.recv()
    if not isinstance(frame, bytes) or len(frame) > MAX_HANDSHAKE_BYTES:
        return None
    messages = decode_frame(frame)
    if isinstance(messages, Failure) or len(messages) != 1:
        return None
    message = messages[0]
    return message if isinstance(message, kind) else None
