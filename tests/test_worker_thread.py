"""Computations that run in worker threads."""

import gc
import threading

import anyio
import pytest

from masticwind.worker_thread import run_in_worker_thread

pytestmark = pytest.mark.anyio

TIMEOUT_S = 5.0


async def test_end_of_one_computation_leaves_collection_disabled() -> None:
    """Guards against full collections while another computation runs."""
    has_started = threading.Event()
    may_end = threading.Event()
    collects: list[bool] = []

    def compute() -> None:
        has_started.set()
        may_end.wait(TIMEOUT_S)
        collects.append(gc.isenabled())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_in_worker_thread, compute)
        await anyio.to_thread.run_sync(has_started.wait, TIMEOUT_S)
        await run_in_worker_thread(int)
        may_end.set()
    assert collects == [False]
    assert gc.isenabled()
