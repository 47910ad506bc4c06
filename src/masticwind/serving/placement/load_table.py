"""The jobs that run on the endpoints, as far as this entry knows.

Every entry adds its own jobs and receives those of the others. A job is the
part of a request that one endpoint runs: the lead endpoint prefills and
decodes, a helper only prefills.
"""

import itertools
import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
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
    for the most urgent requests.
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

    def remaining_prefill(self, now: float) -> PrefillWork:
        """Estimate the part of the prefill that has not run yet."""
        if self.decoding:
            return PrefillWork(0, 0)
        duration_s = self.first_token_at - self.started_at
        if duration_s <= 0:
            return self.prefill
        share = (self.first_token_at - now) / duration_s
        return self.prefill.scaled(min(1.0, max(MIN_REMAINING_SHARE, share)))


class LoadTable:
    """Jobs of this entry and of all other entries."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock: Final = clock
        # Called with the identity of an endpoint when a job of another entry
        # begins to decode there.
        self.on_decoding: Callable[[str], None] = _ignore_decoding
        self._ids: Final = itertools.count(1)
        self._own_jobs: Final[dict[int, Job]] = {}
        self._jobs_by_entry: Final[dict[str, dict[int, Job]]] = {}
        self._changed_ids: Final[set[int]] = set()
        self._change_event = anyio.Event()

    def add(self, jobs: Iterable[Job]) -> tuple[int, ...]:
        """Add jobs of this entry and return their ids."""
        job_ids: list[int] = []
        for job in jobs:
            job_id = next(self._ids)
            self._delay_queued_prefills(job)
            self._own_jobs[job_id] = replace(job, job_id=job_id)
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
            else:
                self._own_jobs.pop(job_id)
            self._mark_changed((job_id,))

    def remove(self, job_ids: Iterable[int]) -> None:
        """Remove the jobs of a request that has ended."""
        for job_id in job_ids:
            if self._own_jobs.pop(job_id, None) is not None:
                self._mark_changed((job_id,))

    def own_jobs(self) -> tuple[Job, ...]:
        """Return the jobs of this entry."""
        return tuple(self._own_jobs.values())

    async def wait_for_changes(self) -> tuple[list[Job], list[int]]:
        """Wait for changes to this entry's jobs since the last call.

        Returns the jobs that are new or changed, and the ids of ended ones.
        """
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
        self._changed_ids.clear()
        return changed, ended_ids

    def update_entry(
        self,
        entry: str,
        jobs: Iterable[Job],
        ended_ids: Iterable[int],
        *,
        replace_all: bool,
    ) -> None:
        """Apply an update of another entry.

        With `replace_all`, jobs that the update does not name are removed.
        """
        entry_jobs = self._jobs_by_entry.setdefault(entry, {})
        known_jobs = entry_jobs
        if replace_all:
            known_jobs = entry_jobs.copy()
            entry_jobs.clear()
        for job in jobs:
            if job.job_id not in entry_jobs and not job.decoding:
                self._delay_queued_prefills(job)
            known = known_jobs.get(job.job_id)
            # A full update repeats jobs that have been decoding for a while.
            if job.decoding and known is not None and not known.decoding:
                self.on_decoding(job.endpoint_id)
            entry_jobs[job.job_id] = job
        for job_id in ended_ids:
            entry_jobs.pop(job_id, None)

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


def _ignore_decoding(_endpoint_id: str) -> None:
    """Do nothing; the listener until another one is set."""


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
