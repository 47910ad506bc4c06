"""An entry that serves endpoints directly, as one object."""

import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.bounds import ColdEndpointLimiter, RetryBudget
from masticwind.serving.cleanup import Cleanup
from masticwind.serving.confirmations import Confirmations
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.directory import Decoder, Directory, Operations
from masticwind.serving.edge import CallerCodec, EdgeApp, EdgeDependencies
from masticwind.serving.freshness import Freshness
from masticwind.serving.health import Health
from masticwind.serving.link import EndpointLink
from masticwind.serving.load_link import LoadLink
from masticwind.serving.load_table import LoadTable
from masticwind.serving.mirror import Mirror, MirrorOptions, Sink
from masticwind.serving.peers import EntryPeers, Registrar
from masticwind.serving.placement import CallPlacer
from masticwind.serving.prompt_placer import PromptPlacer
from masticwind.serving.reach import Reach
from masticwind.serving.relay import Relay, RelayDependencies
from masticwind.serving.settings import LiveSettings, address_of
from masticwind.serving.store import MetadataStore
from masticwind.serving.supervision import supervise
from masticwind.serving.suspicions import Suspicions
from masticwind.serving.telemetry import Telemetry
from masticwind.web import (
    Receive,
    Scope,
    Send,
    WebServer,
    json_response,
    send_response,
)
from masticwind.web_protocol import ConnectionLimits

# Changes end a watch at once. A watch that hears nothing is given up when a
# change is known from elsewhere, so this time only bounds the calls.
OPERATIONS_WAIT_S: Final = 10.0
# Endpoints renew their registrations every second or so: a watch that hears
# nothing for longer has gone silent.
REGISTRATION_WAIT_S: Final = 1.0
# Registrations change with every heartbeat of every endpoint; they are
# taken over in batches, well within the time in which an endpoint that
# leaves must get no more work. The rest of that time is left for a call that
# has to be made again.
BATCH_SHARE: Final = 0.7
ENTRIES_WAIT_S: Final = 10.0
# A new entry is known from its datagrams within a second.
ENTRIES_BATCH_S: Final = 5.0
# Callers that arrive before the first copies have been read wait this long.
LONGEST_START_S: Final = 0.5
START_POLL_S: Final = 0.005
# After SIGTERM, callers still arrive for this long: the balancer needs two
# failed checks, a second apart, to send them elsewhere.
SERVE_ON_S: Final = 3.0
# Time before SIGKILL that is left for closing down.
CLOSE_S: Final = 0.4
POLL_S: Final = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class Prefixes:
    """Prefixes of the store."""

    operations: str
    registrations: str
    entries: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """What an entry needs of the platform on which it runs."""

    store: MetadataStore
    decoder: Decoder
    edge: CallerCodec
    link: EndpointLink
    prefixes: Prefixes


class DirectEntry:
    """Serves callers."""

    def __init__(self, settings: LiveSettings, adapter: Adapter) -> None:
        cfg = settings.cfg
        self._settings: Final = settings
        self._adapter: Final = adapter
        self._leaving = False
        self._active: Final = ActiveConfig()
        self._board: Final = LoadTable()
        self._peers: Final = EntryPeers(cfg)
        self._peer_socket: Final = PeerSocket(cfg)
        self._operations: Final = Operations(adapter.decoder, self._active)
        self._directory: Final = Directory(
            adapter.decoder,
            self._store_returned_within,
        )
        self._config_mirror: Final = Mirror(
            adapter.store,
            self._operations,
            MirrorOptions(
                prefix=adapter.prefixes.operations,
                wait_s=OPERATIONS_WAIT_S,
            ),
        )
        self._registrations: Final = self._mirror(
            self._directory,
            MirrorOptions(
                prefix=adapter.prefixes.registrations,
                wait_s=REGISTRATION_WAIT_S,
                batch_s=cfg.bounds.leave_ms * BATCH_SHARE / MS_PER_S,
            ),
        )
        self._entries: Final = self._mirror(
            self._peers,
            MirrorOptions(
                prefix=adapter.prefixes.entries,
                wait_s=ENTRIES_WAIT_S,
                batch_s=ENTRIES_BATCH_S,
            ),
        )
        self._cleanup: Final = Cleanup(
            directory=self._directory,
            health=Health(
                Suspicions(self._peer_socket, self._peers, cfg.zone),
            ),
            cold=ColdEndpointLimiter(settings, self._peers),
            link=adapter.link,
        )
        self._freshness: Final = Freshness(
            settings,
            self._config_mirror.age_s,
        )
        self._telemetry: Final = Telemetry()
        self._app: Final = EdgeApp(self._edge_parts())
        self._add_gauges()
        self._server: Final = WebServer(
            self._app,
            address_of(cfg.listen),
            self._connection_limits,
        )
        self._ready: Final = WebServer(
            self._answer_ready,
            address_of(cfg.ready),
        )

    @property
    def port(self) -> int:
        """TCP port of the callers' edge."""
        return self._server.port

    @property
    def ready_port(self) -> int:
        """TCP port of the readiness check."""
        return self._ready.port

    @property
    def endpoints_known(self) -> int:
        """Number of endpoints in this entry's copy of the registrations."""
        return self._directory.count()

    async def run(self) -> None:
        """Serve until cancelled."""
        cfg = self._settings.cfg
        registrar = Registrar(
            cfg,
            self._adapter.store,
            self._adapter.prefixes.entries,
        )
        load = LoadLink(
            self._peer_socket,
            self._peers,
            self._board,
        )
        confirmations = Confirmations(
            self._peer_socket,
            self._peers,
            self._config_mirror,
            self._settings,
        )
        async with anyio.create_task_group() as tasks:
            for part in (
                self._ready,
                self._config_mirror,
                self._registrations,
                self._entries,
                registrar,
                self._peer_socket,
                load,
                confirmations,
                self._cleanup,
            ):
                tasks.start_soon(supervise, part.run)
            if cfg.metrics_port:
                tasks.start_soon(supervise, self._metrics_server().run)
            await self._until_informed()
            await self._server.run()
            tasks.cancel_scope.cancel()

    async def drain(self) -> None:
        """Serve what runs, and what still arrives and ends in time."""
        started = time.monotonic()
        last = started + self._settings.bounds.shutdown_ms / MS_PER_S - CLOSE_S
        self._leaving = True
        self._server.close_after_response = True
        self._app.process_ends_at = last
        while time.monotonic() < last:
            self._server.close_idle_connections()
            await anyio.sleep(POLL_S)
            served_on = time.monotonic() - started >= SERVE_ON_S
            if served_on and not self._app.running_requests:
                break
        logger.bind(cut=self._app.running_requests).info('drained')
        await self._server.stop_and_wait(CLOSE_S / 2)

    def _metrics_server(self) -> WebServer:
        cfg = self._settings.cfg
        host = address_of(cfg.listen).host
        address = address_of(f'{host}:{cfg.metrics_port}')
        return WebServer(self._telemetry.serve, address)

    async def _until_informed(self) -> None:
        """Wait for the first copies; callers wait in the listen backlog."""
        with anyio.move_on_after(LONGEST_START_S):
            while not (self._informed() and self._entries.listed):
                await anyio.sleep(START_POLL_S)

    def _informed(self) -> bool:
        return self._config_mirror.listed and self._registrations.listed

    def _edge_parts(self) -> EdgeDependencies:
        adapter = self._adapter
        settings = self._settings
        entries = self._peers.count
        relay = Relay(
            RelayDependencies(
                settings=settings,
                directory=self._directory,
                operations=self._operations,
                health=self._cleanup.health,
                reach=Reach(),
                load_table=self._board,
                call_placer=CallPlacer(),
                prompt_placer=PromptPlacer(),
                link=adapter.link,
                retry_budget=RetryBudget(settings, entries),
                cold_limiter=self._cleanup.cold,
                telemetry=self._telemetry,
            )
        )
        return EdgeDependencies(
            codec=adapter.edge,
            active_config=self._active,
            freshness=self._freshness,
            relay=relay,
            telemetry=self._telemetry,
        )

    def _add_gauges(self) -> None:
        gauge = self._telemetry.gauge
        gauge(
            'masticwind_requests_running',
            'Requests in progress',
            lambda: self._app.running_requests,
        )
        gauge(
            'masticwind_config_version',
            'Version of the configuration in force',
            lambda: self._active.config.version,
        )
        gauge(
            'masticwind_config_age_seconds',
            'Time since the configuration was last confirmed',
            self._config_mirror.age_s,
        )
        gauge(
            'masticwind_endpoints',
            'Endpoints that are known',
            lambda: self.endpoints_known,
        )
        gauge(
            'masticwind_entries',
            'Entries that are registered',
            self._peers.count,
        )

    def _mirror(
        self,
        sink: Sink,
        options: MirrorOptions,
    ) -> Mirror:
        return Mirror(
            self._adapter.store,
            sink,
            options,
            leader=self._config_mirror,
        )

    def _store_returned_within(self, seconds: float) -> bool:
        return self._registrations.returned_within(seconds)

    def _connection_limits(self) -> ConnectionLimits:
        limits = self._active.config.limits
        return ConnectionLimits(
            max_header_bytes=limits.max_header_bytes,
            header_timeout_s=limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
        )

    async def _answer_ready(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        # An entry that cannot accept keys leaves callers to entries that can;
        # if none can, the balancer uses all of them.
        ready = self._informed() and not self._leaving
        ready = ready and self._freshness.trusted()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if ready:
            status = HTTPStatus.OK
        await send_response(send, json_response(status, {'ready': ready}))
