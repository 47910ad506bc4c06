"""Accepts inner connections and keeps their heartbeats going."""

import abc
import time
from typing import Final

import anyio
from loguru import logger
from websockets.asyncio.server import ServerConnection, serve

from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig
from masticwind.errors import ErrorKind, Failure
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.channel import Channel, authenticate
from masticwind.protocol.codec import MAX_HANDSHAKE_BYTES
from masticwind.protocol.messages import AnyMessage, Load
from masticwind.settings import Address, PeerSettings
from masticwind.sockets import listen_tcp

# How long frames that are under way on a silent connection are still read.
DRAIN_S: Final = 0.5
# Connections in the handshake; each ends within the connect timeout.
MAX_HANDSHAKES: Final = 1024


class PeerHandler(abc.ABC):
    """What a process does with the messages of its peers."""

    @abc.abstractmethod
    def load(self) -> Load | None:
        """Return the load report for the next heartbeat."""

    @abc.abstractmethod
    async def handle(self, channel: Channel, message: AnyMessage) -> None:
        """Act on one message."""

    @abc.abstractmethod
    def opened(self, channel: Channel) -> None:
        """Note a new connection."""

    @abc.abstractmethod
    def lost(self, channel: Channel) -> None:
        """Note that a connection has ended."""


async def beat(
    channel: Channel,
    cfg: PeerSettings,
    config: CurrentConfig,
    handler: PeerHandler,
) -> None:
    """Send heartbeats until the connection closes or goes silent.

    A silent connection is given up for sending; what is still under way on
    it is read for a while before it is closed.
    """
    silence_s = cfg.silence_ms / MS_PER_S
    next_beat = 0.0
    while not channel.closed:
        now = time.monotonic()
        if now >= next_beat:
            channel.beat(config.number, handler.load())
            next_beat = now + cfg.heartbeat_ms / MS_PER_S
        left_s = silence_s - channel.silent_s()
        if left_s <= 0:
            logger.bind(
                peer=channel.peer.node,
                silent_ms=int(channel.silent_s() * MS_PER_S),
            ).warning('connection_silent')
            channel.retire()
            break
        await anyio.sleep(min(left_s, next_beat - now))
    handler.lost(channel)
    await anyio.sleep(DRAIN_S)
    channel.abort()


async def serve_channel(
    channel: Channel,
    cfg: PeerSettings,
    config: CurrentConfig,
    handler: PeerHandler,
) -> None:
    """Run an open connection until it ends.

    The handler is told of the loss once or twice, first when the connection
    becomes unusable.
    """
    handler.opened(channel)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel.write_loop)
            tasks.start_soon(beat, channel, cfg, config, handler)
            async for message in channel:
                await handler.handle(channel, message)
            tasks.cancel_scope.cancel()
    finally:
        channel.abort()
        handler.lost(channel)


class Listener:
    """Accepts connections from peers that prove a shared secret."""

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
        self._handshakes = 0
        self._channels: Final[set[Channel]] = set()
        self._socket: Final = listen_tcp(address)
        self.port: Final = int(self._socket.getsockname()[1])

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with serve(
            self._accept,
            sock=self._socket,
            compression=None,
            ping_interval=None,
            max_size=MAX_HANDSHAKE_BYTES,
            open_timeout=self._cfg.connect_timeout_ms / MS_PER_S,
            close_timeout=1,
        ):
            await anyio.sleep_forever()

    def announce(self) -> None:
        """Tell every peer the present load at once."""
        number, load = self._config.number, self._handler.load()
        for channel in self._channels:
            channel.beat(number, load)

    async def flush(self) -> bool:
        """Wait until every peer has read what was sent to it until now.

        False if a connection was lost meanwhile.
        """
        number, load = self._config.number, self._handler.load()
        flushed = True
        for channel in tuple(self._channels):
            if not await channel.flush(number, load):
                flushed = False
        return flushed

    async def _accept(self, conn: ServerConnection) -> None:
        channel = await self._authenticate(conn)
        if isinstance(channel, Failure):
            logger.bind(
                address=str(conn.remote_address),
                reason=channel.reason,
            ).warning('peer_refused')
            conn.transport.abort()
            return
        self._channels.add(channel)
        try:
            await serve_channel(channel, self._cfg, self._config, self._handler)
        finally:
            self._channels.discard(channel)

    async def _authenticate(self, conn: ServerConnection) -> Channel | Failure:
        if self._handshakes >= MAX_HANDSHAKES:
            return Failure(
                kind=ErrorKind.OVERLOADED,
                reason='too many handshakes',
            )
        self._handshakes += 1
        try:
            own = self._node.hello(self._config.number)
            return await authenticate(conn, own, self._cfg, 'listener')
        finally:
            self._handshakes -= 1
