"""Promises of room to refused callers, and what happens when they are lost."""

import json
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final

import anyio
import msgspec
import pytest

from masticwind.budget import Budget
from masticwind.platform.main import platform_adapter
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
)
from masticwind.serving.admission.return_promises import (
    EARLY_S,
    LATE_S,
    MAX_PROMISES,
    PromiseBook,
    ReturnMessage,
    ReturnPromises,
    find_standing,
    return_fingerprint,
)
from masticwind.serving.admission.return_schedule import ReturnSchedule
from masticwind.serving.costs.latency_model import PrefillWork
from masticwind.serving.datagrams import PeerAddress, PeerSocket
from masticwind.serving.model import (
    CallerRequest,
    Route,
    RouteKind,
    Service,
    Team,
)
from masticwind.serving.peers import EntryPeers
from masticwind.serving.placement.load_table import Job
from masticwind.serving.server import DirectEntry
from masticwind.serving.settings import LiveSettings, StoreSettings
from masticwind.settings import Address
from masticwind.web import WebServer
from masticwind_dev.standins.metadata import MetadataStandin
from tests.entry_harness import (
    ENGINE_SERVICE,
    ENGINE_SETTINGS,
    answer_with_events,
    free_udp_port,
    prompt_headers,
    running_entry,
    sample_config_document,
    sample_settings,
)
from tests.manual_clock import ManualClock

pytestmark = pytest.mark.anyio

FINGERPRINT: Final = 7


class _Entries:
    """The promises of some entries that exchange them without a network."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.lossy = False
        self.books = [self.new_book() for _ in range(count)]

    def new_book(self) -> PromiseBook:
        """Return the promises of an entry that has just started."""
        return PromiseBook(self._deliver, self.clock)

    def _deliver(self, message: ReturnMessage) -> None:
        for book in () if self.lossy else self.books:
            book.adopt(message)


def test_promise_is_kept_by_another_entry_and_used_once() -> None:
    """Guards against callers that are refused again, since they come back at
    another entry, and against a place for every copy of a request.
    """
    entries = _Entries(3)
    entries.books[0].promise(FINGERPRINT, 1000)
    assert not entries.books[1].consume(FINGERPRINT)
    entries.clock.now += 1 - EARLY_S / 2
    assert entries.books[1].consume(FINGERPRINT)
    for book in entries.books:
        assert not book.consume(FINGERPRINT)
        assert book.is_empty()


def test_promise_expires() -> None:
    """Guards against room that is kept for callers who do not come back."""
    entries = _Entries(1)
    entries.books[0].promise(FINGERPRINT, 1000)
    entries.clock.now += 1 + LATE_S + 0.01
    assert not entries.books[0].count()
    assert not entries.books[0].consume(FINGERPRINT)


def test_lost_datagram_costs_only_the_place() -> None:
    """Guards against an entry that fails for want of a promise: without the
    datagram, the caller is like any other there, and known to the sender.
    """
    entries = _Entries(2)
    entries.lossy = True
    entries.books[0].promise(FINGERPRINT, 0)
    assert not entries.books[1].consume(FINGERPRINT)
    assert entries.books[0].consume(FINGERPRINT)


def test_restarted_entry_learns_new_promises_and_others_keep_the_old() -> None:
    """Guards against promises that are lost with the entry that made them."""
    entries = _Entries(2)
    entries.books[0].promise(FINGERPRINT, 0)
    entries.books[0] = entries.new_book()
    assert not entries.books[0].consume(FINGERPRINT)
    assert entries.books[1].consume(FINGERPRINT)
    entries.books[1].promise(FINGERPRINT + 1, 0)
    assert entries.books[0].consume(FINGERPRINT + 1)


def test_promises_beyond_the_bound_evict_the_oldest() -> None:
    """Guards against memory that grows with the number of refusals."""
    entries = _Entries(1)
    for number in range(1, MAX_PROMISES + 3):
        entries.books[0].promise(number, 0)
    assert entries.books[0].count() == MAX_PROMISES
    assert not entries.books[0].consume(2)
    assert entries.books[0].consume(3)


def test_promises_of_strangers_and_out_of_range_are_ignored() -> None:
    """Guards against room that anyone who sends datagrams can take."""
    cfg = sample_settings()
    promises = ReturnPromises(PeerSocket(cfg), EntryPeers(cfg))
    promises.receive(ReturnMessage(7, 0, 9), PeerAddress('127.0.0.1', 1))
    assert promises.book.is_empty()
    for fields in ((0, 0, 9), (7, -1, 9), (7, 0, 10**9)):
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert(fields, ReturnMessage)


def _admitted(**fields: Any) -> AdmittedRequest:
    req = CallerRequest(
        request_id='a1',
        method='POST',
        target=b'/p',
        host='h',
        path='/p',
        forwarded_headers=(),
        budget=Budget.from_ms(10_000),
        prompt_parts=('shared', 'own'),
    )
    return AdmittedRequest(
        req=replace(req, **fields),
        route=Route(
            name='r',
            host='h',
            prefix='/',
            kind=RouteKind.STREAM,
            services=(),
        ),
        service=Service(name='s', max_connections=1),
        team=Team(name='t'),
        deadline=0,
        config_version=1,
    )


def test_return_is_recognized_by_what_its_caller_sends_again() -> None:
    """Guards against returns that are not recognized, since their ids differ,
    and against other requests that are taken for them.
    """
    admitted = _admitted()
    key = return_fingerprint(admitted)
    assert return_fingerprint(_admitted(request_id='a2')) == key
    others = [
        _admitted(target=b'/q'),
        _admitted(prompt_parts=('shared', 'other')),
        replace(admitted, team=Team(name='u')),
    ]
    assert key not in {return_fingerprint(other) for other in others}
    assert not return_fingerprint(_admitted(prompt_parts=()))
    book = _Entries(1).books[0]
    progress = RequestProgress()
    assert not find_standing(admitted, progress, book).returning
    book.promise(key, 0)
    progress = RequestProgress()
    for _ in range(2):
        assert find_standing(admitted, progress, book).returning
    assert not find_standing(admitted, RequestProgress(), book).returning
    assert not find_standing(admitted, RequestProgress(), None).returning


async def test_refused_caller_is_served_when_it_comes_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against promises that the request path does not make or use: the
    only engine is full, also when the caller comes back with another id.
    """
    monkeypatch.setattr(ReturnSchedule, 'find_return_ms', lambda *_args: 50.0)
    monkeypatch.setattr(ReturnSchedule, 'has_room', lambda *_args: False)
    async with running_entry(overload='fair') as harness:
        await harness.start_endpoint('e-1', answer_with_events, ENGINE_SERVICE)
        await harness.wait_until_endpoints_known()
        table = harness.entry._load_table
        now = table.clock()
        table.add(
            Job(
                job_id=0,
                request_id=f'other-{number}',
                endpoint_id='e-1',
                prefill=PrefillWork(0, 0),
                context_tokens=1000,
                held_tokens=1000,
                started_at=now,
                first_token_at=now,
                end_at=now + 1,
                decoding=True,
            )
            for number in range(int(ENGINE_SETTINGS['slots']))
        )
        refused = await harness.request(
            '/chat/a', method='POST', headers=prompt_headers()
        )
        assert refused.status == HTTPStatus.SERVICE_UNAVAILABLE
        wait_s = float(refused.headers['retry-after'])
        assert 0 < wait_s <= 1
        await anyio.sleep(wait_s)
        served = await harness.request(
            '/chat/a',
            method='POST',
            request_id='second',
            headers=prompt_headers(),
        )
        assert served.status == HTTPStatus.OK
        assert [req.headers['x-attempt-id'] for req in harness.received] == [
            'second'
        ]


async def test_promises_reach_the_other_entries() -> None:
    """Guards against entries with `overload: fair` that do not exchange their
    promises.
    """
    store = MetadataStandin()
    server = WebServer(store.app, Address())
    store.write('op/config', json.dumps(sample_config_document()).encode())
    entries: list[DirectEntry] = []
    for number in range(2):
        cfg = sample_settings(
            f'entry-{number}',
            store=StoreSettings(address=f'127.0.0.1:{server.port}'),
            peer_port=await free_udp_port(),
            overload='fair',
        )
        entries.append(DirectEntry(LiveSettings(cfg), platform_adapter(cfg)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        for entry in entries:
            tasks.start_soon(entry.run)
        first, second = (one._admission for one in entries)
        assert first.promises is not None
        with anyio.fail_after(5):
            while not second.promise_count():
                first.promises.promise(FINGERPRINT, 1000)
                await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
