"""Settings of the serving programs `masticwind-entry` and `masticwind-agent`.

The settings have the addresses and the availability zone of a process. The name
of each value ends with its unit.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

from masticwind.settings_file import Address as Address
from masticwind.settings_file import Count as Count
from masticwind.settings_file import LogLevel as LogLevel
from masticwind.settings_file import Name as Name
from masticwind.settings_file import Port as Port
from masticwind.settings_file import PositiveMs as PositiveMs
from masticwind.settings_file import Share as Share


@dataclass(frozen=True, slots=True, kw_only=True)
class MetricsSettings:
    """Destination of statsd datagrams; an empty host disables metrics."""

    host: str = ''
    port: Port = 8125
    prefix: str = 'masticwind'
    flush_ms: PositiveMs = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class TraceSettings:
    """File for spans as JSON lines; an empty name disables tracing."""

    file: str = ''
    sample_share: Share = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Base URLs of the platform's services; empty for unused ones."""

    key_value_url: str = ''
    instances_url: str = ''
    weights_url: str = ''
    timeout_ms: PositiveMs = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Secrets and timing of the protocol between entries and agents.

    `secrets` lists the valid shared secrets; the first one signs. To rotate,
    append the new secret on all instances, then move it to the front on all
    instances, then remove the old one. `secrets_file` has one secret per line,
    is reloaded when it changes and replaces `secrets`.
    """

    secrets: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    secrets_file: str = ''
    heartbeat_ms: PositiveMs = 500
    silence_ms: PositiveMs = 1500
    connect_timeout_ms: PositiveMs = 1000
    fan_out: Count = 150
    neighbours: Count = 3
    dials_per_s: Count = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """Claims of non-repeatable calls in the key-value service.

    `writes_per_s` limits the writes of one entry. A bucket has its recent
    claims in a head of about `head_bytes` and older ones in at most
    `max_segments` segments. While all of these are younger than the retention
    period, new claims are refused. `buckets` must be the same on all entries
    and must not change while claims are retained.
    """

    buckets: Count = 8
    writes_per_s: Count = 80
    timeout_ms: PositiveMs = 3000
    send_margin_ms: PositiveMs = 20
    outcome_delay_ms: PositiveMs = 500
    retention_s: Count = 86_400
    head_bytes: Annotated[int, msgspec.Meta(ge=1024, le=400_000)] = 196_608
    segment_claims: Annotated[int, msgspec.Meta(ge=1, le=20_000)] = 15_000
    max_segments: Count = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of `masticwind-entry`.

    Before it drains, an entry fails its health check for `announce_ms` while
    it still serves, so that the load balancer moves callers away first.
    `memory_mb` is the memory of the process, from which the limits on callers
    follow. `max_fds` is the number of its descriptors; zero stands for what the
    system allows.
    """

    node: Name
    zone: Name
    peers: PeerSettings
    listen: Address = field(default_factory=Address)
    inner: Address = field(default_factory=Address)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    traces: TraceSettings = field(default_factory=TraceSettings)
    log_level: LogLevel = 'info'
    max_body_bytes: Annotated[
        int,
        msgspec.Meta(ge=1024, le=1_073_741_824),
    ] = 33_554_432
    body_timeout_ms: PositiveMs = 10_000
    memory_mb: Annotated[float, msgspec.Meta(ge=1, le=1_048_576)] = 1024.0
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=1_048_576)] = 0
    announce_ms: PositiveMs = 2000
    drain_timeout_ms: PositiveMs = 600_000
    routing: Literal[
        'predicted',
        'round_robin',
        'random',
        'least_outstanding',
    ] = 'predicted'
    sample_size: Count = 8
    retry_share: Share = 0.1
    length_policy: Literal[
        'least_work',
        'size_interval',
        'size_preference',
        'dynamic_partition',
    ] = 'size_preference'
    long_prompt_tokens: Count = 16_384
    long_endpoint_share: Share = 0.5
    # Used until an agent reports its rate.
    prefill_tokens_per_s: Count = 50_000
    batch_cost_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.5
    zone_tolerance: Share = 0.1
    # A full index takes about 9 MB.
    affinity_blocks: Count = 32_768
    # A free request is admitted if its predicted time is at most this share
    # of its time budget, which leaves the rest of the backlog to paid ones.
    free_admission_share: Share = 0.5
    # The same share for a team above its fair share of this entry.
    crowding_admission_share: Share = 0.75
    # Used until this entry has measured streams.
    token_interval_ms: Annotated[float, msgspec.Meta(ge=0)] = 10
    instances_poll_ms: PositiveMs = 1000
    watch_config: bool = True
    planner: bool = False
    claims: ClaimSettings = field(default_factory=ClaimSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Settings of `masticwind-agent`.

    `endpoint` is the name of the agent's endpoint and `endpoint_url` the base
    URL of its interface.
    """

    node: Name
    zone: Name
    endpoint: Name
    endpoint_url: Name
    peers: PeerSettings
    kind: Literal['engine', 'service'] = 'engine'
    service: str = ''
    inner: Address = field(default_factory=Address)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    traces: TraceSettings = field(default_factory=TraceSettings)
    log_level: LogLevel = 'info'
    max_running: Count = 64
    max_queued: Count = 1024
    cold_capacity: Count = 2
    long_prompt_tokens: Count = 16_384
    prefill_step_tokens: Count = 8192
    prefill_step_ms: PositiveMs = 10
    orphan_grace_ms: PositiveMs = 5000
    drain_timeout_ms: PositiveMs = 600_000
