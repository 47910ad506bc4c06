"""The eras of the metadata store that this process has seen.

A store that is restored from an older copy starts a new era: it issues
revisions and lease ids again that it had issued before. So a revision means
nothing without its era.
"""

from dataclasses import dataclass
from typing import Final

import anyio
from loguru import logger

from masticwind.budget import boot_time

# The era of a store that names none.
NO_ERA: Final = 0
# The era of a store that has never been restored.
FIRST_ERA: Final = 1
# Longer than any call waits for its answer. If all answers name an earlier era
# for this time, the newest one was named by mistake, or the store was replaced.
MAX_ANSWER_DELAY_S: Final = 15.0


@dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """A revision in an era; each one is newer than all of earlier eras.

    For example, revision 7 of era 2 is newer than revision 90 of era 1.
    """

    era: int
    number: int


class StoreEras:
    """Records the newest era that the store has named.

    Answers of an earlier era were delayed, or come over an old connection.
    """

    def __init__(self) -> None:
        self.newest = NO_ERA
        self._named_at = float('-inf')
        self._changed = anyio.Event()

    def observe(self, era: int, call: str) -> bool:
        """Record the era of an answer; tell whether it is the newest one."""
        now = boot_time()
        if era < self.newest and now - self._named_at < MAX_ANSWER_DELAY_S:
            log = logger.bind(era=era, newest=self.newest, call=call)
            log.warning('store_answer_outdated')
            return False
        self._named_at = now
        if era != self.newest:
            log = logger.bind(era=era, previous=self.newest, call=call)
            log.info('store_era_started')
            self.newest = era
            self._changed.set()
            self._changed = anyio.Event()
        return True

    async def wait_for_change(self, era: int) -> None:
        """Wait until the newest era is another one."""
        while self.newest == era:
            await self._changed.wait()
