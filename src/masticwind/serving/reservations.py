"""Reservations of KV cache memory on several engines for one prompt.

A reservation is a lease that is renewed while its request runs, and expires
before the time limit for unused reserved memory. It therefore ends soon after
its entry has died. It also ends soon after the lead engine has lost power,
although the entry waits longer than that for a long prefill: no reservation
is renewed while the entry cannot connect to the lead engine.

The reservations of a prompt are made all or none, in the order of the
endpoints' identities. Two prompts that need the same engines conflict on the
first one and cannot deadlock.

No reservation is made on an engine that leaves or has asked for a pause. Those
that its requests already use are renewed and released all the same: without
that, the requests would be cut off, or the memory would stay reserved in vain.
"""

import asyncio
import secrets
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Final

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.httpclient import ConnectResult
from masticwind.serving.interfaces import (
    EndpointClient,
    EndpointNotice,
    PrefillHelper,
)
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.placer import HelperPlacement, Placement

# Unused memory may stay reserved for at most four seconds.
LEASE_MS: Final = 3000
RENEW_INTERVAL_S: Final = 1.0
# Interval between connection checks of a lead engine that has not answered.
# A reservation survives three failed checks in a row.
SILENT_LEAD_RETRY_S: Final = 0.2
MAX_RELEASE_ATTEMPTS: Final = 3
# A request waits this long for the release of its reservations, which goes on
# after it.
RELEASE_WAIT_S: Final = 0.05

# Asyncio keeps no strong reference to a running task.
_running_releases: Final[set['asyncio.Task[None]']] = set()


@dataclass(frozen=True, slots=True)
class ReservationFailure:
    """A failure to reserve memory for a prompt, and the endpoint at fault.

    If the reservation was `held_back`, it has not been tried.
    """

    failure: Failure
    endpoint: Endpoint
    held_back: bool = False


@dataclass(frozen=True, slots=True)
class OrderWatch:
    """Observes the orders for one placement.

    `find_obstacle` is called right before each reservation. It returns the
    reason why the placement must not be used any more, or ''. `on_notice` is
    called with what an endpoint says of itself in its answer.
    """

    find_obstacle: Callable[[], str]
    on_notice: Callable[[Endpoint, EndpointNotice | None], None]


@asynccontextmanager
async def hold_reservations(
    endpoint_client: EndpointClient,
    placement: Placement,
    request_id: str,
    watch: OrderWatch,
) -> AsyncIterator[tuple[PrefillHelper, ...] | ReservationFailure]:
    """Reserve a placement's memory and renew it while its request runs.

    Yields the helpers, in the order in which the prompt fills their memory. If
    one engine does not grant its reservation, yields the failure instead and
    releases the others; the request has not run then.
    """
    reservation_ids = _new_reservation_ids(placement.helpers)
    helpers = tuple(
        PrefillHelper(
            helper.endpoint, reservation_ids.get(helper.endpoint.identity, '')
        )
        for helper in placement.helpers
    )
    if not reservation_ids:
        yield helpers
        return
    log = logger.bind(request_id=request_id, tickets=len(reservation_ids))
    reserving_helpers = [
        helper for helper in placement.helpers if helper.reserved_tokens
    ]
    reserving_helpers.sort(key=_endpoint_identity)
    try:
        failed = await _reserve_all(
            endpoint_client, reserving_helpers, reservation_ids, watch
        )
        if failed is not None:
            log.bind(
                endpoint=failed.endpoint.identity,
                reason=failed.failure.reason,
            ).info('memory_not_reserved')
            yield failed
            return
        log.info('memory_reserved')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                _keep_renewed,
                tasks,
                endpoint_client,
                placement.lead,
                reserving_helpers,
                reservation_ids,
                watch,
            )
            yield helpers
            tasks.cancel_scope.cancel()
    finally:
        # Asyncio's task, as the releases may outlast their request.
        releases = asyncio.create_task(
            _release_all(endpoint_client, reserving_helpers, reservation_ids)
        )
        _running_releases.add(releases)
        releases.add_done_callback(_running_releases.discard)
        # The next placement should find the memory free, but the answer to
        # the caller must not wait for an engine in trouble.
        with anyio.CancelScope(shield=True):
            await asyncio.wait((releases,), timeout=RELEASE_WAIT_S)


def _new_reservation_ids(
    helpers: tuple[HelperPlacement, ...],
) -> dict[str, str]:
    return {
        helper.endpoint.identity: secrets.token_hex(6)
        for helper in helpers
        if helper.reserved_tokens
    }


def _endpoint_identity(helper: HelperPlacement) -> str:
    return helper.endpoint.identity


async def _reserve_all(
    endpoint_client: EndpointClient,
    reserving_helpers: list[HelperPlacement],
    reservation_ids: dict[str, str],
    watch: OrderWatch,
) -> ReservationFailure | None:
    for helper in reserving_helpers:
        obstacle = watch.find_obstacle()
        if obstacle:
            return ReservationFailure(
                Failure(kind=ErrorKind.OVERLOADED, reason=obstacle),
                helper.endpoint,
                held_back=True,
            )
        failure = await _reserve(
            endpoint_client, helper, reservation_ids, watch
        )
        if failure is not None:
            return ReservationFailure(
                _request_failure(failure), helper.endpoint
            )
    return None


def _request_failure(failure: Failure) -> Failure:
    """Return the failure of a request whose reservation failed.

    If only the answer was lost, the reservation exists and expires.
    """
    kind = ErrorKind.NO_CAPACITY
    if failure.kind is ErrorKind.REVOKED:
        kind = ErrorKind.REVOKED
    elif failure.kind is ErrorKind.CONFLICT:
        kind = ErrorKind.OVERLOADED
    return replace(failure, kind=kind)


async def _keep_renewed(
    tasks: TaskGroup,
    endpoint_client: EndpointClient,
    lead: Endpoint,
    reserving_helpers: list[HelperPlacement],
    reservation_ids: dict[str, str],
    watch: OrderWatch,
) -> None:
    interval_s = RENEW_INTERVAL_S
    renewing: set[str] = set()
    while True:
        await anyio.sleep(interval_s)
        if await endpoint_client.try_connect(lead) is ConnectResult.SILENT:
            logger.bind(endpoint=lead.identity).info('leading_endpoint_silent')
            interval_s = SILENT_LEAD_RETRY_S
            continue
        interval_s = RENEW_INTERVAL_S
        # Renewals run concurrently, so that a slow one does not let the others
        # expire. They need no order: the memory is held already.
        for helper in reserving_helpers:
            if helper.endpoint.identity in renewing:
                continue
            tasks.start_soon(
                _renew,
                endpoint_client,
                helper,
                reservation_ids,
                watch,
                renewing,
            )


async def _renew(
    endpoint_client: EndpointClient,
    helper: HelperPlacement,
    reservation_ids: dict[str, str],
    watch: OrderWatch,
    renewing: set[str],
) -> None:
    renewing.add(helper.endpoint.identity)
    failure = await _reserve(endpoint_client, helper, reservation_ids, watch)
    renewing.discard(helper.endpoint.identity)
    if failure is not None:
        logger.bind(
            endpoint=helper.endpoint.identity,
            reason=failure.reason,
        ).warning('reservation_not_renewed')


async def _reserve(
    endpoint_client: EndpointClient,
    helper: HelperPlacement,
    reservation_ids: dict[str, str],
    watch: OrderWatch,
) -> Failure | None:
    reply = await endpoint_client.reserve(
        helper.endpoint,
        reservation_ids[helper.endpoint.identity],
        helper.reserved_tokens,
        LEASE_MS,
    )
    watch.on_notice(helper.endpoint, reply.notice)
    return reply.failure


async def _release_all(
    endpoint_client: EndpointClient,
    reserving_helpers: list[HelperPlacement],
    reservation_ids: dict[str, str],
) -> None:
    """Release reservations until their leases have expired at the latest."""
    with anyio.move_on_after(LEASE_MS / MS_PER_S):
        async with anyio.create_task_group() as tasks:
            for helper in reserving_helpers:
                tasks.start_soon(
                    _release,
                    endpoint_client,
                    helper,
                    reservation_ids[helper.endpoint.identity],
                )


async def _release(
    endpoint_client: EndpointClient,
    helper: HelperPlacement,
    reservation_id: str,
) -> None:
    """Release a reservation; if that fails, its lease expires."""
    for _ in range(MAX_RELEASE_ATTEMPTS):
        reply = await endpoint_client.release(helper.endpoint, reservation_id)
        failure = reply.failure
        if failure is None or failure.kind is ErrorKind.CONFLICT:
            return
        logger.bind(
            endpoint=helper.endpoint.identity,
            reason=failure.reason,
        ).info('reservation_not_released')
