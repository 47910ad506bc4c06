"""Runs long computations beside the event loop.

The garbage collector is paused meanwhile. A full collection during the
check of 47,000 teams visited all intermediate objects, and stalled the event
loop for up to 126 ms.
"""

import gc
from collections.abc import Callable
from functools import partial
from typing import ParamSpec, TypeVar

import anyio

_Params = ParamSpec('_Params')
_Result = TypeVar('_Result')


async def run_in_worker_thread(
    function: Callable[_Params, _Result],
    *args: _Params.args,
    **kwargs: _Params.kwargs,
) -> _Result:
    """Return the result of a function that runs in a worker thread.

    The function must not touch what belongs to the event loop.
    """
    call = partial(function, *args, **kwargs)
    return await anyio.to_thread.run_sync(_run, call)


def _run(call: Callable[[], _Result]) -> _Result:
    gc.disable()
    try:
        return call()
    finally:
        gc.enable()
