"""Learns new generations from the key-value service."""

from typing import Final

import anyio
from loguru import logger

from masticwind.config.current import CurrentConfig
from masticwind.config.store import ConfigStore
from masticwind.errors import Failure

WATCH_WAIT_S: Final = 20.0
RETRY_DELAY_S: Final = 0.5


class ConfigWatcher:
    """Keeps the generation in force up to date while it runs."""

    def __init__(self, store: ConfigStore, config: CurrentConfig) -> None:
        self._store: Final = store
        self._config: Final = config
        self._parts: dict[str, bytes] = {}

    async def run(self) -> None:
        """Follow the head until cancelled."""
        revision = -1
        while True:
            stored = await self._store.wait_head(revision, WATCH_WAIT_S)
            if isinstance(stored, Failure):
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if stored.head is None or stored.head.number <= self._config.number:
                revision = stored.revision
                continue
            generation = await self._store.load(stored.head, self._parts)
            if isinstance(generation, Failure):
                logger.bind(reason=generation.reason).warning('config_load')
                await anyio.sleep(RETRY_DELAY_S)
                continue
            self._config.adopt(generation)
            revision = stored.revision
            used = set(stored.head.parts.values())
            self._parts = {
                digest: content
                for digest, content in self._parts.items()
                if digest in used
            }
            logger.bind(generation=generation.number).info('config_adopted')
