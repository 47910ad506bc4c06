"""The choice of an endpoint: predictions, affinity, lengths and zones."""

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


def test_queued_work_is_avoided() -> None:
    """Guards against sending to an endpoint with a long queue."""
    router, _view = _router()
    busy = fake_link('busy', paid_work_tokens=100_000)
    idle = fake_link('idle')
    assert router.choose(fake_job(), (busy, idle)) is idle


def test_paid_ignores_queued_free_work() -> None:
    """Guards against free work that pushes paid requests elsewhere."""
    router, _view = _router()
    free_queue = fake_link('a', free_work_tokens=900_000)
    paid_queue = fake_link('b', paid_work_tokens=50_000)
    links = (free_queue, paid_queue)
    assert router.choose(fake_job(), links) is free_queue
    assert router.choose(fake_job(paid=False), links) is paid_queue


def test_own_sends_are_counted_before_a_heartbeat() -> None:
    """Guards against a herd onto the endpoint that reported least work."""
    router, view = _router(length_policy='least_work')
    links = [fake_link(f'e{number}') for number in range(4)]
    chosen = []
    for _ in range(8):
        link = router.choose(fake_job(), links)
        view.predictor.sent(link, 1000, paid=True)
        chosen.append(link)
    assert sorted(chosen.count(link) for link in links) == [2, 2, 2, 2]


def test_long_work_counts_for_those_who_wait_for_it() -> None:
    """Guards against a long prompt behind one of another entry."""
    predictor = Predictor(entry_settings())
    link = fake_link('a', paid_work_tokens=100, paid_long_tokens=(60_000,))
    assert predictor.work_ahead(link, 1000, paid=True) == 100
    assert predictor.work_ahead(link, 20_000, paid=True) == 100
    assert predictor.work_ahead(link, 50_000, paid=True) == 60_100
    assert predictor.work_ahead(link, 1000, paid=False) == 60_100


def test_reported_and_unseen_sends_add_up() -> None:
    """Guards against counting a send twice, or not at all."""
    predictor = Predictor(entry_settings())
    link = fake_link('a', paid_work_tokens=5000)
    predictor.sent(link, 1000, paid=True)
    assert predictor.work_ahead(link, paid=True) == 6000
    link.load_received_at = time.monotonic() + 1
    assert predictor.work_ahead(link, paid=True) == 5000


def test_rate_is_learned_from_observed_times() -> None:
    """Guards against trusting an endpoint that is slower than it reports."""
    predictor = Predictor(entry_settings())
    slow, other = fake_link('slow'), fake_link('other')
    for _ in range(30):
        send = predictor.sent(slow, 10_000, paid=True)
        send.sent_at -= 4
        predictor.first_token(slow, send)
    for link in (slow, other):
        predictor.sent(link, 10_000, paid=True)
    slow_s = predictor.predict_s(slow, 1000, paid=True)
    assert slow_s > 2 * predictor.predict_s(other, 1000, paid=True)


def test_idle_endpoint_recovers_from_a_bad_rate() -> None:
    """Guards against never trying an endpoint again after a slow spell."""
    predictor = Predictor(entry_settings())
    link = fake_link('a')
    send = predictor.sent(link, 10_000, paid=True)
    send.sent_at -= 1000
    predictor.first_token(link, send)
    assert predictor.predict_s(link, 10_000, paid=True) <= 1


def test_prefix_holder_is_preferred_until_it_is_busy() -> None:
    """Guards against losing cached prefixes, and against a hot holder."""
    router, view = _router(sample_size=2)
    links = [fake_link(f'e{number}') for number in range(20)]
    prefix = tuple(range(1, 40))
    view.affinity.add('e7', prefix)
    job = fake_job(40_000, prefix=prefix)
    assert router.choose(job, links) is links[7]
    # The rest of this prompt passes long prompts, but no short ones.
    for _ in range(8):
        view.predictor.sent(links[7], 10_000, paid=True)
    assert router.choose(job, links) is not links[7]


def test_own_zone_wins_where_costs_are_equal() -> None:
    """Guards against needless hops between availability zones."""
    router, _view = _router()
    near, far = fake_link('near'), fake_link('far', 'zone-b')
    for _ in range(20):
        assert router.choose(fake_job(), (far, near)) is near
    busy = fake_link('busy', paid_work_tokens=20_000)
    assert router.choose(fake_job(), (far, busy)) is far


def test_cold_slots_are_never_exceeded() -> None:
    """Guards against more sends to a cold endpoint than it has slots."""
    predictor = Predictor(entry_settings())
    link = fake_link('cold', state='cold', slots=2)
    sends = []
    for left in (1, 0, 0):
        sends.append(predictor.sent(link, 10, paid=True))
        # A stream holds its slot after the first token too.
        predictor.first_token(link, sends[-1])
        assert predictor.free_slots(link) == left
    for left in (0, 1, 2):
        predictor.ended(link, sends.pop())
        assert predictor.free_slots(link) == left


def test_lengths_are_separated() -> None:
    """Guards against long and short prompts on the same endpoints."""
    links = [fake_link(f'e{number}') for number in range(4)]
    for policy in ('size_interval', 'dynamic_partition'):
        lengths = make_length_policy(entry_settings(length_policy=policy))
        for _ in range(100):
            long = lengths.narrow(fake_job(100_000), links)
            short = lengths.narrow(fake_job(1000), links)
            assert long
            assert short
            assert not set(long) & set(short) or policy != 'size_interval'
        assert set(long) | set(short) == set(links)


def test_preferred_length_gives_way_to_a_long_queue() -> None:
    """Guards against idle endpoints while all prompts have one length."""
    router, view = _router(length_policy='size_preference')
    links = [fake_link(f'e{number}') for number in range(4)]
    chosen = []
    for _ in range(40):
        link = router.choose(fake_job(), links)
        view.predictor.sent(link, 1000, paid=True)
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
def test_affinity_index_is_bounded_and_true(
    steps: list[tuple[str, str, list[int]]],
) -> None:
    """Guards against growth, and against holders that were removed."""
    index = AffinityIndex(max_blocks=32)
    truth: set[tuple[str, int]] = set()
    for action, node, blocks in steps:
        if action == 'add':
            index.add(node, blocks)
            truth.update((node, block) for block in blocks)
        elif action == 'remove':
            index.remove(node, blocks)
            truth.difference_update((node, block) for block in blocks)
        else:
            index.forget(node)
            truth = {pair for pair in truth if pair[0] != node}
        assert len(index) <= 32
        for block in range(61):
            holders = index.leading_blocks((block,))
            assert len(holders) <= MAX_HOLDERS
            assert all((holder, block) in truth for holder in holders)


def test_leading_blocks_stop_at_the_first_missing_one() -> None:
    """Guards against counting blocks that no prefix match can use."""
    index = AffinityIndex(100)
    index.add('a', (1, 2, 4))
    index.add('b', (1,))
    assert index.leading_blocks((1, 2, 3, 4)) == {'a': 2, 'b': 1}
    assert not index.leading_blocks((9, 1))
