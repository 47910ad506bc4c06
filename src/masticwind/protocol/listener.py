"""Accepts inner connections, and serves accepted and dialed ones."""

import abc
import asyncio
import time
from typing import Any, Final

import anyio
from loguru import logger
from websockets.asyncio.server import ServerConnection, serve

from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig
from masticwind.errors import ErrorKind, Failure
from masticwind.log_limits import LineLimiter
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.channel import Channel, authenticate
from masticwind.protocol.codec import MAX_HANDSHAKE_BYTES
from masticwind.protocol.messages import AnyMessage, Load
from masticwind.settings import Address, PeerSettings
from masticwind.sockets import listen_tcp
from masticwind.web_callers import derive_limits

# Frames in flight on a lost connection are read for this long.
READ_AFTER_SILENCE_S: Final = 1.5
# A timer that is later than this shows that this process was paused.
MIN_PAUSE_S: Final = 0.1
# Each handshake ends within the connect timeout.
MAX_CONCURRENT_HANDSHAKES: Final = 1024


class CountedConnection(ServerConnection):
    """A connection that is closed at once if too many are open.

    Only their handshake tells whether they come from peers.
    """

    def __init__(
        self, counter: 'ConnectionCounter', *args: Any, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._counter: Final = counter

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._counter.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no more."""
        self._counter.discard(self)
        super().connection_lost(exc)


class ConnectionCounter:
    """The open connections of a listener, handshakes included."""

    def __init__(self, max_connections: int) -> None:
        self._max_connections: Final = max_connections
        self._connections: Final[set[CountedConnection]] = set()

    @property
    def count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def connect(self, *args: Any, **kwargs: Any) -> CountedConnection:
        """Return a new connection."""
        return CountedConnection(self, *args, **kwargs)

    def add(self, conn: CountedConnection) -> None:
        """Count a connection, or abort it."""
        self._connections.add(conn)
        if len(self._connections) > self._max_connections:
            conn.transport.abort()

    def discard(self, conn: CountedConnection) -> None:
        """Count a connection no more."""
        self._connections.discard(conn)


class PeerHandler(abc.ABC):
    """Handles the events and messages of a process's inner connections."""

    @abc.abstractmethod
    def load_report(self) -> Load | None:
        """Return the load report for the next heartbeat; None to send none."""

    @abc.abstractmethod
    async def handle_message(
        self, channel: Channel, message: AnyMessage
    ) -> None:
        """Handle one message from a peer."""

    @abc.abstractmethod
    def connection_opened(self, channel: Channel) -> None:
        """Record a new connection."""

    @abc.abstractmethod
    def connection_lost(self, channel: Channel) -> None:
        """Record the loss of a connection; can be called twice for one."""

    def connection_silent(self, channel: Channel) -> None:
        """Record that a connection is silent, whose peer may go on."""
        self.connection_lost(channel)

    def connection_resumed(self, channel: Channel) -> None:
        """Record that a silent connection works again."""
        self.connection_opened(channel)


async def run_heartbeats(
    channel: Channel,
    cfg: PeerSettings,
    config: CurrentConfig,
    handler: PeerHandler,
    silent_limits: int = 1,
) -> None:
    """Send heartbeats until the connection closes or is lost.

    A connection is silent after the limit of the settings, and lost after
    `silent_limits` times as long. Nothing more is sent on a lost connection.
    Frames in flight on it are read for `READ_AFTER_SILENCE_S` before it is
    aborted.
    """
    silence = _Silence(channel, handler, cfg.silence_ms / MS_PER_S)
    next_heartbeat_at = 0.0
    while not channel.closed:
        now = time.monotonic()
        if now >= next_heartbeat_at:
            channel.send_heartbeat(config.number, handler.load_report())
            next_heartbeat_at = now + cfg.heartbeat_ms / MS_PER_S
        remaining_s = silence.remaining_s(silent_limits)
        if remaining_s <= 0:
            channel.stop_sending()
            break
        delay_s = min(remaining_s, next_heartbeat_at - now)
        await anyio.sleep(delay_s)
        paused_s = time.monotonic() - now - delay_s
        if paused_s > MIN_PAUSE_S:
            channel.exclude_pause(paused_s)
    handler.connection_lost(channel)
    await anyio.sleep(READ_AFTER_SILENCE_S)
    channel.abort()


class _Silence:
    """Tells a handler when a connection falls silent and when it goes on."""

    def __init__(
        self, channel: Channel, handler: PeerHandler, limit_s: float
    ) -> None:
        self._channel: Final = channel
        self._handler: Final = handler
        self._limit_s: Final = limit_s
        self._reported = False

    def remaining_s(self, limits: int) -> float:
        """Return the seconds until the connection is silent or lost."""
        silent_s = self._channel.silent_s()
        if silent_s < self._limit_s:
            if self._reported:
                self._reported = False
                self._handler.connection_resumed(self._channel)
            return self._limit_s - silent_s
        if not self._reported:
            self._reported = True
            logger.bind(
                peer=self._channel.peer.node,
                silent_ms=int(silent_s * MS_PER_S),
            ).warning('connection_silent')
            self._channel.silent_event.set()
            self._handler.connection_silent(self._channel)
        return limits * self._limit_s - silent_s


async def serve_channel(
    channel: Channel,
    cfg: PeerSettings,
    config: CurrentConfig,
    handler: PeerHandler,
    silent_limits: int = 1,
) -> None:
    """Run an open connection until it ends.

    The handler's `connection_lost` is called once or twice, the first time as
    soon as nothing more can be sent.
    """
    handler.connection_opened(channel)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel.write_loop)
            tasks.start_soon(
                run_heartbeats, channel, cfg, config, handler, silent_limits
            )
            async for message in channel:
                await handler.handle_message(channel, message)
            tasks.cancel_scope.cancel()
    finally:
        channel.abort()
        handler.connection_lost(channel)


class Listener:
    """Accepts connections from peers that prove to hold a shared secret."""

    def __init__(
        self,
        node: PeerIdentity,
        address: Address,
        cfg: PeerSettings,
        config: CurrentConfig,
        handler: PeerHandler,
    ) -> None:
        self._node: Final = node
        self._cfg: Final = cfg
        self._config: Final = config
        self._handler: Final = handler
        self._handshake_count = 0
        self._log_limiter: Final = LineLimiter()
        self.connections: Final = ConnectionCounter(
            derive_limits().max_connections
        )
        self._channels: Final[set[Channel]] = set()
        self._socket: Final = listen_tcp(address)
        self.port: Final = int(self._socket.getsockname()[1])

    async def run(self) -> None:
        """Accept connections until cancelled."""
        # Declared as a class, but only called.
        connect: Any = self.connections.connect
        async with serve(
            self._accept,
            sock=self._socket,
            compression=None,
            ping_interval=None,
            create_connection=connect,
            max_size=MAX_HANDSHAKE_BYTES,
            open_timeout=self._cfg.connect_timeout_ms / MS_PER_S,
            close_timeout=1,
        ):
            await anyio.sleep_forever()

    def broadcast_load(self) -> None:
        """Send the current load report to every peer at once."""
        number, load = self._config.number, self._handler.load_report()
        for channel in self._channels:
            channel.send_heartbeat(number, load)

    async def flush(self) -> bool:
        """Wait until every peer has read the control messages queued for it.

        False if a connection was lost meanwhile.
        """
        number, load = self._config.number, self._handler.load_report()
        flushed = True
        for channel in tuple(self._channels):
            if not await channel.flush(number, load):
                flushed = False
        return flushed

    async def _accept(self, conn: ServerConnection) -> None:
        channel = await self._authenticate(conn)
        if isinstance(channel, Failure):
            left_out = self._log_limiter.left_out('peer_refused')
            if left_out is not None:
                logger.bind(
                    address=str(conn.remote_address),
                    reason=channel.reason,
                    left_out=left_out,
                ).warning('peer_refused')
            conn.transport.abort()
            return
        self._channels.add(channel)
        try:
            await serve_channel(channel, self._cfg, self._config, self._handler)
        finally:
            self._channels.discard(channel)

    async def _authenticate(self, conn: ServerConnection) -> Channel | Failure:
        if self._handshake_count >= MAX_CONCURRENT_HANDSHAKES:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='too many handshakes',
            )
        self._handshake_count += 1
        try:
            own = self._node.hello(self._config.number)
            return await authenticate(conn, own, self._cfg, 'listener')
        finally:
            self._handshake_count -= 1
