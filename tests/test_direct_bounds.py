"""Bounds that entries keep together without asking each other."""

from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.serving.bounds import SLACK_SHARE, ColdRate, RepeatBudget
from masticwind.serving.datagrams import PeerAddress
from masticwind.serving.health import (
    INITIAL_EXCLUSION_S,
    SOFT_FAILURE_LIMIT,
    EndpointHealth,
)
from masticwind.serving.peers import (
    MAX_UNREGISTERED,
    SILENCE_TIMEOUT_S,
    UNREGISTERED_TTL_S,
)
from masticwind.serving.settings import (
    FleetBounds,
    LiveSettings,
)
from masticwind.serving.store import Item
from tests.direct_rig import (
    isolated_suspicions,
    peers_of_each_entry,
    sample_settings,
)
from tests.manual_clock import ManualClock

BOUNDS: Final = FleetBounds(repeat_slack=100, repeat_ratio=0.2)
CFG: Final = sample_settings(bounds=BOUNDS)
SERVICE: Final = 'calls'
# The large deployment of the users.
LARGE_CFG: Final = sample_settings(
    bounds=FleetBounds(cold_factor=1.5, cold_slack=5),
)
LARGE_COLD_PER_S: Final = 15
LARGE_COLD_BOUND: Final = 27.5


@settings(deadline=None)
@given(
    entries=st.integers(min_value=1, max_value=30),
    steps=st.lists(
        st.tuples(st.floats(0, 3), st.integers(0, 40), st.integers(0, 60)),
        max_size=30,
    ),
)
def test_repeats_of_all_entries_stay_within_the_bound(
    entries: int,
    steps: list[tuple[float, int, int]],
) -> None:
    """Guards against entries that each keep to the bound but break it
    together: all entries behave alike here, which is the worst case.
    """
    clock = ManualClock()
    budget = RepeatBudget(LiveSettings(CFG), lambda: entries, clock)
    requests: list[float] = []
    repeats: list[float] = []
    for wait_s, asked, wanted in steps:
        clock.now += wait_s
        for _ in range(asked):
            budget.request(SERVICE)
            requests.append(clock.now)
        taken = sum(budget.take(SERVICE) for _ in range(wanted))
        repeats.extend(clock.now for _ in range(taken))
        since = clock.now - BOUNDS.repeat_window_s
        asked_now = sum(at >= since for at in requests) * entries
        repeated = sum(at >= since for at in repeats) * entries
        allowed = BOUNDS.repeat_ratio * asked_now + BOUNDS.repeat_slack
        assert repeated <= allowed


@settings(deadline=None)
@given(
    entries=st.integers(min_value=1, max_value=30),
    waits=st.lists(st.floats(0, 0.5), max_size=200),
)
def test_cold_endpoint_gets_no_more_than_it_bears(
    entries: int,
    waits: list[float],
) -> None:
    """Guards against requests of all entries that add up above the rate of
    a cold endpoint in some second.
    """
    clock = ManualClock()
    rate = ColdRate(LiveSettings(CFG), peers_of_each_entry(entries)[0], clock)
    sent: list[float] = []
    for wait_s in waits:
        clock.now += wait_s
        if rate.free('i-1', 38):
            rate.sent('i-1')
            sent.append(clock.now)
        recent = sum(at > clock.now - 1 for at in sent) * entries
        assert recent <= 38 * BOUNDS.cold_factor + BOUNDS.cold_slack


@pytest.mark.parametrize('entries', [1, 3, 22, 23, 68, 300])
@pytest.mark.parametrize('endpoints', [1, 5, 112])
def test_cold_endpoint_bears_all_entries_at_the_same_moment(
    entries: int,
    endpoints: int,
) -> None:
    """Guards against an endpoint that has just come back and is the emptiest
    one for all entries at once, and against bounds that leave every entry of
    a large fleet without an endpoint.
    """
    clock = ManualClock()
    live = LiveSettings(LARGE_CFG)
    rates = [
        ColdRate(live, peers, clock) for peers in peers_of_each_entry(entries)
    ]
    names = [f'i-{number}' for number in range(endpoints)]
    sent = Counter[str]()
    serving: set[int] = set()
    for _ in range(9):
        for number, rate in enumerate(rates):
            for name in names:
                free = rate.free(name, LARGE_COLD_PER_S)
                if not free and number not in serving:
                    free = rate.free_in_need(name, LARGE_COLD_PER_S)
                if free:
                    rate.sent(name)
                    sent[name] += 1
                    serving.add(number)
        clock.now += 0.1
    assert max(sent.values()) <= LARGE_COLD_BOUND
    # Each endpoint serves at least the number of entries that it bears, at
    # four fifths of its bound; with many endpoints, every entry has some.
    assert len(serving) >= min(entries, int(LARGE_COLD_BOUND * SLACK_SHARE))
    if endpoints == 112:
        assert len(serving) == entries


def test_lapsed_entries_still_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against shares that grow because all registrations lapsed while
    the store was away, though the entries are alive.
    """
    clock = ManualClock()
    monkeypatch.setattr('masticwind.serving.peers.boot_time', clock)
    peers = peers_of_each_entry(20)[3]
    position = peers.position('i-1')
    peers.replace_all((Item('entries/entry-3', b'127.0.0.1:7', 99),))
    assert peers.count() == 20
    assert peers.position('i-1') == position
    assert len(peers.others()) == 19
    clock.now += UNREGISTERED_TTL_S + 0.1
    assert peers.count() == 1
    assert peers.position('i-1') == 0


def test_entry_is_known_from_its_datagrams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that hears nothing of the load until its
    registration is read, and against strangers that count for good.
    """
    clock = ManualClock()
    monkeypatch.setattr('masticwind.serving.peers.boot_time', clock)
    peers = peers_of_each_entry(3)[0]
    peers.record_seen('entry-9', PeerAddress('127.0.0.9', 7))
    assert peers.count() == 4
    assert PeerAddress('127.0.0.9', 7) in peers.others()
    for number in range(2 * MAX_UNREGISTERED):
        peers.record_seen(f'stranger-{number}', PeerAddress('127.0.0.9', 7))
    assert peers.count() <= 3 + MAX_UNREGISTERED
    clock.now += UNREGISTERED_TTL_S + 0.1
    assert peers.count() == 3


def test_silent_entries_are_not_asked_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against every entry asking the store because the two that
    confirm have been killed and their registrations are still there.
    """
    clock = ManualClock()
    monkeypatch.setattr('masticwind.serving.peers.boot_time', clock)
    peers = peers_of_each_entry(6)[0]
    for number in range(1, 6):
        peers.record_seen(f'entry-{number}', PeerAddress('127.0.0.1', 7))
    before = [node for node, _ in peers.first_by_hash(2)]
    clock.now += SILENCE_TIMEOUT_S + 0.1
    for number in range(1, 6):
        if f'entry-{number}' not in before:
            peers.record_seen(f'entry-{number}', PeerAddress('127.0.0.1', 7))
    after = [node for node, _ in peers.first_by_hash(2)]
    assert len(after) == 2
    assert not set(after) & set(before) - {'entry-0'}


def test_bounds_follow_reloaded_settings() -> None:
    """Guards against bounds that stay as they were at the start."""
    live = LiveSettings(CFG)
    clock = ManualClock()
    budget = RepeatBudget(live, lambda: 1, clock)
    assert budget.take(SERVICE)
    live.update(replace(CFG, bounds=replace(BOUNDS, repeat_slack=0)))
    assert not budget.take(SERVICE)


def test_reload_keeps_what_needs_a_restart() -> None:
    """Guards against an address that changes while its socket is open."""
    live = LiveSettings(CFG)
    live.update(replace(CFG, listen='10.0.0.1:80', node='other'))
    assert live.cfg.listen == CFG.listen
    assert live.cfg.node == CFG.node


def test_broken_connection_takes_an_endpoint_out_for_a_while() -> None:
    """Guards against an endpoint that is asked again and again while it is
    down, and against one that never comes back.
    """
    clock = ManualClock()
    health = EndpointHealth(isolated_suspicions(), clock)
    health.record_failure('i-1', 'reset', connection_failed=True)
    assert health.is_excluded('i-1')
    clock.now += INITIAL_EXCLUSION_S * 1.1
    assert not health.is_excluded('i-1')
    health.record_failure('i-1', 'reset', connection_failed=True)
    clock.now += INITIAL_EXCLUSION_S * 1.1
    assert health.is_excluded('i-1')
    health.record_success('i-1')
    assert not health.is_excluded('i-1')


def test_single_failed_answer_takes_no_endpoint_out() -> None:
    """Guards against good endpoints that are left alone because of requests
    that fail everywhere.
    """
    health = EndpointHealth(isolated_suspicions(), ManualClock())
    for _ in range(SOFT_FAILURE_LIMIT - 1):
        health.record_failure('i-1', 'status 500', connection_failed=False)
        assert not health.is_excluded('i-1')
    health.record_failure('i-1', 'status 500', connection_failed=False)
    assert health.is_excluded('i-1')


def test_no_module_outside_the_adapter_knows_the_platform() -> None:
    """Guards against wire names and adapter types that leak into the
    product.
    """
    root = Path(__file__).parent.parent / 'src' / 'masticwind'
    names = (
        'masticwind.platform',
        'x-attempt-id',
        'x-deadline-ms',
        'x-token-counts',
        'x-server-seal',
        'x-not-executed',
        'x-helpers',
        'x-expect-instance',
        '/-/kv',
        '/-/order',
        'op/config',
        'servers/',
        'api_keys',
        'MASTICWIND_BOOT',
    )
    found: list[str] = []
    for path in root.rglob('*.py'):
        if path.is_relative_to(root / 'platform'):
            continue
        text = path.read_text().lower()
        found.extend(
            f'{path.name}: {name}' for name in names if name.lower() in text
        )
    assert not found


def test_adapter_stays_a_small_part_of_the_product() -> None:
    """Guards against decisions that move into the adapter: it stays below a
    tenth of the product.
    """
    root = Path(__file__).parent.parent / 'src' / 'masticwind'
    sizes = {
        path: len(path.read_text().splitlines()) for path in root.rglob('*.py')
    }
    adapter = sum(
        size
        for path, size in sizes.items()
        if path.is_relative_to(root / 'platform')
    )
    assert adapter * 10 <= sum(sizes.values())
