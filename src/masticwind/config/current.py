"""The configuration generation that this process currently uses.

Generation numbers only increase: a generation that is not newer than the
current one is ignored, whatever its source, so that a stale read or a slow
peer cannot restore an older configuration.
"""

import hashlib

import anyio

from masticwind.config.model import (
    EMPTY_GENERATION,
    Configuration,
    Generation,
    Team,
)


class CurrentConfig:
    """The current generation and the lookup tables derived from it."""

    def __init__(self) -> None:
        self._generation = EMPTY_GENERATION
        self._team_names_by_digest: dict[str, str] = {}
        self._changed = anyio.Event()

    @property
    def number(self) -> int:
        """Number of the current generation."""
        return self._generation.number

    @property
    def config(self) -> Configuration:
        """Content of the current generation."""
        return self._generation.config

    def adopt(self, generation: Generation) -> bool:
        """Make a generation current if it is newer; return whether it was."""
        if generation.number <= self._generation.number:
            return False
        team_names_by_digest: dict[str, str] = {}
        for name, team in generation.config.teams.items():
            for digest in team.token_digests:
                team_names_by_digest[digest] = name
        self._team_names_by_digest = team_names_by_digest
        self._generation = generation
        self._changed.set()
        self._changed = anyio.Event()
        return True

    async def wait_for_newer(self, number: int) -> int:
        """Wait for a generation newer than `number`; return its number."""
        while self.number <= number:
            await self._changed.wait()
        return self.number

    def find_team_by_token(self, token: str) -> tuple[str, Team] | None:
        """Return name and settings of the team that owns a bearer token."""
        name = self._team_names_by_digest.get(token_digest(token))
        if name is None:
            return None
        return name, self.config.teams[name]

    def is_zone_in_service(self, zone: str) -> bool:
        """Return whether new work may be sent to an availability zone.

        A zone that is not configured gets no work.
        """
        settings = self.config.zones.get(zone)
        return settings is not None and settings.in_service

    def is_endpoint_in_service(self, endpoint: str) -> bool:
        """Return whether new work may be sent to an endpoint.

        An endpoint that is not configured is in service.
        """
        settings = self.config.endpoints.get(endpoint)
        return settings is None or settings.in_service


def token_digest(token: str) -> str:
    """Return the digest that stands for a bearer token in the files."""
    return f'sha256:{hashlib.sha256(token.encode()).hexdigest()}'
