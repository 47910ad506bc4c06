"""Answers where a request would go now, from its description.

The request is admitted and placed by the code that serves callers, on a
preview of its state: nothing is sent, counted or logged.
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Annotated, Any, Final

import msgspec

from masticwind.budget import Budget
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.active_config import ActiveConfig
from masticwind.serving.admission.requests import (
    AdmittedRequest,
    RequestProgress,
    admit,
)
from masticwind.serving.model import CallerRequest, Route, Team, TokenCounts
from masticwind.serving.placement.explanation import explain_placement
from masticwind.serving.placement.request_placer import RequestPlacer

DEFAULT_TIMEOUT_MS: Final = 60_000
REQUEST_ID: Final = 'explained'
# No request has more tokens, or more milliseconds.
MAX_COUNT: Final = 1_000_000_000

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestDescription:
    """What a request would ask for.

    `prompt` is the number of prompt tokens, zero for a plain call. `output` is
    the largest number of output tokens, and `expected` the caller's estimate
    of it; zero stands for `output`. `deadline_ms` of zero stands for the time
    limit of the route.
    """

    route: str
    team: str = ''
    prompt: Count = 0
    output: Count = 0
    expected: Count = 0
    parts: tuple[str, ...] = ()
    deadline_ms: Count = 0


class RouteExplainer:
    """Explains placements of an entry."""

    def __init__(
        self, active_config: ActiveConfig, placer: RequestPlacer
    ) -> None:
        self._active_config: Final = active_config
        self._placer: Final = placer

    def explain(
        self, description: RequestDescription
    ) -> dict[str, Any] | Failure:
        """Return the placement that a request would get, and its reasons.

        A failure of kind `not_found` names what the configuration lacks.
        """
        admitted = self._admit(description)
        if isinstance(admitted, Failure):
            return admitted
        # Causes for which endpoints are passed over are counted only once for
        # each request.
        progress = RequestProgress(passed_over_for={'leaving', 'pause'})
        query = self._placer.preview_query(admitted, progress)
        placer = self._placer.placer_for(admitted).preview()
        return {
            'service': admitted.service.name,
            'team': admitted.team.name,
            **asdict(explain_placement(query, placer)),
        }

    def _admit(
        self, description: RequestDescription
    ) -> AdmittedRequest | Failure:
        config = self._active_config.config
        route = _find_route(config.routes, description.route)
        if route is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'route {description.route!r} is not configured',
            )
        team = _find_team(config.teams_by_key.values(), description.team)
        if description.team and team is None:
            return Failure(
                kind=ErrorKind.NOT_FOUND,
                reason=f'team {description.team!r} is not configured',
            )
        timeout_ms = (
            description.deadline_ms or route.timeout_ms or DEFAULT_TIMEOUT_MS
        )
        req = CallerRequest(
            request_id=REQUEST_ID,
            method='POST',
            target=route.prefix.encode(),
            host=route.host,
            path=route.prefix,
            forwarded_headers=(),
            budget=Budget.from_ms(timeout_ms),
            tokens=_token_counts(description),
            prompt_parts=description.parts,
        )
        return admit(req, route, team, config)


def _token_counts(description: RequestDescription) -> TokenCounts | None:
    if not description.prompt:
        return None
    return TokenCounts(
        prompt=description.prompt,
        max_output=description.output,
        expected_output=description.expected or description.output,
    )


def _find_route(routes: tuple[Route, ...], name: str) -> Route | None:
    for route in routes:
        if route.name == name:
            return route
    return None


def _find_team(teams: Iterable[Team], name: str) -> Team | None:
    for team in teams:
        if team.name == name:
            return team
    return None
