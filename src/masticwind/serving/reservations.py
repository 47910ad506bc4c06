"""Memory that is reserved on several engines for one prompt.

A reservation has a lease that is shorter than the time for which unused
memory may stay reserved, and is renewed while its request runs. So it ends
by itself soon after its entry has died, and soon after the leading engine has
lost power, though the entry waits longer for a long read: an entry that gets
no connection to that engine renews nothing. Reservations are made all or
nothing, in the order of the endpoints' identities: two prompts that want the
same engines meet at the first one and cannot block each other.
"""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Final

import anyio
from loguru import logger

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.interfaces import EndpointClient, PrefillHelper
from masticwind.serving.model import Endpoint
from masticwind.serving.placement import Placement, Share

# Shorter than the four seconds that unused memory may stay reserved.
HOLD_MS: Final = 3000
RENEW_S: Final = 1.0
# A leading engine that has just been silent is tried again after this time;
# three lost tries in a row leave the reservation in force.
TRY_AGAIN_S: Final = 0.2
RELEASE_TRIES: Final = 3


@dataclass(frozen=True, slots=True)
class Unreserved:
    """Why a prompt's memory was not reserved, and the endpoint at fault."""

    failure: Failure
    endpoint: Endpoint


@asynccontextmanager
async def reserved(
    link: EndpointClient,
    placement: Placement,
    request_id: str,
) -> AsyncIterator[tuple[PrefillHelper, ...] | Unreserved]:
    """Hold a placement's reservations while its request runs.

    Yields the helpers in the order in which their memory is filled, or the
    engine that does not give its memory; what others gave is released then.
    In either case of a failure the request has not run.
    """
    tickets = _tickets(placement.shares)
    helpers = tuple(
        PrefillHelper(share.endpoint, tickets.get(share.endpoint.identity, ''))
        for share in placement.shares
    )
    if not tickets:
        yield helpers
        return
    log = logger.bind(request_id=request_id, tickets=len(tickets))
    held = [share for share in placement.shares if share.reserved_tokens]
    held.sort(key=_identity)
    try:
        missing = await _reserve_all(link, held, tickets)
        if missing is not None:
            log.bind(
                endpoint=missing.endpoint.identity,
                reason=missing.failure.reason,
            ).info('memory_not_reserved')
            yield missing
            return
        log.info('memory_reserved')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_renew, link, placement.lead, held, tickets)
            yield helpers
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await _release_all(link, held, tickets)


def _tickets(shares: tuple[Share, ...]) -> dict[str, str]:
    return {
        share.endpoint.identity: secrets.token_hex(6)
        for share in shares
        if share.reserved_tokens
    }


def _identity(share: Share) -> str:
    return share.endpoint.identity


async def _reserve_all(
    link: EndpointClient,
    held: list[Share],
    tickets: dict[str, str],
) -> Unreserved | None:
    for share in held:
        failure = await _reserve(link, share, tickets)
        if failure is not None:
            return Unreserved(_not_run(failure), share.endpoint)
    return None


def _not_run(failure: Failure) -> Failure:
    """Return what a failed reservation means for its request.

    A reservation whose answer is lost may have been made; it ends by itself.
    """
    kind = ErrorKind.NO_CAPACITY
    if failure.kind is ErrorKind.REVOKED:
        kind = ErrorKind.REVOKED
    elif failure.kind is ErrorKind.CONFLICT:
        kind = ErrorKind.OVERLOADED
    return replace(failure, kind=kind)


async def _renew(
    link: EndpointClient,
    lead: Endpoint,
    held: list[Share],
    tickets: dict[str, str],
) -> None:
    pause_s = RENEW_S
    while True:
        await anyio.sleep(pause_s)
        if await link.is_silent(lead):
            logger.bind(endpoint=lead.identity).info('leading_endpoint_silent')
            pause_s = TRY_AGAIN_S
            continue
        pause_s = RENEW_S
        # All at once: a slow one must not let the others expire, and what is
        # held already cannot block another prompt.
        async with anyio.create_task_group() as tasks:
            for share in held:
                tasks.start_soon(_renew_one, link, share, tickets)


async def _renew_one(
    link: EndpointClient,
    share: Share,
    tickets: dict[str, str],
) -> None:
    failure = await _reserve(link, share, tickets)
    if failure is not None:
        logger.bind(
            endpoint=share.endpoint.identity,
            reason=failure.reason,
        ).warning('reservation_not_renewed')


async def _reserve(
    link: EndpointClient,
    share: Share,
    tickets: dict[str, str],
) -> Failure | None:
    return await link.reserve(
        share.endpoint,
        tickets[share.endpoint.identity],
        share.reserved_tokens,
        HOLD_MS,
    )


async def _release_all(
    link: EndpointClient,
    held: list[Share],
    tickets: dict[str, str],
) -> None:
    async with anyio.create_task_group() as tasks:
        for share in held:
            tasks.start_soon(
                _release,
                link,
                share,
                tickets[share.endpoint.identity],
            )


async def _release(
    link: EndpointClient, share: Share, reservation_id: str
) -> None:
    """Release; the lease ends what cannot be released."""
    for _ in range(RELEASE_TRIES):
        failure = await link.release(share.endpoint, reservation_id)
        if failure is None or failure.kind is ErrorKind.CONFLICT:
            return
        logger.bind(
            endpoint=share.endpoint.identity,
            reason=failure.reason,
        ).info('reservation_not_released')
