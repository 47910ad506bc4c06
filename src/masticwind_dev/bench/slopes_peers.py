"""Light stand-in peers that speak the real inner protocol.

One process holds many listeners (agents, as an entry sees them) or many
dialers (entries, as an agent sees them). The first line on standard output
lists the ports; every further line is a `Totals` of the process.

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

REPORT_S: Final = 0.5
TOKEN_S: Final = 0.025
ZONE: Final = 'zone-a'
# What an idle agent of an engine with two models reports.
IDLE_LOAD: Final = Load(
    state='serving',
    models=('standard', 'large'),
    slots=64,
    prefill_tokens_per_s=50_000,
    memory_free_tokens=1_500_000,
    memory_total_tokens=1_500_000,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Totals:
    """Open connections and their bytes, as the peers count them.

    The bytes are inner protocol frames without WebSocket, TCP and IP
    headers; `bytes_in` is what the peers have received.
    """

    open: int
    bytes_in: int
    bytes_out: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersPlan:
    """Peers of one process: `listen` listeners, or `dial` dialers to `port`."""

    listen: int = 0
    dial: int = 0
    port: int = 0
    first: int = 0
    heartbeat_ms: int = 500
    silence_ms: int = 1500
    secret: str = 'fleet-secret'


@dataclass(slots=True)
class _Peer(PeerHandler):
    """Reports an idle load and answers offers with a token every 25 ms."""

    tasks: TaskGroup
    report: Load | None
    channels: list[Channel] = field(default_factory=list)

    def load_report(self) -> Load | None:
        """Return a load report that never changes."""
        return self.report

    def connection_opened(self, channel: Channel) -> None:
        """Keep the channel for its byte counts."""
        self.channels.append(channel)

    def connection_lost(self, channel: Channel) -> None:
        """A lost channel still counts its bytes."""

    async def handle_message(
        self, channel: Channel, message: AnyMessage
    ) -> None:
        """Answer an offer."""
        if isinstance(message, Offer):
            self.tasks.start_soon(_serve, channel, message)


async def _serve(channel: Channel, offer: Offer) -> None:
    req, attempt = offer.request_id, offer.attempt
    channel.send(Accepted(req, attempt, 0, offer.body_bytes))
    for offset in range(offer.max_tokens):
        await anyio.sleep(TOKEN_S)
        channel.send(Output(req, attempt, offset, (' lime',)))
    channel.send(End(req, attempt, offer.max_tokens))


async def _run(plan: PeersPlan) -> None:
    peers = PeerSettings(
        secrets=(plan.secret,),
        heartbeat_ms=plan.heartbeat_ms,
        silence_ms=plan.silence_ms,
    )
    async with anyio.create_task_group() as tasks:
        report = IDLE_LOAD if plan.listen else None
        handler = _Peer(tasks, report)
        config = CurrentConfig()
        ports: list[int] = []
        for number in range(plan.first, plan.first + plan.listen):
            node = PeerIdentity(
                role='agent',
                name=f'peer-{number}',
                zone=ZONE,
                endpoint=f'engine-{number}',
            )
            one = Listener(node, Address(), peers, config, handler)
            ports.append(one.port)
            tasks.start_soon(one.run)
        for number in range(plan.first, plan.first + plan.dial):
            tasks.start_soon(
                keep_connected,
                Address(port=plan.port),
                PeerIdentity(role='entry', name=f'peer-{number}', zone=ZONE),
                peers,
                config,
                handler,
            )
        print(msgspec.json.encode(ports).decode(), flush=True)
        await _report(handler)


async def _report(handler: _Peer) -> None:
    while True:
        await anyio.sleep(REPORT_S)
        totals = Totals(
            open=sum(not one.closed for one in handler.channels),
            bytes_in=sum(one.bytes_in for one in handler.channels),
            bytes_out=sum(one.bytes_out for one in handler.channels),
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
    """Run the peers until the process is ended."""
    plan = PeersPlan(
        listen=listen,
        dial=dial,
        port=port,
        first=first,
        heartbeat_ms=heartbeat_ms,
        silence_ms=silence_ms,
    )
    anyio.run(_run, plan, backend_options={'use_uvloop': True})


if __name__ == '__main__':
    cyclopts.run(main)
