"""A small TCP proxy that injects faults into the connections through it.

It serves one target. Faults are switched at run time, by method when it is
embedded and over HTTP (`POST /control`) when it is a process of its own.

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
from masticwind_dev.standins.routes import Routes, StandinRequest

CHUNK_BYTES: Final = 65_536
GATE_POLL_S: Final = 0.01
BOTH_SIDES: Final = 2
# Closing a socket with this option sends a reset.
NO_LINGER: Final = struct.pack('ii', 1, 0)

Direction = Literal['up', 'down']


@dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """What happens to bytes on the way.

    `up` is towards the target. `silent` swallows all bytes in both
    directions without a reset; `silent_up` and `silent_down` swallow one.
    `silent_old` silences only connections that were open when it was set.
    `drop_down` closes a connection when the target answers, so that the
    effect has happened and the response is lost. `refuse` accepts no new
    connection. `jitter_ms` delays each connection by a random time of its
    own, so that connections overtake each other.
    """

    delay_ms: int = 0
    jitter_ms: int = 0
    silent: bool = False
    silent_up: bool = False
    silent_down: bool = False
    silent_old: bool = False
    drop_down: bool = False
    refuse: bool = False


class _Pair:
    """One proxied connection."""

    def __init__(
        self,
        caller: SocketStream,
        target: SocketStream,
        jitter_share: float,
    ) -> None:
        self.caller: Final = caller
        self.target: Final = target
        self.jitter_share: Final = jitter_share
        self.silenced: Final[set[Direction]] = set()
        self.ended = 0

    def reset(self) -> None:
        """End both sides with a TCP reset."""
        for side in (self.caller, self.target):
            # A side that its peer has reset has no socket any more; anyio
            # then fails with one of these.
            with suppress(
                OSError,
                AttributeError,
                anyio.TypedAttributeLookupError,
            ):
                raw = side.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


class TcpProxy:
    """Forwards connections to one target and injects faults."""

    def __init__(self, host: str, port: int, seed: int = 1) -> None:
        self.faults = Faults()
        self.accepted = 0
        self._target = (host, port)
        self._random: Final = random.Random(seed)
        self._pairs: Final[dict[_Pair, anyio.CancelScope]] = {}
        self._socket: Final = socket.create_server(('127.0.0.1', 0))
        self.port: Final = int(self._socket.getsockname()[1])

    def inject(self, faults: Faults) -> None:
        """Put other faults in force, for open connections too."""
        if faults.silent_old and not self.faults.silent_old:
            for pair in self._pairs:
                pair.silenced.update(('up', 'down'))
        self.faults = faults

    def retarget(self, port: int) -> None:
        """Send new connections to another port of the same host."""
        self._target = (self._target[0], port)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for pair, scope in list(self._pairs.items()):
            pair.reset()
            scope.cancel()

    async def run(self) -> None:
        """Forward connections until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self._socket)
        async with listener:
            await listener.serve(self._forward)

    async def _forward(self, caller: SocketStream) -> None:
        self.accepted += 1
        async with caller:
            if self.faults.refuse:
                return
            try:
                target = await anyio.connect_tcp(*self._target)
            except OSError:
                return
            async with target:
                await self._join(caller, target)

    async def _join(self, caller: SocketStream, target: SocketStream) -> None:
        pair = _Pair(caller, target, self._random.random())
        async with anyio.create_task_group() as tasks:
            self._pairs[pair] = tasks.cancel_scope
            tasks.start_soon(self._pump, pair, 'up', tasks.cancel_scope)
            tasks.start_soon(self._pump, pair, 'down', tasks.cancel_scope)
        self._pairs.pop(pair)

    async def _pump(
        self,
        pair: _Pair,
        direction: Direction,
        scope: anyio.CancelScope,
    ) -> None:
        source, sink = pair.caller, pair.target
        if direction == 'down':
            source, sink = sink, source
        try:
            async for chunk in source:
                if direction == 'down' and self.faults.drop_down:
                    break
                if await self._pass(pair, direction):
                    await sink.send(chunk)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pair.reset()
        # A silent connection stays open although one side has closed it.
        pair.ended += 1
        while self._silent(pair, direction) and pair.ended < BOTH_SIDES:
            await anyio.sleep(GATE_POLL_S)
        scope.cancel()

    async def _pass(self, pair: _Pair, direction: Direction) -> bool:
        """Delay a chunk; false if it is to be swallowed."""
        faults = self.faults
        delay_ms = faults.delay_ms + faults.jitter_ms * pair.jitter_share
        if delay_ms:
            await anyio.sleep(delay_ms / MS_PER_S)
        if self._silent(pair, direction):
            # Bytes lost in the middle of a stream would be no TCP.
            pair.silenced.add(direction)
            return False
        return True

    def _silent(self, pair: _Pair, direction: Direction) -> bool:
        faults = self.faults
        one_way = faults.silent_up if direction == 'up' else faults.silent_down
        return faults.silent or one_way or direction in pair.silenced


class ProxyControl:
    """HTTP interface of a proxy that is a process of its own."""

    def __init__(self, proxy: TcpProxy) -> None:
        self._proxy: Final = proxy
        self._server: Final = WebServer(
            Routes(
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
        wanted: dict[str, Any] = req.json()
        if wanted.pop('reset', False):
            self._proxy.reset_all()
        # Each request states all faults that are then in force.
        self._proxy.inject(replace(Faults(), **wanted))
        return json_response(200, asdict(self._proxy.faults))

    async def _state(self, _req: StandinRequest) -> Response:
        return json_response(200, {'accepted': self._proxy.accepted})
