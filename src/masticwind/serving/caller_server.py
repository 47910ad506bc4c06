"""The HTTP servers of an entry, with the limits of those who connect."""

from functools import partial
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.memory_shares import BYTES_PER_MB
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.settings import (
    DEFAULT_MEMORY_MB,
    DirectSettings,
    HostPort,
    parse_address,
)
from masticwind.serving.telemetry import Telemetry
from masticwind.web import App, WebServer
from masticwind.web_callers import (
    AggregateLimits,
    CallerConnections,
    CloseCause,
    derive_limits,
)
from masticwind.web_protocol import ConnectionLimits

# Only operators and the platform use these interfaces.
OPERATORS_CONNECTIONS: Final = 64
OPERATORS_KEPT_MB: Final = 4
OPERATORS_LIMITS: Final = AggregateLimits(
    max_connections=OPERATORS_CONNECTIONS,
    max_kept_bytes=OPERATORS_KEPT_MB * BYTES_PER_MB,
)


def caller_limits(cfg: DirectSettings) -> AggregateLimits:
    """Return the limits of all callers together."""
    return derive_limits(cfg.memory_mb or DEFAULT_MEMORY_MB, cfg.max_fds)


def build_caller_server(
    app: App,
    cfg: DirectSettings,
    active_config: ActiveConfig,
    telemetry: Telemetry,
) -> WebServer:
    """Return the server for callers, and add its metrics."""
    server = WebServer(
        app,
        parse_address(cfg.listen),
        partial(_connection_limits, active_config),
        caller_limits(cfg),
    )
    _add_metrics(telemetry, server.callers)
    return server


def build_operators_server(app: App, address: HostPort) -> WebServer:
    """Return a server for the platform or for operators."""
    return WebServer(
        app, parse_address(address), caller_limits=OPERATORS_LIMITS
    )


def _connection_limits(active_config: ActiveConfig) -> ConnectionLimits:
    limits = active_config.config.limits
    return ConnectionLimits(
        max_header_bytes=limits.max_header_bytes,
        header_timeout_s=limits.header_timeout_ms / MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
    )


def _add_metrics(telemetry: Telemetry, callers: CallerConnections) -> None:
    telemetry.add_gauge(
        'masticwind_caller_connections',
        'Open connections of callers',
        lambda: callers.count,
    )
    telemetry.add_gauge(
        'masticwind_caller_kept_bytes',
        'Bytes that callers have sent or do not read',
        lambda: callers.kept_bytes,
    )
    telemetry.add_counter(
        'masticwind_caller_connections_closed',
        'Connections of callers that a limit has closed',
        'cause',
        {
            cause.value: partial(callers.closed.__getitem__, cause)
            for cause in CloseCause
        },
    )
