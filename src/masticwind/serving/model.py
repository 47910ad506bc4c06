"""What direct serving knows of requests, routes, services and endpoints.

Adapters decode their wire formats into these types; decisions see nothing
else. All values are frozen, so a request keeps the configuration with which
it began.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Final

from masticwind.budget import Budget

Headers = tuple[tuple[bytes, bytes], ...]

# The lowest rank that a route or a team may give a request.
LOWEST_PRIORITY: Final = 9


class RouteKind(enum.Enum):
    """What may be repeated."""

    REPEATABLE = 'repeatable'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class Backend:
    """A service and the share of a route's requests that it takes."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests of one host and path prefix go.

    `first_event_target_ms` is the time to the first event, or to the answer, that
    the route aims for; `event_gap_target_ms` is the longest pause between events that
    still counts as in time; `timeout_ms` bounds the whole request; zero in
    any of them means that none is given. `max_endpoints` counts the
    endpoints that may run one request.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
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
        """Whether one request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """The figures from which an engine's times follow.

    A step yields one token for each writing request and takes `step_ms`,
    plus `step_ms_per_request` and `step_ms_per_k_context` for each thousand tokens of
    context of each. Reading takes `prefill_tokens_per_s` and `prefill_ms_per_m_pairs` for
    each million pairs of a token and an earlier one.
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
    """A pool of endpoints that do the same work.

    `max_connections` counts the connections of all callers to one endpoint.
    `cold_per_s` is how many requests a cold endpoint takes each second; zero
    means that it never turns cold. Plain services have no `engine`.
    """

    name: str
    max_connections: int
    cold_per_s: float = 0
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What a caller's connection may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team as the keys of its requests name it."""

    name: str
    priority: int | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfig:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    teams_by_key: Mapping[str, Team]
    keys_required: bool
    limits: Limits = field(default_factory=Limits)


NO_CONFIG: Final = FleetConfig(
    version=0,
    routes=(),
    services=MappingProxyType({}),
    teams_by_key=MappingProxyType({}),
    keys_required=False,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An endpoint as it registered itself.

    `identity` names one start of it; `started_at_ms` differs between two starts
    under one identity. `cold_left_ms` is what it last said of its cold
    start.
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
        """Host and port as engines name each other."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenCounts:
    """Tokens of a prompt, and the most that may be generated."""

    prompt: int
    max_output: int
    expected_output: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A request as an edge decoded it.

    `forwarded_headers` are the headers that an endpoint gets unchanged. `api_key` is the
    caller's secret and is never forwarded. `resume_after` is the id of the
    last event that the caller has of a stream that it resumes.
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
    resume_after: int | None = None
    body: bytes = b''
