"""Logs a value that cannot be read once, not at each time that it is read.

A value of the store is read again at each listing, and an odd writer repeats
it with each heartbeat, as an odd sender does with a message.
"""

from typing import Final

from loguru import logger

from masticwind.errors import Failure

# The oldest ones are forgotten, and logged again if they are read again.
MAX_VALUES: Final = 1_000


class UnreadableLog:
    """The keys whose values cannot be read, and the reasons.

    A log line names the key in `field`.
    """

    def __init__(
        self, event: str, level: str = 'WARNING', field: str = 'key'
    ) -> None:
        self._event: Final = event
        self._level: Final = level
        self._field: Final = field
        self._reasons: Final[dict[str, str]] = {}

    def report(self, key: str, failure: Failure) -> None:
        """Log that a value cannot be read, unless this has been logged."""
        known = self._reasons.pop(key, None)
        if known is None and len(self._reasons) >= MAX_VALUES:
            self._reasons.pop(next(iter(self._reasons)))
        self._reasons[key] = failure.reason
        if known != failure.reason:
            log = logger.bind(**{self._field: key}, reason=failure.reason)
            log.log(self._level, self._event)

    def forget(self, key: str) -> None:
        """Forget a key that is gone or has another value."""
        self._reasons.pop(key, None)
