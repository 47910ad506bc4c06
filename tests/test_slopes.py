"""Every part of the slopes command runs at a tiny size."""

from pathlib import Path

import msgspec
import pytest

from masticwind_dev.bench.slopes import PARTS, SHORT_PLAN, run_slopes


@pytest.mark.parametrize(
    'part', ['entry', 'agent', 'config', 'listing', 'orders']
)
def test_part_runs_and_reports_costs(part: str, tmp_path: Path) -> None:
    """Guards against a part that fails or reports no traffic.

    It happens when the real programs change and the part does not follow.
    """
    path = run_slopes(SHORT_PLAN, tmp_path, part)
    by_part = msgspec.json.decode(path.read_bytes())
    assert set(by_part) == {part}
    if part in {'entry', 'agent'}:
        costs = by_part[part]['idle']
        assert [cost['peers'] for cost in costs] == [2, 4]
        assert all(cost['bytes_in_per_s'] > 0 for cost in costs)
        assert all(cost['bytes_out_per_s'] > 0 for cost in costs)
        assert by_part[part]['failed_requests'] == 0


def test_relay_cost_has_no_failed_requests(tmp_path: Path) -> None:
    """Guards against a cost per token that is computed from failed requests."""
    path = run_slopes(SHORT_PLAN, tmp_path, 'relay')
    relay = msgspec.json.decode(path.read_bytes())['relay'][0]
    assert relay['tokens_per_s'] == 50
    assert relay['failed_requests'] == 0
    assert relay['data_core_us_per_token'][0] > 0


def test_config_change_reaches_every_process(tmp_path: Path) -> None:
    """Guards against a fleet whose processes do not adopt config changes."""
    path = run_slopes(SHORT_PLAN, tmp_path, 'spread')
    propagation = msgspec.json.decode(path.read_bytes())['spread'][0]
    assert propagation['processes'] == 3
    assert 0 < propagation['median_s'] <= propagation['max_s']
    assert propagation['writes_per_change'] > 0
    assert (tmp_path / 'slopes.png').exists()


def test_every_part_has_a_test() -> None:
    """Guards against a new part that no test runs."""
    tested = {'entry', 'agent', 'relay', 'config', 'listing', 'orders'}
    assert set(PARTS) == tested | {'spread'}
