"""Assembles and runs an entry of direct serving."""

from http import HTTPStatus
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.adapter import PlatformAdapter
from masticwind.serving.admission.parts import build_admission
from masticwind.serving.caller_server import (
    build_caller_server,
    build_operators_server,
    caller_limits,
)
from masticwind.serving.cleanup import build_cleanup, build_news
from masticwind.serving.config_versions import ConfigVersions
from masticwind.serving.confirmations import Confirmations
from masticwind.serving.costs.wiring import build_load_and_costs
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.directory import (
    EndpointDirectory,
    OperatorState,
)
from masticwind.serving.edge import EdgeApp, EdgeDependencies
from masticwind.serving.freshness import ConfigFreshness
from masticwind.serving.lifetime import (
    Lifetime,
    SignalAge,
    no_signal_age,
)
from masticwind.serving.limit_link import LimitLink
from masticwind.serving.mirror import Mirror, MirrorOptions
from masticwind.serving.operations import (
    OperationsApp,
    add_endpoint_gauges,
    add_request_gauges,
)
from masticwind.serving.peers import EntryPeers, Registrar
from masticwind.serving.placement.load_link import LoadLink
from masticwind.serving.quarantine import build_quarantine
from masticwind.serving.relay import Relay
from masticwind.serving.relay_dependencies import RelayDependencies
from masticwind.serving.route_explainer import RouteExplainer
from masticwind.serving.settings import LiveSettings, parse_address
from masticwind.serving.store_connection import StoreConnection
from masticwind.serving.supervision import supervise
from masticwind.serving.telemetry import Telemetry
from masticwind.web import (
    Receive,
    Scope,
    Send,
    WebServer,
    json_response,
    send_response,
)

# A change ends a watch call at once. A watch that misses a change is cancelled
# when other entries report the change, so a long wait only saves calls.
CONFIG_WATCH_S: Final = 10.0
# Endpoints renew their registrations about once a second, so a watch without
# changes for longer has a dead connection.
REGISTRATION_WATCH_S: Final = 1.0
# Share of `leave_ms` for which changes of registrations are collected. They
# change with every heartbeat of every endpoint and are applied in batches. An
# endpoint that is leaving must get no more work after `leave_ms`; the rest of
# this time allows for one more attempt of a failed call.
REGISTRATION_BATCH_SHARE: Final = 0.7
ENTRIES_WATCH_S: Final = 10.0
# May be long, since a new entry is known from its datagrams within a second.
ENTRIES_BATCH_INTERVAL_S: Final = 5.0
# Longest wait of callers that arrive before the mirrors have loaded.
MAX_STARTUP_WAIT_S: Final = 0.5
STARTUP_POLL_INTERVAL_S: Final = 0.005
DRAIN_POLL_INTERVAL_S: Final = 0.05


class DirectEntry:
    """Serves callers by sending their requests to endpoints itself."""

    def __init__(
        self, settings: LiveSettings, adapter: PlatformAdapter
    ) -> None:
        cfg = settings.cfg
        self._settings: Final = settings
        self._adapter: Final = adapter
        self._draining = False
        self._serving: Final = anyio.Event()
        self._active_config: Final = ActiveConfig()
        self._telemetry: Final = Telemetry()
        costs = build_load_and_costs(cfg, self._telemetry)
        self._costs: Final = costs.model
        self._load_table: Final = costs.load_table
        self._peers: Final = EntryPeers(cfg)
        self._peer_socket: Final = PeerSocket(cfg)
        self._operator_state: Final = OperatorState(
            adapter.decoder, self._active_config
        )
        store_connection = StoreConnection(adapter.prefixes.operations)
        registrations = StoreConnection(
            adapter.prefixes.registrations, store_connection
        )
        self._directory: Final = EndpointDirectory(
            adapter.decoder, registrations
        )
        self._config_mirror: Final = Mirror(
            adapter.store,
            self._operator_state,
            MirrorOptions(
                prefix=adapter.prefixes.operations,
                wait_s=CONFIG_WATCH_S,
            ),
            connection=store_connection,
        )
        self._registrations_mirror: Final = Mirror(
            adapter.store,
            self._directory,
            MirrorOptions(
                prefix=adapter.prefixes.registrations,
                wait_s=REGISTRATION_WATCH_S,
                batch_interval_s=cfg.bounds.leave_ms
                * REGISTRATION_BATCH_SHARE
                / MS_PER_S,
            ),
            connection=registrations,
        )
        self._entries_mirror: Final = Mirror(
            adapter.store,
            self._peers,
            MirrorOptions(
                prefix=adapter.prefixes.entries,
                wait_s=ENTRIES_WATCH_S,
                batch_interval_s=ENTRIES_BATCH_INTERVAL_S,
            ),
            connection=StoreConnection(
                adapter.prefixes.entries, store_connection
            ),
        )
        self._limit_link: Final = LimitLink(self._peer_socket, self._peers)
        news = build_news(
            settings,
            self._peer_socket,
            self._peers,
            directory=self._directory,
            observers=self._load_table.observers,
            telemetry=self._telemetry,
        )
        self._cleanup: Final = build_cleanup(
            settings,
            self._peers,
            directory=self._directory,
            limits=self._limit_link.limits,
            news=news,
            endpoint_client=adapter.endpoint_client,
        )
        self._cleanup.forget_callbacks.append(self._costs.forget)
        self._quarantine: Final = build_quarantine(
            self._peer_socket,
            self._peers,
            adapter.store,
            adapter.prefixes.crashes,
        )
        self._versions: Final = ConfigVersions(
            self._config_mirror, self._operator_state, self._peers
        )
        self._freshness: Final = ConfigFreshness(
            settings,
            self._versions.age_s,
        )
        self._admission: Final = build_admission(
            settings, self._peer_socket, self._peers, self._telemetry
        )
        self._lifetime: Final = Lifetime()
        edge_dependencies = self._edge_dependencies()
        self._app: Final = EdgeApp(edge_dependencies)
        add_request_gauges(self._app, edge_dependencies)
        add_endpoint_gauges(self._telemetry, self._cleanup, self._quarantine)
        self._telemetry.add_gauge(
            'masticwind_config_age_seconds',
            'Time since the configuration was last confirmed',
            self._versions.age_s,
        )
        self._telemetry.add_gauge(
            'masticwind_entries',
            'Entries that are registered',
            self._peers.count,
        )
        self._telemetry.add_gauge(
            'masticwind_return_promises',
            'Callers that were refused and promised room',
            self._admission.promise_count,
        )
        self._server: Final = build_caller_server(
            self._app, cfg, self._active_config, self._telemetry
        )
        self._ready_server: Final = build_operators_server(
            self._answer_ready, cfg.ready
        )

    @property
    def port(self) -> int:
        """TCP port on which callers are served."""
        return self._server.port

    @property
    def ready_port(self) -> int:
        """TCP port of the readiness check."""
        return self._ready_server.port

    @property
    def endpoint_count(self) -> int:
        """Number of endpoints in this entry's copy of the registrations."""
        return self._directory.count()

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are kept until they can be passed on."""
        return self._admission.byte_budget.used_bytes

    async def run(self) -> None:
        """Serve until cancelled."""
        cfg = self._settings.cfg
        registrar = Registrar(
            cfg,
            self._adapter.store,
            self._entries_mirror,
            self._peers,
        )
        load = LoadLink(
            self._peer_socket,
            self._peers,
            self._load_table,
        )
        confirmations = Confirmations(
            self._peer_socket,
            self._peers,
            self._config_mirror,
            self._versions,
            self._settings,
        )
        async with anyio.create_task_group() as tasks:
            for part in (
                self._ready_server,
                self._config_mirror,
                self._registrations_mirror,
                self._entries_mirror,
                registrar,
                self._peer_socket,
                load,
                self._limit_link,
                self._quarantine,
                confirmations,
                self._cleanup,
            ):
                tasks.start_soon(supervise, part.run)
            if cfg.metrics_port:
                tasks.start_soon(supervise, self._metrics_server().run)
            await self._wait_until_loaded()
            self._serving.set()
            await self._server.run()
            tasks.cancel_scope.cancel()

    async def wait_until_serving(self) -> None:
        """Wait until callers that have connected are served."""
        await self._serving.wait()

    async def drain(self, signal_age: SignalAge = no_signal_age) -> None:
        """Complete running requests, and new ones that can end in time.

        New requests still arrive while the load balancer sends them here. At
        the end, requests without an answer get an error; answers that have
        begun go on for as long as the process can wait.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._lifetime.log_loop_delays)
            await self._drain(signal_age())
            tasks.cancel_scope.cancel()

    async def _drain(self, signal_age_s: float) -> None:
        self._draining = True
        self._server.close_after_response = True
        self._lifetime.stop(self._grace_s(), signal_age_s)
        await self._wait_until_idle()
        # Without a pause after the check, so that no request comes between.
        self._lifetime.close()
        logger.bind(
            cut=self._app.running_requests,
            stopping_for_ms=self._lifetime.stopping_for_ms(),
            left_ms=round(self._lifetime.closing_time_s() * MS_PER_S),
        ).info('drained')
        closes_at = anyio.current_time() + self._lifetime.closing_time_s()
        with anyio.CancelScope(deadline=closes_at):
            await self._app.refuse_unanswered()
        await self._server.stop_and_wait(self._lifetime.answering_time_s())
        with anyio.CancelScope(deadline=closes_at):
            await self._app.give_up_requests()
        await self._server.stop_and_wait(
            max(0.0, closes_at - anyio.current_time())
        )

    def _grace_s(self) -> float:
        return self._settings.bounds.shutdown_ms / MS_PER_S

    async def _wait_until_idle(self) -> None:
        """Return once no request is running, or there is no time left."""
        while self._lifetime.remaining_s():
            self._lifetime.shorten(self._grace_s())
            self._server.close_idle_connections()
            await anyio.sleep(
                min(DRAIN_POLL_INTERVAL_S, self._lifetime.remaining_s())
            )
            if self._lifetime.arrivals_over and not self._app.running_requests:
                return

    def _metrics_server(self) -> WebServer:
        cfg = self._settings.cfg
        host = parse_address(cfg.listen).host
        app = OperationsApp(
            self._settings,
            self._telemetry,
            self._quarantine,
            self._limit_link.limits,
            self._cleanup.notices,
            RouteExplainer(self._active_config, self._relay.placer),
        )
        return build_operators_server(app, f'{host}:{cfg.metrics_port}')

    async def _wait_until_loaded(self) -> None:
        """Wait for the mirrors to load; callers wait in the listen backlog."""
        with anyio.move_on_after(MAX_STARTUP_WAIT_S):
            while not (self._loaded() and self._entries_mirror.loaded) or (
                self._versions.is_checking()
            ):
                await anyio.sleep(STARTUP_POLL_INTERVAL_S)

    def _loaded(self) -> bool:
        return self._config_mirror.loaded and self._registrations_mirror.loaded

    def _edge_dependencies(self) -> EdgeDependencies:
        adapter = self._adapter
        settings = self._settings
        admission = self._admission
        self._relay = Relay(
            RelayDependencies(
                settings=settings,
                directory=self._directory,
                operator_state=self._operator_state,
                health=self._cleanup.health,
                load_table=self._load_table,
                endpoint_client=adapter.endpoint_client,
                retry_budget=admission.retry_budget,
                cold_limiter=self._cleanup.cold_limiter,
                limit_link=self._limit_link,
                notices=self._cleanup.notices,
                news=self._cleanup.news,
                quarantine=self._quarantine,
                telemetry=self._telemetry,
                lifetime=self._lifetime,
                byte_budget=admission.byte_budget,
                prompt_placer=admission.prompt_placer,
                promises=admission.promises,
                costs=self._costs,
            )
        )
        return EdgeDependencies(
            codec=adapter.codec,
            active_config=self._active_config,
            freshness=self._freshness,
            relay=self._relay,
            telemetry=self._telemetry,
            lifetime=self._lifetime,
            byte_budget=admission.byte_budget,
            max_requests=caller_limits(settings.cfg).max_requests,
        )

    async def _answer_ready(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        # An entry that cannot accept API keys is not ready, so that callers
        # reach entries that can. If no entry is ready, the load balancer uses
        # all of them.
        ready = self._loaded() and not self._draining
        ready = ready and self._freshness.is_trusted()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if ready:
            status = HTTPStatus.OK
        await send_response(send, json_response(status, {'ready': ready}))
