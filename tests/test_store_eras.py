"""The eras that the answers of the metadata store name."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import anyio
import pytest

from masticwind.errors import Failure
from masticwind.platform.store import PlatformStore, decode_era
from masticwind.serving.settings import StoreSettings
from masticwind.serving.store import Changes, Compacted, Lease
from masticwind.serving.store_eras import (
    MAX_ANSWER_DELAY_S,
    NO_ERA,
    StoreEras,
    StoreRevision,
)
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.standins.metadata import MetadataStandin
from tests.manual_clock import ManualClock

pytestmark = pytest.mark.anyio

UNREADABLE: Final = (b'', b' ', b'-1', b'+1', b'1.0', b'x', b'1 2', b'9' * 19)
KEY: Final = 'op/config'


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    """Replace the clock of the eras."""
    clock = ManualClock()
    monkeypatch.setattr('masticwind.serving.store_eras.boot_time', clock)
    return clock


@asynccontextmanager
async def _running_store() -> AsyncIterator[
    tuple[MetadataStandin, PlatformStore]
]:
    standin = MetadataStandin()
    server = WebServer(standin.app, Address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        address = f'127.0.0.1:{server.port}'
        yield standin, PlatformStore(StoreSettings(address=address))
        tasks.cancel_scope.cancel()


def test_any_revision_of_a_later_era_is_newer() -> None:
    """Guards against a revision that is compared without its era."""
    assert StoreRevision(2, 7) > StoreRevision(1, 90)
    assert StoreRevision(2, 7) > StoreRevision(2, 6)


@pytest.mark.parametrize('era', UNREADABLE)
def test_era_that_cannot_be_read_is_a_failure(era: bytes) -> None:
    """Guards against an answer that is taken for one of a wrong era."""
    assert isinstance(decode_era([(b'Store-Era', era)]), Failure)


def test_repeated_era_is_a_failure() -> None:
    """Guards against an answer that is taken for one of the wrong two eras."""
    headers = [(b'Store-Era', b'1'), (b'store-era', b'2')]
    assert isinstance(decode_era(headers), Failure)


def test_missing_era_is_that_of_a_store_without_eras() -> None:
    """Guards against a store without eras whose answers are refused."""
    assert decode_era([(b'content-length', b'0')]) == NO_ERA


def test_delayed_answer_of_an_earlier_era_is_refused(
    clock: ManualClock,
) -> None:
    """Guards against a delayed answer that brings back an earlier era."""
    eras = StoreEras()
    assert eras.observe(1, 'list')
    assert eras.observe(2, 'list')
    clock.now += MAX_ANSWER_DELAY_S / 2
    assert not eras.observe(1, 'watch')
    assert not eras.observe(NO_ERA, 'watch')
    assert eras.newest == 2


def test_era_named_by_mistake_is_given_up(clock: ManualClock) -> None:
    """Guards against an entry that refuses all answers until it is restarted,
    because one answer has named an enormous era, or the store was replaced.
    """
    eras = StoreEras()
    eras.observe(10**17, 'list')
    seconds = 0.0
    while not eras.observe(3, 'list'):
        clock.now += 1
        seconds += 1
    assert seconds == MAX_ANSWER_DELAY_S
    assert eras.newest == 3
    assert eras.observe(4, 'list')


def test_newest_era_is_kept_while_it_is_named(clock: ManualClock) -> None:
    """Guards against an old connection whose answers bring back an earlier
    era while others name the newest one.
    """
    eras = StoreEras()
    for _ in range(int(3 * MAX_ANSWER_DELAY_S)):
        assert eras.observe(2, 'list')
        assert not eras.observe(1, 'watch')
        clock.now += 1


async def test_era_is_read_from_refusals_too() -> None:
    """Guards against a restore that an entry misses, because the store rejects
    its calls.
    """
    async with _running_store() as (standin, store):
        standin.switches.outage = True
        standin.era = 4
        assert isinstance(await store.renew_lease(Lease(1, 1)), Failure)
        assert store.eras.newest == 4


async def test_watch_of_an_earlier_era_has_no_valid_answer() -> None:
    """Guards against a watch that misses what a new era wrote below the
    revision from which it resumes.
    """
    async with _running_store() as (standin, store):
        revision = standin.write(KEY, b'old')
        copy = standin.copy()
        standin.write(KEY, b'lost')
        standin.restore(copy)
        standin.write(KEY, b'new')
        for _ in range(3):
            standin.write('op/other', b'')
        answer = await store.watch_prefix(KEY, StoreRevision(1, revision), 0.1)
        assert isinstance(answer, Compacted)


async def test_store_without_eras_is_watched_as_before() -> None:
    """Guards against a store without eras whose changes are missed."""
    async with _running_store() as (standin, store):
        standin.switches.era_headers = ()
        listing = await store.list_prefix(KEY)
        assert not isinstance(listing, Failure)
        standin.write(KEY, b'new')
        changes = await store.watch_prefix(KEY, listing.revision, 0.1)
        assert isinstance(changes, Changes)
        assert [item.value for item in changes.items] == [b'new']


async def test_answer_that_stops_to_name_its_era_is_refused() -> None:
    """Guards against a copy that is taken for one of the newest era, though
    nothing says so.
    """
    async with _running_store() as (standin, store):
        assert not isinstance(await store.list_prefix(KEY), Failure)
        standin.switches.era_headers = ()
        assert isinstance(await store.list_prefix(KEY), Failure)
        standin.switches.era_headers = ((b'store-era', b'-1'),)
        assert isinstance(await store.list_prefix(KEY), Failure)
        standin.switches.era_headers = None
        assert not isinstance(await store.list_prefix(KEY), Failure)
