"""Fleet-wide limits, known entries, endpoint health and the adapter's size."""

from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.serving.admission.bounds import (
    USED_BOUND_SHARE,
    ColdEndpointLimiter,
    RetryBudget,
)
from masticwind.serving.datagrams import PeerAddress
from masticwind.serving.model import Endpoint
from masticwind.serving.peers import (
    MAX_UNREGISTERED,
    SILENCE_TIMEOUT_S,
    UNREGISTERED_TTL_S,
)
from masticwind.serving.placement.health import (
    INITIAL_EXCLUSION_S,
    MAX_EXCLUSION_S,
    SOFT_FAILURE_LIMIT,
    EndpointHealth,
)
from masticwind.serving.settings import (
    FleetBounds,
    LiveSettings,
)
from masticwind.serving.store import Item
from tests.entry_harness import (
    isolated_suspicions,
    peers_of_each_entry,
    sample_settings,
)
from tests.manual_clock import ManualClock

BOUNDS: Final = FleetBounds(repeat_slack=100, repeat_ratio=0.2)
CFG: Final = sample_settings(bounds=BOUNDS)
SERVICE: Final = 'calls'
# Limits of a large deployment. All entries together may send a cold endpoint
# 1.5 * 15 + 5 = 27.5 requests per second.
LARGE_CFG: Final = sample_settings(
    bounds=FleetBounds(cold_factor=1.5, cold_slack=5),
)
LARGE_COLD_PER_S: Final = 15
LARGE_COLD_BOUND: Final = 27.5
MANY_FAILURES: Final = 1100


@settings(deadline=None)
@given(
    entries=st.integers(min_value=1, max_value=30),
    steps=st.lists(
        st.tuples(st.floats(0, 3), st.integers(0, 40), st.integers(0, 60)),
        max_size=30,
    ),
)
def test_retries_of_all_entries_stay_within_the_limit(
    entries: int,
    steps: list[tuple[float, int, int]],
) -> None:
    """Guards against entries that each stay within the limit but exceed it
    together. All entries behave alike here, which is the worst case.
    """
    clock = ManualClock()
    budget = RetryBudget(LiveSettings(CFG), lambda: entries, clock)
    request_times: list[float] = []
    retry_times: list[float] = []
    for wait_s, new_requests, retry_attempts in steps:
        clock.now += wait_s
        for _ in range(new_requests):
            budget.record_request(SERVICE)
            request_times.append(clock.now)
        acquired = sum(
            budget.try_acquire(SERVICE) for _ in range(retry_attempts)
        )
        retry_times.extend(clock.now for _ in range(acquired))
        window_start = clock.now - BOUNDS.repeat_window_s
        requests_in_window = (
            sum(at >= window_start for at in request_times) * entries
        )
        retries_in_window = (
            sum(at >= window_start for at in retry_times) * entries
        )
        allowed = BOUNDS.repeat_ratio * requests_in_window + BOUNDS.repeat_slack
        assert retries_in_window <= allowed


@settings(deadline=None)
@given(
    entries=st.integers(min_value=1, max_value=30),
    waits=st.lists(st.floats(0, 0.5), max_size=200),
)
def test_request_rate_of_a_cold_endpoint_is_limited(
    entries: int,
    waits: list[float],
) -> None:
    """Guards against requests of all entries that together exceed the rate
    limit of a cold endpoint within a second.
    """
    clock = ManualClock()
    limiter = ColdEndpointLimiter(
        LiveSettings(CFG), peers_of_each_entry(entries)[0], clock
    )
    sent: list[float] = []
    for wait_s in waits:
        clock.now += wait_s
        if limiter.allows('i-1', 38):
            limiter.record_request('i-1')
            sent.append(clock.now)
        recent_requests = sum(at > clock.now - 1 for at in sent) * entries
        assert recent_requests <= 38 * BOUNDS.cold_factor + BOUNDS.cold_slack


@pytest.mark.parametrize('entries', [1, 3, 22, 23, 68, 300])
@pytest.mark.parametrize('endpoints', [1, 5, 112])
def test_cold_endpoint_limit_holds_for_simultaneous_requests(
    entries: int,
    endpoints: int,
) -> None:
    """Guards against a burst on an endpoint that has just registered, which is
    the least loaded one for all entries, and against limits that leave the
    entries of a large fleet without an endpoint.
    """
    clock = ManualClock()
    live_settings = LiveSettings(LARGE_CFG)
    limiters = [
        ColdEndpointLimiter(live_settings, peers, clock)
        for peers in peers_of_each_entry(entries)
    ]
    names = [f'i-{number}' for number in range(endpoints)]
    sent = Counter[str]()
    serving_entries: set[int] = set()
    for _ in range(9):
        for number, limiter in enumerate(limiters):
            for name in names:
                allowed = limiter.allows(name, LARGE_COLD_PER_S)
                if not allowed and number not in serving_entries:
                    allowed = limiter.allows_last_resort(name, LARGE_COLD_PER_S)
                if allowed:
                    limiter.record_request(name)
                    sent[name] += 1
                    serving_entries.add(number)
        clock.now += 0.1
    assert max(sent.values()) <= LARGE_COLD_BOUND
    # An endpoint serves at least as many entries as four fifths of its limit
    # allow; with many endpoints, every entry can use some of them.
    assert len(serving_entries) >= min(
        entries, int(LARGE_COLD_BOUND * USED_BOUND_SHARE)
    )
    if endpoints == 112:
        assert len(serving_entries) == entries


def test_endpoint_without_cold_starts_has_no_limit_as_last_resort() -> None:
    """Guards against a request that waits for a permit, gets it and is then
    refused for a cold start that its service does not have.
    """
    for peers in peers_of_each_entry(68):
        limiter = ColdEndpointLimiter(LiveSettings(CFG), peers, ManualClock())
        limiter.record_request('i-1')
        assert limiter.allows('i-1', 0)
        assert limiter.allows_last_resort('i-1', 0)


def test_entries_with_expired_registrations_still_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against shares of a limit that grow although the entries are
    alive, because all registrations expired during a store outage.
    """
    clock = ManualClock()
    monkeypatch.setattr('masticwind.serving.peers.boot_time', clock)
    peers = peers_of_each_entry(20)[3]
    rank = peers.rank_for('i-1')
    peers.replace_all((Item('entries/entry-3', b'127.0.0.1:7', 99),))
    assert peers.count() == 20
    assert peers.rank_for('i-1') == rank
    assert len(peers.others()) == 19
    clock.now += UNREGISTERED_TTL_S + 0.1
    assert peers.count() == 1
    assert peers.rank_for('i-1') == 0


def test_unregistered_entry_is_known_from_its_datagrams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that receives no load updates until its
    registration has been read, and against unknown senders that count as
    entries forever.
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
    """Guards against every entry reading from the store because the two
    entries that it asks first are dead but still registered.
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
    """Guards against limits that ignore a reload of the settings."""
    live_settings = LiveSettings(CFG)
    clock = ManualClock()
    budget = RetryBudget(live_settings, lambda: 1, clock)
    assert budget.try_acquire(SERVICE)
    live_settings.update(replace(CFG, bounds=replace(BOUNDS, repeat_slack=0)))
    assert not budget.try_acquire(SERVICE)


def test_reload_ignores_settings_that_need_a_restart() -> None:
    """Guards against an address that changes while its socket is open."""
    live_settings = LiveSettings(CFG)
    live_settings.update(replace(CFG, listen='10.0.0.1:80', node='other'))
    assert live_settings.cfg.listen == CFG.listen
    assert live_settings.cfg.node == CFG.node


def test_broken_connection_excludes_an_endpoint_temporarily() -> None:
    """Guards against repeated requests to an endpoint that is down, and
    against an endpoint that stays excluded after its recovery.
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


def test_single_failed_answer_does_not_exclude_an_endpoint() -> None:
    """Guards against healthy endpoints that are excluded because of requests
    that fail on any endpoint.
    """
    health = EndpointHealth(isolated_suspicions(), ManualClock())
    for _ in range(SOFT_FAILURE_LIMIT - 1):
        health.record_failure('i-1', 'status 500', connection_failed=False)
        assert not health.is_excluded('i-1')
    health.record_failure('i-1', 'status 500', connection_failed=False)
    assert health.is_excluded('i-1')


@pytest.mark.parametrize('connection_failed', [True, False])
def test_endless_failures_do_not_overflow_the_exclusion_time(
    *, connection_failed: bool
) -> None:
    """Guards against status 500 for each request to an endpoint that has
    failed a thousand times in a row.
    """
    clock = ManualClock()
    health = EndpointHealth(isolated_suspicions(), clock)
    for _ in range(MANY_FAILURES):
        health.record_failure(
            'i-1', 'reset', connection_failed=connection_failed
        )
        clock.now += MAX_EXCLUSION_S
    assert not health.is_excluded('i-1')
    health.record_failure('i-1', 'reset', connection_failed=connection_failed)
    assert health.is_excluded('i-1')


def test_failure_share_of_an_unused_endpoint_decreases() -> None:
    """Guards against a sound endpoint that is avoided after a single failure,
    as only requests that it serves make up for it.
    """
    clock = ManualClock()
    health = EndpointHealth(isolated_suspicions(), clock)
    endpoint = Endpoint(
        identity='i-1', service='s', host='h', port=1, zone='z', slots=8
    )
    health.record_failure('i-1', 'foreign', connection_failed=False)
    first = health.failure_shares((endpoint,))['i-1']
    clock.now += 1
    assert health.failure_shares((endpoint,))['i-1'] <= first / 2
    clock.now += 3
    assert not health.failure_shares((endpoint,))
    for _ in range(4):
        health.record_failure('i-1', 'reset', connection_failed=True)
    first = health.failure_shares((endpoint,))['i-1']
    clock.now += 1
    assert health.failure_shares((endpoint,))['i-1'] > first / 2


def test_platform_names_stay_in_the_adapter() -> None:
    """Guards against wire names and adapter types in other modules."""
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
    """Guards against decisions that move into the adapter: its size stays
    below a tenth of the whole code.
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
