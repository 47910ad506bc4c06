"""Limits that endpoints name on the requests of all entries together.

An endpoint in need names the requests per second that it takes. For each
endpoint one entry, the same for all that know the same entries, grants permits
at this rate, and every entry needs one for each request. So the sum over all
entries is bounded for any number of entries, and permits go where the demand
is. An entry that does not reach the granting one sends nothing there.

A limit holds until the endpoint answers a request without naming one. Answers
overtake each other, so this must be the answer to a request whose permit was
granted after the limit was last changed: the endpoint has then received the
request after it named the limit. No clocks are compared.

An entry that has started, or that sees other entries than before, may have
become the granting one. It waits for `HANDOVER_S` before its first permit, so
that those of its predecessor have been used.
"""

import abc
import math
from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import Final

from loguru import logger

from masticwind.budget import MS_PER_S, boot_time
from masticwind.serving.limit_messages import (
    MAX_WAIT_MS,
    Limit,
    PermitReply,
    PermitRequest,
)
from masticwind.serving.model import Endpoint
from masticwind.serving.permit_schedule import PermitSchedule, interval_s

# Longest wait of a granted permit.
MAX_PERMIT_WAIT_S: Final = 2.0
# An entry hears of its successor within a second. Its last permit is due after
# `MAX_PERMIT_WAIT_S` and valid for half a second. One second of both entries
# granting permits is within what endpoints tolerate.
HANDOVER_S: Final = 2.5
# Time for which an endpoint is avoided if nobody grants permits for it.
UNREACHABLE_S: Final = 1.0
# Time for which requests with a higher priority go first.
PRIORITY_MEMORY_S: Final = 4.0
# Time for which the end of a limit is remembered, so that an entry which has
# missed it does not bring the limit back.
ENDED_MEMORY_S: Final = 60.0
MAX_LIMITS: Final = 4096


class PermitAuthorities(abc.ABC):
    """Tells which entry grants the permits for an endpoint."""

    @abc.abstractmethod
    def grants_permits(self, identity: str) -> bool:
        """Tell whether it is this entry."""

    @abc.abstractmethod
    def changed_at(self) -> float:
        """Return when this entry started, or last saw other entries."""


@dataclass(slots=True)
class KnownLimit:
    """A limit that this entry obeys.

    `next_at` is when a permit is probably due. Times are on the clock of the
    limits.
    """

    limit: Limit
    source: str
    began_at: float
    next_at: float


@dataclass(slots=True)
class _GrantedLimit:
    """A limit whose permits this entry grants."""

    limit: Limit
    schedule: PermitSchedule
    top_priority: int
    top_priority_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """The permission to send one request to a limited endpoint now."""

    limit: Limit
    waited_ms: float = 0
    known_for_s: float = 0
    source: str = ''


class EndpointLimits:
    """The limits that this entry knows, and the permits that it grants."""

    def __init__(
        self,
        node: str,
        incarnation: str,
        authorities: PermitAuthorities,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self.node: Final = node
        self.authority: Final = f'{node}/{incarnation}'
        self.clock: Final = clock
        self._authorities: Final = authorities
        self._known: Final[dict[str, KnownLimit]] = {}
        self._granted: Final[dict[str, _GrantedLimit]] = {}
        self._ended: Final[dict[str, tuple[Limit, float]]] = {}
        self._changed: Final[set[str]] = set()
        self._epoch = 0

    def count(self) -> int:
        """Return the number of endpoints that are limited."""
        return len(self._known)

    def find(self, endpoint: Endpoint) -> KnownLimit | None:
        """Return the limit of an endpoint's present process."""
        known = self._known.get(endpoint.identity)
        if known is None or known.limit.started_at_ms != endpoint.started_at_ms:
            return None
        return known

    def wait_ms(self, endpoint: Endpoint) -> float:
        """Return the probable wait for a permit; zero without a limit."""
        known = self.find(endpoint)
        if known is None:
            return 0.0
        if self._authorities.grants_permits(endpoint.identity):
            granted = self._granted.get(endpoint.identity)
            if granted is not None and granted.limit == known.limit:
                return granted.schedule.wait_s(self.clock()) * MS_PER_S
        return max(0.0, known.next_at - self.clock()) * MS_PER_S

    def describe(self) -> list[dict[str, object]]:
        """Return all limits that this entry obeys, for operators."""
        now = self.clock()
        return [
            {
                'endpoint': identity,
                'limit_per_s': known.limit.rate_per_s,
                'source': known.source,
                'age_s': round(now - known.began_at, 3),
                'authority': known.limit.authority,
            }
            for identity, known in sorted(self._known.items())
        ]

    def observe(
        self,
        endpoint: Endpoint,
        rate_per_s: float | None,
        permit: Permit | None,
    ) -> Limit | None:
        """Record what an answer of an endpoint said.

        `permit` is that of the request, if it needed one. Returns what the
        granting entry has to know, None if that is nothing new.
        """
        if rate_per_s is None or self._is_former_process(endpoint):
            return None
        known = self.find(endpoint)
        if math.isinf(rate_per_s):
            if known is None or permit is None:
                return None
            return _with_rate(permit.limit, None)
        if known is not None and rate_per_s == known.limit.rate_per_s:
            return None
        if permit is not None:
            return _with_rate(permit.limit, rate_per_s)
        limit = Limit(
            endpoint.identity, endpoint.started_at_ms, float(rate_per_s)
        )
        if known is None:
            self._learn(limit, 'answer')
        return limit

    def build_request(
        self, endpoint: Endpoint, number: int, max_wait_s: float, priority: int
    ) -> PermitRequest | None:
        """Return the request for a permit; None without a limit."""
        known = self.find(endpoint)
        if known is None:
            return None
        return PermitRequest(
            entry=self.node,
            number=number,
            limit=known.limit,
            max_wait_ms=min(MAX_WAIT_MS, max(0.0, max_wait_s) * MS_PER_S),
            priority=priority,
        )

    def decide(self, req: PermitRequest) -> PermitReply:
        """Grant or deny a permit, as the granting entry."""
        identity = req.limit.identity
        if not self._authorities.grants_permits(identity):
            return PermitReply(
                req.number, False, 0, UNREACHABLE_S * MS_PER_S, req.limit
            )
        ended = self._ended.get(identity)
        if ended is not None and _covers(ended[0], req.limit):
            return PermitReply(
                req.number, True, 0, 0, _with_rate(req.limit, None)
            )
        granted = self._granted_limit(req.limit)
        wait_s = self._try_grant(granted, req)
        next_ms = granted.schedule.wait_s(self.clock()) * MS_PER_S
        return PermitReply(
            req.number,
            wait_s is not None,
            min(MAX_WAIT_MS, (wait_s or 0) * MS_PER_S),
            min(MAX_WAIT_MS, next_ms),
            granted.limit,
        )

    def apply_reply(self, reply: PermitReply) -> None:
        """Record what the granting entry replied."""
        self.adopt(reply.limit)
        known = self._known.get(reply.limit.identity)
        if known is not None:
            known.next_at = self.clock() + reply.next_ms / MS_PER_S

    def record_unreachable(self, endpoint: Endpoint) -> None:
        """Record that nobody has answered the request for a permit."""
        known = self.find(endpoint)
        if known is not None:
            known.next_at = self.clock() + UNREACHABLE_S

    def apply_report(self, said: Limit) -> None:
        """Apply what an answer said, as the granting entry."""
        if not self._authorities.grants_permits(said.identity):
            return
        granted = self._granted.get(said.identity)
        current = None if granted is None else granted.limit
        if said.rate_per_s is None:
            if current is not None and _is_same_epoch(current, said):
                self._end_granted(current)
            return
        if current is None or current.started_at_ms < said.started_at_ms:
            self._granted_limit(said)
            return
        if current.started_at_ms > said.started_at_ms:
            return
        rate_per_s = said.rate_per_s
        if not _is_same_epoch(current, said):
            # It is unknown which of the two was said later.
            rate_per_s = min(rate_per_s, current.rate_per_s or 0)
        if rate_per_s == current.rate_per_s:
            return
        self._grant(
            Limit(
                said.identity,
                said.started_at_ms,
                rate_per_s,
                self.authority,
                self._next_epoch(),
            ),
            interval_s(rate_per_s),
        )

    def own_news(self) -> list[Limit]:
        """Return the limits that this entry grants, and those that ended."""
        ended = [_with_rate(limit, None) for limit, _ in self._ended.values()]
        return [granted.limit for granted in self._granted.values()] + ended

    def take_changes(self) -> list[Limit]:
        """Return the limits that changed here since the last call."""
        changed = [
            limit
            for limit in self.own_news()
            if limit.identity in self._changed
        ]
        self._changed.clear()
        return changed

    def known_news(self) -> list[Limit]:
        """Return all limits that this entry obeys."""
        return [known.limit for known in self._known.values()]

    def adopt(self, limit: Limit) -> None:
        """Adopt what another entry says about a limit."""
        known = self._known.get(limit.identity)
        if known is None:
            if limit.rate_per_s is not None:
                self._learn(limit, 'peer')
            return
        if known.limit.started_at_ms > limit.started_at_ms:
            return
        if self._is_granted_here(limit):
            return
        if limit.rate_per_s is None:
            if _covers(limit, known.limit):
                self._forget_known(limit.identity, 'peer')
            return
        if not _covers(known.limit, limit):
            self._learn(limit, 'peer')

    def forget(self, identity: str) -> None:
        """Drop all that is known of an endpoint that is gone."""
        self._granted.pop(identity, None)
        self._ended.pop(identity, None)
        if identity in self._known:
            self._forget_known(identity, 'endpoint removed')

    def retain(self, identities: Container[str]) -> None:
        """Drop what is known of all other endpoints."""
        for identity in list(self._known):
            if identity not in identities:
                self.forget(identity)

    def remove_expired(self) -> None:
        """Drop ends that are long ago, and what other entries grant now."""
        oldest = self.clock() - ENDED_MEMORY_S
        for identity, (_, ended_at) in list(self._ended.items()):
            if ended_at < oldest:
                self._ended.pop(identity)
        for identity in list(self._granted):
            if not self._authorities.grants_permits(identity):
                self._granted.pop(identity)

    def _next_epoch(self) -> int:
        self._epoch += 1
        return self._epoch

    def _is_former_process(self, endpoint: Endpoint) -> bool:
        known = self._known.get(endpoint.identity)
        return (
            known is not None
            and known.limit.started_at_ms > endpoint.started_at_ms
        )

    def _is_granted_here(self, limit: Limit) -> bool:
        granted = self._granted.get(limit.identity)
        return (
            granted is not None
            and granted.limit.started_at_ms >= limit.started_at_ms
            and self._authorities.grants_permits(limit.identity)
        )

    def _granted_limit(self, said: Limit) -> _GrantedLimit:
        """Return a limit granted here; begin to grant it if it is new."""
        granted = self._granted.get(said.identity)
        if (
            granted is not None
            and granted.limit.started_at_ms >= said.started_at_ms
        ):
            return granted
        rate_per_s = said.rate_per_s or 0
        settled_at = self._authorities.changed_at() + HANDOVER_S
        delay_s = max(interval_s(rate_per_s), settled_at - self.clock())
        return self._grant(
            Limit(
                said.identity,
                said.started_at_ms,
                rate_per_s,
                self.authority,
                self._next_epoch(),
            ),
            delay_s,
        )

    def _grant(self, limit: Limit, delay_s: float) -> _GrantedLimit:
        now = self.clock()
        granted = _GrantedLimit(
            limit,
            PermitSchedule(limit.rate_per_s or 0, now + delay_s),
            top_priority=0,
            top_priority_at=-math.inf,
        )
        self._ended.pop(limit.identity, None)
        self._granted[limit.identity] = granted
        self._changed.add(limit.identity)
        self._learn(limit, 'granted')
        return granted

    def _try_grant(
        self, granted: _GrantedLimit, req: PermitRequest
    ) -> float | None:
        """Grant a permit; less urgent requests get what is left over."""
        now = self.clock()
        if now - granted.top_priority_at > PRIORITY_MEMORY_S:
            granted.top_priority = req.priority
        if req.priority > granted.top_priority:
            return granted.schedule.try_grant_spare(now)
        granted.top_priority = req.priority
        granted.top_priority_at = now
        return granted.schedule.try_grant(
            now, min(MAX_PERMIT_WAIT_S, req.max_wait_ms / MS_PER_S)
        )

    def _end_granted(self, limit: Limit) -> None:
        self._granted.pop(limit.identity)
        self._ended[limit.identity] = (limit, self.clock())
        self._changed.add(limit.identity)
        self._forget_known(limit.identity, 'answer')

    def _learn(self, limit: Limit, source: str) -> None:
        known = self._known.get(limit.identity)
        if known is None and len(self._known) >= MAX_LIMITS:
            logger.bind(endpoint=limit.identity).warning('too_many_limits')
            return
        now = self.clock()
        next_at = now + interval_s(limit.rate_per_s or 0)
        if known is not None and known.limit.rate_per_s == limit.rate_per_s:
            next_at = known.next_at
        log = logger.bind(
            endpoint=limit.identity,
            limit_per_s=limit.rate_per_s,
            source=source,
            authority=limit.authority,
        )
        if known is None:
            log.info('endpoint_limit_began')
        elif known.limit.rate_per_s != limit.rate_per_s:
            log.bind(
                before_per_s=known.limit.rate_per_s,
                age_s=round(now - known.began_at, 3),
            ).info('endpoint_limit_changed')
        self._known[limit.identity] = KnownLimit(
            limit,
            source if known is None else known.source,
            now if known is None else known.began_at,
            next_at,
        )

    def _forget_known(self, identity: str, source: str) -> None:
        known = self._known.pop(identity, None)
        if known is None:
            return
        logger.bind(
            endpoint=identity,
            limit_per_s=known.limit.rate_per_s,
            source=source,
            age_s=round(self.clock() - known.began_at, 3),
        ).info('endpoint_limit_ended')


def _with_rate(limit: Limit, rate_per_s: float | None) -> Limit:
    return Limit(
        limit.identity,
        limit.started_at_ms,
        rate_per_s,
        limit.authority,
        limit.epoch,
    )


def _covers(newer: Limit, older: Limit) -> bool:
    """Tell whether a limit is the same as another one or a later one, as far
    as one authority knows.
    """
    return (newer.started_at_ms, newer.authority) == (
        older.started_at_ms,
        older.authority,
    ) and newer.epoch >= older.epoch


def _is_same_epoch(one: Limit, other: Limit) -> bool:
    return (one.started_at_ms, one.authority, one.epoch) == (
        other.started_at_ms,
        other.authority,
        other.epoch,
    )
