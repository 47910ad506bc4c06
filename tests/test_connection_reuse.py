"""Pauses in the reuse of connections to a server."""

from masticwind.connection_reuse import (
    MAX_PAUSE_S,
    MIN_PAUSE_S,
    ConnectionReuse,
)
from tests.manual_clock import ManualClock


def _paused_s(reuse: ConnectionReuse, clock: ManualClock) -> int:
    """Return the length of the pause in whole seconds."""
    seconds = 0
    while reuse.is_paused():
        clock.now += 1
        seconds += 1
    return seconds


def test_pauses_grow_if_the_server_goes_on() -> None:
    """Guards against a server whose responses to earlier requests cost a
    request every few seconds.
    """
    clock = ManualClock()
    reuse = ConnectionReuse('server', clock)
    assert not reuse.is_paused()
    lengths: list[int] = []
    for _ in range(6):
        reuse.pause()
        lengths.append(_paused_s(reuse, clock))
    assert lengths == [5, 10, 20, 40, MAX_PAUSE_S, MAX_PAUSE_S]


def test_pause_of_a_server_that_was_sound_is_short() -> None:
    """Guards against new connections for a minute after a single fault."""
    clock = ManualClock()
    reuse = ConnectionReuse('server', clock)
    for _ in range(4):
        reuse.pause()
        _paused_s(reuse, clock)
    clock.now += 2 * MAX_PAUSE_S
    reuse.pause()
    assert _paused_s(reuse, clock) == MIN_PAUSE_S


def test_pause_is_not_prolonged_by_requests_under_way() -> None:
    """Guards against longer pauses for the responses on connections that were
    in use when the pause began.
    """
    clock = ManualClock()
    reuse = ConnectionReuse('server', clock)
    reuse.pause()
    clock.now += 1
    reuse.pause()
    assert _paused_s(reuse, clock) == MIN_PAUSE_S - 1
