"""Inner connections during network faults between two processes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio
import pytest
from anyio.abc import TaskGroup
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from masticwind.config.current import CurrentConfig
from masticwind.errors import Failure
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.channel import Channel
from masticwind.protocol.codec import decode_frame, encode_frame
from masticwind.protocol.dialer import DialRateLimiter, dial, keep_connected
from masticwind.protocol.handshake import make_proof
from masticwind.protocol.listener import Listener, PeerHandler
from masticwind.protocol.messages import AnyMessage, Body, Cancel, Hello, Proof
from masticwind.settings import Address, PeerSettings
from masticwind_dev.faults.proxy import Faults, TcpProxy

pytestmark = pytest.mark.anyio

CFG = PeerSettings(secrets=('first',), heartbeat_ms=100, silence_ms=300)
# The silence limit, one heartbeat interval until a heartbeat is sent that gets
# no echo, and as much again for scheduling delays.
SILENCE_DETECTION_S = 0.3 + 0.1 + 0.1


@dataclass
class RecordingHandler(PeerHandler):
    """Records the connections, losses and messages of one process."""

    channels: list[Channel] = field(default_factory=list)
    lost_channels: list[Channel] = field(default_factory=list)
    messages: list[AnyMessage] = field(default_factory=list)

    def load_report(self) -> None:
        """Report no load."""

    def connection_opened(self, channel: Channel) -> None:
        self.channels.append(channel)

    def connection_lost(self, channel: Channel) -> None:
        if channel not in self.lost_channels:
            self.lost_channels.append(channel)

    async def handle_message(
        self, channel: Channel, message: AnyMessage
    ) -> None:
        self.messages.append(message)


@dataclass
class ConnectedPair:
    """A dialer and a listener with a proxy between them."""

    tasks: TaskGroup
    proxy: TcpProxy
    listener: Listener
    dialer_handler: RecordingHandler = field(default_factory=RecordingHandler)
    listener_handler: RecordingHandler = field(default_factory=RecordingHandler)

    async def wait_for_connections(
        self, dialer_count: int, listener_count: int, *, lost: bool
    ) -> None:
        """Wait until each side has had that many connections or losses."""
        while True:
            counts = [
                len(handler.lost_channels if lost else handler.channels)
                for handler in (self.dialer_handler, self.listener_handler)
            ]
            if counts[0] >= dialer_count and counts[1] >= listener_count:
                return
            await anyio.sleep(0.01)


@asynccontextmanager
async def connected_pair(
    cfg: PeerSettings = CFG,
) -> AsyncIterator[ConnectedPair]:
    """Run a dialer that is connected to a listener through a proxy."""
    async with anyio.create_task_group() as tasks:
        listener_handler = RecordingHandler()
        config = CurrentConfig()
        node = PeerIdentity(role='agent', name='far', zone='z')
        listener = Listener(node, Address(), cfg, config, listener_handler)
        proxy = TcpProxy('127.0.0.1', listener.port)
        pair = ConnectedPair(
            tasks, proxy, listener, listener_handler=listener_handler
        )
        tasks.start_soon(listener.run)
        tasks.start_soon(proxy.run)
        tasks.start_soon(
            keep_connected,
            Address(port=proxy.port),
            PeerIdentity(role='entry', name='near', zone='z'),
            cfg,
            config,
            pair.dialer_handler,
        )
        with anyio.fail_after(5):
            await pair.wait_for_connections(1, 1, lost=False)
        yield pair
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    'faults',
    [
        Faults(silent_old=True),
        Faults(silent_up=True),
        Faults(silent_down=True),
    ],
    ids=['both', 'up', 'down'],
)
async def test_both_sides_detect_a_silent_connection(faults: Faults) -> None:
    """Guards against a side that keeps using a connection lost one way only."""
    async with connected_pair() as pair:
        await anyio.sleep(0.3)
        pair.proxy.inject(faults)
        with anyio.fail_after(SILENCE_DETECTION_S):
            await pair.wait_for_connections(1, 1, lost=True)
        pair.proxy.inject(Faults())
        with anyio.fail_after(5):
            await pair.wait_for_connections(2, 2, lost=False)


async def test_slow_connection_is_kept() -> None:
    """Guards against replacing a slow but working connection."""
    async with connected_pair() as pair:
        pair.proxy.inject(Faults(delay_ms=50))
        await anyio.sleep(2)
        assert not pair.dialer_handler.lost_channels
        assert not pair.listener_handler.lost_channels


async def test_reset_connection_is_replaced() -> None:
    """Guards against waiting for the silence limit after a reset."""
    async with connected_pair() as pair:
        await anyio.sleep(0.1)
        pair.proxy.reset_all()
        with anyio.fail_after(0.5):
            await pair.wait_for_connections(2, 2, lost=False)


async def test_flush_waits_for_the_reader() -> None:
    """Guards against a process that exits before its last message is read."""
    async with connected_pair() as pair:
        await anyio.sleep(0.3)
        pair.proxy.inject(Faults(delay_ms=100))
        pair.listener_handler.channels[0].send(Cancel('r', 0))
        assert await pair.listener.flush()
        assert Cancel('r', 0) in pair.dialer_handler.messages


async def test_flush_fails_on_a_silent_connection() -> None:
    """Guards against a shutdown that takes a lost message for delivered."""
    async with connected_pair() as pair:
        await anyio.sleep(0.3)
        pair.proxy.inject(Faults(silent_old=True))
        with anyio.fail_after(2):
            assert not await pair.listener.flush()


async def test_secrets_are_rotated_without_a_restart(tmp_path: Path) -> None:
    """Guards against a rotation that locks out one of two processes."""
    path = tmp_path / 'secrets'
    path.write_text('old\n')
    cfg = replace(CFG, secrets=('unused',), secrets_file=str(path))
    async with connected_pair(cfg) as pair:
        address = Address(port=pair.listener.port)
        node = PeerIdentity(role='entry', name='other', zone='z')
        config = CurrentConfig()
        old = PeerSettings(secrets=('old',))
        new = PeerSettings(secrets=('new',))
        assert isinstance(await dial(address, node, old, config), Channel)
        assert isinstance(await dial(address, node, new, config), Failure)
        path.write_text('old\nnew\n')
        assert isinstance(await dial(address, node, old, config), Channel)
        assert isinstance(await dial(address, node, new, config), Channel)
        path.write_text('new\n')
        assert isinstance(await dial(address, node, old, config), Failure)
        path.write_text('')
        assert isinstance(await dial(address, node, new, config), Channel)


async def _is_handshake_accepted(
    port: int, own: Hello, proof: Proof | None
) -> bool:
    """Return whether the listener accepts `proof`, or a valid one for None."""
    async with connect(f'ws://127.0.0.1:{port}/', proxy=None) as conn:
        await conn.send(encode_frame([own]))
        messages = decode_frame(await conn.recv(decode=False))
        assert not isinstance(messages, Failure)
        peer = messages[0]
        assert isinstance(peer, Hello)
        valid_proof = make_proof('first', 'dialer', own, peer)
        await conn.send(encode_frame([proof or valid_proof]))
        try:
            await conn.recv()
        except ConnectionClosed:
            return False
    return True


async def test_replayed_and_reflected_proofs_are_refused() -> None:
    """Guards against authentication with a replayed or reflected proof."""
    async with connected_pair() as pair:
        port = pair.listener.port
        own = PeerIdentity(role='entry', name='thief', zone='z').hello(0)
        assert await _is_handshake_accepted(port, own, None)
        recorded = make_proof('first', 'dialer', own, own)
        assert not await _is_handshake_accepted(port, own, recorded)
        async with connect(f'ws://127.0.0.1:{port}/', proxy=None) as conn:
            await conn.send(encode_frame([own]))
            hello = await conn.recv(decode=False)
        messages = decode_frame(hello)
        assert not isinstance(messages, Failure)
        peer = messages[0]
        assert isinstance(peer, Hello)
        reflected = make_proof('first', 'listener', own, peer)
        assert not await _is_handshake_accepted(port, own, reflected)


async def test_unauthenticated_frame_size_and_time_are_limited() -> None:
    """Guards against a peer without a secret that uses up memory or time."""
    async with connected_pair() as pair:
        url = f'ws://127.0.0.1:{pair.listener.port}/'
        async with connect(url, proxy=None) as conn:
            with anyio.fail_after(2), pytest.raises(ConnectionClosed):
                await conn.send(bytes(5000))
                await conn.recv()
        async with connect(url, proxy=None) as conn:
            with anyio.fail_after(2), pytest.raises(ConnectionClosed):
                await conn.recv()


async def test_dials_are_rate_limited() -> None:
    """Guards against a burst of dials when a zone recovers."""
    limiter = DialRateLimiter()
    started_at = anyio.current_time()
    for _ in range(30):
        await limiter.acquire(20)
    # The first second's dials are not delayed, the rest are spread out.
    elapsed_ms = int(1000 * (anyio.current_time() - started_at))
    assert 400 <= elapsed_ms <= 1000


async def test_concurrent_senders_wake_when_a_full_queue_has_space() -> None:
    """Guards against a sender that is not woken when the queue has space."""
    async with connected_pair() as pair:
        channel = pair.dialer_handler.channels[0]

        async def send(name: str) -> None:
            for number in range(40):
                chunk = bytes(100_000)
                await channel.send_bulk(Body(name, 0, chunk, False, number))

        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                for name in ('a', 'b', 'c'):
                    tasks.start_soon(send, name)
        with anyio.fail_after(5):
            while (
                sum(
                    isinstance(message, Body)
                    for message in pair.listener_handler.messages
                )
                < 120
            ):
                await anyio.sleep(0.01)
