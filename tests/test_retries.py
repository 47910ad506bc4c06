"""The retry budget and the truth of the answer after several attempts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.entry.retries import (
    MAX_SAVED_RETRIES,
    MIN_RETRIES_PER_S,
    AttemptFailures,
    RetryBudget,
    may_try_another_agent,
)
from masticwind.errors import ErrorKind, Failure, not_run
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
    """Guards against retries that multiply an overload."""
    clock = FakeClock()
    budget = RetryBudget(entry_settings(retry_share=share), clock)
    firsts = 0
    granted = 0
    for step in steps:
        if isinstance(step, float):
            clock.now += step
        elif step == 'first':
            firsts += 1
            budget.record_first_attempt()
        else:
            granted += budget.acquire_retry()
        elapsed_s = clock.now - 1000
        allowed = (
            MAX_SAVED_RETRIES + share * firsts + MIN_RETRIES_PER_S * elapsed_s
        )
        assert granted <= allowed + 1e-6


def test_floor_lets_an_idle_entry_retry() -> None:
    """Guards against an entry that can never retry again."""
    clock = FakeClock()
    budget = RetryBudget(entry_settings(retry_share=0), clock)
    assert [budget.acquire_retry() for _ in range(int(MAX_SAVED_RETRIES) + 1)][
        -1
    ] is False
    clock.now += 1 / MIN_RETRIES_PER_S
    assert budget.acquire_retry()
    assert not budget.acquire_retry()


def test_only_safe_failures_move() -> None:
    """Guards against repeating work that produced output or is invalid."""
    moved = {
        kind
        for kind in ErrorKind
        if may_try_another_agent(Failure(kind=kind, reason=''), received=0)
    }
    assert moved == {
        ErrorKind.OVERLOADED,
        ErrorKind.NO_CAPACITY,
        ErrorKind.ZONE_OUT,
        ErrorKind.DRAINING,
        ErrorKind.REVOKED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.FAILED_AFTER_START,
    }
    assert not any(
        may_try_another_agent(Failure(kind=kind, reason=''), received=1)
        for kind in ErrorKind
    )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(list(ErrorKind)), st.integers(0, 5000)),
        max_size=6,
    )
)
def test_answer_is_true_and_has_the_smallest_hint(
    failures: list[tuple[ErrorKind, int]],
) -> None:
    """Guards against "not run" after an attempt that may have run."""
    refusals = AttemptFailures()
    for kind, retry_ms in failures:
        refusals.add(Failure(kind=kind, reason='', retry_after_ms=retry_ms))
    answer = refusals.combined(_DEFAULT)
    if not all(not_run(failed) for failed, _hint in failures):
        assert not not_run(answer.kind)
    hints = [hint for _kind, hint in failures if hint]
    assert answer.retry_after_ms == min(hints, default=0)


def test_no_attempt_gives_the_default() -> None:
    """Guards against an answer without a reason."""
    assert AttemptFailures().combined(_DEFAULT) == _DEFAULT
