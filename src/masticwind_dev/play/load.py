"""Arrivals of the users' sheets, and what callers get of a placer.

sheet = Sheet(engines=14, phases=QUIET)
results = play(PromptPlacer, sheet, seed=1)
results['short'].in_aim
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Final, TypeAlias

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.serving.latency_model import full_prefill
from masticwind.serving.load_table import Job, LoadTable
from masticwind.serving.model import (
    Endpoint,
    EngineProfile,
    Service,
    TokenCounts,
)
from masticwind.serving.placement import (
    Deferral,
    Placement,
    PlacementQuery,
    Placer,
)
from masticwind_dev.play.engines import Clock, Played, PlayedEngine

# The engines of the users' sheets.
SPEED: Final = EngineProfile(
    slots=8,
    kv_cache_tokens=450_000,
    step_ms=0.925,
    step_ms_per_request=0.00966,
    step_ms_per_k_context=0.00254,
    prefill_tokens_per_s=256_000,
    prefill_ms_per_m_pairs=0.0917,
    prefill_chunk_tokens=2048,
    steps_per_iteration=46,
    hop_ms=0.1,
    distributed_prefill=True,
)
ENGINE_SERVICE: Final = 'engines'
CALLER_RETRIES: Final = 1

PlacerMaker: TypeAlias = Callable[[random.Random], Placer]


@dataclass(frozen=True, slots=True, kw_only=True)
class Class:
    """A kind of request of the sheets; times in milliseconds."""

    per_s: float
    tokens: float
    spread: float
    most: float
    passes: float
    aim_ms: float
    pause_ms: float
    deadline_ms: float
    worth: float
    late_worth: float

    @property
    def abandon_ms(self) -> float:
        """Return how long a caller waits for the first event."""
        return max(2000, 4 * self.aim_ms, 8 * self.pause_ms)


CLASSES: Final[Mapping[str, Class]] = MappingProxyType(
    {
        'short': Class(
            per_s=15.3,
            tokens=4960,
            spread=0.9,
            most=23_800,
            passes=35,
            aim_ms=300,
            pause_ms=200,
            deadline_ms=10_000,
            worth=1.3,
            late_worth=0.33,
        ),
        'medium': Class(
            per_s=1.11,
            tokens=45_000,
            spread=0.5,
            most=110_000,
            passes=21,
            aim_ms=1500,
            pause_ms=500,
            deadline_ms=10_000,
            worth=3.1,
            late_worth=0.79,
        ),
        'long': Class(
            per_s=0.461,
            tokens=210_000,
            spread=0.55,
            most=1_000_000,
            passes=17,
            aim_ms=3000,
            pause_ms=800,
            deadline_ms=15_000,
            worth=22,
            late_worth=5.4,
        ),
    }
)

# Factors of the classes' rates; a phase lasts `PHASE_S`.
PHASE_S: Final = 9.5
LONGS: Final = MappingProxyType({'short': 0.39, 'medium': 1.3, 'long': 2.6})
SHORTS: Final = MappingProxyType({'short': 2.4, 'medium': 0.5, 'long': 0.05})
EVEN: Final = MappingProxyType({'short': 1.0, 'medium': 1.0, 'long': 1.0})


@dataclass(frozen=True, slots=True, kw_only=True)
class Sheet:
    """A day: the engines, and a load factor for each phase.

    Each of `entries` places for itself and hears of the jobs of the others
    after `news_s`.
    """

    engines: int = 14
    phases: Sequence[Mapping[str, float]] = (LONGS, SHORTS, LONGS)
    load: float = 1.0
    speed: EngineProfile = SPEED
    classes: Mapping[str, Class] = field(default_factory=lambda: CLASSES)
    entries: int = 1
    news_s: float = 0.0


# The users' largest deployment, at the share at which it is played.
LARGE: Final = Sheet(
    engines=112,
    phases=(EVEN,),
    speed=replace(SPEED, slots=5, steps_per_iteration=73),
    classes=MappingProxyType(
        {
            'short': Class(
                per_s=81,
                tokens=4960,
                spread=0.9,
                most=23_800,
                passes=24.3,
                aim_ms=321,
                pause_ms=250,
                deadline_ms=10_684,
                worth=1.4,
                late_worth=0.34,
            ),
            'medium': Class(
                per_s=8.65,
                tokens=45_000,
                spread=0.5,
                most=110_000,
                passes=14.6,
                aim_ms=1532,
                pause_ms=600,
                deadline_ms=10_215,
                worth=2.3,
                late_worth=0.58,
            ),
            'long': Class(
                per_s=1.99,
                tokens=300_000,
                spread=0.55,
                most=1_000_000,
                passes=12.2,
                aim_ms=4055,
                pause_ms=1000,
                deadline_ms=15_207,
                worth=26,
                late_worth=6.6,
            ),
        }
    ),
    entries=68,
    news_s=0.02,
)


@dataclass(slots=True)
class Outcome:
    """What the callers of one class get."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    unserved: int = 0
    owed: float = 0
    earned: float = 0
    first_ms: list[float] = field(default_factory=list)

    @property
    def credit(self) -> float:
        """Return the earned share of what is owed."""
        return self.earned / self.owed if self.owed else 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Arrival:
    name: str
    kind: Class
    tokens: TokenCounts
    passes: int
    started: float
    retries: int = CALLER_RETRIES


class _Boards:
    """The load boards of all entries, with news that take a while."""

    def __init__(self, clock: Clock, sheet: Sheet) -> None:
        self._clock: Final = clock
        self._news_s: Final = sheet.news_s
        self._boards: Final = [
            LoadTable(self._now) for _ in range(sheet.entries)
        ]

    def jobs(self, entry: int) -> dict[str, list[Job]]:
        """Return the jobs that an entry knows of."""
        return self._boards[entry].jobs_by_endpoint()

    def add(self, entry: int, jobs: Iterable[Job]) -> tuple[int, ...]:
        """Add jobs of an entry."""
        numbers = self._boards[entry].add(jobs)
        self._tell(entry, numbers)
        return numbers

    def first_token(self, entry: int, numbers: tuple[int, ...]) -> None:
        """Note that a request writes."""
        self._boards[entry].record_first_token(numbers)
        self._tell(entry, numbers)

    def remove(self, entry: int, numbers: tuple[int, ...]) -> None:
        """Note that a request has ended."""
        self._boards[entry].remove(numbers)
        self._tell(entry, numbers)

    def _tell(self, entry: int, numbers: tuple[int, ...]) -> None:
        if len(self._boards) == 1:
            return
        own = {job.job_id: job for job in self._boards[entry].own_jobs()}
        changed = [own[number] for number in numbers if number in own]
        ended = [number for number in numbers if number not in own]
        self._clock.at(
            self._clock.now + self._news_s,
            lambda: self._hear(entry, changed, ended),
        )

    def _now(self) -> float:
        return self._clock.now

    def _hear(self, entry: int, changed: list[Job], ended: list[int]) -> None:
        for number, board in enumerate(self._boards):
            if number != entry:
                board.update_entry(
                    str(entry), changed, ended, replace_all=False
                )


class _Player:
    """One play of a sheet."""

    def __init__(
        self,
        placers: Sequence[Placer],
        sheet: Sheet,
        seed: int,
    ) -> None:
        self._placers: Final = placers
        self._sheet: Final = sheet
        self._random: Final = random.Random(seed)
        self._clock: Final = Clock()
        self._boards: Final = _Boards(self._clock, sheet)
        self._engines: Final = {
            f'e{number}': PlayedEngine(sheet.speed, self._clock)
            for number in range(sheet.engines)
        }
        self._endpoints: Final = [
            Endpoint(
                identity=name,
                service=ENGINE_SERVICE,
                host='127.0.0.1',
                port=1,
                zone='z',
                slots=sheet.speed.slots,
            )
            for name in self._engines
        ]
        self._requests = 0
        self.outcomes: Final = {name: Outcome() for name in sheet.classes}
        for arrival in self._arrivals(sheet):
            self._schedule(arrival, arrival.started)

    def run(self) -> None:
        """Play to the end."""
        self._clock.run()

    def _arrivals(self, sheet: Sheet) -> list[_Arrival]:
        found: list[_Arrival] = []
        for number, factors in enumerate(sheet.phases):
            for name, kind in sheet.classes.items():
                rate = kind.per_s * factors[name] * sheet.load
                now = number * PHASE_S + self._random.expovariate(rate)
                while now < (number + 1) * PHASE_S:
                    found.append(self._arrival(name, kind, now))
                    now += self._random.expovariate(rate)
        return found

    def _arrival(self, name: str, kind: Class, now: float) -> _Arrival:
        prompt = int(min(kind.most, self._lognormal(kind.tokens, kind.spread)))
        passes = max(1, int(self._lognormal(kind.passes, 0.6)))
        # Callers estimate the length of an answer badly.
        hint = passes * self._random.lognormvariate(0, 0.5)
        tokens = TokenCounts(
            prompt=max(16, prompt),
            max_output=int(
                kind.passes * 2.5 * self._sheet.speed.steps_per_iteration
            ),
            expected_output=int(hint * self._sheet.speed.steps_per_iteration),
        )
        self.outcomes[name].asked += 1
        self.outcomes[name].owed += kind.worth
        return _Arrival(
            name=name,
            kind=kind,
            tokens=tokens,
            passes=passes,
            started=now,
        )

    def _lognormal(self, mean: float, spread: float) -> float:
        return self._random.lognormvariate(
            math.log(mean) - spread**2 / 2, spread
        )

    def _schedule(self, arrival: _Arrival, when: float) -> None:
        entry = self._random.randrange(self._sheet.entries)
        self._clock.at(when, lambda: self._place(arrival, when, entry))

    def _place(self, arrival: _Arrival, arrived: float, entry: int) -> None:
        kind = arrival.kind
        now = self._clock.now
        left_ms = kind.deadline_ms - (now - arrival.started) * MS_PER_S
        waited_ms = (now - arrived) * MS_PER_S
        self._requests += 1
        placement = self._placers[entry].place(
            PlacementQuery(
                request_id=f'r{self._requests}',
                service=Service(
                    name=ENGINE_SERVICE,
                    max_connections=400,
                    engine=self._sheet.speed,
                ),
                candidates=self._endpoints,
                jobs_by_endpoint=self._boards.jobs(entry),
                now=now,
                zone='z',
                tokens=arrival.tokens,
                remaining_ms=left_ms,
                first_event_target_ms=max(1.0, kind.aim_ms - waited_ms),
                event_gap_target_ms=kind.pause_ms,
            )
        )
        if isinstance(placement, Deferral):
            self._clock.at(
                now + placement.wait_ms / MS_PER_S,
                lambda: self._place(arrival, arrived, entry),
            )
            return
        if isinstance(placement, Failure):
            self._refuse(arrival, placement)
            return
        self._start(arrival, placement, entry)

    def _refuse(self, arrival: _Arrival, failure: Failure) -> None:
        now = self._clock.now
        wait_s = failure.retry_after_ms / MS_PER_S
        left_s = arrival.kind.deadline_ms / MS_PER_S - (now - arrival.started)
        if not arrival.retries or wait_s > left_s / 3:
            self.outcomes[arrival.name].unserved += 1
            return
        again = _Arrival(
            name=arrival.name,
            kind=arrival.kind,
            tokens=arrival.tokens,
            passes=arrival.passes,
            started=arrival.started,
            retries=arrival.retries - 1,
        )
        self._schedule(again, now + wait_s)

    def _start(
        self,
        arrival: _Arrival,
        placement: Placement,
        entry: int,
    ) -> None:
        numbers = self._boards.add(entry, placement.jobs)
        lead = self._engines[placement.lead.identity]
        parts = len(placement.helpers) + 1
        reading = full_prefill(arrival.tokens.prompt).scaled(1 / parts)
        played = Played(
            lead_engine=lead,
            context=arrival.tokens.prompt,
            passes_left=arrival.passes,
            parts_left=parts,
            arrived=arrival.started,
            on_first=lambda: self._boards.first_token(entry, numbers),
            on_end=lambda: self._ended(arrival, played, entry, numbers),
        )
        lead.lead(played, reading)
        for share in placement.helpers:
            self._engines[share.endpoint.identity].help(played, reading)

    def _ended(
        self,
        arrival: _Arrival,
        played: Played,
        entry: int,
        numbers: tuple[int, ...],
    ) -> None:
        self._boards.remove(entry, numbers)
        kind = arrival.kind
        outcome = self.outcomes[arrival.name]
        first_ms = (played.first_at - arrival.started) * MS_PER_S
        whole_ms = (played.ended_at - arrival.started) * MS_PER_S
        pause_ms = played.longest_pause_s * MS_PER_S
        outcome.first_ms.append(first_ms)
        if first_ms > kind.abandon_ms or whole_ms > kind.deadline_ms:
            outcome.unserved += 1
            return
        if first_ms <= kind.aim_ms and pause_ms <= kind.pause_ms:
            outcome.in_aim += 1
            outcome.earned += kind.worth
            return
        outcome.late += 1
        outcome.earned += kind.late_worth


def play(make: PlacerMaker, sheet: Sheet, seed: int) -> dict[str, Outcome]:
    """Play a sheet and return what the callers of each class get.

    `make` returns the placer of one entry, which draws from the given source
    only: a sheet and a seed give the same outcome each time.
    """
    draws = random.Random(seed)
    placers = [
        make(random.Random(draws.random())) for _ in range(sheet.entries)
    ]
    player = _Player(placers, sheet, seed)
    player.run()
    return player.outcomes
