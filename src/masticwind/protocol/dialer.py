"""Opens inner connections and replaces them when they fail."""

import random
import time
from typing import Final

import anyio
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from masticwind.budget import MS_PER_S
from masticwind.config.current import CurrentConfig
from masticwind.errors import ErrorKind, Failure
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.channel import Channel, authenticate
from masticwind.protocol.codec import MAX_HANDSHAKE_BYTES
from masticwind.protocol.listener import PeerHandler, serve_channel
from masticwind.settings import Address, PeerSettings

FIRST_DELAY_S: Final = 0.05
MAX_DELAY_S: Final = 2.0
# A connection that lasts this long has shown that its peer is well.
STABLE_S: Final = 5.0


class DialBudget:
    """Spreads the dials of one process: a token bucket of one second."""

    def __init__(self) -> None:
        self._next = 0.0

    async def acquire(self, dials_per_s: int) -> None:
        """Wait until another dial is within the rate."""
        now = time.monotonic()
        # Up to a second's worth of unused dials may be made at once.
        self._next = max(self._next, now - 1) + 1 / dials_per_s
        await anyio.sleep(max(0, self._next - now))


_budget: Final = DialBudget()


async def dial(
    address: Address,
    node: PeerIdentity,
    cfg: PeerSettings,
    config: CurrentConfig,
) -> Channel | Failure:
    """Connect to a peer and authenticate both sides."""
    timeout_s = cfg.connect_timeout_ms / MS_PER_S
    try:
        conn = await connect(
            f'ws://{address.host}:{address.port}/',
            compression=None,
            ping_interval=None,
            max_size=MAX_HANDSHAKE_BYTES,
            open_timeout=timeout_s,
            close_timeout=1,
            proxy=None,
        )
    except (OSError, WebSocketException) as exc:
        return Failure(kind=ErrorKind.NO_CAPACITY, reason=str(exc))
    own = node.hello(config.number)
    channel = await authenticate(conn, own, cfg, 'dialer')
    if isinstance(channel, Failure):
        conn.transport.abort()
    return channel


async def keep_connected(
    address: Address,
    node: PeerIdentity,
    cfg: PeerSettings,
    config: CurrentConfig,
    handler: PeerHandler,
) -> None:
    """Keep one connection to a peer open until cancelled.

    A silent connection is replaced while frames that are still under way on
    it are read. Retries back off exponentially with full jitter, so that
    peers that lost the same instance do not all return at once; a connection
    resets the backoff only after it has been stable.
    """
    delay_s = FIRST_DELAY_S
    async with anyio.create_task_group() as tasks:
        while True:
            await _budget.acquire(cfg.dials_per_s)
            channel = await dial(address, node, cfg, config)
            if not isinstance(channel, Failure):
                opened = time.monotonic()
                tasks.start_soon(serve_channel, channel, cfg, config, handler)
                await channel.unusable.wait()
                if time.monotonic() - opened > STABLE_S:
                    delay_s = FIRST_DELAY_S
            await anyio.sleep(random.uniform(0, delay_s))
            delay_s = min(MAX_DELAY_S, delay_s * 2)
