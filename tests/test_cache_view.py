"""The view of an engine's cache, from late and incomplete events."""

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.agent.cache_view import (
    MAX_BLOCKS_PER_DELTA,
    MAX_LOG_CHANGES,
    MAX_MISSING_EVENTS,
    MAX_RESYNC_BLOCKS,
    CacheView,
)
from masticwind.engines.base import CacheEvents
from masticwind.httpclient import HttpClient
from masticwind_dev.local.fleet import FleetPlan, running_fleet
from masticwind_dev.standins.engine import EngineModel
from tests.scenarios import answer_text, ask, chat_body, sample_config


def _events(first: int, added: range, *removed: int) -> CacheEvents:
    last = first + len(added) + len(removed) - 1
    return CacheEvents(first, last, tuple(added), removed)


def test_small_gap_keeps_the_view() -> None:
    """Guards against resetting the view after a few missing events."""
    view = CacheView()
    view.apply_events(_events(1, range(10)))
    view.apply_events(_events(13, range(20, 22)))
    assert (view.gaps, view.resets, len(view)) == (1, 0, 12)
    assert view.last_event_sequence == 14


def test_large_gap_resets_the_view() -> None:
    """Guards against keeping a view that is mostly wrong."""
    view = CacheView()
    view.apply_events(_events(1, range(10)))
    view.apply_events(_events(12 + MAX_MISSING_EVENTS, range(20, 22)))
    assert (view.gaps, view.resets, len(view)) == (1, 1, 2)


def test_already_applied_events_are_ignored() -> None:
    """Guards against applying events twice."""
    view = CacheView()
    view.apply_events(_events(1, range(10)))
    view.apply_events(_events(1, range(0), 1, 2))
    assert len(view) == 10


def test_block_added_and_removed_is_absent() -> None:
    """Guards against routing to blocks that were just evicted."""
    view = CacheView()
    view.apply_events(_events(1, range(3), 2))
    assert set(view.recent_blocks()) == {0, 1}


class _EntryReplica:
    """An entry's copy of the view; `cursor` is its last change number."""

    def __init__(self) -> None:
        self.blocks: set[int] = set()
        self.cursor: int | None = None

    def pull(self, view: CacheView) -> None:
        changes = None
        if self.cursor is not None:
            changes = view.changes_after(self.cursor)
        if changes is None:
            self.blocks = set(view.recent_blocks())
            self.cursor = view.last_change_number
            return
        assert len(changes) <= MAX_BLOCKS_PER_DELTA
        for change in changes:
            self.cursor = change.number
            if change.added:
                self.blocks.add(change.block)
            else:
                self.blocks.discard(change.block)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(
                st.lists(st.integers(0, 300), max_size=30),
                st.lists(st.integers(0, 300), max_size=30),
                st.integers(0, 3),
            ),
            st.sampled_from(['pull', 'reset']),
        ),
        max_size=60,
    )
)
def test_entry_replica_converges(
    steps: list[tuple[list[int], list[int], int] | str],
) -> None:
    """Guards against replicas that diverge and against unbounded views."""
    view = CacheView(max_blocks=100)
    replica = _EntryReplica()
    for step in steps:
        if step == 'pull':
            replica.pull(view)
        elif step == 'reset':
            view.reset()
        elif not isinstance(step, str):
            added, removed, gap = step
            first = view.last_event_sequence + 1 + gap
            last = first + len(added) + len(removed) - 1
            view.apply_events(
                CacheEvents(first, last, tuple(added), tuple(removed))
            )
        assert len(view) <= 100
    while replica.cursor != view.last_change_number:
        replica.pull(view)
    assert replica.blocks == set(view.recent_blocks())


def test_entry_behind_the_log_is_resynchronised() -> None:
    """Guards against an unbounded log for a slow entry."""
    view = CacheView()
    view.apply_events(_events(1, range(10)))
    cursor = view.last_change_number
    view.apply_events(_events(11, range(10, 20 + MAX_LOG_CHANGES)))
    assert view.changes_after(cursor) is None
    assert len(view.recent_blocks()) == MAX_RESYNC_BLOCKS


@pytest.mark.anyio
async def test_second_entry_learns_cached_blocks() -> None:
    """Guards against cache events that never reach the entries."""
    model = EngineModel(event_lag_ms=50, event_gap_share=0)
    plan = FleetPlan(
        config=sample_config(),
        engines={f'e{number}': ('zone-a', model) for number in range(3)},
        entries=('entry-1', 'entry-2'),
    )
    async with running_fleet(plan) as fleet:
        first, second = (
            HttpClient(f'http://127.0.0.1:{entry.port}')
            for entry in fleet.entries.values()
        )
        body = chat_body('x' * 200_000)
        answer_text(await ask(first, body))
        index = fleet.entries['entry-2'].affinity
        with anyio.fail_after(10):
            while len(index) < 48:
                await anyio.sleep(0.05)
        answer_text(await ask(second, body))
        executed = [len(engine.executed) for engine in fleet.engines.values()]
        assert sorted(executed) == [0, 0, 2]
        await first.close()
        await second.close()
