"""Routing: predictions, prefix affinity, length policies and zones."""

import time

from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.entry.affinity import MAX_HOLDERS, AffinityIndex
from masticwind.entry.length_policy import make_length_policy
from masticwind.entry.predict import Predictor
from masticwind.entry.router import PredictedRouter, RoutingView
from tests.routing_fakes import entry_settings, fake_job, fake_link


def _router(**changes: object) -> tuple[PredictedRouter, RoutingView]:
    cfg = entry_settings(**changes)
    view = RoutingView(cfg, AffinityIndex(1000))
    return PredictedRouter(cfg, view), view


def test_endpoint_with_queued_work_is_not_chosen() -> None:
    """Guards against sending to an endpoint with a long queue."""
    router, _view = _router()
    busy = fake_link('busy', paid_work_tokens=100_000)
    idle = fake_link('idle')
    assert router.choose(fake_job(), (busy, idle)) is idle


def test_paid_request_ignores_queued_free_work() -> None:
    """Guards against free work that diverts paid requests."""
    router, _view = _router()
    free_queue = fake_link('a', free_work_tokens=900_000)
    paid_queue = fake_link('b', paid_work_tokens=50_000)
    links = (free_queue, paid_queue)
    assert router.choose(fake_job(), links) is free_queue
    assert router.choose(fake_job(paid=False), links) is paid_queue


def test_own_requests_count_before_the_next_heartbeat() -> None:
    """Guards against sending all requests to the least loaded endpoint."""
    router, view = _router(length_policy='least_work')
    links = [fake_link(f'e{number}') for number in range(4)]
    chosen = []
    for _ in range(8):
        link = router.choose(fake_job(), links)
        view.predictor.record_send(link, 1000, paid=True)
        chosen.append(link)
    assert sorted(chosen.count(link) for link in links) == [2, 2, 2, 2]


def test_long_prompt_delays_only_requests_that_wait_for_it() -> None:
    """Guards against queueing a long prompt behind that of another entry."""
    predictor = Predictor(entry_settings())
    link = fake_link('a', paid_work_tokens=100, paid_long_tokens=(60_000,))
    assert predictor.prefill_tokens_ahead(link, 1000, paid=True) == 100
    assert predictor.prefill_tokens_ahead(link, 20_000, paid=True) == 100
    assert predictor.prefill_tokens_ahead(link, 50_000, paid=True) == 60_100
    assert predictor.prefill_tokens_ahead(link, 1000, paid=False) == 60_100


def test_request_is_counted_once_whether_reported_or_not() -> None:
    """Guards against counting a sent request twice, or not at all."""
    predictor = Predictor(entry_settings())
    link = fake_link('a', paid_work_tokens=5000)
    predictor.record_send(link, 1000, paid=True)
    assert predictor.prefill_tokens_ahead(link, paid=True) == 6000
    link.load_received_at = time.monotonic() + 1
    assert predictor.prefill_tokens_ahead(link, paid=True) == 5000


def test_prediction_is_corrected_by_observed_times() -> None:
    """Guards against preferring an endpoint slower than it reports."""
    predictor = Predictor(entry_settings())
    slow, other = fake_link('slow'), fake_link('other')
    for _ in range(30):
        record = predictor.record_send(slow, 10_000, paid=True)
        record.sent_at -= 4
        predictor.record_first_token(slow, record)
    for link in (slow, other):
        predictor.record_send(link, 10_000, paid=True)
    slow_s = predictor.predict_ttft_s(slow, 1000, paid=True)
    assert slow_s > 2 * predictor.predict_ttft_s(other, 1000, paid=True)


def test_idle_endpoint_is_not_penalized_for_past_slowness() -> None:
    """Guards against an endpoint that gets no requests after being slow."""
    predictor = Predictor(entry_settings())
    link = fake_link('a')
    record = predictor.record_send(link, 10_000, paid=True)
    record.sent_at -= 1000
    predictor.record_first_token(link, record)
    assert predictor.predict_ttft_s(link, 10_000, paid=True) <= 1


def test_prefix_holder_is_preferred_until_it_is_busy() -> None:
    """Guards against unused cached prefixes and an overloaded holder."""
    router, view = _router(sample_size=2)
    links = [fake_link(f'e{number}') for number in range(20)]
    prefix = tuple(range(1, 40))
    view.affinity.add('e7', prefix)
    job = fake_job(40_000, prefix_hashes=prefix)
    assert router.choose(job, links) is links[7]
    # The uncached rest of this prompt runs ahead of long prompts only.
    for _ in range(8):
        view.predictor.record_send(links[7], 10_000, paid=True)
    assert router.choose(job, links) is not links[7]


def test_own_zone_is_preferred_at_equal_cost() -> None:
    """Guards against needless traffic between availability zones."""
    router, _view = _router()
    own_zone, other_zone = fake_link('near'), fake_link('far', 'zone-b')
    for _ in range(20):
        assert router.choose(fake_job(), (other_zone, own_zone)) is own_zone
    busy = fake_link('busy', paid_work_tokens=20_000)
    assert router.choose(fake_job(), (other_zone, busy)) is other_zone


def test_running_requests_occupy_the_slots_of_a_cold_endpoint() -> None:
    """Guards against more requests at a cold endpoint than it has slots."""
    predictor = Predictor(entry_settings())
    link = fake_link('cold', state='cold', slots=2)
    records = []
    for free_slots in (1, 0, 0):
        records.append(predictor.record_send(link, 10, paid=True))
        # A stream occupies its slot after the first token too.
        predictor.record_first_token(link, records[-1])
        assert predictor.free_slots(link) == free_slots
    for free_slots in (0, 1, 2):
        predictor.record_end(link, records.pop())
        assert predictor.free_slots(link) == free_slots


def test_long_and_short_prompts_get_different_endpoints() -> None:
    """Guards against long and short prompts on the same endpoints."""
    links = [fake_link(f'e{number}') for number in range(4)]
    for policy in ('size_interval', 'dynamic_partition'):
        length_policy = make_length_policy(entry_settings(length_policy=policy))
        for _ in range(100):
            long = length_policy.select(fake_job(100_000), links)
            short = length_policy.select(fake_job(1000), links)
            assert long
            assert short
            assert not set(long) & set(short) or policy != 'size_interval'
        assert set(long) | set(short) == set(links)


def test_queueing_outweighs_the_length_preference() -> None:
    """Guards against idle endpoints while all prompts have one length."""
    router, view = _router(length_policy='size_preference')
    links = [fake_link(f'e{number}') for number in range(4)]
    chosen = []
    for _ in range(40):
        link = router.choose(fake_job(), links)
        view.predictor.record_send(link, 1000, paid=True)
        chosen.append(link)
    first = set(chosen[:2])
    assert first == set(links[2:])
    assert set(chosen) == set(links)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['add', 'remove', 'forget']),
            st.sampled_from([f'n{number}' for number in range(7)]),
            st.lists(st.integers(0, 60), max_size=20),
        ),
        max_size=60,
    )
)
def test_affinity_index_is_bounded_and_lists_only_current_holders(
    steps: list[tuple[str, str, list[int]]],
) -> None:
    """Guards against unbounded memory and against removed holders."""
    index = AffinityIndex(max_blocks=32)
    expected: set[tuple[str, int]] = set()
    for action, node, blocks in steps:
        if action == 'add':
            index.add(node, blocks)
            expected.update((node, block) for block in blocks)
        elif action == 'remove':
            index.remove(node, blocks)
            expected.difference_update((node, block) for block in blocks)
        else:
            index.invalidate_agent(node)
            expected = {pair for pair in expected if pair[0] != node}
        assert len(index) <= 32
        for block in range(61):
            holders = index.leading_block_counts((block,))
            assert len(holders) <= MAX_HOLDERS
            assert all((holder, block) in expected for holder in holders)


def test_leading_blocks_stop_at_the_first_missing_one() -> None:
    """Guards against counting blocks that no prefix match can use."""
    index = AffinityIndex(100)
    index.add('a', (1, 2, 4))
    index.add('b', (1,))
    assert index.leading_block_counts((1, 2, 3, 4)) == {'a': 2, 'b': 1}
    assert not index.leading_block_counts((9, 1))
