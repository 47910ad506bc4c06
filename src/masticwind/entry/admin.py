"""The administration API of an entry, under `/admin/v1/`.

Operators use their own bearer tokens; only the role writer may apply a
configuration or release held parts of prompts. This entry adopts an accepted
generation at once from memory, so that its peers get it even if the key-value
service fails right after.
"""

import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Final

import msgspec

from masticwind.config.current import token_digest
from masticwind.config.diff import diff
from masticwind.config.distribute import ConfigSync
from masticwind.config.heads import StoredHead
from masticwind.config.model import Configuration, Generation, Operator
from masticwind.config.parts import Head, PartCache, split_configuration
from masticwind.config.reader import Problems, check_decoded
from masticwind.config.store import ConfigStore
from masticwind.decoding import parse_with
from masticwind.entry.agent_pool import AgentLink, AgentPool
from masticwind.entry.tier_outcomes import TierOutcomeCounter
from masticwind.errors import ErrorKind, Failure
from masticwind.json_reader import decode_by_item
from masticwind.serving.quarantine import Quarantine
from masticwind.web import (
    Receive,
    Response,
    Scope,
    json_response,
    query_parameters,
    read_body,
    request_header,
)
from masticwind.worker_thread import run_in_worker_thread

PATH_PREFIX: Final = '/admin/v1/'
BEARER_PREFIX: Final = 'bearer '
# The configuration for 47,000 teams takes about 10 MB as JSON.
MAX_CONFIG_BYTES: Final = 67_108_864
BODY_TIMEOUT_S: Final = 30.0
RELEASE_ROUTE: Final = 'held/release'
ROUTES: Final = frozenset(
    (
        ('GET', 'config'),
        ('POST', 'validate'),
        ('POST', 'diff'),
        ('POST', 'apply'),
        ('GET', 'history'),
        ('GET', 'status'),
        ('GET', 'held'),
        ('POST', RELEASE_ROUTE),
    )
)
WRITER_ROUTES: Final = frozenset(('apply', RELEASE_ROUTE))


@dataclass(frozen=True, slots=True)
class AdminDependencies:
    """Components that `AdminApi` uses."""

    node: str
    zone: str
    store: ConfigStore
    sync: ConfigSync
    pool: AgentPool
    quarantine: Quarantine
    tier_counter: TierOutcomeCounter = field(default_factory=TierOutcomeCounter)


class AdminApi:
    """Serves the requests of operators."""

    def __init__(self, deps: AdminDependencies) -> None:
        self._deps: Final = deps

    async def serve(
        self,
        scope: Scope,
        receive: Receive,
    ) -> Response | Failure:
        """Authenticate, authorize and serve one request."""
        route = scope['path'].removeprefix(PATH_PREFIX)
        authenticated = self._authenticate(scope)
        if isinstance(authenticated, Failure):
            return authenticated
        name, operator = authenticated
        if (scope['method'], route) not in ROUTES:
            return Failure(kind=ErrorKind.NOT_FOUND, reason='no such route')
        if route in WRITER_ROUTES and operator.role != 'writer':
            return Failure(
                kind=ErrorKind.FORBIDDEN,
                reason='the role writer is required',
            )
        if route == RELEASE_ROUTE:
            return self._release_part(scope)
        if scope['method'] == 'POST':
            config = await _read_config(receive)
            if not isinstance(config, Configuration):
                return config
            return await self._serve_post(route, scope, config, name)
        return await self._serve_get(route, scope)

    def _authenticate(self, scope: Scope) -> tuple[str, Operator] | Failure:
        text = request_header(scope, b'authorization')
        digest = ''
        if text[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
            digest = token_digest(text[len(BEARER_PREFIX) :].strip())
        config = self._current_generation().config
        for name, operator in config.operators.items():
            if digest in operator.token_digests:
                return name, operator
        return Failure(
            kind=ErrorKind.UNAUTHENTICATED,
            reason='unknown operator token',
        )

    async def _serve_get(self, route: str, scope: Scope) -> Response | Failure:
        if route == 'status':
            return json_response(HTTPStatus.OK, fleet_status(self._deps))
        if route == 'history':
            heads = await self._deps.store.read_history()
            if isinstance(heads, Failure):
                return heads
            return json_response(HTTPStatus.OK, heads)
        if route == 'held':
            held = self._deps.quarantine.describe()
            return json_response(HTTPStatus.OK, {'held': held})
        number = query_parameters(scope).get('generation', '')
        if number.isdecimal():
            generation = await self._load_generation(int(number))
            if isinstance(generation, Failure):
                return generation
            return json_response(HTTPStatus.OK, generation)
        return json_response(HTTPStatus.OK, self._current_generation())

    def _release_part(self, scope: Scope) -> Response | Failure:
        part = query_parameters(scope).get('part', '')
        if not self._deps.quarantine.release(part):
            return Failure(
                kind=ErrorKind.NOT_FOUND, reason=f'{part!r} is not held'
            )
        return json_response(HTTPStatus.OK, {'released': part})

    async def _serve_post(
        self,
        route: str,
        scope: Scope,
        config: Configuration,
        operator: str,
    ) -> Response | Failure:
        base = self._current_generation()
        if route == 'validate':
            return json_response(HTTPStatus.OK, {'valid': True})
        if route == 'diff':
            changes = await run_in_worker_thread(diff, base.config, config)
            return json_response(
                HTTPStatus.OK,
                {'generation': base.number, 'changes': changes},
            )
        text = query_parameters(scope).get('expected', '')
        expected_number = int(text) if text.isdecimal() else base.number
        head = await self._deps.store.apply(config, expected_number, operator)
        if isinstance(head, Failure):
            return await self._apply_failure_response(head, config)
        await self._adopt_applied(head, config)
        changes = await run_in_worker_thread(diff, base.config, config)
        return json_response(
            HTTPStatus.OK,
            {'number': head.number, 'changes': changes},
        )

    async def _apply_failure_response(
        self,
        failure: Failure,
        config: Configuration,
    ) -> Response | Failure:
        if failure.kind is not ErrorKind.CONFLICT:
            return failure
        stored_generation: Generation | Failure = self._current_generation()
        stored = await self._deps.store.read_head()
        if isinstance(stored, StoredHead) and stored.head is not None:
            stored_generation = await self._deps.store.load_generation(
                stored.head,
                PartCache(),
            )
        if isinstance(stored_generation, Failure):
            return failure
        return json_response(
            HTTPStatus.CONFLICT,
            {
                'number': stored_generation.number,
                'changes': await run_in_worker_thread(
                    diff,
                    stored_generation.config,
                    config,
                ),
                'failure': failure,
            },
        )

    async def _adopt_applied(self, head: Head, config: Configuration) -> None:
        cache = await run_in_worker_thread(_build_part_cache, head, config)
        if not isinstance(cache, Failure):
            self._deps.sync.parts.merge(cache)
            self._deps.sync.adopt(head, msgspec.json.encode(head))

    async def _load_generation(self, number: int) -> Generation | Failure:
        if number == self._deps.sync.config.number:
            return self._current_generation()
        head = await self._deps.store.read_past_head(number)
        if isinstance(head, Failure):
            return head
        return await self._deps.store.load_generation(head, PartCache())

    def _current_generation(self) -> Generation:
        config = self._deps.sync.config
        return Generation(number=config.number, config=config.config)


async def _read_config(
    receive: Receive,
) -> Configuration | Response | Failure:
    body = await read_body(receive, MAX_CONFIG_BYTES, BODY_TIMEOUT_S)
    if isinstance(body, Failure):
        return body
    # Checking 47,000 teams takes about 3 s; on the event loop it would stop
    # all requests for this time.
    config = await run_in_worker_thread(_decode_and_check, body)
    if isinstance(config, Configuration | Failure):
        return config
    lines = [problem.line for problem in config]
    return json_response(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        {
            'error': {
                'kind': ErrorKind.INVALID_CONFIG,
                'message': '\n'.join(lines),
            },
            'problems': lines,
        },
    )


def _decode_and_check(body: bytes) -> Configuration | Problems | Failure:
    raw = parse_with(decode_by_item, body, ErrorKind.BAD_REQUEST)
    if isinstance(raw, Failure):
        return Failure(kind=ErrorKind.BAD_REQUEST, reason='expected JSON')
    return check_decoded(raw, 'request')


def _build_part_cache(head: Head, config: Configuration) -> PartCache | Failure:
    parts = split_configuration(config)
    if isinstance(parts, Failure):
        return parts
    cache = PartCache()
    cache.add_trusted(parts.contents)
    joined_config = cache.build_configuration(head)
    return joined_config if isinstance(joined_config, Failure) else cache


def fleet_status(deps: AdminDependencies) -> dict[str, Any]:
    """Return the status of the fleet as known to this entry."""
    processes = {deps.node: deps.sync.config.number}
    for peer in deps.sync.peers:
        processes[peer.channel.peer.node] = peer.generation
    zones: dict[str, dict[str, Any]] = {}
    for link in deps.pool.links:
        zone = zones.setdefault(link.instance.zone, {})
        zone[link.endpoint or link.instance.node] = _endpoint_status(deps, link)
    return {
        'generation': deps.sync.config.number,
        'processes': processes,
        'zones': zones,
        'service_last_minute': deps.tier_counter.last_minute(),
    }


def _endpoint_status(
    deps: AdminDependencies,
    link: AgentLink,
) -> dict[str, Any]:
    load = link.reported_load
    status: dict[str, Any] = {'state': endpoint_state(deps, link)}
    if load is not None:
        status |= {
            'running': load.running,
            'queued': load.queued,
            'memory_free_tokens': load.memory_free_tokens,
            'memory_total_tokens': load.memory_total_tokens,
            'report_age_s': round(time.monotonic() - link.load_received_at, 1),
        }
    return status


def endpoint_state(deps: AdminDependencies, link: AgentLink) -> str:
    """Return the state: serving, cold, leaving, out or down."""
    config = deps.sync.config
    in_service: Sequence[bool] = (
        config.is_zone_in_service(link.instance.zone),
        config.is_endpoint_in_service(link.endpoint),
    )
    if not all(in_service):
        return 'out'
    if link.reported_load is None or not link.connected:
        return 'down'
    if link.leaving or link.reported_load.state == 'draining':
        return 'leaving'
    return link.reported_load.state
