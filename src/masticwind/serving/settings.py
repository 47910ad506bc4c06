"""Settings of an entry in direct serving."""

from dataclasses import dataclass, field, replace
from typing import Annotated, Final, Literal

import msgspec

from masticwind.settings_file import Address, LogLevel, Name, Port, PositiveMs

# Highest accepted slack. No deployment has this many requests per second, so a
# larger value is a mistake that would in effect disable the limit.
MAX_SLACK_REQUESTS: Final = 1_000_000
# One terabyte.
MAX_MEMORY_MB: Final = 1_048_576
DEFAULT_MEMORY_MB: Final = 256.0
# The kernel allows no process more by default.
MAX_DESCRIPTORS: Final = 1_048_576

Ratio = Annotated[float, msgspec.Meta(ge=0, le=100)]
SlackRequests = Annotated[float, msgspec.Meta(ge=0, le=MAX_SLACK_REQUESTS)]
MemoryMb = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
# Who is refused when there is no room for all: every late request, or the one
# with the weakest claim.
OverloadPolicyName = Literal['refuse_late', 'fair']
DescriptorCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_DESCRIPTORS)]
HostPort = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreSettings:
    """The address of the metadata store, as IP address and port."""

    address: HostPort


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetBounds:
    """Limits that operators set for all entries together.

    If `fail_closed` is set, API keys are refused while the configuration is
    too old. `key_age_ms` is how long a key may still be accepted after its
    removal. An endpoint that is leaving gets no more work after `leave_ms`. A
    service gets at most `repeat_ratio` times its requests plus `repeat_slack`
    retries in any window of `repeat_window_s`. A cold endpoint gets at most
    `cold_factor` times its own rate plus `cold_slack` requests in a second.
    `shutdown_ms` is the time from SIGTERM to SIGKILL.
    """

    fail_closed: bool = True
    key_age_ms: PositiveMs = 5000
    leave_ms: PositiveMs = 2000
    shutdown_ms: PositiveMs = 8000
    repeat_ratio: Ratio = 0.2
    repeat_window_s: Ratio = 10
    repeat_slack: SlackRequests = 100
    cold_factor: Ratio = 1.5
    cold_slack: SlackRequests = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectSettings:
    """Settings of an entry in direct serving.

    `zones` maps each availability zone to its region. `peer_port` is the UDP
    port for messages between entries, such as their load. A `metrics_port` of
    zero disables the metrics server. Without an `operator_token`, no held
    part of a prompt can be released. `memory_mb` is the memory of the machine,
    from which the limits of buffered bytes and of what is kept for callers
    follow; zero stands for the default. `max_fds` is the number of descriptors
    of the process, which limits callers' connections; zero stands for what the
    system allows. With `endpoint_news`, entries tell each other of endpoints
    that are gone. `overload` names the policy by which prompts are refused at
    overload. With `learned_costs`, placements go by what requests have cost so
    far.
    """

    node: Name
    zone: Name
    zones: dict[str, str] = field(default_factory=dict)
    listen: HostPort
    ready: HostPort
    peer_port: Port = 0
    metrics_port: Port = 0
    store: StoreSettings
    bounds: FleetBounds = field(default_factory=FleetBounds)
    log_level: LogLevel = 'info'
    operator_token: str = ''
    memory_mb: MemoryMb = DEFAULT_MEMORY_MB
    max_fds: DescriptorCount = 0
    endpoint_news: bool = False
    overload: OverloadPolicyName = 'refuse_late'
    learned_costs: bool = False


def parse_address(text: HostPort) -> Address:
    """Parse an address that is written as host and port."""
    host, _, port = text.rpartition(':')
    return Address(host=host, port=int(port))


class LiveSettings:
    """The settings in force; some of them can change at run time.

    Zones, bounds and log level can change; addresses, the name of the entry
    and its own zone need a restart.
    """

    def __init__(self, cfg: DirectSettings) -> None:
        self._cfg = cfg

    @property
    def cfg(self) -> DirectSettings:
        """The settings in force."""
        return self._cfg

    @property
    def zone(self) -> str:
        """The availability zone of this instance."""
        return self._cfg.zone

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or '' for an unknown zone."""
        return self._cfg.zones.get(zone, '')

    @property
    def bounds(self) -> FleetBounds:
        """The fleet-wide limits in force."""
        return self._cfg.bounds

    def update(self, cfg: DirectSettings) -> None:
        """Apply new settings, except for those that need a restart."""
        self._cfg = replace(
            self._cfg,
            zones=cfg.zones,
            bounds=cfg.bounds,
            log_level=cfg.log_level,
        )
