"""Runs long computations in a worker thread.

The garbage collector is disabled meanwhile: during the validation of 47,000
teams, a full collection visited all intermediate objects and blocked the event
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

    The function must not access objects that the event loop uses.
    """
    call = partial(function, *args, **kwargs)
    return await anyio.to_thread.run_sync(_run, call)


def _run(call: Callable[[], _Result]) -> _Result:
    gc.disable()
    try:
        return call()
    finally:
        gc.enable()
