"""Requests during which the operators put another version in force.

Each step is a wait of an admitted request, and a new version arrives in it.
"""

import copy
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

import anyio
import h11
import pytest

from masticwind.serving import endpoint_limits
from masticwind.serving.placement.placer import Deferral, PlacementQuery
from masticwind.serving.placement.prompt_placer import PromptPlacer
from masticwind.serving.settings import FleetBounds
from masticwind_dev.standins.raw_endpoint import (
    LAST_CHUNK,
    RawConnection,
    ReceivedRequest,
    encode_event_chunk,
    encode_head,
    encode_stream_head,
)
from tests.entry_harness import (
    API_KEY,
    ENGINE_SERVICE,
    EntryHarness,
    answer_with_events,
    caller_headers,
    prompt_headers,
    running_entry,
    sample_config_document,
)
from tests.log_records import collected_log_records

pytestmark = pytest.mark.anyio

REQUEST_ID: Final = 'changed'
ADMITTED_VERSION: Final = 3
TIMEOUT_MS: Final = 4000
WHOLE_STREAM: Final = b''.join(
    b'id: %d\ndata: x\n\n' % number for number in range(1, 5)
)
BODY: Final = b'12345678'
ORDER_TARGET: Final = '/-/order'
ZONES: Final = ('zone-a', 'zone-b')
Document = dict[str, Any]


def _remove_routes(document: Document) -> None:
    document['routes'] = document['routes'][-1:]


def _move_routes(document: Document) -> None:
    document['services'].append({'name': 'other', 'max_conns': 10})
    for route in document['routes']:
        route['service'] = 'other'


def _change_route_kinds(document: Document) -> None:
    for route in document['routes']:
        route.update(
            kind='non_idempotent', max_attempts=1, resumable=False, priority=9
        )


def _move_home(document: Document) -> None:
    for section in ('routes', 'tenants'):
        for item in document[section]:
            item['home_regions'] = ['region-c']


def _remove_services(document: Document) -> None:
    document['services'] = []


def _remove_routes_and_services(document: Document) -> None:
    document['services'] = []
    document['routes'] = []


def _remove_profile(document: Document) -> None:
    document['services'][1].pop('engine')


def _change_profile(document: Document) -> None:
    document['services'][1]['engine'].update(
        slots=1, kv_capacity=1, chunk=1, read_per_s=1, hop_ms=None
    )


def _take_key(document: Document) -> None:
    document['tenants'][0]['api_keys'] = ['another-key']


def _remove_team(document: Document) -> None:
    document['tenants'] = []


def _remove_all_keys(document: Document) -> None:
    document.pop('tenants')


def _lower_connections(document: Document) -> None:
    for service in document['services']:
        service.update(max_conns=0, cold_per_s=0.01)


def _lower_timeouts(document: Document) -> None:
    for route in document['routes']:
        route.update(timeout_ms=1, goal_ms=1, gap_target_ms=1)


def _lower_limits(document: Document) -> None:
    document['limits'] = {
        'max_header_bytes': 1,
        'max_body_bytes': 1,
        'header_timeout_ms': 1,
        'idle_timeout_ms': 1,
    }


CHANGES: Final[Mapping[str, Callable[[Document], None]]] = MappingProxyType(
    {
        change.__name__.removeprefix('_'): change
        for change in (
            _remove_routes,
            _move_routes,
            _change_route_kinds,
            _move_home,
            _remove_services,
            _remove_routes_and_services,
            _remove_profile,
            _change_profile,
            _take_key,
            _remove_team,
            _remove_all_keys,
            _lower_connections,
            _lower_timeouts,
            _lower_limits,
        )
    }
)


@dataclass
class Caller:
    """A caller's answer; `whole` says that it was received to its end."""

    status: int = 0
    body: bytes = b''
    whole: bool = False

    async def receive(self, stream: anyio.abc.SocketStream) -> None:
        """Receive an answer until its end or that of the connection."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'x')])
        )
        parser.send(h11.EndOfMessage())
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError:
                # The connection has been closed within the answer.
                return
            if event is h11.NEED_DATA:
                parser.receive_data(await _receive_or_eof(stream))
            elif isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.body += bytes(event.data)
            else:
                self.whole = isinstance(event, h11.EndOfMessage)
                return


async def _receive_or_eof(stream: anyio.abc.SocketStream) -> bytes:
    try:
        return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b''


@dataclass
class Step:
    """A wait of a request; `reached` and `released` begin and end it.

    `is_sent` tells whether an engine has the request during the wait.
    """

    reached: anyio.Event = field(default_factory=anyio.Event)
    released: anyio.Event = field(default_factory=anyio.Event)
    attempts: int = 0
    engines: int = 4
    tokens: int = 1000
    kv_capacity: int = 450_000
    is_sent: bool = False

    def prepare(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Patch what leads to the wait; nothing by default."""

    async def warm_up(self, harness: EntryHarness) -> None:
        """Send the requests that lead to the wait."""
        await harness.wait_until_served('/chat/a', request_id='warm')

    async def send(self, stream: anyio.abc.SocketStream) -> None:
        """Send the request."""
        await stream.send(self.encode_request())

    def encode_request(self) -> bytes:
        """Return the bytes of the request."""
        headers = (
            *caller_headers(API_KEY, REQUEST_ID, TIMEOUT_MS),
            *prompt_headers(self.tokens),
            (b'Content-Length', str(len(BODY)).encode()),
        )
        lines = [b'POST /chat/a HTTP/1.1']
        lines += [b'%b: %b' % header for header in headers]
        return b'\r\n'.join((*lines, b'', BODY))

    async def answer(self, req: ReceivedRequest, conn: RawConnection) -> None:
        """Answer as an engine."""
        if req.target == ORDER_TARGET:
            await self.answer_order(req, conn)
        elif req.headers.get('x-attempt-id') == REQUEST_ID:
            self.attempts += 1
            if self.attempts == 1:
                await self.answer_first(req, conn)
            else:
                await answer_with_events(req, conn)
        else:
            await self.answer_other(req, conn)

    async def answer_first(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Answer the first attempt of the request."""
        await answer_with_events(req, conn)

    async def answer_other(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Answer another request."""
        await answer_with_events(req, conn)

    async def answer_order(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Answer an order."""
        await conn.send_answer(req, body=b'{}')

    async def wait(self) -> None:
        """Wait until the new version is in force."""
        self.reached.set()
        await self.released.wait()


class HalfBody(Step):
    """Half of the body has been received."""

    async def send(self, stream: anyio.abc.SocketStream) -> None:
        """Send the request, its end after the wait."""
        request = self.encode_request()
        half = len(BODY) // 2
        await stream.send(request[:-half])
        await anyio.sleep(0.03)
        assert not self.attempts
        await self.wait()
        await stream.send(request[-half:])


class Deferred(Step):
    """The placement is deferred."""

    def prepare(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Defer the request until the new version is in force."""
        place = PromptPlacer.place

        def defer(placer: PromptPlacer, query: PlacementQuery) -> Any:
            if query.request_id == REQUEST_ID and not self.released.is_set():
                self.reached.set()
                return Deferral(10, 'test')
            return place(placer, query)

        monkeypatch.setattr(PromptPlacer, 'place', defer)


class HeldBack(Step):
    """The entry waits before it sends the request to the only engine."""

    async def send(self, stream: anyio.abc.SocketStream) -> None:
        """Send the request; the version arrives before the wait ends."""
        await super().send(stream)
        await anyio.sleep(0.03)
        assert not self.attempts
        self.reached.set()


class BeforePermit(HeldBack):
    """The only engine limits its requests, so that a permit takes a while."""

    def prepare(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Shorten the wait for the first permit."""
        monkeypatch.setattr(endpoint_limits, 'HANDOVER_S', 0.4)

    async def warm_up(self, harness: EntryHarness) -> None:
        """Use the first permits."""
        for _ in range(2):
            await harness.wait_until_served('/chat/a', request_id='warm')

    async def answer_other(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Name a limit."""
        await conn.write(encode_stream_head(req, ('Server-Limit: 1',)))
        for number in range(1, 5):
            await conn.write(encode_event_chunk(number))
        await conn.write(LAST_CHUNK)


class Paused(HeldBack):
    """The only engine has asked for a pause."""

    async def warm_up(self, harness: EntryHarness) -> None:
        """Let the engine ask for a pause."""
        await super().warm_up(harness)
        answer = await harness.request(
            '/chat/a', request_id='pause', headers=prompt_headers()
        )
        assert answer.status == 503

    async def answer_other(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Ask for a pause."""
        if req.headers.get('x-attempt-id') != 'pause':
            await answer_with_events(req, conn)
            return
        await conn.write(
            encode_head(
                req,
                503,
                ('X-Not-Executed: 1', 'Retry-After: 1', 'Content-Length: 0'),
            )
        )


class Reserving(Step):
    """Memory is being reserved on helpers."""

    async def answer_order(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Answer an order when the new version is in force."""
        await self.wait()
        await super().answer_order(req, conn)


class BeforeHead(Step):
    """The engine works on the request."""

    async def answer_first(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Answer when the new version is in force."""
        await self.wait()
        await answer_with_events(req, conn)


class BeforeRefusal(Step):
    """The first engine refuses the request afterwards."""

    async def answer_first(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Refuse when the new version is in force."""
        await self.wait()
        await conn.write(
            encode_head(req, 503, ('X-Not-Executed: 1', 'Content-Length: 0'))
        )


class BeforeBreak(Step):
    """The first engine closes the connection afterwards."""

    async def answer_first(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Close the connection when the new version is in force."""
        await self.wait()
        await conn.close()


class WithinStream(Step):
    """One event has been sent."""

    async def answer_first(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Send further events when the new version is in force."""
        await conn.write(encode_stream_head(req))
        await conn.write(encode_event_chunk(1))
        await self.wait()
        for number in range(2, 5):
            await conn.write(encode_event_chunk(number))
        await conn.write(LAST_CHUNK)


class BeforeResumption(Step):
    """One event has been sent; the connection breaks afterwards."""

    async def answer_first(
        self, req: ReceivedRequest, conn: RawConnection
    ) -> None:
        """Close the connection when the new version is in force."""
        await conn.write(encode_stream_head(req))
        await conn.write(encode_event_chunk(1))
        await self.wait()
        await conn.close()


STEPS: Final[Mapping[str, Callable[[], Step]]] = MappingProxyType(
    {
        'half_body': HalfBody,
        'deferred': Deferred,
        'before_permit': lambda: BeforePermit(engines=1),
        'paused': lambda: Paused(engines=1),
        'reserving': lambda: Reserving(
            engines=4, tokens=9000, kv_capacity=8000
        ),
        'before_head': lambda: BeforeHead(is_sent=True),
        'before_refusal': lambda: BeforeRefusal(is_sent=True),
        'before_break': lambda: BeforeBreak(is_sent=True),
        'within_stream': lambda: WithinStream(is_sent=True),
        'before_resumption': lambda: BeforeResumption(is_sent=True),
    }
)


def _document(step: Step) -> Document:
    document = sample_config_document(ADMITTED_VERSION)
    document['services'][1]['engine']['kv_capacity'] = step.kv_capacity
    for route in document['routes']:
        # Without a target for the first event, no wait is too long.
        route.update(goal_ms=0, max_attempts=3, timeout_ms=TIMEOUT_MS)
    return document


async def _wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(2):
        while not condition():
            await anyio.sleep(0.002)


async def _run(
    step: Step,
    change: Callable[[EntryHarness, Document], Callable[[], bool]],
    **sections: Any,
) -> Caller:
    """Send a request, with a change within its step; return its answer.

    `change` returns a function that tells whether the change is in force.
    """
    document = {**_document(step), **sections}
    caller = Caller()
    async with running_entry(document, FleetBounds(leave_ms=100)) as harness:
        for number in range(step.engines):
            await harness.start_endpoint(
                f'e-{number}',
                step.answer,
                ENGINE_SERVICE,
                zone=ZONES[number % len(ZONES)],
            )
        await harness.wait_until_endpoints_known()
        await step.warm_up(harness)
        async with (
            await anyio.connect_tcp('127.0.0.1', harness.entry.port) as stream,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(step.send, stream)
            with anyio.fail_after(2):
                await step.reached.wait()
            in_force = change(harness, copy.deepcopy(document))
            await _wait_until(in_force)
            assert bool(step.attempts) == step.is_sent
            step.released.set()
            with anyio.fail_after(TIMEOUT_MS / 1000 + 1):
                await caller.receive(stream)
        # Reservations are released after the answer.
        app = harness.entry._app
        await _wait_until(lambda: not app.running_requests)
        assert not harness.entry._load_table.jobs_by_endpoint()
    return caller


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('step', STEPS)
async def test_request_ends_under_the_version_of_its_admission(
    monkeypatch: pytest.MonkeyPatch, errors: list[Any], step: str, change: str
) -> None:
    """Guards against a request that is lost, refused or handled by rules of
    two versions if another version arrives while it waits.
    """
    running = STEPS[step]()
    running.prepare(monkeypatch)

    def adopt(harness: EntryHarness, document: Document) -> Callable[[], bool]:
        version = ADMITTED_VERSION + 1
        CHANGES[change](document)
        document['version'] = version
        harness.write_config(document)
        active = harness.entry._active_config
        return lambda: active.config.version == version

    with collected_log_records() as records:
        caller = await _run(running, adopt)
        versions = [
            record['config_version']
            for record in records
            if record['event'] == 'attempt_sent'
            and record['request_id'] == REQUEST_ID
        ]
    assert (caller.status, caller.whole) == (200, True), caller
    assert caller.body == WHOLE_STREAM
    assert not errors
    assert len(versions) == running.attempts
    assert set(versions) == {ADMITTED_VERSION}


@pytest.mark.parametrize('zones', [ZONES[:1], ZONES[1:], ZONES])
@pytest.mark.parametrize('step', STEPS)
async def test_request_is_answered_though_zones_are_evacuated(
    monkeypatch: pytest.MonkeyPatch,
    errors: list[Any],
    step: str,
    zones: tuple[str, ...],
) -> None:
    """Guards against a request that ends without an answer if its engine, or
    all engines, may not be used any more.
    """
    running = STEPS[step]()
    running.prepare(monkeypatch)

    def evacuate(
        harness: EntryHarness, _document: Document
    ) -> Callable[[], bool]:
        for zone in zones:
            harness.store.write(f'op/evacuate/{zone}', b'{}')
        state = harness.entry._operator_state
        return lambda: state.evacuated_zones == frozenset(zones)

    caller = await _run(running, evacuate)
    assert not errors
    if caller.status == 200:
        cut = step == 'before_resumption' and zones == ZONES
        assert caller.whole != cut
        if caller.whole:
            assert caller.body == WHOLE_STREAM
        return
    # Some engine could be used: only one zone has been evacuated.
    assert zones == ZONES or running.engines == 1
    assert caller.whole
    assert caller.status in {502, 503}
    assert json.loads(caller.body)['error']['kind'] != 'internal'


@pytest.mark.parametrize(
    ('admitted_bytes', 'next_bytes', 'status'),
    [(len(BODY), 1, 200), (len(BODY) - 1, 1000, 413)],
)
async def test_body_has_the_limit_of_the_version_of_its_admission(
    admitted_bytes: int, next_bytes: int, status: int
) -> None:
    """Guards against a body that is refused though its limit allowed it when
    its head was accepted, and against a limit that changes within a body.
    """

    def adopt(harness: EntryHarness, document: Document) -> Callable[[], bool]:
        document['version'] = ADMITTED_VERSION + 1
        document['limits'] = {'max_body_bytes': next_bytes}
        harness.write_config(document)
        active = harness.entry._active_config
        return lambda: active.config.limits.max_body_bytes == next_bytes

    caller = await _run(
        HalfBody(), adopt, limits={'max_body_bytes': admitted_bytes}
    )
    assert (caller.status, caller.whole) == (status, True), caller
