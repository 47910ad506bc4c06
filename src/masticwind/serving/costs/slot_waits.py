"""The wait for a free slot of an engine whose slots are all occupied.

A job of age a and predicted duration T ends within w with the probability
1 - S((a + w) / T) / S(a / T), where S is the survival table of its kind. The
k-th slot is free when these probabilities sum to k - 0.3, which is about the
median of a Poisson count. The times of jobs that end are independent, so with
many jobs the first slot is free much sooner than any single job ends.
"""

from collections.abc import Sequence
from typing import Final, TypeAlias

from masticwind.serving.costs.ratios import (
    LAST_POINT,
    MAX_TABLE_RATIO,
    POINTS_PER_UNIT,
    SurvivalTable,
)
from masticwind.serving.placement.load_table import Job

# What a count that is expected to be k lacks to its median.
MEDIAN_OFFSET: Final = 0.3
# Shorter predictions are no more accurate than this.
MIN_PREDICTED_S: Final = 0.05
# A job that has taken this multiple of its prediction counts as no older, so
# that the table covers the time after it.
MAX_AGE_POINT: Final[float] = (MAX_TABLE_RATIO - 3) * POINTS_PER_UNIT
# The first wait that is tried, the factor to the next one, and the longest.
# No request waits longer for its first event.
FIRST_WAIT_S: Final = 0.02
WAIT_FACTOR: Final = 3.0
MAX_WAIT_S: Final = 30.0
# Steps of the search between two waits.
REFINEMENTS: Final = 2

# The survival table of a job, its age as a position in it, the positions that
# it advances in a second, and the share of jobs that get to its age.
RunningJob: TypeAlias = tuple[SurvivalTable, float, float, float]


def running_job(job: Job, table: SurvivalTable, now: float) -> RunningJob:
    """Return what the wait for a slot depends on.

    Runs a hundred times in a placement, so it calls no other functions.
    """
    predicted_s = job.end_at - job.started_at
    if predicted_s < MIN_PREDICTED_S:
        predicted_s = MIN_PREDICTED_S
    points_per_s = POINTS_PER_UNIT / predicted_s
    position = (now - job.started_at) * points_per_s
    if position < 0:
        position = 0.0
    elif position > MAX_AGE_POINT:
        position = MAX_AGE_POINT
    number = int(position)
    low = table[number]
    survival = low + (table[number + 1] - low) * (position - number)
    return table, position, points_per_s, survival


def wait_for_ends_s(jobs: Sequence[RunningJob], count: int) -> float:
    """Return the time until `count` of the jobs have ended."""
    needed = count - MEDIAN_OFFSET
    low_s, low_ends = 0.0, 0.0
    high_s = FIRST_WAIT_S
    high_ends = _expected_ends(jobs, high_s)
    while high_ends < needed:
        if high_s > MAX_WAIT_S:
            return MAX_WAIT_S
        low_s, low_ends = high_s, high_ends
        high_s *= WAIT_FACTOR
        high_ends = _expected_ends(jobs, high_s)
    for _ in range(REFINEMENTS):
        middle_s = _interpolate(needed, low_s, low_ends, high_s, high_ends)
        middle_ends = _expected_ends(jobs, middle_s)
        if middle_ends < needed:
            low_s, low_ends = middle_s, middle_ends
        else:
            high_s, high_ends = middle_s, middle_ends
    return _interpolate(needed, low_s, low_ends, high_s, high_ends)


def _expected_ends(jobs: Sequence[RunningJob], wait_s: float) -> float:
    """Return how many jobs are expected to end within a time."""
    ends = 0.0
    for table, position, points_per_s, survival in jobs:
        reached = position + points_per_s * wait_s
        if reached >= LAST_POINT:
            ends += 1
            continue
        # Written out, as this runs hundreds of times in a placement.
        number = int(reached)
        low = table[number]
        exceeding = low + (table[number + 1] - low) * (reached - number)
        ends += 1 - exceeding / survival
    return ends


def _interpolate(
    needed: float,
    low_s: float,
    low_ends: float,
    high_s: float,
    high_ends: float,
) -> float:
    if high_ends <= low_ends:
        return high_s
    share = (needed - low_ends) / (high_ends - low_ends)
    return low_s + (high_s - low_s) * share
