"""Reservations of memory on several engines for one prompt."""

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Final

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import ConnectResult
from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.interfaces import (
    Attempt,
    AttemptLimits,
    EndpointClient,
    EndpointNotice,
    OrderReply,
    Reply,
)
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.placement.load_table import Job
from masticwind.serving.placement.placer import (
    HelperPlacement,
    Placement,
    PlacementQuery,
)
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.reservations import (
    LEASE_MS,
    RENEW_INTERVAL_S,
    SILENT_LEAD_RETRY_S,
    OrderWatch,
    ReservationFailure,
    hold_reservations,
)
from masticwind_dev.play.simulation import ENGINE_PROFILE

pytestmark = pytest.mark.anyio

KV_CACHE_TOKENS: Final = 450_000
BLOCK_TOKENS: Final = 16
# In which a prompt ends whose deadline is 0.1 s away.
MAX_END_S: Final = 0.4


def _endpoint(name: str) -> Endpoint:
    return Endpoint(
        identity=name,
        service='engines',
        host='127.0.0.1',
        port=1,
        zone='z',
        slots=8,
    )


@dataclass
class RecordingClient(EndpointClient):
    """Records reservations and refuses those of some endpoints."""

    refusing_endpoints: set[str] = field(default_factory=set)
    held_reservations: dict[str, str] = field(default_factory=dict)
    calls: list[str] = field(default_factory=list)
    unanswered_releases: int = 0
    silent_endpoints: set[str] = field(default_factory=set)
    # Endpoints whose answers to orders do not end.
    endless_endpoints: set[str] = field(default_factory=set)

    def send(
        self,
        attempt: Attempt,
        limits: AttemptLimits,
    ) -> AbstractAsyncContextManager[Reply | Failure]:
        """Not used by these tests."""
        raise NotImplementedError

    async def reserve(
        self,
        endpoint: Endpoint,
        reservation_id: str,
        tokens: int,
        hold_ms: int,
    ) -> OrderReply:
        """Record the reservation, unless the endpoint refuses it."""
        self.calls.append(f'reserve {endpoint.identity}')
        await self._answer(endpoint)
        if endpoint.identity in self.refusing_endpoints:
            return OrderReply(
                failure=Failure(kind=ErrorKind.CONFLICT, reason='not free')
            )
        assert tokens > 0
        assert hold_ms == LEASE_MS
        self.held_reservations[endpoint.identity] = reservation_id
        return OrderReply()

    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> OrderReply:
        """Remove the reservation, or fail for the first few calls."""
        self.calls.append(f'release {endpoint.identity}')
        await self._answer(endpoint)
        if self.unanswered_releases:
            self.unanswered_releases -= 1
            return OrderReply(
                failure=Failure(
                    kind=ErrorKind.OUTCOME_UNKNOWN, reason='no answer'
                )
            )
        if self.held_reservations.get(endpoint.identity) == reservation_id:
            self.held_reservations.pop(endpoint.identity)
        return OrderReply()

    async def try_connect(self, endpoint: Endpoint) -> ConnectResult:
        """Get no reply from endpoints that a test has made unreachable."""
        if endpoint.identity in self.silent_endpoints:
            return ConnectResult.SILENT
        return ConnectResult.ACCEPTED

    async def close_idle(self, endpoint: Endpoint) -> None:
        """Do nothing: this client has no connections."""

    async def _answer(self, endpoint: Endpoint) -> None:
        if endpoint.identity in self.endless_endpoints:
            await anyio.sleep_forever()


@dataclass
class SlowClient(RecordingClient):
    """Answers orders late while `slow` is set."""

    slow: bool = False

    async def _answer(self, endpoint: Endpoint) -> None:
        if self.slow:
            await anyio.sleep(0.4)


@dataclass
class _Watch:
    """Has an obstacle after a number of reservations."""

    allowed_reservations: int = 100
    notices: list[EndpointNotice | None] = field(default_factory=list)

    def watch(self) -> OrderWatch:
        """Return what observes the orders."""
        return OrderWatch(self._find_obstacle, self._record)

    def _find_obstacle(self) -> str:
        if len(self.notices) >= self.allowed_reservations:
            return 'e2 is leaving'
        return ''

    def _record(
        self, endpoint: Endpoint, notice: EndpointNotice | None
    ) -> None:
        self.notices.append(notice)


def _placement(*names: str) -> Placement:
    return Placement(
        lead=_endpoint('lead'),
        helpers=tuple(
            HelperPlacement(endpoint=_endpoint(name), reserved_tokens=1000)
            for name in names
        ),
        jobs=(),
        first_event_ms=100,
        total_ms=1000,
    )


async def test_reservations_are_ordered_and_released() -> None:
    """Guards against a deadlock of two prompts that each hold memory which the
    other one needs, and against reservations that are never released.
    """
    client = RecordingClient()
    async with hold_reservations(
        client, _placement('e2', 'e1'), 'r1', _Watch().watch()
    ) as helpers:
        assert not isinstance(helpers, ReservationFailure)
        assert [helper.endpoint.identity for helper in helpers] == ['e2', 'e1']
        assert {helper.reservation_id for helper in helpers} == set(
            client.held_reservations.values()
        )
    assert client.calls[:2] == ['reserve e1', 'reserve e2']
    assert not client.held_reservations


async def test_partial_reservations_are_released() -> None:
    """Guards against reservations that outlive a refused prompt."""
    client = RecordingClient(refusing_endpoints={'e2'})
    async with hold_reservations(
        client, _placement('e1', 'e2'), 'r1', _Watch().watch()
    ) as helpers:
        assert isinstance(helpers, ReservationFailure)
        assert helpers.failure.kind is ErrorKind.OVERLOADED
        assert helpers.endpoint.identity == 'e2'
    assert not client.held_reservations


async def test_engine_that_begins_to_leave_gets_no_reservation() -> None:
    """Guards against an order to an engine that is known to leave only since
    an earlier order for the same prompt.
    """
    client = RecordingClient()
    watch = _Watch(allowed_reservations=1).watch()
    async with hold_reservations(
        client, _placement('e1', 'e2'), 'r1', watch
    ) as helpers:
        assert isinstance(helpers, ReservationFailure)
        assert helpers.held_back
    assert client.calls.count('reserve e1') == 1
    assert 'reserve e2' not in client.calls
    assert not client.held_reservations


async def test_reservations_are_renewed_while_the_request_runs() -> None:
    """Guards against reservations that expire during their request."""
    client = RecordingClient()
    async with hold_reservations(
        client, _placement('e1'), 'r1', _Watch().watch()
    ):
        await anyio.sleep(RENEW_INTERVAL_S * 1.3)
        assert client.calls.count('reserve e1') == 2


async def test_reservations_expire_after_a_failure_of_the_lead_engine() -> None:
    """Guards against reservations that are renewed while an entry waits for a
    lead engine that has lost power, beyond the limit of four seconds, and
    against a single lost packet that ends a reservation.
    """
    client = RecordingClient()
    async with hold_reservations(
        client, _placement('e1', 'e2'), 'r1', _Watch().watch()
    ):
        client.silent_endpoints.add('lead')
        await anyio.sleep(RENEW_INTERVAL_S * 2.5)
        assert client.calls.count('reserve e1') == 1
        client.silent_endpoints.clear()
        await anyio.sleep(SILENT_LEAD_RETRY_S * 2)
        assert client.calls.count('reserve e1') == 2
        assert client.calls.count('reserve e2') == 2


async def test_cancelled_request_releases_its_reservations() -> None:
    """Guards against reservations that outlive a cancelled request, also if
    the first release gets no answer.
    """
    client = RecordingClient(unanswered_releases=1)
    with anyio.move_on_after(0.05):
        async with hold_reservations(
            client, _placement('e1'), 'r1', _Watch().watch()
        ):
            await anyio.sleep(5)
    assert not client.held_reservations


async def test_renewals_of_other_engines_go_on_beside_an_endless_one() -> None:
    """Guards against reservations that expire because another engine does not
    complete its answer to a renewal.
    """
    client = RecordingClient()
    async with hold_reservations(
        client, _placement('e1', 'e2', 'e3'), 'r1', _Watch().watch()
    ):
        client.endless_endpoints.add('e2')
        await anyio.sleep(RENEW_INTERVAL_S * 3.4)
        client.endless_endpoints.clear()
        assert client.calls.count('reserve e1') == 4
        assert client.calls.count('reserve e3') == 4
        # An engine gets no second renewal before it has answered the first.
        assert client.calls.count('reserve e2') == 2


async def test_failed_prompt_does_not_wait_for_an_endless_release() -> None:
    """Guards against a prompt that gets no answer at its deadline because an
    engine does not complete its answer to the release.
    """
    client = RecordingClient()
    started_at = anyio.current_time()
    with anyio.move_on_after(5), anyio.move_on_after(0.1):
        async with hold_reservations(
            client, _placement('e1', 'e2'), 'r1', _Watch().watch()
        ):
            client.endless_endpoints.add('e2')
            await anyio.sleep(5)
    took_s = anyio.current_time() - started_at
    assert took_s < MAX_END_S
    # The memory of the other engine has been released.
    assert set(client.held_reservations) == {'e2'}


async def test_release_that_outlasts_its_request_is_completed() -> None:
    """Guards against memory that stays reserved because the release of an
    engine takes longer than its request waits for it.
    """
    client = SlowClient()
    with anyio.move_on_after(0.1):
        async with hold_reservations(
            client, _placement('e1', 'e2'), 'r1', _Watch().watch()
        ):
            client.slow = True
            await anyio.sleep(5)
    assert client.held_reservations
    with anyio.fail_after(2):
        while client.held_reservations:
            await anyio.sleep(0.02)


@settings(deadline=None, max_examples=60)
@given(
    prompt=st.integers(min_value=1, max_value=1_000_000),
    used_tokens=st.lists(
        st.integers(min_value=0, max_value=600_000), min_size=1, max_size=14
    ),
)
def test_placement_fits_into_free_memory(
    prompt: int, used_tokens: list[int]
) -> None:
    """Guards against a placement that needs more memory than is free on its
    engines, and against negative reservations.
    """
    names = [f'e{number}' for number in range(len(used_tokens))]
    tokens = TokenCounts(prompt=prompt, max_output=2000, expected_output=800)
    jobs = {
        name: [_decoding_job(name, held_tokens)]
        for name, held_tokens in zip(names, used_tokens, strict=True)
    }
    placement = PromptPlacer().place(
        PlacementQuery(
            request_id='r1',
            service=Service(name='s', max_connections=9, engine=ENGINE_PROFILE),
            candidates=[_endpoint(name) for name in names],
            jobs_by_endpoint=jobs,
            now=0,
            zone='z',
            tokens=tokens,
        )
    )
    if not isinstance(placement, Placement):
        return
    free_tokens = {
        name: max(0, KV_CACHE_TOKENS - held_tokens)
        for name, held_tokens in zip(names, used_tokens, strict=True)
    }
    reserved_total = 0
    for helper in placement.helpers:
        assert (
            0 <= helper.reserved_tokens <= free_tokens[helper.endpoint.identity]
        )
        reserved_total += helper.reserved_tokens
    needed_tokens = prompt + tokens.max_output
    lead_tokens = needed_tokens - reserved_total
    if reserved_total:
        # Each engine rounds its part up to whole blocks.
        lead_tokens += BLOCK_TOKENS * (len(placement.helpers) + 1)
    assert free_tokens[placement.lead.identity] >= lead_tokens


def _decoding_job(name: str, held_tokens: int) -> Job:
    return Job(
        job_id=1,
        request_id='other',
        endpoint_id=name,
        prefill=PrefillWork(0, 0),
        context_tokens=1,
        held_tokens=held_tokens,
        started_at=-1,
        first_token_at=0,
        end_at=1,
        decoding=True,
    )
