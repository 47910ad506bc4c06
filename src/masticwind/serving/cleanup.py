"""Removes the per-endpoint state of endpoints that are no longer registered.

The state is kept for a retention time after the endpoint has been removed,
since streams may still run on its connections and it may register again.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from loguru import logger

from masticwind.serving.admission.bounds import ColdEndpointLimiter
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.directory import EndpointDirectory
from masticwind.serving.endpoint_limits import EndpointLimits
from masticwind.serving.endpoint_notices import EndpointNotices
from masticwind.serving.interfaces import EndpointClient
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.endpoint_news import (
    EndpointNews,
    LivenessObserver,
)
from masticwind.serving.placement.health import EndpointHealth
from masticwind.serving.placement.load_table import JobObservers
from masticwind.serving.placement.reported_endpoints import ReportedEndpoints
from masticwind.serving.placement.suspicions import Suspicions
from masticwind.serving.settings import LiveSettings
from masticwind.serving.telemetry import Telemetry

# Longer than any request that was sent to the endpoint before its removal.
RETENTION_S: Final = 120.0
CLEANUP_INTERVAL_S: Final = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Cleanup:
    """Holds the components that keep state for each endpoint.

    `forget_callbacks` are called with the identity of a removed endpoint.
    """

    directory: EndpointDirectory
    health: EndpointHealth
    cold_limiter: ColdEndpointLimiter
    limits: EndpointLimits
    notices: EndpointNotices
    news: EndpointNews
    endpoint_client: EndpointClient
    forget_callbacks: list[Callable[[str], None]] = field(default_factory=list)

    async def run(self) -> None:
        """Remove expired state periodically until cancelled."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            await self.remove_expired(RETENTION_S)
            self.limits.retain(self.directory.identities())
            self.notices.remove_expired(self.directory.find)

    async def remove_expired(self, retention_s: float) -> None:
        """Drop the state of endpoints removed `retention_s` ago or earlier."""
        for endpoint in self.directory.pop_removed(retention_s):
            self.health.forget(endpoint.identity)
            self.cold_limiter.forget(endpoint.identity)
            self.notices.forget(endpoint.identity)
            self.news.reported.forget(endpoint)
            for forget in self.forget_callbacks:
                forget(endpoint.identity)
            if not self.directory.has_address(endpoint.address):
                await self.endpoint_client.close_idle(endpoint)
            logger.bind(endpoint=endpoint.identity).debug('endpoint_forgotten')


def build_news(
    settings: LiveSettings,
    peer_socket: PeerSocket,
    peers: EntryPeers,
    *,
    directory: EndpointDirectory,
    observers: JobObservers,
    telemetry: Telemetry,
) -> EndpointNews:
    """Create the exchange of reports about endpoints.

    Jobs that begin to decode are signs of life.
    """
    news = EndpointNews(
        peer_socket,
        peers,
        settings,
        reported=ReportedEndpoints(directory),
        suspicions=Suspicions(peer_socket, peers, settings.zone),
        telemetry=telemetry,
    )
    observers.add(LivenessObserver(news))
    return news


def build_cleanup(
    settings: LiveSettings,
    peers: EntryPeers,
    *,
    directory: EndpointDirectory,
    limits: EndpointLimits,
    news: EndpointNews,
    endpoint_client: EndpointClient,
) -> Cleanup:
    """Create the components that keep state for each endpoint."""
    return Cleanup(
        directory=directory,
        health=EndpointHealth(
            news.suspicions, is_doubtful=news.reported.is_doubtful
        ),
        cold_limiter=ColdEndpointLimiter(settings, peers),
        limits=limits,
        notices=EndpointNotices(settings),
        news=news,
        endpoint_client=endpoint_client,
    )
