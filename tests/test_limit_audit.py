"""The check of limits from the engines' side, which tests and soaks use."""

from masticwind_dev.standins.limit_audit import CONTACT_S, LimitAudit
from tests.manual_clock import ManualClock


def _audit() -> tuple[LimitAudit, ManualClock]:
    clock = ManualClock()
    audit = LimitAudit(clock=clock)
    audit.record_limit('e-1', 1)
    audit.record_answer('e-1', 'entry-1')
    clock.now += CONTACT_S
    return audit, clock


def _send(audit: LimitAudit, clock: ManualClock, count: int) -> None:
    for _ in range(count):
        clock.now += 0.1
        audit.record_request('e-1', 'entry-1')


def test_requests_over_the_limit_are_detected() -> None:
    """Guards against a check that accepts any number of requests."""
    audit, clock = _audit()
    _send(audit, clock, 11)
    assert not audit.violations
    _send(audit, clock, 1)
    assert len(audit.violations) == 1


def test_requests_of_entries_that_were_not_told_do_not_count() -> None:
    """Guards against a check that is stricter than the users' rule."""
    audit, clock = _audit()
    audit.excuse('entry-1')
    _send(audit, clock, 30)
    assert not audit.violations


def test_requests_after_the_end_of_a_limit_do_not_count() -> None:
    """Guards against a check of an engine that has no limit any more."""
    audit, clock = _audit()
    audit.record_end('e-1')
    _send(audit, clock, 30)
    assert not audit.violations
