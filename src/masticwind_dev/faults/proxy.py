"""A TCP proxy that injects faults into the connections to one target.

Faults are changed at run time: by method call if the proxy runs in the same
process, over HTTP (`POST /control`) if it runs as a separate process.

    proxy = TcpProxy('127.0.0.1', 8000)
    tasks.start_soon(proxy.run)
    proxy.inject(Faults(silent=True))
"""

import random
import socket
import struct
from contextlib import suppress
from dataclasses import asdict, dataclass, replace
from typing import Any, Final, Literal

import anyio
from anyio.abc import SocketStream

from masticwind.budget import MS_PER_S
from masticwind.settings import Address
from masticwind.web import Response, WebServer, json_response
from masticwind_dev.standins.routes import Router, StandinRequest

CHUNK_BYTES: Final = 65_536
CLOSE_POLL_INTERVAL_S: Final = 0.01
HOLD_POLL_INTERVAL_S: Final = 0.01
DIRECTION_COUNT: Final = 2
# SO_LINGER value with which closing a socket sends a TCP reset.
RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)

Direction = Literal['up', 'down']


@dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Faults that apply to forwarded connections.

    `up` is the direction towards the target. `silent` discards all bytes in
    both directions without a reset; `silent_up` and `silent_down` do so in
    one direction. `silent_old` silences only the connections that are open
    when it is set. `drop_down` closes a connection when the target responds,
    so that a request takes effect but its response is lost. `refuse` closes
    new connections at once. `jitter_ms` is the maximum of a random delay that
    is drawn once per connection, so that messages on different connections
    are reordered. `hold` keeps all bytes back until it is reset, as a target
    does that is paused and goes on.
    """

    delay_ms: int = 0
    jitter_ms: int = 0
    silent: bool = False
    silent_up: bool = False
    silent_down: bool = False
    silent_old: bool = False
    drop_down: bool = False
    refuse: bool = False
    hold: bool = False


class _ProxiedConnection:
    """A connection from a caller and the one to the target."""

    def __init__(
        self,
        caller: SocketStream,
        target: SocketStream,
        jitter_fraction: float,
    ) -> None:
        self.caller: Final = caller
        self.target: Final = target
        self.jitter_fraction: Final = jitter_fraction
        self.silenced_directions: Final[set[Direction]] = set()
        self.closed_directions = 0

    def enable_reset_on_close(self) -> None:
        """Make both sockets send a TCP reset when they are closed."""
        for side in (self.caller, self.target):
            # anyio raises one of these if the peer has reset the connection
            # and the socket is gone.
            with suppress(
                OSError,
                AttributeError,
                anyio.TypedAttributeLookupError,
            ):
                raw_socket = side.extra(anyio.abc.SocketAttribute.raw_socket)
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )


class TcpProxy:
    """Forwards connections to one target and applies faults to them."""

    def __init__(self, host: str, port: int, seed: int = 1) -> None:
        self.faults = Faults()
        self.accepted_connections = 0
        self._target = (host, port)
        self._random: Final = random.Random(seed)
        self._open_connections: Final[
            dict[_ProxiedConnection, anyio.CancelScope]
        ] = {}
        self._socket: Final = socket.create_server(('127.0.0.1', 0))
        self.port: Final = int(self._socket.getsockname()[1])

    def inject(self, faults: Faults) -> None:
        """Replace the current faults, also for open connections."""
        if faults.silent_old and not self.faults.silent_old:
            for conn in self._open_connections:
                conn.silenced_directions.update(('up', 'down'))
        self.faults = faults

    def retarget(self, port: int) -> None:
        """Send new connections to another port of the same host."""
        self._target = (self._target[0], port)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for conn, scope in list(self._open_connections.items()):
            conn.enable_reset_on_close()
            scope.cancel()

    async def run(self) -> None:
        """Forward connections until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self._socket)
        async with listener:
            await listener.serve(self._forward)

    async def _forward(self, caller: SocketStream) -> None:
        self.accepted_connections += 1
        async with caller:
            if self.faults.refuse:
                return
            try:
                target = await anyio.connect_tcp(*self._target)
            except OSError:
                return
            async with target:
                await self._relay(caller, target)

    async def _relay(self, caller: SocketStream, target: SocketStream) -> None:
        conn = _ProxiedConnection(caller, target, self._random.random())
        async with anyio.create_task_group() as tasks:
            self._open_connections[conn] = tasks.cancel_scope
            tasks.start_soon(self._copy_bytes, conn, 'up', tasks.cancel_scope)
            tasks.start_soon(self._copy_bytes, conn, 'down', tasks.cancel_scope)
        self._open_connections.pop(conn)

    async def _copy_bytes(
        self,
        conn: _ProxiedConnection,
        direction: Direction,
        scope: anyio.CancelScope,
    ) -> None:
        source, sink = conn.caller, conn.target
        if direction == 'down':
            source, sink = sink, source
        try:
            async for chunk in source:
                if direction == 'down' and self.faults.drop_down:
                    break
                if await self._delay_and_filter(conn, direction):
                    await sink.send(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            conn.enable_reset_on_close()
        # A silent connection stays open until both sides have closed it.
        conn.closed_directions += 1
        while (
            self._is_silent(conn, direction)
            and conn.closed_directions < DIRECTION_COUNT
        ):
            await anyio.sleep(CLOSE_POLL_INTERVAL_S)
        scope.cancel()

    async def _delay_and_filter(
        self, conn: _ProxiedConnection, direction: Direction
    ) -> bool:
        """Delay a chunk and return whether to forward it."""
        faults = self.faults
        delay_ms = faults.delay_ms + faults.jitter_ms * conn.jitter_fraction
        if delay_ms:
            await anyio.sleep(delay_ms / MS_PER_S)
        while self.faults.hold:
            await anyio.sleep(HOLD_POLL_INTERVAL_S)
        if self._is_silent(conn, direction):
            # TCP never loses bytes within a stream, so nothing is forwarded in
            # this direction after a discarded chunk.
            conn.silenced_directions.add(direction)
            return False
        return True

    def _is_silent(
        self, conn: _ProxiedConnection, direction: Direction
    ) -> bool:
        faults = self.faults
        one_way = faults.silent_up if direction == 'up' else faults.silent_down
        return faults.silent or one_way or direction in conn.silenced_directions


class ProxyControl:
    """HTTP interface of a proxy that runs as a separate process."""

    def __init__(self, proxy: TcpProxy) -> None:
        self._proxy: Final = proxy
        self._server: Final = WebServer(
            Router(
                {
                    ('POST', '/control'): self._control,
                    ('GET', '/state'): self._state,
                }
            ),
            Address(),
        )
        self.port: Final = self._server.port

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def _control(self, req: StandinRequest) -> Response:
        requested: dict[str, Any] = req.json()
        if requested.pop('reset', False):
            self._proxy.reset_all()
        # A request replaces all faults; fields left out are reset.
        self._proxy.inject(replace(Faults(), **requested))
        return json_response(200, asdict(self._proxy.faults))

    async def _state(self, _req: StandinRequest) -> Response:
        return json_response(
            200, {'accepted': self._proxy.accepted_connections}
        )
