"""An entry whose calls the store rejects while it serves the other entries."""

from http import HTTPStatus
from typing import Final

import anyio
import pytest

from masticwind.serving.directory import RENEWAL_GRACE_S
from tests.test_confirmations import running_entry_pair

pytestmark = pytest.mark.anyio

# Longer than it takes to notice that the store rejects all calls.
REJECTED_S: Final = 3.0
# A confirmed copy is looked up again after two seconds at most.
RECONNECTED_S: Final = 2.5


async def test_engine_that_left_while_the_store_rejects_is_not_used() -> None:
    """Guards against requests to an engine that has left, because the entry
    takes its missing registration for one that lapsed in an outage.
    """
    async with running_entry_pair(key_age_ms=5000) as pair:
        # The entry's own start counts as a recovery of the store.
        await anyio.sleep(RENEWAL_GRACE_S)
        pair.faulty_store.unavailable = True
        await anyio.sleep(REJECTED_S)
        pair.store.write('servers/i-1', None)
        pair.faulty_store.unavailable = False
        with anyio.fail_after(RECONNECTED_S):
            while not pair.entry._registrations_mirror.connected:
                await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        assert await pair.request_status() == HTTPStatus.SERVICE_UNAVAILABLE


async def test_engine_that_lapsed_in_an_outage_is_used_until_it_is_back() -> (
    None
):
    """Guards against a sound engine that is removed after an outage."""
    async with running_entry_pair(key_age_ms=5000) as pair:
        await anyio.sleep(RENEWAL_GRACE_S)
        pair.store.switches.outage = True
        await anyio.sleep(REJECTED_S)
        pair.store.write('servers/i-1', None)
        pair.store.switches.outage = False
        with anyio.fail_after(RECONNECTED_S):
            while not pair.entry._registrations_mirror.connected:
                await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        assert await pair.request_status() == HTTPStatus.OK
