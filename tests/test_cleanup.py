"""Cleanup of the state of endpoints that are no longer registered."""

import anyio
import pytest

from masticwind.platform.documents import PlatformDecoder
from masticwind.platform.endpoints import PlatformEndpointClient
from masticwind.serving.admission.bounds import ColdEndpointLimiter
from masticwind.serving.cleanup import Cleanup, build_news
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.directory import EndpointDirectory
from masticwind.serving.endpoint_limits import EndpointLimits
from masticwind.serving.endpoint_notices import EndpointNotices
from masticwind.serving.interfaces import EndpointNotice
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.health import EndpointHealth
from masticwind.serving.placement.load_table import JobObservers
from masticwind.serving.settings import LiveSettings
from masticwind.serving.store import Item
from masticwind.serving.telemetry import Telemetry
from tests.entry_harness import (
    isolated_suspicions,
    registration_json,
    sample_settings,
    steady_connection,
)

pytestmark = pytest.mark.anyio


def _item(number: int, *, removed: bool = False) -> Item:
    value = None if removed else registration_json(7000 + number)
    return Item(f'servers/i-{number}', value, number + 1)


async def test_state_of_removed_endpoints_is_dropped() -> None:
    """Guards against memory that grows with every endpoint ever seen, and
    against the loss of the records of an endpoint that is still registered.
    """
    cfg = sample_settings()
    directory = EndpointDirectory(PlatformDecoder(), steady_connection())
    health = EndpointHealth(isolated_suspicions())
    peers = EntryPeers(cfg)
    limits = EndpointLimits(cfg.node, 'a', peers)
    notices = EndpointNotices(LiveSettings(cfg))
    cleanup = Cleanup(
        directory=directory,
        health=health,
        cold_limiter=ColdEndpointLimiter(LiveSettings(cfg), peers),
        limits=limits,
        notices=notices,
        news=build_news(
            LiveSettings(cfg),
            PeerSocket(cfg),
            peers,
            directory=directory,
            observers=JobObservers(),
            telemetry=Telemetry(),
        ),
        endpoint_client=PlatformEndpointClient(),
    )
    for number in range(3):
        directory.apply_changes((_item(number),))
        for _ in range(3):
            health.record_failure(
                f'i-{number}', 'reset', connection_failed=True
            )
        endpoint = directory.find(f'i-{number}')
        assert endpoint is not None
        notices.observe(endpoint, EndpointNotice(leaving=True, pause_s=60), 0)
    directory.apply_changes((_item(0, removed=True), _item(1, removed=True)))
    directory.apply_changes((_item(1),))
    await cleanup.remove_expired(60)
    assert health.is_excluded('i-0')
    assert notices.leaving_count() == 3
    await anyio.sleep(0.01)
    await cleanup.remove_expired(0)
    assert not health.is_excluded('i-0')
    assert health.is_excluded('i-1')
    assert health.is_excluded('i-2')
    assert notices.leaving_count() == 2
    assert notices.paused_count() == 2
