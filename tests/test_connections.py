"""Inner connections under faults of the network between two processes."""

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
from masticwind.protocol.dialer import DialBudget, dial, keep_connected
from masticwind.protocol.handshake import make_proof
from masticwind.protocol.listener import Listener, PeerHandler
from masticwind.protocol.messages import AnyMessage, Body, Cancel, Hello, Proof
from masticwind.settings import Address, PeerSettings
from masticwind_dev.faults.proxy import Faults, TcpProxy

pytestmark = pytest.mark.anyio

CFG = PeerSettings(secrets=('first',), heartbeat_ms=100, silence_ms=300)
# One interval for the heartbeat that goes unanswered, one for scheduling.
NOTICE_S = 0.3 + 0.1 + 0.1


@dataclass
class Recorder(PeerHandler):
    """Notes what a process is told of its connections."""

    channels: list[Channel] = field(default_factory=list)
    lost_channels: list[Channel] = field(default_factory=list)
    messages: list[AnyMessage] = field(default_factory=list)

    def load(self) -> None:
        """Report no load."""

    def opened(self, channel: Channel) -> None:
        self.channels.append(channel)

    def lost(self, channel: Channel) -> None:
        if channel not in self.lost_channels:
            self.lost_channels.append(channel)

    async def handle(self, channel: Channel, message: AnyMessage) -> None:
        self.messages.append(message)


@dataclass
class Pair:
    """A dialer and a listener with a proxy between them."""

    tasks: TaskGroup
    proxy: TcpProxy
    listener: Listener
    near: Recorder = field(default_factory=Recorder)
    far: Recorder = field(default_factory=Recorder)

    async def wait_for(self, near: int, far: int, *, lost: bool) -> None:
        """Wait until the ends have seen so many connections."""
        while True:
            seen = [
                len(one.lost_channels if lost else one.channels)
                for one in (self.near, self.far)
            ]
            if seen[0] >= near and seen[1] >= far:
                return
            await anyio.sleep(0.01)


@asynccontextmanager
async def pair(cfg: PeerSettings = CFG) -> AsyncIterator[Pair]:
    """Run a dialer that is connected to a listener through a proxy."""
    async with anyio.create_task_group() as tasks:
        far = Recorder()
        config = CurrentConfig()
        node = PeerIdentity(role='agent', name='far', zone='z')
        listener = Listener(node, Address(), cfg, config, far)
        proxy = TcpProxy('127.0.0.1', listener.port)
        both = Pair(tasks, proxy, listener, far=far)
        tasks.start_soon(listener.run)
        tasks.start_soon(proxy.run)
        tasks.start_soon(
            keep_connected,
            Address(port=proxy.port),
            PeerIdentity(role='entry', name='near', zone='z'),
            cfg,
            config,
            both.near,
        )
        with anyio.fail_after(5):
            await both.wait_for(1, 1, lost=False)
        yield both
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
async def test_silence_is_noticed_by_both_ends(faults: Faults) -> None:
    """Guards against one end that trusts a connection lost one way only."""
    async with pair() as both:
        await anyio.sleep(0.3)
        both.proxy.inject(faults)
        with anyio.fail_after(NOTICE_S):
            await both.wait_for(1, 1, lost=True)
        both.proxy.inject(Faults())
        with anyio.fail_after(5):
            await both.wait_for(2, 2, lost=False)


async def test_quiet_connection_is_kept() -> None:
    """Guards against replacing a slow but working connection."""
    async with pair() as both:
        both.proxy.inject(Faults(delay_ms=50))
        await anyio.sleep(2)
        assert not both.near.lost_channels
        assert not both.far.lost_channels


async def test_reset_connection_is_replaced() -> None:
    """Guards against an end that waits for the silence limit on a reset."""
    async with pair() as both:
        await anyio.sleep(0.1)
        both.proxy.reset_all()
        with anyio.fail_after(0.5):
            await both.wait_for(2, 2, lost=False)


async def test_flush_waits_for_the_reader() -> None:
    """Guards against an exit before the last message was read."""
    async with pair() as both:
        await anyio.sleep(0.3)
        both.proxy.inject(Faults(delay_ms=100))
        both.far.channels[0].send(Cancel('r', 0))
        assert await both.listener.flush()
        assert Cancel('r', 0) in both.near.messages


async def test_flush_fails_on_a_silent_connection() -> None:
    """Guards against a shutdown that takes a lost answer for delivered."""
    async with pair() as both:
        await anyio.sleep(0.3)
        both.proxy.inject(Faults(silent_old=True))
        with anyio.fail_after(2):
            assert not await both.listener.flush()


async def test_secrets_rotate_without_a_restart(tmp_path: Path) -> None:
    """Guards against a rotation that cuts off one of two processes."""
    path = tmp_path / 'secrets'
    path.write_text('old\n')
    cfg = replace(CFG, secrets=('unused',), secrets_file=str(path))
    async with pair(cfg) as both:
        address = Address(port=both.listener.port)
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


async def _handshake(port: int, own: Hello, proof: Proof | None) -> bool:
    """Return whether the listener accepts this handshake."""
    async with connect(f'ws://127.0.0.1:{port}/', proxy=None) as conn:
        await conn.send(encode_frame([own]))
        messages = decode_frame(await conn.recv(decode=False))
        assert not isinstance(messages, Failure)
        peer = messages[0]
        assert isinstance(peer, Hello)
        made = make_proof('first', 'dialer', own, peer)
        await conn.send(encode_frame([proof or made]))
        try:
            await conn.recv()
        except ConnectionClosed:
            return False
    return True


async def test_replayed_and_reflected_handshakes_fail() -> None:
    """Guards against entry with a recorded or returned proof."""
    async with pair() as both:
        port = both.listener.port
        own = PeerIdentity(role='entry', name='thief', zone='z').hello(0)
        assert await _handshake(port, own, None)
        recorded = make_proof('first', 'dialer', own, own)
        assert not await _handshake(port, own, recorded)
        async with connect(f'ws://127.0.0.1:{port}/', proxy=None) as conn:
            await conn.send(encode_frame([own]))
            hello = await conn.recv(decode=False)
        messages = decode_frame(hello)
        assert not isinstance(messages, Failure)
        peer = messages[0]
        assert isinstance(peer, Hello)
        reflected = make_proof('first', 'listener', own, peer)
        assert not await _handshake(port, own, reflected)


async def test_unauthenticated_frames_are_small_and_few() -> None:
    """Guards against memory and time taken by a peer without a secret."""
    async with pair() as both:
        url = f'ws://127.0.0.1:{both.listener.port}/'
        async with connect(url, proxy=None) as conn:
            with anyio.fail_after(2), pytest.raises(ConnectionClosed):
                await conn.send(bytes(5000))
                await conn.recv()
        async with connect(url, proxy=None) as conn:
            with anyio.fail_after(2), pytest.raises(ConnectionClosed):
                await conn.recv()


async def test_dials_are_budgeted() -> None:
    """Guards against a storm of dials when a zone returns."""
    budget = DialBudget()
    started = anyio.current_time()
    for _ in range(30):
        await budget.acquire(20)
    # The first second's worth is free, the rest waits for its turn.
    spent_ms = int(1000 * (anyio.current_time() - started))
    assert 400 <= spent_ms <= 1000


async def test_two_bodies_share_a_full_queue() -> None:
    """Guards against a sender that nobody wakes when the queue has room."""
    async with pair() as both:
        channel = both.near.channels[0]

        async def send(name: str) -> None:
            for number in range(40):
                chunk = bytes(100_000)
                await channel.send_bulk(Body(name, 0, chunk, False, number))

        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                for name in ('a', 'b', 'c'):
                    tasks.start_soon(send, name)
        with anyio.fail_after(5):
            while sum(isinstance(one, Body) for one in both.far.messages) < 120:
                await anyio.sleep(0.01)
