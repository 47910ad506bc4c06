"""Decodes the configuration and registrations in the platform's store.

The whole configuration is stored under one key, and each registration under
a key that ends in the identity of its endpoint. Unknown fields are ignored; a
document with a missing field, or a field of a wrong type or out of its range,
is rejected. The ranges keep later calculations from overflowing.
"""

import re
from types import MappingProxyType
from typing import Annotated, Final, Literal

import msgspec

from masticwind.decoding import parse_with
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.addresses import parse_ip_address
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
from masticwind.serving.store import Item

OPERATIONS_PREFIX: Final = 'op/'
REGISTRATIONS_PREFIX: Final = 'servers/'
# Addresses of entry instances, and crashes of engines; the platform defines no
# prefixes for them.
ENTRIES_PREFIX: Final = 'masticwind/entries/'
CRASHES_PREFIX: Final = 'masticwind/crashes/'
MAX_SLOTS: Final = 1_000_000
# 31 December 9999, in Unix milliseconds.
MAX_TIMESTAMP_MS: Final = 253_402_300_799_999
MAX_NAME_CHARS: Final = 200
# One year.
MAX_DURATION_MS: Final = 31_536_000_000
# The largest integer up to which a double is exact.
MAX_COUNT: Final = 9_007_199_254_740_992
_CONFIG_KEY: Final = 'op/config'
_EVACUATION_PREFIX: Final = 'op/evacuate/'

_ROUTE_KINDS: Final = MappingProxyType(
    {
        'idempotent': RouteKind.REPEATABLE,
        'non_idempotent': RouteKind.AT_MOST_ONCE,
        'streaming': RouteKind.STREAM,
    }
)
_DEFAULT_LIMITS: Final = CallerLimits()
# An identity is sent in a header, so it is visible ASCII text.
_IDENTITY: Final = re.compile('[!-~]{1,200}')

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Positive = Annotated[float, msgspec.Meta(gt=0, le=MAX_COUNT)]
_PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
_Ms = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
_WholeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_TimestampMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)]


class _Backend(msgspec.Struct):
    service: str
    weight: _Quantity = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    service: str = ''
    backends: list[_Backend] = []
    timeout_ms: _Ms = 0
    # Target time to the first event of a stream; meeting it earns full credit.
    goal_ms: _Ms = 0
    gap_target_ms: _Ms = 0
    priority: _Count = LOWEST_PRIORITY
    # Limits the number of endpoints tried, not the number of transmissions.
    max_attempts: _Count = 1
    public: bool = False
    resumable: bool = False
    home_regions: list[str] = []


class _Engine(msgspec.Struct):
    slots: _Slots
    kv_capacity: _Count
    step_ms: _Ms
    # Added to the duration of a step for each request that generates tokens.
    per_seq_ms: _Ms
    context_per_k: _Ms
    # Prompt tokens per second, not requests per second.
    read_per_s: _Positive
    pairs_per_m: _Ms
    chunk: _PositiveCount
    stride: _PositiveCount = 1
    # Set if several engines can prefill one prompt together.
    hop_ms: _Ms | None = None


class _Service(msgspec.Struct):
    name: str
    max_conns: _Count = 256
    cold_per_s: _Quantity = 0
    engine: _Engine | None = None


class _Team(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _Count | None = None
    home_regions: list[str] = []


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = _DEFAULT_LIMITS.max_header_bytes
    max_body_bytes: _Count = _DEFAULT_LIMITS.max_body_bytes
    header_timeout_ms: _WholeMs = _DEFAULT_LIMITS.header_timeout_ms
    idle_timeout_ms: _WholeMs = _DEFAULT_LIMITS.idle_timeout_ms


class _Config(msgspec.Struct):
    version: _Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Team] | None = None


class _Registration(msgspec.Struct):
    service: _Name
    addr: str
    zone: _Name
    state: Literal['ready', 'draining']
    slots: _Slots = 1
    # Only logged.
    cold_left_ms: float = 0
    born: _TimestampMs = 0


class PlatformDecoder(StoreDecoder):
    """Decodes the keys and values of the platform's store."""

    def decode_endpoint(self, item: Item) -> Endpoint | Failure:
        """Decode the registration of an endpoint."""
        return parse_with(self._parse_endpoint, item, ErrorKind.INVALID_CONFIG)

    def endpoint_identity(self, key: str) -> str:
        """Return the endpoint identity that a registration key contains."""
        return key.removeprefix(REGISTRATIONS_PREFIX)

    def decode_config(self, item: Item) -> FleetConfig | Failure | None:
        """Decode the configuration; None if it is deleted or for other keys."""
        if item.key != _CONFIG_KEY or item.value is None:
            return None
        return parse_with(_parse_config, item.value, ErrorKind.INVALID_CONFIG)

    def evacuated_zone(self, key: str) -> str:
        """Return the zone that a key takes out of service, or ''."""
        if key.startswith(_EVACUATION_PREFIX):
            return key.removeprefix(_EVACUATION_PREFIX)
        return ''

    def _parse_endpoint(self, item: Item) -> Endpoint:
        identity = self.endpoint_identity(item.key)
        if _IDENTITY.fullmatch(identity) is None:
            raise ValueError('the identity cannot be sent in a header')
        registration = msgspec.json.decode(
            item.value or b'', type=_Registration
        )
        address = parse_ip_address(registration.addr)
        if not address.port:
            raise ValueError('the port is zero')
        return Endpoint(
            identity=identity,
            service=registration.service,
            host=address.host,
            port=address.port,
            zone=registration.zone,
            slots=registration.slots,
            draining=registration.state == 'draining',
            cold_left_ms=registration.cold_left_ms,
            started_at_ms=registration.born,
        )


def _parse_config(content: bytes) -> FleetConfig:
    config = msgspec.json.decode(content, type=_Config)
    return FleetConfig(
        version=config.version,
        routes=tuple(_to_route(route) for route in config.routes),
        services=MappingProxyType(
            {service.name: _to_service(service) for service in config.services}
        ),
        teams_by_key=MappingProxyType(
            _index_teams_by_key(config.tenants or [])
        ),
        keys_required=config.tenants is not None,
        limits=CallerLimits(
            max_header_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            header_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        ),
    )


def _to_route(route: _Route) -> Route:
    backends = [
        WeightedService(backend.service, backend.weight)
        for backend in route.backends
    ]
    if not backends:
        backends = [WeightedService(route.service, 1)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=_ROUTE_KINDS[route.kind],
        services=tuple(backends),
        timeout_ms=route.timeout_ms,
        first_event_target_ms=route.goal_ms,
        event_gap_target_ms=route.gap_target_ms,
        priority=route.priority,
        max_endpoints=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
        home_regions=tuple(route.home_regions),
    )


def _to_service(service: _Service) -> Service:
    return Service(
        name=service.name,
        max_connections=service.max_conns,
        cold_per_s=service.cold_per_s,
        engine=_to_engine_profile(service.engine),
    )


def _to_engine_profile(engine: _Engine | None) -> EngineProfile | None:
    if engine is None:
        return None
    return EngineProfile(
        slots=engine.slots,
        kv_cache_tokens=engine.kv_capacity,
        step_ms=engine.step_ms,
        step_ms_per_request=engine.per_seq_ms,
        step_ms_per_k_context=engine.context_per_k,
        prefill_tokens_per_s=engine.read_per_s,
        prefill_ms_per_m_pairs=engine.pairs_per_m,
        prefill_chunk_tokens=engine.chunk,
        steps_per_iteration=engine.stride,
        hop_ms=engine.hop_ms or 0,
        distributed_prefill=engine.hop_ms is not None,
    )


def _index_teams_by_key(teams: list[_Team]) -> dict[str, Team]:
    teams_by_key: dict[str, Team] = {}
    for fields in teams:
        team = Team(
            name=fields.name,
            priority=fields.priority,
            home_regions=tuple(fields.home_regions),
        )
        for key in fields.api_keys:
            teams_by_key[key] = team
    return teams_by_key
