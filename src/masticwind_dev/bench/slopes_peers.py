"""Lightweight stand-in peers that speak the real inner protocol.

One process runs many listeners in the role of agents, or many dialers in the
role of entries. The first line on standard output lists the ports of the
listeners; every further line is the `PeerTotals` of the process as JSON.

    python -m masticwind_dev.bench.slopes_peers --listen 40
"""

from dataclasses import asdict, dataclass, field
from typing import Final

import anyio
import cyclopts
import msgspec
from anyio.abc import TaskGroup

from masticwind.config.current import CurrentConfig
from masticwind.peer_identity import PeerIdentity
from masticwind.protocol.channel import Channel
from masticwind.protocol.dialer import keep_connected
from masticwind.protocol.listener import Listener, PeerHandler
from masticwind.protocol.messages import (
    Accepted,
    AnyMessage,
    End,
    Load,
    Offer,
    Output,
)
from masticwind.settings import Address, PeerSettings

REPORT_INTERVAL_S: Final = 0.5
TOKEN_INTERVAL_S: Final = 0.025
ZONE: Final = 'zone-a'
# The load report of an idle agent whose engine has two models.
IDLE_LOAD: Final = Load(
    state='serving',
    models=('standard', 'large'),
    slots=64,
    prefill_tokens_per_s=50_000,
    memory_free_tokens=1_500_000,
    memory_total_tokens=1_500_000,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerTotals:
    """Open connections and their bytes, counted by the peers.

    The bytes are inner protocol frames without WebSocket, TCP and IP
    headers; `bytes_in` is what the peers have received.
    """

    open: int
    bytes_in: int
    bytes_out: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersPlan:
    """Peers of one process; `first_number` is part of their names."""

    listener_count: int = 0
    dialer_count: int = 0
    target_port: int = 0
    first_number: int = 0
    heartbeat_ms: int = 500
    silence_ms: int = 1500
    secret: str = 'fleet-secret'


@dataclass(slots=True)
class _StandinPeerHandler(PeerHandler):
    """Reports an idle load and answers offers with a token every 25 ms."""

    tasks: TaskGroup
    fixed_load: Load | None
    channels: list[Channel] = field(default_factory=list)

    def load_report(self) -> Load | None:
        """Return the same load report each time; dialers have none."""
        return self.fixed_load

    def connection_opened(self, channel: Channel) -> None:
        """Keep the channel so that its bytes are counted."""
        self.channels.append(channel)

    def connection_lost(self, channel: Channel) -> None:
        """Keep the channel: its bytes stay in the totals."""

    async def handle_message(
        self, channel: Channel, message: AnyMessage
    ) -> None:
        """Serve an offer."""
        if isinstance(message, Offer):
            self.tasks.start_soon(_serve_offer, channel, message)


async def _serve_offer(channel: Channel, offer: Offer) -> None:
    req, attempt = offer.request_id, offer.attempt
    channel.send(Accepted(req, attempt, 0, offer.body_bytes))
    for offset in range(offer.max_tokens):
        await anyio.sleep(TOKEN_INTERVAL_S)
        channel.send(Output(req, attempt, offset, (' lime',)))
    channel.send(End(req, attempt, offer.max_tokens))


async def _run_peers(plan: PeersPlan) -> None:
    peers = PeerSettings(
        secrets=(plan.secret,),
        heartbeat_ms=plan.heartbeat_ms,
        silence_ms=plan.silence_ms,
    )
    async with anyio.create_task_group() as tasks:
        fixed_load = IDLE_LOAD if plan.listener_count else None
        handler = _StandinPeerHandler(tasks, fixed_load)
        config = CurrentConfig()
        ports: list[int] = []
        for number in range(
            plan.first_number, plan.first_number + plan.listener_count
        ):
            identity = PeerIdentity(
                role='agent',
                name=f'peer-{number}',
                zone=ZONE,
                endpoint=f'engine-{number}',
            )
            listener = Listener(identity, Address(), peers, config, handler)
            ports.append(listener.port)
            tasks.start_soon(listener.run)
        for number in range(
            plan.first_number, plan.first_number + plan.dialer_count
        ):
            tasks.start_soon(
                keep_connected,
                Address(port=plan.target_port),
                PeerIdentity(role='entry', name=f'peer-{number}', zone=ZONE),
                peers,
                config,
                handler,
            )
        print(msgspec.json.encode(ports).decode(), flush=True)
        await _print_totals(handler)


async def _print_totals(handler: _StandinPeerHandler) -> None:
    while True:
        await anyio.sleep(REPORT_INTERVAL_S)
        totals = PeerTotals(
            open=sum(not channel.closed for channel in handler.channels),
            bytes_in=sum(channel.bytes_in for channel in handler.channels),
            bytes_out=sum(channel.bytes_out for channel in handler.channels),
        )
        print(msgspec.json.encode(asdict(totals)).decode(), flush=True)


def main(
    *,
    listen: int = 0,
    dial: int = 0,
    port: int = 0,
    first: int = 0,
    heartbeat_ms: int = 500,
    silence_ms: int = 1500,
) -> None:
    """Run the peers until the process is stopped."""
    plan = PeersPlan(
        listener_count=listen,
        dialer_count=dial,
        target_port=port,
        first_number=first,
        heartbeat_ms=heartbeat_ms,
        silence_ms=silence_ms,
    )
    anyio.run(_run_peers, plan, backend_options={'use_uvloop': True})


if __name__ == '__main__':
    cyclopts.run(main)
