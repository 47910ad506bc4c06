"""Runs long computations in a worker thread.

The garbage collector is disabled meanwhile: during the validation of 47,000
teams, a full collection visited all intermediate objects and blocked the event
loop for up to 126 ms.
"""

import gc
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Final, ParamSpec, TypeVar

import anyio

_Params = ParamSpec('_Params')
_Result = TypeVar('_Result')


class _CollectionPause:
    """Disables garbage collection until the last of its users has left."""

    def __init__(self) -> None:
        self._lock: Final = threading.Lock()
        self._users = 0

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Keep collection disabled in the body of the `with` statement."""
        with self._lock:
            self._users += 1
            gc.disable()
        try:
            yield
        finally:
            with self._lock:
                self._users -= 1
                if not self._users:
                    gc.enable()


_PAUSE: Final = _CollectionPause()


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
    with _PAUSE.hold():
        return call()
