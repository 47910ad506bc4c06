"""Simulates entries that share the limit of one engine, without a network.

Messages are delayed in any order and lost, entries restart without memory,
join late, and are cut off from each other; the views of which entries there
are differ for a while after a change.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final, TypeAlias

import xxhash

from masticwind.budget import MS_PER_S
from masticwind.serving.endpoint_limits import (
    EndpointLimits,
    Permit,
    PermitAuthorities,
)
from masticwind.serving.limit_link import PERMIT_VALIDITY_S, REPLY_TIMEOUT_S
from masticwind.serving.limit_messages import Limit, PermitReply, PermitRequest
from masticwind.serving.model import Endpoint
from masticwind_dev.standins.limit_audit import LimitAudit
from tests.manual_clock import ManualClock

ENGINE: Final = Endpoint(
    identity='e-1',
    service='engines',
    host='127.0.0.1',
    port=1,
    zone='zone-a',
    slots=8,
)
STEP_S: Final = 0.01
MAX_DELAY_S: Final = 0.03
ANSWER_S: Final = 0.02
NOTICE_S: Final = 1.0
# Within this time an entry hears of one that has started.
VIEW_DELAY_S: Final = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SimulationOptions:
    """What happens; shares and rates are per second."""

    seed: int
    entries: int
    limit_per_s: float
    demand_per_s: float = 30
    seconds: float = 20
    loss_share: float = 0
    restarts_per_s: float = 0
    cuts_per_s: float = 0
    joins: int = 0


_Event: TypeAlias = tuple[float, int, Callable[[], None]]


class _View(PermitAuthorities):
    """The entries that one entry knows."""

    def __init__(self, node: int, nodes: set[int], now: float) -> None:
        self.node: Final = node
        self.nodes: Final = set(nodes)
        self.latest_change: float = now

    def granter(self, identity: str) -> int:
        """Return the entry that grants permits, as this entry sees it."""
        return min(
            self.nodes | {self.node},
            key=lambda node: xxhash.xxh64_intdigest(
                f'{identity} {node}'.encode()
            ),
        )

    def grants_permits(self, identity: str) -> bool:
        """Tell whether it is this entry."""
        return self.granter(identity) == self.node

    def changed_at(self) -> float:
        """Return when the entry started or saw another one."""
        return self.latest_change

    def add(self, node: int, now: float) -> None:
        """Add an entry that has joined."""
        self.nodes.add(node)
        self.latest_change = now


@dataclass
class _Entry:
    number: int
    view: _View
    limits: EndpointLimits
    incarnation: int
    pending: dict[int, float] = field(default_factory=dict)


class LimitSimulation:
    """Plays the entries, and counts what arrives at the engine."""

    def __init__(self, options: SimulationOptions) -> None:
        self._options: Final = options
        self._random: Final = random.Random(options.seed)
        self.clock: Final = ManualClock()
        self.audit: Final = LimitAudit(clock=self.clock)
        self.arrivals: Final[list[float]] = []
        self.limit: float | None = options.limit_per_s
        self._numbers: Final = itertools.count(1)
        self._events: Final[list[_Event]] = []
        self._cut_until: Final[dict[frozenset[int], float]] = {}
        self._entries: Final[dict[int, _Entry]] = {}
        for number in range(options.entries):
            self._entries[number] = self._new_entry(
                number, set(range(options.entries))
            )

    def run(self) -> None:
        """Play the whole time."""
        if self.limit is not None:
            self.audit.record_limit(ENGINE.identity, self.limit)
        self.play(self._options.seconds)

    def play(self, seconds: float) -> None:
        """Play some seconds."""
        end = self.clock.now + seconds
        next_notice_at = self.clock.now + NOTICE_S
        join_at = self.clock.now + seconds / 2
        while self.clock.now < end:
            self.clock.now += STEP_S
            self._run_events()
            self._start_faults()
            self._start_requests()
            if self.clock.now >= next_notice_at:
                next_notice_at += NOTICE_S
                for entry in self._entries.values():
                    entry.limits.remove_expired()
                    self._broadcast(entry, entry.limits.own_news())
            if self.clock.now >= join_at:
                join_at = end
                self._join()

    def end_limit(self) -> None:
        """Let the engine name no limit any more."""
        self.limit = None
        self.audit.record_end(ENGINE.identity)

    def known_count(self) -> int:
        """Return how many entries obey a limit."""
        return sum(entry.limits.count() for entry in self._entries.values())

    def _new_entry(
        self, number: int, nodes: set[int], incarnation: int = 0
    ) -> _Entry:
        view = _View(number, nodes, self.clock.now)
        limits = EndpointLimits(
            f'entry-{number}', str(incarnation), view, self.clock
        )
        return _Entry(number, view, limits, incarnation)

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _run_events(self) -> None:
        while self._events and self._events[0][0] <= self.clock.now:
            heapq.heappop(self._events)[2]()

    def _happens(self, rate_per_s: float) -> bool:
        return self._random.random() < rate_per_s * STEP_S

    def _start_faults(self) -> None:
        options = self._options
        if self._happens(options.restarts_per_s):
            number = self._random.choice(list(self._entries))
            old = self._entries[number]
            self.audit.excuse(str(number))
            self._entries[number] = self._new_entry(
                number, old.view.nodes, old.incarnation + 1
            )
        if options.entries > 1 and self._happens(options.cuts_per_s):
            pair = self._random.sample(list(self._entries), 2)
            until = self.clock.now + self._random.uniform(0.5, 4)
            self._cut_until[frozenset(pair)] = until

    def _join(self) -> None:
        for _ in range(self._options.joins):
            number = len(self._entries)
            self._entries[number] = self._new_entry(
                number, set(self._entries) | {number}
            )
            for entry in list(self._entries.values()):
                self._at(
                    self.clock.now + self._random.uniform(0, VIEW_DELAY_S),
                    partial(self._see, entry.view, number),
                )

    def _see(self, view: _View, number: int) -> None:
        view.add(number, self.clock.now)

    def _start_requests(self) -> None:
        for number in list(self._entries):
            if self._happens(self._options.demand_per_s / len(self._entries)):
                self._request(self._entries[number])

    def _request(self, entry: _Entry) -> None:
        req = entry.limits.build_request(ENGINE, next(self._numbers), 1, 0)
        if req is None:
            self._send(entry, None)
            return
        granter = entry.view.granter(ENGINE.identity)
        entry.pending[req.number] = self.clock.now
        if granter == entry.number:
            self._decide(entry, req, entry)
            return
        self._deliver(
            entry,
            granter,
            lambda other: self._decide(other, req, entry),
        )

    def _decide(
        self, granter: _Entry, req: PermitRequest, asker: _Entry
    ) -> None:
        reply = granter.limits.decide(req)
        self._broadcast(granter, granter.limits.take_changes())
        if granter is asker:
            self._receive_reply(asker, reply)
            return
        self._deliver(
            granter,
            asker.number,
            lambda other: self._receive_reply(other, reply),
        )

    def _receive_reply(self, entry: _Entry, reply: PermitReply) -> None:
        asked_at = entry.pending.pop(reply.number, None)
        if asked_at is None or self.clock.now - asked_at > REPLY_TIMEOUT_S:
            return
        entry.limits.apply_reply(reply)
        if not reply.granted:
            return
        # The event loop may be late by as much as a permit is valid.
        late_s = self._random.uniform(0, PERMIT_VALIDITY_S - REPLY_TIMEOUT_S)
        self._at(
            self.clock.now + reply.wait_ms / MS_PER_S + late_s,
            lambda: self._send(entry, Permit(limit=reply.limit)),
        )

    def _send(self, entry: _Entry, permit: Permit | None) -> None:
        if self._entries[entry.number] is not entry:
            return
        self.arrivals.append(self.clock.now)
        self.audit.record_request(ENGINE.identity, str(entry.number))
        rate = float('inf') if self.limit is None else self.limit
        self._at(
            self.clock.now + self._random.uniform(0, ANSWER_S),
            lambda: self._receive_answer(entry, permit, rate),
        )

    def _receive_answer(
        self, entry: _Entry, permit: Permit | None, rate: float
    ) -> None:
        if self._entries[entry.number] is not entry:
            return
        if self.limit is not None:
            self.audit.record_answer(ENGINE.identity, str(entry.number))
        said = entry.limits.observe(ENGINE, rate, permit)
        if said is None:
            return
        granter = entry.view.granter(ENGINE.identity)
        if granter == entry.number:
            self._report(entry, said)
            return
        self._deliver(entry, granter, lambda other: self._report(other, said))

    def _report(self, granter: _Entry, said: Limit) -> None:
        granter.limits.apply_report(said)
        self._broadcast(granter, granter.limits.take_changes())

    def _broadcast(self, sender: _Entry, limits: list[Limit]) -> None:
        if not limits:
            return
        for number in sender.view.nodes - {sender.number}:
            self._deliver(sender, number, partial(_adopt_all, limits))

    def _deliver(
        self, sender: _Entry, number: int, action: Callable[[_Entry], None]
    ) -> None:
        cut_until = self._cut_until.get(frozenset((sender.number, number)), 0)
        if cut_until > self.clock.now:
            return
        if self._random.random() < self._options.loss_share:
            return
        self._at(
            self.clock.now + self._random.uniform(0.001, MAX_DELAY_S),
            partial(self._arrive, number, action),
        )

    def _arrive(self, number: int, action: Callable[[_Entry], None]) -> None:
        entry = self._entries.get(number)
        if entry is not None:
            action(entry)


def _adopt_all(limits: list[Limit], entry: _Entry) -> None:
    for limit in limits:
        entry.limits.adopt(limit)
