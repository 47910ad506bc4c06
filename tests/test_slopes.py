"""The slopes command at a tiny size, so that it keeps working."""

from pathlib import Path

import msgspec
import pytest

from masticwind_dev.bench.slopes import PARTS, SHORT_PLAN, run_slopes


@pytest.mark.parametrize(
    'part', ['entry', 'agent', 'config', 'listing', 'orders']
)
def test_parts_measure_something(part: str, tmp_path: Path) -> None:
    """Guards against a part that no longer runs against the real programs."""
    path = run_slopes(SHORT_PLAN, tmp_path, part)
    found = msgspec.json.decode(path.read_bytes())
    assert set(found) == {part}
    if part in {'entry', 'agent'}:
        costs = found[part]['idle']
        assert [one['peers'] for one in costs] == [2, 4]
        assert all(one['bytes_in_per_s'] > 0 for one in costs)
        assert all(one['bytes_out_per_s'] > 0 for one in costs)
        assert found[part]['failed_requests'] == 0


def test_relay_serves_its_callers(tmp_path: Path) -> None:
    """Guards against a cost per token that comes from failed requests."""
    path = run_slopes(SHORT_PLAN, tmp_path, 'relay')
    relay = msgspec.json.decode(path.read_bytes())['relay'][0]
    assert relay['tokens_per_s'] == 50
    assert relay['failed_requests'] == 0
    assert relay['data_core_us_per_token'][0] > 0


def test_spread_reaches_every_process(tmp_path: Path) -> None:
    """Guards against a fleet of the bench that does not pull changes."""
    path = run_slopes(SHORT_PLAN, tmp_path, 'spread')
    spread = msgspec.json.decode(path.read_bytes())['spread'][0]
    assert spread['processes'] == 3
    assert 0 < spread['median_s'] <= spread['max_s']
    assert spread['writes_per_change'] > 0
    assert (tmp_path / 'slopes.png').exists()


def test_every_part_has_a_test() -> None:
    """Guards against a new part that only the full run covers."""
    tested = {'entry', 'agent', 'relay', 'config', 'listing', 'orders'}
    assert set(PARTS) == tested | {'spread'}
