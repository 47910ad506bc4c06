"""The eras of the metadata store that this process has seen.

A store that is restored from an older copy starts a new era: it issues
revisions and lease ids again that it had issued before.
"""

from typing import Final

from loguru import logger

# The era of a store that names none.
NO_ERA: Final = 0


class StoreEras:
    """Records the newest era that the store has named."""

    def __init__(self) -> None:
        self.newest = NO_ERA

    def observe(self, era: int, call: str) -> None:
        """Record the era of an answer to a call."""
        if era <= self.newest:
            return
        logger.bind(era=era, previous=self.newest, call=call).info(
            'store_era_started'
        )
        self.newest = era
