"""Leadership of one availability zone's planner, under a lease.

The holder counts the lease's time on its own monotonic clock from before it
asked, so that a pause makes it believe too little and never too much.
"""

import time
from typing import Final

import anyio
from loguru import logger

from masticwind.errors import ErrorKind, Failure
from masticwind.store.base import Conflict, KeyValue, Lease, Written

LEASE_TTL_S: Final = 10.0
RENEW_INTERVAL_S: Final = 3.0
# An order is sent only while at least this much of the lease is left.
MIN_REMAINING_LEASE_S: Final = 3.0


class Leadership:
    """Holds, or tries to get, the lease of `planner/<zone>`."""

    def __init__(self, key_value: KeyValue, zone: str, node: str) -> None:
        self._kv: Final = key_value
        self._key: Final = f'planner/{zone}'
        self._node: Final = node
        self._lease: Lease | None = None
        self._expires = 0.0

    def fencing_token(self) -> int | None:
        """Return the fencing token if orders may be sent now.

        Ask right before each order: the answer is only good for the moment.
        """
        if self._lease is None:
            return None
        if time.monotonic() > self._expires - MIN_REMAINING_LEASE_S:
            return None
        return self._lease.fencing

    async def run(self) -> None:
        """Get and keep the lease until cancelled."""
        while True:
            if self._lease is None:
                await self._acquire()
            else:
                await self._renew(self._lease)
            await anyio.sleep(RENEW_INTERVAL_S)

    async def _acquire(self) -> None:
        asked = time.monotonic()
        found = await self._kv.get(self._key)
        if isinstance(found, Failure) or found.value is not None:
            return
        lease = await self._kv.grant_lease(LEASE_TTL_S)
        if isinstance(lease, Failure):
            return
        result = await self._kv.compare_and_swap(
            self._key,
            self._node.encode(),
            found.revision,
            lease.lease_id,
        )
        if isinstance(result, Written):
            self._lease = lease
            self._expires = asked + LEASE_TTL_S
            logger.bind(fencing=lease.fencing, key=self._key).info('leading')
            return
        # Without an answer the key may name this node under this lease;
        # ending the lease removes it either way.
        await self._kv.revoke_lease(lease)
        if not isinstance(result, Conflict):
            logger.bind(key=self._key).warning('leadership_unknown')

    async def _renew(self, lease: Lease) -> None:
        asked = time.monotonic()
        kept = await self._kv.renew_lease(lease)
        if not isinstance(kept, Failure):
            self._expires = asked + LEASE_TTL_S
            return
        ended = kept.kind is ErrorKind.CONFLICT
        if ended or time.monotonic() > self._expires:
            logger.bind(key=self._key).warning('leadership_lost')
            self._lease = None
