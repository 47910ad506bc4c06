"""The endpoints that may be used, from what they registered in the store.

A registration that disappears takes its endpoint out at once, unless the
store has just come back from an outage: registrations lapse while the store
is away, and live endpoints renew them within `RETURN_S` of its return.
"""

import abc
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from masticwind.budget import boot_time
from masticwind.errors import Failure
from masticwind.serving.mirror import Sink
from masticwind.serving.model import Endpoint, FleetConfig
from masticwind.serving.routes import ActiveConfig
from masticwind.serving.store import Item

# Live endpoints are registered again this long after the store's return.
RETURN_S: Final = 2.2


class StoreDecoder(abc.ABC):
    """Translates keys and values of the store into types of the product."""

    @abc.abstractmethod
    def decode_endpoint(self, item: Item) -> Endpoint | Failure:
        """Decode the registration of an endpoint."""

    @abc.abstractmethod
    def endpoint_identity(self, key: str) -> str:
        """Return the identity of the endpoint that registers under a key."""

    @abc.abstractmethod
    def decode_config(self, item: Item) -> FleetConfig | Failure | None:
        """Decode the configuration; None for any other key."""

    @abc.abstractmethod
    def evacuated_zone(self, key: str) -> str:
        """Return the zone that a key takes out of service, or nothing."""


@dataclass(slots=True)
class _Known:
    endpoint: Endpoint
    lapsed_at: float | None = None


@dataclass(frozen=True, slots=True)
class _Gone:
    endpoint: Endpoint
    at: float


class EndpointDirectory(Sink):
    """Endpoints by identity."""

    def __init__(
        self,
        decoder: StoreDecoder,
        reconnected_within: Callable[[float], bool],
    ) -> None:
        self._decoder: Final = decoder
        self._reconnected_within: Final = reconnected_within
        self._known: dict[str, _Known] = {}
        self._gone: Final[dict[str, _Gone]] = {}

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        self._drop_lapsed()
        found: list[Endpoint] = []
        for known in self._known.values():
            endpoint = known.endpoint
            if endpoint.service == service and not endpoint.leaving:
                found.append(endpoint)
        return found

    def count(self) -> int:
        """Return how many endpoints are known."""
        return len(self._known)

    def remove(self, identity: str, reason: str) -> None:
        """Give an endpoint no more work."""
        known = self._known.pop(identity, None)
        if known is not None:
            self._gone[identity] = _Gone(known.endpoint, boot_time())
            logger.bind(endpoint=identity, reason=reason).info('endpoint_gone')

    def has_address(self, address: str) -> bool:
        """Tell whether a known endpoint has an address."""
        return any(
            known.endpoint.address == address for known in self._known.values()
        )

    def pop_removed(self, seconds: float) -> list[Endpoint]:
        """Return endpoints that have been gone for `seconds`, once."""
        taken: list[Endpoint] = []
        for identity, gone in list(self._gone.items()):
            if boot_time() - gone.at < seconds:
                continue
            self._gone.pop(identity)
            taken.append(gone.endpoint)
        return taken

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Take over a whole listing."""
        listed: set[str] = set()
        for item in items:
            listed.add(self._decoder.endpoint_identity(item.key))
            self._set(item)
        for identity in list(self._known):
            if identity not in listed:
                self._lapse(identity)

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Take over changed and removed registrations."""
        for item in items:
            if item.value is None:
                self._lapse(self._decoder.endpoint_identity(item.key))
                continue
            self._set(item)

    def _set(self, item: Item) -> None:
        endpoint = self._decoder.decode_endpoint(item)
        identity = self._decoder.endpoint_identity(item.key)
        if isinstance(endpoint, Failure):
            logger.bind(key=item.key, reason=endpoint.reason).warning(
                'registration_unreadable'
            )
            self._known.pop(identity, None)
            return
        known = self._known.get(identity)
        if known is None or _differs(known.endpoint, endpoint):
            logger.bind(
                endpoint=identity,
                service=endpoint.service,
                address=endpoint.address,
                zone=endpoint.zone,
                leaving=endpoint.leaving,
                cold_ms=endpoint.cold_left_ms,
                revision=item.revision,
            ).info('endpoint_registered')
        self._known[identity] = _Known(endpoint)
        self._gone.pop(identity, None)

    def _lapse(self, identity: str) -> None:
        known = self._known.get(identity)
        if known is None:
            return
        if not self._reconnected_within(RETURN_S):
            self.remove(identity, 'registration removed')
            return
        if known.lapsed_at is None:
            known.lapsed_at = boot_time()
            logger.bind(endpoint=identity).info('registration_lapsed')

    def _drop_lapsed(self) -> None:
        if self._reconnected_within(RETURN_S):
            return
        lapsed = _lapsed(self._known.items())
        for identity in lapsed:
            self.remove(identity, 'not registered again after the outage')


class OperatorState(Sink):
    """The operators' configuration and the zones they took out."""

    def __init__(self, decoder: StoreDecoder, active: ActiveConfig) -> None:
        self._decoder: Final = decoder
        self._active: Final = active
        self.evacuated_zones: frozenset[str] = frozenset()

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Take over a whole listing."""
        zones: set[str] = set()
        for item in items:
            zones.add(self._decoder.evacuated_zone(item.key))
            self._adopt(item)
        self._set_zones(zones - {''})

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Take over changed and removed items."""
        zones = set(self.evacuated_zones)
        for item in items:
            zone = self._decoder.evacuated_zone(item.key)
            if item.value is None:
                zones.discard(zone)
                continue
            zones.add(zone)
            self._adopt(item)
        self._set_zones(zones - {''})

    def _adopt(self, item: Item) -> None:
        config = self._decoder.decode_config(item)
        if config is None:
            return
        if isinstance(config, Failure):
            logger.bind(key=item.key, reason=config.reason).error(
                'config_unreadable'
            )
            return
        if self._active.adopt(config):
            logger.bind(
                version=config.version,
                routes=len(config.routes),
                revision=item.revision,
            ).info('config_adopted')

    def _set_zones(self, zones: set[str]) -> None:
        if zones != self.evacuated_zones:
            logger.bind(zones=sorted(zones)).info('zones_out_changed')
        self.evacuated_zones = frozenset(zones)


def _differs(one: Endpoint, other: Endpoint) -> bool:
    return (one.address, one.leaving, one.born_ms, one.service) != (
        other.address,
        other.leaving,
        other.born_ms,
        other.service,
    )


def _lapsed(known: Iterable[tuple[str, _Known]]) -> list[str]:
    return [
        identity for identity, entry in known if entry.lapsed_at is not None
    ]
