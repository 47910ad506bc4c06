"""The operators' configuration in force, and lookups in it.

Versions only increase: an older one is ignored, whatever its source. The same
version can come with other contents, if the store was restored from a copy
without it and the operator has used its number again.
"""

from masticwind.errors import ErrorKind, Failure
from masticwind.serving.model import (
    NO_CONFIG,
    CallerRequest,
    FleetConfig,
    Route,
    Team,
)


class ActiveConfig:
    """Holds the configuration in force."""

    def __init__(self) -> None:
        self.config: FleetConfig = NO_CONFIG
        self._routes_by_host: dict[str, list[Route]] = {}

    def adopt(self, config: FleetConfig) -> bool:
        """Put a configuration in force unless it is older or the same one.

        Returns whether it was put in force.
        """
        if config.version < self.config.version or config == self.config:
            return False
        routes_by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=_prefix_length, reverse=True)
        self.config = config
        self._routes_by_host = routes_by_host
        return True

    def find_route(self, req: CallerRequest) -> Route | Failure:
        """Return the route with the longest prefix that matches the path."""
        if self.config is NO_CONFIG:
            return Failure(
                kind=ErrorKind.PLATFORM_DOWN,
                reason='no configuration has been loaded yet',
            )
        for route in self._routes_by_host.get(req.host, ()):
            if req.path.startswith(route.prefix):
                return route
        return Failure(
            kind=ErrorKind.NOT_FOUND,
            reason=f'no route for {req.host}{req.path}',
        )

    def find_team(
        self,
        req: CallerRequest,
        route: Route,
    ) -> Team | Failure | None:
        """Return the team of the request's API key.

        Returns None if the route is public or no keys are configured.
        """
        if not self.config.keys_required or route.public:
            return None
        team = self.config.teams_by_key.get(req.api_key)
        if team is None:
            return Failure(
                kind=ErrorKind.UNAUTHENTICATED,
                reason='unknown API key',
            )
        return team


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
