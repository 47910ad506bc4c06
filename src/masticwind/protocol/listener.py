"""Accepts inner connections and keeps their heartbeats going."""

import abc
import itertools
from typing import Final

import anyio
from websockets.asyncio.server import ServerConnection, serve

from masticwind.config.current import CurrentConfig
from masticwind.errors import Failure
from masticwind.node import Node
from masticwind.protocol.channel import Channel, authenticate
from masticwind.protocol.codec import MAX_FRAME_BYTES
from masticwind.protocol.messages import AnyMessage, Heartbeat, Load
from masticwind.settings import Address, PeerSettings
from masticwind.sockets import listen_tcp

MS_PER_S: Final = 1000


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
    """Send heartbeats and abort the connection if the peer goes silent."""
    for sequence in itertools.count():
        if channel.closed:
            return
        channel.send(Heartbeat(sequence, config.number, handler.load()))
        await anyio.sleep(cfg.heartbeat_ms / MS_PER_S)
        if channel.silent_s() > cfg.silence_ms / MS_PER_S:
            channel.abort()


async def serve_channel(
    channel: Channel,
    cfg: PeerSettings,
    config: CurrentConfig,
    handler: PeerHandler,
) -> None:
    """Run an open connection until it ends."""
    handler.opened(channel)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(channel.write_loop)
            tasks.start_soon(beat, channel, cfg, config, handler)
            async for message in channel:
                await handler.handle(channel, message)
            tasks.cancel_scope.cancel()
    finally:
        handler.lost(channel)


class Listener:
    """Accepts connections from peers that prove a shared secret."""

    def __init__(
        self,
        node: Node,
        address: Address,
        cfg: PeerSettings,
        config: CurrentConfig,
        handler: PeerHandler,
    ) -> None:
        self._node: Final = node
        self._cfg: Final = cfg
        self._config: Final = config
        self._handler: Final = handler
        self._socket: Final = listen_tcp(address)
        self.port: Final = int(self._socket.getsockname()[1])

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with serve(
            self._accept,
            sock=self._socket,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=self._cfg.connect_timeout_ms / MS_PER_S,
            close_timeout=1,
        ):
            await anyio.sleep_forever()

    async def _accept(self, conn: ServerConnection) -> None:
        own = self._node.hello(self._config.number)
        channel = await authenticate(conn, own, self._cfg, 'listener')
        if isinstance(channel, Failure):
            conn.transport.abort()
            return
        await serve_channel(channel, self._cfg, self._config, self._handler)
