"""Entries that place requests on engines of three zones, without a network.

A datagram takes a few milliseconds. The entries know all jobs; an engine that
has ended has none.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any, Final

import msgspec

from masticwind.errors import ErrorKind, Failure
from masticwind.platform.documents import PlatformDecoder
from masticwind.serving.admission.requests import RequestProgress
from masticwind.serving.datagrams import PeerSocket
from masticwind.serving.model import Endpoint
from masticwind.serving.placement.load_table import Job
from masticwind.serving.placement.placer import Placement
from masticwind.serving.settings import DirectSettings
from masticwind.serving.store import Item
from tests.entry_harness import registration_json, sample_settings
from tests.manual_clock import ManualClock
from tests.news_entry import SERVICE, NewsEntry, World, admitted_request

ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
DATAGRAM_S: Final = 0.0035
EVENT_INTERVAL_S: Final = 0.05


class _Socket(PeerSocket):
    """Hands datagrams to the fleet."""

    def __init__(self, fleet: 'NewsFleet', cfg: DirectSettings) -> None:
        super().__init__(cfg)
        self._fleet: Final = fleet

    def send(
        self, kind: str, message: msgspec.Struct, _peers: Iterable[Any]
    ) -> None:
        """Send a message to all other entries."""
        content = msgspec.msgpack.encode((kind, message))
        for entry in self._fleet.entries:
            if entry.socket is not self and not self._fleet.is_lost():
                self._fleet.at(DATAGRAM_S, entry.deliver, content)


@dataclass
class NewsFleet:
    """Entries, engines and the datagrams between the entries.

    `gone` has the engines that have ended, and how their addresses answer.
    """

    seed: int = 0
    loss: float = 0
    clock: ManualClock = field(default_factory=ManualClock)
    entries: list[NewsEntry] = field(default_factory=list)
    engines: dict[str, Endpoint] = field(default_factory=dict)
    gone: dict[str, ErrorKind] = field(default_factory=dict)
    attempts_at_gone: int = 0
    unserved: int = 0
    jobs: dict[str, list[Job]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create what the seed determines."""
        self.rng = random.Random(self.seed)
        self._events: list[tuple[float, int, Callable[..., Any], Any]] = []
        self._numbers = itertools.count()

    def add_entry(self, *, news: bool = True) -> NewsEntry:
        """Add an entry that knows the engines added so far."""
        number = len(self.entries)
        zone = ZONES[number % len(ZONES)]
        cfg = sample_settings(f'entry-{number}', zone=zone, endpoint_news=news)
        entry = NewsEntry(
            _Socket(self, cfg),
            cfg,
            World(self.clock, self.rng, self.jobs_by_endpoint),
        )
        self.entries.append(entry)
        for identity, engine in self.engines.items():
            entry.directory.apply_changes((_item(identity, engine.zone),))
        return entry

    def add_engines(self, count: int, zone: str) -> list[Endpoint]:
        """Register engines of a zone, also at entries that run already."""
        added = []
        for _ in range(count):
            identity = f'{zone}-{len(self.engines)}'
            item = _item(identity, zone)
            engine = PlatformDecoder().decode_endpoint(item)
            assert not isinstance(engine, Failure)
            self.engines[identity] = engine
            added.append(engine)
            for entry in self.entries:
                entry.directory.apply_changes((item,))
        return added

    def is_lost(self) -> bool:
        """Tell whether a datagram is lost."""
        return self.rng.random() < self.loss

    def jobs_by_endpoint(self) -> dict[str, list[Job]]:
        """Return the jobs of all entries."""
        return self.jobs

    def at(
        self, delay_s: float, action: Callable[..., Any], *args: Any
    ) -> None:
        """Call something after some time."""
        due = self.clock.now + delay_s
        heapq.heappush(self._events, (due, next(self._numbers), action, args))

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.now + seconds
        while self._events and self._events[0][0] <= end:
            due, _, action, args = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, due)
            result = action(*args)
            if result is not None:
                await result
        self.clock.now = end

    def end_engine(self, identity: str, kind: ErrorKind) -> None:
        """End an engine; its registration stays for a while."""
        self.gone[identity] = kind
        self.jobs.pop(identity, None)

    async def serve(self, entry: NewsEntry, prompt_tokens: int) -> None:
        """Serve a prompt, with retries as long as its endpoints are gone."""
        admitted = admitted_request(prompt_tokens=prompt_tokens)
        progress = RequestProgress()
        while True:
            placement = entry.placer._place_once(admitted, progress)
            if not isinstance(placement, Placement):
                self.unserved += 1
                return
            lead = placement.lead
            progress.attempts += 1
            kind = self.gone.get(lead.identity)
            if kind is None:
                self._start_jobs(entry, placement)
                return
            self.attempts_at_gone += 1
            failure = Failure(
                kind=kind, reason='', refused=kind is ErrorKind.NO_CAPACITY
            )
            await entry.record_failure(progress, placement, failure)
            if not progress.may_retry(admitted):
                self.unserved += 1
                return

    def _start_jobs(self, entry: NewsEntry, placement: Placement) -> None:
        job = placement.jobs[0]
        self.jobs.setdefault(job.endpoint_id, []).append(job)
        first_s = job.first_token_at - self.clock.now
        self.at(first_s, self._begin_decoding, entry, job)

    def _begin_decoding(self, entry: NewsEntry, job: Job) -> None:
        jobs = self.jobs.get(job.endpoint_id, [])
        if job not in jobs:
            return
        decoding = replace(job, decoding=True)
        jobs[jobs.index(job)] = decoding
        for other in self.entries:
            delay_s = 0 if other is entry else DATAGRAM_S + EVENT_INTERVAL_S / 9
            self.at(delay_s, other.news.record_liveness, job.endpoint_id)
        self._pass_event(entry, decoding)

    def _pass_event(self, entry: NewsEntry, job: Job) -> None:
        jobs = self.jobs.get(job.endpoint_id, [])
        if job not in jobs:
            return
        if self.clock.now >= job.end_at:
            jobs.remove(job)
            return
        entry.news.record_liveness(job.endpoint_id)
        self.at(EVENT_INTERVAL_S, self._pass_event, entry, job)


def small_fleet(engines: int, *, news: bool = True) -> NewsFleet:
    """Return two entries that know engines of one zone."""
    fleet = NewsFleet()
    fleet.add_engines(engines, ZONES[1])
    for _ in range(2):
        fleet.add_entry(news=news)
    return fleet


def _item(identity: str, zone: str) -> Item:
    value = registration_json(7, SERVICE, zone=zone, born=1, slots=6)
    return Item(f'servers/{identity}', value, 1)
