"""Heartbeats carry a load report when it changed, shows work or is due."""

from masticwind.protocol.heartbeats import (
    LOAD_REPEAT_HEARTBEATS,
    HeartbeatTracker,
)
from masticwind.protocol.messages import Load
from masticwind.settings import PeerSettings

FRESH_MS = 2000


def test_unchanged_idle_load_is_repeated_in_time() -> None:
    """Guards against a view that the planner calls stale although the agent
    is well, and against a report in every heartbeat.
    """
    heartbeats = HeartbeatTracker()
    load = Load(state='serving', slots=4)
    sent = [
        heartbeats.next_heartbeat(1, load).load
        for _ in range(3 * LOAD_REPEAT_HEARTBEATS)
    ]
    due = [one for one, report in enumerate(sent) if report is not None]
    assert due == [0, LOAD_REPEAT_HEARTBEATS, 2 * LOAD_REPEAT_HEARTBEATS]
    interval_ms = PeerSettings(secrets=('one',)).heartbeat_ms
    assert LOAD_REPEAT_HEARTBEATS * interval_ms < FRESH_MS


def test_busy_endpoint_always_reports() -> None:
    """Guards against an entry that counts a request twice, because the
    report that contains it seems older than the request.
    """
    heartbeats = HeartbeatTracker()
    for load in (Load(state='serving', running=1), Load('serving', queued=1)):
        sent = [
            heartbeats.next_heartbeat(1, load).load
            for _ in range(LOAD_REPEAT_HEARTBEATS)
        ]
        assert all(one == load for one in sent)


def test_changed_load_is_sent_at_once() -> None:
    """Guards against an entry that learns of a drain or a full endpoint up
    to three heartbeats late.
    """
    heartbeats = HeartbeatTracker()
    serving, draining = Load(state='serving'), Load(state='draining')
    assert heartbeats.next_heartbeat(1, serving).load == serving
    assert heartbeats.next_heartbeat(1, draining).load == draining
    assert heartbeats.next_heartbeat(1, draining).load is None
    assert heartbeats.next_heartbeat(1, serving).load == serving


def test_new_connection_starts_with_the_load() -> None:
    """Guards against a replaced connection without any load report."""
    load = Load(state='serving')
    assert HeartbeatTracker().next_heartbeat(1, load).load == load
    assert HeartbeatTracker().next_heartbeat(1, load).load == load
