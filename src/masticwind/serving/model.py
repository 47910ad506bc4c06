"""Data types of direct serving: requests, routes, services and endpoints.

Adapters decode their wire formats into these types, and all decisions are
based on them. The types are immutable, so a request keeps the configuration
under which it was admitted.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from masticwind.budget import Budget

Headers = tuple[tuple[bytes, bytes], ...]

# Priorities of routes and teams range from 0, the most urgent, to this.
LOWEST_PRIORITY: Final = 9


class RouteKind(enum.Enum):
    """How often a request of a route may run, and whether it streams."""

    REPEATABLE = 'repeatable'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The services and limits for requests with one host and path prefix.

    `first_event_target_ms` is the target for the time to the first event, or
    to the answer of a plain call. `event_gap_target_ms` is the target for the
    longest gap between two events. `timeout_ms` limits the whole request.
    Zero means no target or limit. At most `max_endpoints` endpoints may run
    one request.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: float = 0
    first_event_target_ms: float = 0
    event_gap_target_ms: float = 0
    priority: int = LOWEST_PRIORITY
    max_endpoints: int = 1
    public: bool = False
    resumable: bool = False
    home_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Capacity and speed of the engines of a service.

    A decode step yields one token for each decoding request. It takes
    `step_ms`, plus `step_ms_per_request` for each of them and
    `step_ms_per_k_context` for each thousand tokens of their contexts. A
    prefill runs at `prefill_tokens_per_s`, plus `prefill_ms_per_m_pairs` for
    each million pairs of a token and an earlier one. With
    `distributed_prefill`, engines can share the prefill of one prompt.
    """

    slots: int
    kv_cache_tokens: int
    step_ms: float
    step_ms_per_request: float
    step_ms_per_k_context: float
    prefill_tokens_per_s: float
    prefill_ms_per_m_pairs: float
    prefill_chunk_tokens: int
    steps_per_iteration: int
    hop_ms: float
    distributed_prefill: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A pool of interchangeable endpoints.

    `max_connections` limits the connections of all callers to one endpoint.
    `cold_per_s` is the request rate that an endpoint can take during its cold
    start; zero means that the service has no cold starts. The endpoints of a
    service without an `engine` are plain HTTP services.
    """

    name: str
    max_connections: int
    cold_per_s: float = 0
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size and time limits of a caller's connection."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team of callers, which is found by their API key."""

    name: str
    priority: int | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfig:
    """One version of the operators' configuration.

    Without `keys_required`, requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams_by_key: Mapping[str, Team]
    keys_required: bool
    limits: CallerLimits = field(default_factory=CallerLimits)


NO_CONFIG: Final = FleetConfig(
    version=0,
    routes=(),
    services=MappingProxyType({}),
    teams_by_key=MappingProxyType({}),
    keys_required=False,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An endpoint, from its registration.

    `started_at_ms` tells apart two processes that registered under the same
    `identity`. `cold_left_ms` is the remaining cold start time at the last
    registration.
    """

    identity: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False
    cold_left_ms: float = 0
    started_at_ms: int = 0

    @property
    def address(self) -> str:
        """Host and port, as engines address each other."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenCounts:
    """Numbers of tokens of a prompt and of its output."""

    prompt: int
    max_output: int
    expected_output: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A caller's request, decoded.

    `forwarded_headers` are sent to the endpoint unchanged. `api_key` is a
    secret and never forwarded. To resume a stream, the caller gives the id of
    the last event that it received as `resume_after`. `prompt_parts` are the
    ids of the parts of the prompt, in order; requests share all parts but the
    last one.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    forwarded_headers: Headers
    budget: Budget
    api_key: str = ''
    tokens: TokenCounts | None = None
    prompt_parts: tuple[str, ...] = ()
    resume_after: int | None = None
    body: bytes = b''
