"""A metadata store for tests that only read."""

from typing import Final

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.store import (
    ANSWER_TIMEOUT_S,
    Compacted,
    Lease,
    Listing,
    MetadataStore,
)
from masticwind.serving.store_eras import StoreRevision

DOWN: Final = Failure(kind=ErrorKind.PLATFORM_DOWN, reason='down')


class UnwritableStore(MetadataStore):
    """Base class of test stores whose writes all fail."""

    async def grant_lease(self, ttl_s: float) -> Lease | Failure:
        """Fail."""
        return DOWN

    async def renew_lease(self, lease: Lease) -> Failure | None:
        """Fail."""
        return DOWN

    async def put(self, key: str, value: bytes, lease: Lease) -> Failure | None:
        """Fail."""
        return DOWN


class DownStore(UnwritableStore):
    """A store that is always down."""

    async def list_prefix(self, prefix: str) -> Listing | Failure:
        """Fail."""
        return DOWN

    async def watch_prefix(
        self,
        prefix: str,
        after: StoreRevision,
        wait_s: float,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Compacted | Failure:
        """Fail."""
        return DOWN
