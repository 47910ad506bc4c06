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


class Kind(enum.Enum):
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

    `first_answer_ms` is the time to the first event, or to the answer, that
    the route aims for; `pause_ms` is the longest pause between events that
    still counts as in time; `timeout_ms` bounds the whole request; zero in
    any of them means that none is given. `max_endpoints` counts the
    endpoints that may run one request.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    backends: tuple[Backend, ...]
    timeout_ms: float = 0
    first_answer_ms: float = 0
    pause_ms: float = 0
    priority: int = LOWEST_PRIORITY
    max_endpoints: int = 1
    public: bool = False
    resumable: bool = False
    home_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether one request may run more than once."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.REPEATABLE


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpeed:
    """The figures from which an engine's times follow.

    A step yields one token for each writing request and takes `step_ms`,
    plus `per_seq_ms` and `context_ms_per_k` for each thousand tokens of
    context of each. Reading takes `tokens_per_s` and `pairs_ms_per_m` for
    each million pairs of a token and an earlier one.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    per_seq_ms: float
    context_ms_per_k: float
    tokens_per_s: float
    pairs_ms_per_m: float
    chunk_tokens: int
    stride: int
    hop_ms: float
    joint: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A pool of endpoints that do the same work.

    `max_connections` counts the connections of all callers to one endpoint.
    `cold_per_s` is how many requests a cold endpoint takes each second; zero
    means that it never turns cold. Plain services have no `speed`.
    """

    name: str
    max_connections: int
    cold_per_s: float = 0
    speed: EngineSpeed | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What a caller's connection may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamKeys:
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
    teams_by_key: Mapping[str, TeamKeys]
    keyed: bool
    limits: Limits = field(default_factory=Limits)


NO_CONFIG: Final = FleetConfig(
    version=0,
    routes=(),
    services=MappingProxyType({}),
    teams_by_key=MappingProxyType({}),
    keyed=False,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An endpoint as it registered itself.

    `identity` names one start of it; `born_ms` differs between two starts
    under one identity. `cold_left_ms` is what it last said of its cold
    start.
    """

    identity: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool = False
    cold_left_ms: float = 0
    born_ms: int = 0

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

    `forwarded` are the headers that an endpoint gets unchanged. `key` is the
    caller's secret and is never forwarded. `resume_after` is the id of the
    last event that the caller has of a stream that it resumes.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    forwarded: Headers
    budget: Budget
    key: str = ''
    tokens: TokenCounts | None = None
    resume_after: int | None = None
    body: bytes = b''
