"""Drops what is kept for endpoints that are gone.

It is kept for a while after an endpoint has gone: streams may still run on
its connections, and it may come back.
"""

from dataclasses import dataclass
from typing import Final

import anyio
from loguru import logger

from masticwind.serving.bounds import ColdRate
from masticwind.serving.directory import EndpointDirectory
from masticwind.serving.health import EndpointHealth
from masticwind.serving.interfaces import EndpointClient

# Longer than any request that was sent to the endpoint before it went.
KEEP_S: Final = 120.0
POLL_S: Final = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Cleanup:
    """Where something is kept by endpoint."""

    directory: EndpointDirectory
    health: EndpointHealth
    cold_rate: ColdRate
    endpoint_client: EndpointClient

    async def run(self) -> None:
        """Drop what is not needed any more, until cancelled."""
        while True:
            await anyio.sleep(POLL_S)
            await self.remove_expired(KEEP_S)

    async def remove_expired(self, keep_s: float) -> None:
        """Drop what belongs to endpoints gone for `keep_s` or longer."""
        for endpoint in self.directory.pop_removed(keep_s):
            self.health.forget(endpoint.identity)
            self.cold_rate.forget(endpoint.identity)
            if not self.directory.has_address(endpoint.address):
                await self.endpoint_client.close_idle(endpoint)
            logger.bind(endpoint=endpoint.identity).debug('endpoint_forgotten')
