"""Refuses requests that a stale configuration copy cannot decide.

An API key that an operator removed must stop working within `key_age_ms`,
even at an entry that cannot reach the store, so keys are accepted only while
the copy is younger than that. A missing route or an unknown key is reported as
such only from a recent copy; otherwise the request is refused as not run.
"""

from collections.abc import Callable
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.model import Route, Team
from masticwind.serving.settings import LiveSettings

# Share of `key_age_ms` for which a copy is trusted; the rest is a margin for
# watches that receive nothing for a while.
TRUSTED_SHARE: Final = 0.72
RETRY_AFTER_MS: Final = 400


class ConfigFreshness:
    """Decides by the age of the configuration whether it can be trusted."""

    def __init__(
        self,
        settings: LiveSettings,
        age_s: Callable[[], float],
    ) -> None:
        self._settings: Final = settings
        self._age_s: Final = age_s

    def age_s(self) -> float:
        """Return the greatest possible age of the copy, in seconds."""
        return self._age_s()

    def is_trusted(self) -> bool:
        """Tell whether the copy is recent enough to accept API keys."""
        bounds = self._settings.bounds
        return self._age_s() * MS_PER_S <= bounds.key_age_ms * TRUSTED_SHARE

    def check_request(
        self,
        route: Route | Failure,
        team: Team | Failure | None,
    ) -> Failure | None:
        """Return a refusal if the copy is too old for this request."""
        if self.is_trusted():
            return None
        resolved = isinstance(route, Route) and not isinstance(team, Failure)
        if resolved and (team is None or not self._settings.bounds.fail_closed):
            return None
        age = f'{self._age_s():.1f} s'
        return Failure(
            kind=ErrorKind.PLATFORM_DOWN,
            reason=f'the configuration was last confirmed {age} ago',
            retry_after_ms=RETRY_AFTER_MS,
        )
