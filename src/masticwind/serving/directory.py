"""Directory of the registered endpoints, and the operators' configuration.

An endpoint whose registration disappears is removed at once, unless the store
has just recovered from an outage: registrations expire during an outage, and
live endpoints renew them within `RENEWAL_GRACE_S` of the recovery.

A store that was restored from an older copy lists registrations of endpoints
that have left since. They expire after a while, unless the endpoint is alive,
and are ignored until then.
"""

import abc
from collections.abc import Container, Iterable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from masticwind.budget import boot_time
from masticwind.errors import Failure
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.mirror import Sink
from masticwind.serving.model import Endpoint, FleetConfig
from masticwind.serving.store import Item
from masticwind.serving.store_connection import StoreConnection
from masticwind.serving.unreadable import UnreadableLog

# Time within which live endpoints register again after a store outage.
RENEWAL_GRACE_S: Final = 2.2
# A store is restored from a copy that is at most this old.
MAX_COPY_AGE_S: Final = 60.0
# Registrations that are not renewed expire within this time.
REGISTRATION_TTL_S: Final = 5.0


class StoreDecoder(abc.ABC):
    """Translates the platform's store keys and values into serving types."""

    @abc.abstractmethod
    def decode_endpoint(self, item: Item) -> Endpoint | Failure:
        """Decode the registration of an endpoint."""

    @abc.abstractmethod
    def endpoint_identity(self, key: str) -> str:
        """Return the identity of the endpoint that registers under a key."""

    @abc.abstractmethod
    def decode_config(self, item: Item) -> FleetConfig | Failure | None:
        """Decode the configuration; return None for any other key."""

    @abc.abstractmethod
    def evacuated_zone(self, key: str) -> str:
        """Return the zone that a key takes out of service, or ''."""


@dataclass(slots=True)
class _Registered:
    endpoint: Endpoint
    unregistered_at: float | None = None


@dataclass(frozen=True, slots=True)
class _Removed:
    endpoint: Endpoint
    removed_at: float


class _LeftEndpoints:
    """Endpoints that drained or were removed, in the last `MAX_COPY_AGE_S`."""

    def __init__(self) -> None:
        self._left: Final[dict[str, _Removed]] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has begun to leave, or has left."""
        now = boot_time()
        self._left.pop(endpoint.identity, None)
        self._left[endpoint.identity] = _Removed(endpoint, now)
        for identity, left in list(self._left.items()):
            if now - left.removed_at <= MAX_COPY_AGE_S:
                break
            self._left.pop(identity)

    def discard(self, identity: str) -> None:
        """Forget an endpoint that has registered again."""
        self._left.pop(identity, None)

    def has(self, endpoint: Endpoint) -> bool:
        """Tell whether this process of the endpoint was seen to leave."""
        left = self._left.get(endpoint.identity)
        return (
            left is not None
            and left.endpoint.started_at_ms == endpoint.started_at_ms
        )


class EndpointDirectory(Sink):
    """The registered endpoints by identity, read from a mirror."""

    def __init__(
        self,
        decoder: StoreDecoder,
        connection: StoreConnection,
    ) -> None:
        self._decoder: Final = decoder
        self._connection: Final = connection
        self._registered: dict[str, _Registered] = {}
        self._removed: Final[dict[str, _Removed]] = {}
        self._left: Final = _LeftEndpoints()
        # Listed registrations of endpoints that had left before a restore.
        self._outdated: dict[str, Item] = {}
        self._unreadable: Final = UnreadableLog('registration_unreadable')

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new work."""
        self._remove_unregistered()
        if self._outdated:
            self._accept_outdated()
        found: list[Endpoint] = []
        for registered in self._registered.values():
            endpoint = registered.endpoint
            if endpoint.service == service and not endpoint.draining:
                found.append(endpoint)
        return found

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Tell whether the process of an endpoint still accepts new work."""
        return any(
            (one.identity, one.started_at_ms)
            == (endpoint.identity, endpoint.started_at_ms)
            for one in self.endpoints(endpoint.service)
        )

    def accepts_work(self, endpoint: Endpoint) -> bool:
        """Tell whether the process of an endpoint is registered as ready.

        Other than `is_usable`, this takes a constant time.
        """
        known = self.find(endpoint.identity)
        return (
            known is not None
            and known.started_at_ms == endpoint.started_at_ms
            and not known.draining
        )

    def find(self, identity: str) -> Endpoint | None:
        """Return the registered process of an endpoint, if there is one."""
        registered = self._registered.get(identity)
        return None if registered is None else registered.endpoint

    def find_process(
        self, identity: str, started_at_ms: int
    ) -> Endpoint | None:
        """Return a process that is registered or was removed recently."""
        known = self.find(identity)
        if known is not None and known.started_at_ms == started_at_ms:
            return known
        removed = self._removed.get(identity)
        if removed is None or removed.endpoint.started_at_ms != started_at_ms:
            return None
        return removed.endpoint

    def identities(self) -> Container[str]:
        """Return the identities of the endpoints in the directory."""
        return self._registered.keys()

    def count(self) -> int:
        """Return the number of endpoints in the directory."""
        return len(self._registered)

    def remove(self, identity: str, reason: str) -> None:
        """Remove an endpoint so that it gets no more work."""
        registered = self._registered.pop(identity, None)
        if registered is not None:
            self._left.add(registered.endpoint)
            self._removed[identity] = _Removed(registered.endpoint, boot_time())
            logger.bind(endpoint=identity, reason=reason).info('endpoint_gone')

    def has_address(self, address: str) -> bool:
        """Tell whether an endpoint in the directory has this address."""
        return any(
            registered.endpoint.address == address
            for registered in self._registered.values()
        )

    def pop_removed(self, min_age_s: float) -> list[Endpoint]:
        """Return endpoints removed at least `min_age_s` ago, each one once."""
        popped: list[Endpoint] = []
        for identity, removed in list(self._removed.items()):
            if boot_time() - removed.removed_at < min_age_s:
                continue
            self._removed.pop(identity)
            popped.append(removed.endpoint)
        return popped

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Replace the contents by a complete listing."""
        listed: set[str] = set()
        self._outdated.clear()
        for item in items:
            identity = self._decoder.endpoint_identity(item.key)
            listed.add(identity)
            if self._is_outdated(item):
                self._outdated[identity] = item
                logger.bind(endpoint=identity).info('registration_outdated')
                continue
            self._register(item)
        for identity in list(self._registered):
            if identity not in listed:
                self._handle_unregistered(identity)

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changed and removed registrations."""
        for item in items:
            identity = self._decoder.endpoint_identity(item.key)
            self._outdated.pop(identity, None)
            if item.value is None:
                self._unreadable.forget(item.key)
                self._handle_unregistered(identity)
                continue
            self._left.discard(identity)
            self._register(item)

    def _is_outdated(self, item: Item) -> bool:
        """Tell whether a listed endpoint had left before a restore."""
        if not self._connection.restored_within(REGISTRATION_TTL_S):
            return False
        endpoint = self._decoder.decode_endpoint(item)
        return (
            not isinstance(endpoint, Failure)
            and not endpoint.draining
            and self._left.has(endpoint)
        )

    def _accept_outdated(self) -> None:
        """Register endpoints that are alive, as they have not expired."""
        if self._connection.restored_within(REGISTRATION_TTL_S):
            return
        for identity, item in list(self._outdated.items()):
            self._outdated.pop(identity)
            self._left.discard(identity)
            self._register(item)

    def _register(self, item: Item) -> None:
        endpoint = self._decoder.decode_endpoint(item)
        identity = self._decoder.endpoint_identity(item.key)
        if isinstance(endpoint, Failure):
            self._unreadable.report(item.key, endpoint)
            # Its key does not name it any more.
            self.remove(identity, 'registration unreadable')
            return
        self._unreadable.forget(item.key)
        registered = self._registered.get(identity)
        if registered is None or _differs(registered.endpoint, endpoint):
            logger.bind(
                endpoint=identity,
                service=endpoint.service,
                address=endpoint.address,
                zone=endpoint.zone,
                leaving=endpoint.draining,
                cold_ms=endpoint.cold_left_ms,
                revision=item.revision,
            ).info('endpoint_registered')
        self._registered[identity] = _Registered(endpoint)
        self._removed.pop(identity, None)
        if endpoint.draining:
            self._left.add(endpoint)

    def _handle_unregistered(self, identity: str) -> None:
        registered = self._registered.get(identity)
        if registered is None:
            return
        if not self._connection.recovered_within(RENEWAL_GRACE_S):
            self.remove(identity, 'registration removed')
            return
        if registered.unregistered_at is None:
            registered.unregistered_at = boot_time()
            logger.bind(endpoint=identity).info('registration_lapsed')

    def _remove_unregistered(self) -> None:
        if self._connection.recovered_within(RENEWAL_GRACE_S):
            return
        unregistered = _unregistered(self._registered.items())
        for identity in unregistered:
            self.remove(identity, 'not registered again after the outage')


class OperatorState(Sink):
    """The configuration and the evacuated zones, both set by operators."""

    def __init__(self, decoder: StoreDecoder, active: ActiveConfig) -> None:
        self._decoder: Final = decoder
        self._active: Final = active
        self._unreadable: Final = UnreadableLog(
            'config_unreadable', level='ERROR'
        )
        # The item that holds the configuration in force.
        self._config_item: Item | None = None
        self.evacuated_zones: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """The version of the configuration in force."""
        return self._active.config.version

    def with_config_in_force(self, items: tuple[Item, ...]) -> tuple[Item, ...]:
        """Return items with the configuration in force, if they have another.

        A restored store lists an older one.
        """
        held = self._config_item
        if held is None:
            return items
        return (*(item for item in items if item.key != held.key), held)

    def take_newer_config(self, items: tuple[Item, ...]) -> bool:
        """Adopt the configuration among items if its version is newer."""
        version = self.version
        for item in items:
            config = self._decoder.decode_config(item)
            if isinstance(config, FleetConfig) and config.version > version:
                self._apply_config(item)
        return self.version > version

    def replace_all(self, items: tuple[Item, ...]) -> None:
        """Replace the contents by a complete listing."""
        zones: set[str] = set()
        for item in items:
            zones.add(self._decoder.evacuated_zone(item.key))
            self._apply_config(item)
        self._set_evacuated_zones(zones - {''})

    def apply_changes(self, items: tuple[Item, ...]) -> None:
        """Apply changed and removed items."""
        zones = set(self.evacuated_zones)
        for item in items:
            zone = self._decoder.evacuated_zone(item.key)
            if item.value is None:
                zones.discard(zone)
                continue
            zones.add(zone)
            self._apply_config(item)
        self._set_evacuated_zones(zones - {''})

    def _apply_config(self, item: Item) -> None:
        config = self._decoder.decode_config(item)
        if config is None:
            return
        if isinstance(config, Failure):
            self._unreadable.report(item.key, config)
            return
        self._unreadable.forget(item.key)
        if self._active.adopt(config):
            self._config_item = item
            logger.bind(
                version=config.version,
                routes=len(config.routes),
                revision=item.revision,
            ).info('config_adopted')

    def _set_evacuated_zones(self, zones: set[str]) -> None:
        if zones != self.evacuated_zones:
            logger.bind(zones=sorted(zones)).info('zones_out_changed')
        self.evacuated_zones = frozenset(zones)


def _differs(one: Endpoint, other: Endpoint) -> bool:
    return (one.address, one.draining, one.started_at_ms, one.service) != (
        other.address,
        other.draining,
        other.started_at_ms,
        other.service,
    )


def _unregistered(registered: Iterable[tuple[str, _Registered]]) -> list[str]:
    return [
        identity
        for identity, one in registered
        if one.unregistered_at is not None
    ]
