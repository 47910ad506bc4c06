"""The life of requests at the agent, against the engine stand-in."""

import random

import anyio
import pytest

from masticwind.agent.executor import Executor, ExecutorDependencies
from masticwind.config.model import Generation, Zone
from masticwind.engines.http import HttpEngine
from masticwind.protocol.messages import (
    Cancel,
    End,
    Refused,
    Release,
    Reserve,
    Reserved,
    Resume,
    Revoke,
    Revoked,
)
from masticwind_dev.standins.answers import expected_answer
from masticwind_dev.standins.engine import EngineModel
from tests.executor_harness import (
    BreakableEngine,
    Recorder,
    Rig,
    agent_rig,
    offer_of,
)
from tests.scenarios import ZONES, sample_config

pytestmark = pytest.mark.anyio

CANCELS = 1000
CANCEL_SEED = 20261204


def _expected(request_id: str, tokens: int, count: int) -> str:
    return expected_answer(offer_of(request_id, tokens).body, count)


async def test_cancels_leave_nothing() -> None:
    """Guards against memory that a cancelled request leaves behind."""
    rng = random.Random(CANCEL_SEED)
    model = EngineModel(
        prefill_tokens_per_s=2_000_000,
        decode_ms=2,
        report_lag_ms=100,
    )
    async with agent_rig(model) as rig:

        async def one(number: int) -> None:
            await anyio.sleep(4 * rng.random())
            tokens = rng.choice((50, 2000, 30_000))
            rig.offer(f'r{number}', tokens, paid=rng.choice((True, False)))
            await anyio.sleep(rng.random() / 5)
            rig.executor.cancel(Cancel(f'r{number}', 0))

        async with anyio.create_task_group() as tasks:
            for number in range(CANCELS):
                tasks.start_soon(one, number)
        await rig.at_rest()
        ended = [rig.channel.outcome(f'r{one}') for one in range(CANCELS)]
    assert all(ended)
    assert ended.count('cancelled') > CANCELS // 10


async def test_paid_preempts_free_without_output() -> None:
    """Guards against free work that keeps a paid request waiting."""
    model = EngineModel(prefill_tokens_per_s=20_000, report_lag_ms=100)
    async with agent_rig(
        model, max_running=1, long_prompt_tokens=500_000
    ) as rig:
        rig.offer('free', 60_000, paid=False)
        await rig.until(lambda: len(rig.executor.running))
        rig.offer('paid', 100)
        assert await rig.ended('paid') == ['done']
        assert not rig.channel.outcome('free')
        assert await rig.ended('free') == ['done']
        assert rig.channel.text('free') == _expected('free', 60_000, 8)
        await rig.at_rest()


async def test_free_with_output_is_not_preempted() -> None:
    """Guards against lost or repeated tokens of a preempted stream."""
    async with agent_rig(max_running=1) as rig:
        rig.offer('free', 100, paid=False, max_tokens=40)
        await rig.until(lambda: rig.channel.text('free'))
        rig.offer('paid', 100)
        assert await rig.ended('free', 'paid') == ['done', 'done']
        assert rig.channel.text('free') == _expected('free', 100, 40)
        assert rig.engine.executed == ['free.0.0', 'paid.0.0']


async def test_long_prompt_goes_in_steps() -> None:
    """Guards against a long prompt that blocks short ones or is garbled."""
    model = EngineModel(prefill_tokens_per_s=100_000, report_lag_ms=100)
    async with agent_rig(model) as rig:
        rig.offer('long', 200_000)
        await rig.until(lambda: rig.executor.running.has_long_prefill())
        rig.offer('short', 500)
        assert await rig.ended('short') == ['done']
        assert not rig.channel.outcome('long')
        assert await rig.ended('long') == ['done']
        assert rig.channel.text('long') == _expected('long', 200_000, 8)
        end = rig.channel.end('long')
        assert end is not None
        # All but the last step came from the prefix cache.
        assert end.cached_tokens >= 200_000 - 2 * rig.cfg.prefill_step_tokens


async def test_one_long_prefill_at_a_time() -> None:
    """Guards against two long prompts that share the prefill."""
    async with agent_rig() as rig:
        rig.offer('first', 100_000)
        rig.offer('second', 100_000)
        await rig.until(lambda: rig.executor.running.has_long_prefill())
        assert len(rig.executor.scheduler) == 1
        assert await rig.ended('first', 'second') == ['done', 'done']


async def test_shorter_long_prompt_passes_a_longer_one() -> None:
    """Guards against a tight time budget behind a prompt of a million."""
    model = EngineModel(prefill_tokens_per_s=100_000, report_lag_ms=100)
    async with agent_rig(model) as rig:
        rig.offer('longest', 300_000)
        await rig.until(lambda: rig.executor.running.has_long_prefill())
        rig.offer('shorter', 50_000)
        assert await rig.ended('shorter') == ['done']
        assert not rig.channel.outcome('longest')
        assert await rig.ended('longest') == ['done']
        assert rig.channel.text('longest') == _expected('longest', 300_000, 8)
        await rig.at_rest()


async def test_lost_progress_is_counted() -> None:
    """Guards against endless steps after the cache evicts a prefix."""
    model = EngineModel(cache_share=0.02, report_lag_ms=100)
    async with agent_rig(model) as rig:
        rig.offer('long', 200_000)
        await rig.until(lambda: len(rig.executor.running))
        req = next(iter(rig.executor.running))
        assert await rig.ended('long') == ['done']
        assert req.evictions == 2
        assert req.evicted_tokens > 0
        assert rig.channel.text('long') == _expected('long', 200_000, 8)


async def test_hopeless_request_is_refused_at_once() -> None:
    """Guards against accepting what cannot finish in its time budget."""
    model = EngineModel(prefill_tokens_per_s=20_000, report_lag_ms=100)
    async with agent_rig(model) as rig:
        rig.offer('teach', 4000)
        await rig.ended('teach')
        rig.offer('late', 400_000, timeout_ms=5000)
        refused = rig.channel.of('late', Refused)
        assert [one.kind for one in refused] == ['overloaded']
        assert refused[0].retry_after_ms > 0
        assert rig.engine.executed == ['teach.0.0']


async def test_queued_request_that_is_late_has_not_run() -> None:
    """Guards against an untrue or a late answer to a queued request."""
    async with agent_rig(max_running=1) as rig:
        rig.offer('first', 100, max_tokens=100)
        await rig.until(lambda: len(rig.executor.running))
        rig.offer('queued', 100, timeout_ms=300)
        assert await rig.ended('queued') == ['overloaded']
        assert rig.engine.executed == ['first.0.0']


async def test_revoked_offer_never_runs() -> None:
    """Guards against a late offer after a revocation."""
    async with agent_rig() as rig:
        rig.executor.revoke(rig.channel, Revoke('gone', 0))
        assert rig.channel.of('gone', Revoked)[0].started is False
        rig.offer('gone')
        assert rig.channel.outcome('gone') == 'revoked'
        assert not rig.engine.executed


async def test_restarted_agent_adopts_a_resumed_stream() -> None:
    """Guards against a gap, a repeat or a leak when an agent restarts."""
    async with agent_rig(EngineModel(decode_ms=20, report_lag_ms=100)) as rig:
        engine = BreakableEngine(rig.url)
        parts = ExecutorDependencies(rig.cfg, rig.config, engine)
        old = Recorder()
        async with anyio.create_task_group() as dying:
            first = Executor(parts, dying)
            dying.start_soon(first.run)
            await rig.until(
                lambda: first.availability.engine_report is not None
            )
            for name in ('kept', 'left'):
                first.handle_offer(old, offer_of(name, 100, max_tokens=100))
            await rig.until(lambda: old.text('kept') and old.text('left'))
            # A killed process cancels nothing at its engine.
            engine.silent_cancel = True
            dying.cancel_scope.cancel()
        seen = len(old.text('kept').split())
        await rig.until(lambda: rig.executor.reconciler.orphan_count == 2)
        rig.executor.resume(rig.channel, Resume('kept', 0, seen))
        assert await rig.ended('kept') == ['done']
        outputs = rig.channel.of('kept', End)
        assert outputs[0].count == 100
        await rig.at_rest()
        rest = ''.join(
            token
            for one in rig.channel.sent
            for token in getattr(one, 'tokens', ())
        )
    assert old.text('kept') + rest == _expected('kept', 100, 100)


async def test_engine_restart_ends_requests_truthfully() -> None:
    """Guards against presenting a broken stream as whole or not run."""
    async with agent_rig(EngineModel(decode_ms=20, report_lag_ms=100)) as rig:
        rig.offer('talking', 100, max_tokens=200)
        await rig.until(lambda: rig.channel.text('talking'))
        entries = rig.executor.ramp.restarts
        rig.engine.restart()
        assert await rig.ended('talking') == ['failed_after_start']
        end = rig.channel.end('talking')
        assert end is not None
        assert end.count == len(rig.channel.text('talking').split())
        assert rig.executor.ramp.restarts > entries
        await rig.at_rest()


async def test_restart_into_a_cold_start_hands_work_back() -> None:
    """Guards against a rush on an engine that comes back cold."""
    async with agent_rig(EngineModel(report_lag_ms=100), max_running=8) as rig:
        running = [f'r{one}' for one in range(8)]
        queued = [f'q{one}' for one in range(12)]
        for name in running:
            rig.offer(name, 100, max_tokens=200)
        await rig.until(lambda: all(rig.channel.text(one) for one in running))
        for name in queued:
            rig.offer(name, 100)
        rig.engine.restart()
        rig.engine.turn_cold()
        assert set(await rig.ended(*running)) == {'failed_after_start'}
        assert set(await rig.ended(*queued)) == {'done'}
        assert rig.engine.offers_over_capacity == 0
        await rig.at_rest()


async def test_engine_restart_before_the_first_token() -> None:
    """Guards against running a lost request again without being asked."""
    model = EngineModel(prefill_tokens_per_s=10_000, report_lag_ms=100)
    async with agent_rig(model) as rig:
        rig.offer('silent', 10_000)
        await rig.until(lambda: rig.engine.executed)
        rig.engine.restart()
        assert await rig.ended('silent') == ['failed_after_start']
        end = rig.channel.end('silent')
        assert end is not None
        assert end.count == 0
        assert rig.engine.executed == ['silent.0.0']
        await rig.at_rest()


async def test_cold_engine_gets_no_more_than_its_capacity() -> None:
    """Guards against overloading an engine in an unannounced cold start."""
    async with agent_rig(
        EngineModel(cold=True, report_lag_ms=100),
        warm=False,
        long_prompt_tokens=1_000_000,
    ) as rig:
        names = [f'r{one}' for one in range(60)]
        for name in names:
            rig.offer(name, 500)
        assert set(await rig.ended(*names)) == {'done'}
        assert rig.engine.offers_over_capacity == 0
        assert rig.executor.ramp.capacity > rig.executor.ramp.cold_capacity


async def test_relapse_under_load_is_seen() -> None:
    """Guards against new work for an engine that turned cold in service."""
    async with agent_rig() as rig:
        names = [f'r{one}' for one in range(10)]
        for name in names:
            rig.offer(name, 100, max_tokens=200)
        await rig.until(
            lambda: all(len(rig.channel.text(one)) > 400 for one in names),
        )
        rig.engine.turn_cold()
        await rig.until(lambda: rig.executor.ramp.capacity == 2)
        for extra in range(10):
            rig.offer(f'x{extra}', 100, timeout_ms=120_000)
        extras = [f'x{one}' for one in range(10)]
        assert set(await rig.ended(*names, *extras)) == {'done'}
        assert rig.engine.offers_over_capacity == 0


async def test_relapse_of_an_idle_engine_is_respected() -> None:
    """Guards against a rush on an engine that turned cold while idle."""
    async with agent_rig(EngineModel(cold_requests=4)) as rig:
        rig.offer('earlier', 100, max_tokens=60)
        assert await rig.ended('earlier') == ['done']
        rig.engine.turn_cold()
        names = [f'r{one}' for one in range(12)]
        for name in names:
            rig.offer(name, 100, max_tokens=60)
        assert set(await rig.ended(*names)) == {'done'}
        assert rig.engine.offers_over_capacity == 0


async def test_warm_engine_is_full_soon_after_idle_time() -> None:
    """Guards against an engine that stays at its cold capacity when warm."""
    async with agent_rig() as rig:
        names = [f'r{one}' for one in range(12)]
        for name in names:
            rig.offer(name, 100, max_tokens=200)
        await rig.until(lambda: len(rig.executor.running) == len(names))
        assert set(await rig.ended(*names)) == {'done'}


async def test_broken_connection_is_resumed() -> None:
    """Guards against losing a stream whose connection alone broke."""
    async with agent_rig(EngineModel(decode_ms=20, report_lag_ms=100)) as rig:
        rig.offer('r', 100, max_tokens=60)
        await rig.until(lambda: rig.channel.text('r'))
        rig.client.breaks = 2
        assert await rig.ended('r') == ['done']
        assert rig.client.breaks == 0
        assert rig.channel.text('r') == _expected('r', 100, 60)


async def _reserve(rig: Rig, share: int, tokens: int) -> str:
    rig.executor.reserve(
        rig.channel,
        Reserve('big', 0, share, tokens, 2000, 1),
    )
    return str(rig.channel.of('big', Reserved)[-1].kind)


async def test_shares_chain_to_the_whole_answer() -> None:
    """Guards against a wrong answer or a leak of a group of engines."""
    whole = b'grouped prompt ' * 4096 * 2
    cut = 4096 * 16
    bodies = (whole[:cut], whole[cut:])
    async with agent_rig() as first, agent_rig() as last:
        for share, rig in enumerate((first, last)):
            assert await _reserve(rig, share, 50_000) == ''
        first.executor.handle_offer(
            first.channel,
            offer_of(
                'big',
                len(bodies[0]) // 4,
                body=bodies[0],
                body_bytes=len(bodies[0]),
                max_tokens=0,
                share_of='-',
            ),
        )
        assert await first.ended('big') == ['done']
        held = first.channel.end('big')
        assert held is not None
        last.executor.handle_offer(
            last.channel,
            offer_of(
                'big',
                len(bodies[1]) // 4,
                body=bodies[1],
                body_bytes=len(bodies[1]),
                share_of=held.reason,
            ),
        )
        assert await last.ended('big') == ['done']
        assert last.channel.text('big') == expected_answer(whole, 8)
        first.executor.release(Release('big', 0, 0))
        await first.at_rest()
        # The last lease is not released: it ends by itself.
        await last.at_rest()


async def test_lease_ends_while_its_share_is_computed() -> None:
    """Guards against a cache that is held for a group that gave up."""
    model = EngineModel(prefill_tokens_per_s=50_000, report_lag_ms=100)
    async with agent_rig(model) as rig:
        assert await _reserve(rig, 0, 50_000) == ''
        rig.offer('big', 30_000, max_tokens=0, share_of='-')
        await rig.until(lambda: rig.engine.memory_used())
        rig.executor.cancel(Cancel('big', 0))
        assert await rig.ended('big') == ['cancelled']
        await rig.at_rest()
        # The engine finishes the share and holds it, until it is found.
        await anyio.sleep(1)
        await rig.at_rest()


async def test_foreign_caches_are_dropped() -> None:
    """Guards against held memory that no lease owns."""
    async with agent_rig() as rig:
        client = HttpEngine(rig.url)
        handle = await client.export_cache('old', 'standard', b'x', 5000)
        assert isinstance(handle, str)
        await rig.until(lambda: rig.executor.ledger.reserved_tokens == 5000)
        await rig.at_rest()
        assert rig.executor.reconciler.orphan_count == 0


async def test_share_beyond_memory_is_refused() -> None:
    """Guards against leases beyond the engine's memory."""
    async with agent_rig(EngineModel(memory_tokens=60_000)) as rig:
        assert await _reserve(rig, 0, 50_000) == ''
        assert await _reserve(rig, 1, 50_000) == 'no_capacity'
        assert await _reserve(rig, 0, 50_000) == ''
        rig.executor.cancel(Cancel('big', 0))
        await rig.at_rest()


async def test_zone_out_and_drain_finish_what_runs() -> None:
    """Guards against new work, or broken work, in a zone out of service."""
    async with agent_rig() as rig:
        rig.offer('running', 100, max_tokens=50)
        await rig.until(lambda: rig.channel.text('running'))
        zones = {name: Zone(region='north') for name in ZONES}
        zones['zone-a'] = Zone(region='north', in_service=False)
        rig.config.adopt(
            Generation(number=2, config=sample_config(zones=zones)),
        )
        rig.offer('new')
        assert rig.channel.outcome('new') == 'zone_out'
        rig.executor.draining = True
        rig.offer('newer')
        assert rig.channel.outcome('newer') == 'draining'
        assert await rig.ended('running') == ['done']
        await rig.until(lambda: rig.executor.idle)
