"""When heartbeats carry a load report."""

from masticwind.protocol.heartbeats import (
    LOAD_REPEAT_HEARTBEATS,
    HeartbeatTracker,
)
from masticwind.protocol.messages import Load
from masticwind.settings import PeerSettings

MAX_FRESH_AGE_MS = 2000


def test_unchanged_idle_load_is_repeated_before_it_is_stale() -> None:
    """Guards against reports that the planner takes for stale although the
    agent is healthy, and against a report in every heartbeat.
    """
    tracker = HeartbeatTracker()
    load = Load(state='serving', slots=4)
    reports = [
        tracker.next_heartbeat(1, load).load
        for _ in range(3 * LOAD_REPEAT_HEARTBEATS)
    ]
    due_indexes = [
        index for index, report in enumerate(reports) if report is not None
    ]
    assert due_indexes == [
        0,
        LOAD_REPEAT_HEARTBEATS,
        2 * LOAD_REPEAT_HEARTBEATS,
    ]
    interval_ms = PeerSettings(secrets=('one',)).heartbeat_ms
    assert LOAD_REPEAT_HEARTBEATS * interval_ms < MAX_FRESH_AGE_MS


def test_load_with_requests_is_in_every_heartbeat() -> None:
    """Guards against an entry that counts a request twice, because the
    report that includes it seems older than the request.
    """
    tracker = HeartbeatTracker()
    for load in (Load(state='serving', running=1), Load('serving', queued=1)):
        reports = [
            tracker.next_heartbeat(1, load).load
            for _ in range(LOAD_REPEAT_HEARTBEATS)
        ]
        assert all(report == load for report in reports)


def test_changed_load_is_in_the_next_heartbeat() -> None:
    """Guards against an entry that learns that an endpoint drains or is full
    up to three heartbeats late.
    """
    tracker = HeartbeatTracker()
    serving, draining = Load(state='serving'), Load(state='draining')
    assert tracker.next_heartbeat(1, serving).load == serving
    assert tracker.next_heartbeat(1, draining).load == draining
    assert tracker.next_heartbeat(1, draining).load is None
    assert tracker.next_heartbeat(1, serving).load == serving


def test_first_heartbeat_carries_the_load() -> None:
    """Guards against a replacement connection without any load report."""
    load = Load(state='serving')
    assert HeartbeatTracker().next_heartbeat(1, load).load == load
    assert HeartbeatTracker().next_heartbeat(1, load).load == load
