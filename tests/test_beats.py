"""Heartbeats carry a load report when it changed, shows work or is due."""

from masticwind.protocol.beats import LOAD_REPEAT_BEATS, Beats
from masticwind.protocol.messages import Load
from masticwind.settings import PeerSettings

FRESH_MS = 2000


def test_unchanged_idle_load_is_repeated_in_time() -> None:
    """Guards against a view that the planner calls stale although the agent
    is well, and against a report in every heartbeat.
    """
    beats = Beats()
    load = Load(state='serving', slots=4)
    sent = [beats.next(1, load).load for _ in range(3 * LOAD_REPEAT_BEATS)]
    due = [one for one, report in enumerate(sent) if report is not None]
    assert due == [0, LOAD_REPEAT_BEATS, 2 * LOAD_REPEAT_BEATS]
    interval_ms = PeerSettings(secrets=('one',)).heartbeat_ms
    assert LOAD_REPEAT_BEATS * interval_ms < FRESH_MS


def test_busy_endpoint_always_reports() -> None:
    """Guards against an entry that counts a request twice, because the
    report that contains it seems older than the request.
    """
    beats = Beats()
    for load in (Load(state='serving', running=1), Load('serving', queued=1)):
        sent = [beats.next(1, load).load for _ in range(LOAD_REPEAT_BEATS)]
        assert all(one == load for one in sent)


def test_changed_load_is_sent_at_once() -> None:
    """Guards against an entry that learns of a drain or a full endpoint up
    to three heartbeats late.
    """
    beats = Beats()
    serving, draining = Load(state='serving'), Load(state='draining')
    assert beats.next(1, serving).load == serving
    assert beats.next(1, draining).load == draining
    assert beats.next(1, draining).load is None
    assert beats.next(1, serving).load == serving


def test_new_connection_starts_with_the_load() -> None:
    """Guards against a replaced connection without any load report."""
    load = Load(state='serving')
    assert Beats().next(1, load).load == load
    assert Beats().next(1, load).load == load
