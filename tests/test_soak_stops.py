"""A short seeded soak of planned stops, and tests of its checks."""

import math
import random
from dataclasses import replace

import pytest

from masticwind_dev.soak.stop_engines import EngineBehaviour, Work, decode_work
from masticwind_dev.soak.stop_entries import draw_plan
from masticwind_dev.soak.stop_records import (
    Ending,
    Execution,
    Instance,
    SentRequest,
    StopRecords,
    Violation,
    check_request,
)
from masticwind_dev.soak.stops import draw_options, format_result, run_stops

pytestmark = pytest.mark.anyio

SECONDS = 12.0
STOPPED_AT = 100.0
GRACE_S = 6.0
LAST_SHARE_AT = STOPPED_AT + 5


# Add the seed of any run that fails.
@pytest.mark.alone
@pytest.mark.parametrize('seed', [1, 2])
async def test_no_request_is_lost_by_planned_stops(seed: int) -> None:
    """Guards against requests that end without an answer around SIGTERM."""
    result = await run_stops(draw_options(seed), SECONDS)
    assert not result.findings, format_result(seed, result)
    assert result.records.instances
    assert result.records.executions


@pytest.mark.alone
@pytest.mark.parametrize('seed', [6])
async def test_engines_that_leave_or_pause_get_no_requests(seed: int) -> None:
    """Guards against requests to engines that have asked to get none."""
    options = replace(draw_options(seed), engines_leave=True)
    result = await run_stops(options, SECONDS)
    assert not result.findings, format_result(seed, result)
    assert result.records.executions


def _sent_request(
    ending: Ending = Ending.CLOSED,
    sent_s: float = 1.0,
    ended_s: float = 2.0,
    status: int = 0,
    kind: str = 'read',
) -> SentRequest:
    """Return a request with its times in seconds after SIGTERM."""
    instance = Instance('entry-0', 1, GRACE_S, stopped_at=STOPPED_AT)
    return SentRequest(
        'r1',
        kind,
        instance,
        begun_at=STOPPED_AT + sent_s,
        sent_at=STOPPED_AT + sent_s,
        deadline_at=STOPPED_AT + sent_s + 10,
        ended_at=STOPPED_AT + ended_s,
        ending=ending,
        status=status,
    )


def _execution(begun_s: float = 1.0, ended_s: float = math.inf) -> Execution:
    return Execution('e-0', STOPPED_AT + begun_s, STOPPED_AT + ended_s)


@pytest.mark.parametrize('ending', [Ending.CLOSED, Ending.RESET])
@pytest.mark.parametrize(
    ('sent_s', 'ended_s', 'execution_ended_s'),
    [
        (-1.0, 2.0, math.inf),
        (1.0, 4.9, math.inf),
        (3.1, 5.9, math.inf),
        (2.9, 5.9, 4.9),
    ],
)
def test_cut_requests_are_detected(
    ending: Ending, sent_s: float, ended_s: float, execution_ended_s: float
) -> None:
    """Guards against a soak that accepts a request that a stop has cut."""
    req = _sent_request(ending, sent_s, ended_s)
    executions = [_execution(sent_s, execution_ended_s)]
    assert check_request(req, executions) == [Violation.LOST]


@pytest.mark.parametrize('ending', [Ending.CLOSED, Ending.RESET])
def test_request_cut_at_the_end_of_the_grace_period_is_accepted(
    ending: Ending,
) -> None:
    """Guards against a soak that asks for more than a grace period allows."""
    req = _sent_request(ending, 2.9, 5.1)
    assert not check_request(req, [_execution(2.9)])


def test_request_of_a_running_process_is_never_cut() -> None:
    """Guards against an exception for processes that were not stopped."""
    req = _sent_request(Ending.CLOSED, 2.9, 5.1)
    req.instance.stopped_at = math.inf
    assert check_request(req, [_execution()]) == [Violation.LOST]


def test_only_an_earlier_break_of_the_endpoint_excuses() -> None:
    """Guards against breaks of endpoints that excuse earlier cuts."""
    req = _sent_request(Ending.CLOSED, 0.0, 2.0)
    broken_off = replace(_execution(0.0, 2.1), broken_off=True)
    assert not check_request(req, [broken_off])
    later = replace(_execution(0.0, 3.0), broken_off=True)
    assert check_request(req, [later]) == [Violation.LOST]


def test_cut_after_the_deadline_is_accepted() -> None:
    """Guards against a soak that asks for answers after the deadline."""
    req = _sent_request(Ending.CLOSED, -9.0, 1.1)
    assert not check_request(req, [_execution(-9.0)])


def test_unanswered_requests_are_detected() -> None:
    """Guards against a soak that accepts requests without any answer."""
    req = _sent_request(Ending.CLOSED, 1.0, 1.3)
    assert check_request(req, []) == [Violation.UNANSWERED]


@pytest.mark.parametrize(
    'req',
    [
        _sent_request(Ending.CLOSED, 1.0, 1.1),
        _sent_request(Ending.RESET, 1.0, 2.0),
        _sent_request(Ending.CLOSED, math.inf, 2.0),
        replace(_sent_request(Ending.CLOSED, 1.0, 2.0), follows_close=True),
    ],
)
def test_request_that_was_not_read_is_accepted(req: SentRequest) -> None:
    """Guards against a soak that asks for answers to unread requests."""
    assert not check_request(req, [])


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_refused_request_that_ran_is_detected(status: int) -> None:
    """Guards against refusals of requests that an endpoint has run."""
    req = _sent_request(Ending.ANSWERED, status=status)
    assert check_request(req, [_execution()]) == [Violation.RAN_BUT_REFUSED]
    assert not check_request(req, [])


def test_wrong_answers_are_detected() -> None:
    """Guards against a soak that accepts incomplete or untrue answers."""
    wrong = replace(
        _sent_request(Ending.ANSWERED, status=200), is_body_right=False
    )
    assert check_request(wrong, [_execution()]) == [Violation.WRONG_ANSWER]
    bare = replace(
        _sent_request(Ending.ANSWERED, status=500), is_bare_error=True
    )
    assert check_request(bare, []) == [Violation.BARE_ERROR]
    order = _sent_request(Ending.ANSWERED, status=200, kind='order')
    twice = [_execution(), _execution()]
    assert check_request(order, twice) == [Violation.RAN_TWICE]
    rejected = _sent_request(Ending.ANSWERED, status=400)
    assert check_request(rejected, []) == [Violation.WRONG_ANSWER]
    malformed = _sent_request(Ending.MALFORMED)
    assert check_request(malformed, []) == [Violation.WRONG_ANSWER]


@pytest.mark.parametrize(
    ('instance', 'kinds'),
    [
        (Instance('e', 1, GRACE_S, exit_code=0), []),
        (Instance('e', 1, GRACE_S, exit_code=3), [Violation.EXIT_CODE]),
        (Instance('e', 1, GRACE_S, exit_code=-1), [Violation.EXIT_CODE]),
        (
            Instance('e', 1, GRACE_S, exit_code=-15, was_listening=False),
            [],
        ),
        (
            Instance('e', 1, GRACE_S, exit_code=-9, killed=True),
            [Violation.LATE_EXIT],
        ),
    ],
)
def test_wrong_exits_are_detected(
    instance: Instance, kinds: list[Violation]
) -> None:
    """Guards against a soak that accepts a late or a failed exit."""
    records = StopRecords(instances=[instance])
    assert [finding.kind for finding in records.find_violations()] == kinds


def test_plans_contain_every_series_of_signals() -> None:
    """Guards against a soak that leaves out a series of signals."""
    rng = random.Random(1)
    names = {draw_plan(rng, 8.0).name for _ in range(2000)}
    for series in ('term', 'term-term', 'term-int', 'hup', 'shorter'):
        assert series in names
        assert f'early+{series}' in names
        assert f'unconfigured+{series}' in names
    assert 'suspended+hup' in names


def test_steps_come_before_the_end_of_the_grace_period() -> None:
    """Guards against signals that no process can still receive."""
    rng = random.Random(1)
    grace_s = 4
    for _ in range(2000):
        plan = draw_plan(rng, grace_s)
        delays = [step.delay_s for step in plan.steps]
        assert delays == sorted(delays)
        assert all(0 <= delay_s < grace_s for delay_s in delays)


def test_seeds_cover_slow_endpoints_and_both_grace_periods() -> None:
    """Guards against a soak with one kind of load or grace period."""
    options = [draw_options(seed) for seed in range(30)]
    assert {option.graces_s for option in options} == {
        (8.0,),
        (4.0, 5.0, 6.0),
    }
    assert {option.load.callers for option in options} == {1, 2, 4, 8, 16}
    assert any(
        behaviour.slowness > 1
        for option in options
        for behaviour in option.behaviours
    )
    assert {
        behaviour.silence_s
        for option in options
        for behaviour in option.behaviours
    } >= {0, 1.6}
    assert EngineBehaviour() == EngineBehaviour(1, 0)


def test_work_is_encoded_in_the_path() -> None:
    """Guards against callers that expect another answer than was asked for."""
    work = Work('chat', 150)
    assert decode_work(work.path) == work
    assert work.expected_body('r').count(b'data: r') == work.event_count
    assert len(Work('read', 50, 700).expected_body('r')) == 700
