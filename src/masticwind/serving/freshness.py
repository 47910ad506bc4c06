"""Refuses what an old copy of the configuration cannot decide.

A key that was taken away must stop working within a stated time also where
the store cannot be reached, so keys are accepted only while the copy is
younger than that. A missing route or an unknown key is answered as such only
from a recent copy; otherwise the answer is that nothing ran.
"""

from collections.abc import Callable
from typing import Final

from masticwind.budget import MS_PER_S
from masticwind.errors import ErrorKind, Failure
from masticwind.serving.model import Route, TeamKeys
from masticwind.serving.settings import LiveSettings

# Part of the time that a removed key may still work in which a copy is
# trusted; the rest covers watches that hear nothing for a while.
TRUSTED_SHARE: Final = 0.72
RETRY_AFTER_MS: Final = 400


class ConfigFreshness:
    """Judges answers by the age of the configuration's copy."""

    def __init__(
        self,
        settings: LiveSettings,
        age_s: Callable[[], float],
    ) -> None:
        self._settings: Final = settings
        self._age_s: Final = age_s

    def age_s(self) -> float:
        """Return how old the configuration can be, in seconds."""
        return self._age_s()

    def is_trusted(self) -> bool:
        """Tell whether the copy is recent enough to accept keys."""
        bounds = self._settings.bounds
        return self._age_s() * MS_PER_S <= bounds.key_age_ms * TRUSTED_SHARE

    def check_request(
        self,
        route: Route | Failure,
        team: TeamKeys | Failure | None,
    ) -> Failure | None:
        """Return a refusal if the copy is too old for this request."""
        if self.is_trusted():
            return None
        decided = isinstance(route, Route) and not isinstance(team, Failure)
        if decided and (team is None or not self._settings.bounds.fail_closed):
            return None
        age = f'{self._age_s():.1f} s'
        return Failure(
            kind=ErrorKind.PLATFORM_DOWN,
            reason=f'the configuration was last confirmed {age} ago',
            retry_after_ms=RETRY_AFTER_MS,
        )
