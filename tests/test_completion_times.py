"""Bounds on the time that an attempt takes, from what others took."""

import math
import time

from masticwind.serving.costs.completion_times import (
    HISTORY,
    MIN_HISTORY,
    CompletionTimes,
    TimedAttempt,
)

PREDICTED_MS = 1000.0


def _record(times: CompletionTimes, service: str, factor: float) -> None:
    elapsed_s = PREDICTED_MS * factor / 1000
    times.record(
        TimedAttempt(service, PREDICTED_MS, time.monotonic() - elapsed_s)
    )


def test_slow_service_is_expected_to_stay_slow() -> None:
    """Guards against requests that a stopping entry sends to engines which
    have been slower than their profile.
    """
    times = CompletionTimes()
    for _ in range(MIN_HISTORY):
        _record(times, 'slow', 5)
        _record(times, 'sound', 1)
    assert times.usual_s('slow', PREDICTED_MS) >= 5
    assert times.cautious_s('slow', PREDICTED_MS) >= 5
    assert times.usual_s('sound', PREDICTED_MS) < 2
    assert times.cautious_s('sound', PREDICTED_MS) < 5


def test_attempt_in_progress_counts_for_the_cautious_bound() -> None:
    """Guards against a bound that follows a sudden slowdown only after the
    first slow attempt has ended.
    """
    times = CompletionTimes()
    for _ in range(HISTORY):
        _record(times, 'engines', 1)
    with times.measure('engines', 1):
        time.sleep(0.3)
        assert times.cautious_s('engines', PREDICTED_MS) > 10


def test_short_attempts_say_little_about_long_ones() -> None:
    """Guards against long streams that a stopping entry refuses since short
    ones take a multiple of their predictions.
    """
    times = CompletionTimes()
    for _ in range(HISTORY):
        times.record(TimedAttempt('engines', 48, time.monotonic() - 0.11))
    assert times.usual_s('engines', 3760) < 7


def test_slow_attempt_counts_although_it_was_ended() -> None:
    """Guards against a slow engine that is not known as one, since the stop
    has ended its requests.
    """
    times = CompletionTimes()
    for _ in range(MIN_HISTORY):
        _record(times, 'engines', 1)
    with times.measure('engines', 10):
        time.sleep(0.35)
    assert times.cautious_s('engines', PREDICTED_MS) > 8


def test_one_slow_attempt_is_forgotten() -> None:
    """Guards against a service that counts as slow for good."""
    times = CompletionTimes()
    _record(times, 'engines', 50)
    for _ in range(HISTORY):
        _record(times, 'engines', 1)
    assert times.cautious_s('engines', PREDICTED_MS) < 5


def test_bounds_without_history_are_longer_than_the_prediction() -> None:
    """Guards against trust in the profile of engines that were never used."""
    times = CompletionTimes()
    assert times.usual_s('new', PREDICTED_MS) > 1
    assert math.isinf(times.cautious_s('new', PREDICTED_MS))
