"""Documents in the platform's store: configuration and registrations.

The configuration lies whole under one key, a registration under the
identity of its endpoint. Unknown fields are ignored; a document with a
missing field or a field of another type cannot be used.
"""

import ipaddress
from types import MappingProxyType
from typing import Final, Literal

import msgspec

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.directory import StoreDecoder
from masticwind.serving.model import (
    LOWEST_PRIORITY,
    CallerLimits,
    Endpoint,
    EngineProfile,
    FleetConfig,
    Route,
    RouteKind,
    Service,
    Team,
    WeightedService,
)
from masticwind.serving.settings import parse_address
from masticwind.serving.store import Item
from masticwind.settings import Address

OPERATIONS: Final = 'op/'
REGISTRATIONS: Final = 'servers/'
# Entries of this product; the platform reserves no name for them.
ENTRIES: Final = 'masticwind/entries/'
LAST_PORT: Final = 65_535
_CONFIG: Final = 'op/config'
_EVACUATE: Final = 'op/evacuate/'

_KINDS: Final = MappingProxyType(
    {
        'idempotent': RouteKind.REPEATABLE,
        'non_idempotent': RouteKind.AT_MOST_ONCE,
        'streaming': RouteKind.STREAM,
    }
)
_LIMITS: Final = CallerLimits()


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    service: str = ''
    backends: list[_Backend] = []
    timeout_ms: float = 0
    # The time to full credit: the first event of a stream.
    goal_ms: float = 0
    gap_target_ms: float = 0
    priority: int = LOWEST_PRIORITY
    # Counts endpoints, not sendings.
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    home_regions: list[str] = []


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    step_ms: float
    # For each writing request and step, in ms.
    per_seq_ms: float
    context_per_k: float
    # Tokens a second, not requests.
    read_per_s: float
    pairs_per_m: float
    chunk: int
    stride: int = 1
    # Present where engines read one prompt together.
    hop_ms: float | None = None


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 256
    cold_per_s: float = 0
    engine: _Engine | None = None


class _Team(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    home_regions: list[str] = []


class _Limits(msgspec.Struct):
    max_header_bytes: int = _LIMITS.max_header_bytes
    max_body_bytes: int = _LIMITS.max_body_bytes
    header_timeout_ms: int = _LIMITS.header_timeout_ms
    idle_timeout_ms: int = _LIMITS.idle_timeout_ms


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Team] | None = None


class _Registration(msgspec.Struct):
    service: str
    addr: str
    zone: str
    state: Literal['ready', 'draining']
    slots: int = 1
    cold_left_ms: float = 0
    born: int = 0


class PlatformDecoder(StoreDecoder):
    """Decodes the platform's keys and values."""

    def decode_endpoint(self, item: Item) -> Endpoint | Failure:
        """Decode the registration of an endpoint."""
        try:
            found = msgspec.json.decode(item.value or b'', type=_Registration)
            address = _ip_address(found.addr)
            return Endpoint(
                identity=self.endpoint_identity(item.key),
                service=found.service,
                host=address.host,
                port=address.port,
                zone=found.zone,
                slots=found.slots,
                draining=found.state == 'draining',
                cold_left_ms=found.cold_left_ms,
                started_at_ms=found.born,
            )
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as exc:
            return _unreadable(exc)

    def endpoint_identity(self, key: str) -> str:
        """Return the identity that a registration's key names."""
        return key.removeprefix(REGISTRATIONS)

    def decode_config(self, item: Item) -> FleetConfig | Failure | None:
        """Decode the configuration."""
        if item.key != _CONFIG or item.value is None:
            return None
        try:
            found = msgspec.json.decode(item.value, type=_Config)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _unreadable(exc)
        return FleetConfig(
            version=found.version,
            routes=tuple(_route(route) for route in found.routes),
            services=MappingProxyType(
                {one.name: _service(one) for one in found.services}
            ),
            teams_by_key=MappingProxyType(_teams(found.tenants or [])),
            keys_required=found.tenants is not None,
            limits=CallerLimits(
                max_header_bytes=found.limits.max_header_bytes,
                max_body_bytes=found.limits.max_body_bytes,
                header_timeout_ms=found.limits.header_timeout_ms,
                idle_timeout_ms=found.limits.idle_timeout_ms,
            ),
        )

    def evacuated_zone(self, key: str) -> str:
        """Return the zone that a key takes out of service."""
        if key.startswith(_EVACUATE):
            return key.removeprefix(_EVACUATE)
        return ''


def _route(found: _Route) -> Route:
    backends = [
        WeightedService(one.service, one.weight) for one in found.backends
    ]
    if not backends:
        backends = [WeightedService(found.service, 1)]
    return Route(
        name=found.name,
        host=found.host,
        prefix=found.prefix,
        kind=_KINDS[found.kind],
        services=tuple(backends),
        timeout_ms=found.timeout_ms,
        first_event_target_ms=found.goal_ms,
        event_gap_target_ms=found.gap_target_ms,
        priority=found.priority,
        max_endpoints=found.max_attempts,
        public=found.public,
        resumable=found.resumable,
        home_regions=tuple(found.home_regions),
    )


def _service(found: _Service) -> Service:
    return Service(
        name=found.name,
        max_connections=found.max_conns,
        cold_per_s=found.cold_per_s,
        engine=_speed(found.engine),
    )


def _speed(found: _Engine | None) -> EngineProfile | None:
    if found is None:
        return None
    return EngineProfile(
        slots=found.slots,
        kv_cache_tokens=found.kv_capacity,
        step_ms=found.step_ms,
        step_ms_per_request=found.per_seq_ms,
        step_ms_per_k_context=found.context_per_k,
        prefill_tokens_per_s=found.read_per_s,
        prefill_ms_per_m_pairs=found.pairs_per_m,
        prefill_chunk_tokens=found.chunk,
        steps_per_iteration=found.stride,
        hop_ms=found.hop_ms or 0,
        distributed_prefill=found.hop_ms is not None,
    )


def _teams(found: list[_Team]) -> dict[str, Team]:
    by_key: dict[str, Team] = {}
    for one in found:
        team = Team(
            name=one.name,
            priority=one.priority,
            home_regions=tuple(one.home_regions),
        )
        for key in one.api_keys:
            by_key[key] = team
    return by_key


def _ip_address(text: str) -> Address:
    """Return an IP address with a port; raise `ValueError` for anything else.

    Names are not looked up here, and a port that cannot be is an error at
    each connection.
    """
    address = parse_address(text)
    if not 0 < address.port <= LAST_PORT:
        raise ValueError(f'{address.port} is no port')
    ipaddress.IPv4Address(address.host)
    return address


def _unreadable(exc: Exception) -> Failure:
    return Failure(
        kind=ErrorKind.INVALID_CONFIG,
        reason=f'cannot be read: {exc}',
    )
