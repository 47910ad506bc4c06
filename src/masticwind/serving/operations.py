"""What operators read and do at one entry, on its metrics port.

`GET /held` lists the parts of prompts that are held, `POST /held/release?part=`
releases one in all entries, `GET /limits` lists the endpoints that limit their
requests, leave or have asked for a pause, and every other path answers with
the metrics, whose gauges are read at each scrape. Releasing needs the
operators' token of the settings.
"""

import hmac
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.decoding import parse_fields
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.cleanup import Cleanup
from masticwind.serving.edge import EdgeApp, EdgeDependencies
from masticwind.serving.endpoint_limits import EndpointLimits
from masticwind.serving.endpoint_notices import EndpointNotices
from masticwind.serving.quarantine import Quarantine
from masticwind.serving.route_explainer import (
    RequestDescription,
    RouteExplainer,
)
from masticwind.serving.settings import LiveSettings
from masticwind.serving.telemetry import Telemetry
from masticwind.web import (
    Receive,
    Response,
    Scope,
    Send,
    failure_response,
    json_response,
    query_parameters,
    request_header,
    send_response,
)

HELD_PATH: Final = '/held'
RELEASE_PATH: Final = '/held/release'
LIMITS_PATH: Final = '/limits'
ROUTE_PATH: Final = '/route'
BEARER_PREFIX: Final = 'Bearer '


class OperationsApp:
    """ASGI application of the metrics port."""

    def __init__(
        self,
        settings: LiveSettings,
        telemetry: Telemetry,
        quarantine: Quarantine,
        limits: EndpointLimits,
        notices: EndpointNotices,
        explainer: RouteExplainer,
    ) -> None:
        self._settings: Final = settings
        self._telemetry: Final = telemetry
        self._quarantine: Final = quarantine
        self._limits: Final = limits
        self._notices: Final = notices
        self._explainer: Final = explainer

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        answers: dict[tuple[str, str], Callable[[Scope], Response]] = {
            ('GET', HELD_PATH): self._list_held,
            ('POST', RELEASE_PATH): self._release,
            ('GET', LIMITS_PATH): self._list_limits,
            ('GET', ROUTE_PATH): self._explain_route,
        }
        answer = answers.get((scope['method'], scope['path']))
        if answer is None:
            await self._telemetry.serve(scope, receive, send)
            return
        await send_response(send, answer(scope))

    def _list_held(self, _scope: Scope) -> Response:
        return json_response(
            HTTPStatus.OK, {'held': self._quarantine.describe()}
        )

    def _list_limits(self, _scope: Scope) -> Response:
        return json_response(
            HTTPStatus.OK,
            {
                'limits': self._limits.describe(),
                'leaving': self._notices.describe_leaving(),
                'pauses': self._notices.describe_pauses(),
            },
        )

    def _explain_route(self, scope: Scope) -> Response:
        description = _decode_description(query_parameters(scope))
        if isinstance(description, Failure):
            return failure_response(description)
        explained = self._explainer.explain(description)
        if isinstance(explained, Failure):
            return failure_response(explained)
        return json_response(HTTPStatus.OK, explained)

    def _release(self, scope: Scope) -> Response:
        token = self._settings.cfg.operator_token
        given = request_header(scope, b'authorization')
        if not token or not hmac.compare_digest(
            given.encode(), f'{BEARER_PREFIX}{token}'.encode()
        ):
            return failure_response(
                Failure(
                    kind=ErrorKind.FORBIDDEN,
                    reason='releasing needs the operator_token of the settings',
                )
            )
        part = query_parameters(scope).get('part', '')
        if not self._quarantine.release(part):
            return failure_response(
                Failure(
                    kind=ErrorKind.NOT_FOUND, reason=f'{part!r} is not held'
                )
            )
        return json_response(HTTPStatus.OK, {'released': part})


def _decode_description(
    fields: Mapping[str, str],
) -> RequestDescription | Failure:
    given: dict[str, object] = {
        name: text for name, text in fields.items() if text
    }
    given['parts'] = [
        part for part in fields.get('parts', '').split(',') if part
    ]
    return parse_fields(given, RequestDescription, ErrorKind.BAD_REQUEST)


def add_request_gauges(app: EdgeApp, deps: EdgeDependencies) -> None:
    """Add the gauges of requests and of what they hold."""
    add_gauge = deps.telemetry.add_gauge
    add_gauge(
        'masticwind_requests_running',
        'Requests in progress',
        lambda: app.running_requests,
    )
    add_gauge(
        'masticwind_buffered_bytes',
        'Bytes that are kept until they can be passed on',
        lambda: deps.byte_budget.used_bytes,
    )
    add_gauge(
        'masticwind_stopping_seconds',
        'Time since the signal to stop, zero before it',
        lambda: (deps.lifetime.stopping_for_ms() or 0) / MS_PER_S,
    )
    add_gauge(
        'masticwind_config_version',
        'Version of the configuration in force',
        lambda: deps.active_config.config.version,
    )


def add_endpoint_gauges(
    telemetry: Telemetry, cleanup: Cleanup, quarantine: Quarantine
) -> None:
    """Add the gauges of what is known of endpoints."""
    add_gauge = telemetry.add_gauge
    add_gauge(
        'masticwind_endpoints',
        'Endpoints that are known',
        cleanup.directory.count,
    )
    add_gauge(
        'masticwind_limited_endpoints',
        'Endpoints that limit their requests',
        cleanup.limits.count,
    )
    add_gauge(
        'masticwind_leaving_endpoints',
        'Endpoints that have said that they leave',
        cleanup.notices.leaving_count,
    )
    add_gauge(
        'masticwind_paused_endpoints',
        'Endpoints that have asked for a pause',
        cleanup.notices.paused_count,
    )
    add_gauge(
        'masticwind_doubtful_endpoints',
        'Endpoints that may have ended with others of their zone',
        cleanup.news.reported.doubtful_count,
    )
    add_gauge(
        'masticwind_held_prompt_parts',
        'Parts whose prompts are rejected, and whole prompts',
        quarantine.held_count,
    )
