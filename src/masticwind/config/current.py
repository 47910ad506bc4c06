"""The generation in force in this process.

Generations only grow: a generation that is not newer than the one in force
is ignored, wherever it comes from, so that a stale read or a slow peer
cannot bring an older configuration back.
"""

import hashlib

import anyio

from masticwind.config.model import EMPTY, Configuration, Generation, Team


class CurrentConfig:
    """Holds the generation in force and the look-up tables made from it."""

    def __init__(self) -> None:
        self._generation = EMPTY
        self._teams_by_digest: dict[str, str] = {}
        self._changed = anyio.Event()

    @property
    def number(self) -> int:
        """Number of the generation in force."""
        return self._generation.number

    @property
    def config(self) -> Configuration:
        """Content of the generation in force."""
        return self._generation.config

    def adopt(self, generation: Generation) -> bool:
        """Put a generation in force if it is newer; tell whether it was."""
        if generation.number <= self._generation.number:
            return False
        by_digest: dict[str, str] = {}
        for name, team in generation.config.teams.items():
            for digest in team.token_digests:
                by_digest[digest] = name
        self._teams_by_digest = by_digest
        self._generation = generation
        self._changed.set()
        self._changed = anyio.Event()
        return True

    async def wait_for_newer(self, number: int) -> int:
        """Wait until a generation newer than `number` is in force."""
        while self.number <= number:
            await self._changed.wait()
        return self.number

    def find_team_by_token(self, token: str) -> tuple[str, Team] | None:
        """Return name and settings of the team that owns a bearer token."""
        name = self._teams_by_digest.get(token_digest(token))
        if name is None:
            return None
        return name, self.config.teams[name]

    def is_zone_in_service(self, zone: str) -> bool:
        """Tell whether new work may go to an availability zone.

        A zone that the configuration does not name gets no work.
        """
        found = self.config.zones.get(zone)
        return found is not None and found.in_service

    def is_endpoint_in_service(self, endpoint: str) -> bool:
        """Tell whether new work may go to an endpoint."""
        found = self.config.endpoints.get(endpoint)
        return found is None or found.in_service


def token_digest(token: str) -> str:
    """Return the digest under which a bearer token is configured."""
    return f'sha256:{hashlib.sha256(token.encode()).hexdigest()}'
