"""What the endpoints are working on, as far as the entries know.

Every entry adds its own jobs and learns the jobs of the others. A job is
one part of a request at one endpoint: the leading one reads and writes, a
helper only reads.
"""

import itertools
import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Final

import anyio

from masticwind.serving.passes import EngineState, Reading

# A job that has outlived its predicted end by this much is forgotten; its
# entry has died or its end was lost on the way.
OVERDUE_S: Final = 5.0
# What a reading that takes longer than predicted probably has left.
OVERDUE_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """One part of a request at one endpoint.

    Times are seconds of this process's monotonic clock. `memory` is what
    the part holds at its endpoint, in tokens. `context` is zero for a part
    that only reads. `request` is the same for all parts of a request.
    `pause_ms` is the longest pause between tokens that is
    still in time, zero for any; `worth` is the work that the caller gets, in
    tokens read, with a token written counting as ten; `due_at` is the last
    moment at which the first token is in time.
    """

    number: int
    request: str
    endpoint: str
    reading: Reading
    context: int
    memory: int
    started: float
    first_at: float
    end_at: float
    pause_ms: float = 0
    worth: float = 0
    due_at: float = math.inf
    writing: bool = False

    def left(self, now: float) -> Reading:
        """Return what is probably still to be read."""
        if self.writing:
            return Reading(0, 0)
        span = self.first_at - self.started
        if span <= 0:
            return self.reading
        share = (self.first_at - now) / span
        return self.reading.part(min(1.0, max(OVERDUE_SHARE, share)))


class LoadBoard:
    """Jobs by endpoint, of this entry and of the others."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock: Final = clock
        self._numbers: Final = itertools.count(1)
        self._own: Final[dict[int, Job]] = {}
        self._others: Final[dict[str, dict[int, Job]]] = {}
        self._changed: Final[set[int]] = set()
        self._news = anyio.Event()

    def add(self, jobs: Iterable[Job]) -> tuple[int, ...]:
        """Add jobs of this entry and return their numbers."""
        numbers: list[int] = []
        for job in jobs:
            number = next(self._numbers)
            self._delay(job)
            self._own[number] = replace(job, number=number)
            numbers.append(number)
        self._note(numbers)
        return tuple(numbers)

    def first_token(self, numbers: Iterable[int]) -> None:
        """Note that a request writes: its helpers are free again."""
        for number in numbers:
            job = self._own.get(number)
            if job is None or job.writing:
                continue
            if job.context:
                self._own[number] = replace(job, writing=True)
            else:
                self._own.pop(number)
            self._note((number,))

    def remove(self, numbers: Iterable[int]) -> None:
        """Note that a request has ended."""
        for number in numbers:
            if self._own.pop(number, None) is not None:
                self._note((number,))

    def own(self) -> tuple[Job, ...]:
        """Return the jobs of this entry."""
        return tuple(self._own.values())

    async def wait_for_changes(self) -> tuple[list[Job], list[int]]:
        """Return jobs of this entry that are new or changed, and the numbers
        of those that ended, since the last call.
        """
        await self._news.wait()
        self._news = anyio.Event()
        changed: list[Job] = []
        ended: list[int] = []
        for number in self._changed:
            job = self._own.get(number)
            if job is None:
                ended.append(number)
                continue
            changed.append(job)
        self._changed.clear()
        return changed, ended

    def update_others(
        self,
        entry: str,
        jobs: Iterable[Job],
        ended: Iterable[int],
        *,
        whole: bool,
    ) -> None:
        """Take over news of another entry; `whole` replaces all its jobs."""
        known = self._others.setdefault(entry, {})
        if whole:
            known.clear()
        for job in jobs:
            if job.number not in known and not job.writing:
                self._delay(job)
            known[job.number] = job
        for number in ended:
            known.pop(number, None)

    def jobs(self) -> dict[str, list[Job]]:
        """Return all jobs by endpoint."""
        now = self.clock()
        found: dict[str, list[Job]] = {}
        for job in self._own.values():
            found.setdefault(job.endpoint, []).append(job)
        for jobs in self._others.values():
            for job in jobs.values():
                if job.end_at + OVERDUE_S > now:
                    found.setdefault(job.endpoint, []).append(job)
        return found

    def _delay(self, part: Job) -> None:
        """Delay what an engine reads by a new part for another engine.

        Engines read the newest of these parts first.
        """
        if part.context:
            return
        delay_s = part.first_at - part.started
        for jobs in (self._own, *self._others.values()):
            for number, job in jobs.items():
                if job.endpoint != part.endpoint or job.writing:
                    continue
                if job.request != part.request:
                    jobs[number] = replace(job, first_at=job.first_at + delay_s)

    def _note(self, numbers: Iterable[int]) -> None:
        self._changed.update(numbers)
        self._news.set()


def state_of(jobs: Iterable[Job], now: float) -> EngineState:
    """Return the state of an engine that works on these jobs."""
    contexts: list[int] = []
    waiting = Reading(0, 0)
    for job in jobs:
        if job.writing:
            contexts.append(job.context)
            continue
        waiting = waiting.plus(job.left(now))
    return EngineState(tuple(contexts), waiting)
