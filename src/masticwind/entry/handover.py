"""Runs the attempts of one request and decides when one replaces another.

An attempt whose agent is silent is not ended for that: the next attempt runs
beside it, and the first one that has something to answer ends the others. So a
request is not lost if no other agent takes it and the silent one goes on.

    handover = Handover(source)
    outcome = await handover.run()
"""

import abc
from collections import deque
from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

import anyio
from anyio.abc import TaskGroup

from masticwind.errors import Failure

_Result = TypeVar('_Result')


class Turn(abc.ABC):
    """What an attempt tells the other attempts of its request."""

    @abc.abstractmethod
    def report_silence(self) -> None:
        """Report that the agent has been silent for a while."""

    @abc.abstractmethod
    def report_sign_of_life(self) -> None:
        """Report that the agent is no longer silent."""

    @abc.abstractmethod
    async def take_over(self) -> None:
        """End the other attempts, as this one has begun to answer.

        It does not return if another attempt has taken over.
        """


class OnlyTurn(Turn):
    """The turn of an attempt that no other attempt replaces."""

    def report_silence(self) -> None:
        """Nothing else can take the request."""

    def report_sign_of_life(self) -> None:
        """Nothing else runs the request."""

    async def take_over(self) -> None:
        """Nothing else runs the request."""


class PlannedAttempt(abc.ABC, Generic[_Result]):
    """An attempt that has an agent and has not been sent."""

    @abc.abstractmethod
    async def run(self, turn: Turn) -> _Result | Failure:
        """Run the attempt; it is ended by cancellation."""


class AttemptSource(abc.ABC, Generic[_Result]):
    """Chooses the agents of a request's attempts."""

    @abc.abstractmethod
    def plan_next(self) -> PlannedAttempt[_Result] | None:
        """Choose an agent for another attempt; none if no agent takes it."""

    @abc.abstractmethod
    def record_failure(
        self, attempt: PlannedAttempt[_Result], failure: Failure
    ) -> bool:
        """Record a failed attempt; return whether another may follow."""


@dataclass(slots=True, eq=False)
class _RunningAttempt(Turn, Generic[_Result]):
    attempt: PlannedAttempt[_Result]
    handover: 'Handover[_Result]'
    silent: bool = False
    outcome: _Result | Failure | None = None
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def report_silence(self) -> None:
        self.silent = True
        self.handover.notify(self)

    def report_sign_of_life(self) -> None:
        self.silent = False

    async def take_over(self) -> None:
        if not self.handover.give_to(self):
            await anyio.sleep_forever()

    async def run(self) -> None:
        with self.scope:
            self.outcome = await self.attempt.run(self)
            self.handover.notify(self)


class Handover(Generic[_Result]):
    """The running attempts of one request."""

    def __init__(self, source: AttemptSource[_Result]) -> None:
        self._source: Final = source
        self._running: list[_RunningAttempt[_Result]] = []
        self._events: Final = deque[_RunningAttempt[_Result]]()
        self._event_added = anyio.Event()
        self._owner: _RunningAttempt[_Result] | None = None

    async def run(self) -> _Result | None:
        """Run attempts until one has a result; none if all have failed."""
        async with anyio.create_task_group() as tasks:
            outcome = await self._run_in(tasks)
            tasks.cancel_scope.cancel()
        return outcome

    def notify(self, changed: _RunningAttempt[_Result]) -> None:
        """Record that an attempt has ended or is silent."""
        self._events.append(changed)
        self._event_added.set()

    def give_to(self, owner: _RunningAttempt[_Result]) -> bool:
        """End all other attempts; false if another one owns the request."""
        if self._owner is None:
            self._owner = owner
            for other in self._running:
                if other is not owner:
                    other.scope.cancel()
            self._running = [owner]
        return self._owner is owner

    async def _run_in(self, tasks: TaskGroup) -> _Result | None:
        self._start_next(tasks)
        while self._running:
            changed = await self._next_event()
            outcome = changed.outcome
            if outcome is not None and not isinstance(outcome, Failure):
                return outcome
            if isinstance(outcome, Failure):
                self._running.remove(changed)
                if not self._source.record_failure(changed.attempt, outcome):
                    break
            if all(attempt.silent for attempt in self._running):
                self._start_next(tasks)
        return None

    async def _next_event(self) -> _RunningAttempt[_Result]:
        while True:
            while self._events:
                changed = self._events.popleft()
                if changed in self._running:
                    return changed
            self._event_added = anyio.Event()
            await self._event_added.wait()

    def _start_next(self, tasks: TaskGroup) -> None:
        if self._owner in self._running:
            return
        planned = self._source.plan_next()
        if planned is None:
            return
        started = _RunningAttempt(planned, self)
        self._running.append(started)
        tasks.start_soon(started.run)
