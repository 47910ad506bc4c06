"""The parts of an entry that decide where a request goes, without a network."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any, Final, cast

from masticwind.budget import Budget
from masticwind.errors import ErrorKind, Failure
from masticwind.platform.documents import PlatformDecoder
from masticwind.serving.admission.bounds import ColdEndpointLimiter
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
    admit,
)
from masticwind.serving.attempt_runner import AttemptRunner
from masticwind.serving.costs import completion_times
from masticwind.serving.datagrams import PeerAddress, PeerSocket
from masticwind.serving.directory import EndpointDirectory
from masticwind.serving.endpoint_notices import EndpointNotices
from masticwind.serving.model import (
    NO_CONFIG,
    CallerRequest,
    Endpoint,
    Route,
    RouteKind,
    Service,
    TokenCounts,
    WeightedService,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement import helper_faults, reach
from masticwind.serving.placement.endpoint_news import EndpointNews
from masticwind.serving.placement.health import EndpointHealth
from masticwind.serving.placement.placer import CallPlacer, Placement
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.placement.reported_endpoints import ReportedEndpoints
from masticwind.serving.placement.request_placer import (
    PermittedPlacement,
    RequestPlacer,
)
from masticwind.serving.placement.suspicions import Suspicions
from masticwind.serving.relay_dependencies import RelayDependencies
from masticwind.serving.settings import DirectSettings, LiveSettings
from masticwind.serving.telemetry import Telemetry
from masticwind_dev.play.simulation import LARGE_WORKLOAD
from tests.entry_harness import (
    steady_connection,
)
from tests.manual_clock import ManualClock

SERVICE: Final = 'engines'
SENDER: Final = PeerAddress('127.0.0.1', 1)
REFUSED: Final = Failure(
    kind=ErrorKind.NO_CAPACITY, reason='no listener', refused=True
)


def admitted_request(
    *,
    prompt_tokens: int = 0,
    kind: RouteKind = RouteKind.REPEATABLE,
    target_ms: float = 321,
    timeout_ms: int = 3000,
    service: Service | None = None,
) -> AdmittedRequest:
    """Return a prompt for the engines, or a plain call."""
    engine = LARGE_WORKLOAD.profile if prompt_tokens else None
    service = service or Service(name=SERVICE, max_connections=9, engine=engine)
    route = Route(
        name='r',
        host='h',
        prefix='/',
        kind=kind,
        services=(WeightedService(SERVICE, 1),),
        max_endpoints=3,
        first_event_target_ms=target_ms,
        event_gap_target_ms=200,
    )
    tokens = None
    if prompt_tokens:
        tokens = TokenCounts(
            prompt=prompt_tokens, max_output=2000, expected_output=900
        )
    req = CallerRequest(
        request_id='r1',
        method='POST',
        target=b'/',
        host='h',
        path='/',
        forwarded_headers=(),
        budget=Budget.from_ms(timeout_ms),
        tokens=tokens,
    )
    config = replace(NO_CONFIG, services={SERVICE: service})
    admitted = admit(req, route, None, config)
    assert not isinstance(admitted, Failure)
    return admitted


@dataclass(frozen=True)
class World:
    """What an entry shares with others; `jobs` returns all by endpoint."""

    clock: ManualClock
    rng: random.Random
    jobs: Callable[[], Any]


async def _close_idle(_endpoint: Endpoint) -> None:
    """Close no connections."""


class NewsEntry:
    """The parts of an entry that decide where a request goes."""

    def __init__(
        self, socket: PeerSocket, cfg: DirectSettings, world: World
    ) -> None:
        settings = LiveSettings(cfg)
        clock = world.clock
        zone = cfg.zone
        self.socket = socket
        peers = EntryPeers(cfg)
        self.directory = EndpointDirectory(
            PlatformDecoder(), steady_connection()
        )
        suspicions = Suspicions(self.socket, peers, zone, clock)
        self.telemetry = Telemetry()
        self.news = EndpointNews(
            self.socket,
            peers,
            settings,
            reported=ReportedEndpoints(self.directory, clock),
            suspicions=suspicions,
            telemetry=self.telemetry,
        )
        self.health = EndpointHealth(
            suspicions, clock, is_doubtful=self.news.reported.is_doubtful
        )
        self.cold_limiter = ColdEndpointLimiter(settings, peers, clock)
        deps = SimpleNamespace(
            settings=settings,
            directory=self.directory,
            operator_state=SimpleNamespace(evacuated_zones=frozenset()),
            health=self.health,
            reach=reach.ZoneReachability(clock),
            notices=EndpointNotices(settings, clock),
            news=self.news,
            cold_limiter=self.cold_limiter,
            limit_link=SimpleNamespace(
                limits=SimpleNamespace(count=int, find=lambda _endpoint: None)
            ),
            quarantine=SimpleNamespace(
                check=lambda *_: None, tracks_calls=False
            ),
            load_table=SimpleNamespace(
                jobs_by_endpoint=world.jobs, clock=clock
            ),
            endpoint_client=SimpleNamespace(close_idle=_close_idle),
            helper_faults=helper_faults.HelperFaults(clock),
            telemetry=self.telemetry,
            lifetime=SimpleNamespace(remaining_s=lambda: math.inf),
            call_placer=CallPlacer(),
            prompt_placer=PromptPlacer(world.rng),
            promises=None,
            costs=RelayDependencies.__dataclass_fields__['costs'].default,
        )
        relay_deps = cast(RelayDependencies, deps)
        self.placer = RequestPlacer(
            relay_deps, completion_times.CompletionTimes()
        )
        self._runner: Final = AttemptRunner(
            relay_deps, self.placer, completion_times.CompletionTimes()
        )

    def deliver(self, content: bytes) -> None:
        """Receive a datagram."""
        self.socket._receive(content, SENDER)

    async def fail_call(
        self, progress: RequestProgress, failure: Failure
    ) -> None:
        """Place a plain call, whose endpoint fails."""
        placement = self.placer._place_once(admitted_request(), progress)
        assert isinstance(placement, Placement)
        await self.record_failure(progress, placement, failure)

    async def record_failure(
        self, progress: RequestProgress, placement: Placement, failure: Failure
    ) -> None:
        """Record a failed attempt, as the relay does."""
        await self._runner.record_failure(
            PermittedPlacement(placement), failure, progress
        )
