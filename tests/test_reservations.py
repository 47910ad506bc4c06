"""Memory that is reserved on several engines for one prompt."""

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Final

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.interfaces import (
    Attempt,
    AttemptLimits,
    EndpointClient,
    Reply,
)
from masticwind.serving.load import Job
from masticwind.serving.model import Endpoint, Service, TokenCounts
from masticwind.serving.passes import Reading
from masticwind.serving.placement import Placement, Query, Share
from masticwind.serving.prompts import PromptPlacer
from masticwind.serving.reservations import (
    HOLD_MS,
    RENEW_S,
    TRY_AGAIN_S,
    Unreserved,
    reserved,
)
from masticwind_dev.play.load import SPEED

pytestmark = pytest.mark.anyio

LIMIT: Final = 450_000
BLOCK_TOKENS: Final = 16


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
class OrderedLink(EndpointClient):
    """Keeps reservations and refuses those of some endpoints."""

    refusing: set[str] = field(default_factory=set)
    held: dict[str, str] = field(default_factory=dict)
    orders: list[str] = field(default_factory=list)
    unanswered: int = 0
    silent_endpoints: set[str] = field(default_factory=set)

    def send(
        self,
        attempt: Attempt,
        limits: AttemptLimits,
    ) -> AbstractAsyncContextManager[Reply | Failure]:
        """Send nothing."""
        raise NotImplementedError

    async def reserve(
        self,
        endpoint: Endpoint,
        reservation_id: str,
        tokens: int,
        hold_ms: int,
    ) -> Failure | None:
        """Reserve, unless the endpoint refuses."""
        self.orders.append(f'reserve {endpoint.identity}')
        if endpoint.identity in self.refusing:
            return Failure(kind=ErrorKind.CONFLICT, reason='not free')
        assert tokens > 0
        assert hold_ms == HOLD_MS
        self.held[endpoint.identity] = reservation_id
        return None

    async def release(
        self, endpoint: Endpoint, reservation_id: str
    ) -> Failure | None:
        """Release, or give no answer for a while."""
        self.orders.append(f'release {endpoint.identity}')
        if self.unanswered:
            self.unanswered -= 1
            return Failure(kind=ErrorKind.OUTCOME_UNKNOWN, reason='no answer')
        if self.held.get(endpoint.identity) == reservation_id:
            self.held.pop(endpoint.identity)
        return None

    async def is_silent(self, endpoint: Endpoint) -> bool:
        """Tell whether a test has made the endpoint fall silent."""
        return endpoint.identity in self.silent_endpoints

    async def close_idle(self, endpoint: Endpoint) -> None:
        """Forget nothing."""


def _placement(*names: str) -> Placement:
    return Placement(
        lead=_endpoint('lead'),
        shares=tuple(
            Share(endpoint=_endpoint(name), reserved_tokens=1000)
            for name in names
        ),
        jobs=(),
        first_ms=100,
        whole_ms=1000,
    )


async def test_reservations_are_made_in_order_and_given_back() -> None:
    """Guards against two prompts that each hold what the other one needs,
    and against memory that is never given back.
    """
    link = OrderedLink()
    async with reserved(link, _placement('e2', 'e1'), 'r1') as helpers:
        assert not isinstance(helpers, Unreserved)
        assert [one.endpoint.identity for one in helpers] == ['e2', 'e1']
        assert {one.reservation_id for one in helpers} == set(
            link.held.values()
        )
    assert link.orders[:2] == ['reserve e1', 'reserve e2']
    assert not link.held


async def test_partial_reservations_are_given_back() -> None:
    """Guards against memory that stays reserved for a refused prompt."""
    link = OrderedLink(refusing={'e2'})
    async with reserved(link, _placement('e1', 'e2'), 'r1') as helpers:
        assert isinstance(helpers, Unreserved)
        assert helpers.failure.kind is ErrorKind.OVERLOADED
        assert helpers.endpoint.identity == 'e2'
    assert not link.held


async def test_reservations_are_renewed_while_the_request_runs() -> None:
    """Guards against memory that expires under a running request."""
    link = OrderedLink()
    async with reserved(link, _placement('e1'), 'r1'):
        await anyio.sleep(RENEW_S * 1.3)
        assert link.orders.count('reserve e1') == 2


async def test_reservations_end_after_their_leading_engine() -> None:
    """Guards against memory that stays reserved for as long as an entry waits
    for an engine that has lost power, which can be longer than the four
    seconds allowed, and against one lost packet that ends a reservation.
    """
    link = OrderedLink()
    async with reserved(link, _placement('e1', 'e2'), 'r1'):
        link.silent_endpoints.add('lead')
        await anyio.sleep(RENEW_S * 2.5)
        assert link.orders.count('reserve e1') == 1
        link.silent_endpoints.clear()
        await anyio.sleep(TRY_AGAIN_S * 2)
        assert link.orders.count('reserve e1') == 2
        assert link.orders.count('reserve e2') == 2


async def test_cancelled_request_gives_its_memory_back() -> None:
    """Guards against memory that a caller who left keeps reserved, also
    where the first release has no answer.
    """
    link = OrderedLink(unanswered=1)
    with anyio.move_on_after(0.05):
        async with reserved(link, _placement('e1'), 'r1'):
            await anyio.sleep(5)
    assert not link.held


@settings(deadline=None, max_examples=60)
@given(
    prompt=st.integers(min_value=1, max_value=1_000_000),
    used=st.lists(
        st.integers(min_value=0, max_value=600_000), min_size=1, max_size=14
    ),
)
def test_memory_of_a_placement_is_there(prompt: int, used: list[int]) -> None:
    """Guards against a placement that needs more memory than its engines
    have free, and against reservations of less than nothing.
    """
    names = [f'e{number}' for number in range(len(used))]
    tokens = TokenCounts(prompt=prompt, max_output=2000, expected_output=800)
    jobs = {
        name: [_holding(name, memory)]
        for name, memory in zip(names, used, strict=True)
    }
    placement = PromptPlacer().place(
        Query(
            request='r1',
            service=Service(name='s', max_connections=9, speed=SPEED),
            candidates=[_endpoint(name) for name in names],
            jobs=jobs,
            now=0,
            zone='z',
            tokens=tokens,
        )
    )
    if not isinstance(placement, Placement):
        return
    free = {
        name: max(0, LIMIT - memory)
        for name, memory in zip(names, used, strict=True)
    }
    there = 0
    for share in placement.shares:
        assert 0 <= share.reserved_tokens <= free[share.endpoint.identity]
        there += share.reserved_tokens
    needed = prompt + tokens.max_output
    kept = needed - there
    if there:
        # Each engine rounds its part to blocks.
        kept += BLOCK_TOKENS * (len(placement.shares) + 1)
    assert free[placement.lead.identity] >= kept


def _holding(name: str, memory: int) -> Job:
    return Job(
        number=1,
        request='other',
        endpoint=name,
        reading=Reading(0, 0),
        context=1,
        memory=memory,
        started=-1,
        first_at=0,
        end_at=1,
        writing=True,
    )
