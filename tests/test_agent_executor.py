"""Requests at an agent from offer to end, with an engine stand-in."""

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
    ExecutorHarness,
    FaultyEngine,
    RecordingChannel,
    make_offer,
    running_executor,
)
from tests.scenarios import ZONES, sample_config

pytestmark = pytest.mark.anyio

CANCELLED_REQUESTS = 1000
CANCEL_SEED = 20261204


def _expected_output(request_id: str, tokens: int, count: int) -> str:
    return expected_answer(make_offer(request_id, tokens).body, count)


async def test_cancelled_requests_release_all_memory() -> None:
    """Guards against memory that stays reserved after a cancellation."""
    rng = random.Random(CANCEL_SEED)
    model = EngineModel(
        prefill_tokens_per_s=2_000_000,
        decode_ms=2,
        report_lag_ms=100,
    )
    async with running_executor(model) as harness:

        async def offer_and_cancel(number: int) -> None:
            await anyio.sleep(4 * rng.random())
            tokens = rng.choice((50, 2000, 30_000))
            harness.offer(f'r{number}', tokens, paid=rng.choice((True, False)))
            await anyio.sleep(rng.random() / 5)
            harness.executor.cancel(Cancel(f'r{number}', 0))

        async with anyio.create_task_group() as tasks:
            for number in range(CANCELLED_REQUESTS):
                tasks.start_soon(offer_and_cancel, number)
        await harness.wait_until_idle()
        outcomes = [
            harness.channel.outcome_of(f'r{one}')
            for one in range(CANCELLED_REQUESTS)
        ]
    assert all(outcomes)
    assert outcomes.count('cancelled') > CANCELLED_REQUESTS // 10


async def test_paid_request_preempts_free_one_without_output() -> None:
    """Guards against a paid request that waits for a free one."""
    model = EngineModel(prefill_tokens_per_s=20_000, report_lag_ms=100)
    async with running_executor(
        model, max_running=1, long_prompt_tokens=500_000
    ) as harness:
        harness.offer('free', 60_000, paid=False)
        await harness.wait_until(lambda: len(harness.executor.running))
        harness.offer('paid', 100)
        assert await harness.wait_for_outcomes('paid') == ['done']
        assert not harness.channel.outcome_of('free')
        assert await harness.wait_for_outcomes('free') == ['done']
        assert harness.channel.output_text('free') == _expected_output(
            'free', 60_000, 8
        )
        await harness.wait_until_idle()


async def test_free_request_with_output_is_not_preempted() -> None:
    """Guards against lost or repeated tokens after a preemption."""
    async with running_executor(max_running=1) as harness:
        harness.offer('free', 100, paid=False, max_tokens=40)
        await harness.wait_until(lambda: harness.channel.output_text('free'))
        harness.offer('paid', 100)
        assert await harness.wait_for_outcomes('free', 'paid') == [
            'done',
            'done',
        ]
        assert harness.channel.output_text('free') == _expected_output(
            'free', 100, 40
        )
        assert harness.engine.executed == ['free.0.0', 'paid.0.0']


async def test_long_prompt_is_computed_in_steps() -> None:
    """Guards against a long prompt that delays short ones.

    The output must not change when the prompt is computed in steps.
    """
    model = EngineModel(prefill_tokens_per_s=100_000, report_lag_ms=100)
    async with running_executor(model) as harness:
        harness.offer('long', 200_000)
        await harness.wait_until(
            lambda: harness.executor.running.has_long_prefill()
        )
        harness.offer('short', 500)
        assert await harness.wait_for_outcomes('short') == ['done']
        assert not harness.channel.outcome_of('long')
        assert await harness.wait_for_outcomes('long') == ['done']
        assert harness.channel.output_text('long') == _expected_output(
            'long', 200_000, 8
        )
        end = harness.channel.end_of('long')
        assert end is not None
        # Everything but the last step is read from the prefix cache.
        assert (
            end.cached_tokens >= 200_000 - 2 * harness.cfg.prefill_step_tokens
        )


async def test_one_long_prefill_at_a_time() -> None:
    """Guards against two long prompts of equal length in prefill at once."""
    async with running_executor() as harness:
        harness.offer('first', 100_000)
        harness.offer('second', 100_000)
        await harness.wait_until(
            lambda: harness.executor.running.has_long_prefill()
        )
        assert len(harness.executor.scheduler) == 1
        assert await harness.wait_for_outcomes('first', 'second') == [
            'done',
            'done',
        ]


async def test_shorter_long_prompt_overtakes_a_longer_one() -> None:
    """Guards against a missed deadline behind a much longer prompt."""
    model = EngineModel(prefill_tokens_per_s=100_000, report_lag_ms=100)
    async with running_executor(model) as harness:
        harness.offer('longest', 300_000)
        await harness.wait_until(
            lambda: harness.executor.running.has_long_prefill()
        )
        harness.offer('shorter', 50_000)
        assert await harness.wait_for_outcomes('shorter') == ['done']
        assert not harness.channel.outcome_of('longest')
        assert await harness.wait_for_outcomes('longest') == ['done']
        assert harness.channel.output_text('longest') == _expected_output(
            'longest', 300_000, 8
        )
        await harness.wait_until_idle()


async def test_evicted_prefill_progress_is_counted() -> None:
    """Guards against endless prefill steps when the cache evicts prefixes."""
    model = EngineModel(cache_share=0.02, report_lag_ms=100)
    async with running_executor(model) as harness:
        harness.offer('long', 200_000)
        await harness.wait_until(lambda: len(harness.executor.running))
        req = next(iter(harness.executor.running))
        assert await harness.wait_for_outcomes('long') == ['done']
        assert req.evictions == 2
        assert req.evicted_tokens > 0
        assert harness.channel.output_text('long') == _expected_output(
            'long', 200_000, 8
        )


async def test_request_beyond_its_deadline_is_refused() -> None:
    """Guards against accepting a request that cannot meet its deadline."""
    model = EngineModel(prefill_tokens_per_s=20_000, report_lag_ms=100)
    async with running_executor(model) as harness:
        harness.offer('teach', 4000)
        await harness.wait_for_outcomes('teach')
        harness.offer('late', 400_000, timeout_ms=5000)
        refused = harness.channel.messages_of('late', Refused)
        assert [one.kind for one in refused] == ['overloaded']
        assert refused[0].retry_after_ms > 0
        assert harness.engine.executed == ['teach.0.0']


async def test_late_queued_request_is_reported_as_not_run() -> None:
    """Guards against a late refusal, or one that hides whether it ran."""
    async with running_executor(max_running=1) as harness:
        harness.offer('first', 100, max_tokens=100)
        await harness.wait_until(lambda: len(harness.executor.running))
        harness.offer('queued', 100, timeout_ms=300)
        assert await harness.wait_for_outcomes('queued') == ['overloaded']
        assert harness.engine.executed == ['first.0.0']


async def test_revoked_offer_never_runs() -> None:
    """Guards against running an offer that arrives after its revocation."""
    async with running_executor() as harness:
        harness.executor.revoke(harness.channel, Revoke('gone', 0))
        assert harness.channel.messages_of('gone', Revoked)[0].started is False
        harness.offer('gone')
        assert harness.channel.outcome_of('gone') == 'revoked'
        assert not harness.engine.executed


async def test_restarted_agent_adopts_a_resumed_stream() -> None:
    """Guards against lost or repeated tokens and leaks at an agent restart.

    Two streams continue in the engine: one is resumed, the other must be
    cancelled as an orphan.
    """
    async with running_executor(
        EngineModel(decode_ms=20, report_lag_ms=100)
    ) as harness:
        engine = FaultyEngine(harness.url)
        deps = ExecutorDependencies(harness.cfg, harness.config, engine)
        old = RecordingChannel()
        async with anyio.create_task_group() as old_agent_tasks:
            first = Executor(deps, old_agent_tasks)
            old_agent_tasks.start_soon(first.run)
            await harness.wait_until(
                lambda: first.availability.engine_report is not None
            )
            for name in ('kept', 'left'):
                first.handle_offer(old, make_offer(name, 100, max_tokens=100))
            await harness.wait_until(
                lambda: old.output_text('kept') and old.output_text('left')
            )
            # A killed process does not cancel its streams at the engine.
            engine.ignores_cancel = True
            old_agent_tasks.cancel_scope.cancel()
        received_tokens = len(old.output_text('kept').split())
        await harness.wait_until(
            lambda: harness.executor.reconciler.orphan_count == 2
        )
        harness.executor.resume(
            harness.channel, Resume('kept', 0, received_tokens)
        )
        assert await harness.wait_for_outcomes('kept') == ['done']
        outputs = harness.channel.messages_of('kept', End)
        assert outputs[0].count == 100
        await harness.wait_until_idle()
        resumed_text = ''.join(
            token
            for one in harness.channel.sent
            for token in getattr(one, 'tokens', ())
        )
    assert old.output_text('kept') + resumed_text == _expected_output(
        'kept', 100, 100
    )


async def test_engine_restart_fails_running_requests() -> None:
    """Guards against reporting a broken stream as complete or not run."""
    async with running_executor(
        EngineModel(decode_ms=20, report_lag_ms=100)
    ) as harness:
        harness.offer('talking', 100, max_tokens=200)
        await harness.wait_until(lambda: harness.channel.output_text('talking'))
        restarts = harness.executor.ramp.restarts
        harness.engine.restart()
        assert await harness.wait_for_outcomes('talking') == [
            'failed_after_start'
        ]
        end = harness.channel.end_of('talking')
        assert end is not None
        assert end.count == len(harness.channel.output_text('talking').split())
        assert harness.executor.ramp.restarts > restarts
        await harness.wait_until_idle()


async def test_cold_engine_restart_is_not_overloaded() -> None:
    """Guards against overloading an engine that is cold after a restart."""
    async with running_executor(
        EngineModel(report_lag_ms=100), max_running=8
    ) as harness:
        running = [f'r{one}' for one in range(8)]
        queued = [f'q{one}' for one in range(12)]
        for name in running:
            harness.offer(name, 100, max_tokens=200)
        await harness.wait_until(
            lambda: all(harness.channel.output_text(one) for one in running)
        )
        for name in queued:
            harness.offer(name, 100)
        harness.engine.restart()
        harness.engine.turn_cold()
        assert set(await harness.wait_for_outcomes(*running)) == {
            'failed_after_start'
        }
        assert set(await harness.wait_for_outcomes(*queued)) == {'done'}
        assert harness.engine.offers_over_capacity == 0
        await harness.wait_until_idle()


async def test_restart_before_first_token_fails_request() -> None:
    """Guards against rerunning a lost request without being asked to."""
    model = EngineModel(prefill_tokens_per_s=10_000, report_lag_ms=100)
    async with running_executor(model) as harness:
        harness.offer('silent', 10_000)
        await harness.wait_until(lambda: harness.engine.executed)
        harness.engine.restart()
        assert await harness.wait_for_outcomes('silent') == [
            'failed_after_start'
        ]
        end = harness.channel.end_of('silent')
        assert end is not None
        assert end.count == 0
        assert harness.engine.executed == ['silent.0.0']
        await harness.wait_until_idle()


async def test_cold_engine_gets_no_more_than_its_capacity() -> None:
    """Guards against overloading an engine in an unreported cold start."""
    async with running_executor(
        EngineModel(cold=True, report_lag_ms=100),
        skip_ramp=False,
        long_prompt_tokens=1_000_000,
    ) as harness:
        names = [f'r{one}' for one in range(60)]
        for name in names:
            harness.offer(name, 500)
        assert set(await harness.wait_for_outcomes(*names)) == {'done'}
        assert harness.engine.offers_over_capacity == 0
        assert (
            harness.executor.ramp.capacity > harness.executor.ramp.cold_capacity
        )


async def test_engine_turning_cold_under_load_is_detected() -> None:
    """Guards against overloading an engine that turns cold under load."""
    async with running_executor() as harness:
        names = [f'r{one}' for one in range(10)]
        for name in names:
            harness.offer(name, 100, max_tokens=200)
        await harness.wait_until(
            lambda: all(
                len(harness.channel.output_text(one)) > 400 for one in names
            ),
        )
        harness.engine.turn_cold()
        await harness.wait_until(lambda: harness.executor.ramp.capacity == 2)
        for extra in range(10):
            harness.offer(f'x{extra}', 100, timeout_ms=120_000)
        extras = [f'x{one}' for one in range(10)]
        assert set(await harness.wait_for_outcomes(*names, *extras)) == {'done'}
        assert harness.engine.offers_over_capacity == 0


async def test_cold_start_of_idle_engine_is_not_overloaded() -> None:
    """Guards against overloading an engine that turned cold while idle."""
    async with running_executor(EngineModel(cold_requests=4)) as harness:
        harness.offer('earlier', 100, max_tokens=60)
        assert await harness.wait_for_outcomes('earlier') == ['done']
        harness.engine.turn_cold()
        names = [f'r{one}' for one in range(12)]
        for name in names:
            harness.offer(name, 100, max_tokens=60)
        assert set(await harness.wait_for_outcomes(*names)) == {'done'}
        assert harness.engine.offers_over_capacity == 0


async def test_warm_engine_reaches_full_load_after_idle() -> None:
    """Guards against limiting a warm engine to its cold capacity."""
    async with running_executor() as harness:
        names = [f'r{one}' for one in range(12)]
        for name in names:
            harness.offer(name, 100, max_tokens=200)
        await harness.wait_until(
            lambda: len(harness.executor.running) == len(names)
        )
        assert set(await harness.wait_for_outcomes(*names)) == {'done'}


async def test_stream_resumes_after_engine_connection_breaks() -> None:
    """Guards against failing a stream that can be resumed.

    Only the connection to the engine breaks; the engine keeps generating.
    """
    async with running_executor(
        EngineModel(decode_ms=20, report_lag_ms=100)
    ) as harness:
        harness.offer('r', 100, max_tokens=60)
        await harness.wait_until(lambda: harness.channel.output_text('r'))
        harness.client.pending_breaks = 2
        assert await harness.wait_for_outcomes('r') == ['done']
        assert harness.client.pending_breaks == 0
        assert harness.channel.output_text('r') == _expected_output(
            'r', 100, 60
        )


async def _reserve(harness: ExecutorHarness, share: int, tokens: int) -> str:
    harness.executor.reserve(
        harness.channel,
        Reserve('big', 0, share, tokens, 2000, 1),
    )
    return str(harness.channel.messages_of('big', Reserved)[-1].kind)


async def test_prompt_shares_give_the_complete_output() -> None:
    """Guards against wrong output or leaks of a prompt split into shares."""
    prompt = b'grouped prompt ' * 4096 * 2
    split_bytes = 4096 * 16
    bodies = (prompt[:split_bytes], prompt[split_bytes:])
    async with running_executor() as first, running_executor() as last:
        for share, harness in enumerate((first, last)):
            assert await _reserve(harness, share, 50_000) == ''
        first.executor.handle_offer(
            first.channel,
            make_offer(
                'big',
                len(bodies[0]) // 4,
                body=bodies[0],
                body_bytes=len(bodies[0]),
                max_tokens=0,
                share_of='-',
            ),
        )
        assert await first.wait_for_outcomes('big') == ['done']
        held = first.channel.end_of('big')
        assert held is not None
        last.executor.handle_offer(
            last.channel,
            make_offer(
                'big',
                len(bodies[1]) // 4,
                body=bodies[1],
                body_bytes=len(bodies[1]),
                share_of=held.reason,
            ),
        )
        assert await last.wait_for_outcomes('big') == ['done']
        assert last.channel.output_text('big') == expected_answer(prompt, 8)
        first.executor.release(Release('big', 0, 0))
        await first.wait_until_idle()
        # The second lease is not released; it expires.
        await last.wait_until_idle()


async def test_cancel_during_share_prefill_frees_memory() -> None:
    """Guards against a cache that stays held for a cancelled request.

    The engine completes the share after the cancellation.
    """
    model = EngineModel(prefill_tokens_per_s=50_000, report_lag_ms=100)
    async with running_executor(model) as harness:
        assert await _reserve(harness, 0, 50_000) == ''
        harness.offer('big', 30_000, max_tokens=0, share_of='-')
        await harness.wait_until(lambda: harness.engine.memory_used())
        harness.executor.cancel(Cancel('big', 0))
        assert await harness.wait_for_outcomes('big') == ['cancelled']
        await harness.wait_until_idle()
        # The engine completes and holds the share until the reconciler
        # finds the cache.
        await anyio.sleep(1)
        await harness.wait_until_idle()


async def test_caches_without_lease_are_dropped() -> None:
    """Guards against held caches that no lease owns."""
    async with running_executor() as harness:
        client = HttpEngine(harness.url)
        handle = await client.export_cache('old', 'standard', b'x', 5000)
        assert isinstance(handle, str)
        await harness.wait_until(
            lambda: harness.executor.ledger.reserved_tokens == 5000
        )
        await harness.wait_until_idle()
        assert harness.executor.reconciler.orphan_count == 0


async def test_lease_beyond_memory_is_refused() -> None:
    """Guards against leases that exceed the engine's memory."""
    async with running_executor(EngineModel(memory_tokens=60_000)) as harness:
        assert await _reserve(harness, 0, 50_000) == ''
        assert await _reserve(harness, 1, 50_000) == 'no_capacity'
        assert await _reserve(harness, 0, 50_000) == ''
        harness.executor.cancel(Cancel('big', 0))
        await harness.wait_until_idle()


async def test_zone_outage_and_drain_finish_running_work() -> None:
    """Guards against accepting or breaking work in a zone out of service.

    The same holds while the agent drains.
    """
    async with running_executor() as harness:
        harness.offer('running', 100, max_tokens=50)
        await harness.wait_until(lambda: harness.channel.output_text('running'))
        zones = {name: Zone(region='north') for name in ZONES}
        zones['zone-a'] = Zone(region='north', in_service=False)
        harness.config.adopt(
            Generation(number=2, config=sample_config(zones=zones)),
        )
        harness.offer('new')
        assert harness.channel.outcome_of('new') == 'zone_out'
        harness.executor.draining = True
        harness.offer('newer')
        assert harness.channel.outcome_of('newer') == 'draining'
        assert await harness.wait_for_outcomes('running') == ['done']
        await harness.wait_until(lambda: harness.executor.idle)
