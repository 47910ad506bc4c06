"""The jobs that run on the endpoints, as far as this entry knows.

Every entry adds its own jobs and receives those of the others. A job is the
part of a request that one endpoint runs: the lead endpoint prefills and
decodes, a helper only prefills.
"""

import abc
import itertools
import math
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Final

import anyio

from masticwind.serving.costs.latency_model import EngineLoad, PrefillWork
from masticwind.serving.model import LOWEST_PRIORITY

# A job of another entry is ignored this long after its predicted end: the entry
# has died, or the message about the end of the job was lost.
STALE_JOB_S: Final = 5.0
# Share of a prefill that is assumed to remain if it exceeds its predicted time.
MIN_REMAINING_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """The part of a request that runs on one endpoint.

    Times are seconds of this process's monotonic clock. All jobs of a request
    have its `request_id`. `held_tokens` is the KV cache that the job holds.
    `context_tokens` is zero for a helper, which only prefills.
    `event_gap_target_ms` is the longest gap between tokens that meets the
    target; zero means that there is no target. `value_tokens` is the value of
    the request in prompt tokens; an output token counts as ten. A first token
    after `first_token_due_at` is late. `route_key` and `team_key` are short
    keys of the route and the team, zero if they are unknown. `priority` is 0
    for the most urgent requests. The predicted times include `speed_factor` of
    the endpoint and an output of `expected_output` tokens, zero if that is
    unknown; the caller's estimate was multiplied by `output_factor`.
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
    route_key: int = 0
    team_key: int = 0
    priority: int = LOWEST_PRIORITY
    speed_factor: float = 1.0
    output_factor: float = 1.0
    expected_output: int = 0

    def remaining_prefill(self, now: float) -> PrefillWork:
        """Estimate the part of the prefill that has not run yet."""
        if self.decoding:
            return PrefillWork(0, 0)
        duration_s = self.first_token_at - self.started_at
        if duration_s <= 0:
            return self.prefill
        share = (self.first_token_at - now) / duration_s
        return self.prefill.scaled(min(1.0, max(MIN_REMAINING_SHARE, share)))


class JobObserver(abc.ABC):
    """Is told of the jobs of all entries, as far as their messages tell.

    `entry` is the name of another entry, or '' for this one; `now` is the time
    of the load table's clock.
    """

    @abc.abstractmethod
    def begin(self, entry: str, job: Job) -> None:
        """Record a job that is new here; it may decode already."""

    @abc.abstractmethod
    def record_first_token(self, entry: str, job: Job, now: float) -> None:
        """Record that a job has begun to decode."""

    @abc.abstractmethod
    def end(
        self, entry: str, job: Job, now: float, output_tokens: int | None
    ) -> None:
        """Record that a job is gone.

        `output_tokens` is None if its request failed, or if the message about
        its end was lost, and zero if the request was served with an output of
        unknown length.
        """


class JobObservers(JobObserver):
    """Passes on what it is told to any number of observers."""

    def __init__(self) -> None:
        self._observers: Final[list[JobObserver]] = []

    def add(self, observer: JobObserver) -> None:
        """Add an observer, which is told of what happens from now on."""
        self._observers.append(observer)

    def begin(self, entry: str, job: Job) -> None:
        """Tell all observers of a new job."""
        for observer in self._observers:
            observer.begin(entry, job)

    def record_first_token(self, entry: str, job: Job, now: float) -> None:
        """Tell all observers of a job that decodes."""
        for observer in self._observers:
            observer.record_first_token(entry, job, now)

    def end(
        self, entry: str, job: Job, now: float, output_tokens: int | None
    ) -> None:
        """Tell all observers of a job that is gone."""
        for observer in self._observers:
            observer.end(entry, job, now, output_tokens)


NO_OUTPUTS: Final[Mapping[int, int]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class LoadChanges:
    """The jobs that are new or changed, and the ids of ended ones.

    `outputs` has the number of output tokens of each ended one whose request
    was served, zero if it is unknown.
    """

    jobs: list[Job]
    ended_ids: list[int]
    outputs: dict[int, int] = field(default_factory=dict)


class LoadTable:
    """Jobs of this entry and of all other entries."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        observer: JobObserver | None = None,
    ) -> None:
        self.clock: Final = clock
        self.observers: Final = JobObservers()
        if observer is not None:
            self.observers.add(observer)
        self._ids: Final = itertools.count(1)
        self._own_jobs: Final[dict[int, Job]] = {}
        self._jobs_by_entry: Final[dict[str, dict[int, Job]]] = {}
        self._changed_ids: Final[set[int]] = set()
        self._outputs: Final[dict[int, int]] = {}
        self._change_event = anyio.Event()

    def add(self, jobs: Iterable[Job]) -> tuple[int, ...]:
        """Add jobs of this entry and return their ids."""
        job_ids: list[int] = []
        for job in jobs:
            job_id = next(self._ids)
            self._delay_queued_prefills(job)
            self._own_jobs[job_id] = replace(job, job_id=job_id)
            self.observers.begin('', self._own_jobs[job_id])
            job_ids.append(job_id)
        self._mark_changed(job_ids)
        return tuple(job_ids)

    def record_first_token(self, job_ids: Iterable[int]) -> None:
        """Mark the lead job of a request as decoding and remove its helpers."""
        for job_id in job_ids:
            job = self._own_jobs.get(job_id)
            if job is None or job.decoding:
                continue
            if job.context_tokens:
                self._own_jobs[job_id] = replace(job, decoding=True)
                self.observers.record_first_token('', job, self.clock())
            else:
                self._own_jobs.pop(job_id)
                self.observers.end('', job, self.clock(), None)
            self._mark_changed((job_id,))

    def remove(
        self, job_ids: Iterable[int], output_tokens: int | None = None
    ) -> None:
        """Remove the jobs of a request that has ended.

        `output_tokens` is None unless its whole answer was passed on, and zero
        if the length of its output is unknown.
        """
        for job_id in job_ids:
            job = self._own_jobs.pop(job_id, None)
            if job is None:
                continue
            if output_tokens is not None:
                self._outputs[job_id] = output_tokens
            self._mark_changed((job_id,))
            self.observers.end('', job, self.clock(), output_tokens)

    def own_jobs(self) -> tuple[Job, ...]:
        """Return the jobs of this entry."""
        return tuple(self._own_jobs.values())

    async def wait_for_changes(self) -> LoadChanges:
        """Wait for changes to this entry's jobs since the last call."""
        await self._change_event.wait()
        self._change_event = anyio.Event()
        changed: list[Job] = []
        ended_ids: list[int] = []
        for job_id in self._changed_ids:
            job = self._own_jobs.get(job_id)
            if job is None:
                ended_ids.append(job_id)
                continue
            changed.append(job)
        outputs = dict(self._outputs)
        self._changed_ids.clear()
        self._outputs.clear()
        return LoadChanges(changed, ended_ids, outputs)

    def update_entry(
        self,
        entry: str,
        jobs: Iterable[Job],
        ended_ids: Iterable[int],
        *,
        replace_all: bool,
        outputs: Mapping[int, int] = NO_OUTPUTS,
    ) -> None:
        """Apply an update of another entry.

        With `replace_all`, jobs that the update does not name are removed.
        `outputs` is as in `LoadChanges`.
        """
        entry_jobs = self._jobs_by_entry.setdefault(entry, {})
        known_jobs = dict(entry_jobs)
        if replace_all:
            entry_jobs.clear()
        for job in jobs:
            if job.job_id not in entry_jobs and not job.decoding:
                self._delay_queued_prefills(job)
            entry_jobs[job.job_id] = job
        for job_id in ended_ids:
            entry_jobs.pop(job_id, None)
        self._observe_update(entry, known_jobs, outputs)

    def jobs_by_endpoint(self) -> dict[str, list[Job]]:
        """Return all jobs by the identity of their endpoint."""
        now = self.clock()
        by_endpoint: dict[str, list[Job]] = {}
        for job in self._own_jobs.values():
            by_endpoint.setdefault(job.endpoint_id, []).append(job)
        for jobs in self._jobs_by_entry.values():
            for job in jobs.values():
                if job.end_at + STALE_JOB_S > now:
                    by_endpoint.setdefault(job.endpoint_id, []).append(job)
        return by_endpoint

    def _observe_update(
        self,
        entry: str,
        known_jobs: Mapping[int, Job],
        outputs: Mapping[int, int],
    ) -> None:
        """Tell the observer what an update has changed."""
        now = self.clock()
        entry_jobs = self._jobs_by_entry[entry]
        for job_id, job in entry_jobs.items():
            known = known_jobs.get(job_id)
            if known is None:
                self.observers.begin(entry, job)
            elif job.decoding and not known.decoding:
                # A full update repeats jobs that have been decoding already.
                self.observers.record_first_token(entry, job, now)
        for job_id, known in known_jobs.items():
            if job_id not in entry_jobs:
                self.observers.end(entry, known, now, outputs.get(job_id))

    def _delay_queued_prefills(self, helper_job: Job) -> None:
        """Delay the other prefills of an engine by a new helper job.

        Engines run the newest helper job first.
        """
        if helper_job.context_tokens:
            return
        delay_s = helper_job.first_token_at - helper_job.started_at
        for jobs in (self._own_jobs, *self._jobs_by_entry.values()):
            for job_id, job in jobs.items():
                if job.endpoint_id != helper_job.endpoint_id or job.decoding:
                    continue
                if job.request_id != helper_job.request_id:
                    jobs[job_id] = replace(
                        job, first_token_at=job.first_token_at + delay_s
                    )

    def _mark_changed(self, job_ids: Iterable[int]) -> None:
        self._changed_ids.update(job_ids)
        self._change_event.set()


def engine_load(jobs: Iterable[Job], now: float) -> EngineLoad:
    """Return the load that these jobs put on an engine."""
    context_tokens: list[int] = []
    pending_prefill = PrefillWork(0, 0)
    for job in jobs:
        if job.decoding:
            context_tokens.append(job.context_tokens)
            continue
        pending_prefill = pending_prefill.plus(job.remaining_prefill(now))
    return EngineLoad(tuple(context_tokens), pending_prefill)
