"""The retry budget and the truth of the answer after several attempts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.entry.retries import (
    FLOOR_PER_S,
    MAX_TOKENS,
    Refusals,
    RetryBudget,
    may_move,
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
            budget.first_attempt()
        else:
            granted += budget.take()
        elapsed_s = clock.now - 1000
        allowed = MAX_TOKENS + share * firsts + FLOOR_PER_S * elapsed_s
        assert granted <= allowed + 1e-6


def test_floor_lets_an_idle_entry_retry() -> None:
    """Guards against an entry that can never retry again."""
    clock = FakeClock()
    budget = RetryBudget(entry_settings(retry_share=0), clock)
    assert [budget.take() for _ in range(int(MAX_TOKENS) + 1)][-1] is False
    clock.now += 1 / FLOOR_PER_S
    assert budget.take()
    assert not budget.take()


def test_only_safe_failures_move() -> None:
    """Guards against repeating work that produced output or is invalid."""
    moved = {
        kind
        for kind in ErrorKind
        if may_move(Failure(kind=kind, reason=''), received=0)
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
        may_move(Failure(kind=kind, reason=''), received=1)
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
    refusals = Refusals()
    for kind, retry_ms in failures:
        refusals.add(Failure(kind=kind, reason='', retry_after_ms=retry_ms))
    answer = refusals.answer(_DEFAULT)
    if not all(not_run(failed) for failed, _hint in failures):
        assert not not_run(answer.kind)
    hints = [hint for _kind, hint in failures if hint]
    assert answer.retry_after_ms == min(hints, default=0)


def test_no_attempt_gives_the_default() -> None:
    """Guards against an answer without a reason."""
    assert Refusals().answer(_DEFAULT) == _DEFAULT
