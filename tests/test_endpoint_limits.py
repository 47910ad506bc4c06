"""What one entry believes of the limits that endpoints name."""

import math
from dataclasses import replace
from typing import Final

import msgspec
import pytest

from masticwind.serving.endpoint_limits import (
    EndpointLimits,
    Permit,
    PermitAuthorities,
)
from masticwind.serving.limit_messages import Limit, LimitNotice, PermitRequest
from tests.limit_simulation import ENGINE
from tests.manual_clock import ManualClock

LATER_PROCESS: Final = replace(ENGINE, started_at_ms=5)


class _Alone(PermitAuthorities):
    def grants_permits(self, identity: str) -> bool:
        """Grant the permits of each endpoint."""
        return True

    def changed_at(self) -> float:
        """Return that there never was another entry."""
        return -math.inf


def _limits() -> tuple[EndpointLimits, ManualClock]:
    clock = ManualClock()
    return EndpointLimits('entry-1', 'a', _Alone(), clock), clock


def _observe(
    limits: EndpointLimits, rate: float | None, permit: Permit | None
) -> None:
    said = limits.observe(ENGINE, rate, permit)
    if said is not None:
        limits.apply_report(said)


def _acquire(limits: EndpointLimits, clock: ManualClock) -> Permit:
    req = limits.build_request(ENGINE, 1, 10, 0)
    assert req is not None
    while True:
        reply = limits.decide(req)
        if reply.granted:
            return Permit(limit=reply.limit)
        clock.now += 1


def _rate(limits: EndpointLimits) -> float | None:
    known = limits.find(ENGINE)
    return None if known is None else known.limit.rate_per_s


def test_answer_to_a_request_sent_before_the_limit_does_not_end_it() -> None:
    """Guards against a limit that ends with a late answer."""
    limits, _ = _limits()
    _observe(limits, 1, None)
    _observe(limits, math.inf, None)
    assert _rate(limits) == 1


def test_answer_to_a_request_sent_before_a_change_does_not_end_a_limit() -> (
    None
):
    """Guards against a changed limit that ends with a late answer."""
    limits, clock = _limits()
    _observe(limits, 1, None)
    permit = _acquire(limits, clock)
    _observe(limits, 2, permit)
    _observe(limits, math.inf, permit)
    assert _rate(limits) == 2
    _observe(limits, math.inf, _acquire(limits, clock))
    assert _rate(limits) is None


def test_lower_one_of_two_limits_in_unknown_order_holds() -> None:
    """Guards against a limit that a late answer raises."""
    limits, _ = _limits()
    _observe(limits, 2, None)
    _observe(limits, 3, None)
    assert _rate(limits) == 2
    _observe(limits, 1, None)
    assert _rate(limits) == 1


def test_answer_that_proves_nothing_changes_nothing() -> None:
    """Guards against a stale or unreadable answer that is believed."""
    limits, clock = _limits()
    _observe(limits, None, None)
    assert _rate(limits) is None
    _observe(limits, 1, None)
    _observe(limits, None, _acquire(limits, clock))
    assert _rate(limits) == 1


def test_another_process_of_the_endpoint_is_not_limited() -> None:
    """Guards against a limit of the former process of an endpoint."""
    limits, _ = _limits()
    _observe(limits, 1, None)
    assert limits.find(LATER_PROCESS) is None
    said = limits.observe(LATER_PROCESS, 4, None)
    assert said is not None
    limits.apply_report(said)
    known = limits.find(LATER_PROCESS)
    assert known is not None
    assert known.limit.rate_per_s == 4
    _observe(limits, 1, None)
    assert limits.find(LATER_PROCESS) is not None


def test_entry_that_has_missed_the_end_does_not_bring_the_limit_back() -> None:
    """Guards against limits that return with an old message."""
    limits, clock = _limits()
    _observe(limits, 1, None)
    old = limits.build_request(ENGINE, 1, 10, 0)
    assert old is not None
    _observe(limits, math.inf, _acquire(limits, clock))
    reply = limits.decide(old)
    assert reply.granted
    assert reply.limit.rate_per_s is None
    assert not limits.count()


def test_limits_of_endpoints_that_are_gone_are_dropped() -> None:
    """Guards against memory that grows with every limited endpoint."""
    limits, _ = _limits()
    _observe(limits, 1, None)
    limits.retain({'other'})
    assert not limits.count()
    assert not limits.own_news()


def test_known_limits_are_bounded() -> None:
    """Guards against an entry whose memory other entries fill."""
    limits, _ = _limits()
    for number in range(5000):
        limits.adopt(Limit(f'e-{number}', 0, 1.0, 'entry-2/a', 1))
    assert limits.count() <= 4096


@pytest.mark.parametrize('rate', [math.nan, math.inf, -1.0, 1e9])
def test_message_with_an_impossible_rate_is_rejected(rate: float) -> None:
    """Guards against a message that stops or frees an endpoint."""
    content = msgspec.msgpack.encode(('entry-2', [('e-1', 0, rate, 'x', 1)]))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(content, type=LimitNotice)


def test_request_with_an_impossible_wait_is_rejected() -> None:
    """Guards against a permit that is due far in the future."""
    limit = ('e-1', 0, 1.0, 'x', 1)
    content = msgspec.msgpack.encode(('entry-2', 1, limit, math.inf, 0))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(content, type=PermitRequest)
