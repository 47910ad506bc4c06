"""Whether the metadata store answers, and when it recovered last."""

from typing import Final

import anyio
from loguru import logger

from masticwind.budget import boot_time
from masticwind.errors import Failure


class StoreConnection:
    """The state of the connection of one mirror."""

    def __init__(self, prefix: str) -> None:
        self._prefix: Final = prefix
        self._connected = False
        self._connected_at = float('-inf')
        self._restored_at = float('-inf')
        self._reconnected = anyio.Event()

    @property
    def connected(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._connected

    def reconnected_within(self, seconds: float) -> bool:
        """Tell whether the store is down or recovered within `seconds`."""
        return (
            not self._connected or boot_time() - self._connected_at <= seconds
        )

    def restored_within(self, seconds: float) -> bool:
        """Tell whether a new era of the store was seen within `seconds`."""
        return boot_time() - self._restored_at <= seconds

    async def wait_until_connected(self) -> None:
        """Wait until the store answers, unless it answered the last call."""
        while not self._connected:
            await self._reconnected.wait()

    def record_connected(self) -> None:
        """Record an answered call."""
        if self._connected:
            return
        self._connected = True
        self._reconnected.set()
        self._reconnected = anyio.Event()
        self._connected_at = boot_time()
        logger.bind(prefix=self._prefix).info('store_connected')

    def record_restored(self) -> None:
        """Record a new era: the store was down, even if no call failed."""
        self._connected_at = boot_time()
        self._restored_at = boot_time()

    def record_disconnected(self, failure: Failure, age_s: float) -> None:
        """Record a failed call, and the age of the copy."""
        if self._connected:
            logger.bind(
                prefix=self._prefix,
                reason=failure.reason,
                age_s=round(age_s, 3),
            ).warning('store_lost')
        self._connected = False
