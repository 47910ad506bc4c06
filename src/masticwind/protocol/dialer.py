"""Opens inner connections and reopens them when they fail."""

import random
import time
from typing import Final

import anyio
from anyio.lowlevel import checkpoint
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

INITIAL_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 2.0
# A connection that lasts longer than this shows that its peer is healthy and
# resets the retry delay.
STABLE_CONNECTION_S: Final = 5.0
# A silent connection that is not replaced is lost after this many limits.
SILENT_LIMITS: Final = 2


class DialRateLimiter:
    """Limits the dials of one process with a token bucket of one second."""

    def __init__(self) -> None:
        self._next_dial_at = 0.0

    async def acquire(self, dials_per_s: int) -> None:
        """Wait until another dial is within `dials_per_s`."""
        now = time.monotonic()
        # Unused dials of the last second may be made at once.
        self._next_dial_at = max(self._next_dial_at, now - 1) + 1 / dials_per_s
        await anyio.sleep(max(0, self._next_dial_at - now))


_dial_limiter: Final = DialRateLimiter()


async def dial(
    address: Address,
    node: PeerIdentity,
    cfg: PeerSettings,
    config: CurrentConfig,
) -> Channel | Failure:
    """Connect to a peer and run the handshake."""
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

    A silent connection is used until it is replaced or lost, since its peer
    may go on. Retries back off exponentially with full jitter, so that peers
    that lost the same instance do not all reconnect at once. Only a connection
    that lasts longer than `STABLE_CONNECTION_S` resets the backoff.
    """
    delay_s = INITIAL_RETRY_DELAY_S
    silent_channel: Channel | None = None
    async with anyio.create_task_group() as tasks:
        while True:
            await _dial_limiter.acquire(cfg.dials_per_s)
            channel = await dial(address, node, cfg, config)
            if not isinstance(channel, Failure):
                opened_at = time.monotonic()
                tasks.start_soon(
                    serve_channel,
                    channel,
                    cfg,
                    config,
                    handler,
                    SILENT_LIMITS,
                )
                # The handler switches to the new connection first.
                await checkpoint()
                if silent_channel is not None:
                    silent_channel.stop_sending()
                await channel.silent_event.wait()
                silent_channel = channel
                if time.monotonic() - opened_at > STABLE_CONNECTION_S:
                    delay_s = INITIAL_RETRY_DELAY_S
            await anyio.sleep(random.uniform(0, delay_s))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
