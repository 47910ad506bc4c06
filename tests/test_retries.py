"""The retry budget, and the answer after several failed attempts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.entry.retries import (
    MAX_SAVED_RETRIES,
    MIN_RETRIES_PER_S,
    AttemptFailures,
    RetryBudget,
    may_try_another_agent,
)
from masticwind.errors import ErrorKind, Failure, guarantees_not_run
from tests.routing_fakes import FakeClock, entry_settings

_DEFAULT = Failure(kind=ErrorKind.NO_CAPACITY, reason='none')


@settings(derandomize=True, deadline=None)
@given(
    share=st.floats(0, 1),
    steps=st.lists(
        st.one_of(
            st.just('first'),
            st.just('retry'),
            st.floats(0, 5, allow_nan=False),
        ),
        max_size=400,
    ),
)
def test_retries_stay_within_the_budget(
    share: float,
    steps: list[str | float],
) -> None:
    """Guards against more retries than the budget, which worsen overload."""
    clock = FakeClock()
    budget = RetryBudget(entry_settings(retry_share=share), clock)
    first_attempts = 0
    granted = 0
    for step in steps:
        if isinstance(step, float):
            clock.now += step
        elif step == 'first':
            first_attempts += 1
            budget.record_first_attempt()
        else:
            granted += budget.acquire_retry()
        elapsed_s = clock.now - 1000
        allowed = (
            MAX_SAVED_RETRIES
            + share * first_attempts
            + MIN_RETRIES_PER_S * elapsed_s
        )
        assert granted <= allowed + 1e-6


def test_entry_without_requests_may_retry_at_the_minimum_rate() -> None:
    """Guards against a budget that is never refilled without requests."""
    clock = FakeClock()
    budget = RetryBudget(entry_settings(retry_share=0), clock)
    assert [budget.acquire_retry() for _ in range(int(MAX_SAVED_RETRIES) + 1)][
        -1
    ] is False
    clock.now += 1 / MIN_RETRIES_PER_S
    assert budget.acquire_retry()
    assert not budget.acquire_retry()


def test_only_failures_without_effects_are_retried_elsewhere() -> None:
    """Guards against repeating a request that is invalid or had output."""
    retryable = {
        kind
        for kind in ErrorKind
        if may_try_another_agent(
            Failure(kind=kind, reason=''), received_tokens=0
        )
    }
    assert retryable == {
        ErrorKind.OVERLOADED,
        ErrorKind.NO_CAPACITY,
        ErrorKind.ZONE_OUT,
        ErrorKind.DRAINING,
        ErrorKind.REVOKED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.FAILED_AFTER_START,
    }
    assert not any(
        may_try_another_agent(Failure(kind=kind, reason=''), received_tokens=1)
        for kind in ErrorKind
    )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(list(ErrorKind)), st.integers(0, 5000)),
        max_size=6,
    )
)
def test_combined_failure_is_truthful_and_has_the_shortest_delay(
    failures: list[tuple[ErrorKind, int]],
) -> None:
    """Guards against a not-run answer after an attempt that may have run."""
    attempt_failures = AttemptFailures()
    for kind, retry_ms in failures:
        attempt_failures.add(
            Failure(kind=kind, reason='', retry_after_ms=retry_ms)
        )
    answer = attempt_failures.combined(_DEFAULT)
    if not all(guarantees_not_run(failed) for failed, _delay_ms in failures):
        assert not guarantees_not_run(answer.kind)
    delays_ms = [delay_ms for _kind, delay_ms in failures if delay_ms]
    assert answer.retry_after_ms == min(delays_ms, default=0)


def test_default_failure_without_attempts() -> None:
    """Guards against a failure without a kind where nothing was tried."""
    assert AttemptFailures().combined(_DEFAULT) == _DEFAULT
