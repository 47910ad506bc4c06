"""Leader election for the planner of one availability zone.

The leader holds a lease in the key-value service. It counts the TTL on its
own monotonic clock from before it sends the request, so that after a pause it
may take a valid lease for expired, but never an expired one for valid.
"""

import time
from typing import Final

import anyio
from loguru import logger

from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, KeyValue, Lease, Written

LEASE_TTL_S: Final = 10.0
RENEW_INTERVAL_S: Final = 3.0
# An order is sent only while at least this much of the lease remains.
MIN_REMAINING_LEASE_S: Final = 3.0


class Leadership:
    """Acquires and renews the lease on the key `planner/<zone>`."""

    def __init__(self, key_value: KeyValue, zone: str, node: str) -> None:
        self._kv: Final = key_value
        self._key: Final = f'planner/{zone}'
        self._node: Final = node
        self._lease: Lease | None = None
        self._expires_at = 0.0

    def fencing_token(self) -> int | None:
        """Return the fencing token if orders may be sent now.

        Callers check it right before each order, because the lease can
        expire at any time.
        """
        if self._lease is None:
            return None
        if time.monotonic() > self._expires_at - MIN_REMAINING_LEASE_S:
            return None
        return self._lease.fencing

    async def run(self) -> None:
        """Acquire the lease and renew it until cancelled."""
        while True:
            if self._lease is None:
                await self._acquire()
            else:
                await self._renew(self._lease)
            await anyio.sleep(RENEW_INTERVAL_S)

    async def _acquire(self) -> None:
        requested_at = time.monotonic()
        stored = await self._kv.get(self._key)
        if isinstance(stored, Failure) or stored.value is not None:
            return
        lease = await self._kv.grant_lease(LEASE_TTL_S)
        if isinstance(lease, Failure):
            return
        result = await self._kv.compare_and_swap(
            self._key,
            self._node.encode(),
            stored.revision,
            lease.lease_id,
        )
        if isinstance(result, Written):
            self._lease = lease
            self._expires_at = requested_at + LEASE_TTL_S
            logger.bind(fencing=lease.fencing, key=self._key).info('leading')
            return
        # After an unknown outcome the key may hold this node's name under this
        # lease. Revoking the lease deletes the key in that case.
        await self._kv.revoke_lease(lease)
        if not isinstance(result, Conflict):
            logger.bind(key=self._key).warning('leadership_unknown')

    async def _renew(self, lease: Lease) -> None:
        requested_at = time.monotonic()
        renewed = await self._kv.renew_lease(lease)
        if not isinstance(renewed, Failure):
            self._expires_at = requested_at + LEASE_TTL_S
            return
        has_ended = renewed.kind is ErrorKind.CONFLICT
        if has_ended or time.monotonic() > self._expires_at:
            logger.bind(key=self._key).warning('leadership_lost')
            self._lease = None
