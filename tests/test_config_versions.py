"""Comparison of the version of the configuration with other entries."""

import json
import math
from dataclasses import dataclass
from typing import Final

import anyio
import pytest

from masticwind.budget import MS_PER_S
from masticwind.platform.documents import PlatformDecoder
from masticwind.serving import confirmations
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.config_versions import (
    MAX_CHECK_S,
    MAX_UNPROVED_CHECK_S,
    MAX_WAIT_S,
    ConfigVersions,
)
from masticwind.serving.datagrams import PeerAddress, PeerSocket
from masticwind.serving.directory import OperatorState
from masticwind.serving.mirror import Mirror, MirrorOptions
from masticwind.serving.peers import UNREGISTERED_TTL_S, EntryPeers
from masticwind.serving.settings import LiveSettings
from masticwind.serving.store import Item, Listing
from masticwind.serving.store_eras import StoreRevision
from tests.entry_harness import sample_config_document, sample_settings
from tests.manual_clock import ManualClock
from tests.unwritable_store import DownStore

OTHER: Final = PeerAddress('127.0.0.1', 7)
OTHER_ITEM: Final = Item('entries/entry-2', b'127.0.0.1:7', 1)


def _config_item(version: int, **fields: object) -> Item:
    document = sample_config_document(version=version, **fields)
    return Item('op/config', json.dumps(document).encode(), version)


@dataclass(frozen=True)
class Entry:
    """The configuration of an entry that knows one other entry."""

    clock: ManualClock
    active: ActiveConfig
    mirror: Mirror
    versions: ConfigVersions
    peers: EntryPeers

    def list_copy(self, era: int, version: int) -> None:
        """List the configuration from the store; a timer checks it then."""
        listing = Listing((_config_item(version),), StoreRevision(era, version))
        self.mirror._replace(listing)
        self.mirror._as_of = self.clock()
        self.versions.update()

    def report(self, version: int, *, confirmed: bool = True) -> None:
        """Receive the other entry's reply to a request of this moment."""
        sent_ms = int(self.clock() * MS_PER_S)
        self.versions.report(version, sent_ms, OTHER, confirmed=confirmed)
        self.versions.update()


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> Entry:
    """Return an entry that has just started."""
    clock = ManualClock()
    for module in ('mirror', 'config_versions', 'peers'):
        monkeypatch.setattr(f'masticwind.serving.{module}.boot_time', clock)
    active = ActiveConfig()
    state = OperatorState(PlatformDecoder(), active)
    mirror = Mirror(DownStore(), state, MirrorOptions(prefix='op/', wait_s=1))
    peers = EntryPeers(sample_settings())
    peers.replace_all((OTHER_ITEM,))
    versions = ConfigVersions(mirror, state, peers)
    return Entry(clock, active, mirror, versions, peers)


def test_configuration_is_confirmed_once_another_entry_has_replied(
    entry: Entry,
) -> None:
    """Guards against a start at which callers are refused for longer than a
    reply takes.
    """
    entry.list_copy(1, 3)
    assert entry.versions.age_s() > MAX_WAIT_S
    entry.report(3)
    assert entry.versions.age_s() == 0


def test_entry_whose_peers_are_dead_serves_after_a_short_check(
    entry: Entry,
) -> None:
    """Guards against an entry that serves nobody after all entries ended."""
    entry.list_copy(1, 3)
    assert entry.versions.is_checking()
    entry.clock.now += 2 * MAX_CHECK_S
    assert entry.versions.age_s() == pytest.approx(2 * MAX_CHECK_S)


def test_configuration_is_not_confirmed_while_a_version_is_missing(
    entry: Entry,
) -> None:
    """Guards against a removed key that works, because a restored store lists
    an older configuration than another entry has.
    """
    entry.list_copy(2, 3)
    entry.report(5)
    assert entry.versions.age_s() > MAX_WAIT_S
    assert entry.versions.lacking_from() == OTHER
    assert entry.versions.take_newer((_config_item(5),))
    assert entry.versions.age_s() == 0


def test_running_entry_keeps_its_age_while_it_asks_in_a_new_era(
    entry: Entry,
) -> None:
    """Guards against callers that are refused during the check of a new era,
    and against a configuration that counts as confirmed before its end.
    """
    entry.list_copy(1, 3)
    entry.report(3)
    assert entry.versions.age_s() == 0
    entry.clock.now += 1
    entry.list_copy(2, 3)
    assert entry.versions.age_s() == 1
    entry.report(3)
    assert entry.versions.age_s() == 0


def test_version_that_no_entry_has_is_ignored(entry: Entry) -> None:
    """Guards against an entry that serves nobody, because another one reports
    a version that does not exist.
    """
    entry.list_copy(1, 3)
    entry.report(3)
    steps = 40
    greatest_age_s = 0.0
    for _ in range(steps):
        entry.report(10**9)
        entry.clock.now += 0.1
        entry.list_copy(1, 3)
        greatest_age_s = max(greatest_age_s, entry.versions.age_s())
    assert greatest_age_s <= 2 * MAX_WAIT_S


def test_copy_for_other_entries_has_the_configuration_in_force(
    entry: Entry,
) -> None:
    """Guards against a copy that lacks the newest configuration, because the
    store was restored.
    """
    entry.list_copy(1, 5)
    entry.list_copy(2, 3)
    assert entry.active.config.version == 5
    assert entry.versions.items() == (_config_item(5),)


def test_reused_version_number_is_put_in_force(entry: Entry) -> None:
    """Guards against a configuration that is ignored, because a lost one had
    the same version.
    """
    entry.list_copy(1, 5)
    changed = _config_item(5, tenants=[])
    entry.mirror._replace(Listing((changed,), StoreRevision(2, 5)))
    assert not entry.active.config.teams_by_key
    # A lost configuration does not come back from another entry.
    assert not entry.versions.take_newer((_config_item(5),))
    assert not entry.active.config.teams_by_key


def _forget_others(entry: Entry) -> None:
    entry.peers.replace_all(())
    entry.clock.now += 2 * UNREGISTERED_TTL_S
    assert not entry.peers.others()


def test_empty_list_of_a_restored_store_does_not_confirm_the_configuration(
    entry: Entry,
) -> None:
    """Guards against a removed key that works, because a restored store lists
    no entries although some are running.
    """
    _forget_others(entry)
    entry.list_copy(2, 3)
    entry.clock.now += 2 * MAX_CHECK_S
    assert math.isinf(entry.versions.age_s())
    entry.peers.replace_all((OTHER_ITEM,))
    entry.report(5)
    assert math.isinf(entry.versions.age_s())
    assert entry.versions.take_newer((_config_item(5),))
    assert math.isfinite(entry.versions.age_s())


def test_entry_that_is_checking_itself_does_not_confirm_the_configuration(
    entry: Entry,
) -> None:
    """Guards against two entries that have both started after a restore and
    take each other's version for the newest.
    """
    entry.list_copy(2, 3)
    entry.report(3, confirmed=False)
    assert math.isinf(entry.versions.age_s())
    entry.report(3)
    assert entry.versions.age_s() == 0


def test_only_entry_of_a_restored_store_serves_after_a_while(
    entry: Entry,
) -> None:
    """Guards against an entry that serves nobody since it is the only one."""
    _forget_others(entry)
    entry.list_copy(2, 3)
    entry.clock.now += MAX_UNPROVED_CHECK_S
    assert math.isfinite(entry.versions.age_s())


def test_check_without_proof_is_repeated_when_an_entry_appears(
    entry: Entry,
) -> None:
    """Guards against a removed key that works at an entry which has waited in
    vain for the others.
    """
    _forget_others(entry)
    entry.list_copy(2, 3)
    entry.clock.now += MAX_UNPROVED_CHECK_S
    assert math.isfinite(entry.versions.age_s())
    entry.peers.replace_all((OTHER_ITEM,))
    assert math.isinf(entry.versions.age_s())
    entry.report(3)
    assert math.isfinite(entry.versions.age_s())


def test_silent_entries_of_a_restored_store_delay_a_start_only_once(
    entry: Entry,
) -> None:
    """Guards against an entry that checks again and again beside entries that
    have ended.
    """
    entry.list_copy(2, 3)
    for _ in range(4):
        entry.clock.now += MAX_UNPROVED_CHECK_S
        entry.peers.replace_all((OTHER_ITEM,))
        entry.versions.update()
    assert math.isfinite(entry.versions.age_s())


@pytest.mark.anyio
async def test_entry_that_has_started_asks_at_once(
    entry: Entry, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers that wait for a first request which is sent only
    after an interval, when all entries start together.
    """
    monkeypatch.setattr(confirmations, 'CHECK_INTERVAL_S', 60)
    asked: list[PeerAddress] = []
    cfg = sample_settings()
    socket = PeerSocket(cfg)
    monkeypatch.setattr(
        socket, 'send', lambda _kind, _message, peers: asked.extend(peers)
    )
    part = confirmations.Confirmations(
        socket, entry.peers, entry.mirror, entry.versions, LiveSettings(cfg)
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(part.run)
        entry.list_copy(1, 3)
        with anyio.fail_after(10):
            while not asked:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert asked == [OTHER]
