"""Simulates the users' workloads on a placer.

The requests of a workload arrive at random, and the engines are simulated.

    workload = Workload(engine_count=14, load_factor=0.5)
    results = simulate(PromptPlacer, workload, seed=1)
    results['short'].on_target
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Final, TypeAlias

from masticwind.budget import MS_PER_S
from masticwind.errors import Failure
from masticwind.serving.admission.return_promises import PromiseBook
from masticwind.serving.admission.standing import Standing
from masticwind.serving.costs.latency_model import full_prefill
from masticwind.serving.costs.learned import LearnedCostModel
from masticwind.serving.costs.model import STATIC_COSTS, CostModel
from masticwind.serving.endpoint_limits import (
    EndpointLimits,
    PermitAuthorities,
)
from masticwind.serving.endpoint_notices import EndpointNotices
from masticwind.serving.fingerprints import short_key
from masticwind.serving.interfaces import EndpointNotice
from masticwind.serving.model import (
    Endpoint,
    EngineProfile,
    Service,
    TokenCounts,
)
from masticwind.serving.placement.load_table import (
    Job,
    LoadTable,
)
from masticwind.serving.placement.placer import (
    Deferral,
    Placement,
    PlacementQuery,
    Placer,
)
from masticwind.serving.settings import (
    DirectSettings,
    LiveSettings,
    OverloadPolicyName,
    StoreSettings,
)
from masticwind_dev.play.engines import (
    SimulatedEngine,
    SimulatedRequest,
    SimulationClock,
)
from masticwind_dev.play.returns import exchanged_books, fair_placers

# The engines of the users' workloads.
ENGINE_PROFILE: Final = EngineProfile(
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
ENTRY_SETTINGS: Final = DirectSettings(
    node='entry',
    zone='z',
    listen='127.0.0.1:0',
    ready='127.0.0.1:0',
    store=StoreSettings(address='127.0.0.1:1'),
)
MAX_CALLER_RETRIES: Final = 1

PlacerFactory: TypeAlias = Callable[[random.Random], Placer]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """A class of requests of a workload.

    The prompt tokens and the iterations of a request are drawn from log-normal
    distributions. A request that meets its targets earns `value`, and a late
    one `late_value`. All requests of a class are of one team.
    """

    requests_per_s: float
    mean_prompt_tokens: float
    prompt_sigma: float
    max_prompt_tokens: float
    mean_iterations: float
    first_event_target_ms: float
    event_gap_target_ms: float
    deadline_ms: float
    value: float
    late_value: float
    priority: int = 0
    team: str = ''

    @property
    def abandon_ms(self) -> float:
        """Time to the first event after which the caller leaves a stream."""
        return max(
            2000, 4 * self.first_event_target_ms, 8 * self.event_gap_target_ms
        )


REQUEST_CLASSES: Final[Mapping[str, RequestClass]] = MappingProxyType(
    {
        'short': RequestClass(
            requests_per_s=15.3,
            mean_prompt_tokens=4960,
            prompt_sigma=0.9,
            max_prompt_tokens=23_800,
            mean_iterations=35,
            first_event_target_ms=300,
            event_gap_target_ms=200,
            deadline_ms=10_000,
            value=1.3,
            late_value=0.33,
        ),
        'medium': RequestClass(
            requests_per_s=1.11,
            mean_prompt_tokens=45_000,
            prompt_sigma=0.5,
            max_prompt_tokens=110_000,
            mean_iterations=21,
            first_event_target_ms=1500,
            event_gap_target_ms=500,
            deadline_ms=10_000,
            value=3.1,
            late_value=0.79,
        ),
        'long': RequestClass(
            requests_per_s=0.461,
            mean_prompt_tokens=210_000,
            prompt_sigma=0.55,
            max_prompt_tokens=1_000_000,
            mean_iterations=17,
            first_event_target_ms=3000,
            event_gap_target_ms=800,
            deadline_ms=15_000,
            value=22,
            late_value=5.4,
        ),
    }
)

# Duration of each phase of a workload, with its own factors of the rates.
PHASE_DURATION_S: Final = 9.5
LONG_HEAVY_RATE_FACTORS: Final = MappingProxyType(
    {'short': 0.39, 'medium': 1.3, 'long': 2.6}
)
SHORT_HEAVY_RATE_FACTORS: Final = MappingProxyType(
    {'short': 2.4, 'medium': 0.5, 'long': 0.05}
)
EQUAL_RATE_FACTORS: Final = MappingProxyType(
    {'short': 1.0, 'medium': 1.0, 'long': 1.0}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """The engines, and the factors of the request rates in each phase.

    Each entry places its requests on its own. Its load table receives changes
    to the jobs of the other entries after `update_delay_s`. The first engines
    limit their requests to `limits_per_s`. The first `pausing_engines` refuse
    requests for `pause_s` from `pause_at_s` on, and ask for a pause. With
    `overload: fair`, the entries exchange promises, with the same delay.
    requests for `pause_s` from `pause_at_s` on, and ask for a pause. The actual
    output lengths differ from the callers' estimates by `estimate_sigma`, and
    the speeds of the engines from the profile by `engine_speed_sigma`, both of
    a log-normal distribution. `learned_costs` sets which cost model is used.
    """

    engine_count: int = 14
    phases: Sequence[Mapping[str, float]] = (
        LONG_HEAVY_RATE_FACTORS,
        SHORT_HEAVY_RATE_FACTORS,
        LONG_HEAVY_RATE_FACTORS,
    )
    load_factor: float = 1.0
    profile: EngineProfile = ENGINE_PROFILE
    classes: Mapping[str, RequestClass] = field(
        default_factory=lambda: REQUEST_CLASSES
    )
    entry_count: int = 1
    update_delay_s: float = 0.0
    limits_per_s: Sequence[float] = ()
    pausing_engines: int = 0
    pause_at_s: float = 0
    pause_s: float = 0
    overload: OverloadPolicyName = 'refuse_late'
    learned_costs: bool = False
    estimate_sigma: float = 0.5
    engine_speed_sigma: float = 0


# The users' largest deployment, scaled down.
LARGE_WORKLOAD: Final = Workload(
    engine_count=112,
    phases=(EQUAL_RATE_FACTORS,),
    profile=replace(ENGINE_PROFILE, slots=5, steps_per_iteration=73),
    classes=MappingProxyType(
        {
            'short': RequestClass(
                requests_per_s=81,
                mean_prompt_tokens=4960,
                prompt_sigma=0.9,
                max_prompt_tokens=23_800,
                mean_iterations=24.3,
                first_event_target_ms=321,
                event_gap_target_ms=250,
                deadline_ms=10_684,
                value=1.4,
                late_value=0.34,
            ),
            'medium': RequestClass(
                requests_per_s=8.65,
                mean_prompt_tokens=45_000,
                prompt_sigma=0.5,
                max_prompt_tokens=110_000,
                mean_iterations=14.6,
                first_event_target_ms=1532,
                event_gap_target_ms=600,
                deadline_ms=10_215,
                value=2.3,
                late_value=0.58,
            ),
            'long': RequestClass(
                requests_per_s=1.99,
                mean_prompt_tokens=300_000,
                prompt_sigma=0.55,
                max_prompt_tokens=1_000_000,
                mean_iterations=12.2,
                first_event_target_ms=4055,
                event_gap_target_ms=1000,
                deadline_ms=15_207,
                value=26,
                late_value=6.6,
            ),
        }
    ),
    entry_count=68,
    update_delay_s=0.02,
)


@dataclass(slots=True)
class ClassResult:
    """Totals over the requests of one class.

    `max_value` is earned if all of them meet their targets. `refused` counts
    first refusals, and `refused_again` those of callers that came back.
    `max_value` is earned if all of them meet their targets. `refusals` counts
    those of callers that come back, too.
    """

    requests: int = 0
    on_target: int = 0
    late: int = 0
    unserved: int = 0
    refused: int = 0
    refused_again: int = 0
    refusals: int = 0
    max_value: float = 0
    earned_value: float = 0
    first_event_ms: list[float] = field(default_factory=list)

    @property
    def value_share(self) -> float:
        """Earned share of the maximum value."""
        return self.earned_value / self.max_value if self.max_value else 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _CallerRequest:
    class_name: str
    request_class: RequestClass
    tokens: TokenCounts
    iterations: int
    started_at: float
    sent_at: float = 0
    return_key: int = 0
    has_returned: bool = False
    retries_left: int = MAX_CALLER_RETRIES
    denied_endpoints: set[str] = field(default_factory=set)


class _LoadTables:
    """The load tables of all entries, with delayed updates between them."""

    def __init__(self, clock: SimulationClock, workload: Workload) -> None:
        self._clock: Final = clock
        self._costs: Final = [
            LearnedCostModel(self._now) if workload.learned_costs else None
            for _ in range(workload.entry_count)
        ]
        self._update_delay_s: Final = workload.update_delay_s
        self._load_tables: Final = [
            LoadTable(self._now, costs) for costs in self._costs
        ]

    def costs(self, entry: int) -> CostModel:
        """Return the cost model of an entry."""
        return self._costs[entry] or STATIC_COSTS

    def jobs_by_endpoint(self, entry: int) -> dict[str, list[Job]]:
        """Return the jobs in the load table of an entry."""
        return self._load_tables[entry].jobs_by_endpoint()

    def add(self, entry: int, jobs: Iterable[Job]) -> tuple[int, ...]:
        """Add jobs of an entry."""
        job_ids = self._load_tables[entry].add(jobs)
        self._send_update(entry, job_ids)
        return job_ids

    def record_first_token(self, entry: int, job_ids: tuple[int, ...]) -> None:
        """Mark the jobs of a request as decoding."""
        self._load_tables[entry].record_first_token(job_ids)
        self._send_update(entry, job_ids)

    def remove(
        self, entry: int, job_ids: tuple[int, ...], output_tokens: int
    ) -> None:
        """Remove the jobs of a request that was served."""
        self._load_tables[entry].remove(job_ids, output_tokens)
        self._send_update(entry, job_ids, output_tokens)

    def _send_update(
        self, entry: int, job_ids: tuple[int, ...], output_tokens: int = 0
    ) -> None:
        if len(self._load_tables) == 1:
            return
        own_jobs = {
            job.job_id: job for job in self._load_tables[entry].own_jobs()
        }
        changed = [own_jobs[job_id] for job_id in job_ids if job_id in own_jobs]
        ended_ids = [job_id for job_id in job_ids if job_id not in own_jobs]
        self._clock.schedule(
            self._clock.now + self._update_delay_s,
            lambda: self._apply_update(
                entry, changed, dict.fromkeys(ended_ids, output_tokens)
            ),
        )

    def _now(self) -> float:
        return self._clock.now

    def _apply_update(
        self, entry: int, changed: list[Job], outputs: dict[int, int]
    ) -> None:
        for number, load_table in enumerate(self._load_tables):
            if number != entry:
                load_table.update_entry(
                    str(entry),
                    changed,
                    outputs,
                    replace_all=False,
                    outputs=outputs,
                )


class _SinglePermitAuthority(PermitAuthorities):
    """The only entry, which has run for a long time."""

    def grants_permits(self, identity: str) -> bool:
        """Grant the permits of each endpoint."""
        return True

    def changed_at(self) -> float:
        """Return that there never was another entry."""
        return -math.inf


class _Simulation:
    """One simulation of a workload."""

    def __init__(
        self,
        placers: Sequence[Placer],
        workload: Workload,
        seed: int,
        books: Sequence[PromiseBook],
        clock: SimulationClock,
    ) -> None:
        self._placers: Final = placers
        self._books: Final = books
        self._workload: Final = workload
        self._random: Final = random.Random(seed)
        self._clock: Final = clock
        self._load_tables: Final = _LoadTables(self._clock, workload)
        # A source of its own, so that equal seeds give equal requests.
        speed_random = random.Random(seed)
        self._engines: Final = {
            f'e{number}': SimulatedEngine(
                workload.profile,
                self._clock,
                speed_random.lognormvariate(0, workload.engine_speed_sigma),
            )
            for number in range(workload.engine_count)
        }
        self._endpoints: Final = [
            Endpoint(
                identity=name,
                service=ENGINE_SERVICE,
                host='127.0.0.1',
                port=1,
                zone='z',
                slots=workload.profile.slots,
            )
            for name in self._engines
        ]
        self._limits: Final = EndpointLimits(
            'entry', 'a', _SinglePermitAuthority(), lambda: self._clock.now
        )
        for endpoint, rate_per_s in zip(
            self._endpoints, workload.limits_per_s, strict=False
        ):
            self._limits.observe(endpoint, rate_per_s, None)
        self._notices: Final = [
            self._new_notices(seed) for _ in range(workload.entry_count)
        ]
        self._requests = 0
        self.class_results: Final = {
            name: ClassResult() for name in workload.classes
        }
        for request in self._draw_requests(workload):
            self._schedule(request, request.started_at)

    def run(self) -> None:
        """Run until all requests have ended."""
        self._clock.run()

    def _new_notices(self, seed: int) -> EndpointNotices:
        return EndpointNotices(
            LiveSettings(ENTRY_SETTINGS),
            lambda: self._clock.now,
            random.Random(seed),
        )

    def _draw_requests(self, workload: Workload) -> list[_CallerRequest]:
        requests: list[_CallerRequest] = []
        for number, factors in enumerate(workload.phases):
            for name, request_class in workload.classes.items():
                rate = (
                    request_class.requests_per_s
                    * factors[name]
                    * workload.load_factor
                )
                now = number * PHASE_DURATION_S + self._random.expovariate(rate)
                while now < (number + 1) * PHASE_DURATION_S:
                    requests.append(
                        self._draw_request(name, request_class, now)
                    )
                    now += self._random.expovariate(rate)
        return requests

    def _draw_request(
        self, name: str, request_class: RequestClass, now: float
    ) -> _CallerRequest:
        prompt = int(
            min(
                request_class.max_prompt_tokens,
                self._lognormal(
                    request_class.mean_prompt_tokens, request_class.prompt_sigma
                ),
            )
        )
        iterations = max(
            1, int(self._lognormal(request_class.mean_iterations, 0.6))
        )
        # Callers' estimates of output lengths are inaccurate.
        estimated_iterations = iterations * self._random.lognormvariate(
            0, self._workload.estimate_sigma
        )
        tokens = TokenCounts(
            prompt=max(16, prompt),
            max_output=int(
                request_class.mean_iterations
                * 2.5
                * self._workload.profile.steps_per_iteration
            ),
            expected_output=int(
                estimated_iterations
                * self._workload.profile.steps_per_iteration
            ),
        )
        self.class_results[name].requests += 1
        self.class_results[name].max_value += request_class.value
        return _CallerRequest(
            class_name=name,
            request_class=request_class,
            tokens=tokens,
            iterations=iterations,
            started_at=now,
            return_key=sum(one.requests for one in self.class_results.values()),
        )

    def _lognormal(self, mean: float, sigma: float) -> float:
        return self._random.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)

    def _schedule(self, request: _CallerRequest, sent_at: float) -> None:
        entry = self._random.randrange(self._workload.entry_count)
        self._clock.schedule(
            sent_at, lambda: self._arrive(request, sent_at, entry)
        )

    def _arrive(
        self, request: _CallerRequest, sent_at: float, entry: int
    ) -> None:
        request = replace(request, sent_at=sent_at)
        if self._books and request.retries_left < MAX_CALLER_RETRIES:
            request = replace(
                request,
                has_returned=self._books[entry].consume(request.return_key),
            )
        self._place(request, sent_at, entry)

    def _place(
        self, request: _CallerRequest, sent_at: float, entry: int
    ) -> None:
        request_class = request.request_class
        now = self._clock.now
        remaining_ms = (
            request_class.deadline_ms - (now - request.started_at) * MS_PER_S
        )
        waited_ms = (now - sent_at) * MS_PER_S
        self._requests += 1
        placement = self._placers[entry].place(
            PlacementQuery(
                request_id=f'r{self._requests}',
                service=Service(
                    name=ENGINE_SERVICE,
                    max_connections=400,
                    engine=self._workload.profile,
                ),
                candidates=[
                    endpoint
                    for endpoint in self._endpoints
                    if endpoint.identity not in request.denied_endpoints
                ],
                jobs_by_endpoint=self._load_tables.jobs_by_endpoint(entry),
                now=now,
                zone='z',
                tokens=request.tokens,
                remaining_ms=remaining_ms,
                first_event_target_ms=max(
                    1.0, request_class.first_event_target_ms - waited_ms
                ),
                event_gap_target_ms=request_class.event_gap_target_ms,
                permit_waits_ms={
                    endpoint.identity: self._limits.wait_ms(endpoint)
                    for endpoint in self._endpoints
                    if self._limits.find(endpoint) is not None
                },
                pause_waits_ms={
                    endpoint.identity: self._notices[entry].wait_ms(
                        endpoint, request_class.priority
                    )
                    for endpoint in self._endpoints
                    if self._notices[entry].is_returning(endpoint)
                },
                team_key=short_key(request_class.team),
                standing=Standing(
                    priority=request_class.priority,
                    returning=request.has_returned,
                ),
                return_key=request.return_key,
                route_key=short_key(request.class_name),
                costs=self._load_tables.costs(entry),
            )
        )
        if isinstance(placement, Deferral):
            self._clock.schedule(
                now + placement.wait_ms / MS_PER_S,
                lambda: self._place(request, sent_at, entry),
            )
            return
        if isinstance(placement, Failure):
            self._handle_refusal(request, placement)
            return
        pause_s = (
            self._notices[entry].wait_ms(placement.lead, request_class.priority)
            / MS_PER_S
        )
        if pause_s:
            self._clock.schedule(
                now + pause_s, lambda: self._place(request, sent_at, entry)
            )
            return
        permit_wait_s = self._acquire(request, placement, remaining_ms)
        if permit_wait_s is None:
            request.denied_endpoints.add(placement.lead.identity)
            self._place(request, sent_at, entry)
            return
        self._clock.schedule(
            now + permit_wait_s,
            lambda: self._start(request, placement, entry),
        )

    def _acquire(
        self,
        request: _CallerRequest,
        placement: Placement,
        remaining_ms: float,
    ) -> float | None:
        """Return the wait for a permit; None if it is denied."""
        req = self._limits.build_request(
            placement.lead,
            self._requests,
            remaining_ms / MS_PER_S,
            request.request_class.priority,
        )
        if req is None:
            return 0.0
        reply = self._limits.decide(req)
        return reply.wait_ms / MS_PER_S if reply.granted else None

    def _handle_refusal(
        self, request: _CallerRequest, failure: Failure
    ) -> None:
        self.class_results[request.class_name].refusals += 1
        now = self._clock.now
        wait_s = failure.retry_after_ms / MS_PER_S
        remaining_s = request.request_class.deadline_ms / MS_PER_S - (
            now - request.started_at
        )
        result = self.class_results[request.class_name]
        if not request.retries_left:
            result.refused_again += 1
            result.unserved += 1
            return
        result.refused += 1
        if wait_s > remaining_s / 3:
            result.unserved += 1
            return
        retry = _CallerRequest(
            class_name=request.class_name,
            request_class=request.request_class,
            tokens=request.tokens,
            iterations=request.iterations,
            started_at=request.started_at,
            return_key=request.return_key,
            retries_left=request.retries_left - 1,
        )
        self._schedule(retry, now + wait_s)

    def _start(
        self,
        request: _CallerRequest,
        placement: Placement,
        entry: int,
    ) -> None:
        pause_s = self._pause_left_s(placement.lead)
        self._notices[entry].record_request(placement.lead)
        self._notices[entry].observe(
            placement.lead, EndpointNotice(pause_s=pause_s), self._clock.now
        )
        if pause_s:
            request.denied_endpoints.add(placement.lead.identity)
            self._place(request, self._clock.now, entry)
            return
        job_ids = self._load_tables.add(entry, placement.jobs)
        lead = self._engines[placement.lead.identity]
        parts = len(placement.helpers) + 1
        prefill = full_prefill(request.tokens.prompt).scaled(1 / parts)
        simulated = SimulatedRequest(
            lead_engine=lead,
            context_tokens=request.tokens.prompt,
            iterations_left=request.iterations,
            prefill_parts_left=parts,
            started_at=request.started_at,
            on_first_token=lambda: self._load_tables.record_first_token(
                entry, job_ids
            ),
            on_end=lambda: self._record_result(
                request, simulated, entry, job_ids
            ),
        )
        lead.add_request(simulated, prefill)
        for helper in placement.helpers:
            self._engines[helper.endpoint.identity].add_helper_part(
                simulated, prefill
            )

    def _pause_left_s(self, endpoint: Endpoint) -> float:
        """Return the time for which an engine refuses requests."""
        workload = self._workload
        number = self._endpoints.index(endpoint)
        age_s = self._clock.now - workload.pause_at_s
        if number >= workload.pausing_engines or age_s < 0:
            return 0.0
        return max(0.0, workload.pause_s - age_s)

    def _record_result(
        self,
        request: _CallerRequest,
        simulated: SimulatedRequest,
        entry: int,
        job_ids: tuple[int, ...],
    ) -> None:
        steps = self._workload.profile.steps_per_iteration
        self._load_tables.remove(entry, job_ids, request.iterations * steps)
        request_class = request.request_class
        result = self.class_results[request.class_name]
        first_event_ms = (
            simulated.first_token_at - request.started_at
        ) * MS_PER_S
        stream_ms = (simulated.first_token_at - request.sent_at) * MS_PER_S
        total_ms = (simulated.ended_at - request.started_at) * MS_PER_S
        longest_gap_ms = simulated.longest_gap_s * MS_PER_S
        result.first_event_ms.append(first_event_ms)
        if (
            stream_ms > request_class.abandon_ms
            or total_ms > request_class.deadline_ms
        ):
            result.unserved += 1
            return
        if (
            first_event_ms <= request_class.first_event_target_ms
            and longest_gap_ms <= request_class.event_gap_target_ms
        ):
            result.on_target += 1
            result.earned_value += request_class.value
            return
        result.late += 1
        result.earned_value += request_class.late_value


def simulate(
    make_placer: PlacerFactory, workload: Workload, seed: int
) -> dict[str, ClassResult]:
    """Simulate a workload and return the results by request class.

    `make_placer` returns the placer of one entry; with `overload: fair`, the
    entries have prompt placers. Placers must draw random numbers only from the
    given source, so that a run can be repeated.
    """
    seed_source = random.Random(seed)
    rngs = [
        random.Random(seed_source.random()) for _ in range(workload.entry_count)
    ]
    clock = SimulationClock()
    books: list[PromiseBook] = []
    if workload.overload == 'fair':
        books = exchanged_books(
            clock, workload.entry_count, workload.update_delay_s
        )
        placers = fair_placers(books, rngs)
    else:
        placers = [make_placer(rng) for rng in rngs]
    simulation = _Simulation(placers, workload, seed, books, clock)
    simulation.run()
    return simulation.class_results
