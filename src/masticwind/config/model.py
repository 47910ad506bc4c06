"""The operators' configuration as frozen data classes.

A `Configuration` is the content of one generation. It is read from YAML
files, and validated and applied as a whole. Secrets appear only as SHA-256
digests.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from functools import cache
from typing import Annotated, Final, Literal

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
]
Digest = Annotated[str, msgspec.Meta(pattern='^sha256:[0-9a-f]{64}$')]
Positive = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1000)]
TimeoutMs = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]

DEFAULT_TIMEOUT_MS: Final = 30_000
MAX_TIMEOUT_MS: Final = 3_600_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Zone:
    """An availability zone and whether it is in service."""

    region: Name
    in_service: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Tier:
    """A service class; free tiers use only spare capacity."""

    kind: Literal['paid', 'free']
    default_timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS
    max_timeout_ms: TimeoutMs = MAX_TIMEOUT_MS


@cache
def inspect_fields(kind: Hashable) -> tuple[msgspec.inspect.Field, ...]:
    """Return the fields of a data class or struct.

    A field has its name, its default and whether it is required.
    """
    type_info = msgspec.inspect.type_info(kind)
    assert isinstance(
        type_info,
        msgspec.inspect.DataclassType | msgspec.inspect.StructType,
    )
    return type_info.fields


class Team(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """A customer: its tier, credentials, weight and limits.

    Limits apply to the whole fleet; zero means no limit. Teams are structs
    that Python's garbage collector does not track: with two configurations
    of 47,000 teams in memory, a full collection stopped an entry for 124 ms.
    """

    tier: Name
    token_digests: tuple[Digest, ...] = ()
    weight: Weight = 1.0
    requests_per_s: NonNegative = 0
    tokens_per_s: NonNegative = 0
    max_in_flight: NonNegative = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model: limits, size estimate and number of endpoints that load it.

    `replicas` gives the number of endpoints by availability zone; in a zone
    that it does not name, the placement stays as it is.
    """

    max_prompt_tokens: Positive = 2_000_000
    max_output_tokens: Positive = 16_384
    default_output_tokens: Positive = 256
    bytes_per_token: Annotated[float, msgspec.Meta(gt=0, le=64)] = 4.0
    version: str = '1'
    adapters: tuple[Name, ...] = ()
    replicas: dict[Name, NonNegative] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Overrides for one endpoint; an endpoint needs none to be used."""

    in_service: bool = True
    cold_capacity: NonNegative = 0
    models: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRule:
    """A call that a plain service accepts; `path` may end with `*`."""

    method: Literal['GET', 'POST', 'PUT', 'PATCH', 'DELETE']
    path: Annotated[str, msgspec.Meta(pattern=r'^/[^*\s]*\*?$')]
    repeatable: bool = True
    timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainService:
    """An HTTP service other than an engine, and the calls it accepts."""

    calls: tuple[CallRule, ...]
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Operator:
    """An operator's credential for the administration API."""

    token_digests: tuple[Digest, ...]
    role: Literal['reader', 'writer'] = 'reader'


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """All sections of the operators' configuration."""

    zones: dict[Name, Zone] = field(default_factory=dict)
    tiers: dict[Name, Tier] = field(default_factory=dict)
    teams: dict[Name, Team] = field(default_factory=dict)
    models: dict[Name, Model] = field(default_factory=dict)
    endpoints: dict[Name, Endpoint] = field(default_factory=dict)
    services: dict[Name, PlainService] = field(default_factory=dict)
    operators: dict[Name, Operator] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Generation:
    """A configuration with the number under which it was accepted.

    Generation zero is the empty configuration of a process that has received
    none yet.
    """

    number: int
    config: Configuration


EMPTY_GENERATION: Final = Generation(number=0, config=Configuration())
