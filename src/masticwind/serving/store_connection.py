"""Whether the metadata store answers, and when it recovered last.

A store that rejects the calls of one entry while it serves others is not down.
What the others confirm tells the two apart; without a confirmation, the store
counts as down. Registrations expire in an outage only.
"""

from typing import Final

import anyio
from loguru import logger

from masticwind.budget import boot_time
from masticwind.errors import Failure

# No registration expires in an outage that is shorter: its endpoint renews it
# about every second, and it lasts for three of these intervals.
MIN_OUTAGE_S: Final = 2.0


class StoreConnection:
    """The state of the connection of one mirror.

    While the store is down, a mirror with a `monitor` does not probe the store
    itself but waits until that connection has recovered.
    """

    def __init__(
        self, prefix: str, monitor: 'StoreConnection | None' = None
    ) -> None:
        self._prefix: Final = prefix
        self._monitor: Final = monitor
        self._connected = False
        self._lost_at = float('-inf')
        # Since the connection was lost: whether an entry that reached the store
        # confirmed the copy, and whether none did for `MIN_OUTAGE_S`.
        self._confirmed = False
        self._outage_seen = False
        self._recovered_at = float('-inf')
        self._restored_at = float('-inf')
        self._reconnected = anyio.Event()

    @property
    def connected(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._connected

    def recovered_within(self, seconds: float) -> bool:
        """Tell whether the store may be down, or recovered from an outage
        within `seconds`.
        """
        return (
            not self._connected or boot_time() - self._recovered_at <= seconds
        )

    def restored_within(self, seconds: float) -> bool:
        """Tell whether a new era of the store was seen within `seconds`."""
        return boot_time() - self._restored_at <= seconds

    async def wait_until_connected(self) -> None:
        """Wait until the store answers, unless it answered the last call."""
        while not self._connected:
            await self._reconnected.wait()

    async def wait_for_monitor(self) -> None:
        """Wait until the monitor is connected, if there is one."""
        if self._monitor is not None:
            await self._monitor.wait_until_connected()

    def record_confirmation(self, as_of: float, gap_s: float) -> None:
        """Record that another entry has confirmed the copy.

        It is recent as of `as_of`, `gap_s` later than known before.
        """
        if self._connected:
            return
        self._confirmed = self._confirmed or as_of >= self._lost_at
        self._outage_seen = self._outage_seen or gap_s >= MIN_OUTAGE_S

    def record_connected(self, age_s: float) -> None:
        """Record an answered call, and the age of the copy before it."""
        if self._connected:
            return
        self._connected = True
        self._reconnected.set()
        self._reconnected = anyio.Event()
        outage = self._was_down(age_s)
        if outage:
            self._recovered_at = boot_time()
        logger.bind(prefix=self._prefix, outage=outage).info('store_connected')

    def record_restored(self) -> None:
        """Record a new era: the store was down, even if no call failed."""
        self._recovered_at = boot_time()
        self._restored_at = boot_time()

    def record_disconnected(self, failure: Failure, age_s: float) -> None:
        """Record a failed call, and the age of the copy."""
        if self._connected:
            self._lost_at = boot_time()
            self._confirmed = False
            self._outage_seen = False
            logger.bind(
                prefix=self._prefix,
                reason=failure.reason,
                age_s=round(age_s, 3),
            ).warning('store_lost')
        self._connected = False

    def _was_down(self, age_s: float) -> bool:
        if self._monitor is None:
            unconfirmed = not self._confirmed or age_s >= MIN_OUTAGE_S
            return unconfirmed or self._outage_seen
        # A call of this mirror may have been open when the store recovered.
        return self._monitor._recovered_at >= self._lost_at - MIN_OUTAGE_S
