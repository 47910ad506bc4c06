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

from masticwind.serving.latency_model import EngineLoad, PrefillWork

# A job that has outlived its predicted end by this much is forgotten; its
# entry has died or its end was lost on the way.
STALE_JOB_S: Final = 5.0
# What a reading that takes longer than predicted probably has left.
MIN_REMAINING_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """One part of a request at one endpoint.

    Times are seconds of this process's monotonic clock. `held_tokens` is what
    the part holds at its endpoint, in tokens. `context_tokens` is zero for a part
    that only reads. `request_id` is the same for all parts of a request.
    `event_gap_target_ms` is the longest pause between tokens that is
    still in time, zero for any; `value_tokens` is the work that the caller gets, in
    tokens read, with a token written counting as ten; `first_token_due_at` is the last
    moment at which the first token is in time.
    """

    job_id: int
    request_id: str
    endpoint_id: str
    prefill: PrefillWork
    context_tokens: int
    held_tokens: int
    started_at: float
    first_token_at: float
    end_at: float
    event_gap_target_ms: float = 0
    value_tokens: float = 0
    first_token_due_at: float = math.inf
    decoding: bool = False

    def remaining_prefill(self, now: float) -> PrefillWork:
        """Return what is probably still to be read."""
        if self.decoding:
            return PrefillWork(0, 0)
        span = self.first_token_at - self.started_at
        if span <= 0:
            return self.prefill
        share = (self.first_token_at - now) / span
        return self.prefill.scaled(min(1.0, max(MIN_REMAINING_SHARE, share)))


class LoadTable:
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
            self._own[number] = replace(job, job_id=number)
            numbers.append(number)
        self._note(numbers)
        return tuple(numbers)

    def record_first_token(self, numbers: Iterable[int]) -> None:
        """Note that a request writes: its helpers are free again."""
        for number in numbers:
            job = self._own.get(number)
            if job is None or job.decoding:
                continue
            if job.context_tokens:
                self._own[number] = replace(job, decoding=True)
            else:
                self._own.pop(number)
            self._note((number,))

    def remove(self, numbers: Iterable[int]) -> None:
        """Note that a request has ended."""
        for number in numbers:
            if self._own.pop(number, None) is not None:
                self._note((number,))

    def own_jobs(self) -> tuple[Job, ...]:
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

    def update_entry(
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
            if job.job_id not in known and not job.decoding:
                self._delay(job)
            known[job.job_id] = job
        for number in ended:
            known.pop(number, None)

    def jobs_by_endpoint(self) -> dict[str, list[Job]]:
        """Return all jobs by endpoint."""
        now = self.clock()
        found: dict[str, list[Job]] = {}
        for job in self._own.values():
            found.setdefault(job.endpoint_id, []).append(job)
        for jobs in self._others.values():
            for job in jobs.values():
                if job.end_at + STALE_JOB_S > now:
                    found.setdefault(job.endpoint_id, []).append(job)
        return found

    def _delay(self, part: Job) -> None:
        """Delay what an engine reads by a new part for another engine.

        Engines read the newest of these parts first.
        """
        if part.context_tokens:
            return
        delay_s = part.first_token_at - part.started_at
        for jobs in (self._own, *self._others.values()):
            for number, job in jobs.items():
                if job.endpoint_id != part.endpoint_id or job.decoding:
                    continue
                if job.request_id != part.request_id:
                    jobs[number] = replace(
                        job, first_token_at=job.first_token_at + delay_s
                    )

    def _note(self, numbers: Iterable[int]) -> None:
        self._changed.update(numbers)
        self._news.set()


def engine_load(jobs: Iterable[Job], now: float) -> EngineLoad:
    """Return the state of an engine that works on these jobs."""
    contexts: list[int] = []
    waiting = PrefillWork(0, 0)
    for job in jobs:
        if job.decoding:
            contexts.append(job.context_tokens)
            continue
        waiting = waiting.plus(job.remaining_prefill(now))
    return EngineLoad(tuple(contexts), waiting)
